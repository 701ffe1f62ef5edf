//! The next order of a rank's daemon to its engine.
//!
//! An engine holds the map in use and one more map, staged or committed. After a restart it holds none.
//! Each order is derived from the reported state of the engine and from the records read.

use super::GroupMaps;
use crate::ids::Offset;

/// A map that an engine holds beside the one in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineStagedMap {
    /// Version of the map.
    pub version: u64,
    /// The first step that uses the map.
    pub step: u64,
    /// Whether the map is committed.
    pub is_committed: bool,
}

/// The state of one rank, as its engine reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineRankState {
    /// The next step of the group.
    pub next_step: u64,
    /// Version of the map in use; 0 for none.
    pub version: u64,
    /// Steps below this one are granted.
    pub granted_until: u64,
    /// The map beside the one in use.
    pub staged_map: Option<EngineStagedMap>,
}

impl EngineRankState {
    /// Version of the map that the next step uses.
    #[must_use]
    pub fn next_version(&self) -> u64 {
        let due = self.staged_map.filter(|s| s.is_committed && s.step <= self.next_step);
        due.map_or(self.version, |staged| staged.version)
    }
}

/// An order to the engine of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a map for a step.
    Stage {
        /// Version of the map.
        version: u64,
        /// The first step that would use it.
        step: u64,
    },
    /// Commit or drop the staged map.
    Decide {
        /// Version of the map.
        version: u64,
        /// Whether the map is committed.
        commit: bool,
    },
    /// Allow steps to run.
    Grant {
        /// The first step that is not granted.
        until_step: u64,
    },
}

/// The version of a change's map in engines. Version 0 stands for no map.
#[must_use]
pub const fn map_version(change: Offset) -> u64 {
    change.0 + 1
}

/// Whether the engine can stage another map: the newest one is in use, so the staging slot is free.
#[must_use]
pub fn can_stage(engine: &EngineRankState, maps: &GroupMaps) -> bool {
    maps.newest().is_none_or(|newest| engine.version == map_version(newest.change))
}

/// The next order to the engine, or `None` if it needs none. `staged_change` is the pending change that this
/// rank has staged, and `limit` the first step that its gate does not grant.
#[must_use]
pub fn next_engine_order(
    engine: &EngineRankState,
    maps: &GroupMaps,
    staged_change: Option<Offset>,
    limit: Option<u64>,
) -> Option<EngineOrder> {
    let pending = maps.pending().filter(|pending| Some(pending.change) == staged_change);
    let pending = pending.map(|pending| (map_version(pending.change), pending.step, false));
    let Some(current) = maps.map_of_step(engine.next_step) else {
        return pending.and_then(|target| staging_order(engine, target));
    };
    let version = map_version(current.change);
    if engine.next_version() != version {
        return staging_order(engine, (version, engine.next_step, true));
    }
    let newest = maps.newest().filter(|newest| newest.step > engine.next_step);
    let upcoming = newest.map(|newest| (map_version(newest.change), newest.step, true)).or(pending);
    // A committed map that the next step uses occupies the staging slot until that step has run.
    let is_slot_free = engine.version == version;
    let order = match upcoming {
        Some(target) if is_slot_free => staging_order(engine, target),
        None => engine
            .staged_map
            .filter(|staged| !staged.is_committed)
            .map(|staged| EngineOrder::Decide { version: staged.version, commit: false }),
        Some(_) => None,
    };
    if order.is_some() {
        return order;
    }
    let until_step = match (limit?, newest) {
        (limit, Some(newest)) if !is_slot_free => limit.min(newest.step),
        (limit, _) => limit,
    };
    (engine.granted_until < until_step).then_some(EngineOrder::Grant { until_step })
}

/// The next order towards a staged or committed map beside the one in use.
fn staging_order(
    engine: &EngineRankState,
    (version, step, commit): (u64, u64, bool),
) -> Option<EngineOrder> {
    match engine.staged_map.filter(|staged| (staged.version, staged.step) == (version, step)) {
        None => Some(EngineOrder::Stage { version, step }),
        Some(staged) if commit && !staged.is_committed => {
            Some(EngineOrder::Decide { version, commit })
        }
        Some(_) => None,
    }
}
