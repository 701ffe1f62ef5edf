//! The life cycle of a request that waits for a place at an endpoint.

use crate::clock::Timestamp;
use crate::decisions::queue::{QueuePhase, queue_phase};
use crate::decisions::urgency::PlaceRequest;

/// A request that has no place yet.
#[derive(Debug)]
pub struct Waiting(());

/// A request that has got a place.
#[derive(Debug)]
pub struct Granted {
    waited_ms: u64,
}

/// A request that gets no place any more.
#[derive(Debug)]
pub struct Expired {
    retry_after_ms: u64,
}

/// The wait of one request, in the state `S`.
///
/// A wait that has ended cannot be granted a place:
///
/// ```compile_fail
/// use lycheewood::{PlaceWait, PlaceWaitExpired, Timestamp};
///
/// fn grant(wait: PlaceWait<PlaceWaitExpired>, now: Timestamp) {
///     wait.grant(now);
/// }
/// ```
#[derive(Debug)]
pub struct PlaceWait<S> {
    request: PlaceRequest,
    state: S,
}

impl PlaceWait<Waiting> {
    /// Begins the wait.
    #[must_use]
    pub const fn begin(request: PlaceRequest) -> Self {
        Self { request, state: Waiting(()) }
    }

    /// The waiting request.
    #[must_use]
    pub const fn request(&self) -> &PlaceRequest {
        &self.request
    }

    /// The phase of the wait.
    #[must_use]
    pub fn phase(&self, now: Timestamp) -> QueuePhase {
        queue_phase(&self.request.deadlines, now)
    }

    /// Ends the wait with a place.
    #[must_use]
    pub fn grant(self, now: Timestamp) -> PlaceWait<Granted> {
        let waited_ms = now.ms_since(self.request.received);
        PlaceWait { request: self.request, state: Granted { waited_ms } }
    }

    /// Ends the wait without a place. The caller may come back after `retry_after_ms`.
    #[must_use]
    pub const fn expire(self, retry_after_ms: u64) -> PlaceWait<Expired> {
        PlaceWait { request: self.request, state: Expired { retry_after_ms } }
    }
}

impl PlaceWait<Granted> {
    /// Time between the arrival of the request and the grant, in milliseconds.
    #[must_use]
    pub const fn waited_ms(&self) -> u64 {
        self.state.waited_ms
    }
}

impl PlaceWait<Expired> {
    /// When the caller may come back, in milliseconds.
    #[must_use]
    pub const fn retry_after_ms(&self) -> u64 {
        self.state.retry_after_ms
    }
}
