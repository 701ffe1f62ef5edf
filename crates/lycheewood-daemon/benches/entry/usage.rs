//! What the kernel says of a process: its processor time and memory.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

/// Length of the kernel's unit of processor time. It is 1/100 s on every platform that Rust's
/// Linux targets support except Alpha.
const TICK: Duration = Duration::from_millis(10);

/// Processor time that a process has used.
pub(crate) struct Usage(Duration);

impl Usage {
    pub(crate) fn read(id: u32) -> Self {
        Self(ticks(&format!("/proc/{id}/stat")))
    }

    pub(crate) fn since(&self, earlier: &Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// User and system time in a `stat` file of the kernel.
fn ticks(path: &str) -> Duration {
    let stat = fs::read_to_string(path).expect("read the process's times");
    // The name in parentheses may hold spaces; the state comes after it, then field 4 and so on.
    let (_, fields) = stat.rsplit_once(')').expect("the name ends with a parenthesis");
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: u32 = times.map(|time| time.parse::<u32>().expect("times are numbers")).sum();
    TICK * ticks
}

/// Processor time of each kind of thread of a process, exact to the nanosecond, by name.
pub(crate) fn thread_usage(id: u32) -> BTreeMap<String, Duration> {
    let mut times = BTreeMap::new();
    for task in fs::read_dir(format!("/proc/{id}/task")).expect("list the threads") {
        let path = task.expect("list the threads").path();
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default().trim().to_owned();
        // The first number is the time on a processor in nanoseconds.
        let schedstat = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let ns = schedstat.split_whitespace().next().and_then(|ns| ns.parse().ok()).unwrap_or(0);
        *times.entry(name).or_default() += Duration::from_nanos(ns);
    }
    times
}

/// Memory of a process in RAM.
pub(crate) fn rss_kib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("read the memory");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()).and_then(|n| n.parse().ok());
    number.expect("the kernel tells the memory of a live process")
}
