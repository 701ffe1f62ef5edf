//! What one entry learns about one endpoint from its own requests.

use crate::clock::Timestamp;
use crate::decisions::units::{decay, float_ms};

/// Weight of a new latency sample. A slow endpoint shows after about five answers.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of an error in the error share. Errors weigh more than answers, so that an endpoint that
/// fails each request loses new ones after two.
const ERROR_WEIGHT: f64 = 0.5;
/// Time constant of the error share, in milliseconds. Longer values keep a repaired endpoint idle.
const ERROR_DECAY_MS: u64 = 10_000;
/// Time constant of the average of own requests in flight, in milliseconds.
const AVERAGE_MS: u64 = 1_000;

/// Requests in flight and their average over about a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlight {
    count: u32,
    mean: f64,
    averaged: Timestamp,
}

impl InFlight {
    /// A request starts.
    pub fn on_start(&mut self, now: Timestamp) {
        self.average(now);
        self.count = self.count.saturating_add(1);
    }

    /// A request ends.
    pub fn on_end(&mut self, now: Timestamp) {
        self.average(now);
        self.count = self.count.saturating_sub(1);
    }

    /// Requests in flight now.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Average of the requests in flight over about a second.
    #[must_use]
    pub fn mean(&self, now: Timestamp) -> f64 {
        let kept = decay(now.ms_since(self.averaged), AVERAGE_MS);
        kept * self.mean + (1.0 - kept) * f64::from(self.count)
    }

    fn average(&mut self, now: Timestamp) {
        self.mean = self.mean(now);
        self.averaged = now;
    }
}

/// The state of the estimates for one endpoint; the caller stores one for each endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Own requests sent and not ended.
    in_flight: InFlight,
    /// Own requests sent whose first token is outstanding.
    unanswered: u32,
    /// Moving average of the time to first token, in milliseconds; 0 before the first sample.
    first_token_ms: f64,
    /// Decaying share of attempts that ended in an error, 0 to 1.
    error_share: f64,
    /// When a request was last sent with none unanswered, or an answer last came.
    progressed: Timestamp,
    /// When the latency or error share last changed.
    sampled: Timestamp,
}

impl Estimate {
    /// A request is sent to the endpoint.
    pub fn on_start(&mut self, now: Timestamp) {
        if self.unanswered == 0 {
            self.progressed = now;
        }
        self.in_flight.on_start(now);
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// The first token, or the head of a plain service's answer, came after `elapsed_ms`.
    pub fn on_first_token(&mut self, now: Timestamp, elapsed_ms: u64) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.progressed = now;
        self.sample(now, float_ms(elapsed_ms), 0.0);
    }

    /// The answer is complete, or the caller left after the first token.
    pub fn on_end(&mut self, now: Timestamp) {
        self.in_flight.on_end(now);
        self.progressed = now;
    }

    /// The attempt ended in an error after `elapsed_ms`.
    ///
    /// The sample is at least `penalty_ms`, so an endpoint that answers errors fast does not look
    /// fast. `answered` tells whether the first token had come.
    pub fn on_error(&mut self, now: Timestamp, elapsed_ms: u64, penalty_ms: u64, answered: bool) {
        self.in_flight.on_end(now);
        if !answered {
            self.unanswered = self.unanswered.saturating_sub(1);
        }
        self.progressed = now;
        self.sample(now, float_ms(elapsed_ms.max(penalty_ms)), 1.0);
    }

    /// The attempt was withdrawn without a verdict: refused as draining, or the caller left.
    pub fn on_withdrawn(&mut self, now: Timestamp) {
        self.in_flight.on_end(now);
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Own requests sent and not ended.
    #[must_use]
    pub const fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Decayed share of attempts that ended in an error, 0 to 1.
    #[must_use]
    pub fn error_share(&self, now: Timestamp) -> f64 {
        self.error_share * decay(now.ms_since(self.sampled), ERROR_DECAY_MS)
    }

    /// Measured time to first token in milliseconds and when it was measured, if it ever was.
    #[must_use]
    pub fn first_token_ms(&self) -> Option<(f64, Timestamp)> {
        (self.first_token_ms > 0.0).then_some((self.first_token_ms, self.sampled))
    }

    /// How long the endpoint has owed an answer without giving any, in milliseconds.
    #[must_use]
    pub fn stalled_ms(&self, now: Timestamp) -> u64 {
        if self.unanswered == 0 { 0 } else { now.ms_since(self.progressed) }
    }

    fn sample(&mut self, now: Timestamp, ms: f64, error: f64) {
        let ms = ms.max(1.0);
        let weight = if self.first_token_ms > 0.0 { SAMPLE_WEIGHT } else { 1.0 };
        self.first_token_ms += weight * (ms - self.first_token_ms);
        let share = self.error_share(now);
        let weight = if error > share { ERROR_WEIGHT } else { SAMPLE_WEIGHT };
        self.error_share = share + weight * (error - share);
        self.sampled = now;
    }
}
