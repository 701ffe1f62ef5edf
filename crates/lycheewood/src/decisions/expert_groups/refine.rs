//! Incremental changes of a group's map, for demand that jumps every few seconds.
//!
//! A rank copies experts one after the other, and the old map stays in use until the slowest rank is
//! done. So a change gives each rank few copies and spends them, over all sets at once, where they reduce
//! the load of the most loaded rank of a set. Replicas that the present load does not need are kept: when
//! demand jumps to an expert with two replicas, each of its ranks gets half of the load.

use crate::decisions::expert_groups::GroupDemand;
use crate::decisions::placement::ExpertMap;
use crate::routes::raw::ExpertShape;

/// Exponent of the norm that approximates the load of the most loaded rank. A plain maximum would show no
/// gain when load is taken off one of two equally loaded ranks.
const NORM_EXPONENT: i32 = 16;
/// Experts of the most loaded rank that an edit may move, heaviest first.
const MAX_CANDIDATE_EXPERTS: usize = 6;
/// The least reduction of the norm of one set for each copy. The mean load of a rank is 1.
const MIN_REDUCTION: f64 = 0.03;
/// Bonus for each replica of a dropped expert, so that experts with many replicas are dropped first. It is
/// small compared with any accepted reduction.
const REPLICA_BONUS: f64 = 1e-4;

/// Returns the map with up to `max_copies` new experts on each rank, chosen to reduce the load of the most
/// loaded ranks.
#[must_use]
pub(crate) fn refine_map(
    map: &ExpertMap,
    demand: &GroupDemand,
    shape: &ExpertShape,
    max_copies: usize,
) -> ExpertMap {
    let mut copies_left = vec![max_copies; map.ranks];
    let sets = map.layers.iter().zip(&demand.shares);
    let mut sets: Vec<Set<'_>> =
        sets.map(|(layer, shares)| Set::new(map, layer, shares, &demand.slowdowns)).collect();
    let mut best: Vec<Option<Candidate>> =
        sets.iter().map(|set| set.best_edit(&copies_left, shape)).collect();
    loop {
        let candidates =
            best.iter().enumerate().filter_map(|(set, candidate)| Some((set, (*candidate)?)));
        let Some((set, candidate)) =
            candidates.max_by(|(_, a), (_, b)| a.reduction.total_cmp(&b.reduction))
        else {
            break;
        };
        sets[set].apply(candidate.edit);
        for (rank, copies) in candidate.copies.into_iter().flatten() {
            copies_left[rank] -= copies;
        }
        for (index, other) in sets.iter().enumerate() {
            // An edit changes the loads of its own set, and uses copies that edits of other sets may need.
            let is_stale = index == set
                || best[index].is_some_and(|candidate| {
                    candidate
                        .copies
                        .into_iter()
                        .flatten()
                        .any(|(rank, copies)| copies_left[rank] < copies)
                });
            if is_stale {
                best[index] = other.best_edit(&copies_left, shape);
            }
        }
    }
    let layers = sets.into_iter().map(|set| set.holders).collect();
    ExpertMap { ranks: map.ranks, slots: map.slots, layers }
}

/// A change of one set: rank `to` gets a replica of `expert`, which reduces the load of rank `from`.
#[derive(Clone, Copy, Debug)]
struct Edit {
    expert: usize,
    from: usize,
    to: usize,
    /// Whether `from` keeps its replica.
    keeps_replica: bool,
    /// An expert that `to` drops.
    dropped: Option<usize>,
    /// Whether `from` gets the dropped expert in exchange.
    is_swap: bool,
}

/// An edit that may be applied.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    edit: Edit,
    /// Reduction of the norm for each copy.
    reduction: f64,
    /// Ranks that copy, with the number of experts.
    copies: [Option<(usize, usize)>; 2],
}

/// One set of experts while its map is being changed.
struct Set<'a> {
    /// Ranks by expert in the map in use.
    original: &'a [Vec<usize>],
    shares: &'a [f64],
    slowdowns: &'a [f64],
    slots: usize,
    /// Ranks by expert.
    holders: Vec<Vec<usize>>,
    /// Experts by rank.
    experts: Vec<Vec<usize>>,
    /// Load of each rank times its slowdown; the mean load is 1.
    loads: Vec<f64>,
    /// Number of experts that each rank does not hold in the map in use.
    new_experts: Vec<usize>,
}

impl<'a> Set<'a> {
    fn new(
        map: &ExpertMap,
        original: &'a [Vec<usize>],
        shares: &'a [f64],
        slowdowns: &'a [f64],
    ) -> Self {
        let mut set = Self {
            original,
            shares,
            slowdowns,
            slots: map.slots,
            holders: original.to_vec(),
            experts: vec![Vec::new(); map.ranks],
            loads: vec![0.0; map.ranks],
            new_experts: vec![0; map.ranks],
        };
        for (expert, ranks) in original.iter().enumerate() {
            for &rank in ranks {
                set.experts[rank].push(expert);
            }
        }
        set.update_loads();
        set
    }

    fn update_loads(&mut self) {
        self.loads.fill(0.0);
        for (expert, ranks) in self.holders.iter().enumerate() {
            let load = self.shares[expert] * to_f64(self.loads.len()) / to_f64(ranks.len().max(1));
            for &rank in ranks {
                self.loads[rank] += load * self.slowdowns[rank];
            }
        }
    }

    /// Load of each replica of an expert that has `replicas` of them.
    fn replica_load(&self, expert: usize, replicas: usize) -> f64 {
        self.shares[expert] * to_f64(self.loads.len()) / to_f64(replicas.max(1))
    }

    /// Whether `rank` has to copy `expert`.
    fn is_new(&self, expert: usize, rank: usize) -> bool {
        !self.original[expert].contains(&rank)
    }

    /// The edit with the largest reduction for each copy, if it is large enough.
    fn best_edit(&self, copies_left: &[usize], shape: &ExpertShape) -> Option<Candidate> {
        let power_sum = self.loads.iter().map(|load| load.powi(NORM_EXPONENT)).sum::<f64>();
        let busiest =
            (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let mut candidates = self.experts[busiest].clone();
        let load = |expert: usize| self.replica_load(expert, self.holders[expert].len());
        candidates.sort_unstable_by(|a, b| load(*b).total_cmp(&load(*a)));
        candidates.truncate(MAX_CANDIDATE_EXPERTS);
        let mut best: Option<Candidate> = None;
        for expert in candidates {
            for to in 0..self.loads.len() {
                if to == busiest || self.holders[expert].contains(&to) {
                    continue;
                }
                for edit in self.edits(expert, busiest, to) {
                    let Some(copies) = self.copies(&edit, copies_left, shape) else { continue };
                    let reduction = self.reduction(&edit, power_sum, &copies);
                    if reduction >= MIN_REDUCTION
                        && best.is_none_or(|best| reduction > best.reduction)
                    {
                        best = Some(Candidate { edit, reduction, copies });
                    }
                }
            }
        }
        best
    }

    /// Edits that shift load of `expert` from one rank to another.
    fn edits(&self, expert: usize, from: usize, to: usize) -> Vec<Edit> {
        let copy = Edit { expert, from, to, keeps_replica: true, dropped: None, is_swap: false };
        if self.experts[to].len() < self.slots {
            return vec![copy, Edit { keeps_replica: false, ..copy }];
        }
        let load = self.replica_load(expert, self.holders[expert].len());
        let mut edits = Vec::new();
        for &other in &self.experts[to] {
            let dropped = Some(other);
            if self.holders[other].len() > 1 {
                edits.push(Edit { dropped, ..copy });
                edits.push(Edit { dropped, keeps_replica: false, ..copy });
            }
            let is_lighter = self.replica_load(other, self.holders[other].len()) < load;
            if is_lighter && !self.holders[other].contains(&from) {
                edits.push(Edit { dropped, keeps_replica: false, is_swap: true, ..copy });
            }
        }
        edits
    }

    /// Ranks that copy experts for an edit, with the number of experts, or `None` if a rank exceeds its
    /// limits.
    fn copies(
        &self,
        edit: &Edit,
        copies_left: &[usize],
        shape: &ExpertShape,
    ) -> Option<[Option<(usize, usize)>; 2]> {
        let copy = |expert: usize, rank: usize| {
            let copies = usize::from(self.is_new(expert, rank));
            let fits = copies <= copies_left[rank]
                && self.new_experts[rank] + copies <= shape.max_new_experts;
            fits.then_some((rank, copies))
        };
        let first = copy(edit.expert, edit.to)?;
        let second = match edit.dropped.filter(|_| edit.is_swap) {
            Some(dropped) => Some(copy(dropped, edit.from)?),
            None => None,
        };
        Some([Some(first), second])
    }

    /// Reduction of the norm for each copy.
    fn reduction(&self, edit: &Edit, power_sum: f64, copies: &[Option<(usize, usize)>; 2]) -> f64 {
        let mut changes = LoadChanges::default();
        let holders = &self.holders[edit.expert];
        let old = self.replica_load(edit.expert, holders.len());
        let new = self.replica_load(edit.expert, holders.len() + usize::from(edit.keeps_replica));
        for &rank in holders {
            changes.add(rank, new - old);
        }
        if !edit.keeps_replica {
            changes.add(edit.from, -new);
        }
        changes.add(edit.to, new);
        let mut bonus = 0.0;
        if let Some(dropped) = edit.dropped {
            let holders = &self.holders[dropped];
            let old = self.replica_load(dropped, holders.len());
            changes.add(edit.to, -old);
            if edit.is_swap {
                changes.add(edit.from, old);
            } else {
                let new = self.replica_load(dropped, holders.len() - 1);
                let others = holders.iter().filter(|rank| **rank != edit.to);
                others.for_each(|rank| changes.add(*rank, new - old));
                bonus = REPLICA_BONUS * to_f64(holders.len());
            }
        }
        let after = changes.0.iter().fold(power_sum, |power_sum, (rank, change)| {
            let load = self.loads[*rank];
            power_sum - load.powi(NORM_EXPONENT)
                + (load + change * self.slowdowns[*rank]).max(0.0).powi(NORM_EXPONENT)
        });
        let copies = copies.iter().flatten().map(|(_, copies)| *copies).sum::<usize>();
        (norm(power_sum) - norm(after)) / to_f64(copies.max(1)) + bonus
    }

    fn apply(&mut self, edit: Edit) {
        let Edit { expert, from, to, keeps_replica, dropped, is_swap } = edit;
        self.insert(expert, to);
        if !keeps_replica {
            self.remove(expert, from);
        }
        if let Some(dropped) = dropped {
            if is_swap {
                self.insert(dropped, from);
            }
            self.remove(dropped, to);
        }
        self.update_loads();
    }

    fn insert(&mut self, expert: usize, rank: usize) {
        self.holders[expert].push(rank);
        self.experts[rank].push(expert);
        self.new_experts[rank] += usize::from(self.is_new(expert, rank));
    }

    fn remove(&mut self, expert: usize, rank: usize) {
        self.holders[expert].retain(|other| *other != rank);
        self.experts[rank].retain(|other| *other != expert);
        self.new_experts[rank] -= usize::from(self.is_new(expert, rank));
    }
}

/// Changes of load, each with its rank.
#[derive(Default)]
struct LoadChanges(Vec<(usize, f64)>);

impl LoadChanges {
    fn add(&mut self, rank: usize, load: f64) {
        match self.0.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, sum)) => *sum += load,
            None => self.0.push((rank, load)),
        }
    }
}

fn norm(power_sum: f64) -> f64 {
    power_sum.max(0.0).powf(1.0 / f64::from(NORM_EXPONENT))
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns the map with second replicas in the free slots, for experts with one replica. Each rank gets at
/// most `max_new_experts` new experts in each set. It is not known which experts demand will jump to, so as many as
/// possible get a second replica.
#[must_use]
pub(crate) fn fill_free_slots(map: &ExpertMap, max_new_experts: usize) -> ExpertMap {
    let mut filled = map.clone();
    for (set, holders) in filled.layers.iter_mut().enumerate() {
        let mut used = vec![0_usize; map.ranks];
        holders.iter().flatten().for_each(|rank| used[*rank] += 1);
        let mut new_experts = vec![0_usize; map.ranks];
        // Each set starts at another expert, so that no expert is left out in all sets.
        let experts = holders.len();
        for offset in 0..experts {
            let expert = (offset + set * experts / map.layers.len().max(1)) % experts;
            if holders[expert].len() > 1 {
                continue;
            }
            let fits = |rank: &usize| {
                used[*rank] < map.slots
                    && new_experts[*rank] < max_new_experts
                    && !holders[expert].contains(rank)
            };
            let Some(rank) = (0..map.ranks).filter(fits).min_by_key(|rank| used[*rank]) else {
                continue;
            };
            holders[expert].push(rank);
            used[rank] += 1;
            new_experts[rank] += 1;
        }
    }
    filled
}
