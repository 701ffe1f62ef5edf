//! Requests that crash the endpoints that run them.

use std::net::SocketAddr;

use lycheewood::EndpointAvailability;

use crate::harness::{Action, Harness, ReceivedRequest, header_value, ok_response, request};

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
fn two_gateways(script: fn(&ReceivedRequest) -> Action) -> (Harness, Harness) {
    let mut first = Harness::with_routes();
    let mut second = Harness::start_with_seeds(vec![first.peer_address()]);
    second.offer_routes(crate::harness::routes(1));
    for index in 0..ENDPOINTS {
        let id = format!("s{index}");
        let address: SocketAddr = first.start_endpoint(&id, script);
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
    let (first, second) = two_gateways(|received| {
        // Two endpoints end while they run the request, as on any day; the others answer it.
        if received.head.contains("x-expect: s0\r") || received.head.contains("x-expect: s1\r") {
            Action::Crash
        } else {
            Action::Write(ok_response(received, "ok"))
        }
    });
    let mut failures = 0;
    for number in 0..40 {
        for gateway in [&first, &second] {
            let reply = gateway.call(&request("/read/popular", &format!("id-{number}")));
            failures += usize::from(reply.status != 200);
        }
    }
    assert!(failures <= 1, "{failures} of 80 requests failed");
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
