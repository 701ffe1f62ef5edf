//! Measures what an entry costs, beside the same caller talking straight to the engines.
//!
//! `cargo bench --bench entry` prints a CSV table in under a minute. `cargo bench --bench entry -- NAME`
//! runs one part: `memory`, `closed`, `open`, `tokens`, `growth` or `idle`; the last three are no part of
//! the whole run.
//! `-- --concurrency N` runs only `closed` at N streams, for longer, so that a profiler can watch.
//!
//! The entry and the endpoint daemons are processes of their own. The caller, the engines, the log and
//! the list run in the bench's process, on the same machine as all else, so its load is part of the
//! figures: compare only rows of one run, and look at the spread of the repeats.

#[path = "../../tests/support/caller.rs"]
mod caller;
#[path = "../../tests/support/processes.rs"]
mod processes;

mod load;
mod usage;

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::runtime::{Builder, Runtime};

use load::{Measured, Path, TOKENS, Target, hold_open, run_closed, run_count, run_open};
use processes::Deployment;
use usage::{Usage, rss_kib, thread_usage};

/// As many model endpoints as a deployment has today.
const ENGINES: usize = 12;
/// Requests that one engine runs at once; equals the default bound of a daemon on attempts.
const CAPACITY: u64 = 256;
/// Daemons run with the default settings.
const SETTINGS: &str = "";
const REPEATS: usize = 3;
const CLOSED_FOR: Duration = Duration::from_millis(1_200);
const OPEN_FOR: Duration = Duration::from_secs(2);
const CONCURRENCIES: [usize; 3] = [1, 64, 1_024];
/// Requests before the first reading of memory.
const MEMORY_REQUESTS: u64 = 2_000;
const OPEN_STREAMS: usize = 2_000;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let part = arguments.first().map(String::as_str);
    if part == Some("idle") {
        return idle();
    }
    println!(
        "part,path,streams,repeat,requests,failed,requests_per_s,entry_cores,requests_per_s_per_core,\
         p50_us,p99_us,p999_us,added_p50_us,added_p99_us,added_p999_us"
    );
    match part {
        Some("--concurrency") => {
            let streams = arguments.get(1).and_then(|a| a.parse().ok()).unwrap_or(64);
            let bench = Bench::start();
            bench.closed_at(streams, 1, Duration::from_secs(10));
        }
        Some("tokens") => Bench::start().by_tokens(),
        Some("growth") => Bench::start().growth(),
        part => {
            let bench = Bench::start();
            let wanted = |name| part.is_none_or(|part| part == name);
            if wanted("memory") {
                bench.memory();
            }
            let mut max_per_s = 0.0_f64;
            if wanted("closed") || wanted("open") {
                for streams in CONCURRENCIES {
                    max_per_s = max_per_s.max(bench.closed_at(streams, REPEATS, CLOSED_FOR));
                }
            }
            if wanted("open") {
                // The second rate shows what is left of the latency when nothing waits for a core.
                bench.open_at(max_per_s / 2.0);
                bench.open_at(max_per_s / 16.0);
            }
        }
    }
}

struct Bench {
    deployment: Deployment,
    /// Runs the caller.
    runtime: Runtime,
}

impl Bench {
    fn start() -> Self {
        let deployment = Deployment::start_with_settings(SETTINGS, 1, ENGINES, 0);
        deployment.set_engine_faults(|faults| faults.capacity = CAPACITY);
        deployment.publish();
        deployment.wait_until_ready();
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("start the caller's runtime");
        Self { deployment, runtime }
    }

    fn entry_id(&self) -> u32 {
        self.deployment.entries[0].id()
    }

    fn straight(&self) -> Target {
        let addresses = self.deployment.engines.iter().map(|slot| slot.backend.address());
        Target { path: Path::Engines(addresses.collect::<Vec<SocketAddr>>()), tokens: TOKENS }
    }

    fn through_entry(&self) -> Target {
        Target { path: Path::Entry(self.deployment.entry(0)), tokens: TOKENS }
    }

    /// Memory of the entry by finished requests, up to where growth levels off if it does.
    fn growth(&self) {
        self.finish_requests(&[1, 4, 16, 32, 64].map(|factor| factor * MEMORY_REQUESTS));
    }

    /// Makes requests up to each total and shows the memory of the entry there.
    fn finish_requests(&self, totals: &[u64]) {
        let (id, through) = (self.entry_id(), self.through_entry());
        let mut finished = 0;
        for total in totals {
            let done = self.runtime.block_on(run_count(&through, 64, total - finished));
            assert_eq!(done.failed, 0, "a request failed while memory was measured");
            finished = *total;
            println!("memory,finished,{finished},VmRSS_KiB,{}", rss_kib(id));
        }
    }

    /// Requests and memory of the entry.
    fn memory(&self) {
        let id = self.entry_id();
        let row = |name: &str, count: u64, kib: u64| {
            println!("memory,{name},{count},VmRSS_KiB,{kib}");
        };
        row("started", 0, rss_kib(id));
        self.finish_requests(&[MEMORY_REQUESTS, 4 * MEMORY_REQUESTS]);
        let through = self.through_entry();
        self.deployment.set_engine_faults(|faults| faults.stall_after_tokens = Some(1));
        let open = self.runtime.block_on(hold_open(&through, OPEN_STREAMS));
        row("open", open.len() as u64, rss_kib(id));
        self.deployment.set_engine_faults(|faults| faults.stall_after_tokens = None);
        let whole = self.runtime.block_on(load::finish(open));
        row("whole_after_open", whole, rss_kib(id));
    }

    /// Closed loop, straight and through the entry in turns. Gives the best rate through the entry.
    fn closed_at(&self, streams: usize, repeats: usize, length: Duration) -> f64 {
        let (straight, through) = (self.straight(), self.through_entry());
        let warm_up = Duration::from_millis(300);
        self.runtime.block_on(run_closed(&straight, streams, warm_up));
        self.runtime.block_on(run_closed(&through, streams, warm_up));
        let mut best = 0.0_f64;
        for repeat in 1..=repeats {
            let base = self.runtime.block_on(run_closed(&straight, streams, length));
            print_row("closed", "straight", streams, repeat, &base, None, None);
            let usage = Usage::read(self.entry_id());
            let measured = self.runtime.block_on(run_closed(&through, streams, length));
            let used = Usage::read(self.entry_id()).since(&usage);
            let (base, used) = (Some(&base.latency_us), Some(used));
            print_row("closed", "entry", streams, repeat, &measured, used, base);
            best = best.max(measured.per_s());
        }
        best
    }

    /// Processor time of the entry for a request, by the tokens of its answer.
    fn by_tokens(&self) {
        const STREAMS: usize = 64;
        println!("part,tokens,repeat,requests,failed,entry_cpu_us_per_request");
        for repeat in 1..=REPEATS {
            for tokens in [4, 16, 64, 256] {
                let through = Target { tokens, ..self.through_entry() };
                let usage = Usage::read(self.entry_id());
                let run = run_closed(&through, STREAMS, Duration::from_secs(2));
                let measured = self.runtime.block_on(run);
                let used = Usage::read(self.entry_id()).since(&usage);
                let whole = measured.latency_us.len();
                let requests = f64::from(u32::try_from(whole).unwrap_or(u32::MAX));
                let cost_us = used.as_secs_f64() * 1e6 / requests;
                println!("tokens,{tokens},{repeat},{whole},{},{cost_us:.0}", measured.failed);
            }
        }
    }

    /// Open loop at a fixed rate, straight and through the entry in turns.
    fn open_at(&self, per_s: f64) {
        let (straight, through) = (self.straight(), self.through_entry());
        for repeat in 1..=REPEATS {
            let seed = repeat as u64;
            let base = self.runtime.block_on(run_open(&straight, per_s, OPEN_FOR, seed));
            print_row("open", "straight", 0, repeat, &base, None, None);
            let usage = Usage::read(self.entry_id());
            let measured = self.runtime.block_on(run_open(&through, per_s, OPEN_FOR, seed));
            let used = Usage::read(self.entry_id()).since(&usage);
            let base = Some(&base.latency_us);
            print_row("open", "entry", 0, repeat, &measured, Some(used), base);
        }
    }
}

/// Processor time of an entry and an endpoint daemon without requests, by the endpoints of the entry.
fn idle() {
    const LENGTH: Duration = Duration::from_secs(5);
    println!("part,endpoints,process,thread,cpu_ms_per_s,VmRSS_KiB");
    for endpoints in [5, 15, 45] {
        let deployment = Deployment::start_with_settings(SETTINGS, 1, endpoints, 0);
        deployment.publish();
        deployment.wait_until_ready();
        let ids = [
            ("entry", deployment.entries[0].id()),
            ("endpoint", deployment.engines[0].daemon.id()),
        ];
        let before = ids.map(|(_, id)| thread_usage(id));
        std::thread::sleep(LENGTH);
        for ((name, id), before) in ids.into_iter().zip(before) {
            for (thread, after) in thread_usage(id) {
                let former = before.get(&thread).copied().unwrap_or_default();
                let ms =
                    after.saturating_sub(former).as_secs_f64() * 1_000.0 / LENGTH.as_secs_f64();
                println!("idle,{endpoints},{name},{thread},{ms:.3},{}", rss_kib(id));
            }
        }
    }
}

fn quantiles(latency_us: &Histogram<u64>) -> [u64; 3] {
    [0.5, 0.99, 0.999].map(|quantile| latency_us.value_at_quantile(quantile))
}

fn print_row(
    part: &str,
    path: &str,
    streams: usize,
    repeat: usize,
    measured: &Measured,
    used: Option<Duration>,
    base: Option<&Histogram<u64>>,
) {
    let cores = used.map(|used| used.as_secs_f64() / measured.elapsed.as_secs_f64());
    let cell = |value: Option<f64>| value.map(|value| format!("{value:.2}")).unwrap_or_default();
    let [p50, p99, p999] = quantiles(&measured.latency_us);
    let added = base.map(|base| {
        let pairs = quantiles(&measured.latency_us).into_iter().zip(quantiles(base));
        pairs.map(|(with, without)| with.cast_signed() - without.cast_signed()).collect::<Vec<_>>()
    });
    let added = added.unwrap_or_default();
    let added = [0, 1, 2].map(|i| added.get(i).map(ToString::to_string).unwrap_or_default());
    println!(
        "{part},{path},{streams},{repeat},{},{},{:.0},{},{},{p50},{p99},{p999},{}",
        measured.latency_us.len(),
        measured.failed,
        measured.per_s(),
        cell(cores),
        cell(cores.map(|cores| measured.per_s() / cores)),
        added.join(",")
    );
}
