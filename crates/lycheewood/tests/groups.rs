//! The fold of stream `leases`: where it stops, and which scopes are groups.

use lycheewood::{
    ExpertMap, FencingNumber, GroupMaps, GroupSnapshotView, GroupState, Incarnation, LeaseRecord,
    Offset, ReplayError, ScopeName, Timestamp, group_snapshot_due,
};
use lycheewood::{MapRecord, encode_record, group_rank_count, group_scope};

fn join(rank: usize) -> Vec<u8> {
    let scope = group_scope("g", 2);
    let incarnation = Incarnation(7);
    encode_record(&MapRecord::Join { scope, rank, incarnation, replaces: None }).expect("encode")
}

fn process(fold: &GroupState, rank: usize) -> Option<Incarnation> {
    fold.maps(&group_scope("g", 2)).and_then(|maps: &GroupMaps| maps.process(rank))
}

/// Guards against a node that reads on past a record that it does not understand and then decides
/// otherwise than newer nodes.
#[test]
fn a_record_of_a_newer_schema_stops_the_fold() {
    let mut fold = GroupState::default();
    fold.observe_bounds(Offset(0), Offset(3));
    let now = Timestamp::from_unix_ms(1);
    fold.apply(Offset(0), now, &join(0));
    fold.apply(Offset(1), now, br#"{"schema":2,"kind":"join"}"#);
    fold.apply(Offset(2), now, &join(1));
    assert_eq!(fold.replay_error(), Some(ReplayError::NewerSchema(2)));
    assert_eq!(fold.next_offset(), Offset(1));
    assert_eq!((process(&fold, 0), process(&fold, 1)), (Some(Incarnation(7)), None));
}

/// Guards against a node that skips expired records without notice, such as a decision.
#[test]
fn expired_records_stop_the_fold() {
    let mut fold = GroupState::default();
    fold.observe_bounds(Offset(0), Offset(1));
    fold.apply(Offset(0), Timestamp::from_unix_ms(1), &join(0));
    fold.observe_bounds(Offset(5), Offset(6));
    fold.apply(Offset(5), Timestamp::from_unix_ms(2), &join(1));
    assert_eq!(fold.replay_error(), Some(ReplayError::Gap));
    assert_eq!(process(&fold, 1), None);
}

/// Guards against a record that makes every node allocate for a group without bound.
#[test]
fn only_scopes_with_a_bounded_number_of_ranks_are_groups() {
    assert_eq!(group_rank_count(&group_scope("g", 32)), Some(32));
    for scope in ["g", "g/", "g/0", "g/4097", "g/x"] {
        assert_eq!(group_rank_count(&ScopeName::new(scope)), None, "{scope}");
    }
}

/// Payloads of a stream in which a lease is granted, both ranks join, and a map is proposed and committed.
fn history() -> Vec<Vec<u8>> {
    let scope = || group_scope("g", 2);
    let fencing = FencingNumber(0);
    let grant = LeaseRecord::Grant {
        scope: scope(),
        holder: Incarnation(1),
        request: 1,
        supersedes: None,
        duration_ms: 60_000,
    };
    let join = |rank, incarnation| MapRecord::Join {
        scope: scope(),
        rank,
        incarnation: Incarnation(incarnation),
        replaces: None,
    };
    let map = ExpertMap::round_robin(2, 2, 2, 1);
    let propose = MapRecord::Propose { scope: scope(), fencing, step: 0, map };
    let staged = vec![Incarnation(10), Incarnation(11)];
    let commit = MapRecord::Commit { scope: scope(), fencing, change: Offset(3), staged };
    vec![
        encode_record(&grant).expect("encode"),
        encode_record(&join(0, 10)).expect("encode"),
        encode_record(&join(1, 11)).expect("encode"),
        encode_record(&propose).expect("encode"),
        encode_record(&commit).expect("encode"),
    ]
}

/// A node that reads the records from `first` on.
fn node(records: &[Vec<u8>], first: u64) -> GroupState {
    let mut fold = GroupState::default();
    fold.observe_bounds(Offset(first), Offset(records.len() as u64));
    for (payload, offset) in records.iter().zip(0..).skip(usize::try_from(first).unwrap_or(0)) {
        fold.apply(Offset(offset), Timestamp::from_unix_ms(1_000 + offset), payload);
    }
    fold
}

/// Guards against a new node, or a replaced rank, that waits for good or folds otherwise than the others
/// once the records of a group have expired; and against a snapshot that brings back an older state.
#[test]
fn a_snapshot_starts_a_fold_only_with_all_records_after_it() {
    let mut records = history();
    // Written by a process that was paused after it had folded the joins.
    let late = node(&records[..3], 0).snapshot().expect("a snapshot");
    records.push(encode_record(&late).expect("encode"));
    let whole = node(&records, 0);
    assert_eq!(
        whole.maps(&group_scope("g", 2)).and_then(GroupMaps::newest).map(|m| m.step),
        Some(0)
    );
    for first in 1..=records.len() as u64 {
        let fold = node(&records, first);
        match first {
            // Every record after the snapshot's last one is readable.
            1..=3 => assert_eq!(fold.snapshot(), whole.snapshot(), "first {first}"),
            4 | 5 => {
                assert_eq!(fold.replay_error(), Some(ReplayError::NoSnapshot), "first {first}");
            }
            // Nothing is readable: the fold starts afresh.
            _ => assert_eq!((fold.replay_error(), fold.groups().len()), (None, 0)),
        }
    }
    let present = whole.snapshot().expect("a snapshot");
    records.push(encode_record(&present).expect("encode"));
    assert_eq!(node(&records, 5).snapshot(), node(&records, 0).snapshot());
}

/// Guards against a stream in which the start that new nodes need expires before the next snapshot.
#[test]
fn a_snapshot_is_due_by_the_oldest_record_that_new_nodes_need() {
    let retention_ms = 90_000;
    let mut records = history();
    let due_at = |records: &[Vec<u8>], unix_ms| {
        let fold = node(records, 0);
        let view = GroupSnapshotView { state: &fold, retention_ms, jitter_ms: 0 };
        group_snapshot_due(&view, Timestamp::from_unix_ms(unix_ms))
    };
    assert!(!due_at(&records, 30_999));
    assert!(due_at(&records, 31_000));
    // A snapshot that speaks up to the fourth record (at 1 003 ms) counts from there, not from its own
    // append.
    let snapshot = node(&records[..4], 0).snapshot().expect("a snapshot");
    records.push(encode_record(&snapshot).expect("encode"));
    assert!(!due_at(&records, 31_002));
    assert!(due_at(&records, 31_003));
}
