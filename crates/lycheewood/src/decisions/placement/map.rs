//! The expert map of a group: the ranks that hold each expert of each layer.

use serde::{Deserialize, Serialize};

/// The placement of the experts' replicas on ranks. The tokens of an expert are split evenly over its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Number of experts that one rank can hold in each layer.
    pub slots: usize,
    /// Ranks that hold a replica, by layer and then by expert.
    pub layers: Vec<Vec<Vec<usize>>>,
}

/// Why an [`ExpertMap`] is invalid.
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
    /// The ranks of an expert contain a duplicate or an unknown rank.
    #[error(
        "layer {layer}: expert {expert} has an unknown or duplicate rank; list each existing rank once"
    )]
    WrongRank {
        /// Index of the layer.
        layer: usize,
        /// Index of the expert.
        expert: usize,
    },
    /// A rank holds more experts than it has slots.
    #[error(
        "layer {layer}: rank {rank} holds more experts than it has slots; move an expert to another rank"
    )]
    TooManyExperts {
        /// Index of the layer.
        layer: usize,
        /// Index of the rank.
        rank: usize,
    },
}

/// A load of the weights of one expert onto a rank.
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
    /// A map that assigns the experts of each layer to the ranks in turn, one replica each.
    ///
    /// The map is valid if `experts` is at most `ranks * slots`.
    #[must_use]
    pub fn round_robin(ranks: usize, slots: usize, experts: usize, layers: usize) -> Self {
        let layer = (0..experts).map(|expert| vec![expert % ranks.max(1)]).collect::<Vec<_>>();
        Self { ranks, slots, layers: vec![layer; layers] }
    }

    /// Checks that each expert has a replica, its ranks are valid and each rank has enough slots.
    ///
    /// # Errors
    ///
    /// [`ExpertMapError`] for the first violation found.
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
            if let Some(rank) = used.iter().position(|&experts| experts > self.slots) {
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

    /// The weights that ranks have to load to switch from this map to `next`.
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
