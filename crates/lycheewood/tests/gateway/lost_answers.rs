//! Answers of plain services that do not arrive.

use std::io::Write;

use crate::harness::{
    Action, Harness, ReceivedRequest, SHORT_DEADLINE_MS, ok_response, request, request_within,
};

/// An endpoint whose answer to the request `lost` does not arrive.
fn loses(received: &ReceivedRequest, lost: &str) -> Action {
    if received.head.contains(lost) {
        Action::Hang(Vec::new())
    } else {
        Action::Write(ok_response(received, "ok"))
    }
}

/// Guards against a lost answer that an idempotent request waits for until its caller leaves: one gateway sees few
/// requests of a plain service, so the rule that others must have answered lately left it no second attempt.
#[test]
fn an_idempotent_request_goes_to_another_endpoint_after_a_lost_answer() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |_| Action::Hang(Vec::new()));
    harness.start_endpoint("s2", |_| Action::Hang(Vec::new()));
    let reply = harness.call(&request_within(SHORT_DEADLINE_MS, "/read/x", "id-1"));
    // Neither endpoint answers, so the caller learns that the request may have run.
    assert!([502, 504].contains(&reply.status), "{reply:?}");
    let mut endpoints: Vec<String> =
        harness.received().into_iter().map(|received| received.endpoint).collect();
    endpoints.sort();
    assert_eq!(endpoints, ["s1", "s2"]);
}

/// Guards against repeating a non-idempotent request after a lost answer.
#[test]
fn a_request_that_may_have_run_waits_for_a_lost_answer() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |_| Action::Hang(Vec::new()));
    harness.start_endpoint("s2", |_| Action::Hang(Vec::new()));
    let reply = harness.call(&request_within(SHORT_DEADLINE_MS, "/once/x", "id-1"));
    assert!([502, 504].contains(&reply.status), "{reply:?}");
    assert_eq!(harness.received().len(), 1);
}

/// Guards against requests that wait behind one whose answer is lost.
#[test]
fn other_requests_are_answered_beside_a_lost_answer() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| loses(received, "id-lost"));
    harness.wait_until_ready();
    let mut lost = harness.connect();
    lost.write_all(request("/once/x", "id-lost").as_bytes()).expect("the request is sent");
    for id in 0..6 {
        assert_eq!(harness.call(&request("/once/x", &format!("id-{id}"))).status, 200);
    }
    drop(lost);
}
