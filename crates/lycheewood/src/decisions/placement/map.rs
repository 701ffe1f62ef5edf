//! The expert map of a group: which ranks hold which expert of which layer.

use serde::{Deserialize, Serialize};

/// Where the replicas of each expert are. Tokens of an expert are split evenly over its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Experts that one rank can hold in one layer.
    pub slots: usize,
    /// Ranks that hold a replica, by layer and then by expert.
    pub layers: Vec<Vec<Vec<usize>>>,
}

/// Why an [`ExpertMap`] cannot be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExpertMapError {
    /// An expert has no replica.
    #[error("layer {layer}: expert {expert} has no replica; place it on a rank")]
    NoReplica {
        /// Index of the layer.
        layer: usize,
        /// Index of the expert.
        expert: usize,
    },
    /// An expert names a rank twice or one that does not exist.
    #[error("layer {layer}: expert {expert} names an unknown rank or one rank twice")]
    WrongRank {
        /// Index of the layer.
        layer: usize,
        /// Index of the expert.
        expert: usize,
    },
    /// A rank holds more experts than it has slots.
    #[error("layer {layer}: rank {rank} holds more experts than it has slots; move one away")]
    TooManyExperts {
        /// Index of the layer.
        layer: usize,
        /// Index of the rank.
        rank: usize,
    },
}

/// One load of an expert's weights onto a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExpertMove {
    /// Index of the layer.
    pub layer: usize,
    /// Index of the expert whose weights are loaded.
    pub expert: usize,
    /// Rank that loads them.
    pub rank: usize,
}

impl ExpertMap {
    /// A map that deals the experts of each layer to the ranks in turn, one replica each.
    ///
    /// It is valid when `experts` is at most `ranks * slots`.
    #[must_use]
    pub fn round_robin(ranks: usize, slots: usize, experts: usize, layers: usize) -> Self {
        let layer = (0..experts).map(|expert| vec![expert % ranks.max(1)]).collect::<Vec<_>>();
        Self { ranks, slots, layers: vec![layer; layers] }
    }

    /// Checks that each expert has a replica and each rank has enough slots.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the map breaks.
    pub fn check(&self) -> Result<(), ExpertMapError> {
        for (layer, experts) in self.layers.iter().enumerate() {
            let mut used = vec![0_usize; self.ranks];
            for (expert, holders) in experts.iter().enumerate() {
                if holders.is_empty() {
                    return Err(ExpertMapError::NoReplica { layer, expert });
                }
                for (position, &rank) in holders.iter().enumerate() {
                    if rank >= self.ranks || holders[..position].contains(&rank) {
                        return Err(ExpertMapError::WrongRank { layer, expert });
                    }
                    used[rank] += 1;
                }
            }
            if let Some(rank) = used.iter().position(|&held| held > self.slots) {
                return Err(ExpertMapError::TooManyExperts { layer, rank });
            }
        }
        Ok(())
    }

    /// Experts by layer and then by rank.
    #[must_use]
    pub fn experts_by_rank(&self) -> Vec<Vec<Vec<usize>>> {
        let by_rank = |experts: &Vec<Vec<usize>>| {
            let mut ranks = vec![Vec::new(); self.ranks];
            for (expert, holders) in experts.iter().enumerate() {
                for &rank in holders {
                    ranks[rank].push(expert);
                }
            }
            ranks
        };
        self.layers.iter().map(by_rank).collect()
    }

    /// The weights that ranks must load to go from this map to `next`.
    #[must_use]
    pub fn moves_to(&self, next: &Self) -> Vec<ExpertMove> {
        let mut moves = Vec::new();
        for (layer, (old, new)) in self.layers.iter().zip(&next.layers).enumerate() {
            for (expert, (old, new)) in old.iter().zip(new).enumerate() {
                let added = new.iter().filter(|rank| !old.contains(rank));
                moves.extend(added.map(|&rank| ExpertMove { layer, expert, rank }));
            }
        }
        moves
    }
}
