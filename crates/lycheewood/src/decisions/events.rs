//! Framing of server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event in bytes. An endpoint that exceeds it does not send an event stream.
pub(crate) const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the prefix of `buffer` that is known not to contain the end of an event.
    searched: usize,
}

/// An event exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "an event exceeds {MAX_EVENT_BYTES} bytes; check that the endpoint returns an event stream"
)]
pub struct EventTooLong;

impl EventSplitter {
    /// Appends the next bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLong`] if an event exceeds one mebibyte.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event, including the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let from = self.searched.saturating_sub(3);
        let end = event_end(&self.buffer[from..]).map(|end| from + end);
        self.searched = if end.is_some() { 0 } else { self.buffer.len() };
        end.map(|end| self.buffer.split_to(end).freeze())
    }

    /// Number of bytes that wait for the end of their event.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer contains an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// The position after the first blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find(bytes, b"\n\n").map(|start| start + 2);
    let crlf = find(bytes, b"\r\n\r\n").map(|start| start + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// The value of an event's `id` field, if it is a number.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
