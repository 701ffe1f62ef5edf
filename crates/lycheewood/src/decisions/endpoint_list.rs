//! The endpoints of the platform's list: which ones may get requests.
//!
//! Records arrive in the order of their offsets from a log, or at once as the newest record of each
//! endpoint. An older record never replaces a newer one, whatever order reads end in.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::ids::{FailureDomain, InstanceId, Offset, TargetName};

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointAvailability {
    /// Takes requests.
    Ready,
    /// Finishes what it has, and leaves.
    Draining,
}

/// An endpoint's place in a group whose ranks run in lock-step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPlace {
    /// The group.
    pub name: String,
    /// Rises each time that the group forms.
    pub epoch: u64,
    /// Index of the rank.
    pub rank: usize,
    /// Ranks in the group.
    pub size: usize,
    /// Whether all ranks are there.
    pub is_open: bool,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Name of this run of the endpoint.
    pub id: InstanceId,
    /// The service that it belongs to.
    pub service: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Whether it takes requests.
    pub state: EndpointAvailability,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its place in a group, if it has one.
    pub group: Option<GroupPlace>,
}

/// What a record says of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointRecord {
    /// The endpoint's own entry.
    Entry(EndpointEntry),
    /// Nothing that can be read. It names no endpoint to use.
    Unreadable,
    /// The entry is gone.
    Removed,
}

/// A record and where it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointChange {
    /// Offset of the record.
    pub offset: Offset,
    /// The endpoint.
    pub id: InstanceId,
    /// What the record says.
    pub record: EndpointRecord,
}

/// Endpoints that may get requests, by service.
#[derive(Clone, Debug, Default)]
pub struct EndpointIndex {
    /// The first offset that is not folded in.
    pub next: Offset,
    by_service: HashMap<TargetName, Vec<Arc<EndpointEntry>>>,
    entries: Vec<Arc<EndpointEntry>>,
}

impl EndpointIndex {
    /// Endpoints of a service that take requests.
    #[must_use]
    pub fn endpoints(&self, service: &TargetName) -> &[Arc<EndpointEntry>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All endpoints that take requests.
    pub fn all(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        self.by_service.values().flatten()
    }

    /// All endpoints that are listed, those that leave as well.
    #[must_use]
    pub fn entries(&self) -> &[Arc<EndpointEntry>] {
        &self.entries
    }

    /// How many endpoints take requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all().count()
    }

    /// Whether no endpoint takes requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
struct Known {
    offset: Offset,
    entry: Option<Arc<EndpointEntry>>,
    /// When a removed entry stops counting.
    until: Option<Timestamp>,
}

/// How long an endpoint whose entry lapsed while the list was away may still be used after the list is
/// back, in milliseconds. Living endpoints are listed again within 2,000 ms; shorter than any draining
/// time, which is 2,000 ms where it is shortest.
const LAPSE_GRACE_MS: u64 = 1_500;

/// The fold of all records about endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    known: BTreeMap<InstanceId, Known>,
    next: Offset,
    lapse_until: Option<Timestamp>,
}

impl EndpointList {
    /// The first offset that is not folded in.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Notes that all records below `next` have been read.
    pub fn advance(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// Notes that the list answers again after an outage. Entries that it lost meanwhile are kept for a
    /// short time, because living endpoints come back to it only then.
    pub fn note_list_is_back(&mut self, now: Timestamp) {
        self.keep_lapsed(LAPSE_GRACE_MS, now);
    }

    /// Keeps entries that lapse for some time, as the instance does that has read of their removal.
    pub fn keep_lapsed(&mut self, left_ms: u64, now: Timestamp) {
        let until = now.plus_ms(left_ms);
        self.lapse_until = self.lapse_until.max(Some(until));
    }

    /// How long entries that lapse are still kept, in milliseconds.
    #[must_use]
    pub fn lapse_left_ms(&self, now: Timestamp) -> u64 {
        self.lapse_until.map_or(0, |until| until.ms_since(now))
    }

    /// Folds a record in. Tells whether it changes which endpoints get requests.
    pub fn apply(&mut self, change: EndpointChange, now: Timestamp) -> bool {
        let EndpointChange { offset, id, record } = change;
        self.next = self.next.max(offset.next());
        let known = self.known.get(&id);
        if known.is_some_and(|known| known.offset >= offset) {
            return false;
        }
        let former = known.and_then(|known| known.entry.clone());
        let (entry, until) = match record {
            EndpointRecord::Entry(entry) => (Some(Arc::new(entry)), None),
            EndpointRecord::Unreadable => (None, None),
            EndpointRecord::Removed => match self.lapse_until.filter(|until| now < *until) {
                Some(until) => (former.clone(), Some(until)),
                None => (None, None),
            },
        };
        let is_changed = former != entry;
        self.known.insert(id, Known { offset, entry, until });
        is_changed
    }

    /// Replaces everything by the newest record of each endpoint, as read when the log ended at `end`. An
    /// older read than what is known is ignored. Tells whether it was taken.
    pub fn replace(&mut self, newest: Vec<EndpointChange>, end: Offset, now: Timestamp) -> bool {
        if end < self.next {
            return false;
        }
        let absent: Vec<InstanceId> = {
            let present: std::collections::HashSet<&InstanceId> =
                newest.iter().map(|change| &change.id).collect();
            self.known.keys().filter(|id| !present.contains(id)).cloned().collect()
        };
        // What is absent was removed at some offset below the end.
        let last = Offset(end.0.saturating_sub(1));
        for id in absent {
            self.apply(EndpointChange { offset: last, id, record: EndpointRecord::Removed }, now);
        }
        for change in newest {
            self.apply(change, now);
        }
        self.next = self.next.max(end);
        true
    }

    /// Drops endpoints whose short time after an outage is over. Tells whether any was dropped.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let mut is_changed = false;
        for known in self.known.values_mut() {
            if known.until.is_some_and(|until| now >= until) {
                known.until = None;
                is_changed |= known.entry.take().is_some();
            }
        }
        is_changed
    }

    /// The newest record of each endpoint that is listed, for instances that cannot reach the list.
    #[must_use]
    pub fn changes(&self) -> Vec<EndpointChange> {
        let known = self.known.iter();
        let listed = known.map(|(id, known)| EndpointChange {
            offset: known.offset,
            id: id.clone(),
            record: match &known.entry {
                Some(entry) if known.until.is_none() => EndpointRecord::Entry((**entry).clone()),
                _ => EndpointRecord::Removed,
            },
        });
        listed.collect()
    }

    /// The entries of living endpoints. One that was started anew at its address under another name leaves
    /// its old entry until that lapses; the entry that was written last is the one that lives.
    fn newest_at_each_address(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        let mut newest: HashMap<SocketAddr, Offset> = HashMap::new();
        for known in self.known.values() {
            if let Some(entry) = &known.entry {
                let offset = newest.entry(entry.address).or_default();
                *offset = known.offset.max(*offset);
            }
        }
        self.known.values().filter_map(move |known| {
            let entry = known.entry.as_ref()?;
            (newest.get(&entry.address) == Some(&known.offset)).then_some(entry)
        })
    }

    /// The endpoints that may get requests.
    #[must_use]
    pub fn table(&self) -> EndpointIndex {
        let mut by_service: HashMap<TargetName, Vec<Arc<EndpointEntry>>> = HashMap::new();
        let entries: Vec<_> = self.newest_at_each_address().cloned().collect();
        for entry in entries.iter().filter(|entry| entry.state == EndpointAvailability::Ready) {
            by_service.entry(entry.service.clone()).or_default().push(Arc::clone(entry));
        }
        EndpointIndex { next: self.next, by_service, entries }
    }
}
