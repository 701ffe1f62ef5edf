//! Local search in one layer for edits that reduce the time of the slowest rank.

/// Ranks that are tried as the target of an edit, fastest first. More of them cost decision time and
/// rarely give a better edit.
const MAX_TARGET_RANKS: usize = 4;
/// Experts with the smallest shares that are tried for a slot that the slowest rank frees. They differ
/// little from each other.
const MAX_FILL_EXPERTS: usize = 8;
/// The least relative reduction of the slowest rank's time for an edit to be considered.
const MIN_RELATIVE_REDUCTION: f64 = 1e-3;

/// One edit of a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Edit {
    /// A rank loads `add` and drops `drop`, if given. `drop` has another replica.
    Load { rank: usize, add: usize, drop: Option<usize> },
    /// A rank with a free slot loads an expert, which another rank drops.
    Relocate { expert: usize, from: usize, to: usize },
    /// Two ranks exchange experts; each pair is an expert and its present rank.
    Swap { left: (usize, usize), right: (usize, usize) },
}

impl Edit {
    /// The number of experts whose weights are loaded.
    pub(super) const fn moves(self) -> usize {
        match self {
            Self::Load { .. } | Self::Relocate { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }
}

/// An edit and the time of the slowest rank after it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppliedEdit {
    pub(super) edit: Edit,
    pub(super) slowest_time: f64,
}

/// The state of a layer during the search. The time of a rank is its share of the layer's tokens, divided by
/// its speed.
#[derive(Clone, Debug)]
pub(super) struct Layer<'a> {
    shares: &'a [f64],
    speeds: &'a [f64],
    slots: usize,
    /// Ranks by expert.
    holders: Vec<Vec<usize>>,
    /// Experts by rank.
    experts: Vec<Vec<usize>>,
    /// Time of each rank.
    times: Vec<f64>,
    /// Experts with the smallest shares, smallest first.
    lightest: Vec<usize>,
}

impl<'a> Layer<'a> {
    pub(super) fn new(
        holders: &[Vec<usize>],
        shares: &'a [f64],
        speeds: &'a [f64],
        slots: usize,
    ) -> Self {
        let mut experts = vec![Vec::new(); speeds.len()];
        for (expert, ranks) in holders.iter().enumerate() {
            for &rank in ranks {
                experts[rank].push(expert);
            }
        }
        let times = vec![0.0; speeds.len()];
        let holders = holders.to_vec();
        let lightest = lightest_experts(shares);
        let mut layer = Self { shares, speeds, slots, holders, experts, times, lightest };
        for rank in 0..speeds.len() {
            layer.update_time(rank);
        }
        layer
    }

    /// Time of the slowest rank.
    pub(super) fn slowest_time(&self) -> f64 {
        self.times[self.slowest_rank()]
    }

    /// Time of every rank if the tokens were split perfectly: a lower bound of the slowest rank's time.
    pub(super) fn balanced_time(&self) -> f64 {
        self.speeds.iter().sum::<f64>().recip()
    }

    /// Applies edits until the slowest rank's time is at most `target` times the balanced time, `max_moves`
    /// are used or no edit helps. Returns the edits in order.
    pub(super) fn improve(&mut self, target: f64, max_moves: usize) -> Vec<AppliedEdit> {
        let mut edits = Vec::new();
        let mut moves_left = max_moves;
        while self.slowest_time() > target * self.balanced_time() {
            let Some(edit) = self.best_edit(moves_left) else { break };
            self.apply(edit);
            moves_left -= edit.moves();
            edits.push(AppliedEdit { edit, slowest_time: self.slowest_time() });
        }
        edits
    }

    /// Applies an edit. The layer must be in the state in which [`Layer::improve`] found the edit.
    pub(super) fn apply(&mut self, edit: Edit) {
        match edit {
            Edit::Load { rank, add, drop } => {
                if let Some(drop) = drop {
                    self.remove(drop, rank);
                }
                self.insert(add, rank);
            }
            Edit::Relocate { expert, from, to } => {
                self.remove(expert, from);
                self.insert(expert, to);
            }
            Edit::Swap { left, right } => {
                self.remove(left.0, left.1);
                self.remove(right.0, right.1);
                self.insert(left.0, right.1);
                self.insert(right.0, left.1);
            }
        }
    }

    /// Returns the ranks of each expert.
    pub(super) fn into_holders(self) -> Vec<Vec<usize>> {
        self.holders
    }

    fn slowest_rank(&self) -> usize {
        (0..self.times.len()).max_by(|&a, &b| self.times[a].total_cmp(&self.times[b])).unwrap_or(0)
    }

    /// The edit that reduces the slowest rank's time most per move, considering the ranks that it changes.
    fn best_edit(&self, max_moves: usize) -> Option<Edit> {
        let slowest = self.slowest_rank();
        let mut search = Search { slowest_time: self.times[slowest], max_moves, best: None };
        let mut ranks = (0..self.times.len()).filter(|&rank| rank != slowest).collect::<Vec<_>>();
        ranks.sort_by(|&a, &b| self.times[a].total_cmp(&self.times[b]));
        for &rank in ranks.iter().take(MAX_TARGET_RANKS) {
            self.search_loads(slowest, rank, &mut search);
            self.search_swaps(slowest, rank, &mut search);
        }
        self.search_drops(slowest, &mut search);
        search.best.map(|(_, edit)| edit)
    }

    /// Considers loading or relocating each expert of the slowest rank to `rank`.
    fn search_loads(&self, slowest: usize, rank: usize, search: &mut Search) {
        let has_free_slot = self.experts[rank].len() < self.slots;
        for &add in &self.experts[slowest] {
            if self.holders[add].contains(&rank) {
                continue;
            }
            if has_free_slot {
                let max_time = self.time_after_load(slowest, rank, add, None);
                search.consider(Edit::Load { rank, add, drop: None }, max_time);
                let moved = self.replica_share(add);
                let max_time = (self.times[slowest] - moved / self.speeds[slowest])
                    .max(self.times[rank] + moved / self.speeds[rank]);
                search.consider(Edit::Relocate { expert: add, from: slowest, to: rank }, max_time);
            }
            let added = self.share_with_replicas(add, self.holders[add].len() + 1);
            // A dropped replica can only increase the slowest rank's time, so this is a bound for all drops.
            if !search.is_improvement(
                1,
                self.times[slowest] - (self.replica_share(add) - added) / self.speeds[slowest],
            ) {
                continue;
            }
            for &drop in self.experts[rank].iter().filter(|&&expert| self.holders[expert].len() > 1)
            {
                let loaded =
                    self.times[rank] + (added - self.replica_share(drop)) / self.speeds[rank];
                if !search.is_improvement(1, loaded) {
                    continue;
                }
                let max_time = self.time_after_load(slowest, rank, add, Some(drop));
                search.consider(Edit::Load { rank, add, drop: Some(drop) }, max_time);
            }
        }
    }

    /// Considers dropping each replicated expert of the slowest rank for one of the lightest experts.
    fn search_drops(&self, slowest: usize, search: &mut Search) {
        let redundant =
            self.experts[slowest].iter().filter(|&&expert| self.holders[expert].len() > 1);
        for &drop in redundant {
            for &add in &self.lightest {
                if add != drop && !self.holders[add].contains(&slowest) {
                    let max_time = self.time_after_load(slowest, slowest, add, Some(drop));
                    search.consider(Edit::Load { rank: slowest, add, drop: Some(drop) }, max_time);
                }
            }
        }
    }

    /// Considers exchanging experts of the slowest rank for lighter ones of `rank`.
    fn search_swaps(&self, slowest: usize, rank: usize, search: &mut Search) {
        for &outgoing in &self.experts[slowest] {
            if self.holders[outgoing].contains(&rank) {
                continue;
            }
            let outgoing_share = self.replica_share(outgoing);
            for &incoming in &self.experts[rank] {
                let shift = outgoing_share - self.replica_share(incoming);
                if shift <= 0.0 || self.holders[incoming].contains(&slowest) {
                    continue;
                }
                let max_time = (self.times[slowest] - shift / self.speeds[slowest])
                    .max(self.times[rank] + shift / self.speeds[rank]);
                search.consider(
                    Edit::Swap { left: (outgoing, slowest), right: (incoming, rank) },
                    max_time,
                );
            }
        }
    }

    /// The longest time, after an [`Edit::Load`], among the slowest rank and the ranks that become slower.
    fn time_after_load(&self, slowest: usize, rank: usize, add: usize, drop: Option<usize>) -> f64 {
        let added = self.share_with_replicas(add, self.holders[add].len() + 1);
        let relief = self.replica_share(add) - added;
        let dropped = drop.map_or(0.0, |drop| self.replica_share(drop));
        let after = |other: usize| {
            let mut load = 0.0;
            if other == rank {
                load += added - dropped;
            } else {
                if self.holders[add].contains(&other) {
                    load -= relief;
                }
                if let Some(drop) = drop.filter(|&drop| self.holders[drop].contains(&other)) {
                    load += self.share_with_replicas(drop, self.holders[drop].len() - 1) - dropped;
                }
            }
            self.times[other] + load / self.speeds[other]
        };
        let mut max_time = after(slowest).max(after(rank));
        if let Some(drop) = drop {
            max_time = self.holders[drop]
                .iter()
                .fold(max_time, |max_time, &other| max_time.max(after(other)));
        }
        max_time
    }

    /// Share of the layer's tokens that each replica of `expert` gets.
    fn replica_share(&self, expert: usize) -> f64 {
        self.share_with_replicas(expert, self.holders[expert].len())
    }

    /// Share of the layer's tokens that each replica of `expert` gets if it has `replicas` of them.
    fn share_with_replicas(&self, expert: usize, replicas: usize) -> f64 {
        self.shares[expert] / f64::from(u32::try_from(replicas).unwrap_or(u32::MAX))
    }

    fn remove(&mut self, expert: usize, rank: usize) {
        self.experts[rank].retain(|&other| other != expert);
        self.holders[expert].retain(|&other| other != rank);
        self.update_time(rank);
        self.update_holder_times(expert);
    }

    fn insert(&mut self, expert: usize, rank: usize) {
        self.experts[rank].push(expert);
        self.holders[expert].push(rank);
        self.update_holder_times(expert);
    }

    fn update_holder_times(&mut self, expert: usize) {
        for index in 0..self.holders[expert].len() {
            self.update_time(self.holders[expert][index]);
        }
    }

    fn update_time(&mut self, rank: usize) {
        let load = self.experts[rank].iter().map(|&expert| self.replica_share(expert)).sum::<f64>();
        self.times[rank] = load / self.speeds[rank];
    }
}

fn lightest_experts(shares: &[f64]) -> Vec<usize> {
    let mut experts = (0..shares.len()).collect::<Vec<_>>();
    experts.sort_unstable_by(|&a, &b| shares[a].total_cmp(&shares[b]).then(a.cmp(&b)));
    experts.truncate(MAX_FILL_EXPERTS);
    experts
}

/// The best edit found so far.
struct Search {
    slowest_time: f64,
    max_moves: usize,
    /// Reduction per move, and the edit.
    best: Option<(f64, Edit)>,
}

impl Search {
    fn consider(&mut self, edit: Edit, max_time: f64) {
        if self.is_improvement(edit.moves(), max_time) {
            self.best = Some((self.reduction_per_move(edit.moves(), max_time), edit));
        }
    }

    /// Whether an edit with `moves` moves that leaves the slowest rank at `max_time` is the best so far.
    fn is_improvement(&self, moves: usize, max_time: f64) -> bool {
        moves <= self.max_moves
            && max_time <= self.slowest_time * (1.0 - MIN_RELATIVE_REDUCTION)
            && self.best.is_none_or(|(best, _)| self.reduction_per_move(moves, max_time) > best)
    }

    fn reduction_per_move(&self, moves: usize, max_time: f64) -> f64 {
        (self.slowest_time - max_time) / if moves == 1 { 1.0 } else { 2.0 }
    }
}
