//! Simulation of one policy at one offered load, with a burst of requests at a scheduled time.

use std::collections::VecDeque;

use lycheewood::{
    AdmissionDecision, AdmissionRequest, TargetLoad, Timestamp, Workspace, WorkspaceName,
};

use crate::events::{Events, Variates, float, percentile, whole};
use crate::policies::{Entry, Policy};

const SLOTS: u32 = 80;
const ENTRIES: usize = 4;
const LARGE: usize = 4;
const SMALL: usize = 40;
/// Share of the demand that comes from the small workspaces.
const SMALL_DEMAND: f64 = 0.15;
const MIN_HOLD_MS: f64 = 200.0;
const MEAN_EXTRA_HOLD_MS: f64 = 400.0;
const DEADLINE_MS: u64 = 3_000;
const PEAK_MS: u64 = 10_000;
const END_MS: u64 = 60_000;
/// Demand before the peak, in multiples of capacity.
const EARLY_LOAD: f64 = 0.3;
/// Size of the burst at the start of the peak, in seconds of demand.
const BURST_S: f64 = 2.0;
const BURST_SPREAD_MS: f64 = 200.0;
const REPORT_MS: u64 = 250;
/// Retries of a refused caller.
const CALLER_RETRIES: u32 = 2;

#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) offered: usize,
    pub(crate) good: usize,
    pub(crate) refused: usize,
    pub(crate) small_offered: usize,
    pub(crate) small_good: usize,
    pub(crate) admitted_ms: Vec<u64>,
    pub(crate) peak_in_system: f64,
}

impl Outcome {
    pub(crate) fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.good += other.good;
        self.refused += other.refused;
        self.small_offered += other.small_offered;
        self.small_good += other.small_good;
        self.admitted_ms.extend(other.admitted_ms);
        self.peak_in_system = self.peak_in_system.max(other.peak_in_system);
    }

    pub(crate) fn p99(&mut self) -> u64 {
        self.admitted_ms.sort_unstable();
        percentile(&self.admitted_ms, 0.99)
    }
}

#[derive(Clone, Copy)]
enum Event {
    Arrive,
    Burst,
    Submit(usize),
    Finish(usize),
    Measure,
    Report(u32, u64),
}

struct Request {
    workspace: usize,
    entry: usize,
    priority: u8,
    hold_ms: f64,
    arrived: u64,
    submissions: u32,
    admitted: Option<(AdmissionDecision, u64)>,
}

struct Run {
    policy: Policy,
    load: f64,
    random: Variates,
    events: Events<Event>,
    entries: Vec<Entry>,
    workspaces: Vec<Workspace>,
    requests: Vec<Request>,
    queue: VecDeque<usize>,
    running: u32,
    last_report: (u32, u64),
    next_arrival: f64,
    outcome: Outcome,
}

/// Capacity of all slots in requests per second.
pub(crate) fn capacity_per_s() -> f64 {
    f64::from(SLOTS) * 1000.0 / (MIN_HOLD_MS + MEAN_EXTRA_HOLD_MS)
}

/// Length of the period over which goodput is measured, in seconds.
pub(crate) fn measured_s() -> f64 {
    float(usize::try_from(END_MS - PEAK_MS).unwrap_or(0)) / 1000.0
}

/// Runs `policy` at `load` times capacity with a generator seeded by `seed`.
pub(crate) fn run(policy: Policy, load: f64, seed: u64) -> Outcome {
    let mut run = Run {
        policy,
        load,
        random: Variates::new(seed),
        events: Events::new(),
        entries: (0..ENTRIES).map(|_| Entry::new()).collect(),
        workspaces: (0..LARGE + SMALL).map(workspace).collect(),
        requests: Vec::new(),
        queue: VecDeque::new(),
        running: 0,
        last_report: (0, 0),
        next_arrival: 0.0,
        outcome: Outcome::default(),
    };
    run.events.add(0, Event::Arrive);
    run.events.add(0, Event::Measure);
    run.events.add(PEAK_MS, Event::Burst);
    while let Some((now, event)) = run.events.next() {
        run.handle(now, event);
    }
    run.outcome
}

impl Run {
    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Burst => self.burst(now),
            Event::Submit(id) => self.submit(now, id),
            Event::Finish(id) => self.finish(now, id),
            Event::Measure => self.measure(now),
            Event::Report(load, measured) => self.last_report = (load, measured),
        }
    }

    fn arrive(&mut self, now: u64) {
        let load = if now < PEAK_MS { EARLY_LOAD } else { self.load };
        let id = self.new_request(now);
        self.submit(now, id);
        self.next_arrival += self.random.exponential(1000.0 / (load * capacity_per_s()));
        if whole(self.next_arrival) < END_MS {
            self.events.add(whole(self.next_arrival), Event::Arrive);
        }
    }

    fn burst(&mut self, now: u64) {
        let mut remaining = self.load * capacity_per_s() * BURST_S;
        while remaining >= 1.0 {
            remaining -= 1.0;
            let at = now + whole(self.random.unit() * BURST_SPREAD_MS);
            let id = self.new_request(at);
            self.events.add(at, Event::Submit(id));
        }
    }

    fn new_request(&mut self, now: u64) -> usize {
        let small = self.random.unit() < SMALL_DEMAND;
        let workspace =
            if small { LARGE + self.random.below(SMALL) } else { self.random.below(LARGE) };
        let priority = [2, 5, 5, 5, 8][self.random.below(5)];
        let hold_ms = MIN_HOLD_MS + self.random.exponential(MEAN_EXTRA_HOLD_MS).min(2_000.0);
        let entry = self.random.below(ENTRIES);
        let request = Request {
            workspace,
            entry,
            priority,
            hold_ms,
            arrived: now,
            submissions: 0,
            admitted: None,
        };
        self.requests.push(request);
        if now >= PEAK_MS {
            self.outcome.offered += 1;
            self.outcome.small_offered += usize::from(small);
        }
        self.requests.len() - 1
    }

    fn submit(&mut self, now: u64, id: usize) {
        let load = TargetLoad {
            capacity: SLOTS,
            reported_requests: self.last_report.0,
            reported_at: Timestamp::from_unix_ms(self.last_report.1),
            entries: 4,
        };
        let request = &mut self.requests[id];
        request.submissions += 1;
        let deadline = request.arrived + DEADLINE_MS;
        let admission_request = AdmissionRequest {
            workspace: &self.workspaces[request.workspace],
            mean_weight: mean_weight(&self.workspaces),
            priority: request.priority,
            first_sent: Timestamp::from_unix_ms(request.arrived),
            deadline: Timestamp::from_unix_ms(deadline),
        };
        let at = Timestamp::from_unix_ms(now);
        let hold_ms = MIN_HOLD_MS + MEAN_EXTRA_HOLD_MS;
        let entry = &mut self.entries[request.entry];
        match entry.admit(self.policy, &load, &admission_request, hold_ms, at, &mut self.random) {
            Ok(admitted) => {
                request.admitted = Some((admitted, now));
                self.queue.push_back(id);
                self.start_queued(now);
            }
            Err(delay_ms) if request.submissions <= CALLER_RETRIES && now + delay_ms < deadline => {
                self.events.add(now + delay_ms, Event::Submit(id));
            }
            Err(_) => self.outcome.refused += usize::from(request.arrived >= PEAK_MS),
        }
    }

    fn start_queued(&mut self, now: u64) {
        while self.running < SLOTS {
            let Some(id) = self.queue.pop_front() else { break };
            self.running += 1;
            self.events.add(now + whole(self.requests[id].hold_ms), Event::Finish(id));
        }
        if now >= PEAK_MS {
            let in_system = f64::from(self.running) + float(self.queue.len());
            let peak = self.outcome.peak_in_system.max(in_system / f64::from(SLOTS));
            self.outcome.peak_in_system = peak;
        }
    }

    fn finish(&mut self, now: u64, id: usize) {
        self.running -= 1;
        let request = &self.requests[id];
        if let Some((admitted, since)) = &request.admitted {
            let workspace = &self.workspaces[request.workspace];
            let at = Timestamp::from_unix_ms(now);
            self.entries[request.entry].end(workspace, admitted, now - since, at);
        }
        let elapsed = now - request.arrived;
        if request.arrived >= PEAK_MS {
            let good = elapsed <= DEADLINE_MS;
            self.outcome.admitted_ms.push(elapsed);
            self.outcome.good += usize::from(good);
            self.outcome.small_good += usize::from(good && request.workspace >= LARGE);
        }
        self.start_queued(now);
    }

    fn measure(&mut self, now: u64) {
        let load = self.running + u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.events.add(now + REPORT_MS, Event::Report(load, now));
        if now < END_MS {
            self.events.add(now + REPORT_MS, Event::Measure);
        }
    }
}

/// The first `LARGE` workspaces are large, with ten times the weight of a small one.
fn workspace(index: usize) -> Workspace {
    Workspace {
        name: WorkspaceName::new(&format!("workspace-{index}")),
        token_digests: Vec::new(),
        rate_per_s: 1_000.0,
        burst: 1_000,
        weight: if index < LARGE { 10 } else { 1 },
        max_priority: 9,
    }
}

fn mean_weight(workspaces: &[Workspace]) -> f64 {
    workspaces.iter().map(|w| f64::from(w.weight)).sum::<f64>() / float(workspaces.len())
}
