//! The life cycle of a switch of a group's expert map, on engines that accept orders for each rank.
//!
//! An armed rank switches when a given forward pass begins. A pass must never begin while some ranks
//! are armed for it and others are not, so the group is held before that pass until the status of every
//! rank shows that it is armed. A reply to the order to arm is not enough: a faulty rank may reply to another
//! call, or carry an order out seconds later. The states below make a late order harmless: the hold commits
//! the group to the switch, and nothing reverts it.

use crate::decisions::expert_groups::{RankOrder, RankStatus};
use crate::decisions::placement::ExpertMap;

/// Ranks copy weights. The map in use is not affected.
#[derive(Debug)]
pub struct Preparing {
    map: ExpertMap,
    prepared: Vec<bool>,
}

/// Every rank has loaded the new map in addition to the one in use.
#[derive(Debug)]
pub struct Prepared(());

/// A rank was ordered to hold the group before a pass. The order may or may not have been executed.
#[derive(Debug)]
pub struct Holding {
    step: u64,
    rank: usize,
}

/// The group is held: it does not begin the pass before it is released.
#[derive(Debug)]
pub struct Held {
    step: u64,
    rank: usize,
    armed: Vec<bool>,
}

/// The status of every rank shows that it is armed to switch when the pass begins, or that it uses the map.
#[derive(Debug)]
pub struct Armed {
    step: u64,
    rank: usize,
}

/// A switch of one group to one map, in the state `S`.
///
/// No rank can be armed before the group is held, and the group cannot be released before the status of every
/// rank has shown that it is armed:
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
///
/// ```compile_fail
/// use lycheewood::{MapSwitch, OrderReply, SwitchHeld};
///
/// fn confirm(switch: &mut MapSwitch<SwitchHeld>) {
///     // A reply to the order to arm confirms nothing.
///     switch.confirm(0, &OrderReply::Done);
/// }
/// ```
#[derive(Debug)]
pub struct MapSwitch<S> {
    version: u64,
    epoch: u64,
    ranks: usize,
    state: S,
}

impl<S> MapSwitch<S> {
    /// Version of the map: the log offset of the record that proposed it, so it is unique.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Epoch of the group that the switch is for. Ranks refuse its orders in any other epoch.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of ranks in the group.
    #[must_use]
    pub const fn ranks(&self) -> usize {
        self.ranks
    }

    fn transition<T>(self, state: T) -> MapSwitch<T> {
        MapSwitch { version: self.version, epoch: self.epoch, ranks: self.ranks, state }
    }
}

impl MapSwitch<Preparing> {
    /// Creates a switch to `map`, which a record of the log has proposed as `version`.
    #[must_use]
    pub fn propose(version: u64, epoch: u64, map: ExpertMap) -> Self {
        let ranks = map.ranks;
        Self { version, epoch, ranks, state: Preparing { map, prepared: vec![false; ranks] } }
    }

    /// The order that makes a rank copy the weights of the new map.
    #[must_use]
    pub fn prepare_order(&self) -> RankOrder {
        RankOrder::Prepare { version: self.version, experts: self.state.map.experts_by_rank() }
    }

    /// Records that a rank reports the new map as prepared.
    pub fn record_prepared(&mut self, rank: usize) {
        if let Some(prepared) = self.state.prepared.get_mut(rank) {
            *prepared = true;
        }
    }

    /// Ranks that have not reported the new map as prepared.
    pub fn pending_ranks(&self) -> impl Iterator<Item = usize> {
        (0..self.ranks).filter(|rank| !self.state.prepared[*rank])
    }

    /// The new map.
    #[must_use]
    pub const fn map(&self) -> &ExpertMap {
        &self.state.map
    }

    /// Completes the preparation once every rank is prepared.
    ///
    /// # Errors
    ///
    /// Returns the switch while a rank is not prepared.
    pub fn complete(self) -> Result<(MapSwitch<Prepared>, ExpertMap), Self> {
        if self.state.prepared.iter().any(|prepared| !prepared) {
            return Err(self);
        }
        let map = self.state.map.clone();
        Ok((self.transition(Prepared(())), map))
    }
}

impl MapSwitch<Prepared> {
    /// Starts to hold the group at `rank` before the pass `step`.
    #[must_use]
    pub fn hold(self, step: u64, rank: usize) -> MapSwitch<Holding> {
        self.transition(Holding { step, rank })
    }
}

impl MapSwitch<Holding> {
    /// The order that holds the group.
    #[must_use]
    pub const fn hold_order(&self) -> RankOrder {
        RankOrder::Hold { step: self.state.step }
    }

    /// The rank to send the hold order to.
    #[must_use]
    pub const fn rank(&self) -> usize {
        self.state.rank
    }

    /// Handles a refused hold: the pass had begun, so the group is not held and can be held before a
    /// later pass.
    #[must_use]
    pub fn hold_refused(self) -> MapSwitch<Prepared> {
        self.transition(Prepared(()))
    }

    /// Records that the rank has confirmed the hold.
    #[must_use]
    pub fn confirm_hold(self) -> MapSwitch<Held> {
        let Holding { step, rank } = self.state;
        let armed = vec![false; self.ranks];
        self.transition(Held { step, rank, armed })
    }
}

impl MapSwitch<Held> {
    /// Resumes a switch of a former lease holder that had held the group. `version` is prepared on every
    /// rank, since the group is held only after that.
    #[must_use]
    pub fn resume(version: u64, epoch: u64, ranks: usize, step: u64, rank: usize) -> Self {
        Self { version, epoch, ranks, state: Held { step, rank, armed: vec![false; ranks] } }
    }

    /// The order that arms a rank.
    #[must_use]
    pub const fn arm_order(&self) -> RankOrder {
        RankOrder::Arm { version: self.version, step: self.state.step }
    }

    /// Confirms a rank whose status shows that it is armed for this version and pass, or that it uses the map.
    /// Returns whether it does.
    pub fn confirm(&mut self, rank: usize, status: &RankStatus) -> bool {
        let switch = Some((self.version, self.state.step));
        let is_ready = status.armed_switch == switch || status.map_version == self.version;
        if is_ready && let Some(armed) = self.state.armed.get_mut(rank) {
            *armed = true;
        }
        is_ready
    }

    /// Ranks whose status has not shown that they are armed.
    pub fn pending_ranks(&self) -> impl Iterator<Item = usize> {
        (0..self.ranks).filter(|rank| !self.state.armed[*rank])
    }

    /// Completes the arming once every rank is confirmed.
    ///
    /// # Errors
    ///
    /// Returns the switch while a rank is not confirmed.
    pub fn complete(self) -> Result<MapSwitch<Armed>, Self> {
        if self.state.armed.iter().any(|armed| !armed) {
            return Err(self);
        }
        let Held { step, rank, .. } = self.state;
        Ok(MapSwitch {
            version: self.version,
            epoch: self.epoch,
            ranks: self.ranks,
            state: Armed { step, rank },
        })
    }
}

impl MapSwitch<Armed> {
    /// The order that lets the group begin the pass.
    #[must_use]
    pub const fn release_order(&self) -> RankOrder {
        RankOrder::Release { step: self.state.step }
    }

    /// The rank to send the release order to.
    #[must_use]
    pub const fn rank(&self) -> usize {
        self.state.rank
    }
}
