//! How many requests an engine can run at once so that each stream keeps its pace.
//!
//! Engines that batch continuously write all streams in one pass, so each request that joins slows the
//! others down. Most of a pass grows with the batch, so a smaller batch loses hardly any throughput.

use crate::routes::raw::EnginePace;

/// Factor by which the most loaded rank is assumed to exceed the mean. Maps come to 1.2 within some 1.2 s of
/// a jump of demand, which comes every 4 s.
const ASSUMED_IMBALANCE: f64 = 1.5;
/// A pass takes this much longer while ranks copy weights.
const COPY_FACTOR: f64 = 1.15;
/// Prompts of usual length that the slowest rank reads in one pass. All ranks wait for the one that
/// reads the longest prompt.
const PROMPTS_A_PASS: f64 = 1.5;

/// Requests that one endpoint should run at once so that events are at most `gap_ms` apart, at least 1
/// and at most the engine's own bound.
#[must_use]
pub fn steady_batch(engine: &EnginePace, gap_ms: u64) -> u32 {
    let slow = 1.0 - engine.expert_share + engine.expert_share * ASSUMED_IMBALANCE;
    let gap_ms = crate::decisions::units::float_ms(gap_ms);
    let read_ms = PROMPTS_A_PASS * engine.usual_prompt / engine.read_per_s.max(1.0) * 1_000.0;
    let step_ms = (gap_ms / COPY_FACTOR - read_ms * slow) / f64::from(engine.stride.max(1));
    let room = (step_ms - engine.step_ms) / (engine.per_seq_ms * slow).max(f64::MIN_POSITIVE);
    let fitting = (1..=engine.slots).take_while(|batch| f64::from(*batch) <= room);
    fitting.last().unwrap_or(1)
}
