//! Routing, authentication, route table updates and graceful shutdown.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::harness::{
    Action, Harness, Reply, TIMEOUT_MS, header_value, ok_response, request, request_within, routes,
};

/// Guards against a 404 from an instance that has no route table yet; it must answer 503.
#[test]
fn an_instance_without_routes_answers_503() {
    let harness = Harness::start();
    let reply = harness.call_now(&request("/read/x", "id-1"));
    assert_eq!(reply.status, 503);
    assert!(header_value(&reply.head, "retry-after").is_some());
}

/// Guards against refusing requests for the short time in which an instance has started and knows no routes or
/// endpoints yet: after a loss of power all callers were refused twice and not served at all.
#[test]
fn requests_wait_while_an_instance_starts() {
    let mut harness = Harness::start();
    let mut tcp = harness.connect();
    // The request is complete only once routes are known, so a reply before that is a refusal without a wait.
    let request = request("/read/x", "id-1");
    let (head, body) = request.split_at(request.len() - 1);
    tcp.write_all(head.as_bytes()).expect("the head is sent");
    tcp.set_read_timeout(Some(Duration::from_millis(100))).expect("a timeout");
    let early = tcp.peek(&mut [0]);
    assert!(early.is_err(), "a reply before the instance has started: {early:?}");
    harness.offer_routes(routes(1));
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    tcp.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    let reply = Reply::read(tcp, body);
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// Guards against serving callers that are not authorized for a route, and against refusing authorized ones.
#[test]
fn routes_and_keys_decide_who_is_served() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    let table = [
        (request("/read/x", "id-1"), 200),
        (request("/reading/x", "id-1"), 404),
        (request("/read", "id-1"), 404),
        (request("/read/x", "id-1").replace("One.Example:80", "two.example"), 404),
        (request("/read/x", "id-1").replace("key-1", "key-2"), 401),
        (request("/read/x", "id-1").replace("Authorization: Bearer key-1\r\n", ""), 401),
        (request("/read/x", "id-1").replace("X-Id: id-1\r\n", ""), 400),
    ];
    for (request, status) in table {
        let reply = harness.call(&request);
        assert_eq!(reply.status, status, "{request}");
    }
}

/// Guards against forwarding keys to endpoints, against workspaces set by callers, and against deadlines longer
/// than the remaining time.
#[test]
fn servers_see_the_workspace_and_the_time_left_but_no_key() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    let forged = request("/once/x", "id-1")
        .replace("X-Id", "X-Workspace: forged\r\nX-Expect: forged\r\nTE: trailers\r\nX-Id");
    assert_eq!(harness.call(&forged).status, 200);
    let received = harness.received().remove(0);
    assert_eq!(header_value(&received.head, "x-workspace").as_deref(), Some("team"));
    assert_eq!(header_value(&received.head, "x-expect").as_deref(), Some("s1"));
    assert_eq!(header_value(&received.head, "authorization"), None);
    assert_eq!(header_value(&received.head, "te"), None);
    // The route's timeout is shorter than the caller's deadline.
    let remaining_ms: u64 =
        header_value(&received.head, "x-deadline").and_then(|v| v.parse().ok()).expect("a number");
    assert!(remaining_ms <= TIMEOUT_MS, "{remaining_ms}");
}

/// Guards against replacing a route table with an older or an invalid one.
#[test]
fn route_tables_only_rise() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    assert_eq!(harness.call(&request("/read/x", "id-1")).status, 200);
    let mut newer = routes(7);
    newer.routes.retain(|route| route.name != "read");
    harness.offer_routes(newer);
    while harness.call(&request("/read/x", "id-1")).status != 404 {}
    harness.offer_routes(routes(3));
    let mut unusable = routes(8);
    unusable.routes[0].path_prefix = "no-slash".to_owned();
    harness.offer_routes(unusable);
    // Both tables have been evaluated once a later one is in force.
    let mut latest = routes(9);
    latest.routes.retain(|route| route.name == "stream");
    harness.offer_routes(latest);
    loop {
        assert_eq!(harness.call(&request("/read/x", "id-1")).status, 404);
        if harness.call(&request("/once/x", "id-1")).status == 404 {
            break;
        }
    }
}

/// Guards against a graceful shutdown that aborts a request in flight, or that keeps callers connected to an
/// instance that is about to exit.
#[test]
fn a_planned_stop_answers_what_was_read() {
    let mut harness = Harness::with_routes();
    let (started_tx, started_rx) = std::sync::mpsc::channel();
    let (release_tx, release_rx) = std::sync::mpsc::channel::<()>();
    let release_rx = std::sync::Mutex::new(release_rx);
    harness.start_endpoint("s1", move |received| {
        let _ = started_tx.send(());
        // Responds only after the shutdown has begun.
        let _ = release_rx.lock().expect("no panic").recv();
        Action::Write(ok_response(received, "ok"))
    });
    harness.wait_until_ready();
    let mut tcp = harness.connect();
    let keep_alive_request = request("/once/x", "id-1").replace("Connection: close\r\n", "");
    tcp.write_all(keep_alive_request.as_bytes()).expect("sent");
    started_rx.recv().expect("the endpoint has the request");
    let gateway = harness.gateway.take().expect("the gateway runs");
    let handle = gateway.handle();
    let stopping = std::thread::spawn(move || gateway.shutdown());
    while handle.is_ready() {
        std::thread::park_timeout(std::time::Duration::from_millis(5));
    }
    release_tx.send(()).expect("the endpoint waits");
    let mut text = String::new();
    tcp.read_to_string(&mut text).expect("a whole answer, then the end of the connection");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.to_ascii_lowercase().contains("connection: close"), "{text}");
    stopping.join().expect("the gateway stops");
}

/// Guards against a planned stop that passes on requests whose bodies end when new ones are refused already, and cuts them
/// off at its end.
#[test]
fn a_planned_stop_passes_on_nothing_that_it_could_cut_off() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    harness.wait_until_ready();
    let requests = [request("/once/x", "id-1"), request_within(3_000, "/once/x", "id-2")];
    let open = requests.map(|request| {
        let mut tcp = harness.connect();
        let (first, rest) = request.split_at(request.len() - 2);
        tcp.write_all(first.as_bytes()).expect("a part is sent");
        (tcp, rest.to_owned())
    });
    let gateway = harness.gateway.take().expect("the gateway runs");
    let address = gateway.caller_address();
    let stopping = std::thread::spawn(move || gateway.shutdown());
    // New callers are refused from the moment on at which new requests are.
    while TcpStream::connect(address).is_ok() {
        std::thread::park_timeout(std::time::Duration::from_millis(5));
    }
    let replies = open.map(|(tcp, rest)| Reply::read(tcp, &rest));
    let statuses = replies.map(|reply| reply.status);
    assert_eq!(statuses, [503, 200], "only the request that ends before the stop is passed on");
    assert_eq!(harness.received().len(), 1);
    stopping.join().expect("the gateway stops");
}

/// Guards against a limit on the number of header fields beside the one on their size: requests with over 100 fields
/// got 431.
#[test]
fn only_the_size_of_a_head_limits_its_fields() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    let with_fields = |field: &str, count: usize| {
        request("/read/x", "id-1").replace("X-Id", &(field.repeat(count) + "X-Id"))
    };
    // The limit is 16,384 bytes. The shortest field has four.
    for (field, count, status) in [
        ("X-Field: value\r\n", 101, 200),
        ("X-Field: value\r\n", 900, 200),
        ("a:\r\n", 4_000, 200),
        ("X-Field: value\r\n", 1_200, 431),
        ("a:\r\n", 4_200, 431),
    ] {
        let reply = harness.call(&with_fields(field, count));
        assert_eq!(reply.status, status, "{count} fields {field:?}");
    }
    let received = harness.received();
    let fields = received[1].head.lines().filter(|line| line.starts_with("x-field:"));
    assert_eq!(fields.count(), 900);
}
