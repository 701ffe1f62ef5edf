//! Endpoints that say in their responses that they are leaving, or for how long they want no request.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use lycheewood::EndpointAvailability;

use crate::harness::{Action, Harness, header_value, ok_response, request, response};

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

/// Guards against excluding an endpoint for good that has started again under the identifier that it had, and against
/// sending callers away for as long as a leaving endpoint is remembered.
#[test]
fn an_endpoint_that_has_started_again_is_not_leaving() {
    let mut harness = Harness::with_routes();
    let address = harness.start_endpoint("s1", |received| {
        Action::Write(response(received, "200 OK", "X-Seal: s\r\nX-Leaving: 1\r\n", "ok"))
    });
    assert_eq!(harness.call(&request("/read/x", "id-1")).status, 200);
    let reply = harness.call(&request("/read/x", "id-2"));
    let retry_after = header_value(&reply.head, "retry-after").expect("a time to come back");
    let seconds: f64 = retry_after.parse().expect("seconds");
    assert!(reply.status == 503 && (1.0..=2.0).contains(&seconds), "{reply:?}");
    harness.list_restarted_endpoint("s1", address);
    assert_eq!(harness.call(&request("/read/x", "id-3")).status, 200);
}

/// Guards against forgetting that an endpoint leaves because an entry has another start that is not later, as one of
/// another writer may.
#[test]
fn an_entry_with_an_earlier_start_ends_no_exclusion() {
    let mut harness = Harness::with_routes();
    let address = harness.start_endpoint("s1", |received| {
        Action::Write(response(received, "200 OK", "X-Seal: s\r\nX-Leaving: 1\r\n", "ok"))
    });
    harness.list_restarted_endpoint("s1", address);
    harness.start_endpoint("s2", |received| Action::Write(ok_response(received, "ok")));
    while arrivals(&harness, "s1") == 0 {
        harness.call(&request("/read/x", "first"));
    }
    harness.started_ms = 0;
    harness.list_endpoint("s1", address, EndpointAvailability::Ready);
    for number in 0..40 {
        assert_eq!(harness.call(&request("/read/x", &format!("id-{number}"))).status, 200);
    }
    assert_eq!(arrivals(&harness, "s1"), 1);
}

/// Guards against sending requests to an endpoint for as long as it wants none, and against making callers wait
/// although it is known that no endpoint will take their requests in time.
#[test]
fn an_endpoint_that_asks_for_a_pause_gets_no_request_until_its_end() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| {
        let lines = "X-Not-Run: 1\r\nRetry-After: 30\r\n";
        Action::Write(response(received, "503 Service Unavailable", lines, ""))
    });
    for number in 0..10 {
        let reply = harness.call(&request("/once/x", &format!("id-{number}")));
        let retry_after = header_value(&reply.head, "retry-after").expect("a time to come back");
        let seconds: f64 = retry_after.parse().expect("seconds");
        assert!(reply.status == 503 && (25.0..=30.0).contains(&seconds), "{reply:?}");
    }
    assert_eq!(arrivals(&harness, "s1"), 1);
    // Another endpoint takes the requests meanwhile.
    harness.start_endpoint("s2", |received| Action::Write(ok_response(received, "ok")));
    for number in 0..20 {
        assert_eq!(harness.call(&request("/once/x", &format!("later-{number}"))).status, 200);
    }
    assert_eq!(arrivals(&harness, "s1"), 1);
}

/// Guards against refusing requests that an endpoint will take within their queueing time.
#[test]
fn a_short_pause_of_the_only_endpoint_is_waited_for() {
    let mut harness = Harness::with_routes();
    let arrivals = Arc::new(AtomicUsize::new(0));
    harness.start_endpoint("s1", move |received| match arrivals.fetch_add(1, Ordering::Relaxed) {
        0 => {
            let lines = "X-Not-Run: 1\r\nRetry-After: 0.2\r\n";
            Action::Write(response(received, "503 Service Unavailable", lines, ""))
        }
        _ => Action::Write(ok_response(received, "ok")),
    });
    assert_eq!(harness.call(&request("/once/x", "id-1")).status, 503);
    assert_eq!(harness.call(&request("/once/x", "id-2")).status, 200);
}

/// Guards against excluding an endpoint, or failing, because of a `Retry-After` that is no number of seconds.
#[test]
fn an_odd_retry_after_asks_for_no_pause() {
    for value in ["soon", "-1", "NaN", "inf", "", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        let mut harness = Harness::with_routes();
        let lines = format!("X-Not-Run: 1\r\nRetry-After: {value}\r\n");
        harness.start_endpoint("s1", move |received| {
            Action::Write(response(received, "503 Service Unavailable", &lines, ""))
        });
        for number in 0..3 {
            assert_eq!(harness.call(&request("/once/x", &format!("id-{number}"))).status, 503);
        }
        assert_eq!(arrivals(&harness, "s1"), 3, "{value}");
    }
}
