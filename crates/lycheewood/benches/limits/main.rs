//! Compares admission policies at 0.5 to 3 times capacity after a scheduled load peak.
//!
//! `small_goodput_share` is the share of the small workspaces' requests answered in time; their demand is
//! below their share of capacity. `overshoot` is the maximum number of requests in the system per slot.
//!
//! Prints a CSV table with one row per policy and load. The output is deterministic. If `LYCHEEWOOD_PLOT` is
//! set to a path, also writes a plot of goodput against offered load to that path as SVG.

#[path = "../support/events.rs"]
mod events;
mod plot;
mod policies;
mod run;

use policies::{POLICIES, Policy};
use run::Outcome;

const SEEDS: [u64; 3] = [11, 23, 47];
const LOADS: [f64; 8] = [0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 2.5, 3.0];

fn main() {
    println!(
        "policy,offered_load,goodput_per_s,goodput_share_of_peak,admitted_p99_ms,refused_share,\
         small_goodput_share,overshoot"
    );
    let mut curves = Vec::new();
    for (policy, name) in POLICIES {
        let mut outcomes = LOADS.map(|load| all_seeds(policy, load));
        let goodputs = outcomes.each_ref().map(goodput_per_s);
        let peak = goodputs.iter().copied().fold(0.0, f64::max);
        for ((load, goodput), outcome) in LOADS.iter().zip(goodputs).zip(&mut outcomes) {
            println!("{name},{load},{goodput:.1},{:.3},{}", goodput / peak, row(outcome));
        }
        let points = LOADS.iter().map(|l| l * run::capacity_per_s()).zip(goodputs).collect();
        curves.push((name, points));
    }
    if let Some(path) = std::env::var_os("LYCHEEWOOD_PLOT")
        && let Err(error) = plot::write(path.as_ref(), run::capacity_per_s(), &curves)
    {
        eprintln!("cannot write the plot; set LYCHEEWOOD_PLOT to a writable path: {error}");
        std::process::exit(1);
    }
}

fn all_seeds(policy: Policy, load: f64) -> Outcome {
    let mut all = Outcome::default();
    for seed in SEEDS {
        all.add(run::run(policy, load, seed));
    }
    all
}

fn goodput_per_s(outcome: &Outcome) -> f64 {
    events::float(outcome.good) / run::measured_s() / events::float(SEEDS.len())
}

fn row(outcome: &mut Outcome) -> String {
    let share = |part: usize, whole: usize| events::float(part) / events::float(whole.max(1));
    format!(
        "{},{:.3},{:.3},{:.2}",
        outcome.p99(),
        share(outcome.refused, outcome.offered),
        share(outcome.small_good, outcome.small_offered),
        outcome.peak_in_system,
    )
}
