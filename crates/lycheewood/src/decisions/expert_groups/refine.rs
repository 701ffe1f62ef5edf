//! Small changes of a group's map, for demand that jumps every few seconds.
//!
//! A rank copies weights one after the other, and the map in use goes on until the slowest rank has
//! copied. So a change gives each rank few copies and spends them where the most loaded rank of a
//! set becomes lighter, over all sets at once. Replicas that no present load asks for are kept: an expert
//! with two of them does half the harm when demand jumps to it.

use crate::decisions::expert_groups::GroupDemand;
use crate::decisions::placement::ExpertMap;
use crate::routes::raw::ExpertShape;

/// Exponent of the norm that stands for the most loaded rank. A plain maximum would see no gain in making
/// one of two equally loaded ranks lighter.
const NORM: i32 = 16;
/// Experts of the most loaded rank that are tried, the heaviest first.
const TRIED_EXPERTS: usize = 6;
/// The least fall of the norm of one set that a copy must bring. The mean load of a rank is 1.
const MIN_FALL: f64 = 0.03;
/// Preference for dropping a replica of an expert that has many, small against any real fall.
const SPREAD_BONUS: f64 = 1e-4;

/// The map with up to `max_copies` new experts on each rank that make the most loaded ranks lighter.
#[must_use]
pub(crate) fn refine(
    map: &ExpertMap,
    demand: &GroupDemand,
    shape: &ExpertShape,
    max_copies: usize,
) -> ExpertMap {
    let mut left = vec![max_copies; map.ranks];
    let sets = map.layers.iter().zip(&demand.shares);
    let mut sets: Vec<Set<'_>> =
        sets.map(|(layer, shares)| Set::new(map, layer, shares, &demand.slowdowns)).collect();
    let mut best: Vec<Option<Found>> = sets.iter().map(|set| set.best_edit(&left, shape)).collect();
    loop {
        let found = best.iter().enumerate().filter_map(|(set, found)| Some((set, (*found)?)));
        let Some((set, found)) = found.max_by(|(_, a), (_, b)| a.fall.total_cmp(&b.fall)) else {
            break;
        };
        sets[set].apply(found.edit);
        for (rank, copies) in found.copies.into_iter().flatten() {
            left[rank] -= copies;
        }
        for (index, plan) in sets.iter().enumerate() {
            // An edit changes the loads of its own set, and takes copies from others.
            let is_stale = index == set
                || best[index].is_some_and(|found| {
                    found.copies.into_iter().flatten().any(|(rank, copies)| left[rank] < copies)
                });
            if is_stale {
                best[index] = plan.best_edit(&left, shape);
            }
        }
    }
    let layers = sets.into_iter().map(|set| set.holders).collect();
    ExpertMap { ranks: map.ranks, slots: map.slots, layers }
}

/// A change of one set: `to` gets a replica of `expert`, which takes load off `from`.
#[derive(Clone, Copy, Debug)]
struct Edit {
    expert: usize,
    from: usize,
    to: usize,
    /// Whether `from` keeps its replica.
    keeps: bool,
    /// An expert that `to` drops.
    drops: Option<usize>,
    /// Whether the dropped expert goes to `from` in exchange.
    swaps: bool,
}

/// An edit, how much it brings for each copy, and which ranks copy how many experts.
#[derive(Clone, Copy, Debug)]
struct Found {
    edit: Edit,
    fall: f64,
    copies: [Option<(usize, usize)>; 2],
}

/// One set of experts while its map is changed.
struct Set<'a> {
    before: &'a [Vec<usize>],
    shares: &'a [f64],
    slowdowns: &'a [f64],
    slots: usize,
    holders: Vec<Vec<usize>>,
    held: Vec<Vec<usize>>,
    /// Load by rank times its pace; the mean load is 1.
    loads: Vec<f64>,
    /// New experts by rank.
    new: Vec<usize>,
}

impl<'a> Set<'a> {
    fn new(
        map: &ExpertMap,
        before: &'a [Vec<usize>],
        shares: &'a [f64],
        slowdowns: &'a [f64],
    ) -> Self {
        let mut set = Self {
            before,
            shares,
            slowdowns,
            slots: map.slots,
            holders: before.to_vec(),
            held: vec![Vec::new(); map.ranks],
            loads: vec![0.0; map.ranks],
            new: vec![0; map.ranks],
        };
        for (expert, ranks) in before.iter().enumerate() {
            for &rank in ranks {
                set.held[rank].push(expert);
            }
        }
        set.sum_loads();
        set
    }

    fn sum_loads(&mut self) {
        self.loads.fill(0.0);
        for (expert, ranks) in self.holders.iter().enumerate() {
            let part = self.shares[expert] * count(self.loads.len()) / count(ranks.len().max(1));
            for &rank in ranks {
                self.loads[rank] += part * self.slowdowns[rank];
            }
        }
    }

    /// Load that each of `replicas` replicas of an expert carries.
    fn part(&self, expert: usize, replicas: usize) -> f64 {
        self.shares[expert] * count(self.loads.len()) / count(replicas.max(1))
    }

    fn is_new(&self, expert: usize, rank: usize) -> bool {
        !self.before[expert].contains(&rank)
    }

    /// The edit that brings most for each copy, if any brings enough.
    fn best_edit(&self, left: &[usize], shape: &ExpertShape) -> Option<Found> {
        let powers = self.loads.iter().map(|load| load.powi(NORM)).sum::<f64>();
        let hot = (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let mut heavy = self.held[hot].clone();
        let part = |expert: usize| self.part(expert, self.holders[expert].len());
        heavy.sort_unstable_by(|a, b| part(*b).total_cmp(&part(*a)));
        heavy.truncate(TRIED_EXPERTS);
        let mut best: Option<Found> = None;
        for expert in heavy {
            for to in 0..self.loads.len() {
                if to == hot || self.holders[expert].contains(&to) {
                    continue;
                }
                for edit in self.edits(expert, hot, to) {
                    let Some(copies) = self.copies(&edit, left, shape) else { continue };
                    let fall = self.fall(&edit, powers, &copies);
                    if fall >= MIN_FALL && best.is_none_or(|best| fall > best.fall) {
                        best = Some(Found { edit, fall, copies });
                    }
                }
            }
        }
        best
    }

    /// Ways to bring load of `expert` from one rank to another.
    fn edits(&self, expert: usize, from: usize, to: usize) -> Vec<Edit> {
        let plain = Edit { expert, from, to, keeps: true, drops: None, swaps: false };
        if self.held[to].len() < self.slots {
            return vec![plain, Edit { keeps: false, ..plain }];
        }
        let own = self.part(expert, self.holders[expert].len());
        let mut edits = Vec::new();
        for &dropped in &self.held[to] {
            let drops = Some(dropped);
            if self.holders[dropped].len() > 1 {
                edits.push(Edit { drops, ..plain });
                edits.push(Edit { drops, keeps: false, ..plain });
            }
            let is_lighter = self.part(dropped, self.holders[dropped].len()) < own;
            if is_lighter && !self.holders[dropped].contains(&from) {
                edits.push(Edit { drops, keeps: false, swaps: true, ..plain });
            }
        }
        edits
    }

    /// Copies by rank, or `None` if a rank has none left.
    fn copies(
        &self,
        edit: &Edit,
        left: &[usize],
        shape: &ExpertShape,
    ) -> Option<[Option<(usize, usize)>; 2]> {
        let copy = |expert: usize, rank: usize| {
            let copies = usize::from(self.is_new(expert, rank));
            let fits = copies <= left[rank] && self.new[rank] + copies <= shape.max_new;
            fits.then_some((rank, copies))
        };
        let first = copy(edit.expert, edit.to)?;
        let second = match edit.drops.filter(|_| edit.swaps) {
            Some(dropped) => Some(copy(dropped, edit.from)?),
            None => None,
        };
        Some([Some(first), second])
    }

    /// How much the norm falls for each copy.
    fn fall(&self, edit: &Edit, powers: f64, copies: &[Option<(usize, usize)>; 2]) -> f64 {
        let mut changes = Changes::default();
        let holders = &self.holders[edit.expert];
        let old = self.part(edit.expert, holders.len());
        let new = self.part(edit.expert, holders.len() + usize::from(edit.keeps));
        for &rank in holders {
            changes.add(rank, new - old);
        }
        if !edit.keeps {
            changes.add(edit.from, -new);
        }
        changes.add(edit.to, new);
        let mut bonus = 0.0;
        if let Some(dropped) = edit.drops {
            let holders = &self.holders[dropped];
            let old = self.part(dropped, holders.len());
            changes.add(edit.to, -old);
            if edit.swaps {
                changes.add(edit.from, old);
            } else {
                let new = self.part(dropped, holders.len() - 1);
                let others = holders.iter().filter(|rank| **rank != edit.to);
                others.for_each(|rank| changes.add(*rank, new - old));
                bonus = SPREAD_BONUS * count(holders.len());
            }
        }
        let after = changes.0.iter().fold(powers, |powers, (rank, change)| {
            let load = self.loads[*rank];
            powers - load.powi(NORM) + (load + change * self.slowdowns[*rank]).max(0.0).powi(NORM)
        });
        let copies = copies.iter().flatten().map(|(_, copies)| *copies).sum::<usize>();
        (norm(powers) - norm(after)) / count(copies.max(1)) + bonus
    }

    fn apply(&mut self, edit: Edit) {
        let Edit { expert, from, to, keeps, drops, swaps } = edit;
        self.insert(expert, to);
        if !keeps {
            self.remove(expert, from);
        }
        if let Some(dropped) = drops {
            if swaps {
                self.insert(dropped, from);
            }
            self.remove(dropped, to);
        }
        self.sum_loads();
    }

    fn insert(&mut self, expert: usize, rank: usize) {
        self.holders[expert].push(rank);
        self.held[rank].push(expert);
        self.new[rank] += usize::from(self.is_new(expert, rank));
    }

    fn remove(&mut self, expert: usize, rank: usize) {
        self.holders[expert].retain(|other| *other != rank);
        self.held[rank].retain(|other| *other != expert);
        self.new[rank] -= usize::from(self.is_new(expert, rank));
    }
}

/// Changes of load by rank.
#[derive(Default)]
struct Changes(Vec<(usize, f64)>);

impl Changes {
    fn add(&mut self, rank: usize, load: f64) {
        match self.0.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, sum)) => *sum += load,
            None => self.0.push((rank, load)),
        }
    }
}

fn norm(powers: f64) -> f64 {
    powers.max(0.0).powf(1.0 / f64::from(NORM))
}

fn count(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// The map with second replicas in all free slots, at most `max_new` a rank and set, for experts that
/// have one. Which expert demand jumps to is not known, and any of them may be among those.
#[must_use]
pub(crate) fn fill(map: &ExpertMap, max_new: usize) -> ExpertMap {
    let mut filled = map.clone();
    for (set, holders) in filled.layers.iter_mut().enumerate() {
        let mut used = vec![0_usize; map.ranks];
        holders.iter().flatten().for_each(|rank| used[*rank] += 1);
        let mut new = vec![0_usize; map.ranks];
        // Sets begin at different experts, so that no expert is left out in all of them.
        let experts = holders.len();
        for offset in 0..experts {
            let expert = (offset + set * experts / map.layers.len().max(1)) % experts;
            if holders[expert].len() > 1 {
                continue;
            }
            let fits = |rank: &usize| {
                used[*rank] < map.slots && new[*rank] < max_new && !holders[expert].contains(rank)
            };
            let Some(rank) = (0..map.ranks).filter(fits).min_by_key(|rank| used[*rank]) else {
                continue;
            };
            holders[expert].push(rank);
            used[rank] += 1;
            new[rank] += 1;
        }
    }
    filled
}
