//! Election of the instances that read the platform's topics, and state transfer to the others.

use std::net::SocketAddr;

use lycheewood::{
    About, FailureDomain, Heartbeat, HeartbeatExtension, Incarnation, InstanceId, LagMonitor,
    LocalState, Offset, PeerTracker, ReaderCandidate, ReaderElection, StateFetch, Timestamp,
    may_span_expiry,
};
use proptest::prelude::*;

const HEARTBEAT_MS: u64 = 200;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(9_000 + index).expect("a port")).into()
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name)
}

fn heartbeat(
    index: usize,
    failure_domain: &FailureDomain,
    sequence: u64,
    reads: bool,
) -> Heartbeat {
    Heartbeat {
        about: Some(About {
            instance: InstanceId::new(&format!("g{index}")),
            failure_domain: failure_domain.clone(),
            caller_address: address(index),
            processor_millicores: 0,
        }),
        incarnation: Incarnation(1),
        sequence,
        is_ready: true,
        leading: None,
        route_version: Some(3),
        endpoints_next: Offset(7),
        reads,
        in_flight: Vec::new(),
        extension: HeartbeatExtension::default(),
    }
}

/// Guards against an instance that keeps an outdated route table or endpoint list because the platform refuses
/// its calls, and against fetching updates that the platform delivers at the same time.
#[test]
fn state_is_fetched_from_an_instance_that_has_more() {
    let (local, from) = (domain("a"), address(1));
    let mut tracker = PeerTracker::default();
    tracker.apply(from, heartbeat(1, &local, 1, true), at(0));
    let own = |version, next| LocalState {
        failure_domain: &local,
        is_reader: true,
        route_version: version,
        endpoints_next: Offset(next),
    };
    let routes = Some(StateFetch { source: from, routes: true, endpoints: false });
    let endpoints = Some(StateFetch { source: from, routes: false, endpoints: true });
    let mut lag = LagMonitor::default();
    let peers = tracker.table(at(0));
    // An instance without a route table fetches immediately.
    assert_eq!(lag.next_fetch(&own(None, 7), &peers, at(0), 0), routes);
    assert_eq!(lag.next_fetch(&own(Some(2), 7), &peers, at(10), 0), None);
    assert_eq!(lag.next_fetch(&own(Some(2), 7), &peers, at(310), 0), routes);
    assert_eq!(lag.next_fetch(&own(Some(3), 7), &peers, at(320), 0), None);
    // The other instance has read further in the endpoint list, and the platform delivers no update.
    tracker.apply(from, heartbeat(1, &local, 2, true), at(4_000));
    let peers = tracker.table(at(4_000));
    assert_eq!(lag.next_fetch(&own(Some(3), 6), &peers, at(4_000), 0), None);
    assert_eq!(lag.next_fetch(&own(Some(3), 6), &peers, at(4_700), 0), endpoints);
    assert_eq!(lag.next_fetch(&own(Some(3), 7), &peers, at(4_800), 0), None);
    // An instance that is not a reader receives updates only from others.
    let not_reading = LocalState { is_reader: false, ..own(Some(2), 6) };
    let both = Some(StateFetch { source: from, routes: true, endpoints: true });
    assert_eq!(LagMonitor::default().next_fetch(&not_reading, &peers, at(4_800), 0), both);
}

/// Guards against all instances of a domain fetching the whole route table from another domain whose reader's
/// heartbeat arrived slightly earlier. In run trouble-1 of tread-coop-grown this sent 0.24 instead of 0.15 GB
/// between domains.
#[test]
fn news_are_awaited_from_the_reader_of_the_domain() {
    let (local, remote) = (domain("a"), domain("b"));
    let mut tracker = PeerTracker::default();
    let behind = Heartbeat { route_version: Some(2), ..heartbeat(1, &local, 1, true) };
    tracker.apply(address(1), behind, at(0));
    tracker.apply(address(2), heartbeat(2, &remote, 1, true), at(0));
    let own = LocalState {
        failure_domain: &local,
        is_reader: false,
        route_version: Some(2),
        endpoints_next: Offset(7),
    };
    let mut lag = LagMonitor::default();
    assert_eq!(lag.next_fetch(&own, &tracker.table(at(0)), at(0), 0), None);
    let late = lag.next_fetch(&own, &tracker.table(at(300)), at(300), 0);
    assert_eq!(late.map(|fetch| fetch.source), Some(address(2)));
    tracker.apply(address(1), heartbeat(1, &local, 2, true), at(310));
    let fetch = LagMonitor::default().next_fetch(&own, &tracker.table(at(310)), at(310), 0);
    assert_eq!(fetch.map(|fetch| fetch.source), Some(address(1)));
}

/// Guards against repeating a fetch from an unresponsive instance while another one has the same state, and
/// against unnecessary traffic between failure domains.
#[test]
fn news_are_fetched_nearby_and_elsewhere_after_a_failure() {
    let (local, remote) = (domain("a"), domain("b"));
    let mut tracker = PeerTracker::default();
    tracker.apply(address(1), heartbeat(1, &local, 1, true), at(0));
    tracker.apply(address(2), heartbeat(2, &remote, 1, true), at(0));
    let peers = tracker.table(at(0));
    let own = LocalState {
        failure_domain: &local,
        is_reader: false,
        route_version: Some(2),
        endpoints_next: Offset(7),
    };
    let mut lag = LagMonitor::default();
    for random in 0..8 {
        let source = lag.next_fetch(&own, &peers, at(10), random).map(|fetch| fetch.source);
        assert_eq!(source, Some(address(1)));
    }
    lag.on_fetch_result(address(1), false);
    assert_eq!(lag.next_fetch(&own, &peers, at(20), 0).map(|fetch| fetch.source), Some(address(2)));
    lag.on_fetch_result(address(2), true);
    assert_eq!(lag.next_fetch(&own, &peers, at(30), 0).map(|fetch| fetch.source), Some(address(1)));
}

/// Behaviour of the platform towards one instance.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Platform {
    Answers,
    Refuses,
}

/// A simulated instance.
struct Instance {
    domain: FailureDomain,
    is_alive: bool,
    platform: Platform,
    election: ReaderElection,
    is_reader: bool,
    is_healthy: bool,
    peers: PeerTracker,
}

impl Instance {
    fn start(index: usize) -> Self {
        Self {
            domain: domain(if index < INSTANCES / 2 { "a" } else { "b" }),
            is_alive: true,
            platform: Platform::Answers,
            election: ReaderElection::default(),
            is_reader: false,
            is_healthy: false,
            peers: PeerTracker::default(),
        }
    }
}

const INSTANCES: usize = 12;
/// Heartbeats after which the election must have converged: the reader timeout, the late takeover delay and two
/// heartbeats to announce the result.
const CONVERGENCE_HEARTBEATS: u64 = 16;

fn exchange_heartbeats(instances: &mut [Instance], sequence: u64, now: Timestamp) {
    for from in 0..INSTANCES {
        if !instances[from].is_alive {
            continue;
        }
        let sender = &instances[from];
        let sent = heartbeat(from, &sender.domain, sequence, sender.is_reader && sender.is_healthy);
        for to in (0..INSTANCES).filter(|to| *to != from) {
            instances[to].peers.apply(address(from), sent.clone(), now);
        }
    }
    for (index, instance) in instances.iter_mut().enumerate().filter(|(_, i)| i.is_alive) {
        let own = ReaderCandidate {
            instance: &InstanceId::new(&format!("g{index}")),
            failure_domain: &instance.domain,
            is_healthy: instance.is_healthy,
        };
        instance.is_reader = instance.election.update(&own, &instance.peers.table(now), now);
        instance.is_healthy = instance.is_reader && instance.platform == Platform::Answers;
    }
}

#[derive(Clone, Debug)]
enum Event {
    Kill(usize),
    Restart(usize),
    Refuse(usize),
    Serve(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let index = || 0..INSTANCES;
    prop_oneof![
        index().prop_map(Event::Kill),
        index().prop_map(Event::Restart),
        index().prop_map(Event::Refuse),
        index().prop_map(Event::Serve),
    ]
}

proptest! {
    /// Guards against a failure domain without a reader although the platform answers, and against a number of
    /// platform calls that grows with the number of instances.
    #[test]
    fn one_instance_of_each_domain_reads(history in prop::collection::vec(event(), 0..40)) {
        let mut instances: Vec<Instance> = (0..INSTANCES).map(Instance::start).collect();
        let mut sequence = 0;
        let mut round = |instances: &mut Vec<Instance>| {
            sequence += 1;
            exchange_heartbeats(instances, sequence, at(sequence * HEARTBEAT_MS));
        };
        for event in history {
            match event {
                Event::Kill(index) => instances[index].is_alive = false,
                Event::Restart(index) => {
                    if !instances[index].is_alive {
                        instances[index] = Instance::start(index);
                    }
                }
                Event::Refuse(index) => instances[index].platform = Platform::Refuses,
                Event::Serve(index) => instances[index].platform = Platform::Answers,
            }
            round(&mut instances);
        }
        for _ in 0..CONVERGENCE_HEARTBEATS {
            round(&mut instances);
        }
        for name in ["a", "b"] {
            let alive = || instances.iter().filter(|i| i.is_alive && i.domain == domain(name));
            let readers = alive().filter(|i| i.is_reader).count();
            if alive().any(|i| i.platform == Platform::Answers) {
                prop_assert_eq!(readers, 1, "domain {}", name);
                prop_assert!(alive().any(|i| i.is_reader && i.is_healthy), "domain {}", name);
            } else {
                // While all calls fail every instance keeps trying; the first success ends this.
                prop_assert_eq!(readers, alive().count(), "domain {}", name);
            }
        }
    }
}

/// Guards against a removed endpoint that stays in use because a call was late for another reason than an outage of the
/// list, such as a pause of the process that reads it. Entries are renewed every 1,200 ms and expire after 3,600 ms.
#[test]
fn only_a_call_that_is_as_long_as_an_outage_may_span_expired_entries() {
    // A long poll of 1,000 ms, and a pause that other instances do not notice.
    for call_ms in [0, 1_000, 1_620, 1_799, 2_000] {
        assert!(!may_span_expiry(call_ms, 1_200), "{call_ms} ms");
    }
    // Entries that were renewed just before an outage expire last, those before it first.
    for call_ms in [2_400, 2_500, 3_600, 60_000] {
        assert!(may_span_expiry(call_ms, 1_200), "{call_ms} ms");
    }
}
