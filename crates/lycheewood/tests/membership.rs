//! Table tests of membership, entry selection, monitored endpoints and planned shutdown.

use std::collections::BTreeSet;

use lycheewood::{
    ConnectionState, Eligibility, EntrySelectionSettings, FailureDomain, InstanceCandidate,
    InstanceId, InstanceView, ListStatus, MembershipSettings, Shutdown, ShutdownSettings,
    Timestamp, eligibility, is_advertisable, select_entries, watched_endpoints,
};

const SETTINGS: MembershipSettings =
    MembershipSettings { silent_after_ms: 2_000, list_lag_ms: 10_000, list_stale_after_ms: 15_000 };
const NOW: Timestamp = Timestamp::from_unix_ms(1_000_000);

fn ago(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(NOW.unix_ms() - ms)
}

fn open(opened_ms: u64, frame_ms: u64) -> ConnectionState {
    ConnectionState::Open { opened: ago(opened_ms), last_frame: ago(frame_ms) }
}

/// Guards against new work for leaving or silent instances, and against removing healthy instances because of
/// a lagging or stale list.
#[test]
fn own_word_and_connection_come_before_the_list() {
    use ConnectionState::{Closed, NeverOpened};
    use Eligibility::{Draining, Eligible, ListedLeaving, NotConnected, Removed, Silent};
    use ListStatus::{Absent, Leaving, Live};
    let (fresh, stale) = (Some(ago(1_000)), Some(ago(15_000)));
    let table = [
        // list status, draining, connection, list received, eligibility, advertisable
        (Live, false, open(60_000, 1_999), fresh, Eligible, true),
        (Live, false, open(60_000, 2_000), fresh, Silent, false),
        (Live, true, open(60_000, 0), fresh, Draining, false),
        (Leaving, false, open(60_000, 0), fresh, ListedLeaving, false),
        (Leaving, false, open(60_000, 0), stale, ListedLeaving, false),
        (Absent, false, open(60_000, 0), fresh, Removed, false),
        (Absent, false, open(10_000, 0), fresh, Eligible, true),
        (Absent, false, open(60_000, 0), stale, Eligible, true),
        (Absent, false, open(60_000, 0), None, Eligible, true),
        (Live, false, Closed, fresh, NotConnected, false),
        (Live, false, NeverOpened, fresh, NotConnected, true),
        (Live, true, NeverOpened, fresh, Draining, false),
        (Absent, false, NeverOpened, stale, NotConnected, false),
    ];
    for (row, (list_status, draining, connection, list, eligible, advertisable)) in
        table.into_iter().enumerate()
    {
        let view = InstanceView { list_status, draining, connection };
        assert_eq!(eligibility(&view, list, &SETTINGS, NOW), eligible, "row {row}");
        assert_eq!(is_advertisable(&view, list, &SETTINGS, NOW), advertisable, "row {row}");
    }
}

/// Instances assigned round-robin to three failure domains.
fn fleet(instances: usize) -> Vec<(InstanceId, FailureDomain)> {
    let domains = ["a", "b", "c"].into_iter().cycle().map(FailureDomain::new);
    (0..instances).map(|n| InstanceId::new(&format!("i{n}"))).zip(domains).collect()
}

fn candidates(fleet: &[(InstanceId, FailureDomain)]) -> Vec<InstanceCandidate<'_>> {
    let candidate =
        |(id, failure_domain)| InstanceCandidate { id, address: id.as_str(), failure_domain };
    fleet.iter().map(|(id, domain)| candidate((id, domain))).collect()
}

const SELECTION: EntrySelectionSettings = EntrySelectionSettings {
    max_addresses: 3,
    valid_for_ms: 30_000,
    entry_linger_ms: 32_000,
    drain_notice_ms: 3_000,
};

/// Guards against a selection that is confined to one failure domain, overloads one entry, moves callers
/// unnecessarily, or is cached for longer than a leaving entry keeps serving.
#[test]
fn advice_is_spread_and_stable() {
    let fleet = fleet(18);
    let all = candidates(&fleet);
    let mut first = vec![0; all.len()];
    for caller in (0..1_800).map(|n| n.to_string()) {
        let before = select_entries(&caller, &all, &SELECTION);
        assert_eq!(before.valid_for_ms, 29_000);
        let index = |address: &str| all.iter().position(|c| c.address == address).unwrap();
        let domains: BTreeSet<_> = before.addresses.iter().map(|a| index(a) % 3).collect();
        assert_eq!(domains.len(), 3);
        first[index(before.addresses[0])] += 1;
        // Only callers that used the removed entry get a different selection.
        let without: Vec<_> = all.iter().filter(|c| c.address != "i7").copied().collect();
        let after = select_entries(&caller, &without, &SELECTION);
        assert!(after == before || before.addresses.contains(&"i7"));
        assert!(!after.addresses.contains(&"i7"));
    }
    // The mean is 100 callers per entry; a uniform hash stays well within half and double of it.
    assert!(first.iter().all(|callers| (50..=200).contains(callers)), "{first:?}");
    let none = select_entries("caller", &[], &SELECTION);
    assert!(none.addresses.is_empty() && none.valid_for_ms == 1_000);
}

/// Guards against a daemon that monitors too many endpoints, only remote ones, or none outside its domain.
#[test]
fn watchers_prefer_their_own_domain() {
    let (large, small) = (fleet(300), fleet(9));
    let (own, daemon) = (FailureDomain::new("b"), InstanceId::new("entry-1"));
    // fleet, max, max remote, expected own, expected remote
    let table =
        [(&large, 40, 8, 32, 8), (&large, 4, 8, 2, 2), (&small, 40, 2, 3, 6), (&small, 4, 0, 3, 1)];
    for (fleet, max, max_remote, own_count, remote_count) in table {
        let all = candidates(fleet);
        let watched = watched_endpoints(&daemon, &own, &all, max, max_remote);
        let is_own = watched.iter().filter(|c| *c.failure_domain == own).count();
        assert_eq!((is_own, watched.len() - is_own), (own_count, remote_count));
        let ids: BTreeSet<_> = watched.iter().map(|c| c.id).collect();
        assert_eq!(ids.len(), watched.len());
    }
}

/// Guards against a shutdown that interrupts a request in flight or refuses a caller with a cached address.
#[test]
fn a_planned_stop_waits_for_callers_and_streams() {
    let settings = ShutdownSettings { linger_ms: 32_000, min_refusing_ms: 1_000 };
    let lingering = Shutdown::serving(settings).announce(NOW);
    let lingering = lingering.refuse(NOW.plus_ms(31_999)).unwrap_err();
    let refusing = lingering.refuse(NOW.plus_ms(40_000)).unwrap();
    assert_eq!(refusing.earliest_stop(), NOW.plus_ms(41_000));
    let refusing = refusing.stop(NOW.plus_ms(40_999), 0).unwrap_err();
    let refusing = refusing.stop(NOW.plus_ms(600_000), 1).unwrap_err();
    assert!(refusing.stop(NOW.plus_ms(600_000), 0).is_ok());
}
