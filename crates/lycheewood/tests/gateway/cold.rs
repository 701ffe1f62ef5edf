//! Cold endpoints, which all gateways together must send few requests.

use std::thread;
use std::time::{Duration, Instant};

use lycheewood::{RawRouteTable, RawService};

use crate::harness::{Action, Harness, ok_response, request, request_within, response, routes};

/// The routes of the harness, with a limit for cold endpoints.
fn routes_with_limit(cold_per_s: f64) -> RawRouteTable {
    let service = RawService {
        name: "work".to_owned(),
        max_connections: 1_000,
        experts: None,
        engine_profile: None,
        cold_per_s,
    };
    RawRouteTable { services: vec![service], ..routes(1) }
}

fn arrivals(harness: &Harness, endpoint: &str) -> usize {
    harness.received().iter().filter(|received| received.endpoint == endpoint).count()
}

fn start(harness: &mut Harness, id: &str, cold_left_ms: u64) {
    harness.cold_left_ms = cold_left_ms;
    harness.start_endpoint(id, |received| Action::Write(ok_response(received, "ok")));
}

/// The most requests that may reach a cold endpoint since `start` with a limit of 1 a second for all gateways: windows of
/// one gateway are at least 3 s apart then, and last 250 ms. The bound grows with the time that the machine takes.
fn most_arrivals(start: Instant) -> usize {
    let windows = start.elapsed().as_millis() / (3_000 - 250);
    usize::try_from(1 + windows).expect("few windows")
}

/// Guards against sending a cold endpoint as many requests as a warm one.
#[test]
fn a_cold_endpoint_gets_few_requests() {
    let begin = Instant::now();
    let mut harness = Harness::start();
    harness.offer_routes(routes_with_limit(1.0));
    start(&mut harness, "warm", 0);
    start(&mut harness, "cold", 3_600_000);
    for number in 0..60 {
        let path = ["/read/x", "/once/x"][number % 2];
        assert_eq!(harness.call(&request(path, &format!("id-{number}"))).status, 200);
    }
    let arrivals = arrivals(&harness, "cold");
    assert!(arrivals <= most_arrivals(begin), "{arrivals}");
}

/// Guards against second attempts that go to a cold endpoint beside the limit.
#[test]
fn retries_keep_to_the_limit() {
    let begin = Instant::now();
    let mut harness = Harness::start();
    harness.offer_routes(routes_with_limit(1.0));
    harness.start_endpoint("warm", |received| {
        Action::Write(response(received, "503 Service Unavailable", "X-Not-Run: 1\r\n", ""))
    });
    start(&mut harness, "cold", 3_600_000);
    for number in 0..40 {
        // A request waits for the next window for a quarter of this time.
        harness.call(&request_within(2_000, "/read/x", &format!("id-{number}")));
    }
    let cold = arrivals(&harness, "cold");
    assert!(cold <= most_arrivals(begin), "{cold}");
    assert!(arrivals(&harness, "warm") >= 30, "{}", arrivals(&harness, "warm"));
}

/// Guards against limiting the endpoints of services that have no limit.
#[test]
fn without_a_limit_cold_endpoints_are_used_as_others() {
    let mut harness = Harness::start();
    harness.offer_routes(routes_with_limit(0.0));
    start(&mut harness, "cold", 3_600_000);
    for number in 0..20 {
        assert_eq!(harness.call(&request("/once/x", &format!("id-{number}"))).status, 200);
    }
}

/// Guards against a gateway without others that never uses a cold endpoint, and against one that refuses requests
/// although its next window begins before they are late.
#[test]
fn a_gateway_alone_uses_its_only_endpoint_while_that_is_cold() {
    let mut harness = Harness::start();
    harness.offer_routes(routes_with_limit(100.0));
    start(&mut harness, "cold", 3_600_000);
    let is_served =
        |number| harness.call(&request("/once/x", &format!("id-{number}"))).status == 200;
    // The fleet is not known in the first 2 s, and windows are far apart then. 30 s at least.
    let is_served_later = |number: &i32| {
        thread::park_timeout(Duration::from_millis(5));
        is_served(*number)
    };
    assert_eq!((0..6_000).filter(is_served_later).take(100).count(), 100);
}
