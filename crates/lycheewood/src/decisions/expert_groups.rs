//! Expert groups whose ranks are controlled one by one: the status of the ranks, the demand on their
//! experts, and the next expert map.
//!
//! A pass is one forward pass of the whole group; orders and statuses give the number of a pass as `step`.
//! A set is a number of layers that share one placement, and has one entry in the layers of the map.

mod refine;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::placement::ExpertMap;
use crate::decisions::units::decay;
use crate::routes::raw::ExpertShape;

/// An order to one rank of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankOrder {
    /// Copy the weights of a map, and keep them beside those of the map in use.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Experts by set and then by rank.
        experts: Vec<Vec<Vec<usize>>>,
    },
    /// Switch to a prepared map at the start of a pass.
    Arm {
        /// Version of the map.
        version: u64,
        /// The first pass with the new map.
        step: u64,
    },
    /// Do not start a pass until it is released.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Start the held pass.
    Release {
        /// The pass.
        step: u64,
    },
}

/// The result of an order to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order has taken effect, now or when it was sent before.
    Done,
    /// The order does not fit the state of the rank.
    Refused,
    /// The address belongs to another endpoint now.
    OtherServer,
    /// No reply: the order may have taken effect, or may still do so.
    Unknown,
}

/// The status of a rank, which may be some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankStatus {
    /// The last pass that was started.
    pub step: u64,
    /// Version of the map in use; 0 is the initial map of a group.
    #[serde(rename = "map")]
    pub map_version: u64,
    /// Versions of the maps whose weights are loaded beside the map in use.
    #[serde(rename = "prepared")]
    pub prepared_versions: Vec<u64>,
    /// Version and pass of the switch that the rank is armed for.
    #[serde(rename = "armed")]
    pub armed_switch: Option<(u64, u64)>,
    /// The pass that the rank does not start until it is released.
    #[serde(rename = "held")]
    pub held_step: Option<u64>,
}

/// How often the requests of one rank selected each expert, with other readings of the same poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCounts {
    /// Number of the group's formation; a group that forms again gets another one.
    pub epoch: u64,
    /// Time that the rank's work takes, in percent of the usual time; 0 if it is not known.
    #[serde(rename = "pace_percent")]
    pub slowdown_percent: u32,
    /// The pass that the rank does not start until it is released.
    #[serde(rename = "held")]
    pub held_step: Option<u64>,
    /// Selections since the rank started, by set and then by expert.
    pub counts: Vec<Vec<u64>>,
}

/// The last counts of each rank, from which the selections since then are computed.
#[derive(Clone, Debug, Default)]
pub struct CountTracker {
    epoch: u64,
    last: Vec<Option<Vec<Vec<u64>>>>,
}

impl CountTracker {
    /// Stores the counts of a rank and returns the selections since the previous ones, by set and then by
    /// expert. Returns `None` for the first counts of a rank and for those after a restart.
    pub fn record(&mut self, rank: usize, counts: &RankCounts) -> Option<Vec<Vec<u64>>> {
        if counts.epoch != self.epoch {
            self.epoch = counts.epoch;
            self.last.clear();
        }
        if self.last.len() <= rank {
            self.last.resize(rank + 1, None);
        }
        let previous = self.last[rank].replace(counts.counts.clone());
        let previous = previous?;
        let sets = counts.counts.iter().zip(&previous);
        sets.map(|(new, old)| {
            // A count that is lower than before was reset by a restart.
            new.iter().zip(old).map(|(new, old)| new.checked_sub(*old)).collect()
        })
        .collect()
    }
}

/// Time after which the weight of a selection has fallen to a third, in milliseconds. Demand shifts within
/// seconds, and some ten thousand selections a second leave little noise in a window of this length.
const DEMAND_DECAY_MS: u64 = 300;
/// Demand has jumped if the shares of new and recent selections overlap by less than this. Noise and the mix
/// of requests leave an overlap of 0.85 or more; a jump leaves 0.35 to 0.65.
const JUMP_OVERLAP: f64 = 0.75;
/// Selections in a set below which its shares are too noisy to detect a jump.
const MIN_JUMP_SELECTIONS: f64 = 500.0;

/// A group without selections for this long is idle, in milliseconds. A group under load selects experts in
/// each pass, and even slow passes are shorter.
const IDLE_MS: u64 = 500;

/// Recent expert selections of a group, by set and then by expert, with exponentially decaying weight.
#[derive(Clone, Debug, Default)]
pub struct ExpertDemand {
    recent: Vec<Vec<f64>>,
    updated: Timestamp,
    /// When an expert was last selected, or when the first counts were recorded.
    last_active: Option<Timestamp>,
}

impl ExpertDemand {
    /// Adds the selections since the last call. Returns whether demand has jumped in a set, in which case
    /// the older selections of that set are discarded.
    pub fn record(&mut self, selected: &[Vec<u64>], now: Timestamp) -> bool {
        let decay_factor = decay(now.ms_since(self.updated), DEMAND_DECAY_MS);
        self.updated = now;
        if self.last_active.is_none() || selected.iter().flatten().any(|count| *count > 0) {
            self.last_active = Some(now);
        }
        self.recent.resize(selected.len(), Vec::new());
        let mut has_jumped = false;
        for (recent, selected) in self.recent.iter_mut().zip(selected) {
            let to_f64 = |count: &u64| f64::from(u32::try_from(*count).unwrap_or(u32::MAX));
            let selected: Vec<f64> = selected.iter().map(to_f64).collect();
            recent.resize(selected.len(), 0.0);
            let is_jump = overlap(recent, &selected).is_some_and(|overlap| overlap < JUMP_OVERLAP);
            has_jumped |= is_jump;
            let decay_factor = if is_jump { 0.0 } else { decay_factor };
            for (recent, selected) in recent.iter_mut().zip(selected) {
                *recent = recent.mul_add(decay_factor, selected);
            }
        }
        has_jumped
    }

    /// Whether the group has had no selections for some time. A group whose demand is not known yet is not
    /// idle.
    #[must_use]
    pub fn is_idle(&self, now: Timestamp) -> bool {
        self.last_active.is_some_and(|active| now.ms_since(active) >= IDLE_MS)
    }

    /// The share of each expert in the selections of its set, by set and then by expert, or `None` while a
    /// set has too few selections.
    #[must_use]
    pub fn shares(&self) -> Option<Vec<Vec<f64>>> {
        let total = |set: &Vec<f64>| set.iter().sum::<f64>();
        if self.recent.is_empty() || self.recent.iter().any(|set| total(set) < MIN_SELECTIONS) {
            return None;
        }
        let share = |set: &Vec<f64>| set.iter().map(|selected| selected / total(set)).collect();
        Some(self.recent.iter().map(share).collect())
    }
}

/// The overlap of two distributions, from 0 to 1, or `None` if one of them has too few selections.
fn overlap(left: &[f64], right: &[f64]) -> Option<f64> {
    let (left_total, right_total) = (left.iter().sum::<f64>(), right.iter().sum::<f64>());
    if left_total < MIN_JUMP_SELECTIONS || right_total < MIN_JUMP_SELECTIONS {
        return None;
    }
    let pairs = left.iter().zip(right);
    Some(pairs.map(|(left, right)| (left / left_total).min(right / right_total)).sum())
}

/// The load that a group's map is computed for.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupDemand {
    /// The share of each expert in the selections of its set, by set and then by expert.
    pub shares: Vec<Vec<f64>>,
    /// Time that the work of each rank takes, as a multiple of the usual time.
    pub slowdowns: Vec<f64>,
}

/// Selections in a set below which its shares are too noisy for computing a map. More are needed than for
/// detecting a jump, which only compares the overlap of two distributions.
const MIN_SELECTIONS: f64 = 700.0;

/// A pass after `current` that starts at least `lead_ms` from now, when a pass takes `pass_ms`, so that all
/// orders of a switch arrive before it. The lead is a time and not a number of passes, because idle groups
/// have short passes.
#[must_use]
pub fn switch_step(current: u64, pass_ms: u64, lead_ms: u64) -> u64 {
    current + 1 + lead_ms.div_ceil(pass_ms.max(1))
}

/// Time from the hold order to the held pass when every order gets a reply, in milliseconds. Ranks are armed and
/// confirmed within some 30 ms. A group that reaches the held pass before stands still, and each of its streams pauses for
/// longer; a map that is used one pass later costs less.
const HOLD_LEAD_MS: u64 = 30;
/// Time from the hold order to the held pass when orders get no reply, in milliseconds. Agents repeat an
/// order every 35 ms; if half of all orders are lost, a dozen ranks have all replied after five to seven rounds.
const LOSSY_HOLD_LEAD_MS: u64 = 200;

/// Time from the hold order to the held pass, in milliseconds, when `unanswered` of the orders to prepare
/// the switch got no reply. A group that reaches the held pass stalls until its ranks are armed.
#[must_use]
pub const fn switch_lead_ms(unanswered: usize) -> u64 {
    if unanswered == 0 { HOLD_LEAD_MS } else { LOSSY_HOLD_LEAD_MS }
}

/// The least reduction of [`imbalance`] for which a map is changed. While ranks copy weights, passes take 15 %
/// longer for some 400 ms; this reduction recovers the lost time in half a second.
const MIN_IMBALANCE_REDUCTION: f64 = 0.14;

/// The next map of a group, or `None` if no change reduces its imbalance enough. No rank gets more than
/// `max_copies` new experts, since a rank copies experts one after the other.
#[must_use]
pub fn next_map(
    map: &ExpertMap,
    demand: &GroupDemand,
    shape: &ExpertShape,
    max_copies: usize,
) -> Option<ExpertMap> {
    let shapes_match = map.layers.iter().map(Vec::len).eq(demand.shares.iter().map(Vec::len));
    if !shapes_match || demand.slowdowns.len() != map.ranks || map.check().is_err() {
        return None;
    }
    let next = refine::refine_map(map, demand, shape, max_copies);
    (imbalance(map, demand) - imbalance(&next, demand) >= MIN_IMBALANCE_REDUCTION).then_some(next)
}

/// The next map of an idle group, in which free slots hold second replicas, or `None` if it equals `map`. It is
/// not known on which experts demand will start.
#[must_use]
pub fn idle_map(map: &ExpertMap, shape: &ExpertShape) -> Option<ExpertMap> {
    let next = refine::fill_free_slots(map, shape.max_new_experts);
    (next != *map).then_some(next)
}

/// Time of the experts in a pass, as a multiple of the time with perfectly balanced ranks of usual speed:
/// the time of the slowest rank in each set, averaged over all sets, over that of a balanced rank.
#[must_use]
pub fn imbalance(map: &ExpertMap, demand: &GroupDemand) -> f64 {
    let sets = map.layers.iter().zip(&demand.shares);
    let slowest = sets.map(|(experts, shares)| {
        let mut loads = vec![0.0_f64; map.ranks];
        for (holders, share) in experts.iter().zip(shares) {
            let replica_share = share / f64::from(u32::try_from(holders.len()).unwrap_or(u32::MAX));
            for rank in holders {
                loads[*rank] += replica_share;
            }
        }
        loads
            .into_iter()
            .zip(&demand.slowdowns)
            .map(|(load, slowdown)| load * slowdown)
            .fold(0.0, f64::max)
    });
    let to_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    slowest.sum::<f64>() * to_f64(map.ranks) / to_f64(map.layers.len().max(1))
}

/// The state of a map switch that a new lease holder finds in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnfinishedSwitch {
    /// No switch is in progress.
    Nothing,
    /// The group is held, or ranks are armed: the switch to `version` at `step` must be completed.
    Switch {
        /// Version of the new map.
        version: u64,
        /// The first pass with the new map.
        step: u64,
        /// The rank that holds the pass, or an armed one if none does.
        rank: usize,
    },
    /// The group is held before the pass `step`, and no map is on all ranks, so no switch can be completed.
    Hold {
        /// The pass.
        step: u64,
        /// The rank that holds the pass.
        rank: usize,
    },
}

/// The ranks that hold a pass, each with that pass.
///
/// All of these holds may be released once a switch has been released. A hold before the pass of the
/// switch comes from a repeated order of the switch itself, and all ranks are armed for that pass. A hold
/// before another pass comes from a delayed order of a previous lease holder, which armed no rank because
/// it got no reply that the group was held.
#[must_use]
pub fn held_steps(ranks: &[RankStatus]) -> Vec<(usize, u64)> {
    let ranks = ranks.iter().enumerate();
    ranks.filter_map(|(rank, status)| Some((rank, status.held_step?))).collect()
}

/// Whether a hold before the pass `step` may be released without arming ranks: no rank is armed for that pass, or all
/// ranks use the same map in it.
#[must_use]
pub fn may_release_hold(ranks: &[RankStatus], step: u64) -> bool {
    let mut armed = ranks.iter().filter_map(|status| status.armed_switch);
    let Some((version, _)) = armed.find(|(_, armed_step)| *armed_step == step) else {
        return true;
    };
    ranks
        .iter()
        .all(|status| status.armed_switch == Some((version, step)) || status.map_version == version)
}

/// Derives the state of a switch from the statuses of all ranks after a lease takeover.
///
/// The previous holder sent a hold only after every rank was prepared. So the switch of a held group is
/// completed if every rank has the map, even if no rank is armed, because orders to arm may still be in
/// transit. The map is then the newest that all ranks have, since ranks refuse to prepare an older one.
#[must_use]
pub fn find_unfinished_switch(ranks: &[RankStatus]) -> UnfinishedSwitch {
    let held = ranks.iter().enumerate().find_map(|(rank, status)| Some((rank, status.held_step?)));
    let armed =
        ranks.iter().enumerate().find_map(|(rank, status)| Some((rank, status.armed_switch?)));
    let all_have = |version: u64| {
        ranks.iter().all(|status| {
            status.map_version == version
                || status.prepared_versions.contains(&version)
                || status.armed_switch.is_some_and(|(armed, _)| armed == version)
        })
    };
    let prepared = ranks.iter().flat_map(|status| &status.prepared_versions).copied();
    let newest = prepared.filter(|version| all_have(*version)).max();
    let version = armed.map(|(_, (version, _))| version).or(newest);
    match (held, version) {
        (Some((rank, step)), Some(version)) if all_have(version) => {
            UnfinishedSwitch::Switch { version, step, rank }
        }
        (Some((rank, step)), _) => UnfinishedSwitch::Hold { step, rank },
        (None, _) => match armed {
            Some((rank, (version, step))) => UnfinishedSwitch::Switch { version, step, rank },
            None => UnfinishedSwitch::Nothing,
        },
    }
}
