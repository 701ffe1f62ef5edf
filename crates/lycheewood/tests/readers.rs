//! Which instances read the platform's topics, and from whom the others fetch what was read.

use std::net::SocketAddr;

use lycheewood::{
    About, FailureDomain, Fetch, Heartbeat, Incarnation, InstanceId, LagWatch, Offset, OwnReader,
    OwnState, PeerFold, ReadDuty, Timestamp,
};
use proptest::prelude::*;

const BEAT_MS: u64 = 200;

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
        }),
        incarnation: Incarnation(1),
        sequence,
        is_ready: true,
        leading: None,
        route_version: Some(3),
        endpoints_next: Offset(7),
        reads,
        in_flight: Vec::new(),
    }
}

/// Guards against an instance that the platform turns away and that keeps an old route table or endpoint list,
/// and against one that fetches what the platform brings at the same time.
#[test]
fn state_is_fetched_from_an_instance_that_has_more() {
    let (near, from) = (domain("a"), address(1));
    let mut fold = PeerFold::default();
    fold.apply(from, heartbeat(1, &near, 1, true), at(0));
    let own = |version, next| OwnState {
        failure_domain: &near,
        has_duty: true,
        route_version: version,
        endpoints_next: Offset(next),
    };
    let routes = Some(Fetch { source: from, routes: true, endpoints: false });
    let endpoints = Some(Fetch { source: from, routes: false, endpoints: true });
    let mut lag = LagWatch::default();
    let peers = fold.table(at(0));
    // Without a table there is nothing to wait for.
    assert_eq!(lag.fetch(&own(None, 7), &peers, at(0), 0), routes);
    assert_eq!(lag.fetch(&own(Some(2), 7), &peers, at(10), 0), None);
    assert_eq!(lag.fetch(&own(Some(2), 7), &peers, at(310), 0), routes);
    assert_eq!(lag.fetch(&own(Some(3), 7), &peers, at(320), 0), None);
    // The other instance has read further in the endpoint list, and the platform brings nothing.
    fold.apply(from, heartbeat(1, &near, 2, true), at(4_000));
    let peers = fold.table(at(4_000));
    assert_eq!(lag.fetch(&own(Some(3), 6), &peers, at(4_000), 0), None);
    assert_eq!(lag.fetch(&own(Some(3), 6), &peers, at(4_700), 0), endpoints);
    assert_eq!(lag.fetch(&own(Some(3), 7), &peers, at(4_800), 0), None);
    // An instance that does not read gets news from others only.
    let resting = OwnState { has_duty: false, ..own(Some(2), 6) };
    let both = Some(Fetch { source: from, routes: true, endpoints: true });
    assert_eq!(LagWatch::default().fetch(&resting, &peers, at(4_800), 0), both);
}

/// Guards against whole route tables that all instances of a domain fetch from another one, because its reader
/// was heard a millisecond sooner: 0.24 instead of 0.15 GB between domains (trouble-1 of tread-coop-grown).
#[test]
fn news_are_awaited_from_the_reader_of_the_domain() {
    let (near, far) = (domain("a"), domain("b"));
    let mut fold = PeerFold::default();
    let behind = Heartbeat { route_version: Some(2), ..heartbeat(1, &near, 1, true) };
    fold.apply(address(1), behind, at(0));
    fold.apply(address(2), heartbeat(2, &far, 1, true), at(0));
    let own = OwnState {
        failure_domain: &near,
        has_duty: false,
        route_version: Some(2),
        endpoints_next: Offset(7),
    };
    let mut lag = LagWatch::default();
    assert_eq!(lag.fetch(&own, &fold.table(at(0)), at(0), 0), None);
    let late = lag.fetch(&own, &fold.table(at(300)), at(300), 0);
    assert_eq!(late.map(|fetch| fetch.source), Some(address(2)));
    fold.apply(address(1), heartbeat(1, &near, 2, true), at(310));
    let here = LagWatch::default().fetch(&own, &fold.table(at(310)), at(310), 0);
    assert_eq!(here.map(|fetch| fetch.source), Some(address(1)));
}

/// Guards against a second fetch from an instance that has just frozen, while another one has the same, and
/// against bytes between failure domains that need not be.
#[test]
fn news_are_fetched_nearby_and_elsewhere_after_a_failure() {
    let (near, far) = (domain("a"), domain("b"));
    let mut fold = PeerFold::default();
    fold.apply(address(1), heartbeat(1, &near, 1, true), at(0));
    fold.apply(address(2), heartbeat(2, &far, 1, true), at(0));
    let peers = fold.table(at(0));
    let own = OwnState {
        failure_domain: &near,
        has_duty: false,
        route_version: Some(2),
        endpoints_next: Offset(7),
    };
    let mut lag = LagWatch::default();
    for random in 0..8 {
        let source = lag.fetch(&own, &peers, at(10), random).map(|fetch| fetch.source);
        assert_eq!(source, Some(address(1)));
    }
    lag.note_fetched(address(1), false);
    assert_eq!(lag.fetch(&own, &peers, at(20), 0).map(|fetch| fetch.source), Some(address(2)));
    lag.note_fetched(address(2), true);
    assert_eq!(lag.fetch(&own, &peers, at(30), 0).map(|fetch| fetch.source), Some(address(1)));
}

/// What the platform does with the calls of one instance.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Platform {
    Answers,
    Refuses,
}

/// One instance of the model.
struct Instance {
    domain: FailureDomain,
    is_alive: bool,
    platform: Platform,
    duty: ReadDuty,
    has_duty: bool,
    reads_well: bool,
    peers: PeerFold,
}

impl Instance {
    fn start(index: usize) -> Self {
        Self {
            domain: domain(if index < INSTANCES / 2 { "a" } else { "b" }),
            is_alive: true,
            platform: Platform::Answers,
            duty: ReadDuty::default(),
            has_duty: false,
            reads_well: false,
            peers: PeerFold::default(),
        }
    }
}

const INSTANCES: usize = 12;
/// Beats after which duties must have settled: silence, the late turn, and two beats to hear of it.
const SETTLED_BEATS: u64 = 16;

fn beat(instances: &mut [Instance], sequence: u64, now: Timestamp) {
    for from in 0..INSTANCES {
        if !instances[from].is_alive {
            continue;
        }
        let sender = &instances[from];
        let beat = heartbeat(from, &sender.domain, sequence, sender.has_duty && sender.reads_well);
        for to in (0..INSTANCES).filter(|to| *to != from) {
            instances[to].peers.apply(address(from), beat.clone(), now);
        }
    }
    for (index, instance) in instances.iter_mut().enumerate().filter(|(_, i)| i.is_alive) {
        let own = OwnReader {
            instance: &InstanceId::new(&format!("g{index}")),
            failure_domain: &instance.domain,
            reads_well: instance.reads_well,
        };
        instance.has_duty = instance.duty.look(&own, &instance.peers.table(now), now);
        instance.reads_well = instance.has_duty && instance.platform == Platform::Answers;
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
    /// Guards against a failure domain in which nobody reads although the platform would answer, and against
    /// calls to the platform that grow with the instances.
    #[test]
    fn one_instance_of_each_domain_reads(history in prop::collection::vec(event(), 0..40)) {
        let mut instances: Vec<Instance> = (0..INSTANCES).map(Instance::start).collect();
        let mut sequence = 0;
        let mut round = |instances: &mut Vec<Instance>| {
            sequence += 1;
            beat(instances, sequence, at(sequence * BEAT_MS));
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
        for _ in 0..SETTLED_BEATS {
            round(&mut instances);
        }
        for name in ["a", "b"] {
            let alive = || instances.iter().filter(|i| i.is_alive && i.domain == domain(name));
            let with_duty = alive().filter(|i| i.has_duty).count();
            if alive().any(|i| i.platform == Platform::Answers) {
                prop_assert_eq!(with_duty, 1, "domain {}", name);
                prop_assert!(alive().any(|i| i.has_duty && i.reads_well), "domain {}", name);
            } else {
                // Whoever is answered first tells the others.
                prop_assert_eq!(with_duty, alive().count(), "domain {}", name);
            }
        }
    }
}
