//! Follows what the requests of a group choose.

use futures_util::future::join_all;

use crate::clock::Timestamp;
use crate::controllers::expert_groups::{GroupPorts, ListedGroup};
use crate::decisions::expert_groups::{CountTracker, ExpertDemand, GroupDemand};
use crate::gateway::GatewayState;
use crate::group_ports::RankClient as _;

/// Time between two reads of the counts, in milliseconds.
const COUNTS_MS: u64 = 100;

/// Ranks whose counts are read at a time. Requests are spread over all ranks, so these show the demand of the
/// group; those of larger groups are read in turns, and the cost of a look does not grow with the group.
const READ_AT_ONCE: usize = 12;

/// Slowdown of a rank that runs at its usual speed, in percent.
const NOMINAL_SLOWDOWN_PERCENT: u32 = 100;
/// A slowdown that changes by at least this much is logged, in percentage points.
const LOGGED_CHANGE_PERCENT: u32 = 20;

/// What a look at the counts has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Demand {
    /// Nothing.
    Unknown,
    /// It goes on as before.
    Known,
    /// Other experts are chosen than before.
    Jumped,
}

/// The demand on the experts of one formation of a group.
#[derive(Default)]
pub(super) struct DemandWatch {
    counts: CountTracker,
    demand: ExpertDemand,
    /// The last slowdown of each rank, in percent.
    slowdowns: Vec<u32>,
    /// Holds that the last look showed, as rank and pass.
    held: Vec<(usize, u64)>,
    read: Timestamp,
    /// Which ranks the next look reads, where there are several turns.
    turn: usize,
}

impl DemandWatch {
    /// Reads the counts of all ranks, or of those whose turn it is, if it is time.
    pub(super) async fn read(
        &mut self,
        state: &GatewayState,
        ports: &GroupPorts,
        listed: &ListedGroup,
    ) -> Demand {
        let now = state.clock.now();
        if now.ms_since(self.read) < COUNTS_MS {
            return Demand::Unknown;
        }
        // The first look reads all, so that each rank's next counts tell what was chosen since.
        let is_first = self.read == Timestamp::default();
        self.read = now;
        let turns = if is_first { 1 } else { listed.ranks.len().div_ceil(READ_AT_ONCE).max(1) };
        self.turn = (self.turn + 1) % turns;
        let due = || listed.ranks.iter().enumerate().skip(self.turn).step_by(turns);
        let asked = due().map(|(_, rank)| ports.ranks.counts(rank, listed.shape.experts));
        let replies = join_all(asked).await;
        let replies: Vec<_> = due().map(|(rank, _)| rank).zip(replies).collect();
        let mut total: Option<Vec<Vec<u64>>> = None;
        self.held.clear();
        for (rank, counts) in replies {
            let Some(counts) = counts.filter(|counts| counts.epoch == listed.epoch) else {
                continue;
            };
            self.update_slowdown(state, listed, rank, counts.slowdown_percent);
            self.held.extend(counts.held_step.map(|step| (rank, step)));
            let Some(chosen) = self.counts.record(rank, &counts) else { continue };
            total = Some(match total {
                None => chosen,
                Some(total) => add(&total, &chosen),
            });
        }
        let Some(chosen) = total else { return Demand::Unknown };
        if self.demand.record(&chosen, state.clock.now()) { Demand::Jumped } else { Demand::Known }
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
        let former = std::mem::replace(&mut self.slowdowns[rank], percent);
        let endpoint = &listed.ranks[rank].endpoint;
        state.record_slowdown(endpoint, percent);
        if former.abs_diff(percent) >= LOGGED_CHANGE_PERCENT {
            log::info!("pace changed server={endpoint} percent={percent} former={former}");
        }
    }

    /// Holds that the last look showed. Between two switches there is no reason for any: a late order of an
    /// earlier switch, for which no rank is armed.
    pub(super) fn held(&self) -> &[(usize, u64)] {
        &self.held
    }

    /// Whether the group has had no work for some time.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        self.demand.is_idle(now)
    }

    /// What a map is made for, once enough was chosen.
    pub(super) fn demand(&self, ranks: usize) -> Option<GroupDemand> {
        let shares = self.demand.shares()?;
        let slowdown = |rank| self.slowdowns.get(rank).copied().unwrap_or(NOMINAL_SLOWDOWN_PERCENT);
        let slowdowns = (0..ranks)
            .map(|rank| f64::from(slowdown(rank)) / f64::from(NOMINAL_SLOWDOWN_PERCENT))
            .collect();
        Some(GroupDemand { shares, slowdowns })
    }
}

fn add(left: &[Vec<u64>], right: &[Vec<u64>]) -> Vec<Vec<u64>> {
    let rows = left.iter().zip(right);
    rows.map(|(left, right)| left.iter().zip(right).map(|(a, b)| a + b).collect()).collect()
}
