//! How long a request queues at a gateway for an engine with a free batch slot.

use crate::clock::Timestamp;

/// Percentage of the target latency after which a queued request counts as late. The rest is needed for
/// the prefill and the first event.
const ON_TIME_PERCENT: u64 = 50;
/// Percentage of the time between arrival and deadline after which a request leaves the queue. The caller
/// then still has time to retry, and no request is held until its answer is of no use.
const LATE_PERCENT: u64 = 25;

/// Maximum time for which a request waits at an instance that has just started, in milliseconds. Callers leave after
/// two seconds without an answer, and the engine needs some of them.
const MAX_STARTUP_WAIT_MS: u64 = 1_000;

/// Time for which a request waits at an instance that has started and knows no routes or endpoints yet, in
/// milliseconds. `caller_ms` is how long its caller waits.
#[must_use]
pub fn startup_wait_ms(caller_ms: Option<u64>) -> u64 {
    caller_ms.map_or(MAX_STARTUP_WAIT_MS, |ms| (ms * LATE_PERCENT / 100).min(MAX_STARTUP_WAIT_MS))
}

/// Time for which requests that have waited for the start of an instance gather before the first of them gets a place,
/// in milliseconds. They are released together and pass the filters within a few milliseconds.
const START_GATHER_MS: u64 = 20;

/// When a request may look for its first place. Requests that arrived before the instance had `started` gather first,
/// so that the most urgent of them is served first and not the one that passes the filters first.
#[must_use]
pub fn first_look(received: Timestamp, started: Option<Timestamp>) -> Timestamp {
    let started = started.filter(|started| received < *started);
    started.map_or(received, |started| started.plus_ms(START_GATHER_MS))
}

/// End times of the queue phases of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueDeadlines {
    on_time_until: Timestamp,
    late_until: Timestamp,
}

impl QueueDeadlines {
    /// Computes the phases of a request that arrived at `received`, has a target latency of `target_ms` and
    /// must be answered by `deadline`.
    #[must_use]
    pub fn new(received: Timestamp, target_ms: u64, deadline: Timestamp) -> Self {
        let on_time_ms = target_ms * ON_TIME_PERCENT / 100;
        let late_ms = deadline.ms_since(received) * LATE_PERCENT / 100;
        Self {
            on_time_until: received.plus_ms(on_time_ms),
            late_until: received.plus_ms(late_ms.max(on_time_ms)),
        }
    }

    /// When the request leaves the queue.
    #[must_use]
    pub const fn expires(&self) -> Timestamp {
        self.late_until
    }

    /// The end of the phase that is current at `now`.
    #[must_use]
    pub fn phase_end(&self, now: Timestamp) -> Timestamp {
        if now < self.on_time_until { self.on_time_until } else { self.late_until }
    }
}

/// The phase of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePhase {
    /// The request can still meet its target latency.
    OnTime,
    /// The request will miss its target latency.
    Late,
    /// The request has reached its maximum queueing time.
    Expired,
}

/// The phase of a request at `now`.
#[must_use]
pub fn queue_phase(deadlines: &QueueDeadlines, now: Timestamp) -> QueuePhase {
    if now < deadlines.on_time_until {
        QueuePhase::OnTime
    } else if now < deadlines.late_until {
        QueuePhase::Late
    } else {
        QueuePhase::Expired
    }
}

/// Number of requests in flight below which an endpoint may receive the request. Late requests leave one slot
/// of the batch free for requests that can still be on time.
#[must_use]
pub fn in_flight_limit(batch: u32, phase: QueuePhase) -> u32 {
    match phase {
        QueuePhase::OnTime => batch,
        QueuePhase::Late | QueuePhase::Expired => batch.saturating_sub(1).max(1),
    }
}
