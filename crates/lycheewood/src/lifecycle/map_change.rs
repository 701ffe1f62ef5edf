//! The life cycle of a map change on the side of the lease holder.

use crate::clock::Timestamp;
use crate::decisions::map_change::{GroupMaps, MapRecord, StageOrder};
use crate::decisions::placement::ExpertMap;
use crate::ids::{FencingNumber, Incarnation, Offset, ScopeName};
use crate::lifecycle::lease::{Held, Lease, LeaseExpired};

/// A change that the stream shows as pending, with the ranks that have staged it.
#[derive(Debug)]
pub struct Proposed {
    staged: Vec<Option<Incarnation>>,
}

/// A change that a process at every rank has staged.
#[derive(Debug)]
pub struct Staged {
    staged: Vec<Incarnation>,
}

/// A change that is made.
#[derive(Debug)]
pub struct Committed(());

/// A change that is dropped.
#[derive(Debug)]
pub struct Aborted(());

/// How the stream decided a change.
#[derive(Debug)]
pub enum Decided {
    /// It is made.
    Committed(MapChange<Committed>),
    /// It is dropped.
    Aborted(MapChange<Aborted>),
    /// It was decided before the oldest map that the fold keeps.
    Forgotten,
}

/// One change of a group's map, in the stage `S`.
///
/// A change that not every rank has staged cannot be committed:
///
/// ```compile_fail
/// use lycheewood::{Held, Lease, MapChange, Proposed, Timestamp};
///
/// fn commit(change: MapChange<Proposed>, lease: &Lease<Held>) {
///     change.commit(lease, Timestamp::from_unix_ms(0));
/// }
/// ```
#[derive(Debug)]
pub struct MapChange<S> {
    scope: ScopeName,
    change: Offset,
    step: u64,
    stage: S,
}

impl<S> MapChange<S> {
    /// The change's name.
    #[must_use]
    pub const fn change(&self) -> Offset {
        self.change
    }

    /// The first step that would run with the new map.
    #[must_use]
    pub const fn step(&self) -> u64 {
        self.step
    }

    /// The record that drops the change.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease signs nothing any more.
    pub fn abort(&self, lease: &Lease<Held>, now: Timestamp) -> Result<MapRecord, LeaseExpired> {
        let fencing = lease.sign(now)?.fencing();
        Ok(MapRecord::Abort { scope: self.scope.clone(), fencing, change: self.change })
    }

    /// What the stream decided, or the change itself while it is pending.
    ///
    /// # Errors
    ///
    /// Gives the change back when it is not decided.
    pub fn decided(self, maps: &GroupMaps) -> Result<Decided, Self> {
        if maps.pending().is_some_and(|pending| pending.change == self.change) {
            return Err(self);
        }
        if maps.has_discarded_map(self.step) {
            return Ok(Decided::Forgotten);
        }
        let Self { scope, change, step, .. } = self;
        let is_made = maps.map_of_step(step).is_some_and(|map| map.change == change);
        Ok(if is_made {
            Decided::Committed(MapChange { scope, change, step, stage: Committed(()) })
        } else {
            Decided::Aborted(MapChange { scope, change, step, stage: Aborted(()) })
        })
    }
}

impl MapChange<Proposed> {
    /// The record that proposes `map` from `step` on.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease signs nothing any more.
    pub fn propose(
        lease: &Lease<Held>,
        step: u64,
        map: ExpertMap,
        now: Timestamp,
    ) -> Result<MapRecord, LeaseExpired> {
        let fencing: FencingNumber = lease.sign(now)?.fencing();
        Ok(MapRecord::Propose { scope: lease.scope().clone(), fencing, step, map })
    }

    /// Takes up the change that is pending in the stream, this process's own or one that a former
    /// holder left. No rank counts as staged yet.
    #[must_use]
    pub fn pending(scope: &ScopeName, maps: &GroupMaps, ranks: usize) -> Option<Self> {
        let pending = maps.pending()?;
        let stage = Proposed { staged: vec![None; ranks] };
        Some(Self { scope: scope.clone(), change: pending.change, step: pending.step, stage })
    }

    /// The order to send to every rank.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease signs nothing any more.
    pub fn stage_order(
        &self,
        lease: &Lease<Held>,
        now: Timestamp,
    ) -> Result<StageOrder, LeaseExpired> {
        let fencing = lease.sign(now)?.fencing();
        Ok(StageOrder { change: self.change, step: self.step, fencing })
    }

    /// Notes that a process at `rank` has staged `change`. An answer about another change is ignored.
    pub fn staged_at(&mut self, rank: usize, incarnation: Incarnation, change: Offset) {
        if let Some(slot) = self.stage.staged.get_mut(rank).filter(|_| change == self.change) {
            *slot = Some(incarnation);
        }
    }

    /// Goes on once every rank has staged the change.
    ///
    /// # Errors
    ///
    /// Gives the change back while a rank is missing.
    pub fn all_staged(self) -> Result<MapChange<Staged>, Self> {
        let Some(staged) = self.stage.staged.iter().copied().collect::<Option<Vec<_>>>() else {
            return Err(self);
        };
        let Self { scope, change, step, .. } = self;
        Ok(MapChange { scope, change, step, stage: Staged { staged } })
    }
}

impl MapChange<Staged> {
    /// The record that makes the change. It is made only if the stream says so afterwards.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease signs nothing any more.
    pub fn commit(&self, lease: &Lease<Held>, now: Timestamp) -> Result<MapRecord, LeaseExpired> {
        let fencing = lease.sign(now)?.fencing();
        let staged = self.stage.staged.clone();
        Ok(MapRecord::Commit { scope: self.scope.clone(), fencing, change: self.change, staged })
    }
}
