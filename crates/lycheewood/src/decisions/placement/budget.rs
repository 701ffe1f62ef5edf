//! Spends one move budget over the layers of a group, best return first.

use super::layer::{Layer, Step};

/// The edits that would improve one layer, and how many of them are taken.
#[derive(Debug)]
pub(super) struct Plan<'a> {
    start: Layer<'a>,
    slowest: f64,
    steps: Vec<Step>,
    taken: usize,
}

/// A run of edits at the front of what a plan has left.
#[derive(Clone, Copy)]
struct Run {
    edits: usize,
    moves: usize,
    fall_per_move: f64,
}

impl<'a> Plan<'a> {
    pub(super) fn of(layer: Layer<'a>, target: f64, max_moves: usize) -> Self {
        let steps = layer.clone().improve(target, max_moves);
        Self { slowest: layer.slowest(), start: layer, steps, taken: 0 }
    }

    /// Time of the slowest rank after the edits taken.
    pub(super) fn slowest(&self) -> f64 {
        self.taken.checked_sub(1).map_or(self.slowest, |last| self.steps[last].slowest)
    }

    /// Ranks of each expert after the edits taken.
    pub(super) fn into_holders(mut self) -> Vec<Vec<usize>> {
        for step in &self.steps[..self.taken] {
            self.start.apply(step.edit);
        }
        self.start.into_holders()
    }

    /// The run with the largest fall per move. One edit alone often brings no fall, because another
    /// rank is nearly as slow; runs see past that.
    fn best_run(&self, max_moves: usize) -> Option<Run> {
        let now = self.slowest();
        let mut moves = 0;
        let mut cost = 0.0;
        let mut best: Option<Run> = None;
        for (index, step) in self.steps[self.taken..].iter().enumerate() {
            moves += step.edit.moves();
            cost += if step.edit.moves() == 1 { 1.0 } else { 2.0 };
            if moves > max_moves {
                break;
            }
            let fall_per_move = (now - step.slowest) / cost;
            if best.is_none_or(|run| fall_per_move > run.fall_per_move) {
                best = Some(Run { edits: index + 1, moves, fall_per_move });
            }
        }
        best
    }
}

/// Takes runs of edits until the budget is used or no run has a fall of `least_fall` for each move.
pub(super) fn spend(plans: &mut [Plan<'_>], budget: usize, least_fall: f64) {
    let mut left = budget;
    let mut runs = plans.iter().map(|plan| plan.best_run(left)).collect::<Vec<_>>();
    loop {
        let candidates = runs.iter().enumerate().filter_map(|(index, run)| run.map(|r| (index, r)));
        let best = candidates.max_by(|(_, a), (_, b)| a.fall_per_move.total_cmp(&b.fall_per_move));
        let Some((index, run)) = best else { return };
        if run.moves > left {
            runs[index] = plans[index].best_run(left);
            continue;
        }
        if run.fall_per_move <= 0.0 || run.fall_per_move < least_fall {
            return;
        }
        plans[index].taken += run.edits;
        left -= run.moves;
        runs[index] = plans[index].best_run(left);
    }
}
