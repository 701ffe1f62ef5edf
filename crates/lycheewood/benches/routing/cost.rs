//! Routing by estimated work in the scenarios of the tests, beside the choice by requests in flight, two random
//! choices and the least count.

#[path = "../../tests/cost_routing/model.rs"]
mod model;
#[path = "../../tests/cost_routing/policies.rs"]
mod policies;
#[path = "../../tests/cost_routing/scenarios.rs"]
mod scenarios;

const SEEDS: [u64; 8] = [11, 23, 47, 59, 71, 83, 97, 113];

const SCENARIOS: [model::Scenario; 16] = [
    scenarios::HEAVY_TAILS,
    scenarios::HEAVY_TAILS_GROUPS,
    scenarios::HEAVY_TAILS_OVERLOAD,
    scenarios::HEAVY_TAILS_GROUPS_OVERLOAD,
    scenarios::WRONG_HINTS_OVERLOAD,
    scenarios::LONG_CONTEXTS_OVERLOAD,
    scenarios::ONE_SLOW,
    scenarios::THIRD_SLOW,
    scenarios::GROUP_SLOW,
    scenarios::WRONG_HINTS,
    scenarios::STALE_COUNTS,
    scenarios::STALE_COUNTS_GROUPS,
    scenarios::WAVES,
    scenarios::WAVES_GROUPS,
    scenarios::CAPACITY_ADDED,
    scenarios::GROUP_ADDED,
];

/// Prints a CSV table with one row per scenario and policy. `first_endpoint_share` is the share of the first endpoint
/// while it is slow.
pub(crate) fn print() {
    println!(
        "scenario,policy,on_time_share,late,unserved,first_event_p50_ms,first_event_p99_ms,\
         first_endpoint_share"
    );
    let slow_s = scenarios::SLOW_FROM_S + 1..scenarios::SLOW_UNTIL_S;
    for scenario in &SCENARIOS {
        for (policy, name) in policies::POLICIES {
            let outcome = model::play(scenario, policy, &SEEDS);
            println!(
                "{},{name},{:.4},{},{},{},{},{:.4}",
                scenario.name,
                outcome.on_time_share(),
                outcome.late,
                outcome.unserved,
                crate::events::percentile(&outcome.first_event_ms, 0.5),
                crate::events::percentile(&outcome.first_event_ms, 0.99),
                outcome.share(1, slow_s.clone()),
            );
        }
    }
}
