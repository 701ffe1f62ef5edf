//! What one rank may stage and which steps it may grant to its engine.

use super::{GroupMaps, StageStatus};
use crate::ids::{FencingNumber, Incarnation, Offset};

/// An order to stage a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// The change.
    pub change: Offset,
    /// The first step that would run with the new map.
    pub step: u64,
    /// Number of the lease that sends the order.
    pub fencing: FencingNumber,
}

/// Why a rank does not stage a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StageRefusal {
    /// The process has not read its own join record. It cannot know what is pending.
    #[error("this rank has not joined yet; stage again later")]
    NotJoined,
    /// The process does not know which steps its engine was granted before it started.
    #[error("this rank does not know what its engine was granted; ask the engine first")]
    GrantedEndUnknown,
    /// The rank has not read the proposal, or it is decided.
    #[error("this change is not pending at this rank; read the stream and stage again")]
    NotPending,
    /// The engine was granted the step of the change or a later one.
    #[error("steps before {granted_end} are granted already; propose a later step")]
    StepGranted {
        /// The first step that is not granted.
        granted_end: u64,
    },
    /// The engine has not been granted the first step of the former change yet. Folds keep the last
    /// two maps, so a rank takes up one change at a time.
    #[error("the former change begins at {step}, which is not granted yet; stage again later")]
    PreviousChangeAhead {
        /// The first step of the former change.
        step: u64,
    },
}

impl StageRefusal {
    /// What the refusal tells the lease holder. All but one of them pass when the rank is asked again.
    #[must_use]
    pub const fn stage_status(self) -> StageStatus {
        match self {
            Self::StepGranted { .. } => StageStatus::Refused,
            Self::NotJoined
            | Self::GrantedEndUnknown
            | Self::NotPending
            | Self::PreviousChangeAhead { .. } => StageStatus::Pending,
        }
    }
}

/// The state of one process at one rank: what it staged and what it granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankGate {
    rank: usize,
    incarnation: Incarnation,
    /// The first step that is not granted, if known.
    granted_end: Option<u64>,
    staged: Option<Offset>,
}

impl RankGate {
    /// The gate of a process that has just started and knows nothing.
    #[must_use]
    pub const fn new(rank: usize, incarnation: Incarnation) -> Self {
        Self { rank, incarnation, granted_end: None, staged: None }
    }

    /// The process.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Takes over what the engine says it was granted, for instance by an earlier process.
    pub fn raise_granted_end(&mut self, granted_end: u64) {
        self.granted_end = Some(self.granted_end.unwrap_or(0).max(granted_end));
    }

    /// Stages a change. Staging it again is allowed.
    ///
    /// # Errors
    ///
    /// Refuses unless the change is pending and the engine was granted no step of it.
    pub fn stage(&mut self, maps: &GroupMaps, order: &StageOrder) -> Result<(), StageRefusal> {
        if !self.has_joined(maps) {
            return Err(StageRefusal::NotJoined);
        }
        let granted_end = self.granted_end.ok_or(StageRefusal::GrantedEndUnknown)?;
        let pending = maps.pending().filter(|p| p.change == order.change && p.step == order.step);
        if pending.is_none() {
            return Err(StageRefusal::NotPending);
        }
        if granted_end > order.step {
            return Err(StageRefusal::StepGranted { granted_end });
        }
        if let Some(former) = maps.newest().filter(|former| granted_end < former.step) {
            return Err(StageRefusal::PreviousChangeAhead { step: former.step });
        }
        self.staged = Some(order.change);
        Ok(())
    }

    /// The change that is staged and, as far as this rank has read, not decided.
    #[must_use]
    pub fn staged(&self, maps: &GroupMaps) -> Option<Offset> {
        let pending = maps.pending().map(|pending| pending.change);
        self.staged.filter(|&change| Some(change) == pending)
    }

    /// Grants steps up to `wanted_end`, which is not included, as far as they are decided. Returns the
    /// first step that is not granted, or `None` if this process may grant nothing yet.
    pub fn grant(&mut self, maps: &GroupMaps, wanted_end: u64) -> Option<u64> {
        let granted_end = self.granted_end.filter(|_| self.has_joined(maps))?;
        maps.map_of_step(granted_end)?;
        let pending = maps.pending().filter(|pending| Some(pending.change) == self.staged);
        let limit = pending.map_or(wanted_end, |pending| wanted_end.min(pending.step));
        let granted_end = granted_end.max(limit);
        self.granted_end = Some(granted_end);
        Some(granted_end)
    }

    /// Whether the stream, as far as read, names this process at its rank. A successor that joined
    /// ends it.
    fn has_joined(&self, maps: &GroupMaps) -> bool {
        maps.process(self.rank) == Some(self.incarnation)
    }
}
