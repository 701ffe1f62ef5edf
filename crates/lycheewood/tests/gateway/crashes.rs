//! Requests that crash the endpoints that run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use lycheewood::EndpointAvailability;

use crate::harness::{Action, Harness, ReceivedRequest, Reply, header_value, ok_response, request};
use crate::streams::{chunk, events, head};

/// Number of endpoints, more than may ever crash.
const ENDPOINTS: usize = 12;

/// Crashes on a request with this path, and answers others.
fn crash_on_bad_path(received: &ReceivedRequest) -> Action {
    if received.head.contains("/bad ") {
        Action::Crash
    } else {
        Action::Write(ok_response(received, "ok"))
    }
}

/// Starts two gateways that know each other and the same endpoints. The first one records what arrives.
fn two_gateways(
    script: impl Fn(&ReceivedRequest) -> Action + Send + Sync + 'static,
) -> (Harness, Harness) {
    let script = Arc::new(script);
    let mut first = Harness::with_routes();
    let mut second = Harness::start_with_seeds(vec![first.peer_address()]);
    second.offer_routes(crate::harness::routes(1));
    for index in 0..ENDPOINTS {
        let id = format!("s{index}");
        let script = Arc::clone(&script);
        let address: SocketAddr = first.start_endpoint(&id, move |received| script(received));
        second.list_endpoint(&id, address, EndpointAvailability::Ready);
    }
    for gateway in [&first, &second] {
        gateway.wait_until_ready();
        gateway.wait_for_peer();
    }
    (first, second)
}

fn arrivals(harness: &Harness, path: &str) -> usize {
    let path = format!(" {path} ");
    harness.received().iter().filter(|received| received.head.contains(&path)).count()
}

/// Guards against sending a request that has crashed three endpoints to further ones: its caller repeats it
/// under new ids at any gateway, and each repeat crashed as many endpoints as a request has attempts.
#[test]
fn a_request_that_crashes_endpoints_is_not_sent_on_and_on() {
    for kind in ["read", "once", "stream"] {
        let (first, second) = two_gateways(crash_on_bad_path);
        let bad = format!("/{kind}/bad");
        let mut last = None;
        for number in 0..6 {
            for (name, gateway) in [("first", &first), ("second", &second)] {
                last = Some(gateway.call(&request(&bad, &format!("{name}-{number}"))));
            }
        }
        let crashes = arrivals(&first, &bad);
        assert!(crashes <= 3, "{kind}: the request crashed {crashes} endpoints");
        let reply = last.expect("a reply");
        assert_eq!(reply.status, 503, "{kind}: {reply:?}");
        assert!(header_value(&reply.head, "retry-after").is_some(), "{kind}: {reply:?}");
        for gateway in [&first, &second] {
            assert_eq!(gateway.call(&request("/read/good", "good")).status, 200, "{kind}");
        }
    }
}

/// Guards against refusing a request for what another one did: one with the same body that endpoints answer
/// loses no attempt, although it was running at endpoints that crashed.
#[test]
fn a_request_that_endpoints_answer_is_not_quarantined() {
    // Two endpoints end while they run the request, as on any day; the others answer it. The first crash comes before
    // any answer, after an answer at the other gateway, or after answers at both.
    for crashes in [[0, 9], [1, 9], [4, 9]] {
        let arrivals = Arc::new(AtomicUsize::new(0));
        let (first, second) = two_gateways(move |received| {
            if crashes.contains(&arrivals.fetch_add(1, Ordering::Relaxed)) {
                Action::Crash
            } else {
                Action::Write(ok_response(received, "ok"))
            }
        });
        for number in 0..40 {
            for (name, gateway) in [("first", &first), ("second", &second)] {
                let reply = gateway.call(&request("/read/popular", &format!("id-{number}")));
                assert_eq!(reply.status, 200, "{crashes:?}: {name} {number}: {reply:?}");
            }
        }
    }
}

/// Guards against refusing a request because the same one is on trial: it waits for the end of the trial, of which the
/// gateway may hear late. Streams, because an answer of a plain service may count as lost before its endpoint ends.
#[test]
fn a_request_waits_for_a_trial_of_the_same_one() {
    let mut harness = Harness::with_routes();
    let (arrivals, ends) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    for id in ["s0", "s1", "s2"] {
        let (arrivals, ends) = (Arc::clone(&arrivals), Arc::clone(&ends));
        harness.start_endpoint(id, move |received| {
            if received.head.contains("/other ") {
                return Action::Write(ok_response(received, "ok"));
            }
            let stream = head(received) + &chunk(&events(1, 2)) + "0\r\n\r\n";
            match arrivals.fetch_add(1, Ordering::Relaxed) {
                0 => Action::Crash,
                // The second attempt of the first request is the trial.
                1 => Action::Pause(Vec::new(), Arc::clone(&ends), stream.into_bytes()),
                _ => Action::Write(stream.into_bytes()),
            }
        });
    }
    harness.wait_until_ready();
    let call = |id: &str| {
        let (tcp, request) = (harness.connect(), request("/stream/popular", id));
        thread::spawn(move || Reply::read(tcp, &request))
    };
    let tried = call("id-1");
    while arrivals.load(Ordering::Relaxed) < 2 {
        thread::park_timeout(Duration::from_millis(5));
    }
    let waiting = call("id-2");
    // Requests that are served meanwhile give the waiting one time to be refused.
    for number in 0..10 {
        let reply = harness.call(&request("/read/other", &format!("other-{number}")));
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(arrivals.load(Ordering::Relaxed), 2, "the request runs beside its trial");
    ends.store(true, Ordering::Relaxed);
    for reply in [tried, waiting].map(|call| call.join().expect("a reply")) {
        assert_eq!((reply.status, reply.is_complete), (200, true), "{reply:?}");
        assert_eq!(reply.body, events(1, 2));
    }
    assert_eq!(arrivals.load(Ordering::Relaxed), 3);
}

/// A request with these shared prompt parts, and a last part of its own.
fn prompt(path: &str, shared: &str, id: &str) -> String {
    let parts = format!("X-Parts: {shared},own-{id}:600\r\nX-Deadline");
    request(path, id).replace("X-Deadline", &parts)
}

/// Crashes on a request with the prompt part `deadly`, and answers others.
fn crash_on_deadly_part(received: &ReceivedRequest) -> Action {
    if received.head.contains("deadly:") {
        Action::Crash
    } else {
        Action::Write(ok_response(received, "ok"))
    }
}

/// Guards against endpoints that end one after the other under different requests with the same prompt part, and
/// against refusing sound requests that share their caller and their other parts.
#[test]
fn a_prompt_part_that_crashes_endpoints_is_not_sent_on_and_on() {
    for kind in ["read", "once", "stream"] {
        let (first, second) = two_gateways(crash_on_deadly_part);
        let gateways = [("first", &first), ("second", &second)];
        for (name, gateway) in gateways {
            let reply = gateway.call(&prompt("/read/warm", "shared:40", name));
            assert_eq!(reply.status, 200, "{kind}: {reply:?}");
        }
        let mut last = None;
        for number in 0..10 {
            for (name, gateway) in gateways {
                let id = format!("{name}-{number}");
                let path = format!("/{kind}/{id}");
                last = Some(gateway.call(&prompt(&path, "shared:40,deadly:165", &id)));
                let sound = prompt(&format!("/read/sound-{id}"), "shared:40", &id);
                assert_eq!(gateway.call(&sound).status, 200, "{kind} {id}: a sound request");
            }
        }
        let is_deadly = |received: &&ReceivedRequest| received.head.contains("deadly:");
        let crashes = first.received().iter().filter(is_deadly).count();
        assert!(crashes <= 5, "{kind}: the prompt part crashed {crashes} endpoints");
        let reply = last.expect("a reply");
        assert_eq!(reply.status, 503, "{kind}: {reply:?}");
        assert!(header_value(&reply.head, "retry-after").is_some(), "{kind}: {reply:?}");
    }
}
