//! Allocation of a workspace's limit to entries by demand, made by the workspace's allocator.

use crate::clock::Timestamp;
use crate::decisions::limits::Grant;
use crate::decisions::units::float_ms;

/// Settings of the allocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharePolicy {
    /// Part of an even share that an entry keeps without demand, 0 to 1. A larger floor admits a
    /// sudden burst at an idle entry at once; a smaller one leaves more for the busy entries.
    pub floor: f64,
    /// Term of a grant in milliseconds.
    pub grant_ms: u64,
}

impl Default for SharePolicy {
    fn default() -> Self {
        Self { floor: 0.2, grant_ms: 5_000 }
    }
}

/// What the allocator knows about one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryDemand {
    /// Requests a second that callers offered there, including refused ones.
    pub demand_per_s: f64,
    /// The last grant known for the entry; after a change of allocator, as the entry reports it.
    pub held: Option<Grant>,
    /// Whether the entry can be reached now. An unreachable one may use its grant until it expires.
    pub reachable: bool,
}

/// Grants for all entries, in their order; `None` for unreachable entries.
///
/// The new grants and the unexpired ones of unreachable entries sum to at most `limit_per_s`. Each
/// reachable entry gets a floor, then what it demands in proportion, then an even part of the rest.
#[must_use]
pub fn allocate_shares(
    policy: &SharePolicy,
    limit_per_s: f64,
    entries: &[EntryDemand],
    now: Timestamp,
) -> Vec<Option<Grant>> {
    let held: f64 = entries.iter().filter(|e| !e.reachable).map(|e| held_per_s(e, now)).sum();
    let available = (limit_per_s - held).max(0.0);
    let reachable = count(entries.iter().filter(|e| e.reachable));
    let even = available / reachable.max(1.0);
    let floor = even * policy.floor.clamp(0.0, 1.0);
    let rest = available - floor * reachable;
    let wanted = |e: &EntryDemand| (e.demand_per_s - floor).max(0.0);
    let all_wanted: f64 = entries.iter().filter(|e| e.reachable).map(wanted).sum();
    let scale = if all_wanted > rest { rest / all_wanted } else { 1.0 };
    let spare = (rest - all_wanted).max(0.0) / reachable.max(1.0);
    let expires = now.plus_ms(policy.grant_ms);
    let grant = |e: &EntryDemand| Grant { per_s: floor + scale * wanted(e) + spare, expires };
    entries.iter().map(|e| e.reachable.then(|| grant(e))).collect()
}

/// Moving average of offered requests a second at one entry, reported to the allocator as demand.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandMeter {
    per_s: f64,
    updated: Timestamp,
}

/// Time constant of the demand, in milliseconds: shorter than a grant, or shares would lag it.
const DEMAND_MS: u64 = 2_000;

impl DemandMeter {
    /// Counts one offered request.
    pub fn on_request(&mut self, now: Timestamp) {
        self.per_s = self.per_s(now) + 1000.0 / float_ms(DEMAND_MS);
        self.updated = now;
    }

    /// Offered requests a second.
    #[must_use]
    pub fn per_s(&self, now: Timestamp) -> f64 {
        self.per_s * super::units::decay(now.ms_since(self.updated), DEMAND_MS)
    }
}

fn held_per_s(entry: &EntryDemand, now: Timestamp) -> f64 {
    entry.held.filter(|g| now < g.expires).map_or(0.0, |g| g.per_s)
}

fn count<T>(items: impl Iterator<Item = T>) -> f64 {
    items.fold(0.0, |sum, _| sum + 1.0)
}
