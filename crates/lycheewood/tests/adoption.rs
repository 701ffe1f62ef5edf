//! Propagation of route tables to instances that the platform refuses, over random sequences of publications,
//! stale reads, lost heartbeats and restarts.

use std::net::SocketAddr;

use lycheewood::{
    About, FailureDomain, Heartbeat, HeartbeatExtension, Incarnation, InstanceId, LagMonitor,
    LocalState, Offset, PeerTracker, Timestamp,
};
use proptest::prelude::*;

const INSTANCES: usize = 3;
/// Time between two heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 200;
/// Heartbeats after which all instances must have a table that one instance has: the permitted lag, one
/// heartbeat that announces the version, and a fetch.
const CONVERGENCE_HEARTBEATS: u64 = 5;

/// A simulated instance, reduced to the propagation of route tables.
#[derive(Default)]
struct Instance {
    incarnation: u64,
    sequence: u64,
    version: Option<u64>,
    peers: PeerTracker,
    lag: LagMonitor,
}

impl Instance {
    /// Adopts a newer table. Versions never decrease within one incarnation.
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
                processor_millicores: 0,
            }),
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            is_ready: true,
            leading: None,
            route_version: self.version,
            endpoints_next: Offset(0),
            reads: false,
            in_flight: Vec::new(),
            extension: HeartbeatExtension::default(),
        }
    }
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(9_000 + index).expect("a port")).into()
}

/// An event between two heartbeats.
#[derive(Clone, Debug)]
enum Event {
    Publish,
    /// An instance reads from the platform, whose reply lags by some versions.
    Read(usize, u64),
    Restart(usize),
    /// The next heartbeat of an instance is lost.
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

/// Exchanges heartbeats between all instances; each then fetches the state that it lacks.
fn exchange_heartbeats(instances: &mut [Instance], lost: &[usize], now: Timestamp) {
    for from in 0..INSTANCES {
        let heartbeat = instances[from].heartbeat(from);
        for to in (0..INSTANCES).filter(|to| *to != from && !lost.contains(&from)) {
            instances[to].peers.apply(address(from), heartbeat.clone(), now);
        }
    }
    for index in 0..INSTANCES {
        let instance = &mut instances[index];
        let own = LocalState {
            failure_domain: &FailureDomain::new("a"),
            is_reader: index == 0,
            route_version: instance.version,
            endpoints_next: Offset(0),
        };
        let fetch = instance.lag.next_fetch(&own, &instance.peers.table(now), now, now.unix_ms());
        let source = fetch.map(|fetch| fetch.source);
        let source = source.and_then(|source| (0..INSTANCES).find(|i| address(*i) == source));
        // The source may have restarted since its heartbeat and then has no table.
        if let Some(fetched) = source.map(|source| instances[source].version) {
            instances[index].adopt(fetched);
        }
    }
}

proptest! {
    /// Guards against an instance that never receives a table that another one has, and against one that
    /// returns to an older version within one incarnation.
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
            now = now.plus_ms(HEARTBEAT_MS);
            exchange_heartbeats(&mut instances, &lost, now);
            for ((incarnation, version), instance) in before.iter().zip(&instances) {
                if *incarnation == instance.incarnation {
                    prop_assert!(instance.version >= *version, "the version decreased");
                }
            }
        }
        instances[reader].adopt(Some(newest));
        for _ in 0..CONVERGENCE_HEARTBEATS {
            now = now.plus_ms(HEARTBEAT_MS);
            exchange_heartbeats(&mut instances, &[], now);
        }
        for (index, instance) in instances.iter().enumerate() {
            prop_assert_eq!(instance.version, Some(newest), "instance {}", index);
        }
    }
}
