//! Routes and workspaces whose requests may be served only in some regions. Domain `a` is in region `aa`, and `b` in `bb`.

use lycheewood::{FailureDomain, RawRouteTable, RegionMap, RegionName};

use crate::harness::{Action, Harness, ok_response, request, response, routes};

/// The regions of the failure domains of all tests.
pub(crate) fn region_map() -> RegionMap {
    let regions = [("a", "aa"), ("b", "bb")];
    regions
        .map(|(domain, region)| (FailureDomain::new(domain), RegionName::new(region)))
        .into_iter()
        .collect()
}

/// Names of regions, or `None` without a restriction.
type Names<'a> = Option<&'a [&'a str]>;

fn arrivals(harness: &Harness, endpoint: &str) -> usize {
    harness.received().iter().filter(|received| received.endpoint == endpoint).count()
}

/// The routes of the harness, with regions of all routes and of the workspace.
fn routes_in(route: Names<'_>, workspace: Names<'_>) -> RawRouteTable {
    let names = |names: &[&str]| names.iter().map(|name| RegionName::new(name)).collect();
    let mut table = routes(1);
    for raw in &mut table.routes {
        raw.allowed_regions = route.map(names);
    }
    table.workspaces[0].allowed_regions = workspace.map(names);
    table
}

/// A gateway with an endpoint in each region; the one in `bb` refuses all requests.
fn start(route: Names<'_>, workspace: Names<'_>) -> Harness {
    let mut harness = Harness::start();
    harness.offer_routes(routes_in(route, workspace));
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    harness.domain = "b";
    harness.start_endpoint("s2", |received| {
        Action::Write(response(received, "503 Service Unavailable", "X-Not-Run: 1\r\n", ""))
    });
    harness
}

/// Guards against a first or second attempt in a region that the route or the workspace does not allow.
#[test]
fn requests_stay_in_their_regions() {
    let table: [(Names<'_>, Names<'_>); 4] = [
        (Some(&["bb"]), None),
        (None, Some(&["bb"])),
        (Some(&["aa", "bb"]), Some(&["bb", "cc"])),
        (Some(&["bb"]), Some(&["aa", "bb"])),
    ];
    for (route, workspace) in table {
        let harness = start(route, workspace);
        for number in 0..10 {
            let reply = harness.call(&request("/read/x", &format!("id-{number}")));
            assert_eq!(reply.status, 503, "{route:?} {workspace:?} {reply:?}");
        }
        assert_eq!(arrivals(&harness, "s1"), 0, "{route:?} {workspace:?}");
        assert!(arrivals(&harness, "s2") > 0, "{route:?} {workspace:?}");
    }
}

/// Guards against requests that are sent somewhere although no endpoint is allowed, and against a restriction where there
/// is none.
#[test]
fn without_an_allowed_endpoint_requests_are_refused() {
    let table: [(Names<'_>, Names<'_>); 3] =
        [(Some(&["cc"]), None), (Some(&["aa"]), Some(&["bb"])), (None, Some(&[]))];
    for (route, workspace) in table {
        let harness = start(route, workspace);
        assert_eq!(harness.call(&request("/read/x", "id-1")).status, 503);
        assert!(harness.received().is_empty(), "{route:?} {workspace:?}");
    }
    let harness = start(None, None);
    assert!((0..40).all(|n| harness.call(&request("/read/x", &format!("id-{n}"))).status == 200));
}
