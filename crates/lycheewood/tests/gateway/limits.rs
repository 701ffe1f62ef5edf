//! Endpoints that name in their responses how many requests they take from all gateways together.

use std::time::Instant;

use lycheewood::EndpointAvailability;

use crate::harness::{Action, Harness, ReceivedRequest, ok_response, request, response};
use crate::tables::routes;

fn arrivals(harness: &Harness, endpoint: &str) -> f64 {
    let received = harness.received();
    let arrivals = received.iter().filter(|received| received.endpoint == endpoint).count();
    f64::from(u32::try_from(arrivals).expect("few arrivals"))
}

/// A success that names a limit in requests per second.
fn limited(received: &ReceivedRequest, per_s: &str) -> Action {
    let header = format!("X-Seal: {}\r\nX-Limit: {per_s}\r\n", received.endpoint);
    Action::Write(response(received, "200 OK", &header, "ok"))
}

/// One and a half times what a limit allows since `start`, and 5 requests.
fn most_arrivals(per_s: f64, start: Instant) -> f64 {
    1.5 * per_s * start.elapsed().as_secs_f64() + 5.0
}

/// Guards against a gateway that sends an endpoint as many requests as before, whatever limit it names.
#[test]
fn an_endpoint_gets_no_more_than_the_limit_that_it_names() {
    let begin = Instant::now();
    let mut harness = Harness::with_routes();
    harness.start_endpoint("free", |received| Action::Write(ok_response(received, "ok")));
    harness.start_endpoint("limited", |received| limited(received, "0.2"));
    for number in 0..80 {
        let path = ["/read/x", "/once/x"][number % 2];
        assert_eq!(harness.call(&request(path, &format!("id-{number}"))).status, 200);
    }
    let (arrivals, most) = (arrivals(&harness, "limited"), most_arrivals(0.2, begin));
    assert!(arrivals >= 1.0, "the endpoint is not used at all");
    assert!(arrivals <= most, "{arrivals} of at most {most}");
}

/// Guards against gateways that each send an endpoint as much as its limit allows to all of them.
#[test]
fn gateways_share_the_limit_that_an_endpoint_names() {
    let begin = Instant::now();
    let mut first = Harness::start();
    first.offer_routes(routes(1));
    let seeds = vec![first.peer_address()];
    let mut others: Vec<Harness> =
        (0..3).map(|_| Harness::start_with_seeds(seeds.clone())).collect();
    first.start_endpoint("free", |received| Action::Write(ok_response(received, "ok")));
    let address = first.start_endpoint("limited", |received| limited(received, "0.2"));
    for other in &mut others {
        other.offer_routes(routes(1));
        other.start_endpoint("free", |received| Action::Write(ok_response(received, "ok")));
        other.list_endpoint("limited", address, EndpointAvailability::Ready);
        other.wait_for_peer();
    }
    for number in 0..40 {
        for (index, harness) in others.iter().chain([&first]).enumerate() {
            let reply = harness.call(&request("/read/x", &format!("id-{index}-{number}")));
            assert_eq!(reply.status, 200);
        }
    }
    // Each gateway may get one answer before it knows the limit.
    let (arrivals, most) = (arrivals(&first, "limited"), most_arrivals(0.2, begin) + 3.0);
    assert!(arrivals <= most, "{arrivals} of at most {most}");
}
