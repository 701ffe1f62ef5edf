//! Changes of a group's expert map, by a two-phase commit through the log.
//!
//! A change is proposed for a step. Every rank stages it, and then grants its engine no step at or past
//! that one until it has read the decision. The first decision under the current lease counts. A process
//! that takes over a rank appends a join record, which invalidates what its predecessor staged.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::decisions::leases::LeaseTable;
use crate::decisions::placement::ExpertMap;
use crate::ids::{FencingNumber, Incarnation, Offset, ScopeName};

mod engine;
mod proposal;
mod rank;

pub use engine::{
    EngineOrder, EngineRankState, EngineStagedMap, can_stage, map_version, next_engine_order,
};
pub use proposal::{GRANT_AHEAD_STEPS, ProposalLead, RankProgress};
pub use rank::{RankGate, StageOrder, StageRefusal};

/// A record about the map of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum MapRecord {
    /// A process takes over a rank. It grants no step before it has read its own record.
    Join {
        /// The group.
        scope: ScopeName,
        /// Index of the rank.
        rank: usize,
        /// The process.
        incarnation: Incarnation,
        /// The previous process of the rank, if any. A repeated record names an older one and has no effect.
        replaces: Option<Incarnation>,
    },
    /// A new map from a step on. The offset of the record identifies the change.
    Propose {
        /// The group.
        scope: ScopeName,
        /// Fencing number of the lease that proposes.
        fencing: FencingNumber,
        /// The first step that would run with the new map.
        step: u64,
        /// The new map.
        map: ExpertMap,
    },
    /// The change is committed.
    Commit {
        /// The group.
        scope: ScopeName,
        /// Fencing number of the lease that decides.
        fencing: FencingNumber,
        /// Offset of the proposal.
        change: Offset,
        /// The processes that have staged the change, by rank.
        staged: Vec<Incarnation>,
    },
    /// The change is aborted.
    Abort {
        /// The group.
        scope: ScopeName,
        /// Fencing number of the lease that decides.
        fencing: FencingNumber,
        /// Offset of the proposal.
        change: Offset,
    },
}

/// A change that is proposed and not yet decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingChange {
    /// Offset of the proposal.
    pub change: Offset,
    /// The first step that would run with the new map.
    pub step: u64,
    /// The new map.
    pub map: ExpertMap,
}

/// A map that applies from a step on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedMap {
    /// Offset of the proposal.
    pub change: Offset,
    /// The first step that runs with the map.
    pub step: u64,
    /// The map.
    pub map: ExpertMap,
}

/// The effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapEffect {
    /// A process took over a rank.
    Joined,
    /// The change with this offset is proposed.
    Proposed(Offset),
    /// The change with this offset is committed.
    Committed(Offset),
    /// The change with this offset is aborted.
    Aborted(Offset),
    /// The record has no effect.
    None,
}

/// The maps, processes and pending change of one group, replayed from its map records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMaps {
    scope: ScopeName,
    ranks: usize,
    processes: BTreeMap<usize, Incarnation>,
    /// The last two maps, because ranks may still run steps with the one before a change.
    maps: Vec<CommittedMap>,
    pending: Option<PendingChange>,
    /// Step of the last proposal. A later one needs a higher step.
    last_step: u64,
}

impl GroupMaps {
    /// The state of a group before the first record. The first map is proposed like any other one, for the
    /// first step of the group.
    #[must_use]
    pub const fn new(scope: ScopeName, ranks: usize) -> Self {
        let processes = BTreeMap::new();
        Self { scope, ranks, processes, maps: Vec::new(), pending: None, last_step: 0 }
    }

    /// Applies the record at `offset`. `leases` is the state of the same stream up to that offset.
    pub fn apply(&mut self, offset: Offset, record: &MapRecord, leases: &LeaseTable) -> MapEffect {
        let is_current =
            |scope: &ScopeName, fencing| *scope == self.scope && leases.is_current(scope, fencing);
        match record {
            MapRecord::Join { scope, rank, incarnation, replaces } if *scope == self.scope => {
                self.join(*rank, *incarnation, *replaces)
            }
            MapRecord::Propose { scope, fencing, step, map } if is_current(scope, *fencing) => {
                self.propose(PendingChange { change: offset, step: *step, map: map.clone() })
            }
            MapRecord::Commit { scope, fencing, change, staged } if is_current(scope, *fencing) => {
                self.commit(*change, staged)
            }
            MapRecord::Abort { scope, fencing, change } if is_current(scope, *fencing) => {
                self.abort(*change)
            }
            _ => MapEffect::None,
        }
    }

    /// The change that is proposed and not yet decided.
    #[must_use]
    pub const fn pending(&self) -> Option<&PendingChange> {
        self.pending.as_ref()
    }

    /// The newest map.
    #[must_use]
    pub fn newest(&self) -> Option<&CommittedMap> {
        self.maps.last()
    }

    /// The step of the last proposal, whatever its decision. A proposal for this step or an earlier one has no
    /// effect, unless it is the first one.
    #[must_use]
    pub const fn last_proposed_step(&self) -> u64 {
        self.last_step
    }

    /// The map of `step`, as far as the records have been read.
    #[must_use]
    pub fn map_of_step(&self, step: u64) -> Option<&CommittedMap> {
        self.maps.iter().rev().find(|map| map.step <= step)
    }

    /// Whether the map of `step` may have been discarded, because only the last two maps are kept.
    #[must_use]
    pub fn has_discarded_map(&self, step: u64) -> bool {
        self.maps.first().is_some_and(|oldest| step < oldest.step)
    }

    /// The process of each rank, or `None` until every rank has one.
    #[must_use]
    pub fn processes(&self) -> Option<Vec<Incarnation>> {
        (0..self.ranks).map(|rank| self.processes.get(&rank).copied()).collect()
    }

    /// The process of `rank`.
    #[must_use]
    pub fn process(&self, rank: usize) -> Option<Incarnation> {
        self.processes.get(&rank).copied()
    }

    fn join(
        &mut self,
        rank: usize,
        incarnation: Incarnation,
        replaces: Option<Incarnation>,
    ) -> MapEffect {
        if rank >= self.ranks || self.process(rank) != replaces {
            return MapEffect::None;
        }
        self.processes.insert(rank, incarnation);
        MapEffect::Joined
    }

    fn propose(&mut self, change: PendingChange) -> MapEffect {
        let is_first = self.maps.is_empty() && self.last_step == 0;
        let is_later = change.step > self.last_step || is_first;
        let fits = change.map.ranks == self.ranks && change.map.check().is_ok();
        if self.pending.is_some() || !is_later || !fits {
            return MapEffect::None;
        }
        let offset = change.change;
        self.last_step = change.step;
        self.pending = Some(change);
        MapEffect::Proposed(offset)
    }

    fn commit(&mut self, change: Offset, staged: &[Incarnation]) -> MapEffect {
        let is_staged = self.processes().is_some_and(|processes| processes == staged);
        if !is_staged {
            return MapEffect::None;
        }
        let Some(pending) = self.pending.take_if(|pending| pending.change == change) else {
            return MapEffect::None;
        };
        let PendingChange { change, step, map } = pending;
        self.maps.push(CommittedMap { change, step, map });
        if self.maps.len() > 2 {
            self.maps.remove(0);
        }
        MapEffect::Committed(change)
    }

    fn abort(&mut self, change: Offset) -> MapEffect {
        match self.pending.take_if(|pending| pending.change == change) {
            Some(_) => MapEffect::Aborted(change),
            None => MapEffect::None,
        }
    }
}

/// What one rank has reported about a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageStatus {
    /// This process has staged the change.
    Staged(Incarnation),
    /// The rank cannot stage the change any more.
    Refused,
    /// The rank has not answered, or cannot stage the change yet.
    Pending,
}

/// The next action of the lease holder on an undecided change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Append a commit with these processes.
    Commit(Vec<Incarnation>),
    /// Append an abort.
    Abort,
    /// Order the ranks that have not staged the change to stage it.
    Wait,
}

/// Decides the next action of the lease holder on the change that is pending in `maps`, which may have been
/// proposed by a previous holder. `statuses` has one element for each rank.
///
/// A commit needs the current process of every rank. An abort is always safe. It is chosen when a rank
/// refused, or has not staged the change by the deadline (`is_past_deadline`).
#[must_use]
pub fn resolve_change(
    maps: &GroupMaps,
    statuses: &[StageStatus],
    is_past_deadline: bool,
) -> Resolution {
    let Some(processes) = maps.processes().filter(|processes| processes.len() == statuses.len())
    else {
        return if is_past_deadline { Resolution::Abort } else { Resolution::Wait };
    };
    let mut is_incomplete = false;
    for (status, process) in statuses.iter().zip(&processes) {
        match status {
            StageStatus::Staged(staged) if staged == process => {}
            StageStatus::Refused => return Resolution::Abort,
            // What a replaced process staged does not count for its successor.
            StageStatus::Staged(_) | StageStatus::Pending => is_incomplete = true,
        }
    }
    match (is_incomplete, is_past_deadline) {
        (false, _) => Resolution::Commit(processes),
        (true, true) => Resolution::Abort,
        (true, false) => Resolution::Wait,
    }
}
