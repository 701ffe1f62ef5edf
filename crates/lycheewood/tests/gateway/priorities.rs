//! The priority header that engines admit by.

use lycheewood::{RawRouteTable, RawRouteWorkspace, RawService};

use crate::engine_profile::ENGINE;
use crate::harness::{Action, Harness, header_value, ok_response, request, routes};

/// The table of [`routes`] with engines behind the service, and a second workspace of the given priority.
fn engine_routes(second_priority: Option<u8>) -> RawRouteTable {
    let mut table = routes(1);
    table.services.push(RawService {
        cold_per_s: 0.0,
        name: "work".to_owned(),
        max_connections: 0,
        experts: None,
        engine_profile: Some(ENGINE),
    });
    table.workspaces.push(RawRouteWorkspace {
        allowed_regions: None,
        name: "second".to_owned(),
        keys: vec!["key-2".to_owned()],
        priority: second_priority,
    });
    table
}

/// The priority header that an endpoint receives with the request of a caller that sends one itself.
fn received_priority(table: RawRouteTable, key: &str) -> Option<String> {
    let mut harness = Harness::start();
    harness.offer_routes(table);
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    let forged = request("/once/x", "id-1").replace("X-Id", "X-Priority: 0\r\nX-Id");
    assert_eq!(harness.call(&forged.replace("key-1", key)).status, 200);
    header_value(&harness.received().remove(0).head, "x-priority")
}

/// Guards against callers that set their own priority at engines, and against a priority of the route where the
/// workspace has one.
#[test]
fn engines_receive_the_effective_priority() {
    assert_eq!(received_priority(engine_routes(Some(3)), "key-1").as_deref(), Some("1"));
    assert_eq!(received_priority(engine_routes(Some(3)), "key-2").as_deref(), Some("3"));
    assert_eq!(received_priority(engine_routes(Some(200)), "key-2").as_deref(), Some("9"));
}

/// Guards against a changed request in deployments whose requests all have the same priority, and to services without
/// engines.
#[test]
fn requests_of_one_priority_have_no_priority_header() {
    assert_eq!(received_priority(engine_routes(None), "key-1"), None);
    assert_eq!(received_priority(engine_routes(Some(1)), "key-2"), None);
    let plain = RawRouteTable { services: Vec::new(), ..engine_routes(Some(3)) };
    assert_eq!(received_priority(plain, "key-2"), None);
}
