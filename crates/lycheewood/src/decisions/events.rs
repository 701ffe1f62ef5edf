//! Server-sent events: where one ends, and its id.

use bytes::{Bytes, BytesMut};

/// The most bytes that one event may have. An endpoint that sends more sends no events.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of `buffer` in which no event ends.
    searched: usize,
}

/// An event longer than any endpoint sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event has more than {MAX_EVENT_BYTES} bytes; the answer is not a stream of events")]
pub struct EventTooLong;

impl EventSplitter {
    /// Takes the next bytes of the stream.
    ///
    /// # Errors
    ///
    /// When an event does not end within a megabyte.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event with its closing blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let from = self.searched.saturating_sub(3);
        let found = event_end(&self.buffer[from..]).map(|end| from + end);
        self.searched = if found.is_some() { 0 } else { self.buffer.len() };
        found.map(|end| self.buffer.split_to(end).freeze())
    }

    /// Whether bytes of an event that has not ended are left.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Where the first blank line ends.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// The number in an event's `id` field.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
