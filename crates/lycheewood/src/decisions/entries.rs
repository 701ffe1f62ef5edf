//! Selection of the entry addresses returned to callers and of the endpoints that a daemon monitors for load
//! reports.
//!
//! Both use rendezvous hashing: every process computes the same order for the same caller or monitoring
//! daemon, and adding or removing an instance does not change the relative order of the others of its failure
//! domain, so most selections stay the same.

use std::collections::BTreeMap;

use crate::decisions::digest::digest;
use crate::ids::{FailureDomain, InstanceId};

/// Validity of an empty selection, in milliseconds. Short, because a selection is usually empty only just after
/// startup; one lookup per second and caller is a low load.
const EMPTY_VALID_FOR_MS: u64 = 1_000;

/// An instance that can be selected.
#[derive(Clone, Copy, Debug)]
pub struct InstanceCandidate<'a> {
    /// Identifier of the instance.
    pub id: &'a InstanceId,
    /// Address of the instance.
    pub address: &'a str,
    /// Failure domain of the instance.
    pub failure_domain: &'a FailureDomain,
}

/// Settings for [`select_entries`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntrySelectionSettings {
    /// Maximum number of addresses in one reply.
    pub max_addresses: usize,
    /// Maximum time for which callers may cache a reply, in milliseconds.
    pub valid_for_ms: u64,
    /// Time for which an entry that has announced its shutdown still accepts requests, for callers that cached its
    /// address, in milliseconds.
    pub entry_linger_ms: u64,
    /// Maximum time until all entries know of an announced shutdown, in milliseconds.
    pub drain_notice_ms: u64,
}

/// The entries selected for one caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySelection<'a> {
    /// Addresses in order of preference.
    pub addresses: Vec<&'a str>,
    /// Time for which the caller may use the addresses, in milliseconds.
    pub valid_for_ms: u64,
}

/// Selects the entries that `caller` should use. `entries` must contain only advertisable entries, see
/// [`crate::is_advertisable`].
///
/// The first addresses are in different failure domains. They are valid for at most the linger time of
/// a leaving entry minus the drain notice, since other entries may return its address until the notice ends.
#[must_use]
pub fn select_entries<'a>(
    caller: &str,
    entries: &[InstanceCandidate<'a>],
    settings: &EntrySelectionSettings,
) -> EntrySelection<'a> {
    let mut chosen = interleave_domains(rank_by_hash(b"entry", caller, entries));
    chosen.truncate(settings.max_addresses);
    let max_valid_ms = settings.entry_linger_ms.saturating_sub(settings.drain_notice_ms);
    let valid_for_ms = settings.valid_for_ms.min(max_valid_ms);
    let limit_ms = if chosen.is_empty() { EMPTY_VALID_FOR_MS } else { u64::MAX };
    EntrySelection {
        addresses: chosen.into_iter().map(|c| c.address).collect(),
        valid_for_ms: valid_for_ms.min(limit_ms),
    }
}

/// Selects at most `max` endpoints that `watcher` monitors for load reports.
///
/// Endpoints in its own failure domain come first, but up to `max_remote` places, at most half of `max`, are
/// reserved for endpoints in other domains, so that it still monitors endpoints if its own domain fails.
/// Places that its own domain cannot fill also go to other domains.
#[must_use]
pub fn watched_endpoints<'a>(
    watcher: &InstanceId,
    own_domain: &FailureDomain,
    endpoints: &[InstanceCandidate<'a>],
    max: usize,
    max_remote: usize,
) -> Vec<InstanceCandidate<'a>> {
    let ranked = rank_by_hash(b"watch", watcher.as_str(), endpoints);
    let (mut own, remote): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|c| c.failure_domain == own_domain);
    let remote = interleave_domains(remote);
    let reserved = max_remote.min(remote.len()).min(max / 2);
    own.truncate(max - reserved);
    let free = max - own.len();
    own.extend(remote.into_iter().take(free));
    own
}

/// Sorts the candidates by descending rendezvous hash, and by id where hashes are equal.
fn rank_by_hash<'a>(
    purpose: &[u8],
    selector: &str,
    candidates: &[InstanceCandidate<'a>],
) -> Vec<InstanceCandidate<'a>> {
    let score = |c: &InstanceCandidate<'_>| {
        let parts = [purpose, selector.as_bytes(), c.id.as_str().as_bytes()];
        u128::from_be_bytes(digest(&parts))
    };
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|c| (std::cmp::Reverse(score(c)), c.id.clone()));
    ranked
}

/// Orders the candidates round-robin over failure domains: the best of each domain, then the second of each,
/// and so on.
fn interleave_domains(ranked: Vec<InstanceCandidate<'_>>) -> Vec<InstanceCandidate<'_>> {
    let mut next_round: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    let mut rounds: Vec<(usize, InstanceCandidate<'_>)> = Vec::with_capacity(ranked.len());
    for candidate in ranked {
        let round = next_round.entry(candidate.failure_domain).or_default();
        rounds.push((*round, candidate));
        *round += 1;
    }
    // The sort is stable, so each round stays ordered by score.
    rounds.sort_by_key(|(round, _)| *round);
    rounds.into_iter().map(|(_, candidate)| candidate).collect()
}
