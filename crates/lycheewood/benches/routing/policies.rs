//! The policies compared. Each entry keeps its own state.

use lycheewood::{
    Candidate, Estimate, FailureDomain, InstanceId, Load, RouteRequest, RoutingPolicy, Timestamp,
    choose_endpoint,
};

use crate::events::{Variates, float};

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Policy {
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    TwoChoicesProbe,
    AffinityBounded,
    Lycheewood,
}

pub(crate) const POLICIES: [(Policy, &str); 6] = [
    (Policy::RoundRobin, "round_robin"),
    (Policy::LeastOutstanding, "least_outstanding"),
    (Policy::TwoChoices, "two_choices"),
    (Policy::TwoChoicesProbe, "two_choices_probe"),
    (Policy::AffinityBounded, "affinity_bounded"),
    (Policy::Lycheewood, "lycheewood"),
];

/// What an entry sees of one endpoint, besides its own estimate.
pub(crate) struct Seen {
    pub(crate) id: InstanceId,
    pub(crate) domain: FailureDomain,
    pub(crate) report: Option<Load>,
    pub(crate) hints: std::collections::HashSet<u64>,
    pub(crate) silent: bool,
    /// Running and waiting now; only the probing policy may read it.
    pub(crate) actual: u32,
}

pub(crate) struct Entry {
    pub(crate) estimates: Vec<Estimate>,
    next: usize,
}

impl Entry {
    pub(crate) fn new(endpoints: usize, first: usize) -> Self {
        Self { estimates: vec![Estimate::default(); endpoints], next: first }
    }

    pub(crate) fn choose(
        &mut self,
        policy: Policy,
        seen: &[Seen],
        prefix: u64,
        tried: &[usize],
        now: Timestamp,
        random: &mut Variates,
    ) -> Option<usize> {
        let mut live: Vec<usize> =
            (0..seen.len()).filter(|i| !seen[*i].silent && !tried.contains(i)).collect();
        if live.is_empty() {
            live = (0..seen.len()).filter(|&i| !seen[i].silent).collect();
        }
        match policy {
            _ if live.is_empty() => None,
            Policy::RoundRobin => Some(self.round_robin(&live)),
            Policy::LeastOutstanding => self.least_outstanding(&live, random),
            Policy::TwoChoices => {
                let (a, b) = pair(&live, random);
                Some(if self.own(b) < self.own(a) { b } else { a })
            }
            Policy::TwoChoicesProbe => {
                let (a, b) = pair(&live, random);
                Some(if self.probed(seen, b) < self.probed(seen, a) { b } else { a })
            }
            Policy::AffinityBounded => Some(self.affinity(&live, prefix)),
            Policy::Lycheewood => self.lycheewood(seen, prefix, tried, now, random),
        }
    }

    fn own(&self, endpoint: usize) -> u32 {
        self.estimates[endpoint].in_flight().count()
    }

    fn round_robin(&mut self, live: &[usize]) -> usize {
        self.next += 1;
        live[self.next % live.len()]
    }

    fn least_outstanding(&self, live: &[usize], random: &mut Variates) -> Option<usize> {
        let offset = random.below(live.len());
        let rotated = (0..live.len()).map(|i| live[(i + offset) % live.len()]);
        rotated.min_by_key(|&i| self.own(i))
    }

    fn probed(&self, seen: &[Seen], endpoint: usize) -> f64 {
        let latency = self.estimates[endpoint].first_token_ms().map_or(1.0, |(ms, _)| ms);
        f64::from(seen[endpoint].actual + 1) * latency
    }

    /// Consistent hashing with bounded loads, over own requests in flight.
    fn affinity(&self, live: &[usize], prefix: u64) -> usize {
        let total: u32 = live.iter().map(|&i| self.own(i)).sum();
        let bound = (1.25 * f64::from(total + 1) / float(live.len())).ceil();
        let mut homes = live.to_vec();
        homes.sort_by_key(|&i| std::cmp::Reverse(weight(prefix, i)));
        homes.iter().copied().find(|&i| f64::from(self.own(i)) < bound).unwrap_or(homes[0])
    }

    fn lycheewood(
        &self,
        seen: &[Seen],
        prefix: u64,
        tried: &[usize],
        now: Timestamp,
        random: &mut Variates,
    ) -> Option<usize> {
        let candidates: Vec<Candidate<'_>> = seen
            .iter()
            .zip(&self.estimates)
            .map(|(seen, estimate)| Candidate {
                endpoint: &seen.id,
                failure_domain: &seen.domain,
                estimate,
                report: seen.report.as_ref(),
                cached_share: if seen.hints.contains(&prefix) { 0.9 } else { 0.0 },
                draining: false,
                silent: seen.silent,
                reserved: false,
            })
            .collect();
        let tried: Vec<&InstanceId> = tried.iter().map(|&i| &seen[i].id).collect();
        let request = RouteRequest { prefix: Some(prefix), run_alone: false, tried: &tried };
        choose_endpoint(&RoutingPolicy::default(), &candidates, &request, now, random.word()).ok()
    }
}

fn pair(live: &[usize], random: &mut Variates) -> (usize, usize) {
    let first = random.below(live.len());
    let second = (first + 1 + random.below((live.len() - 1).max(1))) % live.len();
    (live[first], live[second])
}

fn weight(prefix: u64, endpoint: usize) -> u64 {
    let word = prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (endpoint as u64 + 1);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
