//! Load, latency and error estimates of one endpoint from the requests of this entry.

use crate::clock::Timestamp;
use crate::decisions::units::{decay, float_ms};

/// Weight of a new latency sample. A slow endpoint is recognized after about five responses.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of an error in the error share. Errors weigh more than successes, so that an endpoint that fails
/// every request receives no new ones after two failures.
const ERROR_WEIGHT: f64 = 0.5;
/// Time constant of the error share, in milliseconds. A longer one keeps a repaired endpoint idle.
const ERROR_DECAY_MS: u64 = 10_000;
/// Time constant of the moving average of requests in flight, in milliseconds.
const IN_FLIGHT_DECAY_MS: u64 = 1_000;

/// Number of requests in flight and its moving average over about a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlightMeter {
    count: u32,
    mean: f64,
    mean_updated: Timestamp,
}

impl InFlightMeter {
    /// Records the start of a request.
    pub fn on_start(&mut self, now: Timestamp) {
        self.update_mean(now);
        self.count = self.count.saturating_add(1);
    }

    /// Records the end of a request.
    pub fn on_end(&mut self, now: Timestamp) {
        self.update_mean(now);
        self.count = self.count.saturating_sub(1);
    }

    /// Requests in flight now.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Moving average of the requests in flight over about a second.
    #[must_use]
    pub fn mean(&self, now: Timestamp) -> f64 {
        let weight = decay(now.ms_since(self.mean_updated), IN_FLIGHT_DECAY_MS);
        weight * self.mean + (1.0 - weight) * f64::from(self.count)
    }

    fn update_mean(&mut self, now: Timestamp) {
        self.mean = self.mean(now);
        self.mean_updated = now;
    }
}

/// Estimates for one endpoint. The caller stores one value per endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEstimate {
    /// Own requests in flight.
    in_flight: InFlightMeter,
    /// Own requests in flight that have not received their first token.
    unanswered: u32,
    /// Moving average of the time to first token, in milliseconds; 0 before the first sample.
    first_token_ms: f64,
    /// Decaying share of attempts that ended in an error, 0 to 1.
    error_share: f64,
    /// When a request was last sent while none was unanswered, or the endpoint last responded.
    last_progress: Timestamp,
    /// When the latency and the error share were last updated.
    last_sample: Timestamp,
}

impl EndpointEstimate {
    /// Records that a request was sent to the endpoint.
    pub fn on_start(&mut self, now: Timestamp) {
        if self.unanswered == 0 {
            self.last_progress = now;
        }
        self.in_flight.on_start(now);
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Records that the first token, or the response head of a plain service, arrived after `elapsed_ms`.
    pub fn on_first_token(&mut self, now: Timestamp, elapsed_ms: u64) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.last_progress = now;
        self.sample(now, float_ms(elapsed_ms), 0.0);
    }

    /// Records that the response is complete, or that the caller disconnected after the first token.
    pub fn on_end(&mut self, now: Timestamp) {
        self.in_flight.on_end(now);
        self.last_progress = now;
    }

    /// Records that the attempt failed after `elapsed_ms`.
    ///
    /// The latency sample is at least `penalty_ms`, so that an endpoint that fails fast does not look
    /// fast. `answered` is true if the first token had arrived.
    pub fn on_error(&mut self, now: Timestamp, elapsed_ms: u64, penalty_ms: u64, answered: bool) {
        self.in_flight.on_end(now);
        if !answered {
            self.unanswered = self.unanswered.saturating_sub(1);
        }
        self.last_progress = now;
        self.sample(now, float_ms(elapsed_ms.max(penalty_ms)), 1.0);
    }

    /// Records that the attempt ended before the first token without a result: the endpoint refused it as
    /// draining, or the caller disconnected.
    pub fn on_cancelled(&mut self, now: Timestamp) {
        self.in_flight.on_end(now);
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Own requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> &InFlightMeter {
        &self.in_flight
    }

    /// Share of attempts that ended in an error, decayed to `now`, 0 to 1.
    #[must_use]
    pub fn error_share(&self, now: Timestamp) -> f64 {
        self.error_share * decay(now.ms_since(self.last_sample), ERROR_DECAY_MS)
    }

    /// Average time to first token in milliseconds and the time of the last sample, if there is one.
    #[must_use]
    pub fn first_token_ms(&self) -> Option<(f64, Timestamp)> {
        (self.first_token_ms > 0.0).then_some((self.first_token_ms, self.last_sample))
    }

    /// Time for which the endpoint has not responded although requests are unanswered, in milliseconds.
    #[must_use]
    pub fn stalled_ms(&self, now: Timestamp) -> u64 {
        if self.unanswered == 0 { 0 } else { now.ms_since(self.last_progress) }
    }

    fn sample(&mut self, now: Timestamp, ms: f64, error: f64) {
        let ms = ms.max(1.0);
        let weight = if self.first_token_ms > 0.0 { SAMPLE_WEIGHT } else { 1.0 };
        self.first_token_ms += weight * (ms - self.first_token_ms);
        let share = self.error_share(now);
        let weight = if error > share { ERROR_WEIGHT } else { SAMPLE_WEIGHT };
        self.error_share = share + weight * (error - share);
        self.last_sample = now;
    }
}
