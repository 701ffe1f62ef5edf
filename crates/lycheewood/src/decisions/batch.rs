//! Largest batch with which an engine meets the target interval between the events of a stream.
//!
//! Engines with continuous batching advance all streams together, so each request that joins the batch slows
//! the others down. Most of the step time grows with the batch, so a smaller batch costs little throughput.

use crate::routes::raw::EngineProfile;

/// Assumed ratio of the load of the most loaded rank to the mean load. Expert maps reach a ratio of 1.2 about
/// 1.2 s after a shift in demand, and demand shifts every 4 s.
const ASSUMED_IMBALANCE: f64 = 1.5;
/// Factor by which steps take longer while ranks copy weights.
const WEIGHT_COPY_SLOWDOWN: f64 = 1.15;
/// Assumed prefill work of the slowest rank between two events, in prompts of typical length. More than 1,
/// because all ranks wait for the one with the longest prompt.
const PROMPTS_PER_EVENT: f64 = 1.5;

/// Number of requests that one endpoint should run concurrently so that the events of each stream are at most
/// `gap_ms` apart, at most the number of slots of the engine. 1 if no batch meets the target.
#[must_use]
pub fn max_batch(engine: &EngineProfile, gap_ms: u64) -> u32 {
    let slowest_rank = 1.0 - engine.expert_share + engine.expert_share * ASSUMED_IMBALANCE;
    let gap_ms = crate::decisions::units::float_ms(gap_ms);
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
