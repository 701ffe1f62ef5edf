//! The step of a proposed change: far enough ahead for all ranks to stage the change before it.

use super::{GroupMaps, PendingChange, StageStatus};
use crate::clock::Timestamp;
use crate::ids::Offset;

/// Steps that are granted to an engine beyond its next step. A map change can only be proposed for a step that
/// is not granted yet. With fewer steps a slow reply of the daemon stalls the group.
pub const GRANT_AHEAD_STEPS: u64 = 16;
/// Maximum factor on the lead time of a proposal. The factor doubles after each change that came too late.
const MAX_LEAD_FACTOR: u64 = 16;

/// The progress of a group by the last report of one rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankProgress {
    /// The next step of the group.
    pub next_step: u64,
    /// Time of the rank in a step; 0 if it is unknown.
    pub step_ms: f64,
    /// When the engine measured this.
    pub measured: Timestamp,
}

impl RankProgress {
    /// The step that the group may have reached `ahead_ms` from now at the speed of this rank.
    fn reachable_step(&self, ahead_ms: u64, now: Timestamp) -> u64 {
        let elapsed_ms = ahead_ms.saturating_add(now.ms_since(self.measured));
        self.next_step.saturating_add(steps_in(elapsed_ms, self.step_ms))
    }
}

/// How far ahead of the group a lease holder proposes changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalLead {
    factor: u64,
    /// The last aborted change. The abort of a change is repeated until it is read back.
    last_aborted: Option<Offset>,
}

impl Default for ProposalLead {
    fn default() -> Self {
        Self::new()
    }
}

impl ProposalLead {
    /// The lead of a new lease holder, and the lead after each commit.
    #[must_use]
    pub const fn new() -> Self {
        Self { factor: 1, last_aborted: None }
    }

    /// Doubles the lead after the abort of a change that came too late: a rank refused it, or the group may have
    /// reached its step and stalled there. After other aborts a longer lead would only delay the next map, by a
    /// long time in a group whose steps take longer than its engines report. `ranks` has the progress that is
    /// known.
    pub fn record_abort(
        &mut self,
        pending: &PendingChange,
        statuses: &[StageStatus],
        ranks: &[RankProgress],
        now: Timestamp,
    ) {
        if self.last_aborted.replace(pending.change) == Some(pending.change) {
            return;
        }
        // All ranks run a step together, so each report limits how far the group has come.
        let reachable = ranks.iter().map(|rank| rank.reachable_step(0, now)).min();
        let may_have_reached = reachable.is_none_or(|reachable| reachable >= pending.step);
        if statuses.contains(&StageStatus::Refused) || may_have_reached {
            self.factor = (self.factor * 2).min(MAX_LEAD_FACTOR);
        }
    }

    /// The step for the next change, or `None` while a proposal could have no effect: no rank can stage a change
    /// before the group has run the first step of the newest map, and the step must be later than that of the
    /// last proposal, which may have been aborted. `ranks` has the progress reported by each rank, and `lead_ms`
    /// is the time that an order needs to reach all ranks.
    #[must_use]
    pub fn proposal_step(
        &self,
        maps: &GroupMaps,
        ranks: &[RankProgress],
        lead_ms: u64,
        now: Timestamp,
    ) -> Option<u64> {
        let next_step = ranks.iter().map(|rank| rank.next_step).max()?;
        let Some(newest) = maps.newest() else {
            // No rank runs a step without a map, so the first map applies from the next step on.
            return Some(next_step);
        };
        if next_step <= newest.step {
            return None;
        }
        let lead_ms = lead_ms.saturating_mul(self.factor);
        let reachable = ranks.iter().map(|rank| rank.reachable_step(lead_ms, now)).max()?;
        let step = reachable.saturating_add(GRANT_AHEAD_STEPS);
        (step > maps.last_proposed_step()).then_some(step)
    }
}

/// Number of steps that a group runs in `duration_ms`, rounded up. A step time below 1 ms counts as 1 ms, also
/// 0 for an unknown one.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a float conversion saturates, and the result is an estimate"
)]
fn steps_in(duration_ms: u64, step_ms: f64) -> u64 {
    (duration_ms as f64 / step_ms.max(1.0)).ceil() as u64
}
