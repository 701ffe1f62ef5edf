//! How route tables reach instances that the platform refuses, over random histories of publications, stale
//! reads, lost heartbeats and restarts.

use std::net::SocketAddr;

use lycheewood::{
    About, FailureDomain, Heartbeat, Incarnation, InstanceId, LagWatch, Offset, OwnState, PeerFold,
    Timestamp,
};
use proptest::prelude::*;

const INSTANCES: usize = 3;
/// Time between two heartbeats, in milliseconds.
const BEAT_MS: u64 = 200;
/// Heartbeats after which a table that one instance has must be in force on all: the time that it may be
/// missing, a heartbeat that tells of it, and a fetch.
const CATCH_UP_BEATS: u64 = 5;

/// One instance, as far as route tables matter.
#[derive(Default)]
struct Instance {
    incarnation: u64,
    sequence: u64,
    version: Option<u64>,
    peers: PeerFold,
    lag: LagWatch,
}

impl Instance {
    /// Tables only rise within one run of the process.
    fn adopt(&mut self, version: Option<u64>) {
        self.version = self.version.max(version);
    }

    fn heartbeat(&mut self, index: usize) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            about: Some(About {
                instance: InstanceId::new(&format!("g{index}")),
                failure_domain: FailureDomain::new("a"),
                caller_address: address(index),
            }),
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            is_ready: true,
            leading: None,
            route_version: self.version,
            endpoints_next: Offset(0),
            reads: false,
            in_flight: Vec::new(),
        }
    }
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(9_000 + index).expect("a port")).into()
}

/// What happens between two heartbeats.
#[derive(Clone, Debug)]
enum Event {
    Publish,
    /// An instance reads the platform, whose reply is some versions behind.
    Read(usize, u64),
    Restart(usize),
    /// The heartbeats of an instance are lost this time.
    Lose(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::Publish),
        4 => (0..INSTANCES, 0_u64..4).prop_map(|(index, behind)| Event::Read(index, behind)),
        1 => (0..INSTANCES).prop_map(Event::Restart),
        2 => (0..INSTANCES).prop_map(Event::Lose),
    ]
}

/// All instances tell each other of themselves, and fetch what they lack.
fn beat(instances: &mut [Instance], lost: &[usize], now: Timestamp) {
    for from in 0..INSTANCES {
        let heartbeat = instances[from].heartbeat(from);
        for to in (0..INSTANCES).filter(|to| *to != from && !lost.contains(&from)) {
            instances[to].peers.apply(address(from), heartbeat.clone(), now);
        }
    }
    for index in 0..INSTANCES {
        let instance = &mut instances[index];
        let own = OwnState {
            failure_domain: &FailureDomain::new("a"),
            has_duty: index == 0,
            route_version: instance.version,
            endpoints_next: Offset(0),
        };
        let fetch = instance.lag.fetch(&own, &instance.peers.table(now), now, now.unix_ms());
        let source = fetch.map(|fetch| fetch.source);
        let source = source.and_then(|source| (0..INSTANCES).find(|i| address(*i) == source));
        // The other may have restarted since its heartbeat, and then has nothing to give.
        if let Some(given) = source.map(|source| instances[source].version) {
            instances[index].adopt(given);
        }
    }
}

proptest! {
    /// Guards against an instance that never gets a table that another one has, whatever came before, and
    /// against one that goes back within a run.
    #[test]
    fn a_table_that_one_instance_has_reaches_all(
        history in prop::collection::vec(event(), 0..60),
        reader in 0..INSTANCES,
    ) {
        let mut instances: Vec<Instance> = (0..INSTANCES).map(|_| Instance::default()).collect();
        let (mut newest, mut now) = (1_u64, Timestamp::from_unix_ms(1_000_000));
        for event in history {
            let before: Vec<_> = instances.iter().map(|i| (i.incarnation, i.version)).collect();
            let mut lost = Vec::new();
            match event {
                Event::Publish => newest += 1,
                Event::Read(index, behind) => {
                    instances[index].adopt(Some(newest.saturating_sub(behind).max(1)));
                }
                Event::Restart(index) => {
                    let incarnation = instances[index].incarnation + 1;
                    instances[index] = Instance { incarnation, ..Instance::default() };
                }
                Event::Lose(index) => lost.push(index),
            }
            now = now.plus_ms(BEAT_MS);
            beat(&mut instances, &lost, now);
            for ((incarnation, version), instance) in before.iter().zip(&instances) {
                if *incarnation == instance.incarnation {
                    prop_assert!(instance.version >= *version, "an instance went back");
                }
            }
        }
        instances[reader].adopt(Some(newest));
        for _ in 0..CATCH_UP_BEATS {
            now = now.plus_ms(BEAT_MS);
            beat(&mut instances, &[], now);
        }
        for (index, instance) in instances.iter().enumerate() {
            prop_assert_eq!(instance.version, Some(newest), "instance {}", index);
        }
    }
}
