//! A model of engines behind gateways, in steps of one millisecond and without a network.
//!
//! All ranks of a group run each pass together. A pass takes as long as the slowest rank's own part plus the part of
//! the most loaded expert. An engine without a group is a group of one rank without experts.

use std::collections::VecDeque;

use lycheewood::{CostProfile, EngineProfile};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::policies::{Fleet, Policy, Sent};

/// Longest time that a caller waits for the whole answer.
const DEADLINE_MS: u64 = 8_000;
/// Requests that an engine queues beyond its slots.
const ENGINE_QUEUE: usize = 20;
/// Failure domains; endpoint and gateway `n` are in domain `n % DOMAINS`.
pub(crate) const DOMAINS: usize = 3;
/// Routes that requests come from in equal parts.
pub(crate) const ROUTES: usize = 3;

/// Tokens of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) prompt_tokens: f64,
    pub(crate) events: u32,
}

/// What happens in a run, by milliseconds from its start.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) groups: usize,
    pub(crate) ranks: usize,
    pub(crate) gateways: usize,
    /// Shortest and longest time between two updates of what a gateway knows of the others.
    pub(crate) refresh_ms: (u64, u64),
    pub(crate) end_ms: u64,
    /// Requests per second.
    pub(crate) rate: fn(u64) -> f64,
    /// Share of the requests that arrive in the first failure domain.
    pub(crate) first_domain: fn(u64) -> f64,
    pub(crate) size: fn(&mut StdRng) -> Size,
    /// Hint of a route's callers as a multiple of the right one.
    pub(crate) hint_factor: fn(usize) -> f64,
    /// Time that the work of an endpoint takes, as a multiple of the usual time.
    pub(crate) slowdown: fn(u64, usize) -> f64,
    /// Whether an endpoint is listed.
    pub(crate) is_listed: fn(u64, usize) -> bool,
    /// Time that 1,000 tokens of context add to a step of a request.
    pub(crate) context_ms_per_k: f64,
    pub(crate) first_event_ms: u64,
    pub(crate) gap_ms: u64,
}

impl Scenario {
    pub(crate) fn endpoints(&self) -> usize {
        self.groups * self.ranks
    }

    pub(crate) fn profile(&self) -> EngineProfile {
        EngineProfile {
            slots: 10,
            step_ms: 4.84,
            per_request_ms: 0.435,
            tokens_per_event: 7,
            prefill_tokens_per_s: 74_800.0,
            typical_prompt_tokens: 800.0,
            expert_share: if self.ranks > 1 { 0.85 } else { 0.0 },
            cost: Some(CostProfile {
                context_ms_per_k: self.context_ms_per_k,
                pairs_ms_per_m: 2.0,
                chunk_tokens: Some(1_024.0),
                typical_answer_tokens: 161.0,
            }),
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) asked: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    /// Requests that an engine rejected or that were not completed by their deadline.
    pub(crate) unserved: u32,
    pub(crate) first_event_ms: Vec<u64>,
    /// Requests sent to each endpoint in each second.
    pub(crate) sent: Vec<Vec<u32>>,
}

impl Outcome {
    pub(crate) fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }

    /// Share of the requests of some seconds that the first `endpoints` endpoints got.
    pub(crate) fn share(&self, endpoints: usize, seconds: std::ops::Range<usize>) -> f64 {
        let sum = |count: usize| -> u32 {
            self.sent[seconds.clone()].iter().flat_map(|second| &second[..count]).sum()
        };
        f64::from(sum(endpoints)) / f64::from(sum(self.sent[0].len()).max(1))
    }

    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.on_time += other.on_time;
        self.late += other.late;
        self.unserved += other.unserved;
        self.first_event_ms.extend(other.first_event_ms);
        if self.sent.is_empty() {
            self.sent = other.sent;
            return;
        }
        let pairs = self.sent.iter_mut().flatten().zip(other.sent.iter().flatten());
        pairs.for_each(|(sum, count)| *sum += count);
    }
}

struct Stream {
    sent: Sent,
    arrived_ms: u64,
    prompt_left: f64,
    events_left: u32,
    context_tokens: f64,
    last_event_ms: Option<u64>,
    is_late: bool,
}

#[derive(Default)]
struct Rank {
    running: Vec<Stream>,
    queued: VecDeque<Stream>,
}

struct Model<'a> {
    scenario: &'a Scenario,
    profile: EngineProfile,
    cost: CostProfile,
    /// Draws the requests, so that all policies get the same ones.
    arrivals: StdRng,
    fleet: Fleet,
    ranks: Vec<Rank>,
    pass_ends_ms: Vec<u64>,
    now_ms: u64,
    outcome: Outcome,
}

/// Plays a scenario with each seed and adds the outcomes.
pub(crate) fn play(scenario: &Scenario, policy: Policy, seeds: &[u64]) -> Outcome {
    let mut sum = Outcome::default();
    for seed in seeds {
        sum.add(play_seed(scenario, policy, *seed));
    }
    sum.first_event_ms.sort_unstable();
    sum
}

fn play_seed(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let profile = scenario.profile();
    let endpoints = scenario.endpoints();
    let seconds = usize::try_from(scenario.end_ms / 1_000 + 1).unwrap();
    let sent = vec![vec![0; endpoints]; seconds];
    let mut model = Model {
        scenario,
        profile,
        cost: profile.cost.expect("a cost profile"),
        arrivals: StdRng::seed_from_u64(seed),
        fleet: Fleet::new(scenario, policy, seed),
        ranks: (0..endpoints).map(|_| Rank::default()).collect(),
        pass_ends_ms: vec![0; scenario.groups],
        now_ms: 0,
        outcome: Outcome { sent, ..Outcome::default() },
    };
    for now_ms in 0..scenario.end_ms + DEADLINE_MS {
        model.now_ms = now_ms;
        model.step();
    }
    model.outcome
}

impl Model<'_> {
    fn step(&mut self) {
        if self.now_ms < self.scenario.end_ms {
            let per_ms = (self.scenario.rate)(self.now_ms) / 1_000.0;
            if self.arrivals.random_bool(per_ms.min(1.0)) {
                self.arrive();
            }
        }
        for group in 0..self.scenario.groups {
            if self.now_ms >= self.pass_ends_ms[group] {
                self.end_pass(group);
            }
        }
        self.fleet.refresh(self.now_ms);
    }

    fn arrive(&mut self) {
        let size = (self.scenario.size)(&mut self.arrivals);
        let route = self.arrivals.random_range(0..ROUTES);
        let hint = hint(&mut self.arrivals, size, (self.scenario.hint_factor)(route));
        let domain = if self.arrivals.random_bool((self.scenario.first_domain)(self.now_ms)) {
            0
        } else {
            self.arrivals.random_range(1..DOMAINS)
        };
        let in_domain = (self.scenario.gateways - domain).div_ceil(DOMAINS);
        let gateway = self.arrivals.random_range(0..in_domain) * DOMAINS + domain;
        self.outcome.asked += 1;
        let sent = self.fleet.send(gateway, route, size.prompt_tokens, hint, self.now_ms);
        let endpoint = sent.endpoint;
        let second = usize::try_from(self.now_ms / 1_000).unwrap();
        self.outcome.sent[second][endpoint] += 1;
        if self.ranks[endpoint].queued.len() >= ENGINE_QUEUE {
            self.outcome.unserved += 1;
            self.fleet.end(&sent, None, self.now_ms);
            return;
        }
        self.ranks[endpoint].queued.push_back(Stream {
            sent,
            arrived_ms: self.now_ms,
            prompt_left: size.prompt_tokens,
            events_left: size.events,
            context_tokens: size.prompt_tokens,
            last_event_ms: None,
            is_late: false,
        });
    }

    /// Sends the events of the pass that ends, and starts the next one.
    fn end_pass(&mut self, group: usize) {
        let mut work_ms = 0.0;
        let mut own_ms: f64 = 0.0;
        let mut slowdown: f64 = 1.0;
        let mut is_idle = true;
        for rank in group * self.scenario.ranks..(group + 1) * self.scenario.ranks {
            let mut running = std::mem::take(&mut self.ranks[rank].running);
            running.retain_mut(|stream| self.advance(stream));
            let queued = &mut self.ranks[rank].queued;
            while running.len() < usize::try_from(self.profile.slots).unwrap() {
                let Some(stream) = queued.pop_front() else { break };
                running.push(stream);
            }
            let rank_ms = self.rank_work(&mut running);
            is_idle &= running.is_empty();
            self.ranks[rank].running = running;
            work_ms += rank_ms;
            own_ms = own_ms.max(rank_ms);
            slowdown = slowdown.max((self.scenario.slowdown)(self.now_ms, rank));
        }
        let shared = self.profile.expert_share;
        let stride = f64::from(self.profile.tokens_per_event);
        // Expert maps leave the most loaded rank with 1.3 to 1.6 times the mean load.
        let imbalance = if self.now_ms % 4_000 < 1_200 { 1.6 } else { 1.3 };
        let ranks = f64::from(u32::try_from(self.scenario.ranks).unwrap());
        let pass_ms = stride * self.profile.step_ms
            + (1.0 - shared) * own_ms
            + shared * imbalance * work_ms / ranks;
        let pass_ms = if is_idle { 1.0 } else { pass_ms * slowdown };
        let whole_ms = std::time::Duration::from_secs_f64(pass_ms / 1_000.0).as_millis();
        self.pass_ends_ms[group] = self.now_ms + u64::try_from(whole_ms).unwrap().max(1);
    }

    /// Work of a rank in one pass. Prompts are read up to the limit of each step.
    fn rank_work(&self, running: &mut [Stream]) -> f64 {
        let stride = f64::from(self.profile.tokens_per_event);
        let mut readable = self.cost.chunk_tokens.unwrap_or(f64::INFINITY) * stride;
        let mut work_ms = 0.0;
        for stream in running {
            let read = stream.prompt_left.min(readable);
            readable -= read;
            stream.prompt_left -= read;
            let pairs_m = read * stream.context_tokens / 2.0 / 1e6;
            work_ms += read / self.profile.prefill_tokens_per_s * 1_000.0
                + pairs_m * self.cost.pairs_ms_per_m;
            let context_ms = self.cost.context_ms_per_k * stream.context_tokens / 1_000.0;
            work_ms += stride * (self.profile.per_request_ms + context_ms);
        }
        work_ms
    }

    /// Sends one event of a stream whose prompt has been read. Returns whether the stream goes on.
    fn advance(&mut self, stream: &mut Stream) -> bool {
        if self.now_ms - stream.arrived_ms > DEADLINE_MS {
            self.outcome.unserved += 1;
            self.fleet.end(&stream.sent, None, self.now_ms);
            return false;
        }
        if stream.prompt_left > 0.0 {
            return true;
        }
        let gap_ms = stream.last_event_ms.map(|last| self.now_ms - last);
        match gap_ms {
            None => {
                let wait_ms = self.now_ms - stream.arrived_ms;
                stream.is_late = wait_ms > self.scenario.first_event_ms;
                self.outcome.first_event_ms.push(wait_ms);
            }
            Some(gap_ms) => stream.is_late |= gap_ms > self.scenario.gap_ms,
        }
        stream.last_event_ms = Some(self.now_ms);
        stream.context_tokens += f64::from(self.profile.tokens_per_event);
        stream.events_left -= 1;
        self.fleet.event(&mut stream.sent, gap_ms, self.now_ms);
        if stream.events_left > 0 {
            return true;
        }
        self.fleet.end(&stream.sent, Some(stream.sent.events), self.now_ms);
        *(if stream.is_late { &mut self.outcome.late } else { &mut self.outcome.on_time }) += 1;
        false
    }
}

/// The caller's estimate of the answer's tokens: right at the median, often far off.
fn hint(random: &mut StdRng, size: Size, factor: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    (f64::from(size.events) * 7.0 * factor * (0.7 * normal).exp()).max(1.0)
}
