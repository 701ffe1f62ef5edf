//! How long a request waits at a gateway for an engine that keeps its pace.

use crate::clock::Timestamp;

/// The part of the target time, in percent, after which a waiting request counts as late. The rest is
/// for reading the prompt and the first pass.
const ON_TIME_PERCENT: u64 = 50;
/// The part of the time until its deadline, in percent, that a late request waits. Its caller then has
/// time to come back, and no request is held until nobody can use its answer.
const LATE_PERCENT: u64 = 25;

/// When the phases of a wait end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTimes {
    on_time_until: Timestamp,
    late_until: Timestamp,
}

impl QueueTimes {
    /// The phases of a request that arrived at `received` and must be answered by `deadline`.
    #[must_use]
    pub fn new(received: Timestamp, target_ms: u64, deadline: Timestamp) -> Self {
        let on_time_ms = target_ms * ON_TIME_PERCENT / 100;
        let late_ms = deadline.ms_since(received) * LATE_PERCENT / 100;
        Self {
            on_time_until: received.plus_ms(on_time_ms),
            late_until: received.plus_ms(late_ms.max(on_time_ms)),
        }
    }

    /// When the phase at `now` ends.
    #[must_use]
    pub fn next_after(&self, now: Timestamp) -> Timestamp {
        if now < self.on_time_until { self.on_time_until } else { self.late_until }
    }
}

/// Where a waiting request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePhase {
    /// Its answer can still be on time.
    OnTime,
    /// Its answer will be late.
    Late,
    /// It has waited long enough.
    Over,
}

/// Where a request stands at `now`.
#[must_use]
pub fn queue_phase(times: &QueueTimes, now: Timestamp) -> QueuePhase {
    if now < times.on_time_until {
        QueuePhase::OnTime
    } else if now < times.late_until {
        QueuePhase::Late
    } else {
        QueuePhase::Over
    }
}

/// Requests in flight below which an endpoint may get the request. Late ones leave a place for those that
/// can be on time.
#[must_use]
pub fn queue_bound(batch: u32, phase: QueuePhase) -> u32 {
    match phase {
        QueuePhase::OnTime => batch,
        QueuePhase::Late | QueuePhase::Over => batch.saturating_sub(1).max(1),
    }
}
