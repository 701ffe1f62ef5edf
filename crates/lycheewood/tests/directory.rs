//! Tests of the addresses that callers are told.

use std::collections::HashMap;
use std::net::SocketAddr;

use lycheewood::{CallerPlace, EntryView, FailureDomain, RegionName, nearest_entries};

/// Failure domains and regions of the tests: `a` and `b` are in region `r`, `c` is in region `s`.
struct Places {
    domains: [FailureDomain; 3],
    regions: [RegionName; 3],
}

impl Places {
    fn new() -> Self {
        Self {
            domains: ["a", "b", "c"].map(FailureDomain::new),
            regions: ["r", "r", "s"].map(RegionName::new),
        }
    }

    fn instance(&self, port: u16, place: usize, processor_millicores: u32) -> EntryView<'_> {
        EntryView {
            caller_address: ([127, 0, 0, 1], port).into(),
            failure_domain: &self.domains[place],
            region: Some(&self.regions[place]),
            processor_millicores,
        }
    }

    fn caller(&self, place: usize) -> CallerPlace<'_> {
        CallerPlace { domain: &self.domains[place], region: Some(&self.regions[place]) }
    }
}

/// Random words that cover the interval evenly.
fn words(count: u64) -> impl Iterator<Item = u64> {
    (0..count).map(|index| index.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Shares of callers by port, if each picks one address of its list at random.
fn shares(entries: &[EntryView<'_>], caller: &CallerPlace<'_>, max: usize) -> HashMap<u16, f64> {
    const LISTS: u32 = 20_000;
    let mut shares = HashMap::new();
    for random in words(u64::from(LISTS)) {
        let list = nearest_entries(entries, caller, random, max);
        let length = u32::try_from(list.len()).expect("a short list");
        assert!(list.len() <= max && length > 0);
        for address in list {
            *shares.entry(address.port()).or_default() += 1.0 / f64::from(length * LISTS);
        }
    }
    shares
}

/// Guards against sending callers to another failure domain unnecessarily, and against advertising only one
/// instance.
#[test]
fn near_instances_are_told_unless_there_are_too_few() {
    let places = Places::new();
    let [a, b] = [0, 1].map(|place| CallerPlace { region: None, ..places.caller(place) });
    let entries = [(1, 0), (2, 0), (3, 1)].map(|(port, place)| places.instance(port, place, 0));
    assert_eq!(nearest_entries(&entries, &a, 0, 64).len(), 2);
    assert_eq!(nearest_entries(&entries, &b, 0, 64).len(), 3);
    assert_eq!(nearest_entries(&entries, &b, 0, 64)[0].port(), 3);
    assert_eq!(nearest_entries(&entries, &b, 0, 2).len(), 2);
    assert!(nearest_entries(&[], &a, 0, 64).is_empty());
}

/// Guards against sending callers to another region while their own one has instances, and against no answer when it
/// has none.
#[test]
fn the_region_of_the_caller_is_preferred() {
    let places = Places::new();
    let entries: Vec<_> = (0..9).map(|n| places.instance(n, usize::from(n % 3), 170)).collect();
    let ports = |caller: &CallerPlace<'_>| {
        let list = nearest_entries(&entries, caller, 7, 64);
        let mut ports: Vec<u16> = list.iter().map(SocketAddr::port).collect();
        ports.sort_unstable();
        ports
    };
    assert_eq!(ports(&places.caller(0)), [0, 3, 6]);
    assert_eq!(ports(&places.caller(2)), [2, 5, 8]);
    let (unknown_domain, unknown_region) = (FailureDomain::new("z"), RegionName::new("z"));
    let in_region = CallerPlace { domain: &unknown_domain, region: Some(&places.regions[0]) };
    assert_eq!(ports(&in_region), [0, 1, 3, 4, 6, 7]);
    let nowhere = CallerPlace { domain: &unknown_domain, region: Some(&unknown_region) };
    assert_eq!(ports(&nowhere).len(), 9);
    // A domain that has lost most of its instances does not get all of its callers.
    let few = [(0, 0), (1, 0), (2, 1), (3, 1), (4, 1), (5, 1), (6, 1), (7, 1), (8, 1)];
    let few = few.map(|(port, place)| places.instance(port, place, 170));
    assert_eq!(nearest_entries(&few, &places.caller(0), 7, 64).len(), 9);
}

/// Guards against small instances that get as many callers as large ones.
#[test]
fn callers_are_spread_by_processor_share() {
    let places = Places::new();
    let sizes = (0..24).map(|n| if n < 2 { 640 } else { 170 });
    let entries: Vec<_> =
        (0..).zip(sizes).map(|(port, share)| places.instance(port, 0, share)).collect();
    let total: u32 = entries.iter().map(|entry| entry.processor_millicores).sum();
    let shares = shares(&entries, &places.caller(0), 64);
    for entry in &entries {
        let expected = f64::from(entry.processor_millicores) / f64::from(total);
        let share = shares[&entry.caller_address.port()];
        assert!((share / expected - 1.0).abs() < 0.1, "{share} {expected}");
    }
}

/// Guards against a list that is longer than allowed, and against instances that are never in one, in a large fleet.
#[test]
fn a_large_fleet_is_spread_over_many_lists() {
    let places = Places::new();
    let entries: Vec<_> = (0..300).map(|port| places.instance(port, 0, 170)).collect();
    let shares = shares(&entries, &places.caller(0), 64);
    assert_eq!(shares.len(), 300);
    assert!(shares.values().all(|share| (share * 300.0 - 1.0).abs() < 0.2));
}

/// Guards against a list of one address, which leaves the caller no other one, beside one very large instance.
#[test]
fn a_list_names_another_instance() {
    let places = Places::new();
    let entries = [(1, 6_400), (2, 170), (3, 0)];
    let entries = entries.map(|(port, share)| places.instance(port, 0, share));
    for random in words(100) {
        let list = nearest_entries(&entries, &places.caller(0), random, 64);
        assert!(list.len() >= 2 && list[0] != list[1], "{list:?}");
    }
}
