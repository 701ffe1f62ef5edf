//! Allocates the move budget of a group to its layers, largest reduction per move first.

use super::layer::{AppliedEdit, Layer};

/// The edits that would improve one layer, and how many of them are accepted.
#[derive(Debug)]
pub(super) struct Plan<'a> {
    /// The layer before any edit.
    initial: Layer<'a>,
    initial_time: f64,
    edits: Vec<AppliedEdit>,
    /// Number of accepted edits.
    accepted: usize,
}

/// The next edits of a plan after the accepted ones, applied together.
#[derive(Clone, Copy)]
struct Run {
    edits: usize,
    moves: usize,
    reduction_per_move: f64,
}

impl<'a> Plan<'a> {
    pub(super) fn new(layer: Layer<'a>, target: f64, max_moves: usize) -> Self {
        let edits = layer.clone().improve(target, max_moves);
        Self { initial_time: layer.slowest_time(), initial: layer, edits, accepted: 0 }
    }

    /// Time of the slowest rank after the accepted edits.
    pub(super) fn slowest_time(&self) -> f64 {
        self.accepted.checked_sub(1).map_or(self.initial_time, |last| self.edits[last].slowest_time)
    }

    /// Returns the ranks of each expert after the accepted edits.
    pub(super) fn into_holders(mut self) -> Vec<Vec<usize>> {
        for applied in &self.edits[..self.accepted] {
            self.initial.apply(applied.edit);
        }
        self.initial.into_holders()
    }

    /// The run of edits with the largest reduction per move. One edit alone often brings little reduction,
    /// because another rank is nearly as slow.
    fn best_run(&self, max_moves: usize) -> Option<Run> {
        let time = self.slowest_time();
        let mut moves = 0;
        let mut cost = 0.0;
        let mut best: Option<Run> = None;
        for (index, applied) in self.edits[self.accepted..].iter().enumerate() {
            moves += applied.edit.moves();
            cost += if applied.edit.moves() == 1 { 1.0 } else { 2.0 };
            if moves > max_moves {
                break;
            }
            let reduction_per_move = (time - applied.slowest_time) / cost;
            if best.is_none_or(|run| reduction_per_move > run.reduction_per_move) {
                best = Some(Run { edits: index + 1, moves, reduction_per_move });
            }
        }
        best
    }
}

/// Accepts runs of edits until the budget is used or no run reduces the time of the slowest rank by at least
/// `min_reduction` per move.
pub(super) fn allocate_moves(plans: &mut [Plan<'_>], budget: usize, min_reduction: f64) {
    let mut moves_left = budget;
    let mut runs = plans.iter().map(|plan| plan.best_run(moves_left)).collect::<Vec<_>>();
    loop {
        let candidates = runs.iter().enumerate().filter_map(|(index, run)| run.map(|r| (index, r)));
        let best = candidates
            .max_by(|(_, a), (_, b)| a.reduction_per_move.total_cmp(&b.reduction_per_move));
        let Some((index, run)) = best else { return };
        if run.moves > moves_left {
            runs[index] = plans[index].best_run(moves_left);
            continue;
        }
        if run.reduction_per_move <= 0.0 || run.reduction_per_move < min_reduction {
            return;
        }
        plans[index].accepted += run.edits;
        moves_left -= run.moves;
        runs[index] = plans[index].best_run(moves_left);
    }
}
