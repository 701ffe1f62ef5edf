//! Which entry addresses callers are told, and which endpoints a daemon watches for load reports.
//!
//! Both are ranked by rendezvous hash: every process gets the same order for the same caller or watcher,
//! and an instance that comes or goes changes only the places that it takes or leaves.

use std::collections::BTreeMap;

use crate::decisions::digest::digest;
use crate::ids::{FailureDomain, InstanceId};

/// How long advice without addresses is valid, in milliseconds. An empty set is usually a short moment at
/// start, and one question a second from each caller is little load.
const EMPTY_ADVICE_MS: u64 = 1_000;

/// An instance that can be chosen.
#[derive(Clone, Copy, Debug)]
pub struct InstanceCandidate<'a> {
    /// The instance.
    pub id: &'a InstanceId,
    /// Its address.
    pub address: &'a str,
    /// Its failure domain.
    pub failure_domain: &'a FailureDomain,
}

/// Settings for advice to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdviceSettings {
    /// The most addresses in one reply.
    pub max_addresses: usize,
    /// How long callers may cache a reply, in milliseconds.
    pub valid_for_ms: u64,
    /// How long a leaving entry still serves callers that cached its address, in milliseconds.
    pub entry_linger_ms: u64,
    /// How long until all entries know that one is leaving, in milliseconds.
    pub drain_notice_ms: u64,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAdvice<'a> {
    /// Addresses, the preferred one first.
    pub addresses: Vec<&'a str>,
    /// How long the caller may use them, in milliseconds.
    pub valid_for_ms: u64,
}

/// The entries that `caller` should use. `entries` holds those that may be told; see
/// [`crate::may_be_told`].
///
/// The first addresses lie in different failure domains. They stay valid for less than a leaving entry
/// lingers, less the time in which others still give its address out.
#[must_use]
pub fn entry_advice<'a>(
    caller: &str,
    entries: &[InstanceCandidate<'a>],
    settings: &AdviceSettings,
) -> EntryAdvice<'a> {
    let mut chosen = spread(ranked(b"entry", caller, entries));
    chosen.truncate(settings.max_addresses);
    let cached_ms = settings.entry_linger_ms.saturating_sub(settings.drain_notice_ms);
    let valid_for_ms = settings.valid_for_ms.min(cached_ms);
    let limit_ms = if chosen.is_empty() { EMPTY_ADVICE_MS } else { u64::MAX };
    EntryAdvice {
        addresses: chosen.into_iter().map(|c| c.address).collect(),
        valid_for_ms: valid_for_ms.min(limit_ms),
    }
}

/// The endpoints, at most `max`, that `watcher` watches for load reports.
///
/// Its own failure domain comes first, but up to `max_remote` places, at most half of them, go to
/// endpoints in other domains, so that the loss of its own domain does not leave it without any. Places
/// that its own domain cannot fill go to the others too.
#[must_use]
pub fn watched_endpoints<'a>(
    watcher: &InstanceId,
    own_domain: &FailureDomain,
    endpoints: &[InstanceCandidate<'a>],
    max: usize,
    max_remote: usize,
) -> Vec<InstanceCandidate<'a>> {
    let ranked = ranked(b"watch", watcher.as_str(), endpoints);
    let (mut own, remote): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|c| c.failure_domain == own_domain);
    let remote = spread(remote);
    let reserved = max_remote.min(remote.len()).min(max / 2);
    own.truncate(max - reserved);
    let free = max - own.len();
    own.extend(remote.into_iter().take(free));
    own
}

/// The candidates by falling score. Equal scores keep the order of the ids.
fn ranked<'a>(
    purpose: &[u8],
    chooser: &str,
    from: &[InstanceCandidate<'a>],
) -> Vec<InstanceCandidate<'a>> {
    let score = |c: &InstanceCandidate<'_>| {
        let parts = [purpose, chooser.as_bytes(), c.id.as_str().as_bytes()];
        u128::from_be_bytes(digest(&parts))
    };
    let mut ranked = from.to_vec();
    ranked.sort_by_cached_key(|c| (std::cmp::Reverse(score(c)), c.id.clone()));
    ranked
}

/// Takes the best of each failure domain, then the second of each, and so on.
fn spread(ranked: Vec<InstanceCandidate<'_>>) -> Vec<InstanceCandidate<'_>> {
    let mut taken: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    let mut rounds: Vec<(usize, InstanceCandidate<'_>)> = Vec::with_capacity(ranked.len());
    for candidate in ranked {
        let round = taken.entry(candidate.failure_domain).or_default();
        rounds.push((*round, candidate));
        *round += 1;
    }
    // The sort is stable: within a round the order by score stays.
    rounds.sort_by_key(|(round, _)| *round);
    rounds.into_iter().map(|(_, candidate)| candidate).collect()
}
