//! The fold of stream `leases`: where it stops, and which scopes are groups.

use lycheewood::{FoldStop, GroupLog, Incarnation, Offset, RankMaps, ScopeName, Timestamp};
use lycheewood::{MapRecord, encode_record, group_scope, ranks_of};

fn join(rank: usize) -> Vec<u8> {
    let scope = group_scope("g", 2);
    let incarnation = Incarnation(7);
    encode_record(&MapRecord::Join { scope, rank, incarnation, replaces: None }).expect("encode")
}

fn process(fold: &GroupLog, rank: usize) -> Option<Incarnation> {
    fold.maps(&group_scope("g", 2)).and_then(|maps: &RankMaps| maps.process(rank))
}

/// Guards against a node that reads on past a record that it does not understand and then decides
/// otherwise than newer nodes.
#[test]
fn a_record_of_a_newer_schema_stops_the_fold() {
    let mut fold = GroupLog::default();
    fold.read_bounds(Offset(0), Offset(3));
    let now = Timestamp::from_unix_ms(1);
    fold.fold(Offset(0), now, &join(0));
    fold.fold(Offset(1), now, br#"{"schema":2,"kind":"join"}"#);
    fold.fold(Offset(2), now, &join(1));
    assert_eq!(fold.stopped(), Some(FoldStop::NewerSchema(2)));
    assert_eq!(fold.next_offset(), Offset(1));
    assert_eq!((process(&fold, 0), process(&fold, 1)), (Some(Incarnation(7)), None));
}

/// Guards against a node that skips expired records without notice, such as a decision.
#[test]
fn expired_records_stop_the_fold() {
    let mut fold = GroupLog::default();
    fold.read_bounds(Offset(0), Offset(1));
    fold.fold(Offset(0), Timestamp::from_unix_ms(1), &join(0));
    fold.read_bounds(Offset(5), Offset(6));
    fold.fold(Offset(5), Timestamp::from_unix_ms(2), &join(1));
    assert_eq!(fold.stopped(), Some(FoldStop::Gap));
    assert_eq!(process(&fold, 1), None);
}

/// Guards against a record that makes every node allocate for a group without bound.
#[test]
fn only_scopes_with_a_bounded_number_of_ranks_are_groups() {
    assert_eq!(ranks_of(&group_scope("g", 32)), Some(32));
    for scope in ["g", "g/", "g/0", "g/4097", "g/x"] {
        assert_eq!(ranks_of(&ScopeName::new(scope)), None, "{scope}");
    }
}
