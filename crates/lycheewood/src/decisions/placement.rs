//! Placement of experts: whether a group's expert map changes, and which experts move.
//!
//! All ranks wait for the slowest one in each layer, so the time of a layer is that of its slowest rank.
//! A change consists of small edits to the current map, which a local search on forecast shares finds. The
//! map changes only if the step time saved over the horizon exceeds the stall of the switch and the cost of
//! the weights moved.

mod budget;
mod forecast;
mod layer;
mod map;

pub use forecast::{LoadForecast, LoadReport};
pub use map::{ExpertMap, ExpertMapError, ExpertMove};

use crate::clock::Timestamp;
use crate::document::checked::{Objective, PlacementPolicy};
use budget::Plan;
use layer::Layer;

/// The costs of a map change, and the time over which it has to pay off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeCosts {
    /// Time to load one expert from the rate-limited weight store, in milliseconds.
    pub load_ms: f64,
    /// Time for which the whole group stalls during a switch of the map, in milliseconds.
    pub stall_ms: f64,
    /// Time over which a change has to pay off, in milliseconds.
    pub horizon_ms: f64,
}

/// Input of [`decide_placement`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// The current time.
    pub now: Timestamp,
    /// The current map.
    pub map: &'a ExpertMap,
    /// The forecast from the reports so far.
    pub forecast: &'a LoadForecast,
    /// The policy of the document.
    pub policy: &'a PlacementPolicy,
    /// The costs of a change.
    pub costs: &'a ChangeCosts,
    /// Time of the last change, if there was one.
    pub last_changed: Option<Timestamp>,
}

/// The result of a placement decision.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// The map is kept.
    Keep(KeepReason),
    /// The map changes.
    Change(PlacementChange),
}

/// Why the map is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeepReason {
    /// The last change is less than the policy's `min_interval_ms` ago.
    TooSoon,
    /// There is no report, the map is invalid, or the shapes of the map and the reports differ.
    NoForecast,
    /// No change within the move budget saves more than it costs.
    NoNetGain,
}

/// A new map and the moves that lead to it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementChange {
    /// The new map.
    pub map: ExpertMap,
    /// Weights to load, at most `max_moves` of the policy.
    pub moves: Vec<ExpertMove>,
    /// Expected reduction of the step time, as a share of the current one.
    pub gain: f64,
}

/// The search in a layer is limited to this many times the layer's even share of the move budget. Edits found
/// beyond that are rarely accepted, since the layers compete for the budget.
const SEARCH_FACTOR: usize = 3;
/// Lower bound of the even share, for small budgets.
const MIN_SEARCH_MOVES: usize = 4;

/// How an objective weighs step time against moves.
struct Weights {
    /// A layer is not changed if the time of its slowest rank is within this factor of the balanced time.
    target: f64,
    /// The least expected relative reduction of the step time. It keeps noise in the reports from moving
    /// experts.
    min_gain: f64,
    /// Time that each move has to save over the horizon, as a multiple of the time to load an expert.
    move_price: f64,
}

impl Weights {
    const fn new(objective: Objective) -> Self {
        match objective {
            Objective::Skew => Self { target: 1.01, min_gain: 0.005, move_price: 0.1 },
            Objective::Cost => Self { target: 1.03, min_gain: 0.02, move_price: 1.0 },
        }
    }

    /// Raises the least gain by the mean noise margin. Without that, a layer just above its noise margin
    /// would be changed in nearly every period.
    fn with_noise(self, margins: &[f64]) -> Self {
        let layers = f64::from(u32::try_from(margins.len().max(1)).unwrap_or(u32::MAX));
        let min_gain = self.min_gain + margins.iter().sum::<f64>() / layers;
        Self { min_gain, ..self }
    }
}

/// Decides whether a group's expert map changes, and how.
///
/// The result depends on the view only. A new map is valid if the current one is.
#[must_use]
pub fn decide_placement(view: &PlacementView<'_>) -> PlacementDecision {
    let too_soon = |changed| view.now.ms_since(changed) < view.policy.min_interval_ms;
    if view.last_changed.is_some_and(too_soon) {
        return PlacementDecision::Keep(KeepReason::TooSoon);
    }
    let shares = view.forecast.shares_at(view.now);
    let speeds = view.forecast.speeds();
    if !shapes_match(view.map, &shares, speeds) {
        return PlacementDecision::Keep(KeepReason::NoForecast);
    }
    let margins = view.forecast.share_errors();
    let margins = margins.into_iter().map(|error| noise_margin(error, view.map.slots));
    let margins = margins.collect::<Vec<_>>();
    let weights = Weights::new(view.policy.objective).with_noise(&margins);
    let budget = usize::try_from(view.policy.max_moves).unwrap_or(usize::MAX);
    let moves_per_layer = budget / view.map.layers.len();
    let search_moves = budget.min(SEARCH_FACTOR * moves_per_layer.max(MIN_SEARCH_MOVES));
    let layers = view.map.layers.iter().zip(&shares);
    let layers =
        layers.map(|(holders, shares)| Layer::new(holders, shares, speeds, view.map.slots));
    let plans = layers
        .zip(&margins)
        .map(|(layer, margin)| Plan::new(layer, weights.target + margin, search_moves));
    let plans = plans.collect::<Vec<_>>();
    profitable_change(view, &weights, plans, budget)
        .map_or(PlacementDecision::Keep(KeepReason::NoNetGain), PlacementDecision::Change)
}

/// How far the slowest rank of a perfectly balanced layer appears to be above the balanced time, relative to
/// it, if shares have a relative standard error of `error`. Errors of a rank's experts partly cancel out,
/// and the slowest of a few dozen ranks is about two standard deviations above the mean.
fn noise_margin(error: f64, slots: usize) -> f64 {
    2.0 * error / f64::from(u32::try_from(slots.max(1)).unwrap_or(u32::MAX)).sqrt()
}

fn profitable_change(
    view: &PlacementView<'_>,
    weights: &Weights,
    mut plans: Vec<Plan<'_>>,
    budget: usize,
) -> Option<PlacementChange> {
    let before = plans.iter().map(Plan::slowest_time).sum::<f64>();
    let price = weights.move_price * view.costs.load_ms;
    // The reduction of the step time, in shares over speed, that pays for one move.
    let min_reduction = price / view.costs.horizon_ms * before;
    budget::allocate_moves(&mut plans, budget, min_reduction);
    let after = plans.iter().map(Plan::slowest_time).sum::<f64>();
    let gain = (before - after) / before;
    let layers = plans.into_iter().map(Plan::into_holders).collect();
    let map = ExpertMap { ranks: view.map.ranks, slots: view.map.slots, layers };
    let moves = view.map.moves_to(&map);
    let move_count = f64::from(u32::try_from(moves.len()).unwrap_or(u32::MAX));
    let effective_ms = move_count.mul_add(-view.costs.load_ms, view.costs.horizon_ms);
    let is_profitable = gain * effective_ms > move_count.mul_add(price, view.costs.stall_ms);
    (gain >= weights.min_gain && is_profitable && !moves.is_empty()).then_some(PlacementChange {
        map,
        moves,
        gain,
    })
}

fn shapes_match(map: &ExpertMap, shares: &[Vec<f64>], speeds: &[f64]) -> bool {
    let experts = map.layers.iter().map(Vec::len);
    !shares.is_empty()
        && speeds.len() == map.ranks
        && experts.eq(shares.iter().map(Vec::len))
        && map.check().is_ok()
}
