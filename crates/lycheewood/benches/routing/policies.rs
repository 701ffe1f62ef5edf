//! The compared policies. Each entry keeps its own state.

use lycheewood::{
    EndpointEstimate, FailureDomain, InstanceId, Load, RouteCandidate, RouteRequest, RoutingPolicy,
    Timestamp, choose_endpoint,
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

/// State of one endpoint as visible to the entries, besides their own estimates.
pub(crate) struct EndpointStatus {
    pub(crate) id: InstanceId,
    pub(crate) domain: FailureDomain,
    pub(crate) report: Option<Load>,
    /// Prefixes that are cached there according to the cache events that arrived.
    pub(crate) cached_prefixes: std::collections::HashSet<u64>,
    pub(crate) silent: bool,
    /// Current number of running and queued requests. Only the probing policy may read it.
    pub(crate) actual_load: u32,
}

pub(crate) struct Entry {
    pub(crate) estimates: Vec<EndpointEstimate>,
    next: usize,
}

impl Entry {
    pub(crate) fn new(endpoints: usize, first: usize) -> Self {
        Self { estimates: vec![EndpointEstimate::default(); endpoints], next: first }
    }

    pub(crate) fn choose(
        &mut self,
        policy: Policy,
        statuses: &[EndpointStatus],
        prefix: u64,
        tried: &[usize],
        now: Timestamp,
        random: &mut Variates,
    ) -> Option<usize> {
        let mut live: Vec<usize> =
            (0..statuses.len()).filter(|i| !statuses[*i].silent && !tried.contains(i)).collect();
        if live.is_empty() {
            live = (0..statuses.len()).filter(|&i| !statuses[i].silent).collect();
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
                Some(if self.probed(statuses, b) < self.probed(statuses, a) { b } else { a })
            }
            Policy::AffinityBounded => Some(self.affinity(&live, prefix)),
            Policy::Lycheewood => self.lycheewood(statuses, prefix, tried, now, random),
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

    fn probed(&self, statuses: &[EndpointStatus], endpoint: usize) -> f64 {
        let latency = self.estimates[endpoint].first_token_ms().map_or(1.0, |(ms, _)| ms);
        f64::from(statuses[endpoint].actual_load + 1) * latency
    }

    /// Rendezvous hashing with bounded loads, where the load is the number of own requests in flight.
    fn affinity(&self, live: &[usize], prefix: u64) -> usize {
        let total: u32 = live.iter().map(|&i| self.own(i)).sum();
        let bound = (1.25 * f64::from(total + 1) / float(live.len())).ceil();
        let mut ranked = live.to_vec();
        ranked.sort_by_key(|&i| std::cmp::Reverse(rendezvous_weight(prefix, i)));
        ranked.iter().copied().find(|&i| f64::from(self.own(i)) < bound).unwrap_or(ranked[0])
    }

    fn lycheewood(
        &self,
        statuses: &[EndpointStatus],
        prefix: u64,
        tried: &[usize],
        now: Timestamp,
        random: &mut Variates,
    ) -> Option<usize> {
        let candidates: Vec<RouteCandidate<'_>> = statuses
            .iter()
            .zip(&self.estimates)
            .map(|(status, estimate)| RouteCandidate {
                endpoint: &status.id,
                failure_domain: &status.domain,
                estimate,
                report: status.report.as_ref(),
                cached_share: if status.cached_prefixes.contains(&prefix) { 0.9 } else { 0.0 },
                draining: false,
                silent: status.silent,
                reserved: false,
            })
            .collect();
        let tried: Vec<&InstanceId> = tried.iter().map(|&i| &statuses[i].id).collect();
        let request = RouteRequest { prefix: Some(prefix), run_alone: false, tried: &tried };
        choose_endpoint(&RoutingPolicy::default(), &candidates, &request, now, random.word()).ok()
    }
}

fn pair(live: &[usize], random: &mut Variates) -> (usize, usize) {
    let first = random.below(live.len());
    let second = (first + 1 + random.below((live.len() - 1).max(1))) % live.len();
    (live[first], live[second])
}

fn rendezvous_weight(prefix: u64, endpoint: usize) -> u64 {
    let word = prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (endpoint as u64 + 1);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
