//! Bursts of urgent and of less urgent requests, with all engines and after the loss of a third of them, beside the
//! decisions before priorities, first come first served with a bounded queue, and strict priority without floors.

use crate::model::{CLASSES, Outcome, Pattern, Policy};
use crate::{MAX_COST_UNLOADED, outcome, patterns};

/// Least share of the average service that a workspace or a route must get.
const MIN_SHARE_OF_AVERAGE: f64 = 0.25;
/// Least share of their route's service that the largest prompts must get.
const MIN_SHARE_OF_LARGE: f64 = 0.5;
/// By how much less urgent requests may be served more often than urgent ones, and may get a larger share of their
/// value.
const MAX_SERVED_LESS: f64 = 0.05;
const MAX_VALUE_LESS: f64 = 0.15;

/// Plays a pattern with the decisions of the library, checks the bounds of fairness, and compares the value with that
/// of the other policies. It may be lower by the part `max_cost`.
fn check(pattern: &Pattern, max_cost: f64) {
    let paced = outcome(pattern, Policy::Paced);
    check_fairness(pattern, &paced);
    for policy in [Policy::Unordered, Policy::FirstCome, Policy::Strict] {
        let other = outcome(pattern, policy);
        let (value, other_value) = (paced.value(pattern.site), other.value(pattern.site));
        let least = other_value * (1.0 - max_cost);
        assert!(value >= least, "{policy:?}: {value} below {least}");
    }
}

fn check_fairness(pattern: &Pattern, paced: &Outcome) {
    let average = paced.served();
    let kinds = paced.classes.iter().chain(&paced.workspaces);
    for kind in kinds {
        assert!(kind.served() >= MIN_SHARE_OF_AVERAGE * average, "{kind:?} {average}");
    }
    assert!(paced.large.served() >= MIN_SHARE_OF_LARGE * average, "{:?}", paced.large);
    for class in 1..CLASSES {
        let (urgent, other) = (&paced.classes[class - 1], &paced.classes[class]);
        assert!(urgent.served() >= other.served() - MAX_SERVED_LESS, "{urgent:?} {other:?}");
        let share = |class: usize| paced.classes[class].value(pattern.site.values[class].1);
        let (urgent, other) = (share(class - 1), share(class));
        assert!(urgent >= other - MAX_VALUE_LESS, "{class}: {urgent} {other}");
    }
}

/// Guards against a flood of the least urgent requests that makes steady urgent ones late, and against starving it.
#[test]
fn a_burst_of_the_least_urgent() {
    check(&patterns::LEAST_URGENT_BURST, MAX_COST_UNLOADED);
}

/// Guards against a flood of urgent requests that starves the others.
#[test]
fn a_burst_of_the_urgent() {
    check(&patterns::URGENT_BURST, MAX_COST_UNLOADED);
}

/// The same after the loss of a third of the ranks.
#[test]
fn a_burst_of_the_least_urgent_after_a_loss() {
    check(&patterns::LEAST_URGENT_BURST_AFTER_LOSS, 0.0);
}

/// The same after the loss of a third of the ranks.
#[test]
fn a_burst_of_the_urgent_after_a_loss() {
    check(&patterns::URGENT_BURST_AFTER_LOSS, 0.0);
}

/// Guards against holding back or refusing requests below the capacity.
#[test]
fn steady_requests_of_all_priorities_are_served() {
    let calm = outcome(&patterns::THREE_PRIORITIES, Policy::Paced);
    for class in calm.classes {
        assert!(class.served() >= 0.99, "{class:?}");
    }
    assert!(calm.on_time_share() >= 0.95, "{calm:?}");
}

/// Guards against decisions that suit many small gateways only.
#[test]
fn waves_before_few_gateways() {
    check(&patterns::WAVES, 0.0);
}
