//! Load reports: bytes on the wire, and which daemon watches which endpoint.

use std::collections::HashMap;

use lycheewood::{
    AttemptId, Chunk, FailureDomain, Frame, Incarnation, InstanceCandidate, InstanceId, ListPage,
    ListedInstance, ListedState, Load, Role, Timestamp, decode, encode, watched_endpoints,
};

use crate::{row, time, to_f64};

const DAEMONS: usize = 320;
const ENDPOINTS: usize = 3_700;
const DOMAINS: usize = 5;

pub(crate) fn run() {
    let now = Timestamp::from_unix_ms(1_700_000_000_000);
    let load = Frame::Load(Load { running: 40, queued: 3, capacity: 256, reported: now });
    let heartbeat = Frame::Heartbeat(100_000);
    let attempt = AttemptId { incarnation: Incarnation::random(), sequence: 100_000 };
    let chunk = Frame::Chunk(Chunk { attempt, index: 200, bytes: b" token".as_slice().into() });
    for (name, frame) in [("load", load), ("heartbeat", heartbeat), ("chunk", chunk)] {
        let encoded = encode(&frame);
        row("frame_bytes", 1, 1, to_f64(encoded.len()), name);
        time(&format!("{name}_encode"), encoded.len(), 1_000, |_| encode(&frame));
        time(&format!("{name}_decode"), encoded.len(), 1_000, |_| decode(&encoded));
    }
    for count in [30, 400, 4_020] {
        list(count);
    }
    for max in [16, 64, 128] {
        watch(max);
    }
}

/// Bytes of the whole instance list, which the platform sends on each read.
fn list(count: usize) {
    let instances = (0..count).map(|index| ListedInstance {
        id: InstanceId::new(&format!("endpoint-{index:04}")),
        role: Role::Endpoint,
        address: "10.0.0.1:7000".parse().expect("the address is valid"),
        failure_domain: FailureDomain::new(&format!("fd-{}", index % DOMAINS)),
        state: ListedState::Live,
    });
    let page = ListPage { version: 1, instances: instances.collect() };
    let text = serde_json::to_string(&page).expect("a list is JSON");
    row("instance_list_bytes", count, 1, to_f64(text.len()), "bytes");
    time("instance_list_decode", count, 3, |_| serde_json::from_str::<ListPage>(&text));
}

/// How many daemons watch each endpoint, and the time that one daemon needs to choose.
fn watch(max: usize) {
    let domains: Vec<FailureDomain> =
        (0..DOMAINS).map(|d| FailureDomain::new(&format!("fd-{d}"))).collect();
    let ids: Vec<InstanceId> =
        (0..ENDPOINTS).map(|e| InstanceId::new(&format!("endpoint-{e:04}"))).collect();
    let endpoints: Vec<InstanceCandidate<'_>> = (0..)
        .zip(&ids)
        .map(|(index, id): (usize, _)| InstanceCandidate {
            id,
            address: "10.0.0.1:7000",
            failure_domain: &domains[index % DOMAINS],
        })
        .collect();
    let watcher = |d: usize| (InstanceId::new(&format!("entry-{d:03}")), &domains[d % DOMAINS]);
    let mut watchers: HashMap<&InstanceId, usize> = HashMap::new();
    for daemon in 0..DAEMONS {
        let (id, domain) = watcher(daemon);
        for watched in watched_endpoints(&id, domain, &endpoints, max, max / 4) {
            *watchers.entry(watched.id).or_default() += 1;
        }
    }
    let counts = ids.iter().map(|id| watchers.get(id).copied().unwrap_or(0));
    let unwatched = counts.clone().filter(|count| *count == 0).count();
    row("watchers_of_an_endpoint", max, ENDPOINTS, to_f64(counts.max().unwrap_or(0)), "most");
    row("endpoints_without_a_watcher", max, ENDPOINTS, to_f64(unwatched), "endpoints");
    let (id, domain) = watcher(0);
    time("choose_watched", max, 3, |_| {
        watched_endpoints(&id, domain, &endpoints, max, max / 4).len()
    });
}
