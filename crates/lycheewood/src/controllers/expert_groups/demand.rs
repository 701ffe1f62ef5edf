//! Follows what the requests of a group choose.

use futures_util::future::join_all;

use crate::clock::Timestamp;
use crate::controllers::expert_groups::{GroupPorts, ListedGroup};
use crate::decisions::expert_groups::{CountBook, ExpertDemand};
use crate::gateway::GatewayState;
use crate::group_ports::RankClient as _;

/// Time between two reads of the counts, in milliseconds.
const COUNTS_MS: u64 = 100;

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
    counts: CountBook,
    demand: ExpertDemand,
    read: Timestamp,
}

impl DemandWatch {
    /// Reads the counts of all ranks if it is time.
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
        self.read = now;
        let asked = listed.ranks.iter().map(|rank| ports.ranks.counts(rank, listed.shape.experts));
        let replies = join_all(asked).await;
        let mut total: Option<Vec<Vec<u64>>> = None;
        for (rank, counts) in replies.into_iter().enumerate() {
            let Some(counts) = counts.filter(|counts| counts.epoch == listed.epoch) else {
                continue;
            };
            let Some(chosen) = self.counts.take(rank, &counts) else { continue };
            total = Some(match total {
                None => chosen,
                Some(total) => add(&total, &chosen),
            });
        }
        let Some(chosen) = total else { return Demand::Unknown };
        if self.demand.take(&chosen, state.clock.now()) { Demand::Jumped } else { Demand::Known }
    }

    /// The share of each expert in its set, once enough was chosen.
    pub(super) fn shares(&self) -> Option<Vec<Vec<f64>>> {
        self.demand.shares()
    }
}

fn add(left: &[Vec<u64>], right: &[Vec<u64>]) -> Vec<Vec<u64>> {
    let rows = left.iter().zip(right);
    rows.map(|(left, right)| left.iter().zip(right).map(|(a, b)| a + b).collect()).collect()
}
