//! How many requests an engine can run at once so that each stream keeps its pace.
//!
//! Engines that batch continuously write all streams in one pass, so each request that joins slows the
//! others down. Most of a pass grows with the batch, so a smaller batch loses hardly any throughput.

use crate::clock::Timestamp;
use crate::decisions::units::float_ms;
use crate::routes::raw::EnginePace;

/// Factor by which the most loaded rank is assumed to exceed the mean. Maps come to 1.2 within some 1.2 s of
/// a jump of demand, which comes every 4 s.
const ASSUMED_IMBALANCE: f64 = 1.5;
/// A pass takes this much longer while ranks copy weights.
const COPY_FACTOR: f64 = 1.15;
/// Prompts of usual length that the slowest rank reads in one pass. All ranks wait for the one that
/// reads the longest prompt.
const PROMPTS_A_PASS: f64 = 1.5;

/// Requests that one server should run at once so that events are at most `gap_ms` apart, at least 1
/// and at most the engine's own bound.
#[must_use]
pub fn steady_batch(engine: &EnginePace, gap_ms: u64) -> u32 {
    let slow = 1.0 - engine.expert_share + engine.expert_share * ASSUMED_IMBALANCE;
    let gap_ms = float_ms(gap_ms);
    let read_ms = PROMPTS_A_PASS * engine.usual_prompt / engine.read_per_s.max(1.0) * 1_000.0;
    let step_ms = (gap_ms / COPY_FACTOR - read_ms * slow) / f64::from(engine.stride.max(1));
    let room = (step_ms - engine.step_ms) / (engine.per_seq_ms * slow).max(f64::MIN_POSITIVE);
    let fitting = (1..=engine.slots).take_while(|batch| f64::from(*batch) <= room);
    fitting.last().unwrap_or(1)
}

/// The time between two corrections of a batch, in milliseconds; a few passes.
const WINDOW_MS: u64 = 150;
/// The part of the longest allowed pause that passes may take. The rest is for a copy of weights that begins.
const PACE_PART: f64 = 0.87;
/// Passes shorter than this part of the allowed pause leave room for a larger batch.
const ROOM_PART: f64 = 0.75;
/// The least part of a batch that is kept in one correction. Requests in flight follow a bound only as they end.
const LEAST_KEPT: f64 = 0.8;
/// The least part of the steady batch. Below it, the fixed part of a pass costs more than a smaller batch gains.
const LEAST_PART: f64 = 0.5;
/// Corrections at the least batch after which it is given up, if passes are still too long.
const MAX_LATE: u32 = 4;
/// How long the steady batch is used after the least one did not help, in milliseconds. Streams are late then
/// whatever the batch, and a full one serves more of them.
const GIVEN_UP_MS: u64 = 3_000;

/// The batch of one group, corrected by the pauses that its streams show.
///
/// A pass also reads prompts, and after an outage many wait to be read; the model of [`steady_batch`] knows the
/// usual share only.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceControl {
    /// The present bound, once one was set.
    bound: Option<f64>,
    begun: Timestamp,
    sum_ms: f64,
    pauses: f64,
    late: u32,
    given_up_until: Timestamp,
}

impl PaceControl {
    /// Takes in a pause of a stream that may be `gap_ms` long, at a group whose model allows batches of
    /// `steady`.
    pub fn note(&mut self, pause_ms: u64, gap_ms: u64, steady: u32, now: Timestamp) {
        self.sum_ms += float_ms(pause_ms);
        self.pauses += 1.0;
        if now.ms_since(self.begun) < WINDOW_MS {
            return;
        }
        let (mean_ms, gap_ms, steady) =
            (self.sum_ms / self.pauses, float_ms(gap_ms), f64::from(steady));
        let least = (steady * LEAST_PART).max(1.0);
        let bound = self.bound.unwrap_or(steady).min(steady);
        let next = if mean_ms > PACE_PART * gap_ms {
            bound * (PACE_PART * gap_ms / mean_ms).max(LEAST_KEPT)
        } else if mean_ms < ROOM_PART * gap_ms {
            bound + 1.0
        } else {
            bound
        };
        let is_late = mean_ms > gap_ms && bound <= least;
        self.late = if is_late { self.late + 1 } else { 0 };
        if self.late >= MAX_LATE {
            self.late = 0;
            self.given_up_until = now.plus_ms(GIVEN_UP_MS);
        }
        let is_given_up = now < self.given_up_until;
        self.bound = Some(if is_given_up { steady } else { next.clamp(least, steady) });
        (self.begun, self.sum_ms, self.pauses) = (now, 0.0, 0.0);
    }

    /// Requests that one server of the group should run at once, at most `steady`.
    #[must_use]
    pub fn bound(&self, steady: u32) -> u32 {
        let bound = self.bound.unwrap_or(f64::from(steady));
        (1..=steady).take_while(|batch| f64::from(*batch) <= bound).last().unwrap_or(1)
    }
}
