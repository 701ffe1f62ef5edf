//! Tests of the limit for cold endpoints: the sum over all gateways in any one second, without messages between them.

use std::collections::VecDeque;

use lycheewood::{
    ColdBounds, ColdWindows, EndpointAvailability, EndpointChange, EndpointEntry, EndpointList,
    EndpointRecord, FailureDomain, FleetEstimate, FleetView, InstanceId, Offset, TargetName,
    Timestamp, window_period_ms,
};

const START: Timestamp = Timestamp::from_unix_ms(1_000_000_000);
const BOUNDS: ColdBounds = ColdBounds { overshoot: 1.5, slack: 5.0 };
/// Time between two steps of the simulation, in milliseconds. Every gateway has a request for every endpoint in each.
const STEP_MS: u64 = 10;
const ENDPOINTS: usize = 24;

/// Reproducible random words (xorshift).
struct Words(u64);

impl Words {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
}

/// How a gateway hears the others.
#[derive(Clone, Copy, PartialEq)]
enum Contact {
    All,
    /// It knew all others and hears none.
    CutOff,
    /// It starts again every few seconds, and knows only addresses then.
    Restarting,
}

struct SimulatedGateway {
    contact: Contact,
    fleet: FleetEstimate,
    windows: Vec<Option<ColdWindows>>,
}

struct Outcome {
    /// The most requests to one endpoint in any one second.
    peak: usize,
    /// Mean requests to one endpoint in a second.
    mean_per_s: f64,
}

/// All endpoints become cold at once under full load. A tenth of the gateways is cut off, and a tenth restarts.
fn simulate(gateways: u32, cold_per_s: f64, has_faults: bool, seed: u64) -> Outcome {
    let mut words = Words(seed);
    let others = gateways - 1;
    let view = |contact| match contact {
        Contact::All => FleetView { heard: others, known: others, unconfirmed: 0 },
        Contact::CutOff => FleetView { heard: 0, known: 0, unconfirmed: others },
        Contact::Restarting => FleetView { heard: 0, known: 0, unconfirmed: 3.min(others) },
    };
    let long_before = Timestamp::from_unix_ms(START.unix_ms() - 3_600_000);
    let mut fleet: Vec<SimulatedGateway> = (0..gateways)
        .map(|index| {
            let mut fleet = FleetEstimate::new(long_before);
            fleet.update(&view(Contact::All), Timestamp::from_unix_ms(START.unix_ms() - 1_000));
            let contact = match index % 10 {
                0 if has_faults => Contact::CutOff,
                1 if has_faults => Contact::Restarting,
                _ => Contact::All,
            };
            SimulatedGateway { contact, fleet, windows: vec![None; ENDPOINTS] }
        })
        .collect();
    let mut recent: Vec<VecDeque<u64>> = vec![VecDeque::new(); ENDPOINTS];
    let (mut peak, mut total, duration_ms) = (0, 0_u32, 30_000);
    for at_ms in (0..duration_ms).step_by(usize::try_from(STEP_MS).expect("a short step")) {
        let now = START.plus_ms(at_ms);
        for (index, gateway) in fleet.iter_mut().enumerate() {
            let restart_ms = 100 * u64::try_from(index).expect("a small fleet");
            if gateway.contact == Contact::Restarting && at_ms % 5_000 == restart_ms % 5_000 {
                gateway.fleet = FleetEstimate::new(now);
                gateway.windows = vec![None; ENDPOINTS];
            }
            let assumed = gateway.fleet.update(&view(gateway.contact), now);
            let period_ms = window_period_ms(cold_per_s, &BOUNDS, assumed);
            for (endpoint, windows) in gateway.windows.iter_mut().enumerate() {
                let windows =
                    windows.get_or_insert_with(|| ColdWindows::new(period_ms, words.next(), now));
                if windows.try_use(period_ms, now) {
                    recent[endpoint].push_back(at_ms);
                    total += 1;
                }
            }
        }
        for sent in &mut recent {
            while sent.front().is_some_and(|first| at_ms - first >= 1_000) {
                sent.pop_front();
            }
            peak = peak.max(sent.len());
        }
    }
    let endpoints = u32::try_from(ENDPOINTS).expect("few endpoints");
    let seconds = std::time::Duration::from_millis(duration_ms).as_secs_f64();
    Outcome { peak, mean_per_s: f64::from(total) / f64::from(endpoints) / seconds }
}

fn bound(cold_per_s: f64) -> f64 {
    cold_per_s * BOUNDS.overshoot + BOUNDS.slack
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small number"))
}

/// Guards against more requests to a cold endpoint in any one second than it survives, whatever the size of the fleet
/// and whoever is cut off or has just started.
#[test]
fn the_sum_of_all_gateways_stays_below_the_bound() {
    for gateways in [1, 2, 3, 5, 10, 17, 25, 40, 72, 98, 100] {
        for cold_per_s in [4.0, 26.0] {
            for seed in 1..=3 {
                let outcome = simulate(gateways, cold_per_s, true, seed);
                assert!(
                    float(outcome.peak) <= bound(cold_per_s),
                    "gateways={gateways} cold_per_s={cold_per_s} seed={seed} peak={}",
                    outcome.peak
                );
            }
        }
    }
}

/// Guards against shares that leave cold endpoints idle: the sum must fill ten places with requests of a second.
#[test]
fn the_sum_of_all_gateways_is_near_the_aim() {
    for gateways in [1, 3, 17, 72, 100] {
        let outcome = simulate(gateways, 26.0, false, 5);
        let mean = outcome.mean_per_s;
        assert!((10.0..=16.0).contains(&mean), "gateways={gateways} mean={mean}");
        assert!(float(outcome.peak) <= bound(26.0), "gateways={gateways} peak={}", outcome.peak);
    }
}

/// Guards against windows that add up while there are no requests, and that are then all used at once.
#[test]
fn unused_windows_are_not_saved() {
    let mut windows = ColdWindows::new(1_000, u64::MAX / 2, START);
    let idle = START.plus_ms(600_000);
    let used = (0..1_000).filter(|ms| windows.try_use(1_000, idle.plus_ms(*ms))).count();
    assert_eq!(used, 1);
}

/// Guards against windows without end or a panic because of odd settings.
#[test]
fn odd_bounds_open_no_window() {
    for (overshoot, slack) in [(0.0, 0.0), (-1.0, 0.0), (0.0, -5.0)] {
        let period_ms = window_period_ms(26.0, &ColdBounds { overshoot, slack }, 1);
        let mut windows = ColdWindows::new(period_ms, u64::MAX / 2, START);
        assert!((0..1_000).all(|ms| !windows.try_use(period_ms, START.plus_ms(ms))));
    }
}

/// Guards against a second request shortly after the first one because the assumed fleet changes.
#[test]
fn a_changed_period_opens_no_window_early() {
    for seed in 1..200 {
        let mut words = Words(seed);
        let mut windows = ColdWindows::new(4_000, words.next(), START);
        let mut last = None;
        for ms in 0..60_000 {
            let period_ms = 3_900 + words.next() % 200;
            let now = START.plus_ms(ms);
            if windows.try_use(period_ms, now) {
                let gap_ms = last.map_or(u64::MAX, |last| now.ms_since(last));
                assert!(gap_ms >= 3_600, "seed={seed} gap_ms={gap_ms}");
                last = Some(now);
            }
        }
        assert!(last.is_some());
    }
}

/// Guards against a gateway that takes itself for the whole fleet because it has just started or is cut off, and
/// against one that never notices that the fleet is smaller.
#[test]
fn the_fleet_is_what_a_gateway_knows_or_has_known() {
    let view = |heard, known, unconfirmed| FleetView { heard, known, unconfirmed };
    let mut fleet = FleetEstimate::new(START);
    assert!(fleet.update(&view(0, 0, 0), START.plus_ms(1_999)) >= 100, "it has just started");
    assert_eq!(fleet.update(&view(0, 0, 0), START.plus_ms(2_000)), 1, "it is alone");
    assert!(fleet.update(&view(0, 0, 2), START.plus_ms(3_000)) >= 100, "it has heard no one");
    assert_eq!(fleet.update(&view(71, 71, 2), START.plus_ms(4_000)), 72);
    assert_eq!(fleet.update(&view(60, 71, 2), START.plus_ms(5_000)), 72, "some are silent");
    assert_eq!(fleet.update(&view(60, 60, 2), START.plus_ms(70_000)), 61, "some are forgotten");
    assert!(fleet.update(&view(0, 60, 60), START.plus_ms(80_000)) > 61, "it is cut off");
    assert!(fleet.update(&view(0, 0, 60), START.plus_ms(80_000_000)) > 61, "it stays cut off");
    assert_eq!(fleet.update(&view(60, 60, 0), START.plus_ms(80_000_100)), 61, "it is back");
    assert!(fleet.update(&view(2, 2, 0), START.plus_ms(80_070_000)) > 61, "most are gone");
    assert_eq!(fleet.update(&view(2, 2, 0), START.plus_ms(80_700_000)), 3, "for long");
}

/// Guards against a fleet without others that cannot use its endpoints at all.
#[test]
fn a_gateway_that_is_alone_may_send() {
    let mut fleet = FleetEstimate::new(START);
    let now = START.plus_ms(10_000);
    let period_ms = window_period_ms(26.0, &BOUNDS, fleet.update(&FleetView::default(), now));
    let mut windows = ColdWindows::new(period_ms, 7, now);
    let sent = (0..1_000).filter(|ms| windows.try_use(period_ms, now.plus_ms(*ms))).count();
    assert!((10..=14).contains(&sent), "{sent}");
    // The next time that is named is one at which a request may be sent.
    let later = now.plus_ms(1_000);
    windows.try_use(period_ms, later);
    let next = windows.next_open(period_ms, later);
    assert!(next > later && windows.try_use(period_ms, next));
}

fn entry(cold_left_ms: u64) -> EndpointRecord {
    EndpointRecord::Entry(EndpointEntry {
        id: InstanceId::new("s1"),
        service: TargetName::new("x"),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: FailureDomain::new("a"),
        state: EndpointAvailability::Ready,
        slots: 4,
        group: None,
        started_ms: 1,
        cold_left_ms,
        write_count: 0,
    })
}

/// Guards against a cold time that starts again with each read of the same record, or that never ends.
#[test]
fn the_time_left_counts_from_the_first_sight_of_a_record() {
    let id = InstanceId::new("s1");
    let change = |offset, cold_left_ms| EndpointChange {
        offset: Offset(offset),
        id: InstanceId::new("s1"),
        record: entry(cold_left_ms),
    };
    let mut list = EndpointList::default();
    list.apply(change(0, 5_000), START);
    assert_eq!(list.index().cold_until(&id), Some(START.plus_ms(5_000)));
    // The same record from another instance, or read again.
    list.replace(vec![change(0, 5_000)], Offset(1), START.plus_ms(4_000));
    assert_eq!(list.index().cold_until(&id), Some(START.plus_ms(5_000)));
    // A renewal counts anew, and logs no change.
    assert!(!list.apply(change(1, 3_000), START.plus_ms(2_500)));
    assert_eq!(list.index().cold_until(&id), Some(START.plus_ms(5_500)));
    assert!(list.apply(change(2, 0), START.plus_ms(5_000)));
    assert_eq!(list.index().cold_until(&id), None);
    // It may become cold at any moment.
    list.apply(change(3, 900), START.plus_ms(9_000));
    assert_eq!(list.index().cold_until(&id), Some(START.plus_ms(9_900)));
}
