//! The gate of one rank: which change it may stage and which steps it may grant to its engine.

use super::{GroupMaps, StageStatus};
use crate::ids::{FencingNumber, Incarnation, Offset};

/// An order to stage a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// The change.
    pub change: Offset,
    /// The first step that would run with the new map.
    pub step: u64,
    /// Fencing number of the lease that sends the order.
    pub fencing: FencingNumber,
}

/// Why a rank does not stage a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StageRefusal {
    /// The process has not read its own join record, so it does not know which change is pending.
    #[error("this rank has not joined the group yet; stage again later")]
    NotJoined,
    /// The process does not know which steps its engine was granted before the process started.
    #[error("the granted steps of this rank's engine are unknown; read the engine's state first")]
    GrantedEndUnknown,
    /// The rank has not read the proposal, or the change is decided.
    #[error("the change is not pending at this rank; read the stream and stage again")]
    NotPending,
    /// The engine was granted the step of the change or a later one.
    #[error("steps before {granted_end} are granted already; propose a later step")]
    StepGranted {
        /// The first step that is not granted.
        granted_end: u64,
    },
    /// The engine has not been granted all steps before the previous change yet. Only the last two maps
    /// are kept, so a rank stages one change at a time.
    #[error("steps before the previous change, at {step}, are not granted yet; stage again later")]
    PreviousChangeAhead {
        /// The first step of the previous change.
        step: u64,
    },
}

impl StageRefusal {
    /// The status that the rank reports to the lease holder. Only `StepGranted` is final; after the other
    /// refusals the change may still be staged later.
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

/// The gate of one process of a rank: what it has staged and granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankGate {
    rank: usize,
    incarnation: Incarnation,
    /// The first step that is not granted, if known.
    granted_end: Option<u64>,
    staged_change: Option<Offset>,
}

impl RankGate {
    /// The gate of a process that has just started.
    #[must_use]
    pub const fn new(rank: usize, incarnation: Incarnation) -> Self {
        Self { rank, incarnation, granted_end: None, staged_change: None }
    }

    /// The process.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Raises the first step that is not granted to the one that the engine reports. An earlier process may
    /// have granted steps.
    pub fn raise_granted_end(&mut self, granted_end: u64) {
        self.granted_end = Some(self.granted_end.unwrap_or(0).max(granted_end));
    }

    /// Stages a change. The call is idempotent.
    ///
    /// # Errors
    ///
    /// [`StageRefusal`] unless this process has joined, the change is pending, and the engine was granted no
    /// step of it but all steps before the previous change.
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
        if let Some(previous) = maps.newest().filter(|previous| granted_end < previous.step) {
            return Err(StageRefusal::PreviousChangeAhead { step: previous.step });
        }
        self.staged_change = Some(order.change);
        Ok(())
    }

    /// The change that is staged and, as far as this rank has read the log, undecided.
    #[must_use]
    pub fn staged_change(&self, maps: &GroupMaps) -> Option<Offset> {
        let pending = maps.pending().map(|pending| pending.change);
        self.staged_change.filter(|&change| Some(change) == pending)
    }

    /// Grants the steps below `wanted_end`, as far as their map is decided. Returns the first step that is
    /// not granted, or `None` if this process may not grant steps yet.
    pub fn grant(&mut self, maps: &GroupMaps, wanted_end: u64) -> Option<u64> {
        let granted_end = self.granted_end.filter(|_| self.has_joined(maps))?;
        maps.map_of_step(granted_end)?;
        let pending = maps.pending().filter(|pending| Some(pending.change) == self.staged_change);
        let limit = pending.map_or(wanted_end, |pending| wanted_end.min(pending.step));
        let granted_end = granted_end.max(limit);
        self.granted_end = Some(granted_end);
        Some(granted_end)
    }

    /// Whether this process is the last one that joined at its rank, as far as the log has been read.
    fn has_joined(&self, maps: &GroupMaps) -> bool {
        maps.process(self.rank) == Some(self.incarnation)
    }
}
