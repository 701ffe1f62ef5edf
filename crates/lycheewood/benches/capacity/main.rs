//! Measures the slopes that `docs/CAPACITY.md` multiplies by the design size and prints a CSV table.
//!
//! `cargo bench --bench capacity`. Times vary from run to run and with the load of the machine; each is
//! the fastest and the median of some repeats. Sizes are the same on each run.

mod claims;
mod document;
mod requests;
mod watching;

use std::hint::black_box;
use std::time::Instant;

/// Repeats of each timing.
const REPEATS: usize = 9;

fn main() {
    println!("what,size,count,value,unit");
    // Memory comes first and is kept to the end, since the allocator reuses what is dropped and the
    // process would not grow by what comes later.
    let documents = document::memory();
    let claims = claims::run();
    document::run();
    requests::run();
    watching::run();
    drop((documents, claims));
}

/// Prints one row: something of a size, how many of it, and a value.
fn row(what: &str, size: usize, count: usize, value: f64, unit: &str) {
    println!("{what},{size},{count},{value:.3},{unit}");
}

/// Prints the fastest and the median time of one call in microseconds.
fn time<T>(what: &str, size: usize, calls: usize, mut call: impl FnMut(usize) -> T) {
    let mut times: Vec<f64> = (0..REPEATS)
        .map(|_| {
            let started = Instant::now();
            for index in 0..calls {
                black_box(call(black_box(index)));
            }
            started.elapsed().as_secs_f64() * 1e6 / to_f64(calls)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    row(what, size, calls, times[0], "us_fastest");
    row(what, size, calls, times[REPEATS / 2], "us_median");
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Memory of this process in RAM, in KiB.
fn rss_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()).and_then(|n| n.parse().ok());
    number.unwrap_or(0.0)
}
