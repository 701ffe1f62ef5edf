//! Changes of a group's expert map: a two-phase commit whose coordinator is the log.
//!
//! A change is proposed for a step. Every rank stages it and from then on grants its engine no step at
//! or past that one until it has read the decision. The first decision of the lease in force counts. A
//! process that takes a rank over joins in the log, which voids what its predecessor staged.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::decisions::leases::Leases;
use crate::decisions::placement::ExpertMap;
use crate::ids::{FencingNumber, Incarnation, Offset, ScopeName};

mod engine;
mod rank;

pub use engine::{
    EngineOrder, EngineRankState, EngineStagedMap, can_stage, map_version, next_engine_order,
};
pub use rank::{RankGate, StageOrder, StageRefusal};

/// A record about the map of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum MapRecord {
    /// A process takes a rank over. It grants no step before it has read its own record.
    Join {
        /// The group.
        scope: ScopeName,
        /// Index of the rank.
        rank: usize,
        /// The process.
        incarnation: Incarnation,
        /// The process that had the rank, if any. A repeated record names an old one and is void.
        replaces: Option<Incarnation>,
    },
    /// A new map from a step on. The offset of the record names the change.
    Propose {
        /// The group.
        scope: ScopeName,
        /// Number of the lease that proposes.
        fencing: FencingNumber,
        /// The first step that would run with the new map.
        step: u64,
        /// The new map.
        map: ExpertMap,
    },
    /// The change is made.
    Commit {
        /// The group.
        scope: ScopeName,
        /// Number of the lease that decides.
        fencing: FencingNumber,
        /// The change.
        change: Offset,
        /// The process at each rank that has staged it.
        staged: Vec<Incarnation>,
    },
    /// The change is dropped.
    Abort {
        /// The group.
        scope: ScopeName,
        /// Number of the lease that decides.
        fencing: FencingNumber,
        /// The change.
        change: Offset,
    },
}

/// A change that is proposed and not decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingChange {
    /// Its name.
    pub change: Offset,
    /// The first step that would run with the new map.
    pub step: u64,
    /// The new map.
    pub map: ExpertMap,
}

/// A map in force from a step on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedMap {
    /// The change that brought it.
    pub change: Offset,
    /// The first step that runs with it.
    pub step: u64,
    /// The map.
    pub map: ExpertMap,
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapEffect {
    /// A process took a rank over.
    Joined,
    /// The change with this name is proposed.
    Proposed(Offset),
    /// The change with this name is made.
    Committed(Offset),
    /// The change with this name is dropped.
    Aborted(Offset),
    /// The record has no effect.
    None,
}

/// The fold of the map records of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMaps {
    scope: ScopeName,
    ranks: usize,
    processes: BTreeMap<usize, Incarnation>,
    /// The last two maps: ranks may still run steps of the one before a change.
    maps: Vec<CommittedMap>,
    pending: Option<PendingChange>,
    /// Steps of later proposals are above this.
    last_step: u64,
}

impl GroupMaps {
    /// The state of a group before the first record. The first map is proposed like any other, for the
    /// step that the group starts with.
    #[must_use]
    pub const fn new(scope: ScopeName, ranks: usize) -> Self {
        let processes = BTreeMap::new();
        Self { scope, ranks, processes, maps: Vec::new(), pending: None, last_step: 0 }
    }

    /// Folds the record at `offset` in. `leases` is the fold of the same stream up to there.
    pub fn apply(&mut self, offset: Offset, record: &MapRecord, leases: &Leases) -> MapEffect {
        let signed =
            |scope: &ScopeName, fencing| *scope == self.scope && leases.is_current(scope, fencing);
        match record {
            MapRecord::Join { scope, rank, incarnation, replaces } if *scope == self.scope => {
                self.join(*rank, *incarnation, *replaces)
            }
            MapRecord::Propose { scope, fencing, step, map } if signed(scope, *fencing) => {
                self.propose(PendingChange { change: offset, step: *step, map: map.clone() })
            }
            MapRecord::Commit { scope, fencing, change, staged } if signed(scope, *fencing) => {
                self.commit(*change, staged)
            }
            MapRecord::Abort { scope, fencing, change } if signed(scope, *fencing) => {
                self.abort(*change)
            }
            _ => MapEffect::None,
        }
    }

    /// The change that is proposed and not decided.
    #[must_use]
    pub const fn pending(&self) -> Option<&PendingChange> {
        self.pending.as_ref()
    }

    /// The newest map.
    #[must_use]
    pub fn newest(&self) -> Option<&CommittedMap> {
        self.maps.last()
    }

    /// The map of `step`, as far as the records read tell.
    #[must_use]
    pub fn map_of_step(&self, step: u64) -> Option<&CommittedMap> {
        self.maps.iter().rev().find(|map| map.step <= step)
    }

    /// Whether the map of `step` may have been forgotten, because it is older than the maps kept.
    #[must_use]
    pub fn has_discarded_map(&self, step: u64) -> bool {
        self.maps.first().is_some_and(|oldest| step < oldest.step)
    }

    /// The process at each rank, once every rank has one.
    #[must_use]
    pub fn processes(&self) -> Option<Vec<Incarnation>> {
        (0..self.ranks).map(|rank| self.processes.get(&rank).copied()).collect()
    }

    /// The process at `rank`.
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
        let name = change.change;
        self.last_step = change.step;
        self.pending = Some(change);
        MapEffect::Proposed(name)
    }

    fn commit(&mut self, change: Offset, staged: &[Incarnation]) -> MapEffect {
        let by_present = self.processes().is_some_and(|present| present == staged);
        if !by_present {
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

/// What is known of one rank about a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageStatus {
    /// This process has staged the change.
    Staged(Incarnation),
    /// The rank cannot stage it any more.
    Refused,
    /// The rank has not answered, or asks for more time.
    Pending,
}

/// What the holder of the lease does with a change that is not decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Append a commit with these processes.
    Commit(Vec<Incarnation>),
    /// Append an abort.
    Abort,
    /// Ask the silent ranks again.
    Wait,
}

/// Decides what the holder of the lease does with the change that is pending in `maps`, its own or one
/// that a former holder left half made. `evidence` has one element for each rank.
///
/// A commit needs the present process of every rank. An abort is always safe, so it is chosen when a
/// rank refused, or is still silent after the deadline (`is_late`).
#[must_use]
pub fn resolve_change(maps: &GroupMaps, evidence: &[StageStatus], is_late: bool) -> Resolution {
    let Some(present) = maps.processes().filter(|present| present.len() == evidence.len()) else {
        return if is_late { Resolution::Abort } else { Resolution::Wait };
    };
    let mut silent = false;
    for (evidence, process) in evidence.iter().zip(&present) {
        match evidence {
            StageStatus::Staged(staged) if staged == process => {}
            StageStatus::Refused => return Resolution::Abort,
            // A process that was replaced says nothing about its successor.
            StageStatus::Staged(_) | StageStatus::Pending => silent = true,
        }
    }
    match (silent, is_late) {
        (false, _) => Resolution::Commit(present),
        (true, true) => Resolution::Abort,
        (true, false) => Resolution::Wait,
    }
}
