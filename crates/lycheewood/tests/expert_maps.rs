//! The next map of a group in which each rank copies experts one after the other.

use lycheewood::{
    ExpertDemand, ExpertMap, ExpertShape, GroupDemand, Timestamp, idle_map, imbalance, next_map,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const SHAPE: ExpertShape = ExpertShape {
    sets: 3,
    experts: 96,
    slots: 11,
    max_new_experts: 4,
    expert_mb: 2_200.0,
    link_mbps: 44_000.0,
};
const RANKS: usize = 12;

/// Shares as in measured demand: 70 % by a power law with exponent 1.3, in random order for each set, and
/// 30 % evenly.
fn demand(seed: u64) -> GroupDemand {
    let mut random = StdRng::seed_from_u64(seed);
    let set = |random: &mut StdRng| {
        let mut order: Vec<u32> = (1..=96).collect();
        order.shuffle(random);
        let weights: Vec<f64> = order.iter().map(|n| f64::from(*n).powf(-1.3)).collect();
        let total = weights.iter().sum::<f64>();
        weights.iter().map(|weight| 0.7 * weight / total + 0.3 / 96.0).collect()
    };
    let shares = (0..SHAPE.sets).map(|_| set(&mut random)).collect();
    GroupDemand { shares, slowdowns: vec![1.0; RANKS] }
}

fn initial_map() -> ExpertMap {
    ExpertMap::round_robin(RANKS, SHAPE.slots, SHAPE.experts, SHAPE.sets)
}

fn most_copies(from: &ExpertMap, to: &ExpertMap) -> usize {
    let mut copies = vec![0; RANKS];
    for copy in from.moves_to(to) {
        copies[copy.rank] += 1;
    }
    copies.into_iter().max().unwrap_or(0)
}

/// Guards against a first change after a jump that stops after a few copies because a rank would need two
/// of them. The map then took four changes of 0.7 s each to become balanced.
#[test]
fn one_copy_a_rank_takes_most_of_a_jump_away() {
    for seed in 0..20 {
        let demand = demand(seed);
        let map = initial_map();
        let next = next_map(&map, &demand, &SHAPE, 1).expect("a better map");
        let (before, after) = (imbalance(&map, &demand), imbalance(&next, &demand));
        assert!(before > 2.5 && after < 1.6, "seed {seed}: {before:.2} to {after:.2}");
        assert_eq!(most_copies(&map, &next), 1);
    }
}

/// Guards against a group that waits for one slow rank in each pass.
#[test]
fn experts_leave_a_slow_rank() {
    for seed in 0..20 {
        let mut demand = demand(seed);
        let mut map = idle_map(&initial_map(), &SHAPE).expect("free slots");
        while let Some(next) = next_map(&map, &demand, &SHAPE, 1) {
            map = next;
        }
        demand.slowdowns[3] = 5.0;
        let before = imbalance(&map, &demand);
        for _ in 0..4 {
            let Some(next) = next_map(&map, &demand, &SHAPE, 1) else { break };
            map = next;
        }
        let after = imbalance(&map, &demand);
        assert!(before > 4.0 && after < 1.7, "seed {seed}: {before:.2} to {after:.2}");
    }
}

/// Guards against changes that never end, and against changes that end before the map is balanced.
#[test]
fn a_few_steps_make_a_map_even() {
    for seed in 0..20 {
        let demand = demand(seed);
        let mut map = initial_map();
        let mut changes = 0;
        while let Some(next) = next_map(&map, &demand, &SHAPE, 1) {
            map = next;
            changes += 1;
        }
        let after = imbalance(&map, &demand);
        assert!(changes <= 4 && after < 1.25, "seed {seed}: {after:.2} after {changes} changes");
    }
}

/// Guards against groups whose free slots stay empty until demand jumps.
#[test]
fn free_slots_are_filled_before_there_is_demand() {
    let map = idle_map(&initial_map(), &SHAPE).expect("free slots");
    map.check().expect("a valid map");
    assert_eq!(map.layers.iter().flatten().map(Vec::len).sum::<usize>(), RANKS * 11 * 3);
    assert_eq!(idle_map(&map, &SHAPE), None);
    // Some experts that demand jumps to then have a second replica.
    let mean =
        |map: &ExpertMap| (0..50).map(|seed| imbalance(map, &demand(seed))).sum::<f64>() / 50.0;
    assert!(mean(&map) < 0.9 * mean(&initial_map()));
}

fn selections(demand: &GroupDemand) -> Vec<Vec<u64>> {
    let count = |share: &f64| format!("{:.0}", share * 10_000.0).parse().expect("a count");
    demand.shares.iter().map(|set| set.iter().map(count).collect()).collect()
}

/// Guards against a map that mixes the demand before and after a jump and fits neither.
#[test]
fn a_jump_of_demand_is_told_and_forgets_what_was_before() {
    let mut tracker = ExpertDemand::default();
    let (old, new) = (selections(&demand(1)), selections(&demand(2)));
    for report in 0..5 {
        assert!(!tracker.record(&old, Timestamp::from_unix_ms(1_000 + 100 * report)));
    }
    assert!(tracker.record(&new, Timestamp::from_unix_ms(1_500)));
    assert!(!tracker.record(&new, Timestamp::from_unix_ms(1_600)));
    let shares = tracker.shares().expect("enough selections");
    for (set, expected) in shares.iter().zip(demand(2).shares) {
        let overlap =
            set.iter().zip(expected).map(|(share, expected)| share.min(expected)).sum::<f64>();
        assert!(overlap > 0.98, "overlap {overlap:.3}");
    }
}

/// Guards against the idle map in a group whose demand is not known yet. After a restart of all gateways,
/// the copies that fill all slots kept the group on an unbalanced map for two seconds.
#[test]
fn a_group_whose_demand_is_not_known_yet_is_not_idle() {
    let at = |ms: u64| Timestamp::from_unix_ms(1_000_000 + ms);
    let (none, few) = (vec![vec![0; 96]; SHAPE.sets], vec![vec![1; 96]; SHAPE.sets]);
    let mut tracker = ExpertDemand::default();
    assert!(!tracker.is_idle(at(10_000)), "no counts were recorded");
    tracker.record(&few, at(0));
    assert!(tracker.shares().is_none() && !tracker.is_idle(at(100)));
    tracker.record(&none, at(400));
    assert!(!tracker.is_idle(at(400)));
    tracker.record(&none, at(600));
    assert!(tracker.is_idle(at(600)));
    tracker.record(&few, at(700));
    assert!(!tracker.is_idle(at(700)));
    // The first counts say nothing about the time before them.
    let mut fresh = ExpertDemand::default();
    fresh.record(&none, at(0));
    assert!(!fresh.is_idle(at(100)) && fresh.is_idle(at(500)));
}

proptest! {
    /// Guards against a map that ranks refuse because it gives them too many experts or too many new ones.
    #[test]
    fn each_step_is_valid_and_within_its_bounds(
        seeds in prop::collection::vec(any::<u64>(), 1..4),
        max_copies in 1_usize..4,
        is_filled in any::<bool>(),
    ) {
        let mut map = initial_map();
        if is_filled {
            map = idle_map(&map, &SHAPE).expect("free slots");
        }
        for seed in seeds {
            let demand = demand(seed);
            let Some(next) = next_map(&map, &demand, &SHAPE, max_copies) else { continue };
            prop_assert!(next.check().is_ok());
            prop_assert!(most_copies(&map, &next) <= max_copies);
            for set in 0..SHAPE.sets {
                for rank in 0..RANKS {
                    let moves = map.moves_to(&next);
                    let new = moves.iter().filter(|m| m.layer == set && m.rank == rank).count();
                    prop_assert!(new <= SHAPE.max_new_experts);
                }
            }
            prop_assert!(imbalance(&next, &demand) < imbalance(&map, &demand));
            map = next;
        }
    }
}
