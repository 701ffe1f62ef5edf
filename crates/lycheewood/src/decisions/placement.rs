//! Placement of experts: whether a group's expert map changes, and which experts move.
//!
//! All ranks wait for the slowest one in each layer, so a layer takes as long as its slowest rank. A
//! change is a set of small edits to the present map, found by a local search on forecast shares. It
//! is made only if the step time that it saves over the horizon exceeds the stall of the switch and
//! the price of the weights moved.

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

/// What a change of the map costs, and how long it is expected to last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeCosts {
    /// Time in which the weight store delivers one expert at its limited rate, in milliseconds.
    pub load_ms: f64,
    /// Time for which the whole group stalls when it switches maps, in milliseconds.
    pub stall_ms: f64,
    /// Time over which a change has to pay off, in milliseconds.
    pub horizon_ms: f64,
}

/// What a placement decision looks at.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// The present time.
    pub now: Timestamp,
    /// The map in force.
    pub map: &'a ExpertMap,
    /// The reports so far.
    pub forecast: &'a LoadForecast,
    /// The document's policy.
    pub policy: &'a PlacementPolicy,
    /// What a change costs.
    pub costs: &'a ChangeCosts,
    /// When the map was last changed, if it was.
    pub last_changed: Option<Timestamp>,
}

/// Whether the map changes.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// The map stays.
    Keep(KeepReason),
    /// The map changes.
    Change(PlacementChange),
}

/// Why the map stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeepReason {
    /// The last change is less than the policy's `min_interval_ms` ago.
    TooSoon,
    /// There is no report, or the reports or the map have another shape than the group.
    NoForecast,
    /// No change within the move budget pays off.
    NoNetGain,
}

/// A new map and the way to it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementChange {
    /// The new map.
    pub map: ExpertMap,
    /// Weights to load, at most the policy's `max_moves`.
    pub moves: Vec<ExpertMove>,
    /// Expected fall of the step time, as a share of the present one.
    pub gain: f64,
}

/// A layer is searched for this many times its even part of the move budget. The rest of a longer
/// search is rarely taken, since the layers compete for the budget.
const SEARCH_FACTOR: usize = 3;
/// Even part assumed when the budget is small.
const MIN_SEARCH_MOVES: usize = 4;

/// How an objective weighs step time against moves.
struct Weights {
    /// A layer whose slowest rank is within this factor of the bound is left alone.
    target: f64,
    /// The least expected fall of the step time for a change to be made. It keeps noise in the
    /// reports from moving experts.
    min_gain: f64,
    /// Step time that one load has to save, as a multiple of its load time.
    move_price: f64,
}

impl Weights {
    const fn of(objective: Objective) -> Self {
        match objective {
            Objective::Skew => Self { target: 1.01, min_gain: 0.005, move_price: 0.1 },
            Objective::Cost => Self { target: 1.03, min_gain: 0.02, move_price: 1.0 },
        }
    }

    /// Asks for a gain above the noise as well. A search that stops at the noise margin and starts
    /// right above it would make a change in nearly every period.
    fn with_noise(self, margins: &[f64]) -> Self {
        let layers = f64::from(u32::try_from(margins.len().max(1)).unwrap_or(u32::MAX));
        let min_gain = self.min_gain + margins.iter().sum::<f64>() / layers;
        Self { min_gain, ..self }
    }
}

/// Decides whether a group's expert map changes, and how.
///
/// The result is a function of the view alone. A changed map is valid whenever the present one is.
#[must_use]
pub fn decide_placement(view: &PlacementView<'_>) -> PlacementDecision {
    let too_soon = |changed| view.now.ms_since(changed) < view.policy.min_interval_ms;
    if view.last_changed.is_some_and(too_soon) {
        return PlacementDecision::Keep(KeepReason::TooSoon);
    }
    let shares = view.forecast.shares_at(view.now);
    let speeds = view.forecast.speeds();
    if !has_shape(view.map, &shares, speeds) {
        return PlacementDecision::Keep(KeepReason::NoForecast);
    }
    let margins = view.forecast.share_errors();
    let margins = margins.into_iter().map(|error| noise_margin(error, view.map.slots));
    let margins = margins.collect::<Vec<_>>();
    let weights = Weights::of(view.policy.objective).with_noise(&margins);
    let budget = usize::try_from(view.policy.max_moves).unwrap_or(usize::MAX);
    let even = budget / view.map.layers.len();
    let search_moves = budget.min(SEARCH_FACTOR * even.max(MIN_SEARCH_MOVES));
    let layers = view.map.layers.iter().zip(&shares);
    let layers =
        layers.map(|(holders, shares)| Layer::new(holders, shares, speeds, view.map.slots));
    let plans = layers
        .zip(&margins)
        .map(|(layer, margin)| Plan::of(layer, weights.target + margin, search_moves));
    let plans = plans.collect::<Vec<_>>();
    worthwhile_change(view, &weights, plans, budget)
        .map_or(PlacementDecision::Keep(KeepReason::NoNetGain), PlacementDecision::Change)
}

/// How far above the bound the slowest rank of a perfectly placed layer seems to be, because its
/// shares are known only up to `error`. Errors of a rank's experts partly cancel out; the slowest of
/// a few dozen ranks is about two standard deviations above the mean.
fn noise_margin(error: f64, slots: usize) -> f64 {
    2.0 * error / f64::from(u32::try_from(slots.max(1)).unwrap_or(u32::MAX)).sqrt()
}

fn worthwhile_change(
    view: &PlacementView<'_>,
    weights: &Weights,
    mut plans: Vec<Plan<'_>>,
    budget: usize,
) -> Option<PlacementChange> {
    let before = plans.iter().map(Plan::slowest).sum::<f64>();
    let price = weights.move_price * view.costs.load_ms;
    // The fall of the step time, in units of shares over speed, that pays for one move.
    let least_fall = price / view.costs.horizon_ms * before;
    budget::spend(&mut plans, budget, least_fall);
    let after = plans.iter().map(Plan::slowest).sum::<f64>();
    let gain = (before - after) / before;
    let layers = plans.into_iter().map(Plan::into_holders).collect();
    let map = ExpertMap { ranks: view.map.ranks, slots: view.map.slots, layers };
    let moves = view.map.moves_to(&map);
    let loads = f64::from(u32::try_from(moves.len()).unwrap_or(u32::MAX));
    let lasting_ms = loads.mul_add(-view.costs.load_ms, view.costs.horizon_ms);
    let pays = gain * lasting_ms > loads.mul_add(price, view.costs.stall_ms);
    (gain >= weights.min_gain && pays && !moves.is_empty()).then_some(PlacementChange {
        map,
        moves,
        gain,
    })
}

fn has_shape(map: &ExpertMap, shares: &[Vec<f64>], speeds: &[f64]) -> bool {
    let experts = map.layers.iter().map(Vec::len);
    !shares.is_empty()
        && speeds.len() == map.ranks
        && experts.eq(shares.iter().map(Vec::len))
        && map.check().is_ok()
}
