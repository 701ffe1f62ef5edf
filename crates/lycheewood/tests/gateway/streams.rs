//! Forwarding of event streams, and their resumption at another endpoint.

use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::harness::{
    Action, Harness, ReceivedRequest, Reply, SHORT_DEADLINE_MS, header_value, ok_response, request,
    request_within,
};
use crate::silence::{attempts, start_endpoints};

pub(crate) fn head(received: &ReceivedRequest) -> String {
    let id = header_value(&received.head, "x-id").unwrap_or_default();
    let endpoint = &received.endpoint;
    format!(
        "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: {endpoint}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

pub(crate) fn events(from: u32, to: u32) -> String {
    (from..=to).map(event).collect()
}

/// Guards against missing or repeated events when an endpoint stops within an event, and against a second
/// response head.
#[test]
fn a_broken_stream_continues_at_another_server() {
    let mut harness = Harness::with_routes();
    let script = |received: &ReceivedRequest| match header_value(&received.head, "last-event-id") {
        None => {
            let text = head(received) + &chunk(&events(1, 3)) + &chunk("id: 4\nda");
            Action::Write(text.into_bytes())
        }
        Some(last) => {
            let next = last.parse::<u32>().expect("a number") + 1;
            Action::Write((head(received) + &chunk(&events(next, 6)) + "0\r\n\r\n").into_bytes())
        }
    };
    harness.start_endpoint("s1", script);
    harness.start_endpoint("s2", script);
    let reply = harness.call(&request("/stream/x", "id-1"));
    assert_eq!((reply.status, reply.is_complete), (200, true));
    assert_eq!(reply.body, events(1, 6));
    let received = harness.received();
    assert_eq!(received.len(), 2);
    assert_eq!(header_value(&reply.head, "x-seal").as_deref(), Some(received[0].endpoint.as_str()));
}

/// Guards against forwarding events twice when the second endpoint repeats some.
#[test]
fn repeated_events_are_not_passed_on_again() {
    let mut harness = Harness::with_routes();
    let script = |received: &ReceivedRequest| match header_value(&received.head, "last-event-id") {
        None => Action::Write((head(received) + &chunk(&events(1, 3))).into_bytes()),
        Some(_) => {
            Action::Write((head(received) + &chunk(&events(2, 5)) + "0\r\n\r\n").into_bytes())
        }
    };
    harness.start_endpoint("s1", script);
    harness.start_endpoint("s2", script);
    let reply = harness.call(&request("/stream/x", "id-1"));
    assert_eq!((reply.body, reply.is_complete), (events(1, 5), true));
}

/// Bodies that are not the rest of a stream after event 3, with their content type.
fn wrong_rests() -> [(&'static str, &'static str, String); 4] {
    [
        ("another content type", "application/json", "{}\n\n".to_owned()),
        ("no event", "text/event-stream", String::new()),
        ("known events only", "text/event-stream", events(2, 3)),
        ("a gap", "text/event-stream", events(5, 6)),
    ]
}

/// Guards against a stream that looks complete to the caller although the endpoint that resumed it has not sent the
/// rest of it.
#[test]
fn a_response_that_is_not_the_rest_of_a_stream_does_not_complete_it() {
    for (case, content_type, body) in wrong_rests() {
        for has_third in [false, true] {
            let body = body.clone();
            let mut harness = Harness::with_routes();
            let count = if has_third { 3 } else { 2 };
            start_endpoints(&mut harness, count, move |attempt, received| {
                let text = match attempt {
                    0 => head(received) + &chunk(&events(1, 3)),
                    1 => {
                        let body = if body.is_empty() { String::new() } else { chunk(&body) };
                        let head = head(received).replace("text/event-stream", content_type);
                        head + &body + "0\r\n\r\n"
                    }
                    _ => head(received) + &chunk(&events(4, 6)) + "0\r\n\r\n",
                };
                Action::Write(text.into_bytes())
            });
            let reply = harness.call(&request("/stream/x", "id-1"));
            let last = if has_third { 6 } else { 3 };
            assert_eq!((reply.body, reply.is_complete), (events(1, last), has_third), "{case}");
            assert_eq!(attempts(&harness).len(), count, "{case}");
        }
    }
}

/// Guards against an aborted stream that looks complete to the caller.
#[test]
fn a_stream_that_cannot_continue_is_cut() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| {
        Action::Write((head(received) + &chunk(&events(1, 2))).into_bytes())
    });
    let reply = harness.call(&request("/stream/x", "id-1"));
    assert_eq!((reply.body, reply.is_complete), (events(1, 2), false));
}

/// Guards against holding events back until later ones arrive, and against an endpoint that keeps working for a
/// caller that has disconnected.
#[test]
fn events_are_passed_on_at_once_and_a_caller_that_leaves_frees_its_server() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| {
        Action::Hang((head(received) + &chunk(&events(1, 1))).into_bytes())
    });
    harness.wait_until_ready();
    let mut tcp = harness.connect();
    tcp.write_all(request("/stream/x", "id-1").as_bytes()).expect("sent");
    let mut text = String::new();
    let mut buffer = [0; 512];
    while !text.contains("piece 1") {
        let length = tcp.read(&mut buffer).expect("the event arrives");
        assert!(length > 0, "the connection ended before the event: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    drop(tcp);
    assert_eq!(harness.wait_for_close(), "s1");
}

/// Sends other requests while a stream is in progress, so that the endpoint without the stream responds.
fn with_other_requests(harness: &Harness, stream: &str) -> Reply {
    harness.wait_until_ready();
    let tcp = harness.connect();
    let stream = stream.to_owned();
    let caller = std::thread::spawn(move || Reply::read(tcp, &stream));
    for number in 0.. {
        if caller.is_finished() {
            break;
        }
        harness.call(&request("/read/x", &format!("other-{number}")));
    }
    caller.join().expect("a reply")
}

/// Guards against a stream that waits for a stalled machine until its caller disconnects, and against the work
/// that the machine does for it later (`order-givers`, seed 1, on tread-coop).
#[test]
fn a_stream_leaves_a_server_that_is_silent_alone() {
    for silent_after in [0, 3] {
        let mut harness = Harness::with_routes();
        let attempts = Arc::new(AtomicUsize::new(0));
        for endpoint in ["s1", "s2"] {
            let attempts = Arc::clone(&attempts);
            harness.start_endpoint(endpoint, move |received| {
                if header_value(&received.head, "x-id").is_some_and(|id| id.starts_with("other")) {
                    return Action::Write(ok_response(received, "ok"));
                }
                let is_first = attempts.fetch_add(1, Ordering::Relaxed) == 0;
                match (is_first, silent_after) {
                    (true, 0) => Action::Hang(Vec::new()),
                    (true, last) => {
                        Action::Hang((head(received) + &chunk(&events(1, last))).into_bytes())
                    }
                    (false, last) => {
                        let rest = chunk(&events(last + 1, 6));
                        Action::Write((head(received) + &rest + "0\r\n\r\n").into_bytes())
                    }
                }
            });
        }
        let reply = with_other_requests(&harness, &request("/stream/x", "id-1"));
        assert_eq!((reply.status, reply.is_complete), (200, true), "silent after {silent_after}");
        assert_eq!(reply.body, events(1, 6));
    }
}

/// Guards against a 502, as if a connection had been lost, for a silent stream whose deadline passes just as another
/// endpoint is to be asked: no attempt is left to tell what became of the request.
#[test]
fn a_silent_stream_ends_at_its_deadline_although_others_begin_to_answer() {
    // After the last check for silence before the deadline, so that the next one is at the deadline.
    const OTHERS_FROM: Duration = Duration::from_millis(SHORT_DEADLINE_MS - 300);
    let mut harness = Harness::with_routes();
    start_endpoints(&mut harness, 2, |_, _| Action::Hang(Vec::new()));
    harness.wait_until_ready();
    let (tcp, started) = (harness.connect(), Instant::now());
    let stream = request_within(SHORT_DEADLINE_MS, "/stream/x", "id-1");
    let caller = std::thread::spawn(move || Reply::read(tcp, &stream));
    for number in 0.. {
        if caller.is_finished() {
            break;
        }
        let left = OTHERS_FROM.saturating_sub(started.elapsed());
        if left.is_zero() {
            harness.call(&request("/read/x", &format!("other-{number}")));
        } else {
            std::thread::park_timeout(left);
        }
    }
    let reply = caller.join().expect("a reply");
    assert_eq!((reply.status, reply.is_complete), (504, true), "{}", reply.body);
}

/// Guards against streams that move to another endpoint while a whole group is stalled: the next endpoint would
/// be silent as well, and the retry budget would be used up.
#[test]
fn a_stream_stays_while_no_other_server_answers() {
    let mut harness = Harness::with_routes();
    let script = |received: &ReceivedRequest| {
        Action::Hang((head(received) + &chunk(&events(1, 1))).into_bytes())
    };
    harness.start_endpoint("s1", script);
    harness.start_endpoint("s2", script);
    let reply = harness.call(&request_within(SHORT_DEADLINE_MS, "/stream/x", "id-1"));
    assert_eq!((reply.body, reply.is_complete), (events(1, 1), false));
    assert_eq!(harness.received().len(), 1);
}
