//! Bodies that stand still or come unread, and callers that hold connections.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{Action, Harness, Reply, header_value, ok_response, request, routes};

/// Starts a gateway that gives a body up after `stall_ms` without a byte.
fn start(stall_ms: u64) -> Harness {
    let mut harness = Harness::start();
    let mut table = routes(1);
    table.caller_limits.header_timeout_ms = stall_ms;
    harness.offer_routes(table);
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    harness.wait_until_ready();
    harness
}

/// Guards against a body that keeps its memory until the deadline of its request once it stands still.
#[test]
fn a_body_that_stands_still_is_refused_as_not_run() {
    // The same limit holds for the head, which arrives some time after the connection.
    let harness = start(1_000);
    let request = request("/read/x", "id-1");
    let reply = harness.call(&request.replace("Content-Length: 4", "Content-Length: 5"));
    assert_eq!(reply.status, 408, "{reply:?}");
    assert_eq!(header_value(&reply.head, "connection").as_deref(), Some("close"));
    assert!(harness.received().is_empty(), "the request has not run");
}

/// Guards against a body that is refused although it arrives in pieces without a long pause: it takes longer than a
/// pause may be.
#[test]
fn a_body_that_goes_on_is_served() {
    // Far longer than a machine pauses a thread between two pieces.
    const STALL_MS: u64 = 4_000;
    let harness = start(STALL_MS);
    let request = request("/read/x", "id-1");
    let request = request.replace("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let head = request.strip_suffix("body").expect("a body");
    let mut tcp = harness.connect();
    let begin = Instant::now();
    tcp.write_all(head.as_bytes()).expect("the head is sent");
    let mut pieces = 0;
    while begin.elapsed() < Duration::from_millis(STALL_MS + STALL_MS / 4) {
        tcp.write_all(b"1\r\nb\r\n").expect("a piece is sent");
        pieces += 1;
        thread::park_timeout(Duration::from_millis(20));
    }
    let reply = Reply::read(tcp, "0\r\n\r\n");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(harness.received()[0].body, vec![b'b'; pieces]);
}

/// Guards against a connection that is kept after a refusal before the body was read. The rest of the body would be
/// taken for the next request.
#[test]
fn a_connection_ends_after_a_refusal_of_an_unread_body() {
    let harness = start(3_000);
    let request = request("/none/x", "id-1").replace("Connection: close\r\n", "");
    let reply = harness.call(&request.replace("Content-Length: 4", "Content-Length: 4000000"));
    assert_eq!(reply.status, 404, "{reply:?}");
    assert_eq!(header_value(&reply.head, "connection").as_deref(), Some("close"));
}
