//! Mixes all faults over separate processes and counts what callers and services saw.
//!
//! `cargo bench --bench soak -- --seed 7 --seconds 60`. The seed fixes which faults strike and when;
//! how they meet the traffic differs between runs. Prints one CSV table, then each request that met a
//! fault of the system. The exit code is 1 if there is any.

#[path = "../../tests/support/caller.rs"]
mod caller;
mod callers;
mod documents;
mod faults;
#[path = "../../tests/support/processes.rs"]
mod processes;
mod report;
mod schedule;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, Command, value_parser};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use callers::{Caller, World, unix_ms};
use faults::Faults;
use report::Report;

const CALLERS: u8 = 16;
/// A longer run fills the memory with requests.
const MAX_SECONDS: u64 = 900;

fn command() -> Command {
    let number = |name: &'static str, value: &'static str| {
        Arg::new(name).long(name).value_name(value).value_parser(value_parser!(u64))
    };
    Command::new("soak")
        .about("Mixes all faults over separate processes and counts outcomes")
        .arg(number("seed", "SEED").default_value("1").help("Fixes the schedule of faults"))
        .arg(
            number("seconds", "SECONDS")
                .value_parser(value_parser!(u64).range(5..=MAX_SECONDS))
                .default_value("20")
                .help("How long callers send requests"),
        )
        // `cargo bench` passes this to every benchmark.
        .arg(Arg::new("bench").long("bench").action(ArgAction::SetTrue).hide(true))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("the argument has a default");
    let (seed, seconds) = (number("seed"), number("seconds"));
    let mut faults = Faults::start();
    let directory = faults.deployment.directory.clone();
    println!("logs of the processes: {}", directory.display());
    let report = run(&mut faults, seed, 1_000 * seconds);
    if report.print(&directory) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs callers and the schedule side by side, then waits until all is at rest.
fn run(faults: &mut Faults, seed: u64, length_ms: u64) -> Report {
    let (sender, mut requests) = mpsc::unbounded_channel();
    let services =
        faults.deployment.services.iter().map(|slot| Arc::clone(&slot.backend)).collect();
    let world = World {
        entries: faults.entries(),
        killed: Arc::default(),
        services: Arc::new(services),
        stop: Arc::default(),
        requests: sender,
    };
    let runtime = faults.deployment.runtime.handle().clone();
    let (revert_sender, mut reverts) = mpsc::unbounded_channel();
    runtime.spawn(documents::watch(faults.nodes(), faults.newest_version(), revert_sender));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let caller = Caller::new(world.clone(), format!("{seed}-{number}"), number);
        callers.spawn_on(caller.run(), &runtime);
    }
    let started = Instant::now();
    let wait_until = |at_ms| {
        let at = started + Duration::from_millis(at_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    for event in schedule::schedule(seed, length_ms) {
        wait_until(event.at_ms);
        println!("{} {:?}", unix_ms(), event.action);
        faults.apply(event.action, &world);
    }
    wait_until(length_ms);
    world.stop.store(true, Ordering::Relaxed);
    runtime.block_on(async { while callers.join_next().await.is_some() {} });
    let services = Arc::clone(&world.services);
    // Callers of crashing requests hold the other senders.
    drop(world);
    let mut all = Vec::new();
    while let Some(request) = runtime.block_on(requests.recv()) {
        all.push(request);
    }
    let nodes = faults.nodes().borrow().clone();
    let newest = faults.newest_version().load(Ordering::Relaxed);
    let mut report = Report {
        seed,
        requests: all,
        behind: runtime.block_on(documents::behind(nodes, newest)),
        reverts: Vec::new(),
        failed_stops: faults.wait_for_leaving(),
        crashing_requests: faults.crashing_requests(),
        taken_down: faults.taken_down(),
    };
    report.check_executions(&services);
    while let Ok(revert) = reverts.try_recv() {
        report.reverts.push(revert);
    }
    report
}
