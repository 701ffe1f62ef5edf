//! The next order that a rank's daemon gives to its engine.
//!
//! An engine keeps the map in use and one more map, staged or committed. It may have been restarted and
//! know nothing. Each order follows from what the engine shows and from the records read.

use super::GroupMaps;
use crate::ids::Offset;

/// A map that an engine's rank holds beside the one in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineStagedMap {
    /// Its version.
    pub version: u64,
    /// The first step that uses it.
    pub step: u64,
    /// Whether it is committed.
    pub is_committed: bool,
}

/// One rank as its engine shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineRankState {
    /// The step that the group runs next.
    pub next_step: u64,
    /// Version of the map in use; 0 for none.
    pub version: u64,
    /// Steps below this one are granted.
    pub granted_until: u64,
    /// The other map.
    pub staged: Option<EngineStagedMap>,
}

impl EngineRankState {
    /// Version of the map that the next step would use.
    #[must_use]
    pub fn next_version(&self) -> u64 {
        let due = self.staged.filter(|s| s.is_committed && s.step <= self.next_step);
        due.map_or(self.version, |staged| staged.version)
    }
}

/// An order to a rank of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load this map for this step.
    Stage {
        /// Version of the map.
        version: u64,
        /// The first step that would use it.
        step: u64,
    },
    /// The staged map is committed or dropped.
    Decide {
        /// Version of the map.
        version: u64,
        /// Whether it is committed.
        commit: bool,
    },
    /// Steps below this one may run.
    Grant {
        /// The first step that is not granted.
        until_step: u64,
    },
}

/// The version under which engines know the map of a change; 0 is an engine without a map.
#[must_use]
pub const fn map_version(change: Offset) -> u64 {
    change.0 + 1
}

/// Whether the rank can take another map: the newest one is in use, so the second place is free.
#[must_use]
pub fn can_stage(engine: &EngineRankState, maps: &GroupMaps) -> bool {
    maps.newest().is_none_or(|newest| engine.version == map_version(newest.change))
}

/// The next order to the engine, or `None` if it has all it needs. `staged` is the pending change that
/// this rank has staged, and `limit` the first step that its gate does not grant.
#[must_use]
pub fn next_engine_order(
    engine: &EngineRankState,
    maps: &GroupMaps,
    staged: Option<Offset>,
    limit: Option<u64>,
) -> Option<EngineOrder> {
    let pending = maps.pending().filter(|pending| Some(pending.change) == staged);
    let pending = pending.map(|pending| (map_version(pending.change), pending.step, false));
    let Some(present) = maps.map_of_step(engine.next_step) else {
        return pending.and_then(|wanted| hold(engine, wanted));
    };
    let version = map_version(present.change);
    if engine.next_version() != version {
        return hold(engine, (version, engine.next_step, true));
    }
    let newest = maps.newest().filter(|newest| newest.step > engine.next_step);
    let ahead = newest.map(|newest| (map_version(newest.change), newest.step, true)).or(pending);
    // A committed map that the next step will use keeps the second place until that step has run.
    let is_free = engine.version == version;
    let order = match ahead {
        Some(wanted) if is_free => hold(engine, wanted),
        None => engine
            .staged
            .filter(|staged| !staged.is_committed)
            .map(|staged| EngineOrder::Decide { version: staged.version, commit: false }),
        Some(_) => None,
    };
    if order.is_some() {
        return order;
    }
    let until_step = match (limit?, newest) {
        (limit, Some(newest)) if !is_free => limit.min(newest.step),
        (limit, _) => limit,
    };
    (engine.granted_until < until_step).then_some(EngineOrder::Grant { until_step })
}

/// The order that brings the engine closer to holding a map beside the one in use.
fn hold(
    engine: &EngineRankState,
    (version, step, commit): (u64, u64, bool),
) -> Option<EngineOrder> {
    match engine.staged.filter(|staged| (staged.version, staged.step) == (version, step)) {
        None => Some(EngineOrder::Stage { version, step }),
        Some(staged) if commit && !staged.is_committed => {
            Some(EngineOrder::Decide { version, commit })
        }
        Some(_) => None,
    }
}
