//! Streams of events: passed on as they come, continued elsewhere, never joined wrongly.

use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::world::{Act, Reply, Seen, World, field, good, request};

fn head(seen: &Seen) -> String {
    let id = field(&seen.head, "x-id").unwrap_or_default();
    let endpoint = &seen.endpoint;
    format!(
        "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: {endpoint}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn events(from: u32, to: u32) -> String {
    (from..=to).map(event).collect()
}

/// Guards against a stream with a missing or repeated piece when an endpoint stops in the middle of an
/// event, and against a second head.
#[test]
fn a_broken_stream_continues_at_another_server() {
    let mut world = World::with_routes();
    let script = |seen: &Seen| match field(&seen.head, "last-event-id") {
        None => {
            let text = head(seen) + &chunk(&events(1, 3)) + &chunk("id: 4\nda");
            Act::Write(text.into_bytes())
        }
        Some(last) => {
            let next = last.parse::<u32>().expect("a number") + 1;
            Act::Write((head(seen) + &chunk(&events(next, 6)) + "0\r\n\r\n").into_bytes())
        }
    };
    world.endpoint("s1", script);
    world.endpoint("s2", script);
    let reply = world.call(&request("/stream/x", "id-1"));
    assert_eq!((reply.status, reply.is_whole), (200, true));
    assert_eq!(reply.body, events(1, 6));
    let seen = world.seen();
    assert_eq!(seen.len(), 2);
    assert_eq!(field(&reply.head, "x-seal").as_deref(), Some(seen[0].endpoint.as_str()));
}

/// Guards against pieces that come twice when the second endpoint repeats some.
#[test]
fn repeated_events_are_not_passed_on_again() {
    let mut world = World::with_routes();
    let script = |seen: &Seen| match field(&seen.head, "last-event-id") {
        None => Act::Write((head(seen) + &chunk(&events(1, 3))).into_bytes()),
        Some(_) => Act::Write((head(seen) + &chunk(&events(2, 5)) + "0\r\n\r\n").into_bytes()),
    };
    world.endpoint("s1", script);
    world.endpoint("s2", script);
    let reply = world.call(&request("/stream/x", "id-1"));
    assert_eq!((reply.body, reply.is_whole), (events(1, 5), true));
}

/// Guards against a stream that was broken off and looks complete.
#[test]
fn a_stream_that_cannot_continue_is_cut() {
    let mut world = World::with_routes();
    world.endpoint("s1", |seen| Act::Write((head(seen) + &chunk(&events(1, 2))).into_bytes()));
    let reply = world.call(&request("/stream/x", "id-1"));
    assert_eq!((reply.body, reply.is_whole), (events(1, 2), false));
}

/// Guards against events that wait for later ones, and against an endpoint that works on for a caller that
/// has left.
#[test]
fn events_are_passed_on_at_once_and_a_caller_that_leaves_frees_its_server() {
    let mut world = World::with_routes();
    world.endpoint("s1", |seen| Act::Hang((head(seen) + &chunk(&events(1, 1))).into_bytes()));
    world.wait_until_ready();
    let mut tcp = world.connect();
    tcp.write_all(request("/stream/x", "id-1").as_bytes()).expect("sent");
    let mut text = String::new();
    let mut buffer = [0; 512];
    while !text.contains("piece 1") {
        let length = tcp.read(&mut buffer).expect("the event arrives");
        assert!(length > 0, "the connection ended before the event: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    drop(tcp);
    assert_eq!(world.wait_for_close(), "s1");
}

/// Sends short requests until the stream's caller has its reply, so that one of two endpoints shows that the
/// service works.
fn with_other_requests(world: &World, stream: &str) -> Reply {
    world.wait_until_ready();
    let tcp = world.connect();
    let stream = stream.to_owned();
    let caller = std::thread::spawn(move || Reply::read(tcp, &stream));
    for number in 0.. {
        if caller.is_finished() {
            break;
        }
        world.call(&request("/read/x", &format!("other-{number}")));
    }
    caller.join().expect("a reply")
}

/// Guards against callers that leave because their stream waits for a machine that stands still, and
/// against the work that such a machine does for them later (`order-givers`, seed 1, on tread-coop).
#[test]
fn a_stream_leaves_a_server_that_is_silent_alone() {
    for silent_after in [0, 3] {
        let mut world = World::with_routes();
        let attempts = Arc::new(AtomicUsize::new(0));
        for endpoint in ["s1", "s2"] {
            let attempts = Arc::clone(&attempts);
            world.endpoint(endpoint, move |seen| {
                if field(&seen.head, "x-id").is_some_and(|id| id.starts_with("other")) {
                    return Act::Write(good(seen, "ok"));
                }
                let is_first = attempts.fetch_add(1, Ordering::Relaxed) == 0;
                match (is_first, silent_after) {
                    (true, 0) => Act::Hang(Vec::new()),
                    (true, last) => Act::Hang((head(seen) + &chunk(&events(1, last))).into_bytes()),
                    (false, last) => {
                        let rest = chunk(&events(last + 1, 6));
                        Act::Write((head(seen) + &rest + "0\r\n\r\n").into_bytes())
                    }
                }
            });
        }
        let reply = with_other_requests(&world, &request("/stream/x", "id-1"));
        assert_eq!((reply.status, reply.is_whole), (200, true), "silent after {silent_after}");
        assert_eq!(reply.body, events(1, 6));
    }
}

/// Guards against streams that leave their endpoints because a whole group stands still: the next endpoint
/// would be silent as well, and the retry budget would be gone.
#[test]
fn a_stream_stays_while_no_other_server_answers() {
    let mut world = World::with_routes();
    let script = |seen: &Seen| Act::Hang((head(seen) + &chunk(&events(1, 1))).into_bytes());
    world.endpoint("s1", script);
    world.endpoint("s2", script);
    let reply = world.call(&request("/stream/x", "id-1"));
    assert_eq!((reply.body, reply.is_whole), (events(1, 1), false));
    assert_eq!(world.seen().len(), 1);
}
