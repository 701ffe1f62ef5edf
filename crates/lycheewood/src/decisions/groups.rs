//! State replayed from stream `leases`: all leases, and the expert maps of all groups of ranks.

mod snapshot;

pub use snapshot::{GroupSnapshot, GroupSnapshotView, group_snapshot_due};

use std::collections::BTreeMap;

use snapshot::BufferedRecord;

use crate::clock::Timestamp;
use crate::decisions::leases::{LeaseEffect, LeaseRecord, LeaseTable, RecordError, decode_record};
use crate::decisions::map_change::{GroupMaps, MapEffect, MapRecord};
use crate::ids::{Offset, ScopeName};

/// The most ranks of a group. It bounds the memory that one record can make every instance allocate.
pub const MAX_RANKS: usize = 4_096;

/// The lease scope of a group. It contains the number of ranks, so that all instances derive the same state
/// from the records and daemons with contradictory settings do not share a scope.
#[must_use]
pub fn group_scope(group: &str, ranks: usize) -> ScopeName {
    ScopeName::new(&format!("{group}/{ranks}"))
}

/// The number of ranks of the group with this scope, or `None` if the scope is not that of a group.
#[must_use]
pub fn group_rank_count(scope: &ScopeName) -> Option<usize> {
    let (_, ranks) = scope.as_str().rsplit_once('/')?;
    ranks.parse().ok().filter(|ranks| (1..=MAX_RANKS).contains(ranks))
}

/// The effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupEffect {
    /// The effect of a lease record.
    Lease(LeaseEffect),
    /// The effect of a map record.
    Map(MapEffect),
}

/// Why replay has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplayError {
    /// A newer build wrote a record.
    #[error("a record has schema {0}, newer than this build reads; replace this instance first")]
    NewerSchema(u16),
    /// Records expired before they were read.
    #[error("records expired before they were read; restart this process")]
    Gap,
    /// Older records have expired, and no snapshot contains their effects.
    #[error("older records have expired; wait for an entry to write a snapshot")]
    NoSnapshot,
}

/// The phase of replay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// No page has been read.
    #[default]
    Unread,
    /// Older records have expired: the records from `first` on are buffered until a snapshot is found.
    Seeking { first: Offset, records: Vec<BufferedRecord> },
    /// Each record is applied as it is read.
    Applying,
}

/// The state after all records of the stream below an offset.
#[derive(Clone, Debug, Default)]
pub struct GroupState {
    leases: LeaseTable,
    groups: BTreeMap<ScopeName, GroupMaps>,
    phase: Phase,
    next: Offset,
    end: Offset,
    upto_appended: Timestamp,
    start_appended: Timestamp,
    error: Option<ReplayError>,
}

impl GroupState {
    /// The leases.
    #[must_use]
    pub const fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// The maps of a group.
    #[must_use]
    pub fn maps(&self, scope: &ScopeName) -> Option<&GroupMaps> {
        self.groups.get(scope)
    }

    /// The maps of all groups, by scope.
    #[must_use]
    pub const fn groups(&self) -> &BTreeMap<ScopeName, GroupMaps> {
        &self.groups
    }

    /// The offset of the next record to apply.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// The highest end of the stream that the log has reported.
    #[must_use]
    pub const fn end_offset(&self) -> Offset {
        self.end
    }

    /// Why replay has stopped, if it has. The state is then too old to grant or decide anything.
    #[must_use]
    pub const fn replay_error(&self) -> Option<ReplayError> {
        match self.phase {
            Phase::Seeking { .. } if self.error.is_none() => Some(ReplayError::NoSnapshot),
            _ => self.error,
        }
    }

    /// A lower bound of the append time of the oldest record that a new instance needs for replay.
    #[must_use]
    pub const fn start_appended(&self) -> Timestamp {
        self.start_appended
    }

    /// A snapshot of the state, or `None` if no record has been applied or replay has stopped.
    #[must_use]
    pub fn snapshot(&self) -> Option<GroupSnapshot> {
        if self.phase != Phase::Applying || self.error.is_some() {
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

    /// Updates the state with the bounds of a page, before the records of the page are applied.
    ///
    /// If the stream has no records, no entry has written a snapshot for two thirds of the retention. All
    /// leases have ended long before, so replay starts from the empty state.
    pub fn observe_bounds(&mut self, first: Offset, end: Offset) {
        match self.phase {
            Phase::Unread if first == Offset(0) || first == end => self.phase = Phase::Applying,
            Phase::Unread => self.phase = Phase::Seeking { first, records: Vec::new() },
            Phase::Seeking { .. } | Phase::Applying if first > self.next => {
                self.error = self.error.or(Some(ReplayError::Gap));
            }
            Phase::Seeking { .. } | Phase::Applying => {}
        }
        self.next = self.next.max(first);
        self.end = self.end.max(end);
    }

    /// Applies one record. Records must come in log order; one that was applied before is skipped.
    pub fn apply(
        &mut self,
        offset: Offset,
        appended: Timestamp,
        payload: &[u8],
    ) -> Option<GroupEffect> {
        if self.error.is_some() || offset < self.next {
            return None;
        }
        if let Phase::Seeking { first, records } = &mut self.phase {
            let first = *first;
            records.push(BufferedRecord { offset, appended, payload: payload.to_vec() });
            self.next = offset.next();
            self.start_from_snapshot(first, payload);
            return None;
        }
        self.apply_record(offset, appended, payload)
    }

    /// Restores the state if `payload` is a snapshot and every record after its `upto` has been buffered.
    fn start_from_snapshot(&mut self, first: Offset, payload: &[u8]) {
        let Ok(snapshot) = decode_record::<GroupSnapshot>(payload) else { return };
        // A snapshot that claims to contain itself or later records is invalid.
        if snapshot.upto.next() < first || snapshot.upto.next() >= self.next {
            return;
        }
        let Phase::Seeking { records, .. } = std::mem::replace(&mut self.phase, Phase::Applying)
        else {
            return;
        };
        self.next = snapshot.upto.next();
        self.leases = snapshot.leases;
        self.groups = snapshot.groups;
        self.upto_appended = snapshot.upto_appended;
        self.start_appended = snapshot.start_appended;
        for record in records.iter().filter(|record| record.offset > snapshot.upto) {
            if self.error.is_none() {
                self.apply_record(record.offset, record.appended, &record.payload);
            }
        }
    }

    fn apply_record(
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
            // New instances can start from the snapshot; this one keeps its own state.
            self.start_appended = self.start_appended.max(snapshot.upto_appended.min(appended));
            self.next = offset.next();
            return None;
        }
        let effect = match decode_record::<LeaseRecord>(payload) {
            Ok(record) => Some(GroupEffect::Lease(self.leases.apply(offset, appended, &record))),
            Err(RecordError::NewerSchema(schema)) => {
                self.error = Some(ReplayError::NewerSchema(schema));
                return None;
            }
            Err(RecordError::OtherKind) => self.apply_map_record(offset, payload),
        };
        self.next = offset.next();
        effect
    }

    /// The number of experts that ranks loaded for `change`, or 0 if it is not the newest change of a group.
    #[must_use]
    pub fn weights_moved(&self, change: Offset) -> u64 {
        let move_count = |maps: &GroupMaps| {
            let newest = maps.newest().filter(|newest| newest.change == change)?;
            let previous = maps.map_of_step(newest.step.checked_sub(1)?)?;
            Some(previous.map.moves_to(&newest.map).len() as u64)
        };
        self.groups.values().find_map(move_count).unwrap_or(0)
    }

    fn apply_map_record(&mut self, offset: Offset, payload: &[u8]) -> Option<GroupEffect> {
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
