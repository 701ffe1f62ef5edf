//! Placement decisions: new maps are valid and within the limits of the policy, and steady load moves no expert.

use lycheewood::{
    ChangeCosts, ExpertMap, KeepReason, LoadForecast, LoadReport, Objective, PlacementDecision,
    PlacementPolicy, PlacementView, Timestamp, decide_placement,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const COSTS: ChangeCosts = ChangeCosts { load_ms: 5.0, stall_ms: 150.0, horizon_ms: 300_000.0 };
const LAYERS: usize = 2;

#[derive(Clone, Debug)]
struct Case {
    ranks: usize,
    slots: usize,
    tokens: Vec<Vec<Vec<f64>>>,
    speeds: Vec<f64>,
    policy: PlacementPolicy,
}

fn case() -> impl Strategy<Value = Case> {
    (1..6_usize, 1..5_usize, 1..=100_u8)
        .prop_flat_map(|(ranks, slots, filled)| {
            let experts = (ranks * slots * usize::from(filled)).div_ceil(100);
            let layer = proptest::collection::vec(0.0..1e6_f64, experts);
            let report = proptest::collection::vec(layer, LAYERS);
            let reports = proptest::collection::vec(report, 1..6);
            let speeds = proptest::collection::vec(0.0..1.5_f64, ranks);
            (Just((ranks, slots)), reports, speeds, any::<bool>(), 0..12_u32)
        })
        .prop_map(|((ranks, slots), tokens, speeds, is_skew, max_moves)| {
            let objective = if is_skew { Objective::Skew } else { Objective::Cost };
            let policy = PlacementPolicy { objective, max_moves, min_interval_ms: 25_000 };
            Case { ranks, slots, tokens, speeds, policy }
        })
}

/// Makes a decision after each report, 10 s apart. Returns the time, map and number of moves of each change.
fn decide_all(case: &Case) -> Vec<(u64, ExpertMap, usize)> {
    let experts = case.tokens[0][0].len();
    let mut map = ExpertMap::round_robin(case.ranks, case.slots, experts, LAYERS);
    let mut forecast = LoadForecast::new();
    let (mut last_change, mut changes) = (None, Vec::new());
    for (tokens, index) in case.tokens.iter().zip(1_u64..) {
        let now = Timestamp::from_unix_ms(index * 10_000);
        forecast.observe(&LoadReport { ended: now, tokens, speeds: &case.speeds });
        let policy = &case.policy;
        let view = PlacementView {
            now,
            map: &map,
            forecast: &forecast,
            policy,
            costs: &COSTS,
            last_changed: last_change,
        };
        if let PlacementDecision::Change(change) = decide_placement(&view) {
            assert_eq!(map.moves_to(&change.map), change.moves);
            changes.push((now.unix_ms(), change.map.clone(), change.moves.len()));
            (map, last_change) = (change.map, Some(now));
        }
    }
    changes
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

/// Guards against an invalid map and against changes beyond the limits of the policy.
#[test]
fn changes_are_valid_and_within_the_policy() {
    let change_count = std::cell::Cell::new(0);
    runner(1_000)
        .run(&case(), |case| {
            let changes = decide_all(&case);
            change_count.set(change_count.get() + changes.len());
            for (_, map, moves) in &changes {
                prop_assert_eq!(map.check(), Ok(()));
                prop_assert!(*moves <= case.policy.max_moves as usize, "{} moves", moves);
            }
            let spaced = changes.windows(2).all(|pair| pair[1].0 - pair[0].0 >= 25_000);
            prop_assert!(spaced, "two changes within min_interval_ms");
            Ok(())
        })
        .unwrap();
    assert!(change_count.get() > 500, "only {} changes", change_count.get());
}

/// Guards against oscillation: under constant load, a balanced map is kept.
#[test]
fn steady_load_changes_nothing() {
    let tokens = vec![vec![100.0; 12]; LAYERS];
    for objective in [Objective::Skew, Objective::Cost] {
        let policy = PlacementPolicy { objective, max_moves: 8, min_interval_ms: 0 };
        let tokens = vec![tokens.clone(); 40];
        let case = Case { ranks: 4, slots: 4, tokens, speeds: vec![1.0; 4], policy };
        assert!(decide_all(&case).is_empty());
    }
}

/// Guards against a decision that ignores a slow rank as noise, and against one without any report.
#[test]
fn a_slow_rank_gets_less() {
    let policy =
        PlacementPolicy { objective: Objective::Skew, max_moves: 8, min_interval_ms: 25_000 };
    let tokens = vec![vec![vec![100.0; 12]; LAYERS]; 40];
    let case = Case { ranks: 4, slots: 4, tokens, speeds: vec![1.0, 1.0, 0.5, 1.0], policy };
    let changes = decide_all(&case);
    let (_, map, _) = changes.last().expect("a change");
    let load = |rank: usize| -> f64 {
        let experts = map.layers[0].iter().filter(|holders| holders.contains(&rank));
        experts.map(|holders| 1.0 / f64::from(u32::try_from(holders.len()).unwrap())).sum()
    };
    assert!((0..4).all(|rank| rank == 2 || load(rank) > load(2)), "{map:?}");

    let forecast = LoadForecast::new();
    let (now, costs, policy) = (Timestamp::default(), &COSTS, &case.policy);
    let view = PlacementView { now, map, forecast: &forecast, policy, costs, last_changed: None };
    assert_eq!(decide_placement(&view), PlacementDecision::Keep(KeepReason::NoForecast));
}
