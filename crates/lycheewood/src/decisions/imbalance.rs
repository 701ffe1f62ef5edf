//! How far the expert map of a group is from a balanced one, now and after the next shift of demand.
//!
//! Demand shifts to other experts every few seconds on some deployments. Until the map follows, the most loaded rank
//! has several times the mean load, and every stream that runs meanwhile has longer gaps. A batch that fits the present
//! map only makes all of them late, so the holder of a group's lease also reports what past shifts have caused.

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::units::{ceil_ms, float_ms};

/// Rise of the imbalance above its lowest value since the last shift that counts as a shift. Drift and the noise of
/// sampled counts stay below it.
const SHIFT_RISE: f64 = 0.5;
/// Time after a shift in which a further rise belongs to it, in milliseconds: the estimate of the demand follows within
/// some readings of the counts.
const SHIFT_MS: u64 = 1_000;
/// Weight of the newest shift in the mean interval.
const NEWEST_WEIGHT: f64 = 0.4;
/// Part of the highest peak that remains after each further shift. The peak is read between two switches of the map
/// only, when the estimate of the demand has not followed yet, so most readings are too low.
const PEAK_REMAINS: f64 = 0.95;
/// A group without a shift for this many mean intervals is not expected to have another.
const FORGET_INTERVALS: f64 = 3.0;
/// Longest interval between shifts that is planned for, in milliseconds. Rarer shifts affect too few streams to give
/// up a part of the batch for them.
const MAX_INTERVAL_MS: f64 = 30_000.0;

/// What past shifts of demand let expect in one group, as the holder of its lease reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedShift {
    /// The group.
    #[serde(rename = "g")]
    pub group: String,
    /// Imbalance from a shift until the map follows, in percent of a balanced map.
    #[serde(rename = "p")]
    pub peak_percent: u32,
    /// Mean time between two shifts, in milliseconds.
    #[serde(rename = "i")]
    pub interval_ms: u32,
}

/// Tracks the imbalance of one group and its shifts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ImbalanceTracker {
    /// Lowest imbalance since the last shift.
    settled: Option<f64>,
    last_shift: Option<Timestamp>,
    /// Highest imbalance since the last shift.
    peak: f64,
    highest_peak: Option<f64>,
    mean_interval_ms: Option<f64>,
}

impl ImbalanceTracker {
    /// Records the imbalance of the map in force under the present demand.
    pub fn record(&mut self, imbalance: f64, now: Timestamp) {
        let settled = self.settled.get_or_insert(imbalance);
        let is_same_shift = self.last_shift.is_some_and(|at| now.ms_since(at) < SHIFT_MS);
        if imbalance >= *settled + SHIFT_RISE && !is_same_shift {
            *settled = imbalance;
            if let Some(last) = self.last_shift.replace(now) {
                let interval_ms = float_ms(now.ms_since(last));
                self.mean_interval_ms = Some(mean(self.mean_interval_ms, interval_ms));
                let former = self.highest_peak.unwrap_or(0.0) * PEAK_REMAINS;
                self.highest_peak = Some(former.max(self.peak));
            }
            self.peak = imbalance;
            return;
        }
        *settled = settled.min(imbalance);
        self.peak = self.peak.max(imbalance);
    }

    /// The shift of `group` to plan for, if demand keeps shifting.
    #[must_use]
    pub fn expected_shift(&self, group: &str, now: Timestamp) -> Option<ExpectedShift> {
        let (peak, interval_ms) = self.highest_peak.zip(self.mean_interval_ms)?;
        let age_ms = float_ms(now.ms_since(self.last_shift?));
        let is_expected =
            interval_ms <= MAX_INTERVAL_MS && age_ms <= interval_ms * FORGET_INTERVALS;
        is_expected.then(|| ExpectedShift {
            group: group.to_owned(),
            peak_percent: whole(peak * 100.0),
            interval_ms: whole(interval_ms),
        })
    }
}

fn mean(former: Option<f64>, newest: f64) -> f64 {
    former.map_or(newest, |former| former.mul_add(1.0 - NEWEST_WEIGHT, newest * NEWEST_WEIGHT))
}

/// Rounds up to a whole number that fits.
fn whole(value: f64) -> u32 {
    u32::try_from(ceil_ms(value)).unwrap_or(u32::MAX)
}
