//! The policies that are compared: three baselines and the decision of the library.

use std::time::{Duration, Instant};

use lycheewood::{
    ChangeCosts, ExpertMap, LoadForecast, LoadReport, Objective, PlacementDecision,
    PlacementPolicy, PlacementView, Timestamp, decide_placement,
};

use crate::scenario::{PERIOD_MS, SLOTS};

pub(crate) const COSTS: ChangeCosts =
    ChangeCosts { load_ms: 5.0, stall_ms: 150.0, horizon_ms: 300_000.0 };

/// Each decision is timed this many times, and the shortest time counts. On a shared machine, a single run
/// also includes time of other processes.
const TIMED_RUNS: u32 = 3;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    Static,
    Rebuild,
    ReplicatePack,
    Lycheewood(Objective),
}

pub(crate) const POLICIES: [Policy; 5] = [
    Policy::Static,
    Policy::Rebuild,
    Policy::ReplicatePack,
    Policy::Lycheewood(Objective::Skew),
    Policy::Lycheewood(Objective::Cost),
];

impl Policy {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Static => "static",
            Self::Rebuild => "rebuild",
            Self::ReplicatePack => "replicate_pack",
            Self::Lycheewood(Objective::Skew) => "lycheewood_skew",
            Self::Lycheewood(Objective::Cost) => "lycheewood_cost",
        }
    }
}

/// The decisions of one policy for one group.
pub(crate) struct Decider {
    policy: Policy,
    max_moves: u32,
    forecast: LoadForecast,
    last_changed: Option<Timestamp>,
    pub(crate) slowest_decision: Duration,
}

impl Decider {
    pub(crate) fn new(policy: Policy, max_moves: u32) -> Self {
        let forecast = LoadForecast::new();
        Self { policy, max_moves, forecast, last_changed: None, slowest_decision: Duration::ZERO }
    }

    /// Returns the next map, or `None` if the policy keeps `map`.
    pub(crate) fn decide(
        &mut self,
        now: Timestamp,
        map: &ExpertMap,
        report: &LoadReport<'_>,
    ) -> Option<ExpertMap> {
        self.forecast.observe(report);
        let mut fastest = Duration::MAX;
        let mut next = None;
        for _ in 0..TIMED_RUNS {
            let started = Instant::now();
            next = match self.policy {
                Policy::Static => None,
                Policy::Rebuild => Some(rebuild(report)),
                Policy::ReplicatePack => Some(replicate_pack(report)),
                Policy::Lycheewood(objective) => self.lycheewood(objective, now, map),
            };
            fastest = fastest.min(started.elapsed());
        }
        self.slowest_decision = self.slowest_decision.max(fastest);
        let next = next.filter(|next| next != map);
        if next.is_some() {
            self.last_changed = Some(now);
        }
        next
    }

    /// Updates the forecast with a report that arrives while a change is in progress.
    pub(crate) fn observe(&mut self, report: &LoadReport<'_>) {
        self.forecast.observe(report);
    }

    fn lycheewood(
        &self,
        objective: Objective,
        now: Timestamp,
        map: &ExpertMap,
    ) -> Option<ExpertMap> {
        let policy =
            PlacementPolicy { objective, max_moves: self.max_moves, min_interval_ms: PERIOD_MS };
        let view = PlacementView {
            now,
            map,
            forecast: &self.forecast,
            policy: &policy,
            costs: &COSTS,
            last_changed: self.last_changed,
        };
        match decide_placement(&view) {
            PlacementDecision::Keep(_) => None,
            PlacementDecision::Change(change) => Some(change.map),
        }
    }
}

/// Packs one replica of each expert, then fills each free slot with a replica of the hottest expert of the
/// rank that is slowest at that point.
fn rebuild(report: &LoadReport<'_>) -> ExpertMap {
    map_from_report(report, |tokens, speeds| {
        let mut packing = Packing::new(tokens, speeds);
        packing.pack(&vec![1; tokens.len()]);
        for _ in 0..speeds.len() * SLOTS - tokens.len() {
            let expert = packing.hottest_of_slowest_rank();
            packing.place(expert);
        }
        packing.holders
    })
}

/// Assigns replicas to the hottest experts, then packs all replicas.
pub(crate) fn replicate_pack(report: &LoadReport<'_>) -> ExpertMap {
    map_from_report(report, |tokens, speeds| {
        let mut replicas = vec![1_u32; tokens.len()];
        for _ in 0..speeds.len() * SLOTS - tokens.len() {
            let part = |expert: &usize| tokens[*expert] / f64::from(replicas[*expert]);
            let hottest = (0..tokens.len()).max_by(|a, b| part(a).total_cmp(&part(b)));
            replicas[hottest.unwrap_or(0)] += 1;
        }
        let mut packing = Packing::new(tokens, speeds);
        packing.pack(&replicas);
        packing.holders
    })
}

fn map_from_report(
    report: &LoadReport<'_>,
    layer: impl Fn(&[f64], &[f64]) -> Vec<Vec<usize>>,
) -> ExpertMap {
    let layers = report.tokens.iter().map(|tokens| layer(tokens, report.speeds)).collect();
    ExpertMap { ranks: report.speeds.len(), slots: SLOTS, layers }
}

struct Packing<'a> {
    tokens: &'a [f64],
    speeds: &'a [f64],
    used: Vec<usize>,
    loads: Vec<f64>,
    holders: Vec<Vec<usize>>,
}

impl<'a> Packing<'a> {
    fn new(tokens: &'a [f64], speeds: &'a [f64]) -> Self {
        let ranks = speeds.len();
        let holders = vec![Vec::new(); tokens.len()];
        Self { tokens, speeds, used: vec![0; ranks], loads: vec![0.0; ranks], holders }
    }

    /// Longest processing time first: each replica, heaviest first, goes to the rank that would finish first.
    fn pack(&mut self, replicas: &[u32]) {
        let mut items = Vec::new();
        for (expert, &count) in replicas.iter().enumerate() {
            let part = self.tokens[expert] / f64::from(count);
            items.extend((0..count).map(|_| (part, expert)));
        }
        items.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (part, expert) in items {
            if let Some(rank) = self.earliest(expert, part) {
                self.used[rank] += 1;
                self.loads[rank] += part;
                self.holders[expert].push(rank);
            }
        }
    }

    fn earliest(&self, expert: usize, part: f64) -> Option<usize> {
        let finish = |rank: usize| (self.loads[rank] + part) / self.speeds[rank];
        let open = |rank: &usize| self.used[*rank] < SLOTS && !self.holders[expert].contains(rank);
        (0..self.speeds.len()).filter(open).min_by(|&a, &b| finish(a).total_cmp(&finish(b)))
    }

    fn part(&self, expert: usize) -> f64 {
        self.tokens[expert] / f64::from(u32::try_from(self.holders[expert].len()).unwrap_or(1))
    }

    fn hottest_of_slowest_rank(&self) -> usize {
        let time = |rank: usize| self.loads[rank] / self.speeds[rank];
        let slowest = (0..self.loads.len()).max_by(|&a, &b| time(a).total_cmp(&time(b)));
        (0..self.tokens.len())
            .filter(|&expert| slowest.is_some_and(|rank| self.holders[expert].contains(&rank)))
            .max_by(|&a, &b| self.part(a).total_cmp(&self.part(b)))
            .unwrap_or_default()
    }

    /// Adds a replica, and spreads the tokens of the expert evenly over its replicas.
    fn place(&mut self, expert: usize) {
        let old = self.part(expert);
        let Some(rank) = self.earliest(expert, old) else { return };
        for &holder in &self.holders[expert] {
            self.loads[holder] -= old;
        }
        self.used[rank] += 1;
        self.holders[expert].push(rank);
        let new = self.part(expert);
        for &holder in &self.holders[expert] {
            self.loads[holder] += new;
        }
    }
}
