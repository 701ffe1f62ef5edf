//! Follows what the requests of a group choose.

use futures_util::future::join_all;

use crate::clock::Timestamp;
use crate::controllers::expert_groups::{GroupPorts, ListedGroup};
use crate::decisions::expert_groups::{CountBook, ExpertDemand};
use crate::decisions::placement::LoadForecast;
use crate::gateway::GatewayState;
use crate::group_ports::RankClient as _;

/// Time between two reads of the counts, in milliseconds.
const COUNTS_MS: u64 = 250;

/// The demand on the experts of one formation of a group.
#[derive(Default)]
pub(super) struct DemandWatch {
    counts: CountBook,
    demand: ExpertDemand,
    read: Timestamp,
}

impl DemandWatch {
    /// Reads the counts of all ranks if it is time. Tells whether anything was learned.
    pub(super) async fn read(
        &mut self,
        state: &GatewayState,
        ports: &GroupPorts,
        listed: &ListedGroup,
    ) -> bool {
        let now = state.clock.now();
        if now.ms_since(self.read) < COUNTS_MS {
            return false;
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
        let Some(chosen) = total else { return false };
        self.demand.take(&chosen, state.clock.now());
        true
    }

    /// What placement works with, once enough was chosen.
    pub(super) fn forecast(&self, ranks: usize) -> Option<LoadForecast> {
        self.demand.forecast(ranks)
    }
}

fn add(left: &[Vec<u64>], right: &[Vec<u64>]) -> Vec<Vec<u64>> {
    let rows = left.iter().zip(right);
    rows.map(|(left, right)| left.iter().zip(right).map(|(a, b)| a + b).collect()).collect()
}
