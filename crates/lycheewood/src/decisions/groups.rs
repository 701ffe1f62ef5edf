//! The fold of stream `leases`: every lease, and the maps of every group of ranks.

mod snapshot;

pub use snapshot::{GroupSnapshot, GroupSnapshotView, group_snapshot_due};

use std::collections::BTreeMap;

use snapshot::ReadRecord;

use crate::clock::Timestamp;
use crate::decisions::leases::{LeaseEffect, LeaseRecord, Leases, RecordError, decode_record};
use crate::decisions::map_change::{GroupMaps, MapEffect, MapRecord};
use crate::ids::{Offset, ScopeName};

/// The most ranks of a group. It bounds what one record can make every node allocate.
pub const MAX_RANKS: usize = 4_096;

/// The scope of a group. It contains the number of ranks, so that every node folds a group alike and
/// daemons with contradictory settings do not share one.
#[must_use]
pub fn group_scope(group: &str, ranks: usize) -> ScopeName {
    ScopeName::new(&format!("{group}/{ranks}"))
}

/// The number of ranks of the group with this scope, or `None` if it is no scope of a group.
#[must_use]
pub fn group_rank_count(scope: &ScopeName) -> Option<usize> {
    let (_, ranks) = scope.as_str().rsplit_once('/')?;
    ranks.parse().ok().filter(|ranks| (1..=MAX_RANKS).contains(ranks))
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupEffect {
    /// To a lease.
    Lease(LeaseEffect),
    /// To the map of a group.
    Map(MapEffect),
}

/// Why the fold has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplayError {
    /// A newer build wrote a record.
    #[error("a record has schema {0}, newer than this build reads; replace this instance first")]
    NewerSchema(u16),
    /// Records that were not read have expired.
    #[error("records expired before they were read; restart this process")]
    Gap,
    /// Older records have expired, and no snapshot says what they did.
    #[error("older records have expired; wait for an entry to write a snapshot")]
    NoSnapshot,
}

/// How far the fold is on its way to a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Start {
    /// Nothing has been read.
    #[default]
    Unread,
    /// Looks for a snapshot, and keeps what it has read from `first` on.
    Searching { first: Offset, records: Vec<ReadRecord> },
    /// Folds record by record.
    Found,
}

/// The fold of the stream up to an offset.
#[derive(Clone, Debug, Default)]
pub struct GroupState {
    leases: Leases,
    groups: BTreeMap<ScopeName, GroupMaps>,
    start: Start,
    next: Offset,
    end: Offset,
    upto_appended: Timestamp,
    start_appended: Timestamp,
    stopped: Option<ReplayError>,
}

impl GroupState {
    /// The leases.
    #[must_use]
    pub const fn leases(&self) -> &Leases {
        &self.leases
    }

    /// The maps of a group.
    #[must_use]
    pub fn maps(&self, scope: &ScopeName) -> Option<&GroupMaps> {
        self.groups.get(scope)
    }

    /// All groups.
    #[must_use]
    pub const fn groups(&self) -> &BTreeMap<ScopeName, GroupMaps> {
        &self.groups
    }

    /// The first offset that has not been folded.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// The end of the stream that the log stated last.
    #[must_use]
    pub const fn end_offset(&self) -> Offset {
        self.end
    }

    /// Why the fold has stopped, if it has. Nothing may be granted or decided on it then.
    #[must_use]
    pub const fn replay_error(&self) -> Option<ReplayError> {
        match self.start {
            Start::Searching { .. } if self.stopped.is_none() => Some(ReplayError::NoSnapshot),
            _ => self.stopped,
        }
    }

    /// A lower bound for the append time of the oldest record that a new node needs.
    #[must_use]
    pub const fn start_appended(&self) -> Timestamp {
        self.start_appended
    }

    /// The fold as a record, or `None` while there is nothing to keep.
    #[must_use]
    pub fn snapshot(&self) -> Option<GroupSnapshot> {
        if self.start != Start::Found || self.stopped.is_some() {
            return None;
        }
        Some(GroupSnapshot {
            upto: Offset(self.next.0.checked_sub(1)?),
            upto_appended: self.upto_appended,
            start_appended: self.start_appended,
            leases: self.leases.clone(),
            groups: self.groups.clone(),
        })
    }

    /// Notes the bounds of a page before its records are folded.
    ///
    /// A stream without any record is one that no entry has kept alive for two thirds of its retention, so
    /// its leases have ended long ago, and the fold starts afresh.
    pub fn observe_bounds(&mut self, first: Offset, end: Offset) {
        match self.start {
            Start::Unread if first == Offset(0) || first == end => self.start = Start::Found,
            Start::Unread => self.start = Start::Searching { first, records: Vec::new() },
            Start::Searching { .. } | Start::Found if first > self.next => {
                self.stopped = self.stopped.or(Some(ReplayError::Gap));
            }
            Start::Searching { .. } | Start::Found => {}
        }
        self.next = self.next.max(first);
        self.end = self.end.max(end);
    }

    /// Folds one record. Records must come in log order; one that was folded before is skipped.
    pub fn apply(
        &mut self,
        offset: Offset,
        appended: Timestamp,
        payload: &[u8],
    ) -> Option<GroupEffect> {
        if self.stopped.is_some() || offset < self.next {
            return None;
        }
        if let Start::Searching { first, records } = &mut self.start {
            let first = *first;
            records.push(ReadRecord { offset, appended, payload: payload.to_vec() });
            self.next = offset.next();
            self.try_start(first, payload);
            return None;
        }
        self.fold_record(offset, appended, payload)
    }

    /// Starts from a snapshot, if `payload` is one and every record after its `upto` has been read.
    fn try_start(&mut self, first: Offset, payload: &[u8]) {
        let Ok(snapshot) = decode_record::<GroupSnapshot>(payload) else { return };
        // A snapshot that speaks of records which come after itself cannot be true.
        if snapshot.upto.next() < first || snapshot.upto.next() >= self.next {
            return;
        }
        let Start::Searching { records, .. } = std::mem::replace(&mut self.start, Start::Found)
        else {
            return;
        };
        self.next = snapshot.upto.next();
        self.leases = snapshot.leases;
        self.groups = snapshot.groups;
        self.upto_appended = snapshot.upto_appended;
        self.start_appended = snapshot.start_appended;
        for record in records.iter().filter(|record| record.offset > snapshot.upto) {
            if self.stopped.is_none() {
                self.fold_record(record.offset, record.appended, &record.payload);
            }
        }
    }

    fn fold_record(
        &mut self,
        offset: Offset,
        appended: Timestamp,
        payload: &[u8],
    ) -> Option<GroupEffect> {
        if self.start_appended == Timestamp::default() {
            self.start_appended = appended;
        }
        self.upto_appended = self.upto_appended.max(appended);
        if let Ok(snapshot) = decode_record::<GroupSnapshot>(payload) {
            // New nodes can start from it; this one goes on with its own state.
            self.start_appended = self.start_appended.max(snapshot.upto_appended.min(appended));
            self.next = offset.next();
            return None;
        }
        let effect = match decode_record::<LeaseRecord>(payload) {
            Ok(record) => Some(GroupEffect::Lease(self.leases.apply(offset, appended, &record))),
            Err(RecordError::NewerSchema(schema)) => {
                self.stopped = Some(ReplayError::NewerSchema(schema));
                return None;
            }
            Err(RecordError::OtherKind) => self.fold_map(offset, payload),
        };
        self.next = offset.next();
        effect
    }

    /// The experts that ranks loaded for a change that has just been made.
    #[must_use]
    pub fn weights_moved(&self, change: Offset) -> u64 {
        let made = |maps: &GroupMaps| {
            let newest = maps.newest().filter(|newest| newest.change == change)?;
            let former = maps.map_of_step(newest.step.checked_sub(1)?)?;
            Some(former.map.moves_to(&newest.map).len() as u64)
        };
        self.groups.values().find_map(made).unwrap_or(0)
    }

    fn fold_map(&mut self, offset: Offset, payload: &[u8]) -> Option<GroupEffect> {
        let record = decode_record::<MapRecord>(payload).ok()?;
        let (MapRecord::Join { scope, .. }
        | MapRecord::Propose { scope, .. }
        | MapRecord::Commit { scope, .. }
        | MapRecord::Abort { scope, .. }) = &record;
        let ranks = group_rank_count(scope)?;
        let maps = self
            .groups
            .entry(scope.clone())
            .or_insert_with(|| GroupMaps::new(scope.clone(), ranks));
        Some(GroupEffect::Map(maps.apply(offset, &record, &self.leases)))
    }
}
