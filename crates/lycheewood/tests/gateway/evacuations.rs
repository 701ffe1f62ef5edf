//! Failure domains that the operator has evacuated: their endpoints get no requests.

use std::thread;
use std::time::Duration;

use lycheewood::{FailureDomain, Offset, RawRouteTable, RequestKind};

use crate::harness::{
    Action, Harness, ReceivedRequest, header_value, ok_response, request, response, routes,
};

fn arrivals(harness: &Harness, endpoint: &str) -> usize {
    harness.received().iter().filter(|received| received.endpoint == endpoint).count()
}

fn start_in(
    harness: &mut Harness,
    domain: &'static str,
    id: &str,
    script: impl Fn(&ReceivedRequest) -> Action + Send + Sync + 'static,
) {
    harness.domain = domain;
    harness.start_endpoint(id, script);
}

/// Puts all evacuated failure domains in force, as the newest records of the operator's topic up to `end`.
fn evacuate(harness: &Harness, domains: &[&str], end: u64) {
    let domains = domains.iter().map(|domain| FailureDomain::new(domain)).collect();
    harness.gateway().handle().replace_evacuations(domains, Offset(end));
    wait_for_evacuations(harness, end);
}

/// Waits until the gateway knows the operator's records up to `end`.
fn wait_for_evacuations(harness: &Harness, end: u64) {
    // 15 s at least, far longer than a heartbeat takes.
    for _ in 0..3_000 {
        let known = harness.gateway().handle().evacuations();
        if known.is_some_and(|known| known.next >= Offset(end)) {
            return;
        }
        thread::park_timeout(Duration::from_millis(5));
    }
    panic!("the gateway does not learn of the operator's records");
}

fn answer(received: &ReceivedRequest) -> Action {
    Action::Write(ok_response(received, "ok"))
}

/// Guards against requests to endpoints of an evacuated domain, and against refusing them while another domain can
/// take them.
#[test]
fn endpoints_of_an_evacuated_domain_get_no_request() {
    let mut harness = Harness::with_routes();
    start_in(&mut harness, "a", "s1", answer);
    start_in(&mut harness, "b", "s2", answer);
    evacuate(&harness, &["a"], 3);
    for number in 0..40 {
        let path = ["/read/x", "/once/x"][number % 2];
        assert_eq!(harness.call(&request(path, &format!("id-{number}"))).status, 200);
    }
    assert_eq!((arrivals(&harness, "s1"), arrivals(&harness, "s2")), (0, 40));
}

/// Guards against a second attempt at an endpoint of an evacuated domain after the first one failed.
#[test]
fn a_retry_avoids_an_evacuated_domain() {
    let mut harness = Harness::with_routes();
    start_in(&mut harness, "a", "s1", answer);
    start_in(&mut harness, "b", "s2", |received| {
        Action::Write(response(received, "503 Service Unavailable", "X-Not-Run: 1\r\n", ""))
    });
    evacuate(&harness, &["a"], 3);
    for number in 0..10 {
        assert_eq!(harness.call(&request("/read/x", &format!("id-{number}"))).status, 503);
    }
    assert_eq!(arrivals(&harness, "s1"), 0);
}

/// Guards against a broken stream that is continued at an endpoint of an evacuated domain.
#[test]
fn a_resumed_stream_avoids_an_evacuated_domain() {
    let mut harness = Harness::with_routes();
    start_in(&mut harness, "b", "s2", |received| {
        let id = header_value(&received.head, "x-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\nD\r\nid: 1\ndata: a\n\n\r\n"
        );
        // The connection ends before the stream does.
        Action::Write(head.into_bytes())
    });
    start_in(&mut harness, "a", "s1", answer);
    evacuate(&harness, &["a"], 3);
    for number in 0..5 {
        let reply = harness.call(&request("/stream/x", &format!("id-{number}")));
        assert!(!reply.is_complete, "no endpoint continues the stream: {reply:?}");
    }
    assert!(arrivals(&harness, "s2") > 0);
    assert_eq!(arrivals(&harness, "s1"), 0);
}

/// Guards against requests that wait for their deadline although all endpoints of the service are evacuated, and
/// against keeping a domain evacuated that was given back.
#[test]
fn without_another_domain_requests_are_refused_until_it_is_given_back() {
    let mut harness = Harness::start();
    let mut table: RawRouteTable = routes(1);
    for route in &mut table.routes {
        route.kind = RequestKind::Idempotent;
    }
    harness.offer_routes(table);
    start_in(&mut harness, "a", "s1", answer);
    evacuate(&harness, &["a", "b"], 3);
    let reply = harness.call(&request("/read/x", "id-1"));
    assert!(reply.status == 503 && header_value(&reply.head, "retry-after").is_some(), "{reply:?}");
    assert_eq!(arrivals(&harness, "s1"), 0);
    evacuate(&harness, &["b"], 4);
    assert_eq!(harness.call(&request("/read/x", "id-2")).status, 200);
}

/// Guards against an instance that learns of an evacuation only from the platform: its own reader may be slow, and most
/// instances read nothing.
#[test]
fn an_evacuation_reaches_other_instances_in_heartbeats() {
    let first = Harness::with_routes();
    let mut second = Harness::start_with_seeds(vec![first.peer_address()]);
    second.offer_routes(routes(1));
    start_in(&mut second, "b", "s2", answer);
    start_in(&mut second, "a", "s1", answer);
    second.wait_until_ready();
    evacuate(&first, &["a"], 7);
    wait_for_evacuations(&second, 7);
    for number in 0..20 {
        assert_eq!(second.call(&request("/read/x", &format!("id-{number}"))).status, 200);
    }
    assert_eq!(arrivals(&second, "s1"), 0);
}
