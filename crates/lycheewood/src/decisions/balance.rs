//! Selection of the endpoint for one forwarded request.
//!
//! The number of requests in flight is exact for this instance and lags by one heartbeat for the others.
//! Instances that decide within one heartbeat of each other must not all choose the least loaded endpoint, so
//! each samples a few endpoints at random, most of them in its own failure domain, and chooses the one with the
//! fewest requests per slot. Engines whose requests differ in cost are compared by the time that the request would
//! take there.

use crate::decisions::cost::{RequestCost, tokens_per_event};
use crate::decisions::units::{index_below, mix, unit_interval};
use crate::ids::{FailureDomain, InstanceId};
use crate::routes::raw::EngineProfile;

/// Load added to an endpoint per recent failure, in requests per slot. One failure outweighs a full queue at an
/// average endpoint; after several, the endpoint is used only if all others fail as well.
const FAILURE_LOAD: f64 = 2.0;
/// Requests by which an endpoint in another failure domain must be less loaded than one in the own domain.
/// Traffic between domains has a cost, and the load from other instances there is known later.
const REMOTE_REQUESTS: f64 = 1.5;

/// Number of endpoints of the own failure domain in a sample, in addition to one of another domain. With two,
/// both are often busy and the load becomes uneven; with many, all instances choose the same few. Three suit
/// 12 endpoints as well as 72.
const SAMPLE_SIZE: usize = 3;

/// Part of the estimated waiting time by which it is varied at random. Instances whose counts are equally old would
/// otherwise all choose the group with the least work.
const JITTER_SHARE: f64 = 0.2;
/// Number of events of a stream that the estimated time looks ahead. What an endpoint does later is balanced by later
/// choices, and streams are late if a single gap is too long, which the requests decide that run now.
const HORIZON_EVENTS: f64 = 12.0;
/// Power of the share of busy slots with which the expected wait for a slot grows. Counts of other instances are old,
/// so an endpoint that seems to have a free slot may be full.
const BUSY_EXPONENT: i32 = 4;

/// Part of the slots from which an engine counts as crowded.
const CROWDED_SHARE: f64 = 0.5;

/// An endpoint that may receive the request.
#[derive(Clone, Copy, Debug)]
pub struct BalancingCandidate<'a> {
    /// Identifier of the endpoint.
    pub id: &'a InstanceId,
    /// Failure domain of the endpoint.
    pub failure_domain: &'a FailureDomain,
    /// Number of requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Requests in flight from all instances.
    pub in_flight: u32,
    /// Weight of recent failures, 0 if there are none.
    pub failures: f64,
    /// Whether the endpoint's work takes much longer than usual.
    pub is_slow: bool,
}

/// Chooses the endpoint that receives the request and returns its index, or `None` if all are in `avoid`.
/// `domain` is the failure domain of this instance. A slow endpoint is chosen only if there is no other, because
/// ranks of a group wait for each other and one slow rank slows down all of them.
#[must_use]
pub fn choose_by_load(
    endpoints: &[BalancingCandidate<'_>],
    domain: &FailureDomain,
    avoid: &[InstanceId],
    random: u64,
) -> Option<usize> {
    let load = |index: &usize| load(&endpoints[*index], domain);
    let sampled = sample_endpoints(endpoints, domain, avoid, random);
    sampled.into_iter().min_by(|a, b| load(a).total_cmp(&load(b)))
}

/// Indices of a random sample of the endpoints that are not in `avoid` and, as far as there are any, not slow. Most of
/// the sample is in the own failure domain.
fn sample_endpoints(
    endpoints: &[BalancingCandidate<'_>],
    domain: &FailureDomain,
    avoid: &[InstanceId],
    random: u64,
) -> Vec<usize> {
    let mut indices: Vec<usize> =
        (0..endpoints.len()).filter(|i| !avoid.contains(endpoints[*i].id)).collect();
    if indices.iter().any(|index| !endpoints[*index].is_slow) {
        indices.retain(|index| !endpoints[*index].is_slow);
    }
    let (mut local, mut remote): (Vec<usize>, Vec<usize>) =
        indices.into_iter().partition(|index| endpoints[*index].failure_domain == domain);
    sample(&mut local, SAMPLE_SIZE, random);
    sample(&mut remote, SAMPLE_SIZE + 1 - local.len(), mix(random));
    local.extend(remote);
    local
}

/// Reduces `indices` to a random sample of `count` (a partial Fisher-Yates shuffle).
fn sample(indices: &mut Vec<usize>, count: usize, random: u64) {
    let count = count.min(indices.len());
    let mut word = random;
    for position in 0..count {
        word = mix(word);
        let other = position + index_below(word, indices.len() - position);
        indices.swap(position, other);
    }
    indices.truncate(count);
}

fn load(endpoint: &BalancingCandidate<'_>, domain: &FailureDomain) -> f64 {
    let remote = if endpoint.failure_domain == domain { 0.0 } else { REMOTE_REQUESTS };
    (f64::from(endpoint.in_flight) + remote) / f64::from(endpoint.slots.max(1))
        + FAILURE_LOAD * endpoint.failures
}

/// An engine that may receive a request whose cost is estimated.
#[derive(Clone, Copy, Debug)]
pub struct WorkCandidate<'a> {
    /// The endpoint and its requests in flight.
    pub endpoint: BalancingCandidate<'a>,
    /// Remaining work of the endpoint from all instances, in milliseconds.
    pub work_ms: f64,
    /// Remaining work for each rank of its group; that of the endpoint itself if it forms no group.
    pub group_work_ms: f64,
    /// Requests in flight for each rank of its group; those of the endpoint itself if it forms no group.
    pub group_in_flight: f64,
    /// Time that its passes take, as a multiple of the usual time.
    pub slowdown: f64,
    /// Whether the endpoint is slow and should get a single request that shows its pace.
    pub is_probe_due: bool,
}

/// A request whose cost is estimated, and the engines that may get it.
#[derive(Clone, Copy, Debug)]
pub struct WorkRequest<'a> {
    /// Performance of the engines.
    pub engine: &'a EngineProfile,
    /// Estimated cost of the request.
    pub cost: RequestCost,
    /// Cost of a typical request.
    pub typical: RequestCost,
}

impl WorkRequest<'_> {
    /// Time that the steps of a request take at an engine that runs nothing else, in milliseconds.
    fn alone_ms(&self, cost: &RequestCost) -> f64 {
        let steps = cost.prompt_steps + cost.events * tokens_per_event(self.engine);
        steps * self.engine.step_ms + cost.total_ms()
    }

    /// Time by which `in_flight` requests with `work_ms` of remaining work delay another one within the horizon: the
    /// work of each of them up to the horizon, with remaining work that is spread like an exponential distribution.
    fn delay_ms(&self, work_ms: f64, in_flight: f64) -> f64 {
        let horizon_ms = self.typical.event_ms * HORIZON_EVENTS;
        let most_ms = in_flight * horizon_ms;
        if work_ms <= 0.0 { 0.0 } else { work_ms * (1.0 - (-most_ms / work_ms).exp()) }
    }

    /// Estimated time until the endpoint has completed the request, in milliseconds. The work of a group is shared by
    /// all of its ranks but for the part that each rank does on its own.
    fn time_ms(&self, candidate: &WorkCandidate<'_>, domain: &FailureDomain, random: u64) -> f64 {
        let WorkCandidate { endpoint, work_ms, group_work_ms, slowdown, .. } = *candidate;
        let shared = self.engine.expert_share;
        let slots = f64::from(endpoint.slots.max(1));
        let in_flight = f64::from(endpoint.in_flight);
        let busy = (in_flight / slots).powi(BUSY_EXPONENT);
        let place_ms = self.alone_ms(&self.typical) / slots * busy;
        let waiting_ms = shared * self.delay_ms(group_work_ms, candidate.group_in_flight)
            + (1.0 - shared) * self.delay_ms(work_ms, in_flight)
            + place_ms;
        let varied_ms = waiting_ms * (1.0 + JITTER_SHARE * (unit_interval(random) - 0.5));
        let remote = if endpoint.failure_domain == domain { 0.0 } else { REMOTE_REQUESTS };
        let failures = FAILURE_LOAD * slots * endpoint.failures;
        slowdown * (self.alone_ms(&self.cost) + varied_ms)
            + (remote + failures) * self.delay_ms(self.typical.total_ms() / 2.0, 1.0)
    }
}

/// Chooses the engine that receives a request whose cost is estimated, like [`choose_by_load`] but by the time that the
/// request would take. Of several with about the same time, the one with the fewest requests per slot is chosen.
#[must_use]
pub fn choose_by_work(
    engines: &[WorkCandidate<'_>],
    request: &WorkRequest<'_>,
    domain: &FailureDomain,
    avoid: &[InstanceId],
    random: u64,
) -> Option<usize> {
    if let Some(probed) = choose_probed(engines, request, avoid) {
        return Some(probed);
    }
    let endpoints: Vec<_> = engines.iter().map(|engine| engine.endpoint).collect();
    let sampled = sample_endpoints(&endpoints, domain, avoid, random);
    // Near the capacity and above, the number of requests ahead decides. Estimates of remaining work served up to 0.03
    // fewer requests on time there, also when they decided only while some of the sample was crowded: the ranks of a
    // group wait for the slowest one, which is the one with the most requests.
    let is_crowded = |index: &usize| {
        let endpoint = &endpoints[*index];
        f64::from(endpoint.in_flight) >= f64::from(endpoint.slots) * CROWDED_SHARE
    };
    if sampled.iter().any(is_crowded) {
        let load = |index: &usize| load(&endpoints[*index], domain);
        return sampled.into_iter().min_by(|a, b| load(a).total_cmp(&load(b)));
    }
    let resolution_ms = (request.typical.event_ms).max(f64::MIN_POSITIVE);
    let mut word = random;
    let order = sampled.into_iter().map(|index| {
        word = mix(word);
        let engine = &engines[index];
        let time_ms = request.time_ms(engine, domain, word);
        let slots = f64::from(engine.endpoint.slots.max(1));
        (index, (time_ms / resolution_ms).round(), f64::from(engine.endpoint.in_flight) / slots)
    });
    let chosen = order.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.total_cmp(&b.2)));
    chosen.map(|(index, ..)| index)
}

/// A slow engine whose pace is to be measured. Only a request that is no longer than usual is used for it, because it
/// is late if the engine is still slow.
fn choose_probed(
    engines: &[WorkCandidate<'_>],
    request: &WorkRequest<'_>,
    avoid: &[InstanceId],
) -> Option<usize> {
    if request.cost.total_ms() > request.typical.total_ms() {
        return None;
    }
    let is_probed =
        |engine: &WorkCandidate<'_>| engine.is_probe_due && !avoid.contains(engine.endpoint.id);
    engines.iter().position(is_probed)
}
