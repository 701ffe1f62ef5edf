//! Monitors the expert demand of a group, from counts that its ranks report.

use futures_util::future::join_all;

use crate::clock::Timestamp;
use crate::controllers::expert_groups::{GroupPorts, ListedGroup};
use crate::decisions::expert_groups::{CountTracker, ExpertDemand, GroupDemand};
use crate::gateway::GatewayState;
use crate::group_ports::RankClient as _;

/// Interval at which the counts are read, in milliseconds.
const COUNTS_INTERVAL_MS: u64 = 100;

/// Maximum number of ranks whose counts are read in one poll. Requests are spread over all ranks, so a
/// subset represents the group; larger groups are read in rotating subsets to bound the cost of a poll.
const MAX_RANKS_PER_READ: usize = 12;

/// Slowdown of a rank that runs at normal speed, in percent.
const NOMINAL_SLOWDOWN_PERCENT: u32 = 100;
/// Change of a slowdown from which it is logged, in percentage points.
const MIN_LOGGED_CHANGE_PERCENT: u32 = 20;

/// Result of a poll of the counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DemandUpdate {
    /// No new counts were read.
    Missing,
    /// Demand has not jumped.
    Steady,
    /// Demand has shifted to other experts.
    Jumped,
}

/// The demand on the experts of one formation of a group.
#[derive(Default)]
pub(super) struct DemandMonitor {
    counts: CountTracker,
    demand: ExpertDemand,
    /// The last slowdown of each rank, in percent.
    slowdowns: Vec<u32>,
    /// Holds reported in the last poll, as rank and pass.
    held_steps: Vec<(usize, u64)>,
    last_read: Timestamp,
    /// Index of the subset of ranks that was last read.
    subset: usize,
}

impl DemandMonitor {
    /// Reads the counts of all ranks, or of the next subset, if the interval has passed.
    pub(super) async fn poll(
        &mut self,
        state: &GatewayState,
        ports: &GroupPorts,
        listed: &ListedGroup,
    ) -> DemandUpdate {
        let now = state.clock.now();
        if now.ms_since(self.last_read) < COUNTS_INTERVAL_MS {
            return DemandUpdate::Missing;
        }
        // The first poll reads all ranks, as the base that later counts are compared with.
        let is_first = self.last_read == Timestamp::default();
        self.last_read = now;
        let subsets =
            if is_first { 1 } else { listed.ranks.len().div_ceil(MAX_RANKS_PER_READ).max(1) };
        self.subset = (self.subset + 1) % subsets;
        let due = || listed.ranks.iter().enumerate().skip(self.subset).step_by(subsets);
        let requests = due().map(|(_, rank)| ports.ranks.counts(rank, listed.shape.experts));
        let replies = join_all(requests).await;
        let replies: Vec<_> = due().map(|(rank, _)| rank).zip(replies).collect();
        let mut total: Option<Vec<Vec<u64>>> = None;
        self.held_steps.clear();
        for (rank, counts) in replies {
            let Some(counts) = counts.filter(|counts| counts.epoch == listed.epoch) else {
                continue;
            };
            self.update_slowdown(state, listed, rank, counts.slowdown_percent);
            self.held_steps.extend(counts.held_step.map(|step| (rank, step)));
            let Some(selections) = self.counts.record(rank, &counts) else { continue };
            total = Some(match total {
                None => selections,
                Some(total) => add_counts(&total, &selections),
            });
        }
        let Some(selections) = total else { return DemandUpdate::Missing };
        if self.demand.record(&selections, state.clock.now()) {
            DemandUpdate::Jumped
        } else {
            DemandUpdate::Steady
        }
    }

    fn update_slowdown(
        &mut self,
        state: &GatewayState,
        listed: &ListedGroup,
        rank: usize,
        percent: u32,
    ) {
        if percent == 0 {
            return;
        }
        self.slowdowns.resize(listed.ranks.len(), NOMINAL_SLOWDOWN_PERCENT);
        let previous = std::mem::replace(&mut self.slowdowns[rank], percent);
        let endpoint = &listed.ranks[rank].endpoint;
        state.record_slowdown(endpoint, percent);
        if previous.abs_diff(percent) >= MIN_LOGGED_CHANGE_PERCENT {
            log::info!(
                "rank slowdown changed server={endpoint} percent={percent} former={previous}"
            );
        }
    }

    /// Holds reported in the last poll, as rank and pass. Between switches, a hold comes from a delayed order
    /// of an earlier switch for which no rank is armed.
    pub(super) fn held_steps(&self) -> &[(usize, u64)] {
        &self.held_steps
    }

    /// Whether the group has had no selections for some time.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        self.demand.is_idle(now)
    }

    /// The demand to compute a map for, or `None` while there are too few selections.
    pub(super) fn demand(&self, ranks: usize) -> Option<GroupDemand> {
        let shares = self.demand.shares()?;
        let slowdown = |rank| self.slowdowns.get(rank).copied().unwrap_or(NOMINAL_SLOWDOWN_PERCENT);
        let slowdowns = (0..ranks)
            .map(|rank| f64::from(slowdown(rank)) / f64::from(NOMINAL_SLOWDOWN_PERCENT))
            .collect();
        Some(GroupDemand { shares, slowdowns })
    }
}

fn add_counts(left: &[Vec<u64>], right: &[Vec<u64>]) -> Vec<Vec<u64>> {
    let rows = left.iter().zip(right);
    rows.map(|(left, right)| left.iter().zip(right).map(|(a, b)| a + b).collect()).collect()
}
