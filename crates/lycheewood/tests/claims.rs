//! At-most-once execution under restarts, lost replies, outages, delays, pauses and expiry.

use std::cell::Cell;

use lycheewood::{
    AttemptId, ClaimBatch, ClaimEntry, ClaimKey, ClaimPosition, ClaimRecord, ClaimSettings,
    ClaimTable, ClaimVerdict, Fingerprint, Incarnation, Offset, OwnClaim, Refusal, Standing,
    Timestamp, UnknownCode, WorkspaceName,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[path = "claims/op.rs"]
mod op;
#[path = "claims/world.rs"]
mod world;

use op::{Op, Reply};
use world::{SETTINGS, World, endpoint_name, key, workspace};

/// Guards against a second run of a key and against a not-run answer for an attempt that ran.
#[test]
fn no_key_runs_twice_and_not_run_is_true() {
    let config = Config { cases: 1_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let (runs, after_recovery) = (Cell::new(0), Cell::new(0));
    let ops = prop::collection::vec(op::op(), 40..160);
    TestRunner::new_with_rng(config, rng)
        .run(&ops, |ops| {
            let mut world = World::new();
            for op in &ops {
                world.step(op);
                world.check()?;
            }
            runs.set(runs.get() + world.ran.len());
            after_recovery.set(after_recovery.get() + world.runs_after_recovery);
            Ok(())
        })
        .unwrap();
    // The machine must reach the states that it is to check.
    assert!(runs.get() > 500, "only {} runs", runs.get());
    assert!(after_recovery.get() > 20, "only {} runs after a recovery", after_recovery.get());
}

/// Guards against a key running again when its claim has left the log and a new one, sent while the key
/// was still fresh, arrives after that at an entry that never saw the first.
#[test]
fn an_append_delayed_past_the_window_runs_nothing() {
    let send = |entry, reply| Op::Send { entry, key: 0, endpoint: 0, twice: false, reply };
    let work = |entry| Op::Work { entry, reads: true, pauses: false };
    let (deliver, wait) = (Op::DeliverStart { which: 0, again: false }, |ms| Op::Advance { ms });
    let first = [send(0, Reply::Arrives), work(0), deliver.clone(), wait(59_000)];
    let late = [send(1, Reply::Delayed), wait(3_500), Op::DelayedAppend, work(1), deliver];
    let mut world = World::new();
    first.iter().chain(&late).for_each(|op| world.step(op));
    assert_eq!(world.ran.len(), 1);
}

fn record(key: ClaimKey, sequence: u64, body: u8) -> ClaimRecord {
    ClaimRecord {
        key,
        attempt: AttemptId { incarnation: Incarnation(1), sequence },
        endpoint: endpoint_name(0),
        endpoint_incarnation: Incarnation(9),
        fingerprint: Fingerprint::from([body; 16]),
    }
}

fn fold(table: &mut ClaimTable, at_ms: u64, entries: &[ClaimEntry]) {
    let payload = ClaimBatch::new(entries.to_vec()).to_json();
    table.fold(table.next_offset(), Timestamp::from_unix_ms(at_ms), &payload);
}

fn claim_key(at_ms: u64) -> ClaimKey {
    ClaimKey::new(&workspace(), &key(Timestamp::from_unix_ms(at_ms), 0))
}

/// Guards against a late copy of `Recovered` or `Released` freeing a newer claim.
#[test]
fn a_late_duplicate_frees_nothing() {
    let (mut table, key) = (ClaimTable::new(SETTINGS), claim_key(5));
    let first = ClaimPosition { offset: Offset(0), index: 0 };
    let recovered = ClaimEntry::Recovered { key, claim: first };
    fold(&mut table, 10, &[ClaimEntry::Claim(record(key, 1, 0))]);
    // Another process may not release; the holder's promise frees the key for the claim behind it.
    let foreign = ClaimEntry::Released { key, claim: first, by: Incarnation(2) };
    fold(&mut table, 10, &[foreign]);
    assert_eq!(table.holder(&key).unwrap().attempt.sequence, 1);
    fold(&mut table, 10, &[recovered.clone(), ClaimEntry::Claim(record(key, 2, 0))]);
    let released = ClaimEntry::Released { key, claim: first, by: Incarnation(1) };
    fold(&mut table, 10, &[recovered, released]);
    let holder = table.holder(&key).unwrap();
    assert_eq!((holder.attempt.sequence, holder.claim.index), (2, 1));
}

/// Guards against two workspaces sharing a key, and a key serving two different requests.
#[test]
fn keys_belong_to_a_workspace_and_a_request() {
    let at = Timestamp::from_unix_ms(5);
    let digests = ["a", "ab"].map(|w| ClaimKey::new(&WorkspaceName::new(w), &key(at, 0)).digest);
    assert_ne!(digests[0], digests[1]);
    let [a, ab] = ["a", "ab"].map(WorkspaceName::new);
    assert_ne!(Fingerprint::of(&a, "bc", "", b""), Fingerprint::of(&ab, "c", "", b""));

    let (mut table, key) = (ClaimTable::new(SETTINGS), claim_key(5));
    let own = record(key, 2, 1);
    fold(&mut table, 10, &[ClaimEntry::Claim(record(key, 1, 0)), ClaimEntry::Claim(own.clone())]);
    let position = Some(ClaimPosition { offset: Offset(0), index: 1 });
    let verdict = table.verdict(&OwnClaim { record: &own, position });
    assert_eq!(verdict, ClaimVerdict::DifferentRequest);
}

/// Guards against granting a key whose claim was dropped by the log, evicted, or not understood.
#[test]
fn missed_claims_count_as_expired() {
    let any = Fingerprint::from([0; 16]);
    let standing = |table: &ClaimTable, at_ms| match table.standing(&claim_key(at_ms), &any) {
        Standing::Free => "free",
        Standing::KeyExpired => "expired",
        _ => "other",
    };
    let at = Timestamp::from_unix_ms(50_000);
    let empty = ClaimBatch::new(Vec::new()).to_json();
    let mut gap = ClaimTable::new(SETTINGS);
    gap.fold(Offset(3), at, &empty);
    let mut newer = ClaimTable::new(SETTINGS);
    newer.fold(Offset(0), at, r#"{"schema": 2, "claims": "elsewhere"}"#);
    for table in [gap, newer] {
        assert_eq!([52_000, 52_001].map(|ms| standing(&table, ms)), ["expired", "free"]);
    }
    let mut full = ClaimTable::new(ClaimSettings { max_keys: 1, ..SETTINGS });
    fold(
        &mut full,
        50_000,
        &[40_000, 41_000].map(|ms| ClaimEntry::Claim(record(claim_key(ms), ms, 0))),
    );
    assert_eq!([40_000, 40_001].map(|ms| standing(&full, ms)), ["expired", "free"]);
    fold(&mut full, 101_001, &[]);
    assert!(full.is_empty() && standing(&full, 41_000) == "expired");
}

/// Guards against a key outside its window being claimed at all.
#[test]
fn the_key_window_has_two_ends() {
    let created = key(Timestamp::from_unix_ms(100_000), 0);
    let check = |ms| SETTINGS.check_key(&created, Timestamp::from_unix_ms(ms));
    assert!([99_000, 160_000].map(check).iter().all(Result::is_ok));
    assert!(matches!(check(98_999), Err(Refusal::Invalid(_))));
    let expired = check(160_001).unwrap_err();
    assert!(matches!(expired, Refusal::Unknown(u) if u.code == UnknownCode::KeyExpired));
}
