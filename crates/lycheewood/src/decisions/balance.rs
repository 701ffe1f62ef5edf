//! Selection of the endpoint for one forwarded request.
//!
//! The number of requests in flight is exact for this instance and lags by one heartbeat for the others.
//! Instances that decide within one heartbeat of each other must not all choose the least loaded endpoint, so
//! each samples a few endpoints at random, most of them in its own failure domain, and chooses the one with the
//! fewest requests per slot.

use crate::decisions::units::{index_below, mix};
use crate::ids::{FailureDomain, InstanceId};

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
    let mut indices: Vec<usize> =
        (0..endpoints.len()).filter(|i| !avoid.contains(endpoints[*i].id)).collect();
    if indices.iter().any(|index| !endpoints[*index].is_slow) {
        indices.retain(|index| !endpoints[*index].is_slow);
    }
    let (mut local, mut remote): (Vec<usize>, Vec<usize>) =
        indices.into_iter().partition(|index| endpoints[*index].failure_domain == domain);
    sample(&mut local, SAMPLE_SIZE, random);
    sample(&mut remote, SAMPLE_SIZE + 1 - local.len(), mix(random));
    local
        .into_iter()
        .chain(remote)
        .min_by(|a, b| load(&endpoints[*a], domain).total_cmp(&load(&endpoints[*b], domain)))
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
