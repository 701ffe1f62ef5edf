//! Counts outcomes and prints the requests that met a fault of the system.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use stand_ins::service::Service;

use crate::callers::{Fault, Kind, Outcome, Request};

/// Lines of each process that are printed for a request. The log files have the others.
const MAX_LINES: usize = 12;
/// Requests that are printed with their logs.
const MAX_REQUESTS: usize = 10;

/// What one run came to.
pub(crate) struct Report {
    pub(crate) seed: u64,
    pub(crate) requests: Vec<Request>,
    /// Steps back of a document version.
    pub(crate) reverts: Vec<String>,
    /// Nodes without the newest document at the end.
    pub(crate) behind: Vec<String>,
    /// Processes that did not end well when told to stop.
    pub(crate) failed_stops: Vec<String>,
    pub(crate) crashing_requests: u64,
    pub(crate) taken_down: u64,
}

impl Report {
    /// Compares what callers were told with what the services ran.
    pub(crate) fn check_executions(&mut self, services: &[Arc<Service>]) {
        let executions: Vec<_> = services.iter().map(|service| service.executions()).collect();
        for request in self.requests.iter_mut().filter(|request| request.kind == Kind::Job) {
            let body = request.text.clone().into_bytes();
            let ran: u64 = services.iter().map(|service| service.executions_of(&body)).sum();
            if ran > 1 {
                request.fault(Fault::Doubled, format!("executed {ran} times"));
            }
            if ran > 0 && request.outcome == Some(Outcome::NotRun) {
                request.fault(Fault::FalseNotRun, "executed, and the caller was told not run");
            }
            if request.outcome == Some(Outcome::Done) {
                let serial = request.serial.and_then(|serial| usize::try_from(serial).ok());
                let own = executions.iter().any(|all| {
                    let execution = serial.and_then(|serial| all.get(serial.checked_sub(1)?));
                    execution.is_some_and(|execution| execution.body == body)
                });
                if !own {
                    request.fault(Fault::Crossed, format!("no service gave it {serial:?}"));
                }
            }
        }
    }

    /// Writes what callers saw of the requests that took more than one reply, beside the logs.
    fn write_requests(&self, directory: &Path) {
        let troubled = |request: &&Request| request.steps.len() > 1 || !request.faults.is_empty();
        let lines: String = self.requests.iter().filter(troubled).map(describe).collect();
        if let Err(error) = fs::write(directory.join("requests.txt"), lines) {
            eprintln!("cannot write the requests beside the logs: {error}");
        }
    }

    fn outcomes(&self, outcome: Outcome) -> usize {
        self.requests.iter().filter(|request| request.outcome == Some(outcome)).count()
    }

    fn faults(&self, fault: Fault) -> usize {
        let has = |request: &&Request| request.faults.iter().any(|(found, _)| *found == fault);
        self.requests.iter().filter(has).count()
    }

    /// Prints the table, then what is wrong. Gives whether all is well.
    pub(crate) fn print(&self, directory: &Path) -> bool {
        let innocent = |request: &&Request| request.kind != Kind::Crashing;
        let innocent = || self.requests.iter().filter(innocent);
        let delayed = innocent().filter(|request| request.quarantined > 0).count();
        let refused = |r: &&Request| r.quarantined > 0 && r.outcome != Some(Outcome::Done);
        let refused = innocent().filter(refused).count();
        println!(
            "seed,sent,done,not_run,unknown,doubled,lost,crossed,false_not_run,reverts,behind,\
             failed_stops,innocent_quarantined,innocent_quarantined_not_done,crashing_requests,\
             endpoints_taken_down"
        );
        println!(
            "{},{},{},{},{},{},{},{},{},{},{},{},{delayed},{refused},{},{}",
            self.seed,
            self.requests.len(),
            self.outcomes(Outcome::Done),
            self.outcomes(Outcome::NotRun),
            self.outcomes(Outcome::Unknown),
            self.faults(Fault::Doubled),
            self.faults(Fault::Lost),
            self.faults(Fault::Crossed),
            self.faults(Fault::FalseNotRun),
            self.reverts.len(),
            self.behind.len(),
            self.failed_stops.len(),
            self.crashing_requests,
            self.taken_down,
        );
        self.write_requests(directory);
        let offending = || self.requests.iter().filter(|request| !request.faults.is_empty());
        for request in offending().take(MAX_REQUESTS) {
            print_request(request, directory);
        }
        for what in self.reverts.iter().chain(&self.behind).chain(&self.failed_stops) {
            println!("wrong: {what}");
        }
        let nodes_well = self.reverts.is_empty() && self.behind.is_empty();
        nodes_well && self.failed_stops.is_empty() && offending().next().is_none()
    }
}

/// One line for a request and one for each of its steps.
fn describe(request: &Request) -> String {
    let Request { kind, key, text, outcome, faults, .. } = request;
    let steps = request.steps.join("\n  ");
    format!("{kind:?} key={key} text={text} {outcome:?} {faults:?}\n  {steps}\n")
}

fn print_request(request: &Request, directory: &Path) {
    print!("wrong: {}", describe(request));
    let times = request.started_unix_ms..=request.ended_unix_ms;
    let Ok(files) = fs::read_dir(directory) else { return };
    let mut paths: Vec<_> = files.filter_map(|file| Some(file.ok()?.path())).collect();
    paths.sort();
    for path in paths.iter().filter(|path| path.extension().is_some_and(|e| e == "log")) {
        let log = fs::read_to_string(path).unwrap_or_default();
        let during = |line: &&str| {
            let time = line.split(' ').next().and_then(|time| time.parse().ok());
            line.contains(&request.key) || time.is_some_and(|time: u128| times.contains(&time))
        };
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        for line in log.lines().filter(during).take(MAX_LINES) {
            println!("  {name}: {line}");
        }
    }
}
