//! Which addresses callers are told.
//!
//! A caller picks one address of its list at random, so an instance gets callers in proportion to how often it is in a
//! list. Lists are samples in which each instance stands with a probability in proportion to its processor share.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::decisions::units::{index_below, mix, unit_interval};
use crate::ids::{FailureDomain, RegionName};

/// The least number of addresses in a list, if there are as many instances, so that the caller has another one if one
/// fails. Also the least number of instances of the caller's own failure domain or region; with fewer, others are told
/// too.
const MIN_ADDRESSES: usize = 2;
/// The least capacity of the caller's own failure domain, as a share of the mean of the domains. A domain that has lost
/// more than this does not get all of its callers.
const MIN_DOMAIN_CAPACITY: f64 = 0.5;

/// An instance that may be told to callers.
#[derive(Clone, Copy, Debug)]
pub struct EntryView<'a> {
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: &'a FailureDomain,
    /// Its region, if it is known.
    pub region: Option<&'a RegionName>,
    /// Its processor share, in thousandths of a core; 0 if it is not known.
    pub processor_millicores: u32,
}

/// Where a caller is.
#[derive(Clone, Copy, Debug)]
pub struct CallerPlace<'a> {
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// Its region, if it is known.
    pub region: Option<&'a RegionName>,
}

/// The addresses that a caller is told, at most `max`, those in its failure domain first. They are of its domain, if that
/// has enough instances and capacity, otherwise of its region, or of all regions.
#[must_use]
pub fn nearest_entries(
    entries: &[EntryView<'_>],
    caller: &CallerPlace<'_>,
    random: u64,
    max: usize,
) -> Vec<SocketAddr> {
    let is_local = |entry: &EntryView<'_>| entry.failure_domain == caller.domain;
    let in_region = |entry: &EntryView<'_>| entry.region == caller.region;
    let all: Vec<(EntryView<'_>, f64)> = entries.iter().copied().zip(weights(entries)).collect();
    let regional = keep(&all, |entry| caller.region.is_some() && in_region(entry));
    let wider = if regional.len() < MIN_ADDRESSES { &all } else { &regional };
    let local = keep(wider, is_local);
    let domains: BTreeSet<_> = wider.iter().map(|(entry, _)| entry.failure_domain).collect();
    let domains = f64::from(u32::try_from(domains.len()).unwrap_or(u32::MAX));
    let has_capacity = capacity(&local) * domains >= MIN_DOMAIN_CAPACITY * capacity(wider);
    let is_enough = local.len() >= MIN_ADDRESSES && has_capacity;
    let mut chosen = sample(if is_enough { &local } else { wider }, random, max);
    chosen.sort_by_key(|entry| (!is_local(entry), !in_region(entry)));
    chosen.iter().map(|entry| entry.caller_address).collect()
}

/// The weight of each instance. One whose processor share is not known counts as a mean one.
fn weights(entries: &[EntryView<'_>]) -> Vec<f64> {
    let known =
        || entries.iter().map(|entry| entry.processor_millicores).filter(|share| *share > 0);
    let count = f64::from(u32::try_from(known().count()).unwrap_or(u32::MAX));
    let mean = if count > 0.0 { known().map(f64::from).sum::<f64>() / count } else { 1.0 };
    let weight = |entry: &EntryView<'_>| match entry.processor_millicores {
        0 => mean,
        share => f64::from(share),
    };
    entries.iter().map(weight).collect()
}

type Weighted<'a> = (EntryView<'a>, f64);

fn keep<'a>(
    entries: &[Weighted<'a>],
    is_kept: impl Fn(&EntryView<'a>) -> bool,
) -> Vec<Weighted<'a>> {
    entries.iter().filter(|(entry, _)| is_kept(entry)).copied().collect()
}

fn capacity(entries: &[Weighted<'_>]) -> f64 {
    entries.iter().map(|(_, weight)| weight).sum()
}

/// A sample in which each instance stands with a probability in proportion to its weight. As long as weights allow: one
/// that is too large for the length of the list is in each list.
fn sample<'a>(entries: &[Weighted<'a>], random: u64, max: usize) -> Vec<EntryView<'a>> {
    let mut left = entries.to_vec();
    let mut count = sample_size(&left, max);
    let mut chosen = Vec::with_capacity(count);
    // The largest weights first, since each that is taken for certain changes what is left for the others.
    left.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    while count > 0
        && let Some((first, weight)) = left.first().copied()
        && weight * float(count) >= capacity(&left)
    {
        chosen.push(first);
        left.remove(0);
        count -= 1;
    }
    if count == 0 || left.is_empty() {
        return chosen;
    }
    // Systematic sampling: equal steps over the weights, laid end to end from a random instance on.
    let start = index_below(mix(random), left.len());
    left.rotate_left(start);
    let step = capacity(&left) / float(count);
    let (mut next, mut end) = (step * unit_interval(random), 0.0);
    for (entry, weight) in left {
        end += weight;
        if next < end {
            chosen.push(entry);
            next += step;
        }
    }
    chosen
}

/// The longest list in which no instance would have to stand twice.
fn sample_size(entries: &[Weighted<'_>], max: usize) -> usize {
    let largest = entries.iter().map(|(_, weight)| *weight).fold(0.0, f64::max);
    // The tolerance keeps rounding errors in the sum from shortening a list of equal instances.
    let fits = (1..=entries.len())
        .rev()
        .find(|count| largest * float(*count) <= capacity(entries) * (1.0 + 1e-9));
    fits.unwrap_or(0).max(MIN_ADDRESSES).min(entries.len()).min(max)
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
