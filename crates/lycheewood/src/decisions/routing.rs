//! Selection of the endpoint for one request.
//!
//! Every entry decides independently, based on load reports that lag. The number of own requests in flight
//! is exact. The load from other entries comes from the last report and converges to the mean of all
//! candidates as the report ages, so that entries do not all follow the same outdated report.

use serde::Deserialize;

use crate::clock::Timestamp;
use crate::decisions::estimate::EndpointEstimate;
use crate::decisions::units::{decay, float_ms, index_below, mix};
use crate::ids::{FailureDomain, InstanceId};
use crate::wire::message::Load;

/// Requests added to both sides of the ratio in [`own_load_ratio`], which is unreliable with few requests.
const OWN_LOAD_PRIOR: f64 = 0.25;

/// Time to first token assumed before the first sample, in milliseconds. With a much lower value every
/// endpoint that has just received its first request would look stalled.
const INITIAL_FIRST_TOKEN_MS: f64 = 500.0;
/// Multiple of the mean latency above which an endpoint counts as slow. Prefix caching alone makes the
/// latencies of healthy endpoints differ by less.
const SLOW_LATENCY_RATIO: f64 = 2.0;
/// Weight of the error share in the cost: an endpoint with an error share of 1 costs five times as much.
const ERROR_COST: f64 = 4.0;

/// Routing settings.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingPolicy {
    /// Multiple of the mean load below which an endpoint may be chosen by prefix affinity.
    pub load_bound: f64,
    /// Time constant with which the weight of a load report decays, in milliseconds.
    pub report_decay_ms: u64,
    /// Time constant with which an old latency sample converges to the mean, in milliseconds. Without it
    /// an endpoint that was slow once would never be tried again.
    pub latency_decay_ms: u64,
    /// Maximum error share of an endpoint that may be chosen by prefix affinity, 0 to 1.
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

/// State of one endpoint that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteCandidate<'a> {
    /// Identifier of the endpoint.
    pub endpoint: &'a InstanceId,
    /// Failure domain of the endpoint.
    pub failure_domain: &'a FailureDomain,
    /// Estimates from this entry's own requests.
    pub estimate: &'a EndpointEstimate,
    /// The latest load report, if one has arrived.
    pub report: Option<&'a Load>,
    /// Fraction of the prompt that is cached there according to cache events, 0 to 1. Only a hint, because
    /// events can be lost.
    pub cached_share: f64,
    /// Whether the endpoint has announced that it is draining.
    pub draining: bool,
    /// Whether the connection is silent or closed.
    pub silent: bool,
    /// Whether the endpoint is reserved for a suspect request that must run alone.
    pub reserved: bool,
}

/// Properties of a request that routing depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteRequest<'a> {
    /// Hash of the prompt's prefix; requests with equal prefixes prefer the same endpoint. `None` for
    /// plain services.
    pub prefix: Option<u64>,
    /// Whether the request is suspected of crashing endpoints and must run alone.
    pub run_alone: bool,
    /// Endpoints used by earlier attempts of this request.
    pub tried: &'a [&'a InstanceId],
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoEndpoint {
    /// Every endpoint is draining, silent or reserved.
    #[error("no live endpoint can take this request; start endpoints or wait for one to recover")]
    NoneLive,
    /// The request must run alone and every live endpoint is busy.
    #[error("the request must run alone and no endpoint is idle; retry later")]
    NoneIdle,
}

/// Chooses the candidate for a request and returns its index.
///
/// # Errors
///
/// Returns [`NoEndpoint`] with the reason why no candidate is eligible. The request has not run.
pub fn choose_endpoint(
    policy: &RoutingPolicy,
    candidates: &[RouteCandidate<'_>],
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
        .and_then(|prefix| choose_by_affinity(policy, candidates, &costs, prefix))
        .unwrap_or_else(|| choose_cheaper_of_two(&costs, random));
    Ok(chosen)
}

/// Load and cost of one eligible candidate.
struct Cost {
    index: usize,
    /// Own requests in flight.
    own_in_flight: f64,
    /// Estimated total number of requests, scaled up for a slow endpoint.
    load: f64,
    /// Relative cost that grows with the expected latency. Only meaningful for comparison.
    expected_latency: f64,
    /// Whether the report is recent enough to reflect the load from other entries.
    has_fresh_report: bool,
    error_share: f64,
}

/// Means over the eligible candidates, which each candidate is compared with.
struct Means<'a> {
    /// Load from other entries at the time of the last reports.
    others_load: f64,
    own_in_flight: f64,
    first_token_ms: f64,
    domain_error_shares: Vec<(&'a FailureDomain, f64)>,
}

impl<'a> Means<'a> {
    fn new(candidates: &[RouteCandidate<'a>], eligible: &[usize], now: Timestamp) -> Self {
        let each = || eligible.iter().map(|&i| &candidates[i]);
        let measured = mean(each().filter_map(|c| c.estimate.first_token_ms()).map(|(ms, _)| ms));
        Self {
            others_load: mean(each().filter_map(|c| reported_others(c, now)).map(|(load, _)| load)),
            own_in_flight: mean(each().map(|c| c.estimate.in_flight().mean(now))),
            first_token_ms: if measured > 0.0 { measured } else { INITIAL_FIRST_TOKEN_MS },
            domain_error_shares: domain_error_shares(candidates, eligible, now),
        }
    }

    fn cost(
        &self,
        policy: &RoutingPolicy,
        candidate: &RouteCandidate<'_>,
        index: usize,
        now: Timestamp,
    ) -> Cost {
        let expected_others = self.others_load * own_load_ratio(candidate, self.own_in_flight, now);
        let load = estimated_load(policy, candidate, expected_others, now);
        let latency = latency_ms(policy, candidate.estimate, self.first_token_ms, now);
        let slowdown = (latency / self.first_token_ms / SLOW_LATENCY_RATIO).max(1.0);
        let error_share = candidate.estimate.error_share(now);
        let domain =
            self.domain_error_shares.iter().find(|(name, _)| *name == candidate.failure_domain);
        let with_domain = domain.map_or(error_share, |(_, share)| error_share.max(*share));
        let age_ms = candidate.report.map(|r| now.ms_since(r.reported));
        Cost {
            index,
            own_in_flight: f64::from(candidate.estimate.in_flight().count()),
            load: load * slowdown,
            expected_latency: (load + 1.0) * latency * (1.0 + ERROR_COST * with_domain),
            has_fresh_report: age_ms.is_some_and(|ms| ms < policy.report_decay_ms),
            error_share,
        }
    }
}

/// Costs of all eligible candidates and their mean load.
struct Costs {
    all: Vec<Cost>,
    mean_load: f64,
    mean_own_in_flight: f64,
    count: f64,
}

impl Costs {
    fn new(
        policy: &RoutingPolicy,
        candidates: &[RouteCandidate<'_>],
        eligible: &[usize],
        now: Timestamp,
    ) -> Self {
        let means = Means::new(candidates, eligible, now);
        let cost = |&index: &usize| means.cost(policy, &candidates[index], index, now);
        let all: Vec<Cost> = eligible.iter().map(cost).collect();
        let mean_load = mean(all.iter().map(|c| c.load));
        let mean_own_in_flight = mean(all.iter().map(|c| c.own_in_flight));
        let count = all.iter().fold(0.0, |sum, _| sum + 1.0);
        Self { all, mean_load, mean_own_in_flight, count }
    }

    /// Whether prefix affinity may select this candidate. One request above the load bound is allowed;
    /// otherwise affinity would never apply while all endpoints are idle. With an outdated report, own
    /// requests alone must stay within the bound: if every entry spreads its requests evenly, so does
    /// their sum.
    fn allows_affinity(&self, policy: &RoutingPolicy, cost: &Cost) -> bool {
        let with_this = self.mean_own_in_flight + 1.0 / self.count;
        let own_bound = (policy.load_bound * with_this).ceil();
        cost.error_share <= policy.max_error_share
            && cost.load < policy.load_bound * self.mean_load + 1.0
            && (cost.has_fresh_report || cost.own_in_flight < own_bound)
    }
}

/// Indices of the candidates that can take the request. Endpoints that were already tried are included
/// only if no others are left.
fn eligible(candidates: &[RouteCandidate<'_>], request: &RouteRequest<'_>) -> Vec<usize> {
    let live = |c: &RouteCandidate<'_>| !c.draining && !c.silent && !c.reserved;
    let select = |skip_tried: bool| -> Vec<usize> {
        let kept = candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| live(c) && !(skip_tried && request.tried.contains(&c.endpoint)));
        kept.map(|(index, _)| index).collect()
    };
    let untried = select(true);
    if untried.is_empty() { select(false) } else { untried }
}

fn choose_idle(
    candidates: &[RouteCandidate<'_>],
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

/// The first endpoint within the load bound, ordered by cache hint and then by rendezvous hash of the prefix.
fn choose_by_affinity(
    policy: &RoutingPolicy,
    candidates: &[RouteCandidate<'_>],
    costs: &Costs,
    prefix: u64,
) -> Option<usize> {
    let mut preferred: Vec<(bool, u64, &Cost)> = costs
        .all
        .iter()
        .map(|cost| {
            let candidate = &candidates[cost.index];
            (candidate.cached_share >= 0.5, rendezvous_weight(prefix, candidate.endpoint), cost)
        })
        .collect();
    preferred.sort_by_key(|candidate| std::cmp::Reverse((candidate.0, candidate.1)));
    preferred
        .iter()
        .map(|candidate| candidate.2)
        .find(|cost| costs.allows_affinity(policy, cost))
        .map(|cost| cost.index)
}

/// The cheaper of two distinct random candidates.
fn choose_cheaper_of_two(costs: &Costs, random: u64) -> usize {
    let len = costs.all.len();
    let first = index_below(random, len);
    if len == 1 {
        return costs.all[first].index;
    }
    let second = (first + 1 + index_below(mix(random), len - 1)) % len;
    let (a, b) = (&costs.all[first], &costs.all[second]);
    if b.expected_latency < a.expected_latency { b.index } else { a.index }
}

/// Load from other entries at the time of the report, and the age of the report in milliseconds.
fn reported_others(candidate: &RouteCandidate<'_>, now: Timestamp) -> Option<(f64, u64)> {
    let report = candidate.report?;
    let total = f64::from(report.running) + f64::from(report.queued);
    let load = (total - candidate.estimate.in_flight().mean(now)).max(0.0);
    Some((load, now.ms_since(report.reported)))
}

/// Ratio of own requests at the candidate to the mean of all candidates. Other entries see the same popular
/// prefixes, so their requests concentrate on the same endpoints.
fn own_load_ratio(candidate: &RouteCandidate<'_>, mean_own_in_flight: f64, now: Timestamp) -> f64 {
    let own_in_flight = candidate.estimate.in_flight().mean(now);
    (own_in_flight + OWN_LOAD_PRIOR) / (mean_own_in_flight + OWN_LOAD_PRIOR)
}

/// Own requests in flight plus the load from other entries, which converges to `expected_others` as the
/// report ages.
fn estimated_load(
    policy: &RoutingPolicy,
    candidate: &RouteCandidate<'_>,
    expected_others: f64,
    now: Timestamp,
) -> f64 {
    let by_others = reported_others(candidate, now).map_or(expected_others, |(load, age_ms)| {
        let weight = decay(age_ms, policy.report_decay_ms);
        weight * load + (1.0 - weight) * expected_others
    });
    f64::from(candidate.estimate.in_flight().count()) + by_others
}

/// Latency estimate, which converges to the mean as it ages and is at least the time for which the endpoint
/// has been stalled: an unreachable endpoint yields no samples, so its silence is the only evidence.
fn latency_ms(
    policy: &RoutingPolicy,
    estimate: &EndpointEstimate,
    mean_ms: f64,
    now: Timestamp,
) -> f64 {
    let measured = estimate.first_token_ms().map_or(mean_ms, |(ms, sampled)| {
        let weight = decay(now.ms_since(sampled), policy.latency_decay_ms);
        weight * ms + (1.0 - weight) * mean_ms
    });
    measured.max(float_ms(estimate.stalled_ms(now)))
}

/// Mean error share of each failure domain, because errors within one domain are correlated.
fn domain_error_shares<'a>(
    candidates: &[RouteCandidate<'a>],
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

/// Rendezvous hash of an endpoint for a prefix. All entries compute the same value.
fn rendezvous_weight(prefix: u64, endpoint: &InstanceId) -> u64 {
    endpoint.as_str().bytes().fold(mix(prefix), |hash, byte| mix(hash ^ u64::from(byte)))
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), v| (sum + v, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}
