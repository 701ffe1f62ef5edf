//! One run of one policy in one scenario.

use lycheewood::{FailureDomain, InstanceId, Load, RetryBudget, RetryPolicy, Timestamp};

use crate::events::{Events, Variates, float, percentile, whole};
use crate::model::{Endpoint, Mode, SLOTS};
use crate::policies::{EndpointStatus, Entry, Policy};

const ENDPOINTS: usize = 12;
const DOMAINS: usize = 3;
const PREFIXES: usize = 120;
const DECODE_MS: f64 = 500.0;
const HOP_MS: u64 = 1;
const DEADLINE_MS: u64 = 1_900;
const WARM_UP_MS: u64 = 10_000;
const FAULT_MS: u64 = 40_000;
const END_MS: u64 = 120_000;
const SILENT_AFTER_MS: u64 = 2_000;
const ERROR_MS: u64 = 5;
/// Time to first token recorded for a request whose last attempt failed.
const FAILED_MS: u64 = 10_000;
/// Share of cache events that are lost.
const CACHE_EVENT_LOSS: f64 = 0.2;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    None,
    Slow,
    Errors,
    DomainLost,
}

#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) fault: Fault,
    pub(crate) entries: usize,
    pub(crate) report_age_ms: u64,
    pub(crate) requests_per_s: f64,
}

#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) first_token_ms: Vec<u64>,
    pub(crate) hits: usize,
    pub(crate) served: usize,
    pub(crate) imbalance: f64,
}

impl Outcome {
    pub(crate) fn sort(&mut self) {
        self.first_token_ms.sort_unstable();
    }

    pub(crate) fn percentile(&self, share: f64) -> u64 {
        percentile(&self.first_token_ms, share)
    }

    pub(crate) fn goodput(&self) -> f64 {
        let good = self.first_token_ms.partition_point(|ms| *ms <= DEADLINE_MS);
        float(good) / float(self.first_token_ms.len())
    }
}

enum Event {
    Arrive,
    Send(usize),
    Reach(usize),
    /// Request and attempt number. Events of failed attempts are ignored.
    FirstToken(usize, usize),
    Finish(usize, usize),
    Failed(usize),
    Measure(usize),
    Report(usize, Load, Vec<(u64, bool)>),
    Fault,
    Silent,
}

struct Request {
    entry: usize,
    prefix: u64,
    decode_ms: f64,
    arrived: u64,
    tried: Vec<usize>,
    endpoint: usize,
    sent: u64,
    answered: bool,
    ended: bool,
    hit: bool,
}

struct Run {
    policy: Policy,
    scenario: Scenario,
    random: Variates,
    events: Events<Event>,
    entries: Vec<Entry>,
    budgets: Vec<RetryBudget>,
    retries: RetryPolicy,
    endpoints: Vec<Endpoint>,
    statuses: Vec<EndpointStatus>,
    requests: Vec<Request>,
    zipf: Vec<f64>,
    first_prefix: u64,
    next_arrival: f64,
    outcome: Outcome,
}

/// Runs `policy` in `scenario` with generators seeded by `seed`.
pub(crate) fn run(policy: Policy, scenario: Scenario, seed: u64) -> Outcome {
    let retries = RetryPolicy::default();
    let mut run = Run {
        policy,
        scenario,
        random: Variates::new(seed),
        events: Events::new(),
        entries: (0..scenario.entries).map(|i| Entry::new(ENDPOINTS, i * 5)).collect(),
        budgets: vec![RetryBudget::full(&retries); scenario.entries],
        retries,
        endpoints: (0..ENDPOINTS).map(|_| Endpoint::new()).collect(),
        statuses: (0..ENDPOINTS).map(initial_status).collect(),
        requests: Vec::new(),
        zipf: zipf(),
        first_prefix: seed * 1_000,
        next_arrival: 0.0,
        outcome: Outcome::default(),
    };
    run.start();
    while let Some((now, event)) = run.events.next() {
        run.handle(now, event);
    }
    run.outcome.imbalance = run.imbalance();
    run.outcome
}

impl Run {
    fn start(&mut self) {
        self.events.add(0, Event::Arrive);
        self.events.add(FAULT_MS, Event::Fault);
        for endpoint in 0..ENDPOINTS {
            // Stagger the reports of the endpoints.
            let phase = self.scenario.report_age_ms * endpoint as u64 / ENDPOINTS as u64;
            self.events.add(phase / 2, Event::Measure(endpoint));
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Send(request) => self.send(now, request),
            Event::Reach(request) => self.reach(now, request),
            Event::FirstToken(request, attempt) => self.first_token(now, request, attempt),
            Event::Finish(request, attempt) => self.finish(now, request, attempt),
            Event::Failed(request) => self.fail(now, request),
            Event::Measure(endpoint) => self.measure(now, endpoint),
            Event::Report(endpoint, load, cache) => self.report(endpoint, load, &cache),
            Event::Fault => self.inject_fault(now),
            Event::Silent => self.detect_silence(now),
        }
    }

    fn arrive(&mut self, now: u64) {
        let point = self.random.unit();
        let rank = self.zipf.partition_point(|p| *p <= point).min(PREFIXES - 1);
        // Prefixes differ by seed, so that results do not depend on how a policy hashes the popular ones.
        let prefix = self.first_prefix + rank as u64;
        let entry = self.random.below(self.entries.len());
        let decode_ms = self.random.exponential(DECODE_MS).clamp(20.0, 4_000.0);
        self.budgets[entry].on_request(&self.retries, false);
        self.requests.push(Request {
            entry,
            prefix,
            decode_ms,
            arrived: now,
            tried: Vec::new(),
            endpoint: 0,
            sent: now,
            answered: false,
            ended: false,
            hit: false,
        });
        self.send(now, self.requests.len() - 1);
        self.next_arrival += self.random.exponential(1000.0 / self.scenario.requests_per_s);
        if whole(self.next_arrival) < END_MS {
            self.events.add(whole(self.next_arrival), Event::Arrive);
        }
    }

    fn send(&mut self, now: u64, id: usize) {
        for (status, endpoint) in self.statuses.iter_mut().zip(&self.endpoints) {
            // A lost endpoint does not respond to probes.
            let penalty = if endpoint.mode == Mode::Lost { 1_000 } else { 0 };
            status.actual_load = u32::try_from(endpoint.load()).unwrap_or(u32::MAX) + penalty;
        }
        let request = &mut self.requests[id];
        let entry = &mut self.entries[request.entry];
        let at = Timestamp::from_unix_ms(now);
        let chosen = entry.choose(
            self.policy,
            &self.statuses,
            request.prefix,
            &request.tried,
            at,
            &mut self.random,
        );
        let Some(endpoint) = chosen else {
            return self.record(id, FAILED_MS);
        };
        entry.estimates[endpoint].on_start(at);
        request.endpoint = endpoint;
        request.sent = now;
        request.ended = false;
        request.tried.push(endpoint);
        let probe_ms = if self.policy == Policy::TwoChoicesProbe { 2 * HOP_MS } else { 0 };
        self.events.add(now + HOP_MS + probe_ms, Event::Reach(id));
    }

    fn reach(&mut self, now: u64, id: usize) {
        let endpoint = &mut self.endpoints[self.requests[id].endpoint];
        match endpoint.mode {
            Mode::Errors => self.events.add(now + ERROR_MS, Event::Failed(id)),
            Mode::Lost if self.statuses[self.requests[id].endpoint].silent => {
                self.events.add(now, Event::Failed(id));
            }
            Mode::Lost => endpoint.queue.push_back(id),
            Mode::Normal => {
                endpoint.integrate_load(now);
                endpoint.queue.push_back(id);
                self.start_queued(now, self.requests[id].endpoint);
            }
        }
    }

    fn start_queued(&mut self, now: u64, index: usize) {
        let endpoint = &mut self.endpoints[index];
        while endpoint.running < SLOTS {
            let Some(id) = endpoint.queue.pop_front() else { break };
            endpoint.running += 1;
            let request = &mut self.requests[id];
            let (prefill_ms, hit) = endpoint.prefill(request.prefix);
            request.hit = hit;
            let decode_ms = request.decode_ms * endpoint.slowdown;
            let attempt = request.tried.len();
            self.events.add(now + whole(prefill_ms), Event::FirstToken(id, attempt));
            self.events.add(now + whole(prefill_ms + decode_ms), Event::Finish(id, attempt));
        }
    }

    fn first_token(&mut self, now: u64, id: usize, attempt: usize) {
        let request = &mut self.requests[id];
        let lost = self.endpoints[request.endpoint].mode == Mode::Lost;
        if lost || attempt != request.tried.len() {
            return;
        }
        request.answered = true;
        let estimate = &mut self.entries[request.entry].estimates[request.endpoint];
        estimate.on_first_token(Timestamp::from_unix_ms(now), now - request.sent + HOP_MS);
        let elapsed = now + HOP_MS - request.arrived;
        if request.arrived >= WARM_UP_MS {
            self.outcome.served += 1;
            self.outcome.hits += usize::from(request.hit);
        }
        self.record(id, elapsed);
    }

    fn finish(&mut self, now: u64, id: usize, attempt: usize) {
        let request = &mut self.requests[id];
        let index = request.endpoint;
        if self.endpoints[index].mode == Mode::Lost || attempt != request.tried.len() {
            return;
        }
        request.ended = true;
        let entry = &mut self.entries[self.requests[id].entry];
        entry.estimates[index].on_end(Timestamp::from_unix_ms(now));
        self.endpoints[index].integrate_load(now);
        self.endpoints[index].running -= 1;
        self.start_queued(now, index);
    }

    fn fail(&mut self, now: u64, id: usize) {
        let request = &self.requests[id];
        let at = Timestamp::from_unix_ms(now);
        let estimate = &mut self.entries[request.entry].estimates[request.endpoint];
        estimate.on_error(at, now - request.sent, DEADLINE_MS, request.answered);
        if request.answered {
            self.requests[id].ended = true;
            return;
        }
        self.requests[id].ended = true;
        let request = &self.requests[id];
        let attempts = u32::try_from(request.tried.len()).unwrap_or(u32::MAX);
        let left_ms = FAILED_MS.saturating_sub(now - request.arrived);
        let word = self.random.word();
        let budget = &mut self.budgets[request.entry];
        if let Some(wait_ms) = budget.try_retry(&self.retries, attempts, left_ms, word) {
            self.events.add(now + wait_ms, Event::Send(id));
        } else {
            self.record(id, FAILED_MS);
        }
    }

    fn measure(&mut self, now: u64, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let age = self.scenario.report_age_ms;
        if endpoint.mode != Mode::Lost {
            let load = Load {
                running: u32::try_from(endpoint.running).unwrap_or(u32::MAX),
                queued: u32::try_from(endpoint.queue.len()).unwrap_or(u32::MAX),
                capacity: u32::try_from(SLOTS).unwrap_or(u32::MAX),
                reported: Timestamp::from_unix_ms(now),
            };
            let cache = std::mem::take(&mut endpoint.cache_events);
            // A report is sent every half `report_age_ms` and delayed by three quarters of it, so that the
            // latest report is `report_age_ms` old on average.
            self.events.add(now + age * 3 / 4, Event::Report(index, load, cache));
        }
        if now < END_MS {
            self.events.add(now + age / 2, Event::Measure(index));
        }
    }

    fn report(&mut self, index: usize, load: Load, cache: &[(u64, bool)]) {
        let status = &mut self.statuses[index];
        status.report = Some(load);
        for (prefix, inserted) in cache {
            if self.random.unit() < CACHE_EVENT_LOSS {
                continue;
            }
            if *inserted {
                status.cached_prefixes.insert(*prefix);
            } else {
                status.cached_prefixes.remove(prefix);
            }
        }
    }

    fn inject_fault(&mut self, now: u64) {
        match self.scenario.fault {
            Fault::None => {}
            Fault::Slow => self.endpoints[0].slowdown = 3.0,
            Fault::Errors => self.endpoints[0].mode = Mode::Errors,
            Fault::DomainLost => {
                for index in (0..ENDPOINTS).step_by(DOMAINS) {
                    self.endpoints[index].mode = Mode::Lost;
                }
                self.events.add(now + SILENT_AFTER_MS, Event::Silent);
            }
        }
    }

    /// Marks the connections to the lost domain as silent and fails the requests in flight there.
    fn detect_silence(&mut self, now: u64) {
        for index in (0..ENDPOINTS).step_by(DOMAINS) {
            self.statuses[index].silent = true;
            self.endpoints[index].queue.clear();
            let in_flight = |r: &Request| r.endpoint == index && !r.ended && r.sent < now;
            let lost: Vec<usize> =
                (0..self.requests.len()).filter(|i| in_flight(&self.requests[*i])).collect();
            for id in lost {
                self.fail(now, id);
            }
        }
    }

    fn record(&mut self, id: usize, elapsed_ms: u64) {
        if self.requests[id].arrived >= WARM_UP_MS {
            self.outcome.first_token_ms.push(elapsed_ms);
        }
    }

    /// Ratio of the highest mean load of an endpoint to the mean over all endpoints that serve until the end.
    fn imbalance(&self) -> f64 {
        let loads: Vec<f64> = self
            .endpoints
            .iter()
            .filter(|e| e.mode == Mode::Normal)
            .map(Endpoint::load_integral)
            .collect();
        let mean = loads.iter().sum::<f64>() / float(loads.len());
        loads.iter().copied().fold(0.0, f64::max) / mean
    }
}

fn initial_status(index: usize) -> EndpointStatus {
    EndpointStatus {
        id: InstanceId::new(&format!("endpoint-{index}")),
        domain: FailureDomain::new(&format!("domain-{}", index % DOMAINS)),
        report: None,
        cached_prefixes: std::collections::HashSet::new(),
        silent: false,
        actual_load: 0,
    }
}

/// Cumulative Zipf distribution over the prefixes: a few are very popular, like system prompts.
fn zipf() -> Vec<f64> {
    let weights: Vec<f64> = (1..=PREFIXES).map(|rank| 1.0 / float(rank).powf(0.9)).collect();
    let total: f64 = weights.iter().sum();
    let mut sum = 0.0;
    weights
        .iter()
        .map(|w| {
            sum += w / total;
            sum
        })
        .collect()
}
