//! Snapshots of the state of stream `leases`, so that instances can start after older records have expired.
//!
//! As for snapshots of documents, a snapshot names the last record that it contains, and an instance starts from
//! it only if all records after that one can be read. An instance that has started keeps its leases and maps and
//! only notes which records new instances need, so a snapshot that a paused process writes late does no harm.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::groups::GroupState;
use crate::decisions::leases::LeaseTable;
use crate::decisions::map_change::GroupMaps;
use crate::ids::{Offset, ScopeName};

/// The state after all records up to and including `upto`, as a record of the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename = "snapshot")]
pub struct GroupSnapshot {
    /// The last record that the state contains.
    pub upto: Offset,
    /// When that record was appended.
    pub upto_appended: Timestamp,
    /// Lower bound of the append time of the oldest record needed for replay, as
    /// [`GroupState::start_appended`] returns it.
    pub start_appended: Timestamp,
    /// The leases.
    pub leases: LeaseTable,
    /// The maps of all groups, by scope.
    pub groups: BTreeMap<ScopeName, GroupMaps>,
}

/// A record that was read before a snapshot was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct BufferedRecord {
    pub(super) offset: Offset,
    pub(super) appended: Timestamp,
    pub(super) payload: Vec<u8>,
}

/// State and settings that decide whether a snapshot is due; see [`group_snapshot_due`].
#[derive(Clone, Copy, Debug)]
pub struct GroupSnapshotView<'a> {
    /// The state, replayed to the end of the log.
    pub state: &'a GroupState,
    /// How long the log keeps records, in milliseconds.
    pub retention_ms: u64,
    /// Random delay of this instance, in milliseconds, so that not all instances write at once. At most a sixth
    /// of the retention is used.
    pub jitter_ms: u64,
}

/// Whether this instance should write a snapshot: one can be taken, and the oldest record that new instances need
/// is older than a third of the retention plus the jitter.
#[must_use]
pub fn group_snapshot_due(view: &GroupSnapshotView<'_>, now: Timestamp) -> bool {
    let jitter_ms = view.jitter_ms.min(view.retention_ms / 6);
    let age_ms = now.ms_since(view.state.start_appended());
    view.state.snapshot().is_some() && age_ms >= view.retention_ms / 3 + jitter_ms
}
