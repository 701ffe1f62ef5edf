//! Who may call what, under which route table, and a planned stop.

use std::io::{Read, Write};

use crate::world::{Act, World, field, good, request, routes};

/// Guards against a 404 from an instance that knows no route table yet: only 503 is true there.
#[test]
fn an_instance_without_routes_answers_503() {
    let world = World::start();
    let reply = world.call_now(&request("/read/x", "id-1"));
    assert_eq!(reply.status, 503);
    assert!(field(&reply.head, "retry-after").is_some());
}

/// Guards against callers without a right to a route, and against proper ones that are denied.
#[test]
fn routes_and_keys_decide_who_is_served() {
    let mut world = World::with_routes();
    world.endpoint("s1", |seen| Act::Write(good(seen, "ok")));
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
        let reply = world.call(&request);
        assert_eq!(reply.status, status, "{request}");
    }
}

/// Guards against keys that reach endpoints, workspaces that callers choose themselves, and deadlines
/// longer than what is left.
#[test]
fn servers_see_the_workspace_and_the_time_left_but_no_key() {
    let mut world = World::with_routes();
    world.endpoint("s1", |seen| Act::Write(good(seen, "ok")));
    let forged = request("/once/x", "id-1")
        .replace("X-Id", "X-Workspace: forged\r\nX-Expect: forged\r\nTE: trailers\r\nX-Id");
    assert_eq!(world.call(&forged).status, 200);
    let seen = world.seen().remove(0);
    assert_eq!(field(&seen.head, "x-workspace").as_deref(), Some("team"));
    assert_eq!(field(&seen.head, "x-expect").as_deref(), Some("s1"));
    assert_eq!(field(&seen.head, "authorization"), None);
    assert_eq!(field(&seen.head, "te"), None);
    // The route's time is shorter than the caller's.
    let left: u64 = field(&seen.head, "x-deadline").and_then(|v| v.parse().ok()).expect("a number");
    assert!(left <= 2_000, "{left}");
}

/// Guards against a route table that goes back, and against one that cannot be used taking the place of
/// one that can.
#[test]
fn route_tables_only_rise() {
    let mut world = World::with_routes();
    world.endpoint("s1", |seen| Act::Write(good(seen, "ok")));
    assert_eq!(world.call(&request("/read/x", "id-1")).status, 200);
    let mut newer = routes(7);
    newer.routes.retain(|route| route.name != "read");
    world.offer(newer);
    while world.call(&request("/read/x", "id-1")).status != 404 {}
    world.offer(routes(3));
    let mut unusable = routes(8);
    unusable.routes[0].path_prefix = "no-slash".to_owned();
    world.offer(unusable);
    // Both offers have been judged once a later one is in force.
    let mut latest = routes(9);
    latest.routes.retain(|route| route.name == "stream");
    world.offer(latest);
    loop {
        assert_eq!(world.call(&request("/read/x", "id-1")).status, 404);
        if world.call(&request("/once/x", "id-1")).status == 404 {
            break;
        }
    }
}

/// Guards against a planned stop that cuts a request in flight, or that leaves callers on an instance
/// that is about to end.
#[test]
fn a_planned_stop_answers_what_was_read() {
    let mut world = World::with_routes();
    let (started, start) = std::sync::mpsc::channel();
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    world.endpoint("s1", move |seen| {
        let _ = started.send(());
        // Answers only after the stop has begun.
        let _ = released.lock().expect("no panic").recv();
        Act::Write(good(seen, "ok"))
    });
    world.wait_until_ready();
    let mut tcp = world.connect();
    let kept = request("/once/x", "id-1").replace("Connection: close\r\n", "");
    tcp.write_all(kept.as_bytes()).expect("sent");
    start.recv().expect("the endpoint has the request");
    let gateway = world.gateway.take().expect("the gateway runs");
    let handle = gateway.handle();
    let stopping = std::thread::spawn(move || gateway.shutdown());
    while handle.is_ready() {
        std::thread::park_timeout(std::time::Duration::from_millis(5));
    }
    release.send(()).expect("the endpoint waits");
    let mut text = String::new();
    tcp.read_to_string(&mut text).expect("a whole answer, then the end of the connection");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.to_ascii_lowercase().contains("connection: close"), "{text}");
    stopping.join().expect("the gateway stops");
}
