//! Requests that wait for a place at an engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use lycheewood::{RawRouteWorkspace, RawService};

use crate::engine_profile::ENGINE;
use crate::harness::{Action, Harness, Reply, ok_response, request, routes};

/// Number of requests that are sent together.
const REQUESTS: usize = 8;

/// Guards against a waiting request that is not woken when its turn comes, and against more requests at an engine than
/// its batch: with a gap target that no batch meets, the batch is 1.
#[test]
fn waiting_requests_are_served_one_after_the_other() {
    check(None);
}

/// The same where requests have different priorities, which limits the places that a gateway takes.
#[test]
fn waiting_requests_of_all_priorities_are_served() {
    check(Some(7));
}

/// Sends requests of two workspaces, one with the given priority, and checks that each is served alone.
fn check(second_priority: Option<u8>) {
    let mut harness = Harness::start();
    let mut table = routes(1);
    for route in &mut table.routes {
        // Long enough that no request is refused on a busy machine.
        (route.target_ms, route.target_gap_ms) = (20_000, Some(1));
    }
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
    harness.offer_routes(table);
    let (running, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (now_running, most_running) = (Arc::clone(&running), Arc::clone(&most));
    harness.start_endpoint("s1", move |received| {
        let count = now_running.fetch_add(1, Ordering::SeqCst) + 1;
        most_running.fetch_max(count, Ordering::SeqCst);
        now_running.fetch_sub(1, Ordering::SeqCst);
        Action::Write(ok_response(received, "ok"))
    });
    harness.wait_until_ready();
    let calls: Vec<_> = (0..REQUESTS)
        .map(|id| {
            let (tcp, key) = (harness.connect(), format!("key-{}", id % 2 + 1));
            let request = request("/once/x", &format!("id-{id}")).replace("key-1", &key);
            thread::spawn(move || Reply::read(tcp, &request).status)
        })
        .collect();
    let statuses: Vec<u16> = calls.into_iter().map(|call| call.join().expect("a reply")).collect();
    assert_eq!(statuses, [200; REQUESTS]);
    assert_eq!(most.load(Ordering::SeqCst), 1);
}
