//! Remaining work of an endpoint: what this instance and the others have sent there and what is not done yet.

use crate::decisions::cost::RequestCost;

/// Part of what a stream has sent by which it is expected to go on once it has exceeded its estimate. Long answers
/// are long: the more of them has come, the more is left on average.
pub(crate) const OVERRUN_SHARE: f64 = 0.25;

/// Remaining work of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestWork {
    cost: RequestCost,
    events_sent: f64,
    events_expected: f64,
}

impl RequestWork {
    /// The work of a request that has just been sent.
    #[must_use]
    pub fn new(cost: RequestCost) -> Self {
        Self { cost, events_sent: 0.0, events_expected: cost.events.max(1.0) }
    }

    /// Records an event of the stream. The first one shows that the prompt has been read. A stream that exceeds its
    /// estimate is expected to go on for a while.
    pub fn record_event(&mut self) {
        self.events_sent += 1.0;
        if self.events_sent >= self.events_expected {
            let extended = self.events_sent + (self.events_sent * OVERRUN_SHARE).max(1.0);
            self.events_expected = extended.min(self.cost.max_events.max(self.events_sent));
        }
    }

    /// Whether the prompt has not been read.
    #[must_use]
    pub fn is_unread(&self) -> bool {
        self.events_sent == 0.0
    }

    /// Time to read the prompt.
    pub(crate) fn prompt_ms(&self) -> f64 {
        self.cost.prompt_ms
    }

    /// The remaining work, in milliseconds.
    #[must_use]
    pub fn left_ms(&self) -> f64 {
        let prompt_ms = if self.is_unread() { self.cost.prompt_ms } else { 0.0 };
        let events_left = (self.events_expected - self.events_sent).max(0.0);
        prompt_ms + self.cost.event_ms * events_left
    }
}

/// Remaining work of the requests that one instance has at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointWork {
    left_ms: f64,
    requests: u32,
}

impl EndpointWork {
    /// Adds a request that is being sent.
    pub fn add(&mut self, request: &RequestWork) {
        self.requests += 1;
        self.left_ms += request.left_ms();
    }

    /// Takes a change of a request's remaining work into account.
    pub fn update(&mut self, before_ms: f64, after_ms: f64) {
        self.left_ms = (self.left_ms + after_ms - before_ms).max(0.0);
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, request: &RequestWork) {
        self.requests = self.requests.saturating_sub(1);
        self.update(request.left_ms(), 0.0);
        if self.requests == 0 {
            // Rounding errors do not add up.
            self.left_ms = 0.0;
        }
    }

    /// Remaining work, in milliseconds.
    #[must_use]
    pub fn left_ms(&self) -> f64 {
        self.left_ms
    }

    /// Number of requests whose work is estimated.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.requests
    }
}

/// Remaining work of an endpoint from all instances. `unestimated` is the number of requests of which only the number is
/// known: those without token counts and those from builds that do not tell their work. Each counts as a whole
/// typical request, since nothing shows that a part of it is done.
#[must_use]
pub fn total_work_ms(
    own: &EndpointWork,
    others_ms: f64,
    unestimated: u32,
    typical: &RequestCost,
) -> f64 {
    own.left_ms + others_ms + f64::from(unestimated) * typical.total_ms()
}

/// Remaining work of all ranks of a group, which run each pass together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupWork {
    sum_ms: f64,
    in_flight: u32,
    ranks: u32,
}

impl GroupWork {
    /// Adds one rank with its requests in flight.
    pub fn add(&mut self, work_ms: f64, in_flight: u32) {
        self.sum_ms += work_ms;
        self.in_flight = self.in_flight.saturating_add(in_flight);
        self.ranks += 1;
    }

    /// Requests in flight for each rank.
    #[must_use]
    pub fn in_flight_per_rank(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.ranks.max(1))
    }

    /// Work for each rank, which the experts of the group share, in milliseconds.
    #[must_use]
    pub fn per_rank_ms(&self) -> f64 {
        self.sum_ms / f64::from(self.ranks.max(1))
    }
}
