//! A model of gateways before engines that share their passes, in steps of one millisecond and without a network.
//!
//! A gateway knows its own requests in flight at once and those of the others as of its last refresh.

mod engine;
mod gateway;
mod outcome;
mod site;

use std::collections::VecDeque;

use lycheewood::{
    FailureDomain, GapAverage, GrantRate, InstanceId, PlaceClaims, PlaceRequest, Pressure,
    QueueDeadlines, Timestamp, WaitingCounts,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub(crate) use outcome::{CLASSES, Outcome, WORKSPACES};
pub(crate) use site::{LARGE, ONE_GROUP, Site, THREE_GROUPS};

/// Number of ranks of [`LARGE`].
pub(crate) const RANKS: usize = 64;
const DEADLINE_MS: u64 = 8_000;
/// Time without an event after which a caller leaves.
const PATIENCE_MS: u64 = 2_400;
/// Time between two copies of the counts of all gateways, in milliseconds.
const COPY_MS: u64 = 50;

/// What happens in a run, by milliseconds from its start.
pub(crate) struct Pattern {
    pub(crate) site: &'static Site,
    pub(crate) end_ms: u64,
    /// Requests per second, by class. The class is the priority of its requests.
    pub(crate) rates: fn(u64) -> [f64; CLASSES],
    /// Load of the most loaded rank relative to the mean.
    pub(crate) imbalance: fn(u64) -> f64,
    /// Time that the work of the slowest rank takes, as a multiple of the usual time; infinite while the group is
    /// away.
    pub(crate) slowdown: fn(u64) -> f64,
    /// Number of ranks that get no requests.
    pub(crate) ranks_lost: fn(u64) -> usize,
    /// Whether refused callers come back at once and three times, instead of once and when they are told.
    pub(crate) repeats_at_once: bool,
    /// Share of the callers that leave 300 ms after they have sent their request.
    pub(crate) leave_early: f64,
}

impl Pattern {
    pub(crate) const CALM: Self = Self {
        site: &LARGE,
        end_ms: 20_000,
        rates: |_| [140.0, 0.0, 0.0],
        imbalance: |_| 1.3,
        slowdown: |_| 1.0,
        ranks_lost: |_| 0,
        repeats_at_once: false,
        leave_early: 0.0,
    };
}

/// How the gateways decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The decisions of the library.
    Paced,
    /// The same with a batch that does not follow the pace of the group.
    FixedBatch,
    /// Requests go to the engines at once, which queue a few and reject the others.
    Unlimited,
    /// The decisions before priorities: at each change all waiting requests look for a place.
    Unordered,
    /// First come, first served, with a bounded queue at each gateway.
    FirstCome,
    /// By priority alone: no floors, and lateness and age do not count.
    Strict,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    /// When the caller first asked.
    asked_ms: u64,
    received_ms: u64,
    returns_left: u32,
    events: u32,
    leaves_ms: Option<u64>,
    class: usize,
    workspace: usize,
    prompt_tokens: f64,
    is_large: bool,
    /// The priority by which it waits.
    priority: u8,
}

impl Request {
    fn deadlines(&self, site: &Site) -> QueueDeadlines {
        let deadline = at(self.asked_ms + DEADLINE_MS);
        QueueDeadlines::new(at(self.received_ms), site.target_ms[self.class], deadline)
    }

    fn place_request(&self, site: &Site) -> PlaceRequest {
        PlaceRequest {
            priority: self.priority,
            received: at(self.received_ms),
            deadlines: self.deadlines(site),
            is_unrestricted: true,
        }
    }
}

struct Stream {
    request: Request,
    gateway: usize,
    events_left: u32,
    last_event_ms: Option<u64>,
    is_late: bool,
}

#[derive(Default)]
struct Rank {
    running: Vec<Stream>,
    queued: VecDeque<Stream>,
}

struct Gateway {
    waiting: Vec<Request>,
    gaps: GapAverage,
    pressure: Pressure,
    grants: GrantRate,
    claims: PlaceClaims,
    own: Vec<u32>,
    others: Vec<u32>,
    /// The counts of waiting requests that the others know, and when they were sent.
    told: WaitingCounts,
    told_ms: u64,
}

pub(crate) struct Model<'a> {
    pattern: &'a Pattern,
    policy: Policy,
    /// Draws the requests, so that all policies get the same ones.
    arrivals: StdRng,
    random: StdRng,
    now_ms: u64,
    ranks: Vec<Rank>,
    ids: Vec<InstanceId>,
    domain: FailureDomain,
    gateways: Vec<Gateway>,
    /// Earlier counts of all gateways in flight, the newest last.
    copies: VecDeque<Vec<Vec<u32>>>,
    returning: Vec<(u64, Request)>,
    pass_ends_ms: u64,
    outcome: Outcome,
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// Plays a pattern with one seed.
pub(crate) fn play(pattern: &Pattern, policy: Policy, seed: u64) -> Outcome {
    let site = pattern.site;
    let gateway = || Gateway {
        waiting: Vec::new(),
        gaps: GapAverage::default(),
        pressure: Pressure::default(),
        grants: GrantRate::default(),
        claims: PlaceClaims::default(),
        own: vec![0; site.ranks],
        others: vec![0; site.ranks],
        told: WaitingCounts::default(),
        told_ms: 0,
    };
    let mut model = Model {
        pattern,
        policy,
        arrivals: StdRng::seed_from_u64(seed),
        random: StdRng::seed_from_u64(seed),
        now_ms: 0,
        ranks: (0..site.ranks).map(|_| Rank::default()).collect(),
        ids: (0..site.ranks).map(|rank| InstanceId::new(&format!("rank-{rank}"))).collect(),
        domain: FailureDomain::new("a"),
        gateways: (0..site.gateways).map(|_| gateway()).collect(),
        copies: VecDeque::new(),
        returning: Vec::new(),
        pass_ends_ms: 0,
        outcome: Outcome::default(),
    };
    // Requests that arrive near the end have time to be answered.
    for now_ms in 0..pattern.end_ms + DEADLINE_MS {
        model.now_ms = now_ms;
        model.step();
    }
    model.outcome
}

impl Model<'_> {
    fn step(&mut self) {
        if self.now_ms < self.pattern.end_ms {
            let rates = (self.pattern.rates)(self.now_ms);
            let per_ms = rates.iter().sum::<f64>() / 1_000.0;
            if self.arrivals.random_bool(per_ms.min(1.0)) {
                self.ask(rates);
            }
        }
        let due: Vec<Request> =
            self.returning.extract_if(.., |(due, _)| *due <= self.now_ms).map(|(_, r)| r).collect();
        for request in due {
            let gateway = self.random.random_range(0..self.gateways.len());
            self.arrive(gateway, Request { received_ms: self.now_ms, ..request });
        }
        if self.now_ms >= self.pass_ends_ms {
            self.end_pass();
        }
        let site = self.pattern.site;
        if site.count_age_ms > 0 && self.now_ms.is_multiple_of(COPY_MS) {
            self.copies
                .push_back(self.gateways.iter().map(|gateway| gateway.own.clone()).collect());
            let kept = usize::try_from(site.count_age_ms / COPY_MS).unwrap();
            if self.copies.len() > kept {
                self.copies.pop_front();
            }
        }
        let count = u64::try_from(self.gateways.len()).unwrap();
        for gateway in 0..self.gateways.len() {
            let offset = site.refresh_ms * u64::try_from(gateway).unwrap() / count;
            if (self.now_ms + offset).is_multiple_of(site.refresh_ms) {
                self.refresh(gateway);
            }
            if !self.gateways[gateway].waiting.is_empty() {
                self.expire(gateway);
            }
        }
    }

    fn ask(&mut self, rates: [f64; CLASSES]) {
        let leaves = self.arrivals.random_bool(self.pattern.leave_early);
        let mut point = self.arrivals.random::<f64>() * rates.iter().sum::<f64>();
        let class = rates.iter().position(|rate| {
            point -= rate;
            point < 0.0
        });
        let prompt_tokens = self.exponential().clamp(0.1, 3.0) * self.pattern.site.prompt_tokens;
        let request = Request {
            asked_ms: self.now_ms,
            received_ms: self.now_ms,
            events: self.events(),
            returns_left: if self.pattern.repeats_at_once { 3 } else { 1 },
            leaves_ms: leaves.then_some(self.now_ms + 300),
            class: class.unwrap_or(0),
            workspace: self.arrivals.random_range(0..WORKSPACES),
            prompt_tokens,
            // The largest tenth of an exponential distribution.
            is_large: prompt_tokens > 2.3 * self.pattern.site.prompt_tokens,
            priority: 0,
        };
        if !leaves {
            self.outcome.count(&request, |share| share.asked += 1);
        }
        let gateway = self.arrivals.random_range(0..self.gateways.len());
        self.arrive(gateway, request);
    }

    /// A number spread like an exponential distribution with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.arrivals.random::<f64>()).ln()
    }

    /// The number of events of a stream.
    fn events(&mut self) -> u32 {
        let site = self.pattern.site;
        let most = (self.exponential() * site.mean_events).clamp(2.0, f64::from(site.max_events));
        (2..=site.max_events).take_while(|events| f64::from(*events) <= most).last().unwrap_or(2)
    }
}
