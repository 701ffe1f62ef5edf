//! Removed endpoints after an outage of the endpoint list that another gateway reports.

use std::thread;
use std::time::Duration;

use lycheewood::{Offset, PlatformTopic};

use crate::harness::{Action, Harness, ok_response, request};
use crate::tables::routes;

/// Guards against a removed endpoint that all gateways use on because the one that reads the list was paused and takes that
/// for an outage of the list (review/7).
#[test]
fn one_gateway_alone_does_not_keep_a_removed_endpoint_for_the_others() {
    let mut reader = Harness::with_routes();
    let other = Harness::start_with_seeds(vec![reader.peer_address()]);
    other.offer_routes(routes(1));
    for gateway in [reader.gateway(), other.gateway()] {
        for topic in [PlatformTopic::Routes, PlatformTopic::Endpoints] {
            gateway.handle().note_reading(topic, true);
        }
    }
    reader.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    assert_eq!(other.call(&request("/read/x", "id-1")).status, 200);
    reader.gateway().handle().on_endpoint_list_recovered();
    reader.remove_endpoint("s1");
    let handle = other.gateway().handle();
    // 15 s at least, far longer than a fetch takes.
    let is_known = (0..3_000).any(|_| {
        thread::park_timeout(Duration::from_millis(5));
        handle.endpoints_next() >= Offset(2)
    });
    assert!(is_known, "the other gateway does not learn of the removal");
    assert_eq!(other.call_now(&request("/read/x", "id-2")).status, 503);
}
