//! Snapshots of the fold of stream `leases`, so that nodes can start when older records have expired.
//!
//! The rules are those of documents: a snapshot says up to which record it speaks, counts only as the
//! start of a fold over all records after that, and is ignored by a node that has started. One written
//! late by a paused process therefore changes nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::groups::GroupState;
use crate::decisions::leases::Leases;
use crate::decisions::map_change::GroupMaps;
use crate::ids::{Offset, ScopeName};

/// The fold after all records up to and including `upto`, as a record of the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename = "snapshot")]
pub struct GroupSnapshot {
    /// The last record folded.
    pub upto: Offset,
    /// When that record was appended.
    pub upto_appended: Timestamp,
    /// See [`GroupState::start_appended`].
    pub start_appended: Timestamp,
    /// The leases.
    pub leases: Leases,
    /// The maps of all groups.
    pub groups: BTreeMap<ScopeName, GroupMaps>,
}

/// A record that was read while no start was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ReadRecord {
    pub(super) offset: Offset,
    pub(super) appended: Timestamp,
    pub(super) payload: Vec<u8>,
}

/// What decides whether a snapshot is due.
#[derive(Clone, Copy, Debug)]
pub struct GroupSnapshotView<'a> {
    /// The fold, read to the end of the log.
    pub state: &'a GroupState,
    /// How long the log keeps a record, in milliseconds.
    pub retention_ms: u64,
    /// Random delay of this node, in milliseconds; at most a sixth of the retention counts.
    pub jitter_ms: u64,
}

/// Whether this node writes a snapshot now: the start that new nodes need is older than a third of the
/// retention plus the jitter.
#[must_use]
pub fn group_snapshot_due(view: &GroupSnapshotView<'_>, now: Timestamp) -> bool {
    let jitter_ms = view.jitter_ms.min(view.retention_ms / 6);
    let age_ms = now.ms_since(view.state.start_appended());
    view.state.snapshot().is_some() && age_ms >= view.retention_ms / 3 + jitter_ms
}
