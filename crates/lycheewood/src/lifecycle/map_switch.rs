//! The life cycle of a switch of a group's expert map on engines that take orders rank by rank.
//!
//! A rank that is armed switches as a named pass begins. A pass must never begin while some ranks are
//! armed for it and others are not, so the group is held before that pass until every rank has
//! confirmed that it is armed. An order without a reply may be carried out seconds later; the stages
//! below make that harmless, because a hold is the decision to go forward and nothing undoes it.

use crate::decisions::expert_groups::RankOrder;
use crate::decisions::placement::ExpertMap;

/// Ranks copy weights; the map in use is not affected.
#[derive(Debug)]
pub struct Preparing {
    map: ExpertMap,
    done: Vec<bool>,
}

/// Every rank has the new map beside the one in use.
#[derive(Debug)]
pub struct Prepared(());

/// The group is asked not to begin a pass. The order may or may not have been carried out.
#[derive(Debug)]
pub struct Holding {
    step: u64,
    rank: usize,
}

/// The group does not begin the pass before it is released.
#[derive(Debug)]
pub struct HeldBefore {
    step: u64,
    rank: usize,
    armed: Vec<bool>,
}

/// Every rank switches as the pass begins.
#[derive(Debug)]
pub struct Armed {
    step: u64,
    rank: usize,
}

/// A switch of one group to one map, in the stage `S`.
///
/// No rank can be armed before the group is held, and the group cannot be released before every rank
/// is armed:
///
/// ```compile_fail
/// use lycheewood::{MapSwitch, SwitchPrepared};
///
/// fn arm(switch: &MapSwitch<SwitchPrepared>) {
///     let _ = switch.arm_order();
/// }
/// ```
///
/// ```compile_fail
/// use lycheewood::{MapSwitch, SwitchHeld};
///
/// fn release(switch: &MapSwitch<SwitchHeld>) {
///     let _ = switch.release_order();
/// }
/// ```
#[derive(Debug)]
pub struct MapSwitch<S> {
    version: u64,
    epoch: u64,
    ranks: usize,
    stage: S,
}

impl<S> MapSwitch<S> {
    /// Version of the map. It names one map only: the offset of the record that proposed it.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The formation of the group that the switch is for. Ranks refuse its orders in any other.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Ranks in the group.
    #[must_use]
    pub const fn ranks(&self) -> usize {
        self.ranks
    }

    fn with<T>(self, stage: T) -> MapSwitch<T> {
        MapSwitch { version: self.version, epoch: self.epoch, ranks: self.ranks, stage }
    }
}

impl MapSwitch<Preparing> {
    /// A switch to `map`, which a record of the log has proposed under `version`.
    #[must_use]
    pub fn propose(version: u64, epoch: u64, map: ExpertMap) -> Self {
        let ranks = map.ranks;
        Self { version, epoch, ranks, stage: Preparing { map, done: vec![false; ranks] } }
    }

    /// The order that makes a rank copy the new map.
    #[must_use]
    pub fn prepare_order(&self) -> RankOrder {
        RankOrder::Prepare { version: self.version, experts: self.stage.map.experts_by_rank() }
    }

    /// A rank shows the new map as prepared.
    pub fn note_prepared(&mut self, rank: usize) {
        if let Some(done) = self.stage.done.get_mut(rank) {
            *done = true;
        }
    }

    /// Ranks that do not show the new map yet.
    pub fn missing(&self) -> impl Iterator<Item = usize> {
        (0..self.ranks).filter(|rank| !self.stage.done[*rank])
    }

    /// The new map.
    #[must_use]
    pub const fn map(&self) -> &ExpertMap {
        &self.stage.map
    }

    /// Goes on once every rank is prepared.
    ///
    /// # Errors
    ///
    /// Gives the switch back while a rank is missing.
    pub fn complete(self) -> Result<(MapSwitch<Prepared>, ExpertMap), Self> {
        if self.stage.done.iter().any(|done| !done) {
            return Err(self);
        }
        let map = self.stage.map.clone();
        Ok((self.with(Prepared(())), map))
    }
}

impl MapSwitch<Prepared> {
    /// Asks `rank` to hold the group before the pass `step`.
    #[must_use]
    pub fn hold(self, step: u64, rank: usize) -> MapSwitch<Holding> {
        self.with(Holding { step, rank })
    }
}

impl MapSwitch<Holding> {
    /// The order that holds the group.
    #[must_use]
    pub const fn hold_order(&self) -> RankOrder {
        RankOrder::Hold { step: self.stage.step }
    }

    /// The rank that gets it.
    #[must_use]
    pub const fn rank(&self) -> usize {
        self.stage.rank
    }

    /// The pass had begun, so the group is not held. Another pass can be named.
    #[must_use]
    pub fn note_too_late(self) -> MapSwitch<Prepared> {
        self.with(Prepared(()))
    }

    /// The rank has confirmed the hold.
    #[must_use]
    pub fn note_held(self) -> MapSwitch<HeldBefore> {
        let Holding { step, rank } = self.stage;
        let armed = vec![false; self.ranks];
        self.with(HeldBefore { step, rank, armed })
    }
}

impl MapSwitch<HeldBefore> {
    /// A switch that a former holder of the lease left after it had held the group. `version` is
    /// prepared on every rank, which is why the group was held.
    #[must_use]
    pub fn resume(version: u64, epoch: u64, ranks: usize, step: u64, rank: usize) -> Self {
        Self { version, epoch, ranks, stage: HeldBefore { step, rank, armed: vec![false; ranks] } }
    }

    /// The order that arms a rank.
    #[must_use]
    pub const fn arm_order(&self) -> RankOrder {
        RankOrder::Arm { version: self.version, step: self.stage.step }
    }

    /// A rank has confirmed that it is armed.
    pub fn note_armed(&mut self, rank: usize) {
        if let Some(armed) = self.stage.armed.get_mut(rank) {
            *armed = true;
        }
    }

    /// Ranks that have not confirmed yet.
    pub fn missing(&self) -> impl Iterator<Item = usize> {
        (0..self.ranks).filter(|rank| !self.stage.armed[*rank])
    }

    /// Goes on once every rank is armed.
    ///
    /// # Errors
    ///
    /// Gives the switch back while a rank is missing.
    pub fn complete(self) -> Result<MapSwitch<Armed>, Self> {
        if self.stage.armed.iter().any(|armed| !armed) {
            return Err(self);
        }
        let HeldBefore { step, rank, .. } = self.stage;
        Ok(MapSwitch {
            version: self.version,
            epoch: self.epoch,
            ranks: self.ranks,
            stage: Armed { step, rank },
        })
    }
}

impl MapSwitch<Armed> {
    /// The order that lets the group begin the pass.
    #[must_use]
    pub const fn release_order(&self) -> RankOrder {
        RankOrder::Release { step: self.stage.step }
    }

    /// The rank that gets it.
    #[must_use]
    pub const fn rank(&self) -> usize {
        self.stage.rank
    }
}
