//! Lease over expert groups that is held by records of a log.

use lycheewood::{
    HolderFailureDetector, Incarnation, InstanceId, LeaseCandidate, LeaseState, Offset, Timestamp,
    holding_rank, term_map_version,
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

/// Guards against two processes that issue orders at the same time.
#[test]
fn a_lease_is_over_before_another_process_may_take_it() {
    let mut holder = LeaseState::default();
    holder.record_append(0, at(0), at(100));
    let mut other = LeaseState::default();
    // The other process cannot read the record before it was sent.
    other.record_read(1, false, at(0));
    for ms in 0..5_000 {
        assert!(
            !(holder.may_issue_orders(at(ms)) && other.may_acquire(at(ms))),
            "both may issue orders at {ms} ms"
        );
    }
    assert!(other.may_acquire(at(4_000)));
    // A new record restarts the wait.
    other.record_read(2, false, at(4_000));
    assert!(!other.may_acquire(at(4_100)));
    holder.mark_lost();
    assert!(!holder.may_issue_orders(at(0)));
}

/// Guards against seconds without a holder because the next one starts its wait only when it reads the log,
/// and against a wait that starts from an announced end after which the log has grown.
#[test]
fn a_lease_is_taken_soon_by_those_that_heard_its_holder() {
    let mut holder = LeaseState::default();
    holder.record_append(0, at(0), at(10));
    let mut listener = LeaseState::default();
    listener.record_announced_end(1, at(10));
    // Each heartbeat of the holder announces the same end.
    listener.record_announced_end(1, at(1_500));
    listener.record_read(1, false, at(2_100));
    let taken = (0..5_000).find(|ms| listener.may_acquire(at(*ms))).expect("the lease is acquired");
    assert!(!holder.may_issue_orders(at(taken)) && taken < 3_000, "taken at {taken} ms");
    let mut outdated = LeaseState::default();
    outdated.record_announced_end(1, at(10));
    outdated.record_read(2, false, at(2_100));
    assert!(!outdated.may_acquire(at(2_300)));
}

/// Guards against seconds without a holder after a planned shutdown.
#[test]
fn a_lease_that_is_given_up_is_taken_at_once() {
    let mut other = LeaseState::default();
    other.record_read(3, false, at(0));
    assert!(!other.may_acquire(at(100)));
    other.set_released(true);
    other.record_read(4, false, at(100));
    assert!(other.may_acquire(at(100)));
}

/// Guards against groups without a holder during an outage of the log, and against a holder that continues
/// indefinitely or after it has read that another process took over.
#[test]
fn a_holder_goes_on_while_the_log_does_not_answer() {
    let mut holder = LeaseState::default();
    holder.record_append(4, at(0), at(10));
    assert_eq!(holder.fence(), Some(4));
    assert!(!holder.may_issue_orders(at(5_000)));
    holder.mark_log_unreachable();
    assert!(holder.may_issue_orders(at(5_000)) && !holder.may_issue_orders(at(60_000)));
    // Renewals belong to the same term.
    holder.record_append(5, at(6_000), at(6_010));
    assert_eq!(holder.fence(), Some(4));
    holder.mark_log_unreachable();
    holder.record_read(7, false, at(7_000));
    assert_eq!((holder.may_issue_orders(at(7_000)), holder.fence()), (false, None));
}

/// Guards against two maps with the same version, and versions that decrease when the lease changes hands.
#[test]
fn versions_of_maps_rise_from_tenure_to_tenure() {
    let terms = [(0, 1), (0, 2), (0, 900), (1, 1), (40, 1), (41, 1)];
    let versions: Vec<u64> =
        terms.iter().map(|(fence, count)| term_map_version(*fence, *count)).collect();
    assert!(versions.windows(2).all(|pair| pair[0] < pair[1]), "{versions:?}");
    assert!(term_map_version(1 << 30, 1) < 1 << 53);
    let ranks: Vec<usize> = (1..5).map(|n| holding_rank(term_map_version(7, n), 12)).collect();
    assert!(ranks.windows(2).all(|pair| pair[0] != pair[1]), "{ranks:?}");
    assert_ne!(holding_rank(term_map_version(7, 1), 12), holding_rank(term_map_version(8, 1), 12));
}

/// Guards against waiting for the lease of a holder that has crashed, and against taking the lease from a
/// running holder because of a late heartbeat of the previous process at its address.
#[test]
fn a_lease_ends_with_its_process_but_not_on_one_late_heartbeat() {
    let (holder, before, after) = (Incarnation(2), Incarnation(1), Incarnation(3));
    let mut watch = HolderFailureDetector::default();
    assert!(!watch.has_ended(holder, holder, 40));
    assert!(!watch.has_ended(holder, before, 90), "late heartbeat of an earlier process");
    assert!(!watch.has_ended(holder, before, 90), "copy of that heartbeat");
    assert!(!watch.has_ended(holder, holder, 41), "the holder is running");
    assert!(!watch.has_ended(holder, after, 1));
    assert!(!watch.has_ended(holder, after, 1));
    assert!(watch.has_ended(holder, after, 2), "another process runs at the address");
}

/// Guards against a small machine that holds the lease of large groups: with 0.24 cores it switched the maps of three
/// groups of 64 ranks in 1 to 7 s, where one with 0.5 took half a second.
#[test]
fn instances_with_more_processor_take_a_free_lease_first() {
    let names = ["a", "b", "c"].map(InstanceId::new);
    let candidate = |index: usize, processor_millicores| LeaseCandidate {
        instance: &names[index],
        processor_millicores,
    };
    let (small, large) = (candidate(0, 240), candidate(1, 500));
    assert!(large.precedes(&small) && !small.precedes(&large));
    // Equal ones go by name, also where the share is not known.
    assert!(candidate(1, 240).precedes(&candidate(2, 240)));
    assert!(candidate(0, 0).precedes(&candidate(1, 0)));
    assert!(!small.precedes(&small));
}

/// Guards against a new holder whose orders and maps are refused because the log has gone back to a lower offset, and
/// against followers that take the announcements of an earlier era for newer ones.
#[test]
fn terms_of_a_later_era_come_after_all_before() {
    let (before, after) = (Offset::in_era(0, 5_000), Offset::in_era(1, 3));
    assert!(after.0 > before.0);
    assert!(term_map_version(after.0, 1) > term_map_version(before.0, 900_000));
    assert!(term_map_version(Offset::in_era(63, 5_000_000).0, 900_000) < 1 << 53);
    let mut follower = LeaseState::default();
    follower.record_announced_end(before.0, at(0));
    follower.record_announced_end(after.0, at(1_000));
    follower.record_read(after.0, false, at(2_000));
    assert_eq!(follower.acquirable_at(), Some(at(2_150)));
    // Absurd values do not wrap around.
    assert!(Offset::in_era(u64::MAX, 0) > Offset::in_era(7, u64::MAX));
    assert_eq!(Offset::in_era(7, u64::MAX).era(), 7);
    // A log without records is free in any era.
    let mut empty = LeaseState::default();
    empty.record_read(Offset::in_era(2, 0).0, false, at(0));
    assert!(empty.may_acquire(at(0)));
}
