//! Gateways that have just started, before a group that stalls, refuses and forms.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use lycheewood::RawRouteTable;

use crate::harness::{Action, Harness, ReceivedRequest, Reply, request, response, routes};
use crate::streams::{chunk, events, head};

/// Number of requests that arrive while the group stalls.
const REQUESTS: usize = 12;
/// Shortest time between two probes of a gateway, in milliseconds. One less than its interval, because its timestamps are
/// whole milliseconds.
const PROBE_INTERVAL_MS: u64 = 199;

/// Waits until a condition holds, for 15 s at least.
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..3_000 {
        if condition() {
            return;
        }
        thread::park_timeout(Duration::from_millis(5));
    }
    panic!("{what}");
}

/// Routes whose requests wait for so long that none is refused on a busy machine.
fn patient_routes() -> RawRouteTable {
    let mut table = routes(1);
    for route in &mut table.routes {
        route.timeout_ms = 80_000;
    }
    table
}

fn stream_request(id: usize) -> String {
    request("/stream/x", &format!("id-{id}")).replace("X-Deadline: 3000", "X-Deadline: 80000")
}

fn refusal(received: &ReceivedRequest) -> Vec<u8> {
    response(received, "503 Service Unavailable", "X-Not-Run: 1\r\n", "")
}

fn stream(received: &ReceivedRequest) -> String {
    head(received) + &chunk(&events(1, 2)) + "0\r\n\r\n"
}

/// Sends requests to a gateway whose group stalls, and checks that it sends one at once and then one after the other.
fn send_while_stalled(harness: &Harness) -> Vec<JoinHandle<u16>> {
    let started = Instant::now();
    let calls = (0..REQUESTS).map(|id| {
        let tcp = harness.connect();
        thread::spawn(move || Reply::read(tcp, &stream_request(id)).status)
    });
    let calls = calls.collect();
    wait_until("no probe follows a silent one", || harness.received().len() >= 3);
    let probes = u64::try_from(harness.received().len()).expect("a small number");
    // Read after the number of probes, so that a slow machine only makes the bound larger.
    let elapsed_ms = u64::try_from(started.elapsed().as_millis()).expect("a short time");
    assert!(probes <= 1 + elapsed_ms / PROBE_INTERVAL_MS, "{probes} probes in {elapsed_ms} ms");
    calls
}

/// A group that stalls, then refuses, then serves.
#[derive(Clone, Default)]
struct FakeGroup {
    has_stalled: Arc<AtomicBool>,
    has_formed: Arc<AtomicBool>,
    /// Requests that it has refused at once.
    refused: Arc<AtomicUsize>,
}

impl FakeGroup {
    fn answer(&self, received: &ReceivedRequest) -> Action {
        if !self.has_stalled.load(Ordering::SeqCst) {
            return Action::Pause(Vec::new(), Arc::clone(&self.has_stalled), refusal(received));
        }
        if !self.has_formed.load(Ordering::SeqCst) {
            self.refused.fetch_add(1, Ordering::SeqCst);
            return Action::Write(refusal(received));
        }
        Action::Write(stream(received).into_bytes())
    }
}

/// Guards against a gateway that sends its full load into a group of which it knows nothing, against requests that are
/// lost meanwhile, and against gateways that do not learn from others that the group serves.
#[test]
fn a_gateway_that_has_started_probes_a_group_that_stalls() {
    let mut first = Harness::start();
    let mut second = Harness::start_with_seeds(vec![first.peer_address()]);
    let group = FakeGroup::default();
    for (rank, id) in ["s1", "s2"].into_iter().enumerate() {
        let answers = group.clone();
        let address = first.start_rank(id, rank, move |received| answers.answer(received));
        second.list_rank(id, address, rank);
    }
    for harness in [&first, &second] {
        harness.offer_routes(patient_routes());
        harness.wait_until_ready();
    }
    let calls = send_while_stalled(&first);
    group.has_stalled.store(true, Ordering::SeqCst);
    wait_until("no probe of a group that forms", || group.refused.load(Ordering::SeqCst) > 0);
    assert_eq!(first.gateway().handle().closed_groups(), ["g"]);
    assert_eq!(second.gateway().handle().closed_groups(), ["g"]);

    group.has_formed.store(true, Ordering::SeqCst);
    for call in calls {
        assert_eq!(call.join().expect("a reply"), 200);
    }
    assert!(first.gateway().handle().closed_groups().is_empty());
    // Only recent events are told, so the group goes on serving.
    wait_until("the second gateway does not learn that the group serves", || {
        first.call_now(&stream_request(REQUESTS));
        second.gateway().handle().closed_groups().is_empty()
    });
}

/// Guards against taking the head of a stream for a sign that the group serves: an engine may send it before its first
/// step.
#[test]
fn only_an_event_of_a_stream_opens_its_group() {
    let mut harness = Harness::start();
    harness.offer_routes(patient_routes());
    let serves = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&serves);
    harness.start_rank("s1", 0, move |received| {
        let (head, stream) = (head(received), stream(received));
        let rest = stream[head.len()..].to_owned();
        Action::Pause(head.into_bytes(), Arc::clone(&flag), rest.into_bytes())
    });
    harness.wait_until_ready();
    let calls = send_while_stalled(&harness);
    assert_eq!(harness.gateway().handle().closed_groups(), ["g"]);
    serves.store(true, Ordering::Relaxed);
    for call in calls {
        assert_eq!(call.join().expect("a reply"), 200);
    }
    assert!(harness.gateway().handle().closed_groups().is_empty());
}
