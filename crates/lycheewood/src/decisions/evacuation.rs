//! The failure domains whose endpoints get no requests, because the operator has evacuated them.
//!
//! The state comes from the operator's topic, read by this instance or by another one. Its position in the topic
//! orders it: state read up to a lower offset never replaces state read up to a higher one.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Timestamp;
use crate::ids::{FailureDomain, Offset};
use crate::wire::heartbeat::Evacuations;

/// Steps in which a domain is used again after it was given back: until when, in milliseconds after this instance has
/// learned it, and the share of the requests that may go there, in percent. Its endpoints may be cold although no
/// entry says so yet. An entry is written again within 2,000 ms, so the last step begins after all have been.
const RETURN_STEPS: [(u64, u32); 3] = [(2_000, 10), (4_000, 25), (6_000, 50)];

/// Time after the return of a domain in which each of its endpoints counts as cold, in milliseconds. Endpoints may
/// have become cold shortly before; their entries are read again within this time.
const RETURN_COLD_MS: u64 = 4_000;

/// Time for which domains stay evacuated whose records are missing after the operator's topic has gone back to an old copy,
/// in milliseconds. The operator writes them again unless they were given back meanwhile.
const KEPT_MS: u64 = 5_000;

/// One record of the operator that concerns a domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Offset of the record.
    pub offset: Offset,
    /// The failure domain.
    pub domain: FailureDomain,
    /// Whether the record evacuates the domain; otherwise it gives the domain back.
    pub is_evacuated: bool,
}

/// The evacuated domains, and those that were given back lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationTable {
    /// The first offset of the operator's topic that has not been applied.
    next: Offset,
    evacuated: BTreeSet<FailureDomain>,
    /// Domains whose evacuation the topic has lost, and until when they stay evacuated.
    kept: BTreeMap<FailureDomain, Timestamp>,
    /// When this instance learned that a domain was given back.
    returned: BTreeMap<FailureDomain, Timestamp>,
}

impl EvacuationTable {
    /// The first offset of the operator's topic that has not been applied.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// The state for other instances, or `None` if no record of the operator is known.
    #[must_use]
    pub fn evacuations(&self) -> Option<Evacuations> {
        let domains = || self.evacuated.iter().cloned().collect();
        (self.next > Offset::default()).then(|| Evacuations { next: self.next, domains: domains() })
    }

    /// Whether requests must not go to endpoints of a domain.
    #[must_use]
    pub fn is_evacuated(&self, domain: &FailureDomain, now: Timestamp) -> bool {
        self.evacuated.contains(domain) || self.kept.get(domain).is_some_and(|until| now < *until)
    }

    /// When this instance learned that a domain was given back, or stopped to keep it evacuated.
    fn returned(&self, domain: &FailureDomain) -> Option<Timestamp> {
        self.returned.get(domain).or_else(|| self.kept.get(domain)).copied()
    }

    /// Share of the requests that may go to endpoints of a domain, in percent: 0 while it is evacuated, and rising in
    /// steps after it was given back.
    #[must_use]
    pub fn share_percent(&self, domain: &FailureDomain, now: Timestamp) -> u32 {
        if self.is_evacuated(domain, now) {
            return 0;
        }
        let Some(returned) = self.returned(domain) else { return 100 };
        let age_ms = now.ms_since(returned);
        let step = RETURN_STEPS.iter().find(|(until_ms, _)| age_ms < *until_ms);
        step.map_or(100, |(_, percent)| *percent)
    }

    /// Until when the endpoints of a domain count as cold because it was given back.
    #[must_use]
    pub fn cold_until(&self, domain: &FailureDomain) -> Option<Timestamp> {
        self.returned(domain).map(|returned| returned.plus_ms(RETURN_COLD_MS))
    }

    /// Applies records that were read in order; all below `next` have been read. Records below the present position
    /// are known already. Returns whether the evacuated domains have changed.
    pub fn apply(&mut self, changes: &[EvacuationChange], next: Offset, now: Timestamp) -> bool {
        let mut evacuated = self.evacuated.clone();
        let known = self.next;
        for change in changes.iter().filter(|change| change.offset >= known) {
            if self.kept.remove(&change.domain).is_some() && !change.is_evacuated {
                self.returned.insert(change.domain.clone(), now);
            }
            if change.is_evacuated {
                evacuated.insert(change.domain.clone());
            } else {
                evacuated.remove(&change.domain);
            }
        }
        self.next = self.next.max(next);
        self.set(evacuated, now)
    }

    /// Puts a state in force that was read up to a higher offset, from the newest record of each key or by another
    /// instance. Returns whether the evacuated domains have changed.
    pub fn replace(&mut self, state: Evacuations, now: Timestamp) -> bool {
        if state.next <= self.next {
            return false;
        }
        let domains: BTreeSet<FailureDomain> = state.domains.into_iter().collect();
        let is_later_era = state.next.era() > self.next.era();
        self.next = state.next;
        self.kept.retain(|domain, _| !domains.contains(domain));
        if is_later_era {
            let lost = self.evacuated.difference(&domains);
            self.kept.extend(lost.map(|domain| (domain.clone(), now.plus_ms(KEPT_MS))));
            let is_changed = self.evacuated != domains;
            self.evacuated = domains;
            return is_changed;
        }
        self.set(domains, now)
    }

    fn set(&mut self, evacuated: BTreeSet<FailureDomain>, now: Timestamp) -> bool {
        if evacuated == self.evacuated {
            return false;
        }
        let last_ms = RETURN_STEPS.iter().map(|(until_ms, _)| *until_ms).max().unwrap_or(0);
        self.returned.retain(|domain, returned| {
            now.ms_since(*returned) < last_ms && !evacuated.contains(domain)
        });
        for domain in self.evacuated.difference(&evacuated) {
            self.returned.insert(domain.clone(), now);
        }
        self.evacuated = evacuated;
        true
    }
}
