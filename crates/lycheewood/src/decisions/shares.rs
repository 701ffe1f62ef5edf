//! Allocation of a workspace's rate limit to entries in proportion to demand, done by the allocator of
//! the workspace.

use crate::clock::Timestamp;
use crate::decisions::limits::RateGrant;
use crate::decisions::units::float_ms;

/// Allocation settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharePolicy {
    /// Fraction of an even share that an entry keeps without demand, 0 to 1. A larger floor admits a
    /// sudden burst at an idle entry immediately; a smaller one leaves more for busy entries.
    pub floor: f64,
    /// Validity period of a grant, in milliseconds.
    pub grant_ms: u64,
}

impl Default for SharePolicy {
    fn default() -> Self {
        Self { floor: 0.2, grant_ms: 5_000 }
    }
}

/// The allocator's view of one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryDemand {
    /// Requests per second offered by callers, including refused ones.
    pub demand_per_s: f64,
    /// The last known grant of the entry; after a change of allocator, the grant that the entry reports.
    pub last_grant: Option<RateGrant>,
    /// Whether the entry is reachable now. An unreachable entry may use its grant until it expires.
    pub reachable: bool,
}

/// Computes the grants for `entries`, in the same order; `None` for unreachable entries.
///
/// The new grants and the unexpired grants of unreachable entries sum to at most `limit_per_s`. Each
/// reachable entry gets the floor, then its remaining demand, scaled down in proportion if the limit does
/// not cover all demand, then an even part of what is left.
#[must_use]
pub fn allocate_shares(
    policy: &SharePolicy,
    limit_per_s: f64,
    entries: &[EntryDemand],
    now: Timestamp,
) -> Vec<Option<RateGrant>> {
    let unreachable: f64 =
        entries.iter().filter(|e| !e.reachable).map(|e| unexpired_per_s(e, now)).sum();
    let available = (limit_per_s - unreachable).max(0.0);
    let reachable = count(entries.iter().filter(|e| e.reachable));
    let even = available / reachable.max(1.0);
    let floor = even * policy.floor.clamp(0.0, 1.0);
    let above_floor = available - floor * reachable;
    let excess = |e: &EntryDemand| (e.demand_per_s - floor).max(0.0);
    let total_excess: f64 = entries.iter().filter(|e| e.reachable).map(excess).sum();
    let scale = if total_excess > above_floor { above_floor / total_excess } else { 1.0 };
    let spare = (above_floor - total_excess).max(0.0) / reachable.max(1.0);
    let expires = now.plus_ms(policy.grant_ms);
    let grant = |e: &EntryDemand| RateGrant { per_s: floor + scale * excess(e) + spare, expires };
    entries.iter().map(|e| e.reachable.then(|| grant(e))).collect()
}

/// Moving average of the offered request rate at one entry, reported to the allocator as demand.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandMeter {
    per_s: f64,
    updated: Timestamp,
}

/// Time constant of the demand average, in milliseconds. It is shorter than a grant; otherwise shares would
/// lag behind demand.
const DEMAND_DECAY_MS: u64 = 2_000;

impl DemandMeter {
    /// Counts one offered request.
    pub fn on_request(&mut self, now: Timestamp) {
        self.per_s = self.per_s(now) + 1000.0 / float_ms(DEMAND_DECAY_MS);
        self.updated = now;
    }

    /// Offered requests per second at `now`.
    #[must_use]
    pub fn per_s(&self, now: Timestamp) -> f64 {
        self.per_s * super::units::decay(now.ms_since(self.updated), DEMAND_DECAY_MS)
    }
}

fn unexpired_per_s(entry: &EntryDemand, now: Timestamp) -> f64 {
    entry.last_grant.filter(|g| now < g.expires).map_or(0.0, |g| g.per_s)
}

fn count<T>(items: impl Iterator<Item = T>) -> f64 {
    items.fold(0.0, |sum, _| sum + 1.0)
}
