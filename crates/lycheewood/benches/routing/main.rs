//! Compares routing policies in a discrete-event simulation of 12 endpoints in 3 failure domains.
//!
//! Prints a CSV table with one row per scenario and policy, and then one of the scenarios in which the work of
//! requests differs. The output is deterministic.

mod cost;
#[path = "../support/events.rs"]
mod events;
mod model;
mod policies;
mod run;

use policies::{POLICIES, Policy};
use run::{Fault, Outcome, Scenario};

const SEEDS: [u64; 8] = [11, 23, 47, 59, 71, 83, 97, 113];

fn main() {
    println!(
        "scenario,entries,report_age_ms,policy,first_token_p50_ms,first_token_p99_ms,\
         cache_hit_share,goodput_share,imbalance"
    );
    let faults = [
        (Fault::None, "steady", 90.0),
        // Exceeds the capacity of the endpoints without cached prefixes.
        (Fault::None, "peak", 130.0),
        (Fault::Slow, "slow_endpoint", 90.0),
        (Fault::Errors, "error_endpoint", 85.0),
        // Must fit into two thirds of the capacity after the loss.
        (Fault::DomainLost, "domain_lost", 60.0),
    ];
    for (fault, name, requests_per_s) in faults {
        for entries in [3, 16] {
            for report_age_ms in [100, 5_000] {
                let scenario = Scenario { fault, entries, report_age_ms, requests_per_s };
                for (policy, policy_name) in POLICIES {
                    let outcome = all_seeds(policy, scenario);
                    println!("{name},{entries},{report_age_ms},{policy_name},{}", row(&outcome));
                }
            }
        }
    }
    println!();
    cost::print();
}

fn all_seeds(policy: Policy, scenario: Scenario) -> Outcome {
    let mut all = Outcome::default();
    for seed in SEEDS {
        let outcome = run::run(policy, scenario, seed);
        all.first_token_ms.extend(outcome.first_token_ms);
        all.hits += outcome.hits;
        all.served += outcome.served;
        all.imbalance = all.imbalance.max(outcome.imbalance);
    }
    all.sort();
    all
}

fn row(outcome: &Outcome) -> String {
    format!(
        "{},{},{:.3},{:.4},{:.2}",
        outcome.percentile(0.5),
        outcome.percentile(0.99),
        events::float(outcome.hits) / events::float(outcome.served.max(1)),
        outcome.goodput(),
        outcome.imbalance,
    )
}
