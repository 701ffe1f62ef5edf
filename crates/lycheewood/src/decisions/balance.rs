//! Choice of the endpoint for one forwarded request.
//!
//! Requests in flight are known exactly for this instance and within a heartbeat for the others. Instances
//! that decide within one heartbeat of each other must not all choose the least loaded endpoint, so each looks
//! at a few random ones, most of them in its own failure domain, and takes the one with the fewest requests
//! for its size.

use crate::decisions::units::{index_below, mix};
use crate::ids::{FailureDomain, InstanceId};

/// Added to the load of an endpoint for each recent failure, in requests per slot. One failure outweighs
/// a full queue of an average endpoint; a few keep it for when all others fail as well.
const FAILURE_LOAD: f64 = 2.0;
/// Requests by which an endpoint in another failure domain must be less loaded than one in the own domain. Bytes
/// between domains have a price, and what others have in flight there is known later.
const REMOTE_REQUESTS: f64 = 1.5;

/// Endpoints of the own failure domain that one choice looks at, beside one of another domain. With two,
/// an even load is lost between endpoints that are both busy; with many, all instances choose the same few.
/// Three were best or within noise of it for 12 and for 72 endpoints.
const LOOKED_AT: usize = 3;

/// An endpoint that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct BalancingCandidate<'a> {
    /// The endpoint.
    pub id: &'a InstanceId,
    /// Where it stands.
    pub failure_domain: &'a FailureDomain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests in flight from all instances.
    pub in_flight: u32,
    /// Weight of its recent failures, 0 when there are none.
    pub failures: f64,
    /// Whether its work takes much longer than usual.
    pub is_slow: bool,
}

/// Index of the endpoint that gets the request, or `None` when each one is in `avoid`. A slow endpoint gets it
/// only if there is no other: where ranks wait for each other, it makes all of them slow.
#[must_use]
pub fn choose_candidate(
    endpoints: &[BalancingCandidate<'_>],
    own_domain: &FailureDomain,
    avoid: &[InstanceId],
    random: u64,
) -> Option<usize> {
    let mut indices: Vec<usize> =
        (0..endpoints.len()).filter(|i| !avoid.contains(endpoints[*i].id)).collect();
    if indices.iter().any(|index| !endpoints[*index].is_slow) {
        indices.retain(|index| !endpoints[*index].is_slow);
    }
    let (mut near, mut far): (Vec<usize>, Vec<usize>) =
        indices.into_iter().partition(|index| endpoints[*index].failure_domain == own_domain);
    shuffle_to_front(&mut near, LOOKED_AT, random);
    shuffle_to_front(&mut far, LOOKED_AT + 1 - near.len(), mix(random));
    near.into_iter().chain(far).min_by(|a, b| {
        load(&endpoints[*a], own_domain).total_cmp(&load(&endpoints[*b], own_domain))
    })
}

/// Keeps `count` random ones of the indices.
fn shuffle_to_front(indices: &mut Vec<usize>, count: usize, random: u64) {
    let count = count.min(indices.len());
    let mut word = random;
    for place in 0..count {
        word = mix(word);
        let other = place + index_below(word, indices.len() - place);
        indices.swap(place, other);
    }
    indices.truncate(count);
}

fn load(endpoint: &BalancingCandidate<'_>, own_domain: &FailureDomain) -> f64 {
    let remote = if endpoint.failure_domain == own_domain { 0.0 } else { REMOTE_REQUESTS };
    (f64::from(endpoint.in_flight) + remote) / f64::from(endpoint.slots.max(1))
        + FAILURE_LOAD * endpoint.failures
}
