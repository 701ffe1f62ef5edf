//! Local search in one layer: small changes that take load off the slowest rank.

/// Ranks that are tried as the other side of a change, lightest first. More of them cost decision
/// time and rarely give a better change.
const TARGETS: usize = 4;
/// Light experts that are tried for a slot that the slowest rank frees. Any light one serves.
const FILLERS: usize = 8;
/// The least relative fall of the slowest rank's time for a change to count as progress.
const MIN_PROGRESS: f64 = 1e-3;

/// One change to a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Edit {
    /// A rank loads `add` and drops `drop`, if given. `drop` has another replica.
    Load { rank: usize, add: usize, drop: Option<usize> },
    /// A rank with a free slot takes an expert over from another rank.
    Relocate { expert: usize, from: usize, to: usize },
    /// Two ranks exchange an expert.
    Swap { left: (usize, usize), right: (usize, usize) },
}

impl Edit {
    /// Experts whose weights are loaded.
    pub(super) const fn moves(self) -> usize {
        match self {
            Self::Load { .. } | Self::Relocate { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }
}

/// An edit and the time of the slowest rank after it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    pub(super) edit: Edit,
    pub(super) slowest: f64,
}

/// A layer under search. Times are shares of the layer's tokens over the speed of the rank.
#[derive(Clone, Debug)]
pub(super) struct Layer<'a> {
    shares: &'a [f64],
    speeds: &'a [f64],
    slots: usize,
    holders: Vec<Vec<usize>>,
    held: Vec<Vec<usize>>,
    times: Vec<f64>,
    /// Experts with the smallest shares.
    lightest: Vec<usize>,
}

impl<'a> Layer<'a> {
    pub(super) fn new(
        holders: &[Vec<usize>],
        shares: &'a [f64],
        speeds: &'a [f64],
        slots: usize,
    ) -> Self {
        let mut held = vec![Vec::new(); speeds.len()];
        for (expert, ranks) in holders.iter().enumerate() {
            for &rank in ranks {
                held[rank].push(expert);
            }
        }
        let times = vec![0.0; speeds.len()];
        let holders = holders.to_vec();
        let lightest = lightest(shares);
        let mut layer = Self { shares, speeds, slots, holders, held, times, lightest };
        for rank in 0..speeds.len() {
            layer.refresh(rank);
        }
        layer
    }

    /// Time of the slowest rank.
    pub(super) fn slowest(&self) -> f64 {
        self.times[self.slowest_rank()]
    }

    /// Time of every rank if the layer's tokens were split perfectly.
    pub(super) fn bound(&self) -> f64 {
        self.speeds.iter().sum::<f64>().recip()
    }

    /// Makes edits until the slowest rank is within `target` of the bound, `max_moves` are used or
    /// nothing helps. Returns the edits in order.
    pub(super) fn improve(&mut self, target: f64, max_moves: usize) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut left = max_moves;
        while self.slowest() > target * self.bound() {
            let Some(edit) = self.best_edit(left) else { break };
            self.apply(edit);
            left -= edit.moves();
            steps.push(Step { edit, slowest: self.slowest() });
        }
        steps
    }

    /// Applies an edit of [`Layer::improve`] to a layer in the state that the edit was found in.
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

    /// Ranks of each expert.
    pub(super) fn into_holders(self) -> Vec<Vec<usize>> {
        self.holders
    }

    fn slowest_rank(&self) -> usize {
        (0..self.times.len()).max_by(|&a, &b| self.times[a].total_cmp(&self.times[b])).unwrap_or(0)
    }

    /// The edit with the largest fall per move of the worst rank that it touches.
    fn best_edit(&self, max_moves: usize) -> Option<Edit> {
        let hot = self.slowest_rank();
        let mut search = Search { before: self.times[hot], max_moves, best: None };
        let mut ranks = (0..self.times.len()).filter(|&rank| rank != hot).collect::<Vec<_>>();
        ranks.sort_by(|&a, &b| self.times[a].total_cmp(&self.times[b]));
        for &rank in ranks.iter().take(TARGETS) {
            self.try_loads(hot, rank, &mut search);
            self.try_swaps(hot, rank, &mut search);
        }
        self.try_drops(hot, &mut search);
        search.best.map(|(_, edit)| edit)
    }

    /// Another replica on `rank` for an expert of the slowest rank.
    fn try_loads(&self, hot: usize, rank: usize, search: &mut Search) {
        let is_free = self.held[rank].len() < self.slots;
        for &add in &self.held[hot] {
            if self.holders[add].contains(&rank) {
                continue;
            }
            if is_free {
                let worst = self.time_after_load(hot, rank, add, None);
                search.offer(Edit::Load { rank, add, drop: None }, worst);
                let part = self.part(add);
                let worst = (self.times[hot] - part / self.speeds[hot])
                    .max(self.times[rank] + part / self.speeds[rank]);
                search.offer(Edit::Relocate { expert: add, from: hot, to: rank }, worst);
            }
            let added = self.share_over(add, self.holders[add].len() + 1);
            // What is dropped can only slow the slowest rank, so this bounds all drops at once.
            if !search.wants(1, self.times[hot] - (self.part(add) - added) / self.speeds[hot]) {
                continue;
            }
            for &drop in self.held[rank].iter().filter(|&&expert| self.holders[expert].len() > 1) {
                let loaded = self.times[rank] + (added - self.part(drop)) / self.speeds[rank];
                if !search.wants(1, loaded) {
                    continue;
                }
                let worst = self.time_after_load(hot, rank, add, Some(drop));
                search.offer(Edit::Load { rank, add, drop: Some(drop) }, worst);
            }
        }
    }

    /// The slowest rank drops an expert that has another replica, and fills the slot with a light one.
    fn try_drops(&self, hot: usize, search: &mut Search) {
        let redundant = self.held[hot].iter().filter(|&&expert| self.holders[expert].len() > 1);
        for &drop in redundant {
            for &add in &self.lightest {
                if add != drop && !self.holders[add].contains(&hot) {
                    let worst = self.time_after_load(hot, hot, add, Some(drop));
                    search.offer(Edit::Load { rank: hot, add, drop: Some(drop) }, worst);
                }
            }
        }
    }

    fn try_swaps(&self, hot: usize, rank: usize, search: &mut Search) {
        for &give in &self.held[hot] {
            if self.holders[give].contains(&rank) {
                continue;
            }
            let given = self.part(give);
            for &take in &self.held[rank] {
                let shift = given - self.part(take);
                if shift <= 0.0 || self.holders[take].contains(&hot) {
                    continue;
                }
                let worst = (self.times[hot] - shift / self.speeds[hot])
                    .max(self.times[rank] + shift / self.speeds[rank]);
                search.offer(Edit::Swap { left: (give, hot), right: (take, rank) }, worst);
            }
        }
    }

    /// Time of the worst rank among the slowest and those that an [`Edit::Load`] makes slower.
    fn time_after_load(&self, hot: usize, rank: usize, add: usize, drop: Option<usize>) -> f64 {
        let added = self.share_over(add, self.holders[add].len() + 1);
        let relief = self.part(add) - added;
        let dropped = drop.map_or(0.0, |drop| self.part(drop));
        let after = |other: usize| {
            let mut load = 0.0;
            if other == rank {
                load += added - dropped;
            } else {
                if self.holders[add].contains(&other) {
                    load -= relief;
                }
                if let Some(drop) = drop.filter(|&drop| self.holders[drop].contains(&other)) {
                    load += self.share_over(drop, self.holders[drop].len() - 1) - dropped;
                }
            }
            self.times[other] + load / self.speeds[other]
        };
        let mut worst = after(hot).max(after(rank));
        if let Some(drop) = drop {
            worst = self.holders[drop].iter().fold(worst, |worst, &other| worst.max(after(other)));
        }
        worst
    }

    /// Share of the tokens that one replica of `expert` gets.
    fn part(&self, expert: usize) -> f64 {
        self.share_over(expert, self.holders[expert].len())
    }

    fn share_over(&self, expert: usize, replicas: usize) -> f64 {
        self.shares[expert] / f64::from(u32::try_from(replicas).unwrap_or(u32::MAX))
    }

    fn remove(&mut self, expert: usize, rank: usize) {
        self.held[rank].retain(|&other| other != expert);
        self.holders[expert].retain(|&other| other != rank);
        self.refresh(rank);
        self.refresh_holders(expert);
    }

    fn insert(&mut self, expert: usize, rank: usize) {
        self.held[rank].push(expert);
        self.holders[expert].push(rank);
        self.refresh_holders(expert);
    }

    fn refresh_holders(&mut self, expert: usize) {
        for index in 0..self.holders[expert].len() {
            self.refresh(self.holders[expert][index]);
        }
    }

    fn refresh(&mut self, rank: usize) {
        let load = self.held[rank].iter().map(|&expert| self.part(expert)).sum::<f64>();
        self.times[rank] = load / self.speeds[rank];
    }
}

fn lightest(shares: &[f64]) -> Vec<usize> {
    let mut experts = (0..shares.len()).collect::<Vec<_>>();
    experts.sort_unstable_by(|&a, &b| shares[a].total_cmp(&shares[b]).then(a.cmp(&b)));
    experts.truncate(FILLERS);
    experts
}

/// The best edit so far.
struct Search {
    before: f64,
    max_moves: usize,
    best: Option<(f64, Edit)>,
}

impl Search {
    fn offer(&mut self, edit: Edit, worst: f64) {
        if self.wants(edit.moves(), worst) {
            self.best = Some((self.fall_per_move(edit.moves(), worst), edit));
        }
    }

    /// Whether an edit after which the worst rank takes `worst` would be the best so far.
    fn wants(&self, moves: usize, worst: f64) -> bool {
        moves <= self.max_moves
            && worst <= self.before * (1.0 - MIN_PROGRESS)
            && self.best.is_none_or(|(best, _)| self.fall_per_move(moves, worst) > best)
    }

    fn fall_per_move(&self, moves: usize, worst: f64) -> f64 {
        (self.before - worst) / if moves == 1 { 1.0 } else { 2.0 }
    }
}
