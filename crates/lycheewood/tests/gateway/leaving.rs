//! Endpoints that say in their responses that they are leaving, or for how long they want no request.

use lycheewood::EndpointAvailability;

use crate::harness::{Action, Harness, ok_response, request, response};

fn arrivals(harness: &Harness, endpoint: &str) -> usize {
    harness.received().iter().filter(|received| received.endpoint == endpoint).count()
}

/// Guards against sending requests to an endpoint that has said that it leaves, while the endpoint list does not
/// say so: the list may be late, or the platform's store may be away.
#[test]
fn an_endpoint_that_says_that_it_leaves_gets_no_further_request() {
    let mut harness = Harness::with_routes();
    let leaving = harness.start_endpoint("s1", |received| {
        Action::Write(response(received, "200 OK", "X-Seal: s\r\nX-Leaving: 1\r\n", "ok"))
    });
    harness.start_endpoint("s2", |received| Action::Write(ok_response(received, "ok")));
    for number in 0..40 {
        let reply = harness.call(&request("/read/x", &format!("id-{number}")));
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(arrivals(&harness, "s1"), 1);
    // The entry lapses and comes back, as after an outage of the list. It is still the same incarnation.
    harness.remove_endpoint("s1");
    harness.list_endpoint("s1", leaving, EndpointAvailability::Ready);
    for number in 0..40 {
        harness.call(&request("/read/x", &format!("later-{number}")));
    }
    assert_eq!(arrivals(&harness, "s1"), 1);
}

/// Guards against excluding an endpoint for good that has started again under the identifier that it had.
#[test]
fn an_endpoint_that_has_started_again_is_not_leaving() {
    let mut harness = Harness::with_routes();
    let address = harness.start_endpoint("s1", |received| {
        Action::Write(response(received, "200 OK", "X-Seal: s\r\nX-Leaving: 1\r\n", "ok"))
    });
    assert_eq!(harness.call(&request("/read/x", "id-1")).status, 200);
    assert_eq!(harness.call(&request("/read/x", "id-2")).status, 503);
    harness.list_restarted_endpoint("s1", address);
    assert_eq!(harness.call(&request("/read/x", "id-3")).status, 200);
}
