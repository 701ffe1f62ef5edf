//! Compares placement policies on simulated groups and prints a CSV table.
//!
//! Run with `cargo bench --bench placement`. The last column is a measured time and varies; all others are
//! the same on each run. `LYCHEEWOOD_PLOT=path.svg` also writes a plot of skew against moves.

mod plot;
mod policies;
mod run;
mod scenario;

use policies::POLICIES;
use scenario::SCENARIOS;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "scenario,policy,skew_mean,skew_p99,step_over_bound,total_over_bound,moves,stall_ms,changes,\
         max_decision_ms"
    );
    let mut rows = Vec::new();
    for scenario in &SCENARIOS {
        let periods = scenario::periods(scenario);
        for policy in POLICIES {
            let row = run::run(scenario, &periods, policy);
            println!(
                "{},{},{:.4},{:.4},{:.4},{:.4},{},{:.0},{},{:.2}",
                row.scenario,
                row.policy,
                row.skew_mean,
                row.skew_p99,
                row.step_over_bound,
                row.total_over_bound,
                row.moves,
                row.stall_ms,
                row.changes,
                row.decision_ms
            );
            rows.push(row);
        }
    }
    if let Ok(path) = std::env::var("LYCHEEWOOD_PLOT") {
        plot::write(&path, &rows)?;
    }
    Ok(())
}
