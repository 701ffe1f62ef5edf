//! Largest batch with which an engine meets the target interval between the events of a stream.
//!
//! Engines with continuous batching advance all streams together, so each request that joins the batch slows
//! the others down. Most of the step time grows with the batch, so a smaller batch costs little throughput.
//!
//! The ranks of a group share their passes, so the gaps between the events of any of its streams show how long
//! a pass takes now. Gaps that exceed the target make every stream of the group late, and a batch that is a
//! little smaller makes all of them on time again.

use crate::clock::Timestamp;
use crate::decisions::units::{decay, float_ms, unit_interval};
use crate::routes::raw::EngineProfile;

/// Assumed ratio of the load of the most loaded rank to the mean load. Expert maps reach a ratio of 1.2 about
/// 1.2 s after a shift in demand, and demand shifts every 4 s.
const ASSUMED_IMBALANCE: f64 = 1.5;
/// Factor by which steps take longer while ranks copy weights.
const WEIGHT_COPY_SLOWDOWN: f64 = 1.15;
/// Assumed prefill work of the slowest rank between two events, in prompts of typical length. More than 1,
/// because all ranks wait for the one with the longest prompt.
const PROMPTS_PER_EVENT: f64 = 1.5;

/// Time constant of the decay of observed gaps, in milliseconds. Demand shifts every few seconds, and a batch
/// follows a lower limit only as fast as its requests complete.
const GAP_DECAY_MS: u64 = 300;
/// Weight of the observed gaps below which they show nothing.
const MIN_GAP_WEIGHT: f64 = 2.0;
/// Ratio of the longest gap of a stream to the mean gap of its group: passes differ by the prompts that ranks
/// read in them.
const GAP_SPREAD: f64 = 1.15;
/// Value of a late response relative to one that is on time, which decides between few responses on time and many
/// late ones where both are possible.
const LATE_VALUE: f64 = 0.5;

/// Mean of the recent gaps between the events of one group's streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct GapAverage {
    /// Sum of the gaps with exponentially decaying weight, in milliseconds.
    sum_ms: f64,
    weight: f64,
    updated: Timestamp,
}

impl GapAverage {
    /// Adds the time between two events of a stream.
    pub fn record(&mut self, gap_ms: u64, now: Timestamp) {
        let factor = decay(now.ms_since(self.updated), GAP_DECAY_MS);
        self.sum_ms = self.sum_ms.mul_add(factor, float_ms(gap_ms));
        self.weight = self.weight.mul_add(factor, 1.0);
        self.updated = now;
    }

    /// The mean gap, in milliseconds, or `None` if there are too few recent gaps.
    #[must_use]
    pub fn mean_ms(&self, now: Timestamp) -> Option<f64> {
        let weight = self.weight * decay(now.ms_since(self.updated), GAP_DECAY_MS);
        (weight >= MIN_GAP_WEIGHT).then(|| self.sum_ms / self.weight)
    }
}

/// The present pace of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupPace {
    /// Mean gap between the events of a stream, in milliseconds.
    pub gap_ms: f64,
    /// Mean number of requests that a rank runs.
    pub batch: f64,
    /// Time that the work of the slowest rank takes, as a multiple of the usual time.
    pub slowdown: f64,
}

impl GroupPace {
    /// Part of the gap that does not depend on the batch, in milliseconds.
    fn fixed_ms(&self, engine: &EngineProfile) -> f64 {
        engine.step_ms * f64::from(engine.tokens_per_event.max(1)) * self.slowdown
    }

    /// Time that each request of the batch adds to the gap, in milliseconds.
    #[must_use]
    pub fn request_cost_ms(&self, engine: &EngineProfile) -> f64 {
        ((self.gap_ms - self.fixed_ms(engine)) / self.batch.max(1.0)).max(0.0)
    }
}

/// Number of requests that the ranks of a group should run on average so that event gaps stay within the target at
/// the present pace, at most `limit`. Returns `limit` where no batch meets the target, or where so few requests
/// could be on time that a larger number of late responses is worth more.
#[must_use]
pub fn paced_batch(engine: &EngineProfile, gap_ms: u64, limit: u32, pace: &GroupPace) -> f64 {
    let limit = f64::from(limit);
    let longest_ms = float_ms(gap_ms) / GAP_SPREAD;
    let (fixed_ms, cost_ms) = (pace.fixed_ms(engine), pace.request_cost_ms(engine));
    let fitting = ((longest_ms - fixed_ms) / cost_ms.max(f64::MIN_POSITIVE)).min(limit);
    let on_time_per_ms = fitting / longest_ms;
    let late_per_ms = limit / (fixed_ms + cost_ms * limit);
    let is_worthwhile = fitting >= 1.0 && on_time_per_ms >= late_per_ms * LATE_VALUE;
    if is_worthwhile { fitting } else { limit }
}

/// The number of requests that one of the endpoints runs when they run `batch` on average. `random` is a fixed
/// number of the endpoint, so that all instances compute the same.
#[must_use]
pub fn endpoint_batch(batch: f64, random: u64) -> u32 {
    let whole = (1..=u32::MAX).take_while(|whole| f64::from(*whole) <= batch).last().unwrap_or(0);
    let has_one_more = unit_interval(random) < batch - f64::from(whole);
    (whole + u32::from(has_one_more)).max(1)
}

/// Number of requests that one endpoint should run concurrently so that the events of each stream are at most
/// `gap_ms` apart, at most the number of slots of the engine. 1 if no batch meets the target.
#[must_use]
pub fn max_batch(engine: &EngineProfile, gap_ms: u64) -> u32 {
    let slowest_rank = 1.0 - engine.expert_share + engine.expert_share * ASSUMED_IMBALANCE;
    let gap_ms = float_ms(gap_ms);
    let prefill_ms = PROMPTS_PER_EVENT * engine.typical_prompt_tokens
        / engine.prefill_tokens_per_s.max(1.0)
        * 1_000.0;
    let step_ms = (gap_ms / WEIGHT_COPY_SLOWDOWN - prefill_ms * slowest_rank)
        / f64::from(engine.tokens_per_event.max(1));
    let limit =
        (step_ms - engine.step_ms) / (engine.per_request_ms * slowest_rank).max(f64::MIN_POSITIVE);
    let feasible = (1..=engine.slots).take_while(|batch| f64::from(*batch) <= limit);
    feasible.last().unwrap_or(1)
}
