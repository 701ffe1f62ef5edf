//! Changes of the expert map under faults: all ranks run each step with the same map.

mod proposals;
mod simulation;
mod slow_group;

use lycheewood::{
    ExpertMap, FencingNumber, GroupMaps, Incarnation, LeaseEffect, LeaseRecord, LeaseTable,
    MapEffect, MapRecord, Offset, RankGate, RecordError, Resolution, ScopeName, StageOrder,
    StageRefusal, StageStatus, Timestamp, decode_record, encode_record, resolve_change,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{Op, Simulation};

const CASES: u32 = 200;

/// A runner with a fixed seed that does not write failed cases to a file.
fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn op() -> impl Strategy<Value = Op> {
    let controller = || prop_oneof![4 => Just(0_u8), 1 => Just(1)];
    prop_oneof![
        4 => (0..100_u16).prop_map(Op::Tick),
        1 => (0..1_500_u16).prop_map(Op::Tick),
        1 => Just(Op::SetLogUp(false)),
        4 => Just(Op::SetLogUp(true)),
        8 => (any::<u8>(), 0..12_u8).prop_map(|(rank, records)| Op::ReadRank(rank, records)),
        12 => any::<(u8, u8)>().prop_map(|(rank, steps)| Op::Grant(rank, steps)),
        1 => any::<u8>().prop_map(Op::Replace),
        5 => controller().prop_map(Op::ReadController),
        1 => controller().prop_map(Op::Request),
        3 => controller().prop_map(Op::Renew),
        1 => (controller(), any::<u8>()).prop_map(|(c, ahead)| Op::Propose(c, ahead)),
        3 => controller().prop_map(Op::SendStage),
        4 => controller().prop_map(Op::Decide),
        1 => controller().prop_map(Op::Abort),
        10 => (controller(), 0..90_u8).prop_map(|(c, cut)| Op::RunChange(c, cut)),
        20 => (any::<u8>(), 0..6_u8).prop_map(|(index, repeat)| Op::Deliver(index, repeat == 0)),
    ]
}

/// Guards against two maps in one step, and against granted steps past an undecided change. The operations
/// include missed decisions, stalled ranks, paused controllers, races, replaced processes, log outages and
/// duplicate messages.
#[test]
fn all_ranks_run_a_step_with_one_map() {
    let commits = std::cell::Cell::new(0);
    let schedule = proptest::collection::vec(op(), 150..250);
    runner(CASES)
        .run(&schedule, |ops| {
            let mut simulation = Simulation::new();
            for op in ops {
                simulation.apply(op);
                simulation.check();
            }
            commits.set(commits.get() + simulation.commits);
            Ok(())
        })
        .unwrap();
    // With fewer commits than one change per case besides the first map, the cases would test too little.
    assert!(commits.get() > 2 * CASES as usize, "only {} commits", commits.get());
}

const SCOPE: &str = "group";

/// A rank that has joined, a lease with fencing number 1, and a pending change at step 5 with offset 2.
fn undecided_change() -> (LeaseTable, GroupMaps) {
    let scope = ScopeName::new(SCOPE);
    let mut leases = LeaseTable::new();
    let mut maps = GroupMaps::new(scope.clone(), 1);
    let incarnation = Incarnation(9);
    let join = MapRecord::Join { scope: scope.clone(), rank: 0, incarnation, replaces: None };
    assert_eq!(maps.apply(Offset(0), &join, &leases), MapEffect::Joined);
    grant(&mut leases, 1, 0);
    let map = ExpertMap::round_robin(1, 2, 2, 1);
    let propose = MapRecord::Propose { scope, fencing: FencingNumber(1), step: 5, map };
    assert_eq!(maps.apply(Offset(2), &propose, &leases), MapEffect::Proposed(Offset(2)));
    (leases, maps)
}

fn grant(leases: &mut LeaseTable, offset: u64, unix_ms: u64) {
    let holder = Incarnation(offset);
    let scope = ScopeName::new(SCOPE);
    let supersedes = leases.current(&scope).map(|lease| lease.version());
    let record = LeaseRecord::Grant { scope, holder, request: 1, supersedes, duration_ms: 100 };
    let effect = leases.apply(Offset(offset), Timestamp::from_unix_ms(unix_ms), &record);
    assert_eq!(effect, LeaseEffect::Granted(FencingNumber(offset)));
}

fn commit(fencing: u64, staged: u64) -> MapRecord {
    let (scope, fencing) = (ScopeName::new(SCOPE), FencingNumber(fencing));
    MapRecord::Commit { scope, fencing, change: Offset(2), staged: vec![Incarnation(staged)] }
}

fn abort(fencing: u64) -> MapRecord {
    let scope = ScopeName::new(SCOPE);
    MapRecord::Abort { scope, fencing: FencingNumber(fencing), change: Offset(2) }
}

/// Guards against a lease holder that resumes after a pause and commits although another process holds the
/// lease.
#[test]
fn a_commit_of_a_superseded_lease_has_no_effect() {
    let (mut leases, mut maps) = undecided_change();
    grant(&mut leases, 3, 100);
    assert_eq!(maps.apply(Offset(4), &commit(1, 9), &leases), MapEffect::None);
    assert!(maps.pending().is_some());
    assert_eq!(maps.apply(Offset(5), &commit(3, 9), &leases), MapEffect::Committed(Offset(2)));
}

/// Guards against a change for which both a commit and an abort take effect.
#[test]
fn the_first_decision_counts() {
    for first_is_commit in [true, false] {
        let (leases, mut maps) = undecided_change();
        let records =
            if first_is_commit { [commit(1, 9), abort(1)] } else { [abort(1), commit(1, 9)] };
        assert_ne!(maps.apply(Offset(3), &records[0], &leases), MapEffect::None);
        assert_eq!(maps.apply(Offset(4), &records[1], &leases), MapEffect::None);
        assert_eq!(maps.newest().is_some(), first_is_commit);
    }
}

/// Guards against a commit that counts what a replaced process had staged, and against a duplicate of that
/// process's join record.
#[test]
fn a_replaced_process_voids_what_it_staged() {
    let (leases, mut maps) = undecided_change();
    let join = |incarnation, replaces| MapRecord::Join {
        scope: ScopeName::new(SCOPE),
        rank: 0,
        incarnation: Incarnation(incarnation),
        replaces,
    };
    let successor = join(10, Some(Incarnation(9)));
    assert_eq!(maps.apply(Offset(3), &successor, &leases), MapEffect::Joined);
    assert_eq!(maps.apply(Offset(4), &join(9, None), &leases), MapEffect::None);
    assert_eq!(maps.apply(Offset(5), &commit(1, 9), &leases), MapEffect::None);
    assert_eq!(maps.apply(Offset(6), &commit(1, 10), &leases), MapEffect::Committed(Offset(2)));
}

/// Guards against a restarted process that stages or grants before it knows the engine's state, and against
/// a new lease holder that commits without a report of every rank.
#[test]
fn what_a_restarted_process_does_not_know_is_not_assumed() {
    let (_, maps) = undecided_change();
    let order = StageOrder { change: Offset(2), step: 5, fencing: FencingNumber(1) };
    let mut other_gate = RankGate::new(0, Incarnation(10));
    assert_eq!(other_gate.stage(&maps, &order), Err(StageRefusal::NotJoined));
    let mut gate = RankGate::new(0, Incarnation(9));
    assert_eq!(gate.stage(&maps, &order), Err(StageRefusal::GrantedEndUnknown));
    assert_eq!(gate.grant(&maps, 3), None);
    gate.raise_granted_end(3);
    assert_eq!(gate.stage(&maps, &order), Ok(()));
    gate.raise_granted_end(6);
    assert_eq!(gate.stage(&maps, &order), Err(StageRefusal::StepGranted { granted_end: 6 }));

    let resolve = |status, is_past_deadline| resolve_change(&maps, &[status], is_past_deadline);
    assert_eq!(resolve(StageStatus::Pending, false), Resolution::Wait);
    assert_eq!(resolve(StageStatus::Pending, true), Resolution::Abort);
    assert_eq!(resolve(StageStatus::Refused, false), Resolution::Abort);
    assert_eq!(resolve(StageStatus::Staged(Incarnation(8)), false), Resolution::Wait);
    let staged = StageStatus::Staged(Incarnation(9));
    assert_eq!(resolve(staged, false), Resolution::Commit(vec![Incarnation(9)]));
}

/// Guards against a stalled rank that stages a second change and then lacks the map of the steps before the
/// first change.
#[test]
fn a_rank_takes_up_one_change_at_a_time() {
    let (leases, mut maps) = undecided_change();
    let mut gate = RankGate::new(0, Incarnation(9));
    gate.raise_granted_end(3);
    assert_eq!(maps.apply(Offset(3), &commit(1, 9), &leases), MapEffect::Committed(Offset(2)));
    let map = ExpertMap::round_robin(1, 2, 2, 1);
    let (scope, fencing) = (ScopeName::new(SCOPE), FencingNumber(1));
    let propose = MapRecord::Propose { scope, fencing, step: 8, map };
    assert_eq!(maps.apply(Offset(4), &propose, &leases), MapEffect::Proposed(Offset(4)));
    let order = StageOrder { change: Offset(4), step: 8, fencing };
    assert_eq!(gate.stage(&maps, &order), Err(StageRefusal::PreviousChangeAhead { step: 5 }));
}

/// Guards against a change of the record format that instances of an older build would misread.
#[test]
fn records_are_json_with_a_schema_number() {
    let payload = encode_record(&abort(3)).unwrap();
    let text = String::from_utf8(payload.clone()).unwrap();
    assert_eq!(text, r#"{"schema":1,"kind":"abort","scope":"group","fencing":3,"change":2}"#);
    assert_eq!(decode_record::<MapRecord>(&payload), Ok(abort(3)));
    assert_eq!(decode_record::<LeaseRecord>(&payload), Err(RecordError::OtherKind));
    let newer = text.replace(r#""schema":1"#, r#""schema":2"#);
    assert_eq!(decode_record::<MapRecord>(newer.as_bytes()), Err(RecordError::NewerSchema(2)));
}
