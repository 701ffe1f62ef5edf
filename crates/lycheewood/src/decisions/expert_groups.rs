//! Expert groups whose ranks take orders one by one: what they show, what they chose, and which map
//! comes next.

mod refine;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::placement::ExpertMap;
use crate::decisions::units::decay;
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
    /// The address belongs to another endpoint now.
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
    #[serde(rename = "map")]
    pub map_version: u64,
    /// Versions whose weights are there beside the map in use.
    #[serde(rename = "prepared")]
    pub prepared_versions: Vec<u64>,
    /// The switch that it is armed for: version and pass.
    #[serde(rename = "armed")]
    pub armed_switch: Option<(u64, u64)>,
    /// The pass that it holds.
    #[serde(rename = "held")]
    pub held_step: Option<u64>,
}

/// How often the requests of one rank have chosen each expert, and what else a look at it shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCounts {
    /// The formation of the group.
    pub epoch: u64,
    /// Time that its work takes, in percent of the usual; 0 where it is not known.
    #[serde(rename = "pace_percent")]
    pub slowdown_percent: u32,
    /// The pass that it holds.
    #[serde(rename = "held")]
    pub held_step: Option<u64>,
    /// Counts since the rank started, by set and then by expert.
    pub counts: Vec<Vec<u64>>,
}

/// What the last counts of each rank were, to tell what was chosen since.
#[derive(Clone, Debug, Default)]
pub struct CountTracker {
    epoch: u64,
    last: Vec<Option<Vec<Vec<u64>>>>,
}

impl CountTracker {
    /// Takes the counts of a rank, and gives what was chosen there since its last ones. The first counts
    /// of a rank, and those after a restart, give nothing.
    pub fn record(&mut self, rank: usize, counts: &RankCounts) -> Option<Vec<Vec<u64>>> {
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
/// New choices that agree with recent ones by less than this, as the common part of both shares, show that
/// demand has jumped. Noise and the mix of requests leave 0.85 and more; a jump leaves 0.35 to 0.65.
const JUMP_OVERLAP: f64 = 0.75;
/// Choices in a set below which its shares are too noisy to tell a jump.
const MIN_JUMP_CHOICES: f64 = 500.0;

/// A group in which nothing was chosen for this long is idle, in milliseconds. A group under load chooses in each
/// pass, of which even slow ones take less.
const IDLE_MS: u64 = 500;

/// What was chosen lately, by set and then by expert. Older choices weigh less.
#[derive(Clone, Debug, Default)]
pub struct ExpertDemand {
    recent: Vec<Vec<f64>>,
    taken: Timestamp,
    /// When something was last chosen, or when the watch began.
    active: Option<Timestamp>,
}

impl ExpertDemand {
    /// Takes in what was chosen since the last time. Tells whether demand has jumped, in which case older
    /// choices are forgotten.
    pub fn record(&mut self, chosen: &[Vec<u64>], now: Timestamp) -> bool {
        let left = decay(now.ms_since(self.taken), DEMAND_MS);
        self.taken = now;
        if self.active.is_none() || chosen.iter().flatten().any(|count| *count > 0) {
            self.active = Some(now);
        }
        self.recent.resize(chosen.len(), Vec::new());
        let mut has_jumped = false;
        for (recent, chosen) in self.recent.iter_mut().zip(chosen) {
            let count = |count: &u64| f64::from(u32::try_from(*count).unwrap_or(u32::MAX));
            let chosen: Vec<f64> = chosen.iter().map(count).collect();
            recent.resize(chosen.len(), 0.0);
            let is_new = overlap(recent, &chosen).is_some_and(|overlap| overlap < JUMP_OVERLAP);
            has_jumped |= is_new;
            let left = if is_new { 0.0 } else { left };
            for (recent, chosen) in recent.iter_mut().zip(chosen) {
                *recent = recent.mul_add(left, chosen);
            }
        }
        has_jumped
    }

    /// Whether the group has had no work for some time. A group whose demand is not known yet is not idle.
    #[must_use]
    pub fn is_idle(&self, now: Timestamp) -> bool {
        self.active.is_some_and(|active| now.ms_since(active) >= IDLE_MS)
    }

    /// The share of each expert in its set, by set and then by expert, or `None` while too few were chosen.
    #[must_use]
    pub fn shares(&self) -> Option<Vec<Vec<f64>>> {
        let total = |set: &Vec<f64>| set.iter().sum::<f64>();
        if self.recent.is_empty() || self.recent.iter().any(|set| total(set) < MIN_CHOICES) {
            return None;
        }
        let share = |set: &Vec<f64>| set.iter().map(|chosen| chosen / total(set)).collect();
        Some(self.recent.iter().map(share).collect())
    }
}

/// The common part of two distributions, from 0 to 1, or `None` where one of them has too few choices.
fn overlap(left: &[f64], right: &[f64]) -> Option<f64> {
    let (all_left, all_right) = (left.iter().sum::<f64>(), right.iter().sum::<f64>());
    if all_left < MIN_JUMP_CHOICES || all_right < MIN_JUMP_CHOICES {
        return None;
    }
    let both = left.iter().zip(right);
    Some(both.map(|(left, right)| (left / all_left).min(right / all_right)).sum())
}

/// What a group's map is made for.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupDemand {
    /// The share of each expert in its set, by set and then by expert.
    pub shares: Vec<Vec<f64>>,
    /// Time that the work of each rank takes, as a multiple of the usual.
    pub slowdowns: Vec<f64>,
}

/// Choices in a set below which demand is noise.
const MIN_CHOICES: f64 = 700.0;

/// The step after the present one by which all orders of a switch have arrived, when a pass takes
/// `pass_ms` and a status is `lag_ms` old. The lead is a time, because idle groups have short passes.
#[must_use]
pub fn switch_step(present: u64, pass_ms: u64, lead_ms: u64) -> u64 {
    present + 1 + lead_ms.div_ceil(pass_ms.max(1))
}

/// How long before a switch the group is asked to hold when every order gets a reply, in milliseconds: the
/// next pass. Ranks are armed within some 20 ms, mostly before the present pass ends, and a hold that
/// comes after its begin is refused and given again.
const LEAD_MS: u64 = 0;
/// The same when orders go without a reply, in milliseconds. Agents give an order again every 35 ms; with
/// half of them lost, a dozen ranks have all replied after five to seven rounds.
const LOSSY_LEAD_MS: u64 = 200;

/// How long before a switch the group is asked to hold, when `lost` of the orders to prepare it got no
/// reply. A group that reaches the held pass stands still until its ranks are armed.
#[must_use]
pub const fn switch_lead_ms(lost: usize) -> u64 {
    if lost == 0 { LEAD_MS } else { LOSSY_LEAD_MS }
}

/// The least fall of [`imbalance`] for which a map is changed. While ranks copy, passes take 15 in 100 longer
/// for some 400 ms; a fall by this much pays that back in half a second.
const MIN_GAIN: f64 = 0.14;

/// The next map of a group, if one pays off. No rank gets more than `max_copies` new experts, since ranks
/// copy one after the other.
#[must_use]
pub fn next_map(
    map: &ExpertMap,
    demand: &GroupDemand,
    shape: &ExpertShape,
    max_copies: usize,
) -> Option<ExpertMap> {
    let has_shape = map.layers.iter().map(Vec::len).eq(demand.shares.iter().map(Vec::len));
    if !has_shape || demand.slowdowns.len() != map.ranks || map.check().is_err() {
        return None;
    }
    let next = refine::refine(map, demand, shape, max_copies);
    (imbalance(map, demand) - imbalance(&next, demand) >= MIN_GAIN).then_some(next)
}

/// The map that a group without demand gets: all slots are filled, so that demand may begin anywhere.
#[must_use]
pub fn idle_map(map: &ExpertMap, shape: &ExpertShape) -> Option<ExpertMap> {
    let next = refine::fill(map, shape.max_new);
    (next != *map).then_some(next)
}

/// How much longer a pass takes than with perfectly even ranks, as a factor of the part of it that
/// experts take: the mean over all sets of the slowest rank, over a mean rank of usual pace.
#[must_use]
pub fn imbalance(map: &ExpertMap, demand: &GroupDemand) -> f64 {
    let sets = map.layers.iter().zip(&demand.shares);
    let slowest = sets.map(|(experts, shares)| {
        let mut ranks = vec![0.0_f64; map.ranks];
        for (holders, share) in experts.iter().zip(shares) {
            let part = share / f64::from(u32::try_from(holders.len()).unwrap_or(u32::MAX));
            for rank in holders {
                ranks[*rank] += part;
            }
        }
        ranks
            .into_iter()
            .zip(&demand.slowdowns)
            .map(|(load, slowdown)| load * slowdown)
            .fold(0.0, f64::max)
    });
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    slowest.sum::<f64>() * count(map.ranks) / count(map.layers.len().max(1))
}

/// What the holder of a lease finds when it looks at a group for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnfinishedSwitch {
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
pub fn held_steps(ranks: &[RankStatus]) -> Vec<(usize, u64)> {
    let held = ranks.iter().enumerate();
    held.filter_map(|(rank, status)| Some((rank, status.held_step?))).collect()
}

/// Judges what ranks show after a takeover.
///
/// A hold is the former holder's decision to go forward: it was made only after every rank was
/// prepared. So a held group is switched wherever every rank has the map, also when no rank shows
/// as armed, because orders to arm may still be on their way. The map is then the newest that all ranks
/// have: ranks refuse to prepare an older one.
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
