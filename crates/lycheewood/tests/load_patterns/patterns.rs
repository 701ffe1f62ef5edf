//! The patterns of load, by name.

use crate::model::{ONE_GROUP, Pattern, THREE_GROUPS};

/// Demand shifts to other experts every 2.4 s; the map follows within a second.
pub(crate) const EXPERT_DRIFT: Pattern =
    Pattern { imbalance: |ms| if ms % 2_400 < 1_000 { 3.1 } else { 1.45 }, ..Pattern::CALM };

/// A step of load to well above the capacity, for 8 s.
pub(crate) const LOAD_STEP: Pattern = Pattern {
    rates: |ms| [if (4_000..12_000).contains(&ms) { 300.0 } else { 120.0 }, 0.0, 0.0],
    ..Pattern::CALM
};

/// A slow rank holds back its group for 6 s.
pub(crate) const SLOW_RANK: Pattern = Pattern {
    slowdown: |ms| if (4_000..10_000).contains(&ms) { 12.0 } else { 1.0 },
    ..Pattern::CALM
};

/// The group pauses for 2 s and forms again.
pub(crate) const GROUP_AWAY: Pattern = Pattern {
    slowdown: |ms| if (4_000..6_000).contains(&ms) { f64::INFINITY } else { 1.0 },
    ..Pattern::CALM
};

/// Load above the capacity, whose refused callers come back at once and often.
pub(crate) const CALLERS_REPEAT: Pattern = Pattern {
    rates: |ms| [if (4_000..12_000).contains(&ms) { 260.0 } else { 120.0 }, 0.0, 0.0],
    repeats_at_once: true,
    ..Pattern::CALM
};

/// Load above the capacity, a third of whose callers leave early.
pub(crate) const CALLERS_LEAVE: Pattern = Pattern {
    rates: |ms| [if (4_000..12_000).contains(&ms) { 300.0 } else { 120.0 }, 0.0, 0.0],
    leave_early: 0.3,
    ..Pattern::CALM
};

/// The engines start 3 s after the callers.
pub(crate) const LATE_START: Pattern =
    Pattern { slowdown: |ms| if ms < 3_000 { f64::INFINITY } else { 1.0 }, ..Pattern::CALM };

/// Streams of three priorities on 72 ranks, somewhat below the capacity.
pub(crate) const THREE_PRIORITIES: Pattern = Pattern {
    site: &THREE_GROUPS,
    rates: |_| [92.0, 122.0, 41.0],
    imbalance: |_| 1.25,
    ..Pattern::CALM
};

/// A burst of the least urgent requests beside steady urgent ones. Demand for experts is uneven meanwhile.
pub(crate) const LEAST_URGENT_BURST: Pattern = Pattern {
    rates: |ms| [92.0, 122.0, if is_burst(ms) { 41.0 * 2.6 } else { 41.0 }],
    imbalance: |ms| if is_burst(ms) { 1.75 } else { 1.25 },
    ..THREE_PRIORITIES
};

/// A burst of urgent requests.
pub(crate) const URGENT_BURST: Pattern = Pattern {
    rates: |ms| [if is_burst(ms) { 92.0 * 1.8 } else { 92.0 }, 122.0, 41.0],
    ..LEAST_URGENT_BURST
};

/// Both bursts with a third of the ranks lost.
pub(crate) const LEAST_URGENT_BURST_AFTER_LOSS: Pattern =
    Pattern { ranks_lost: a_third_from_start, ..LEAST_URGENT_BURST };
pub(crate) const URGENT_BURST_AFTER_LOSS: Pattern =
    Pattern { ranks_lost: a_third_from_start, ..URGENT_BURST };

/// The engines start 3 s after the callers, who send requests of three priorities.
pub(crate) const LATE_START_WITH_PRIORITIES: Pattern =
    Pattern { slowdown: |ms| if ms < 3_000 { f64::INFINITY } else { 1.0 }, ..THREE_PRIORITIES };

const fn is_burst(ms: u64) -> bool {
    4_000 <= ms && ms < 14_000
}

const fn a_third_from_start(ms: u64) -> usize {
    if ms >= 2_000 { 24 } else { 0 }
}

/// Demand that varies by 55% with a period of 13 s before 17 gateways, with a third of the ranks lost.
pub(crate) const WAVES: Pattern = Pattern {
    site: &ONE_GROUP,
    rates: |ms| {
        let phase = f64::from(u32::try_from(ms % 13_000).unwrap_or(0)) / 13_000.0;
        let wave = 0.55f64.mul_add((phase * std::f64::consts::TAU).sin(), 1.0);
        [118.0 * wave, 90.0 * wave, 52.0 * wave]
    },
    imbalance: |_| 1.5,
    end_ms: 26_000,
    ranks_lost: a_third_from_start,
    ..Pattern::CALM
};
