//! Expert groups whose ranks take orders one by one: what they show, what they chose, and which map
//! comes next.

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::placement::{
    ChangeCosts, ExpertMap, LoadForecast, LoadReport, PlacementVerdict, PlacementView,
    decide_placement,
};
use crate::decisions::units::decay;
use crate::document::checked::{Objective, PlacementPolicy};
use crate::routes::raw::ExpertShape;

/// An order to one rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankOrder {
    /// Copy the weights of a map, and keep it beside the one in use.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Experts by set and then by rank.
        experts: Vec<Vec<Vec<usize>>>,
    },
    /// Switch to a prepared map as a pass begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Do not begin a pass until it is released.
    Hold {
        /// The pass.
        step: u64,
    },
    /// A held pass may begin.
    Release {
        /// The pass.
        step: u64,
    },
}

/// What a rank says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// It is carried out, or was already.
    Done,
    /// It does not fit the rank's state.
    Refused,
    /// The address belongs to another server now.
    OtherServer,
    /// No reply: it may have been carried out, or may be later.
    Unknown,
}

/// What a rank shows of itself, some hundred milliseconds ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankStatus {
    /// The last pass that was begun.
    pub step: u64,
    /// Version of the map in use; 0 is the one that groups form with.
    pub map: u64,
    /// Versions whose weights are there beside the map in use.
    pub prepared: Vec<u64>,
    /// The switch that it is armed for: version and pass.
    pub armed: Option<(u64, u64)>,
    /// The pass that it holds.
    pub held: Option<u64>,
}

/// How often the requests of one rank have chosen each expert.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RankCounts {
    /// The formation of the group.
    pub epoch: u64,
    /// Counts since the rank started, by set and then by expert.
    pub counts: Vec<Vec<u64>>,
}

/// What the last counts of each rank were, to tell what was chosen since.
#[derive(Clone, Debug, Default)]
pub struct CountBook {
    epoch: u64,
    last: Vec<Option<Vec<Vec<u64>>>>,
}

impl CountBook {
    /// Takes the counts of a rank, and gives what was chosen there since its last ones. The first counts
    /// of a rank, and those after a restart, give nothing.
    pub fn take(&mut self, rank: usize, counts: &RankCounts) -> Option<Vec<Vec<u64>>> {
        if counts.epoch != self.epoch {
            self.epoch = counts.epoch;
            self.last.clear();
        }
        if self.last.len() <= rank {
            self.last.resize(rank + 1, None);
        }
        let former = self.last[rank].replace(counts.counts.clone());
        let former = former?;
        let sets = counts.counts.iter().zip(&former);
        sets.map(|(new, old)| {
            // A count that has fallen was started anew.
            new.iter().zip(old).map(|(new, old)| new.checked_sub(*old)).collect()
        })
        .collect()
    }
}

/// A count weighs a third after this time, in milliseconds. Demand shifts within seconds, and some ten
/// thousand choices a second leave little noise in a window of this length.
const DEMAND_MS: u64 = 300;

/// What was chosen lately, by set and then by expert. Older choices weigh less.
#[derive(Clone, Debug, Default)]
pub struct ExpertDemand {
    recent: Vec<Vec<f64>>,
    taken: Timestamp,
}

impl ExpertDemand {
    /// Takes in what was chosen since the last time.
    pub fn take(&mut self, chosen: &[Vec<u64>], now: Timestamp) {
        let left = decay(now.ms_since(self.taken), DEMAND_MS);
        self.taken = now;
        self.recent.resize(chosen.len(), Vec::new());
        for (recent, chosen) in self.recent.iter_mut().zip(chosen) {
            recent.resize(chosen.len(), 0.0);
            for (recent, chosen) in recent.iter_mut().zip(chosen) {
                let chosen = f64::from(u32::try_from(*chosen).unwrap_or(u32::MAX));
                *recent = recent.mul_add(left, chosen);
            }
        }
    }

    /// The forecast that placement works with: what was chosen lately goes on.
    #[must_use]
    pub fn forecast(&self, ranks: usize) -> Option<LoadForecast> {
        let total = self.recent.iter().flatten().sum::<f64>();
        if total < MIN_CHOICES {
            return None;
        }
        let mut forecast = LoadForecast::new();
        let speeds = vec![1.0; ranks];
        forecast.observe(&LoadReport { ended: self.taken, tokens: &self.recent, speeds: &speeds });
        Some(forecast)
    }
}

/// Choices below which demand is noise.
const MIN_CHOICES: f64 = 2_000.0;

/// The step after the present one by which all orders of a switch have arrived, when a pass takes
/// `pass_ms` and a status is `lag_ms` old. The lead is a time, because idle groups have short passes.
#[must_use]
pub fn switch_step(present: u64, pass_ms: u64, lead_ms: u64) -> u64 {
    present + 2 + lead_ms.div_ceil(pass_ms.max(1))
}

/// How long before a switch the group is asked to hold when every order gets a reply, in milliseconds. The
/// ranks are armed before that, and no pass waits.
const LEAD_MS: u64 = 60;
/// The same when orders go without a reply, in milliseconds. An order is given again every 200 ms; with
/// half of them lost, a dozen ranks have all replied after five to seven rounds.
const LOSSY_LEAD_MS: u64 = 1_500;

/// How long before a switch the group is asked to hold, when `lost` of the orders to prepare it got no
/// reply. A group that reaches the held pass stands still until its ranks are armed.
#[must_use]
pub const fn switch_lead_ms(lost: usize) -> u64 {
    if lost == 0 { LEAD_MS } else { LOSSY_LEAD_MS }
}

/// A switch has a price: orders to every rank, and weights that are copied. It is made only if it is
/// expected to pay within this time, in milliseconds; demand shifts within seconds.
const HORIZON_MS: f64 = 6_000.0;
/// What one copied expert costs the group, in milliseconds of its time: passes take 15 in 100 longer
/// while a rank copies, which takes some 400 ms for each expert, and all ranks copy at once.
const COPY_MS: f64 = 5.0;
/// What a switch costs besides, in milliseconds of the group's time.
const SWITCH_MS: f64 = 20.0;

/// The next map of a group, if one pays off. No rank gets more than `max_new` new experts in a set, nor
/// more than `max_copies` in all, since ranks copy one after the other.
#[must_use]
pub fn next_map(
    now: Timestamp,
    map: &ExpertMap,
    forecast: &LoadForecast,
    shape: &ExpertShape,
    max_copies: usize,
) -> Option<ExpertMap> {
    let costs = ChangeCosts { load_ms: COPY_MS, stall_ms: SWITCH_MS, horizon_ms: HORIZON_MS };
    let mut max_moves = map.ranks * max_copies;
    while max_moves > 0 {
        let policy = PlacementPolicy {
            objective: Objective::Skew,
            max_moves: u32::try_from(max_moves).unwrap_or(u32::MAX),
            min_interval_ms: 0,
        };
        let view =
            PlacementView { now, map, forecast, policy: &policy, costs: &costs, changed: None };
        let PlacementVerdict::Change(change) = decide_placement(&view) else { return None };
        if fits(map, &change.map, shape.max_new, max_copies) {
            return Some(change.map);
        }
        max_moves = max_moves * 3 / 4;
    }
    None
}

/// How much longer a pass takes than with perfectly even ranks, as a factor of the part of it that
/// experts take: the mean over all sets of the most loaded rank over the mean rank.
#[must_use]
pub(crate) fn imbalance(map: &ExpertMap, shares: &[Vec<f64>]) -> f64 {
    let sets = map.layers.iter().zip(shares);
    let slowest = sets.map(|(experts, shares)| {
        let mut ranks = vec![0.0_f64; map.ranks];
        for (holders, share) in experts.iter().zip(shares) {
            let part = share / f64::from(u32::try_from(holders.len()).unwrap_or(u32::MAX));
            for rank in holders {
                ranks[*rank] += part;
            }
        }
        ranks.into_iter().fold(0.0, f64::max)
    });
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    slowest.sum::<f64>() * count(map.ranks) / count(map.layers.len().max(1))
}

fn fits(map: &ExpertMap, next: &ExpertMap, max_new: usize, max_copies: usize) -> bool {
    let mut by_set = vec![vec![0_usize; map.layers.len()]; map.ranks];
    for step in map.moves_to(next) {
        by_set[step.rank][step.layer] += 1;
    }
    by_set.iter().all(|sets| {
        sets.iter().all(|new| *new <= max_new) && sets.iter().sum::<usize>() <= max_copies
    })
}

/// What the holder of a lease finds when it looks at a group for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// No switch is under way.
    Nothing,
    /// The group is held, or ranks are armed: the switch to `version` at `step` must be finished.
    Switch {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
        /// The rank that holds.
        rank: usize,
    },
    /// The group is held before `step` for a switch that cannot have armed any rank.
    Hold {
        /// The pass.
        step: u64,
        /// The rank that holds.
        rank: usize,
    },
}

/// Holds that ranks show, as rank and pass.
///
/// After a switch has been released, each of them may be released as well. A hold before the pass of the
/// switch is a late copy of its own, and all ranks are armed for that pass; a hold before another pass
/// is a late one of a former holder of the lease, which armed no rank because it never learned that
/// the group was held.
#[must_use]
pub fn late_holds(ranks: &[RankStatus]) -> Vec<(usize, u64)> {
    let held = ranks.iter().enumerate();
    held.filter_map(|(rank, status)| Some((rank, status.held?))).collect()
}

/// Judges what ranks show after a takeover. `proposed` is the version of the last proposal in the log.
///
/// A hold is the former holder's decision to go forward: it was made only after every rank was
/// prepared. So a held group is switched wherever every rank has the map, also when no rank shows
/// as armed, because orders to arm may still be on their way.
#[must_use]
pub fn find_switch(ranks: &[RankStatus], proposed: Option<u64>) -> Found {
    let held = ranks.iter().enumerate().find_map(|(rank, status)| Some((rank, status.held?)));
    let armed = ranks.iter().enumerate().find_map(|(rank, status)| Some((rank, status.armed?)));
    let version = armed.map(|(_, (version, _))| version).or(proposed);
    let all_have = |version: u64| {
        ranks.iter().all(|status| {
            status.map == version
                || status.prepared.contains(&version)
                || status.armed.is_some_and(|(armed, _)| armed == version)
        })
    };
    match (held, version) {
        (Some((rank, step)), Some(version)) if all_have(version) => {
            Found::Switch { version, step, rank }
        }
        (Some((rank, step)), _) => Found::Hold { step, rank },
        (None, _) => match armed {
            Some((rank, (version, step))) => Found::Switch { version, step, rank },
            None => Found::Nothing,
        },
    }
}
