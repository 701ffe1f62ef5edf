//! The scenarios, by name.

use rand::RngExt;
use rand::rngs::StdRng;

use super::model::{Scenario, Size};

/// Twelve engines without groups at seven tenths of their capacity.
const ENGINES: Scenario = Scenario {
    name: "engines",
    groups: 12,
    ranks: 1,
    gateways: 15,
    refresh_ms: (200, 700),
    end_ms: 20_000,
    rate: |_| 44.0,
    first_domain: |_| 1.0 / 3.0,
    size: usual_size,
    hint_factor: |_| 1.0,
    slowdown: |_, _| 1.0,
    is_listed: |_, _| true,
    context_ms_per_k: 0.15,
    first_event_ms: 400,
    gap_ms: 120,
};

/// Three groups of 24 ranks at seven tenths of their capacity.
const GROUPS: Scenario = Scenario {
    name: "groups",
    groups: 3,
    ranks: 24,
    gateways: 72,
    end_ms: 12_000,
    rate: |_| 240.0,
    ..ENGINES
};

/// Engines at which the context decides the cost of a token, so that counts of requests mislead.
const LONG_CONTEXTS: Scenario =
    Scenario { rate: |_| 26.0, size: heavy_tails, context_ms_per_k: 1.0, ..ENGINES };

pub(crate) const HEAVY_TAILS: Scenario = Scenario { name: "heavy_tails", ..LONG_CONTEXTS };
pub(crate) const HEAVY_TAILS_GROUPS: Scenario = Scenario {
    name: "heavy_tails_groups",
    rate: |_| 130.0,
    size: heavy_tails,
    context_ms_per_k: 1.0,
    ..GROUPS
};
/// Heavy tails above the capacity of the engines.
pub(crate) const HEAVY_TAILS_OVERLOAD: Scenario = Scenario {
    name: "heavy_tails_overload",
    rate: |_| 48.0,
    size: heavy_tails,
    context_ms_per_k: 0.15,
    ..ENGINES
};
pub(crate) const HEAVY_TAILS_GROUPS_OVERLOAD: Scenario = Scenario {
    name: "heavy_tails_groups_overload",
    rate: |_| 240.0,
    size: heavy_tails,
    context_ms_per_k: 1.0,
    ..GROUPS
};
pub(crate) const WRONG_HINTS_OVERLOAD: Scenario = Scenario {
    name: "wrong_hints_overload",
    hint_factor: |route| if route == 0 { 1.0 / 3.0 } else { 1.0 },
    ..HEAVY_TAILS_OVERLOAD
};
pub(crate) const LONG_CONTEXTS_OVERLOAD: Scenario =
    Scenario { name: "long_contexts_overload", rate: |_| 48.0, ..LONG_CONTEXTS };
pub(crate) const ONE_SLOW: Scenario =
    Scenario { name: "one_slow", slowdown: |ms, n| slow(ms, n == 0), ..ENGINES };
pub(crate) const THIRD_SLOW: Scenario =
    Scenario { name: "third_slow", rate: |_| 30.0, slowdown: |ms, n| slow(ms, n < 4), ..ENGINES };
pub(crate) const GROUP_SLOW: Scenario =
    Scenario { name: "group_slow", rate: |_| 160.0, slowdown: |ms, n| slow(ms, n < 24), ..GROUPS };
pub(crate) const WRONG_HINTS: Scenario = Scenario {
    name: "wrong_hints",
    hint_factor: |route| if route == 0 { 1.0 / 3.0 } else { 1.0 },
    ..LONG_CONTEXTS
};

/// Scenarios that put many instances with old counts to the test.
pub(crate) const STALE_COUNTS: Scenario =
    Scenario { name: "stale_counts", gateways: 100, refresh_ms: (200, 2_000), ..ENGINES };
pub(crate) const STALE_COUNTS_GROUPS: Scenario =
    Scenario { name: "stale_counts_groups", gateways: 100, refresh_ms: (200, 2_000), ..GROUPS };
pub(crate) const WAVES: Scenario = Scenario { name: "waves", first_domain: wave, ..ENGINES };
pub(crate) const WAVES_GROUPS: Scenario =
    Scenario { name: "waves_groups", first_domain: wave, ..GROUPS };
pub(crate) const CAPACITY_ADDED: Scenario = Scenario {
    name: "capacity_added",
    rate: |ms| if ms < 4_000 { 28.0 } else { 44.0 },
    is_listed: |ms, n| n >= 4 || ms >= 6_000,
    ..ENGINES
};
pub(crate) const GROUP_ADDED: Scenario = Scenario {
    name: "group_added",
    rate: |ms| if ms < 3_000 { 150.0 } else { 230.0 },
    is_listed: |ms, n| n >= 24 || ms >= 5_000,
    ..GROUPS
};

/// When endpoints are slow, in seconds.
pub(crate) const SLOW_FROM_S: usize = 5;
pub(crate) const SLOW_UNTIL_S: usize = 10;
/// Time that the work of a slow endpoint takes, as a multiple of the usual time.
const SLOWDOWN: f64 = 8.0;

fn slow(ms: u64, is_concerned: bool) -> f64 {
    let second = usize::try_from(ms / 1_000).unwrap();
    let is_slow = is_concerned && (SLOW_FROM_S..SLOW_UNTIL_S).contains(&second);
    if is_slow { SLOWDOWN } else { 1.0 }
}

/// Demand moves to the first failure domain and back every 6 s.
fn wave(ms: u64) -> f64 {
    if ms % 6_000 < 3_000 { 0.55 } else { 0.15 }
}

fn exponential(random: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

fn count(events: f64) -> u32 {
    (1..=57).take_while(|count| f64::from(*count) <= events).last().unwrap_or(1)
}

fn usual_size(random: &mut StdRng) -> Size {
    let prompt_tokens = exponential(random, 820.0).clamp(16.0, 2_880.0).round();
    Size { prompt_tokens, events: count(exponential(random, 23.0).clamp(2.0, 57.0)) }
}

/// One in eight requests does three quarters of the work.
fn heavy_tails(random: &mut StdRng) -> Size {
    if random.random_bool(0.125) {
        let prompt_tokens = random.random_range(2_000.0_f64..2_880.0).round();
        return Size { prompt_tokens, events: random.random_range(45..=57) };
    }
    let prompt_tokens = random.random_range(100.0_f64..500.0).round();
    Size { prompt_tokens, events: random.random_range(3..=10) }
}
