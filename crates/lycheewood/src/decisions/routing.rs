//! Choice of the endpoint for one request.
//!
//! Every entry decides alone, with reports that lag. Own requests in flight are exact; the load that
//! other entries cause is taken from the last report and drawn towards the mean of all candidates as
//! the report ages, so that entries do not all follow the same old report.

use serde::Deserialize;

use crate::clock::Timestamp;
use crate::decisions::estimate::Estimate;
use crate::decisions::units::{decay, float_ms, index_below, mix};
use crate::ids::{FailureDomain, InstanceId};
use crate::wire::message::Load;

/// Requests added to both sides of the own share: with few own requests it says little.
const OWN_SHARE_PRIOR: f64 = 0.25;

/// Time to first token assumed before any was measured, in milliseconds. A much lower one would make
/// every endpoint that has just been sent its first request look stalled.
const INITIAL_FIRST_TOKEN_MS: f64 = 500.0;
/// An endpoint counts as slow above this multiple of the mean latency. Cached prefixes alone make the
/// latencies of healthy endpoints differ by less.
const SLOW_AFTER: f64 = 2.0;
/// Factor on the share of errors in the cost: at a share of 1 the endpoint costs five times as much.
const ERROR_COST: f64 = 4.0;

/// Settings of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingPolicy {
    /// A cached prefix is followed while the endpoint's load is below this multiple of the mean.
    pub load_bound: f64,
    /// Time constant with which a report loses weight, in milliseconds.
    pub report_decay_ms: u64,
    /// Time constant with which an old latency returns to the mean, in milliseconds. Without it an
    /// endpoint that was slow once would never be tried again.
    pub latency_decay_ms: u64,
    /// No prefix is followed to an endpoint with a higher share of errors, 0 to 1.
    pub max_error_share: f64,
}

impl Default for RoutingPolicy {
    fn default() -> Self {
        Self {
            load_bound: 1.35,
            report_decay_ms: 2_000,
            latency_decay_ms: 10_000,
            max_error_share: 0.1,
        }
    }
}

/// What is known about one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a InstanceId,
    /// Its failure domain.
    pub failure_domain: &'a FailureDomain,
    /// What this entry's own requests showed.
    pub estimate: &'a Estimate,
    /// The last load report, if any came.
    pub report: Option<&'a Load>,
    /// Share of the prompt that cache events place there, 0 to 1. A hint: events have gaps.
    pub cached_share: f64,
    /// It announced that it is leaving.
    pub draining: bool,
    /// Its connection is silent or closed.
    pub silent: bool,
    /// A suspect request runs there alone.
    pub reserved: bool,
}

/// What is known about the request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteRequest<'a> {
    /// Hash of the prompt's prefix; equal prefixes share an endpoint. `None` for plain services.
    pub prefix: Option<u64>,
    /// The request is suspected of crashing endpoints and must run alone.
    pub run_alone: bool,
    /// Endpoints that an earlier attempt of this request used.
    pub tried: &'a [&'a InstanceId],
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoEndpoint {
    /// Every endpoint is draining, silent, reserved or was tried.
    #[error("no live endpoint takes this request; start endpoints or wait for one to come back")]
    NoneLive,
    /// The request must run alone and every live endpoint is busy.
    #[error("the request must run alone and no endpoint is idle; send it again later")]
    NoneIdle,
}

/// Chooses the candidate for a request and returns its index.
///
/// # Errors
///
/// [`NoEndpoint`] tells why no candidate is eligible; the request has not run.
pub fn choose_endpoint(
    policy: &RoutingPolicy,
    candidates: &[Candidate<'_>],
    request: &RouteRequest<'_>,
    now: Timestamp,
    random: u64,
) -> Result<usize, NoEndpoint> {
    let eligible = eligible(candidates, request);
    if eligible.is_empty() {
        return Err(NoEndpoint::NoneLive);
    }
    if request.run_alone {
        return choose_idle(candidates, &eligible, random);
    }
    let costs = Costs::new(policy, candidates, &eligible, now);
    let chosen = request
        .prefix
        .and_then(|prefix| follow_prefix(policy, candidates, &costs, prefix))
        .unwrap_or_else(|| better_of_two(&costs, random));
    Ok(chosen)
}

/// Load and cost of one eligible candidate.
struct Cost {
    index: usize,
    /// Own requests in flight.
    own: f64,
    /// Estimate of all requests there, scaled up where answers are slow.
    load: f64,
    /// Grows with the time that a request would wait there; only compared, never shown.
    expected_ms: f64,
    /// The report is recent enough to stand for the load by others.
    fresh: bool,
    errors: f64,
}

/// Means over the eligible candidates, against which each is judged.
struct Group<'a> {
    others: f64,
    own: f64,
    first_token_ms: f64,
    error_shares: Vec<(&'a FailureDomain, f64)>,
}

impl<'a> Group<'a> {
    fn new(candidates: &[Candidate<'a>], eligible: &[usize], now: Timestamp) -> Self {
        let each = || eligible.iter().map(|&i| &candidates[i]);
        let measured = mean(each().filter_map(|c| c.estimate.first_token_ms()).map(|(ms, _)| ms));
        Self {
            others: mean(each().filter_map(|c| others(c, now)).map(|(load, _)| load)),
            own: mean(each().map(|c| c.estimate.in_flight().mean(now))),
            first_token_ms: if measured > 0.0 { measured } else { INITIAL_FIRST_TOKEN_MS },
            error_shares: domain_error_shares(candidates, eligible, now),
        }
    }

    fn cost(
        &self,
        policy: &RoutingPolicy,
        candidate: &Candidate<'_>,
        index: usize,
        now: Timestamp,
    ) -> Cost {
        let others_now = self.others * own_share(candidate, self.own, now);
        let load = estimated_load(policy, candidate, others_now, now);
        let latency = latency_ms(policy, candidate.estimate, self.first_token_ms, now);
        let slowness = (latency / self.first_token_ms / SLOW_AFTER).max(1.0);
        let errors = candidate.estimate.error_share(now);
        let domain = self.error_shares.iter().find(|(name, _)| *name == candidate.failure_domain);
        let with_domain = domain.map_or(errors, |(_, share)| errors.max(*share));
        let age_ms = candidate.report.map(|r| now.ms_since(r.reported));
        Cost {
            index,
            own: f64::from(candidate.estimate.in_flight().count()),
            load: load * slowness,
            expected_ms: (load + 1.0) * latency * (1.0 + ERROR_COST * with_domain),
            fresh: age_ms.is_some_and(|ms| ms < policy.report_decay_ms),
            errors,
        }
    }
}

/// Costs of the eligible candidates and their mean load.
struct Costs {
    all: Vec<Cost>,
    mean_load: f64,
    mean_own: f64,
    count: f64,
}

impl Costs {
    fn new(
        policy: &RoutingPolicy,
        candidates: &[Candidate<'_>],
        eligible: &[usize],
        now: Timestamp,
    ) -> Self {
        let group = Group::new(candidates, eligible, now);
        let cost = |&index: &usize| group.cost(policy, &candidates[index], index, now);
        let all: Vec<Cost> = eligible.iter().map(cost).collect();
        let mean_load = mean(all.iter().map(|c| c.load));
        let mean_own = mean(all.iter().map(|c| c.own));
        let count = all.iter().fold(0.0, |sum, _| sum + 1.0);
        Self { all, mean_load, mean_own, count }
    }

    /// Whether a prefix may be followed to this candidate. One request above the bound is allowed,
    /// or an idle group would follow no prefix at all. With an old report, own requests have to keep
    /// the bound by themselves: if every entry's share is even, so is the sum.
    fn allow(&self, policy: &RoutingPolicy, cost: &Cost) -> bool {
        let with_this = self.mean_own + 1.0 / self.count;
        let own_bound = (policy.load_bound * with_this).ceil();
        cost.errors <= policy.max_error_share
            && cost.load < policy.load_bound * self.mean_load + 1.0
            && (cost.fresh || cost.own < own_bound)
    }
}

/// Candidates that may take the request; endpoints already tried only when nothing else is left.
fn eligible(candidates: &[Candidate<'_>], request: &RouteRequest<'_>) -> Vec<usize> {
    let live = |c: &Candidate<'_>| !c.draining && !c.silent && !c.reserved;
    let select = |skip_tried: bool| -> Vec<usize> {
        let kept = candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| live(c) && !(skip_tried && request.tried.contains(&c.endpoint)));
        kept.map(|(index, _)| index).collect()
    };
    let fresh = select(true);
    if fresh.is_empty() { select(false) } else { fresh }
}

fn choose_idle(
    candidates: &[Candidate<'_>],
    eligible: &[usize],
    random: u64,
) -> Result<usize, NoEndpoint> {
    let idle: Vec<usize> = eligible
        .iter()
        .copied()
        .filter(|&i| {
            let candidate = &candidates[i];
            candidate.estimate.in_flight().count() == 0
                && candidate.report.is_none_or(|r| r.running == 0 && r.queued == 0)
        })
        .collect();
    if idle.is_empty() {
        return Err(NoEndpoint::NoneIdle);
    }
    Ok(idle[index_below(random, idle.len())])
}

/// The first endpoint, in order of cache hint and then of hash with the prefix, that is not overloaded.
fn follow_prefix(
    policy: &RoutingPolicy,
    candidates: &[Candidate<'_>],
    costs: &Costs,
    prefix: u64,
) -> Option<usize> {
    let mut homes: Vec<(bool, u64, &Cost)> = costs
        .all
        .iter()
        .map(|cost| {
            let candidate = &candidates[cost.index];
            (candidate.cached_share >= 0.5, rendezvous(prefix, candidate.endpoint), cost)
        })
        .collect();
    homes.sort_by_key(|home| std::cmp::Reverse((home.0, home.1)));
    homes.iter().map(|home| home.2).find(|cost| costs.allow(policy, cost)).map(|cost| cost.index)
}

/// The cheaper of two different random candidates.
fn better_of_two(costs: &Costs, random: u64) -> usize {
    let len = costs.all.len();
    let first = index_below(random, len);
    if len == 1 {
        return costs.all[first].index;
    }
    let second = (first + 1 + index_below(mix(random), len - 1)) % len;
    let (a, b) = (&costs.all[first], &costs.all[second]);
    if b.expected_ms < a.expected_ms { b.index } else { a.index }
}

/// Load by other entries at the time of the report, and the age of the report in milliseconds.
fn others(candidate: &Candidate<'_>, now: Timestamp) -> Option<(f64, u64)> {
    let report = candidate.report?;
    let total = f64::from(report.running) + f64::from(report.queued);
    let load = (total - candidate.estimate.in_flight().mean(now)).max(0.0);
    Some((load, now.ms_since(report.reported)))
}

/// Own requests at the candidate over the mean of all candidates. Other entries see the same popular
/// prefixes, so where own requests gather, those of others do too.
fn own_share(candidate: &Candidate<'_>, mean_own: f64, now: Timestamp) -> f64 {
    let own = candidate.estimate.in_flight().mean(now);
    (own + OWN_SHARE_PRIOR) / (mean_own + OWN_SHARE_PRIOR)
}

/// Own requests in flight plus the load by others, drawn towards `mean_others` as the report ages.
fn estimated_load(
    policy: &RoutingPolicy,
    candidate: &Candidate<'_>,
    mean_others: f64,
    now: Timestamp,
) -> f64 {
    let by_others = others(candidate, now).map_or(mean_others, |(load, age_ms)| {
        let weight = decay(age_ms, policy.report_decay_ms);
        weight * load + (1.0 - weight) * mean_others
    });
    f64::from(candidate.estimate.in_flight().count()) + by_others
}

/// Latency estimate, drawn towards the mean as it ages, and at least the time that the endpoint has
/// owed an answer: a lost endpoint gives no samples, so its silence is the only sign.
fn latency_ms(policy: &RoutingPolicy, estimate: &Estimate, mean_ms: f64, now: Timestamp) -> f64 {
    let measured = estimate.first_token_ms().map_or(mean_ms, |(ms, sampled)| {
        let weight = decay(now.ms_since(sampled), policy.latency_decay_ms);
        weight * ms + (1.0 - weight) * mean_ms
    });
    measured.max(float_ms(estimate.stalled_ms(now)))
}

/// Mean error share of each failure domain: errors there tend to come together.
fn domain_error_shares<'a>(
    candidates: &[Candidate<'a>],
    eligible: &[usize],
    now: Timestamp,
) -> Vec<(&'a FailureDomain, f64)> {
    let mut sums: Vec<(&FailureDomain, f64, f64)> = Vec::new();
    for candidate in eligible.iter().map(|&i| &candidates[i]) {
        let share = candidate.estimate.error_share(now);
        match sums.iter_mut().find(|(domain, ..)| *domain == candidate.failure_domain) {
            Some((_, sum, count)) => {
                *sum += share;
                *count += 1.0;
            }
            None => sums.push((candidate.failure_domain, share, 1.0)),
        }
    }
    sums.into_iter().map(|(domain, sum, count)| (domain, sum / count)).collect()
}

/// Weight of an endpoint for a prefix: the same at every entry, and spread over the endpoints.
fn rendezvous(prefix: u64, endpoint: &InstanceId) -> u64 {
    endpoint.as_str().bytes().fold(mix(prefix), |hash, byte| mix(hash ^ u64::from(byte)))
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), v| (sum + v, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}
