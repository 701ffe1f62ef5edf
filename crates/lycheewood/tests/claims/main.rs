//! At-most-once execution under restarts, lost replies, outages, delays, pauses and expiry.

use std::cell::Cell;

use lycheewood::{
    AttemptId, AttemptState, AttemptTable, ClaimBatch, ClaimEntry, ClaimKey, ClaimPosition,
    ClaimRecord, ClaimSettings, ClaimStatus, ClaimTable, EndpointView, Fingerprint, Incarnation,
    KeyState, Occupancy, Offset, RecoverDecision, RefusedReason, RequestError, Start,
    StartDecision, SubmittedClaim, Timestamp, UnknownCode, VersionName, WorkspaceName, decide_ask,
    decide_start,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

mod world;

use world::{Action, AppendOutcome, Op, SETTINGS, World, claim_key, key, op, record, start};

/// Guards against a key whose request runs twice, and against an attempt that is reported as not run
/// although it ran.
#[test]
fn no_key_runs_twice_and_not_run_is_true() {
    let config = Config { cases: 1_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let (runs, after_recovery) = (Cell::new(0), Cell::new(0));
    let ops = prop::collection::vec(op(), 40..160);
    TestRunner::new_with_rng(config, rng)
        .run(&ops, |ops| {
            let mut world = World::new();
            for op in ops {
                world.step(op);
                world.check()?;
            }
            runs.set(runs.get() + world.executed.len());
            after_recovery.set(after_recovery.get() + world.runs_after_recovery);
            Ok(())
        })
        .unwrap();
    // The simulation must reach the states that it checks.
    assert!(runs.get() > 500, "only {} runs", runs.get());
    assert!(after_recovery.get() > 20, "only {} runs after a recovery", after_recovery.get());
}

/// Guards against a request that runs twice: the first claim of its key has expired from the log, and a
/// second claim, sent within the key's window but appended after it, reaches an entry that never read the
/// first.
#[test]
fn an_append_delayed_past_the_window_runs_nothing() {
    let quiet = Op {
        action: Action::Process,
        entry: 0,
        key: 0,
        endpoint: 0,
        even: false,
        likely: true,
        append: AppendOutcome::Arrives,
        wait_ms: 59_000,
    };
    let other = Op { entry: 1, append: AppendOutcome::Delayed, wait_ms: 3_500, ..quiet };
    let first = [Action::SendClaim, Action::Process, Action::DeliverStart, Action::AdvanceClock];
    let late = [
        Action::SendClaim,
        Action::AdvanceClock,
        Action::DeliverAppend,
        Action::Process,
        Action::DeliverStart,
    ];
    let mut world = World::new();
    for op in first.map(|action| Op { action, ..quiet }) {
        world.step(op);
    }
    for op in late.map(|action| Op { action, ..other }) {
        world.step(op);
    }
    assert_eq!(world.executed.len(), 1);
}

fn claim(at_ms: u64, sequence: u64, body: u8) -> ClaimRecord {
    let attempt = AttemptId { incarnation: Incarnation(1), sequence };
    let record = record(key_at(at_ms), attempt, Incarnation(9), 0);
    ClaimRecord { fingerprint: Fingerprint::from([body; 16]), ..record }
}

fn apply(table: &mut ClaimTable, at_ms: u64, entries: &[ClaimEntry]) {
    let payload = ClaimBatch::new(entries.to_vec()).to_json();
    table.apply(table.next_offset(), Timestamp::from_unix_ms(at_ms), &payload);
}

fn key_at(ms: u64) -> ClaimKey {
    claim_key(&key(Timestamp::from_unix_ms(ms), 0))
}

/// Guards against a grant to a later claim of a batch, and against a late copy of `Recovered` or `Released`
/// that frees a newer claim.
#[test]
fn a_late_duplicate_frees_nothing() {
    let (mut table, key) = (ClaimTable::new(SETTINGS), key_at(5));
    let first = ClaimPosition { offset: Offset(0), index: 0 };
    let recovered = ClaimEntry::Recovered { key, claim: first };
    // Of two claims in one batch, the first holds the key.
    apply(&mut table, 10, &[1, 3].map(|sequence| ClaimEntry::Claim(claim(5, sequence, 0))));
    // A release by another process has no effect. `Recovered` frees the key for the claim that follows it.
    let foreign = ClaimEntry::Released { key, claim: first, by: Incarnation(2) };
    apply(&mut table, 10, &[foreign]);
    assert_eq!(table.holder(&key).unwrap().attempt.sequence, 1);
    apply(&mut table, 10, &[recovered.clone(), ClaimEntry::Claim(claim(5, 2, 0))]);
    let released = ClaimEntry::Released { key, claim: first, by: Incarnation(1) };
    apply(&mut table, 10, &[recovered, released]);
    let holder = table.holder(&key).unwrap();
    assert_eq!((holder.attempt.sequence, holder.claim.index), (2, 1));
}

/// Guards against two workspaces that share a key, and against a key that serves two different requests.
#[test]
fn keys_belong_to_a_workspace_and_a_request() {
    let at = Timestamp::from_unix_ms(5);
    let digests = ["a", "ab"].map(|w| ClaimKey::new(&WorkspaceName::new(w), &key(at, 0)).digest);
    assert_ne!(digests[0], digests[1]);
    let [a, ab] = ["a", "ab"].map(WorkspaceName::new);
    assert_ne!(Fingerprint::of(&a, "bc", "", b""), Fingerprint::of(&ab, "c", "", b""));

    let mut table = ClaimTable::new(SETTINGS);
    let own = claim(5, 2, 1);
    apply(&mut table, 10, &[ClaimEntry::Claim(claim(5, 1, 0)), ClaimEntry::Claim(own.clone())]);
    let position = Some(ClaimPosition { offset: Offset(0), index: 1 });
    let claim_status = table.claim_status(&SubmittedClaim { record: &own, position });
    assert_eq!(claim_status, ClaimStatus::DifferentRequest);
}

/// Guards against granting a key whose earlier claim expired from the log, was evicted from the table or
/// has a newer schema.
#[test]
fn missed_claims_count_as_expired() {
    let any = Fingerprint::from([0; 16]);
    let key_state = |table: &ClaimTable, at_ms| match table.key_state(&key_at(at_ms), &any) {
        KeyState::Free => "free",
        KeyState::KeyExpired => "expired",
        _ => "other",
    };
    let at = Timestamp::from_unix_ms(50_000);
    let empty = ClaimBatch::new(Vec::new()).to_json();
    let mut gap = ClaimTable::new(SETTINGS);
    gap.apply(Offset(3), at, &empty);
    let mut newer = ClaimTable::new(SETTINGS);
    newer.apply(Offset(0), at, r#"{"schema": 2, "claims": "elsewhere"}"#);
    for table in [gap, newer] {
        assert_eq!([52_000, 52_001].map(|ms| key_state(&table, ms)), ["expired", "free"]);
    }
    let mut full = ClaimTable::new(ClaimSettings { max_keys: 1, ..SETTINGS });
    apply(&mut full, 50_000, &[40_000, 41_000].map(|ms| ClaimEntry::Claim(claim(ms, ms, 0))));
    assert_eq!([40_000, 40_001].map(|ms| key_state(&full, ms)), ["expired", "free"]);
    apply(&mut full, 101_001, &[]);
    assert!(full.is_empty() && key_state(&full, 41_000) == "expired");
}

/// Guards against claiming a key outside its window.
#[test]
fn the_key_window_has_two_ends() {
    let created = key(Timestamp::from_unix_ms(100_000), 0);
    let check = |ms| SETTINGS.check_key(&created, Timestamp::from_unix_ms(ms));
    assert!([99_000, 160_000].map(check).iter().all(Result::is_ok));
    assert!(matches!(check(98_999), Err(RequestError::Invalid(_))));
    let expired = check(160_001).unwrap_err();
    assert!(matches!(expired, RequestError::Unknown(u) if u.code == UnknownCode::KeyExpired));
}

/// Guards against an endpoint that starts a refused attempt, or reports an attempt as not run without proof.
#[test]
fn an_endpoint_refuses_only_what_it_can_vouch_for() {
    use AttemptState::{Answered, Lost, NeverSeen, Promised, Running};
    let (now, v1) = (Timestamp::from_unix_ms(1_000), VersionName::new("v1"));
    let idle = EndpointView {
        incarnation: Incarnation(9),
        draining: false,
        engine_up: true,
        version: Some(&v1),
        occupancy: Occupancy { running: 1, capacity: 2, runs_alone: false },
        attempt_table_full: false,
    };
    let alone = Occupancy { runs_alone: true, ..idle.occupancy };
    let id = AttemptId { incarnation: Incarnation(1), sequence: 1 };
    let sent = start(id, Incarnation(9), now.plus_ms(1));
    let refuse = |reason, until: Option<u64>| StartDecision::Refuse {
        reason,
        promise_until: until.map(Timestamp::from_unix_ms),
    };
    let draining = EndpointView { draining: true, ..idle };
    let table = [
        (idle, NeverSeen, sent.clone(), StartDecision::Run),
        (draining, Running, sent.clone(), StartDecision::Attach),
        (idle, Answered, Start { deadline: now, ..sent.clone() }, StartDecision::Attach),
        (idle, Lost, sent.clone(), StartDecision::Fail),
        (idle, Promised, sent.clone(), refuse(RefusedReason::Promised, None)),
        (
            idle,
            NeverSeen,
            Start { deadline: now, ..sent.clone() },
            refuse(RefusedReason::DeadlinePassed, None),
        ),
        (
            idle,
            Running,
            Start { endpoint_incarnation: Incarnation(8), ..sent.clone() },
            refuse(RefusedReason::OtherIncarnation, None),
        ),
        (draining, NeverSeen, sent.clone(), refuse(RefusedReason::Draining, Some(1_001))),
        (
            EndpointView { engine_up: false, ..idle },
            NeverSeen,
            sent.clone(),
            refuse(RefusedReason::EngineDown, Some(1_001)),
        ),
        (
            EndpointView { occupancy: alone, ..idle },
            NeverSeen,
            sent.clone(),
            refuse(RefusedReason::Full, Some(1_001)),
        ),
        (
            idle,
            NeverSeen,
            Start { run_alone: true, ..sent.clone() },
            refuse(RefusedReason::Full, Some(1_001)),
        ),
        (
            EndpointView { attempt_table_full: true, ..draining },
            NeverSeen,
            sent.clone(),
            StartDecision::Fail,
        ),
    ];
    for (row, (view, state, start, decision)) in table.into_iter().enumerate() {
        assert_eq!(decide_start(&view, state, &start, now), decision, "row {row}");
    }
    // An `Ask` that arrives before its `Start` gets a promise.
    let promise = RecoverDecision::Promise {
        reason: RefusedReason::NeverSeen,
        promise_until: Some(now.plus_ms(10)),
    };
    assert_eq!(decide_ask(&idle, NeverSeen, 10, now), promise);
}

/// Guards against reporting an evicted attempt as not run, and against promises that are evicted before they
/// expire.
#[test]
fn a_forgotten_attempt_counts_as_lost() {
    let id = |sequence| AttemptId { incarnation: Incarnation(1), sequence };
    let (now, mut table) = (Timestamp::from_unix_ms(0), AttemptTable::new(2));
    table.record_promise(id(1), Some(now.plus_ms(10)));
    for sequence in [3, 4] {
        table.mark_running(id(sequence));
        table.mark_ended(id(sequence), true);
    }
    let states = [1, 2, 3, 4, 5].map(|sequence| table.state(id(sequence), now));
    let expected = [
        AttemptState::Promised,
        AttemptState::Lost,
        AttemptState::Lost,
        AttemptState::Answered,
        AttemptState::NeverSeen,
    ];
    assert_eq!(states, expected);
    table.record_promise(id(5), Some(now.plus_ms(10)));
    assert!(table.is_full());
    table.remove_expired_promises(now.plus_ms(10));
    assert!(!table.is_full());
}
