//! Reads bodies of callers within the limits and the memory budget.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::adapters::lingering::UnreadBody;
use crate::decisions::memory::{MemoryUse, RECEIVE_MEMORY_BYTES};
use crate::memory_budget::{BodyBuffer, MemoryBudget};

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    TooLarge,
    /// Nothing arrived for too long, or the whole body took too long.
    Late,
    /// The memory budget has no room for it.
    NoMemory,
    /// The caller has closed the connection or broken the framing.
    Broken,
}

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    pub(crate) max_bytes: usize,
    /// Reserved for the request beside its body, in bytes.
    pub(crate) base_bytes: usize,
    /// Copies of the body that the request makes.
    pub(crate) copies: usize,
    /// The longest time without a byte, in milliseconds.
    pub(crate) stall_ms: u64,
    /// The longest time for the whole body, in milliseconds.
    pub(crate) remaining_ms: u64,
}

/// The body of a caller's request. If it is dropped before its end, the connection reads on for a while after the
/// response, and ends.
pub(crate) struct CallerBody {
    body: Incoming,
    unread: UnreadBody,
    is_complete: bool,
}

impl CallerBody {
    pub(crate) fn new(body: Incoming, unread: UnreadBody) -> Self {
        let is_complete = body.is_end_stream();
        Self { body, unread, is_complete }
    }

    /// The next bytes, or `None` after the last ones.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(_)) => return Err(BodyError::Broken),
                None => {
                    self.is_complete = true;
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body. Nothing is reserved for bytes that are only announced, but a body that cannot fit now
    /// is refused before it is read.
    pub(crate) async fn read(
        mut self,
        budget: &MemoryBudget,
        limits: BodyLimits,
    ) -> Result<BodyBuffer, BodyError> {
        let announced_bytes = usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced_bytes > limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !budget.has_room(MemoryUse::Request, limits.base_bytes + limits.copies * announced_bytes)
        {
            return Err(BodyError::NoMemory);
        }
        let reservation = budget
            .reserve(MemoryUse::Request, limits.base_bytes)
            .map_err(|_| BodyError::NoMemory)?;
        // While a body arrives, the kernel holds what has not been read yet.
        let receive_bytes = if self.is_complete { 0 } else { RECEIVE_MEMORY_BYTES };
        let _receiving =
            budget.reserve(MemoryUse::Request, receive_bytes).map_err(|_| BodyError::NoMemory)?;
        let max_bytes = match self.body.size_hint().exact() {
            Some(_) => announced_bytes,
            None => limits.max_bytes,
        };
        let mut buffer = BodyBuffer::new(reservation, max_bytes).with_copies(limits.copies);
        let reading = async {
            loop {
                let next = timeout(Duration::from_millis(limits.stall_ms), self.next()).await;
                let Some(bytes) = next.unwrap_or(Err(BodyError::Late))? else { return Ok(()) };
                if buffer.len() + bytes.len() > limits.max_bytes {
                    return Err(BodyError::TooLarge);
                }
                buffer.push(&bytes).map_err(|_| BodyError::NoMemory)?;
            }
        };
        let read = timeout(Duration::from_millis(limits.remaining_ms), reading).await;
        read.unwrap_or(Err(BodyError::Late))?;
        Ok(buffer)
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if !self.is_complete {
            self.unread.set();
        }
    }
}
