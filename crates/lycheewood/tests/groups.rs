//! Replay of stream `leases`: errors, snapshots and the scopes of groups.

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

fn process(state: &GroupState, rank: usize) -> Option<Incarnation> {
    state.maps(&group_scope("g", 2)).and_then(|maps: &GroupMaps| maps.process(rank))
}

/// Guards against an instance that skips a record of a newer schema and then decides differently from newer
/// instances.
#[test]
fn a_record_of_a_newer_schema_stops_the_fold() {
    let mut state = GroupState::default();
    state.observe_bounds(Offset(0), Offset(3));
    let now = Timestamp::from_unix_ms(1);
    state.apply(Offset(0), now, &join(0));
    state.apply(Offset(1), now, br#"{"schema":2,"kind":"join"}"#);
    state.apply(Offset(2), now, &join(1));
    assert_eq!(state.replay_error(), Some(ReplayError::NewerSchema(2)));
    assert_eq!(state.next_offset(), Offset(1));
    assert_eq!((process(&state, 0), process(&state, 1)), (Some(Incarnation(7)), None));
}

/// Guards against an instance that silently misses expired records, such as a decision on a map.
#[test]
fn expired_records_stop_the_fold() {
    let mut state = GroupState::default();
    state.observe_bounds(Offset(0), Offset(1));
    state.apply(Offset(0), Timestamp::from_unix_ms(1), &join(0));
    state.observe_bounds(Offset(5), Offset(6));
    state.apply(Offset(5), Timestamp::from_unix_ms(2), &join(1));
    assert_eq!(state.replay_error(), Some(ReplayError::Gap));
    assert_eq!(process(&state, 1), None);
}

/// Guards against a record whose scope makes every instance allocate without bound.
#[test]
fn only_scopes_with_a_bounded_number_of_ranks_are_groups() {
    assert_eq!(group_rank_count(&group_scope("g", 32)), Some(32));
    for scope in ["g", "g/", "g/0", "g/4097", "g/x"] {
        assert_eq!(group_rank_count(&ScopeName::new(scope)), None, "{scope}");
    }
}

/// Payloads of a stream: a grant of a lease, joins of both ranks, and a proposal and commit of a map.
fn records() -> Vec<Vec<u8>> {
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

/// The state after replay of the records from `first` on.
fn replay(records: &[Vec<u8>], first: u64) -> GroupState {
    let mut state = GroupState::default();
    state.observe_bounds(Offset(first), Offset(records.len() as u64));
    for (payload, offset) in records.iter().zip(0..).skip(usize::try_from(first).unwrap_or(0)) {
        state.apply(Offset(offset), Timestamp::from_unix_ms(1_000 + offset), payload);
    }
    state
}

/// Guards against a new process that never starts, or derives another state than the others, after older
/// records have expired; and against a late snapshot that restores an older state.
#[test]
fn a_snapshot_starts_a_fold_only_with_all_records_after_it() {
    let mut records = records();
    // The snapshot of a process that was paused after the joins.
    let delayed = replay(&records[..3], 0).snapshot().expect("a snapshot");
    records.push(encode_record(&delayed).expect("encode"));
    let complete = replay(&records, 0);
    assert_eq!(
        complete.maps(&group_scope("g", 2)).and_then(GroupMaps::newest).map(|m| m.step),
        Some(0)
    );
    for first in 1..=records.len() as u64 {
        let state = replay(&records, first);
        match first {
            // All records after the snapshot's `upto` are readable.
            1..=3 => assert_eq!(state.snapshot(), complete.snapshot(), "at {first}"),
            4 | 5 => assert_eq!(state.replay_error(), Some(ReplayError::NoSnapshot), "at {first}"),
            // No record is readable: replay starts from the empty state.
            _ => assert_eq!((state.replay_error(), state.groups().len()), (None, 0)),
        }
    }
    let newer = complete.snapshot().expect("a snapshot");
    records.push(encode_record(&newer).expect("encode"));
    assert_eq!(replay(&records, 5).snapshot(), replay(&records, 0).snapshot());
}

/// Guards against a snapshot that is due only after records that new instances need have expired.
#[test]
fn a_snapshot_is_due_by_the_oldest_record_that_new_nodes_need() {
    let retention_ms = 90_000;
    let mut records = records();
    let due_at = |records: &[Vec<u8>], unix_ms| {
        let state = replay(records, 0);
        let view = GroupSnapshotView { state: &state, retention_ms, jitter_ms: 0 };
        group_snapshot_due(&view, Timestamp::from_unix_ms(unix_ms))
    };
    assert!(!due_at(&records, 30_999));
    assert!(due_at(&records, 31_000));
    // The age of a snapshot counts from its last record, the fourth (at 1 003 ms), not from its own append.
    let snapshot = replay(&records[..4], 0).snapshot().expect("a snapshot");
    records.push(encode_record(&snapshot).expect("encode"));
    assert!(!due_at(&records, 31_002));
    assert!(due_at(&records, 31_003));
}
