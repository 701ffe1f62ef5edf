//! Tests of the evacuated failure domains: which state is in force, and how a domain is used again.

use lycheewood::{
    EvacuationChange, EvacuationTable, Evacuations, FailureDomain, HeartbeatExtension, Offset,
    Timestamp,
};

const NOW: Timestamp = Timestamp::from_unix_ms(1_000_000);

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name)
}

fn state(next: u64, domains: &[&str]) -> Evacuations {
    Evacuations { next: Offset(next), domains: domains.iter().map(|name| domain(name)).collect() }
}

fn change(offset: u64, name: &str, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange { offset: Offset(offset), domain: domain(name), is_evacuated }
}

/// Guards against a late reply or a heartbeat of an instance that lags putting an earlier state back in force.
#[test]
fn state_of_a_lower_offset_changes_nothing() {
    let mut table = EvacuationTable::default();
    assert!(table.replace(state(9, &["b"]), NOW));
    assert!(!table.replace(state(8, &["a"]), NOW));
    assert!(!table.replace(state(9, &[]), NOW));
    // A reader that is behind what another instance has read.
    assert!(!table.apply(&[change(4, "a", true), change(6, "b", false)], Offset(7), NOW));
    assert_eq!(table.evacuations(), Some(state(9, &["b"])));
    let records = [change(8, "b", false), change(9, "c", true), change(10, "a", true)];
    assert!(table.apply(&records, Offset(11), NOW));
    assert_eq!(table.evacuations(), Some(state(11, &["a", "b", "c"])));
}

/// Guards against a domain that stays evacuated after its record was deleted, and against one whose records follow
/// each other in one page.
#[test]
fn the_newest_record_of_a_domain_counts() {
    let mut table = EvacuationTable::default();
    let records = [change(0, "a", true), change(1, "b", true), change(2, "a", false)];
    assert!(table.apply(&records, Offset(3), NOW));
    assert!(!table.is_evacuated(&domain("a"), NOW) && table.is_evacuated(&domain("b"), NOW));
    // History may be dropped: the newest records no longer name the domain.
    assert!(table.replace(state(5, &[]), NOW));
    assert!(!table.is_evacuated(&domain("b"), NOW));
}

/// Guards against the load of a whole domain coming back at once to endpoints that may be cold.
#[test]
fn a_domain_is_used_again_in_steps() {
    let mut table = EvacuationTable::default();
    let a = domain("a");
    assert_eq!(table.share_percent(&a, NOW), 100);
    assert!(table.replace(state(3, &["a"]), NOW));
    assert_eq!((table.share_percent(&a, NOW.plus_ms(60_000)), table.cold_until(&a)), (0, None));
    let returned = NOW.plus_ms(60_000);
    assert!(table.replace(state(4, &[]), returned));
    let shares: Vec<u32> =
        (0..8).map(|s| table.share_percent(&a, returned.plus_ms(1_000 * s))).collect();
    assert!(shares[0] > 0 && shares[0] <= 25, "{shares:?}");
    assert!(shares.is_sorted() && shares[7] == 100, "{shares:?}");
    assert!(table.cold_until(&a) > Some(returned.plus_ms(2_000)));
    // Evacuated again, and another domain beside it.
    assert!(table.replace(state(6, &["a", "b"]), returned));
    assert_eq!((table.share_percent(&a, returned), table.cold_until(&a)), (0, None));
}

/// Guards against an extension in the heartbeats of deployments whose operator has written nothing.
#[test]
fn nothing_is_sent_before_a_record_was_read() {
    let mut table = EvacuationTable::default();
    table.apply(&[], Offset(0), NOW);
    let extension =
        HeartbeatExtension { evacuations: table.evacuations(), ..HeartbeatExtension::default() };
    assert!(extension.is_empty());
    table.apply(&[], Offset(1), NOW);
    assert_eq!(table.evacuations(), Some(state(1, &[])));
}

/// Guards against requests to an evacuated domain whose record the store has lost, and against a domain that stays
/// evacuated for ever because its record is not written again.
#[test]
fn a_domain_stays_evacuated_for_a_while_after_its_record_was_lost() {
    let later_era = |index, domains: &[&str]| Evacuations {
        next: Offset::in_era(1, index),
        ..state(0, domains)
    };
    let mut table = EvacuationTable::default();
    assert!(table.replace(state(9, &["a", "b", "c"]), NOW));
    assert!(table.replace(later_era(2, &["c", "d"]), NOW));
    for name in ["a", "b", "c", "d"] {
        assert!(table.is_evacuated(&domain(name), NOW), "{name}");
    }
    // One record is written again, and one domain is given back.
    let record = |index, name, is_evacuated| EvacuationChange {
        offset: Offset::in_era(1, index),
        ..change(0, name, is_evacuated)
    };
    table.apply(&[record(2, "a", true), record(3, "b", false)], Offset::in_era(1, 4), NOW);
    assert!(!table.is_evacuated(&domain("b"), NOW));
    assert_eq!(table.share_percent(&domain("b"), NOW), 10);
    assert!(table.is_evacuated(&domain("a"), NOW.plus_ms(60_000)));
    let mut lost = EvacuationTable::default();
    assert!(lost.replace(state(9, &["a"]), NOW));
    assert!(lost.replace(later_era(1, &[]), NOW));
    let kept_until = (0..60_000).find(|ms| !lost.is_evacuated(&domain("a"), NOW.plus_ms(*ms)));
    let given_back = NOW.plus_ms(kept_until.expect("the domain is given back"));
    assert_eq!(lost.share_percent(&domain("a"), given_back), 10);
    assert_eq!(lost.share_percent(&domain("a"), given_back.plus_ms(60_000)), 100);
}
