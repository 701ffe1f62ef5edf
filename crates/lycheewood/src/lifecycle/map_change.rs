//! The life cycle of a map change, as the lease holder sees it.

use crate::clock::Timestamp;
use crate::decisions::map_change::{GroupMaps, MapRecord, StageOrder};
use crate::decisions::placement::ExpertMap;
use crate::ids::{FencingNumber, Incarnation, Offset, ScopeName};
use crate::lifecycle::lease::{Held, Lease, LeaseExpired};

/// A change that is pending in the stream, with the ranks that have staged it.
#[derive(Debug)]
pub struct Proposed {
    staged: Vec<Option<Incarnation>>,
}

/// A change that a process at every rank has staged.
#[derive(Debug)]
pub struct Staged {
    staged: Vec<Incarnation>,
}

/// A change that was committed.
#[derive(Debug)]
pub struct Committed(());

/// A change that was aborted.
#[derive(Debug)]
pub struct Aborted(());

/// The outcome of a change, by the records of the stream.
#[derive(Debug)]
pub enum MapChangeOutcome {
    /// The change was committed.
    Committed(MapChange<Committed>),
    /// The change was aborted.
    Aborted(MapChange<Aborted>),
    /// The change is older than the oldest map that is kept, so its outcome is no longer known.
    Truncated,
}

/// One change of a group's map, in the state `S`.
///
/// A change that not every rank has staged cannot be committed:
///
/// ```compile_fail
/// use lycheewood::{Lease, LeaseHeld, MapChange, MapChangeProposed, Timestamp};
///
/// fn commit(change: MapChange<MapChangeProposed>, lease: &Lease<LeaseHeld>) {
///     change.commit(lease, Timestamp::from_unix_ms(0));
/// }
/// ```
#[derive(Debug)]
pub struct MapChange<S> {
    scope: ScopeName,
    change: Offset,
    step: u64,
    state: S,
}

impl<S> MapChange<S> {
    /// Identifier of the change.
    #[must_use]
    pub const fn change(&self) -> Offset {
        self.change
    }

    /// The first step that runs with the new map if the change is committed.
    #[must_use]
    pub const fn step(&self) -> u64 {
        self.step
    }

    /// The record that aborts the change.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease has ended.
    pub fn abort(&self, lease: &Lease<Held>, now: Timestamp) -> Result<MapRecord, LeaseExpired> {
        let fencing = lease.fencing_token(now)?.number();
        Ok(MapRecord::Abort { scope: self.scope.clone(), fencing, change: self.change })
    }

    /// The outcome of the change, by the records that `maps` has applied.
    ///
    /// # Errors
    ///
    /// Returns the change while it is pending.
    pub fn resolve(self, maps: &GroupMaps) -> Result<MapChangeOutcome, Self> {
        if maps.pending().is_some_and(|pending| pending.change == self.change) {
            return Err(self);
        }
        if maps.has_discarded_map(self.step) {
            return Ok(MapChangeOutcome::Truncated);
        }
        let Self { scope, change, step, .. } = self;
        let is_committed = maps.map_of_step(step).is_some_and(|map| map.change == change);
        Ok(if is_committed {
            MapChangeOutcome::Committed(MapChange { scope, change, step, state: Committed(()) })
        } else {
            MapChangeOutcome::Aborted(MapChange { scope, change, step, state: Aborted(()) })
        })
    }
}

impl MapChange<Proposed> {
    /// The record that proposes `map` from `step` on.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease has ended.
    pub fn propose(
        lease: &Lease<Held>,
        step: u64,
        map: ExpertMap,
        now: Timestamp,
    ) -> Result<MapRecord, LeaseExpired> {
        let fencing: FencingNumber = lease.fencing_token(now)?.number();
        Ok(MapRecord::Propose { scope: lease.scope().clone(), fencing, step, map })
    }

    /// The change that is pending in the stream, proposed by this process or by a former holder of the
    /// lease. No rank counts as staged yet.
    #[must_use]
    pub fn from_pending(scope: &ScopeName, maps: &GroupMaps, ranks: usize) -> Option<Self> {
        let pending = maps.pending()?;
        let state = Proposed { staged: vec![None; ranks] };
        Some(Self { scope: scope.clone(), change: pending.change, step: pending.step, state })
    }

    /// The order to stage the change, for every rank.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease has ended.
    pub fn stage_order(
        &self,
        lease: &Lease<Held>,
        now: Timestamp,
    ) -> Result<StageOrder, LeaseExpired> {
        let fencing = lease.fencing_token(now)?.number();
        Ok(StageOrder { change: self.change, step: self.step, fencing })
    }

    /// Records that a process at `rank` has staged `change`. A reply about another change is ignored.
    pub fn record_staged(&mut self, rank: usize, incarnation: Incarnation, change: Offset) {
        if let Some(slot) = self.state.staged.get_mut(rank).filter(|_| change == self.change) {
            *slot = Some(incarnation);
        }
    }

    /// Completes staging once every rank has staged the change.
    ///
    /// # Errors
    ///
    /// Returns the change while a rank has not staged it.
    pub fn complete(self) -> Result<MapChange<Staged>, Self> {
        let Some(staged) = self.state.staged.iter().copied().collect::<Option<Vec<_>>>() else {
            return Err(self);
        };
        let Self { scope, change, step, .. } = self;
        Ok(MapChange { scope, change, step, state: Staged { staged } })
    }
}

impl MapChange<Staged> {
    /// The record that commits the change. The change is committed only once the stream shows it as the
    /// outcome.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease has ended.
    pub fn commit(&self, lease: &Lease<Held>, now: Timestamp) -> Result<MapRecord, LeaseExpired> {
        let fencing = lease.fencing_token(now)?.number();
        let staged = self.state.staged.clone();
        Ok(MapRecord::Commit { scope: self.scope.clone(), fencing, change: self.change, staged })
    }
}
