//! Route tables of the tests.

use lycheewood::{RawRoute, RawRouteTable, RawRouteWorkspace, RawTrafficShare, RequestKind};

/// Timeout of all routes, in milliseconds. Longer than [`Reply`](crate::harness::Reply) is waited for, so that no
/// request ends because the machine is busy, and one that hangs fails its test.
pub(crate) const TIMEOUT_MS: u64 = 60_000;

fn route(name: &str, kind: RequestKind, max_attempts: u32) -> RawRoute {
    RawRoute {
        name: name.to_owned(),
        host: "one.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout_ms: TIMEOUT_MS,
        target_ms: 200,
        priority: 1,
        split: vec![RawTrafficShare { service: "work".to_owned(), weight: 1 }],
        max_attempts,
        allows_anonymous: false,
        is_resumable: kind == RequestKind::Streaming,
        target_gap_ms: None,
        allowed_regions: None,
    }
}

/// A route table with a route of each kind to the service `work`, and one workspace.
pub(crate) fn routes(version: u64) -> RawRouteTable {
    RawRouteTable {
        version,
        routes: vec![
            route("read", RequestKind::Idempotent, 2),
            route("once", RequestKind::NonIdempotent, 2),
            route("stream", RequestKind::Streaming, 3),
        ],
        workspaces: vec![RawRouteWorkspace {
            name: "team".to_owned(),
            keys: vec!["key-1".to_owned()],
            priority: None,
            allowed_regions: None,
        }],
        ..RawRouteTable::default()
    }
}
