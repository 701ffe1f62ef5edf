//! The platform's list of endpoints and the endpoints that may receive requests.
//!
//! Records arrive in offset order from a log, or as a snapshot with the newest record of each endpoint. An
//! older record never replaces a newer one, regardless of the order in which concurrent reads complete.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::ids::{FailureDomain, InstanceId, Offset, TargetName};
use crate::wire::heartbeat::endpoint_tag;

/// Availability that an endpoint reports for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointAvailability {
    /// Accepts requests.
    Ready,
    /// Completes requests in flight and then stops.
    Draining,
}

/// Membership of an endpoint in a group whose ranks run in lockstep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    /// Name of the group.
    pub name: String,
    /// Increases each time the group forms.
    pub epoch: u64,
    /// Index of the rank.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
    /// Whether all ranks have joined.
    pub is_open: bool,
}

/// The list entry of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Identifier of this incarnation of the endpoint.
    pub id: InstanceId,
    /// The service that the endpoint belongs to.
    pub service: TargetName,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
    /// Whether the endpoint accepts requests.
    pub state: EndpointAvailability,
    /// Number of requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Membership in a group, if any.
    pub group: Option<GroupMembership>,
    /// When this incarnation started, in Unix milliseconds, by the endpoint's own clock; 0 if it does not say.
    /// An endpoint may start again under the identifier that it had.
    #[serde(default)]
    pub started_ms: u64,
    /// Number of writes of this incarnation up to this one; 0 if it does not say.
    #[serde(default)]
    pub write_count: u64,
    /// Time for which the endpoint was still cold when the entry was written, in milliseconds; 0 if it was warm.
    #[serde(default)]
    pub cold_left_ms: u64,
}

/// Content of a record for one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointRecord {
    /// The endpoint's entry.
    Entry(EndpointEntry),
    /// The record cannot be decoded, so the endpoint must not be used.
    Unreadable,
    /// The entry was removed.
    Removed,
}

/// A record with its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointChange {
    /// Offset of the record.
    pub offset: Offset,
    /// Identifier of the endpoint.
    pub id: InstanceId,
    /// Content of the record.
    pub record: EndpointRecord,
}

/// A snapshot of the list, indexed by service.
#[derive(Clone, Debug, Default)]
pub struct EndpointIndex {
    /// The first offset that has not been applied.
    pub next: Offset,
    by_service: HashMap<TargetName, ServiceEndpoints>,
    entries: Vec<Arc<EndpointEntry>>,
    /// Until when endpoints are cold that were so when their entries were read.
    cold_until: HashMap<InstanceId, Timestamp>,
}

/// Endpoints of one service that accept requests.
#[derive(Clone, Debug, Default)]
struct ServiceEndpoints {
    entries: Vec<Arc<EndpointEntry>>,
    /// The tag of each entry, which is a digest and so computed once for each snapshot.
    tags: Vec<u32>,
}

impl EndpointIndex {
    /// Endpoints of a service that accept requests.
    #[must_use]
    pub fn endpoints(&self, service: &TargetName) -> &[Arc<EndpointEntry>] {
        self.by_service.get(service).map_or(&[], |endpoints| &endpoints.entries)
    }

    /// Endpoints of a service that accept requests, with the tags that heartbeats name them by.
    pub(crate) fn tagged_endpoints(
        &self,
        service: &TargetName,
    ) -> impl Iterator<Item = (&Arc<EndpointEntry>, u32)> {
        let endpoints = self.by_service.get(service).into_iter();
        endpoints.flat_map(|endpoints| endpoints.entries.iter().zip(endpoints.tags.iter().copied()))
    }

    /// Until when an endpoint is cold, if it was so when its entry was read.
    #[must_use]
    pub fn cold_until(&self, endpoint: &InstanceId) -> Option<Timestamp> {
        self.cold_until.get(endpoint).copied()
    }

    /// All endpoints that accept requests.
    pub fn all(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        self.by_service.values().flat_map(|endpoints| &endpoints.entries)
    }

    /// All listed endpoints, including those that are draining.
    #[must_use]
    pub fn entries(&self) -> &[Arc<EndpointEntry>] {
        &self.entries
    }

    /// Number of endpoints that accept requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all().count()
    }

    /// Whether no endpoint accepts requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The newest record of one endpoint.
#[derive(Clone, Debug)]
struct LatestRecord {
    offset: Offset,
    entry: Option<Arc<EndpointEntry>>,
    /// The last entry that the endpoint is known to have written, also after its removal.
    last_write: WriteNumber,
    /// Until when the endpoint is cold. The time left counts from when this process first sees the record, because the
    /// clock of its writer may differ.
    cold_until: Timestamp,
    /// When a removed entry that is in its grace period becomes unusable.
    expires: Option<Timestamp>,
}

/// Orders the entries that an endpoint has written, by its start and its count of writes.
type WriteNumber = (u64, u64);

fn write_number(entry: &EndpointEntry) -> WriteNumber {
    (entry.started_ms, entry.write_count)
}

/// Whether two entries of an endpoint differ. The time left until it is warm differs with each renewal, so it counts
/// only whether there is any.
fn is_changed(former: Option<&EndpointEntry>, entry: Option<&EndpointEntry>) -> bool {
    let comparable = |entry: &EndpointEntry| EndpointEntry {
        cold_left_ms: u64::from(entry.cold_left_ms > 0),
        write_count: 0,
        ..entry.clone()
    };
    former.map(comparable) != entry.map(comparable)
}

/// Time for which endpoints whose entries expired during an outage of the list remain usable after the list
/// has recovered, in milliseconds. Live endpoints register again within 2,000 ms. The period is shorter than
/// the shortest drain time, which is 2,000 ms.
pub(crate) const EXPIRY_GRACE_MS: u64 = 1_500;

/// Intervals of its renewals without one after which an entry is removed from the list.
const EXPIRY_RENEWALS: u64 = 3;
/// Time by which the length of a call to the list may differ from that of the outage that it spans, in milliseconds.
const CALL_MARGIN_MS: u64 = 100;

/// Whether entries may have expired in an outage of the list that a call of `call_ms` has spanned. Entries are renewed
/// every `renewal_ms`, so the oldest one expires in an outage that lasts one interval less than the expiry. A shorter call
/// was late for another reason, such as a pause of this process, and what it brings was removed on purpose.
#[must_use]
pub const fn may_span_expiry(call_ms: u64, renewal_ms: u64) -> bool {
    call_ms.saturating_add(CALL_MARGIN_MS) >= (EXPIRY_RENEWALS - 1).saturating_mul(renewal_ms)
}

/// The list of endpoints, built from the newest record of each.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    records: BTreeMap<InstanceId, LatestRecord>,
    next: Offset,
    grace_until: Option<Timestamp>,
}

impl EndpointList {
    /// The first offset that has not been applied.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Records that all records below `next` have been read.
    pub fn advance(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// Starts the grace period after an outage of the list. Entries that expired during the outage remain
    /// usable for a short time, because live endpoints can only register again after it.
    pub fn on_list_recovered(&mut self, now: Timestamp) {
        self.extend_grace(EXPIRY_GRACE_MS, now);
    }

    /// Extends the grace period to at least `left_ms` from now, as reported by the instance that read the
    /// removals.
    pub fn extend_grace(&mut self, left_ms: u64, now: Timestamp) {
        let until = now.plus_ms(left_ms);
        self.grace_until = self.grace_until.max(Some(until));
    }

    /// Time until the grace period ends, in milliseconds.
    #[must_use]
    pub fn grace_left_ms(&self, now: Timestamp) -> u64 {
        self.grace_until.map_or(0, |until| until.ms_since(now))
    }

    /// Applies a record and returns whether it changed the entry of the endpoint.
    pub fn apply(&mut self, change: EndpointChange, now: Timestamp) -> bool {
        let EndpointChange { offset, id, record } = change;
        self.next = self.next.max(offset.next());
        let latest = self.records.get(&id);
        if latest.is_some_and(|latest| latest.offset >= offset) {
            return false;
        }
        let former = latest.and_then(|latest| latest.entry.clone());
        let former_cold_until = latest.map(|latest| latest.cold_until).unwrap_or_default();
        let former_write = latest.map(|latest| latest.last_write).unwrap_or_default();
        let (entry, expires) = match record {
            EndpointRecord::Entry(entry) => (Some(Arc::new(entry)), None),
            EndpointRecord::Unreadable => (None, None),
            EndpointRecord::Removed => match self.grace_until.filter(|until| now < *until) {
                Some(until) => (former.clone(), Some(until)),
                None => (None, None),
            },
        };
        let cold_until = match &entry {
            Some(entry) if expires.is_none() => now.plus_ms(entry.cold_left_ms),
            _ => former_cold_until,
        };
        let is_changed = is_changed(former.as_deref(), entry.as_deref());
        let last_write = entry.as_deref().map_or(former_write, write_number);
        self.records.insert(id, LatestRecord { offset, entry, last_write, cold_until, expires });
        is_changed
    }

    /// Replaces the list with a snapshot of the newest record of each endpoint, read when the log ended at
    /// `end`. A snapshot older than the list is ignored. Returns whether the snapshot was applied.
    ///
    /// The first snapshot of a later era comes from a log that went back to an old copy. What is known of an endpoint stays
    /// in force until the endpoint itself says something newer. Entries that the copy lacks remain usable for the grace
    /// period, because live endpoints write them again.
    pub fn replace(&mut self, newest: Vec<EndpointChange>, end: Offset, now: Timestamp) -> bool {
        if end < self.next {
            return false;
        }
        if end.era() > self.next.era() && !self.records.is_empty() {
            self.on_list_recovered(now);
        }
        let absent: Vec<InstanceId> = {
            let present: std::collections::HashSet<&InstanceId> =
                newest.iter().map(|change| &change.id).collect();
            self.records.keys().filter(|id| !present.contains(id)).cloned().collect()
        };
        // Endpoints that are missing in the snapshot were removed at some offset below its end.
        let last = Offset(end.0.saturating_sub(1));
        for id in absent {
            self.apply(EndpointChange { offset: last, id, record: EndpointRecord::Removed }, now);
        }
        for change in newest {
            if !self.keep_known(&change) {
                self.apply(change, now);
            }
        }
        self.next = self.next.max(end);
        true
    }

    /// Keeps what is known of an endpoint if a record of a later era is not newer than that. Returns whether it is kept.
    fn keep_known(&mut self, change: &EndpointChange) -> bool {
        let Some(latest) = self.records.get_mut(&change.id) else { return false };
        if change.offset.era() <= latest.offset.era() {
            return false;
        }
        let is_kept = match &change.record {
            EndpointRecord::Entry(entry) => write_number(entry) <= latest.last_write,
            // Another writer's record says nothing of the endpoint.
            EndpointRecord::Unreadable => true,
            EndpointRecord::Removed => false,
        };
        if is_kept {
            latest.offset = change.offset;
        }
        is_kept
    }

    /// Removes endpoints whose grace period has ended and returns whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let mut is_changed = false;
        for latest in self.records.values_mut() {
            if latest.expires.is_some_and(|expires| now >= expires) {
                latest.expires = None;
                is_changed |= latest.entry.take().is_some();
            }
        }
        is_changed
    }

    /// The newest record of each endpoint, for instances that cannot reach the list.
    #[must_use]
    pub fn changes(&self) -> Vec<EndpointChange> {
        let records = self.records.iter();
        let changes = records.map(|(id, latest)| EndpointChange {
            offset: latest.offset,
            id: id.clone(),
            record: match &latest.entry {
                Some(entry) if latest.expires.is_none() => EndpointRecord::Entry((**entry).clone()),
                _ => EndpointRecord::Removed,
            },
        });
        changes.collect()
    }

    /// The newest entry at each address. An endpoint that restarts at its address under a new name leaves its
    /// old entry in the list until that expires, so only the entry written last belongs to a live endpoint.
    fn newest_at_each_address(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        let mut newest: HashMap<SocketAddr, Offset> = HashMap::new();
        for latest in self.records.values() {
            if let Some(entry) = &latest.entry {
                let offset = newest.entry(entry.address).or_default();
                *offset = latest.offset.max(*offset);
            }
        }
        self.records.values().filter_map(move |latest| {
            let entry = latest.entry.as_ref()?;
            (newest.get(&entry.address) == Some(&latest.offset)).then_some(entry)
        })
    }

    /// Creates a snapshot of the endpoints that may receive requests.
    #[must_use]
    pub fn index(&self) -> EndpointIndex {
        let mut by_service: HashMap<TargetName, ServiceEndpoints> = HashMap::new();
        let entries: Vec<_> = self.newest_at_each_address().cloned().collect();
        for entry in entries.iter().filter(|entry| entry.state == EndpointAvailability::Ready) {
            let endpoints = by_service.entry(entry.service.clone()).or_default();
            endpoints.entries.push(Arc::clone(entry));
            endpoints.tags.push(endpoint_tag(&entry.id));
        }
        let cold = self.records.iter().filter(|(_, latest)| {
            latest.entry.as_ref().is_some_and(|entry| entry.cold_left_ms > 0)
        });
        let cold_until = cold.map(|(id, latest)| (id.clone(), latest.cold_until)).collect();
        EndpointIndex { next: self.next, by_service, entries, cold_until }
    }
}
