//! Validation of endpoint responses, and framing of requests and responses.

use std::io::{Read, Write};

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::harness::{
    Action, Harness, ReceivedRequest, header_value, ok_response, request, response,
};

/// Guards against forwarding a response to another request, an unsigned or encoded body, or a truncated body as
/// a success.
#[test]
fn a_wrong_answer_is_never_passed_on_as_a_success() {
    type Wrong = fn(&ReceivedRequest) -> Vec<u8>;
    let table: [(&str, Wrong); 7] = [
        ("another id", |_| {
            b"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nhi".to_vec()
        }),
        ("no id", |_| b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nhi".to_vec()),
        ("no signature", |received| response(received, "200 OK", "", "hi")),
        ("encoded", |received| {
            response(received, "200 OK", "X-Seal: s\r\nContent-Encoding: gzip\r\n", "hi")
        }),
        ("short body", |received| {
            let mut bytes = ok_response(received, "a longer body");
            bytes.truncate(bytes.len() - 4);
            bytes
        }),
        ("no HTTP", |_| b"what is this\r\n\r\n".to_vec()),
        ("nothing", |_| Vec::new()),
    ];
    for (name, wrong) in table {
        let mut harness = Harness::with_routes();
        harness.start_endpoint("s1", move |received| Action::Write(wrong(received)));
        let reply = harness.call(&request("/once/x", "id-1"));
        assert_eq!(reply.status, 502, "{name}: {reply:?}");
        assert_eq!(harness.received().len(), 1, "{name}: sent again although it may have run");
    }
}

/// Guards against passing on what is no final response of the protocol because of its status.
#[test]
fn an_answer_without_a_final_status_is_never_passed_on() {
    for kind in ["once", "stream"] {
        for status in
            ["000", "00", "0", "007", "099", "101", "102", "103", "600", "999", "1000", "20", "2xx"]
        {
            let mut harness = Harness::with_routes();
            let line = format!("{status} Status");
            harness.start_endpoint("s1", move |received| {
                Action::Write(response(received, &line, "X-Seal: s\r\n", "hi"))
            });
            let reply = harness.call(&request(&format!("/{kind}/x"), "id-1"));
            assert_eq!(reply.status, 502, "{kind} {status}: {reply:?}");
            assert_eq!(
                harness.received().len(),
                1,
                "{status}: sent again although it may have run"
            );
        }
    }
}

/// Guards against taking a second response on a connection for the response to the next request.
#[test]
fn a_second_answer_belongs_to_no_request() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| {
        let mut bytes = ok_response(received, "first");
        bytes.extend(ok_response(received, "extra"));
        Action::Write(bytes)
    });
    for id in ["id-1", "id-2", "id-3"] {
        let reply = harness.call(&request("/read/x", id));
        assert_eq!((reply.status, reply.body.as_str(), reply.is_complete), (200, "first", true));
    }
}

/// Guards against rejecting a body without a length, which ends with its connection.
#[test]
fn an_answer_without_a_length_is_whole_when_the_connection_ends() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |_| {
        Action::Write(b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Seal: s\r\n\r\nunframed".to_vec())
    });
    let reply = harness.call(&request("/read/x", "id-1"));
    assert_eq!((reply.status, reply.body.as_str(), reply.is_complete), (200, "unframed", true));
}

/// Guards against changing the request line or a chunked body on the way to the endpoint, and against parsing
/// unread body bytes as the next request.
#[test]
fn the_body_reaches_the_server_unchanged() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    let chunked = "POST /once/x?a=1&b=%2F HTTP/1.1\r\nHost: one.example\r\nX-Id: id-1\r\n\
                   Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\
                   Connection: close\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    assert_eq!(harness.call(chunked).status, 200);
    let received = harness.received();
    assert_eq!(received[0].body, b"abcdefg");
    assert!(
        received[0].head.starts_with("post /once/x?a=1&b=%2f http/1.1"),
        "{}",
        received[0].head
    );
}

/// Guards against request smuggling through contradictory body lengths.
#[test]
fn ambiguous_lengths_are_refused() {
    let table = [
        "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
        "Content-Length: 4, 5\r\n\r\nbody!",
        "Content-Length: +4\r\n\r\nbody",
        "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    ];
    for lines in table {
        let mut harness = Harness::with_routes();
        harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
        let head = "POST /once/x HTTP/1.1\r\nHost: one.example\r\nX-Id: id-1\r\n\
                    Authorization: Bearer key-1\r\n";
        let reply = harness.call(&format!("{head}{lines}"));
        assert_eq!(reply.status, 400, "{lines:?}: {reply:?}");
        assert!(harness.received().is_empty(), "{lines:?}");
    }
}

/// A chunked request whose body is split into chunks of the given sizes.
fn chunked(id: usize, body: &[u8], sizes: &[usize]) -> Vec<u8> {
    let mut bytes = format!(
        "POST /once/x HTTP/1.1\r\nHost: one.example\r\nX-Id: id-{id}\r\nX-Deadline: 60000\r\n\
         Authorization: Bearer key-1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    let (mut rest, mut sizes) = (body, sizes.iter().cycle());
    while !rest.is_empty() {
        let (chunk, left) = rest.split_at((*sizes.next().expect("endless")).min(rest.len()));
        bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        bytes.extend([chunk, b"\r\n"].concat());
        rest = left;
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// Guards against bodies that depend on their chunk sizes or on how the bytes are split into reads.
#[test]
fn a_body_does_not_depend_on_chunks_or_reads() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    harness.wait_until_ready();
    let mut runner = TestRunner::new_with_rng(
        Config::default(),
        TestRng::deterministic_rng(RngAlgorithm::ChaCha),
    );
    let cases = (
        prop::collection::vec(any::<u8>(), 1..300),
        prop::collection::vec(1_usize..50, 1..8),
        prop::collection::vec(1_usize..90, 1..8),
    );
    for id in 0..24 {
        let case = cases.new_tree(&mut runner).expect("a case").current();
        let (body, sizes, writes) = case;
        let mut tcp = harness.connect();
        let bytes = chunked(id, &body, &sizes);
        let (mut rest, mut writes) = (bytes.as_slice(), writes.iter().cycle());
        while !rest.is_empty() {
            let (part, left) = rest.split_at((*writes.next().expect("endless")).min(rest.len()));
            tcp.write_all(part).expect("sent");
            rest = left;
        }
        let mut reply = Vec::new();
        let _ = tcp.read_to_end(&mut reply);
        assert!(reply.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&reply));
        let received = harness.received();
        assert_eq!(received.last().map(|received| received.body.as_slice()), Some(body.as_slice()));
    }
}

/// Guards against forwarding a request with broken framing to an endpoint.
#[test]
fn broken_framing_reaches_no_server() {
    let mut harness = Harness::with_routes();
    harness.start_endpoint("s1", |received| Action::Write(ok_response(received, "ok")));
    harness.wait_until_ready();
    let head = "POST /once/x HTTP/1.1\r\nHost: one.example\r\nX-Id: id-1\r\nX-Deadline: 500\r\n\
                Authorization: Bearer key-1\r\nConnection: close\r\n";
    let broken = [
        format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\nbodyextra\r\n0\r\n\r\n"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nbody"),
        format!("{head}Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody"),
        format!("{head}Content-Length: -4\r\n\r\nbody"),
        format!("{head}Content-Length: 4x\r\n\r\nbody"),
        format!("{head}Transfer-Encoding: chunked, identity\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        format!("{head}X-Odd: a\0b\r\nContent-Length: 4\r\n\r\nbody"),
        format!("{head}X-Odd : a\r\nContent-Length: 4\r\n\r\nbody"),
    ];
    for request in broken {
        let mut tcp = harness.connect();
        let _ = tcp.write_all(request.as_bytes());
        let mut reply = Vec::new();
        let _ = tcp.read_to_end(&mut reply);
        assert!(!reply.starts_with(b"HTTP/1.1 2"), "{request:?}");
        assert_eq!(harness.received().len(), 0, "{request:?}");
    }
}

/// Guards against reading without end what is no response: the memory of the instance would run out, or its only
/// traffic thread would do nothing else, until the caller's deadline.
#[test]
fn an_answer_without_end_is_given_up() {
    let head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Seal: s\r\n";
    let chunk = format!("1000\r\n{}\r\n", "a".repeat(0x1000));
    let table: [(&str, &str, String, String); 8] = [
        ("no HTTP", "once", String::new(), "what is this ".repeat(400)),
        ("a header line", "once", format!("{head}X-Long: "), "a".repeat(4_000)),
        ("header lines", "once", head.to_owned(), "X-Line: a\r\n".repeat(400)),
        ("empty lines", "once", String::new(), "\r\n".repeat(2_000)),
        ("informational", "once", String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(200)),
        (
            "a chunked body",
            "once",
            format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            chunk.clone(),
        ),
        ("an unframed body", "once", format!("{head}\r\n"), "a".repeat(4_000)),
        ("one event", "stream", format!("{head}Transfer-Encoding: chunked\r\n\r\n"), chunk),
    ];
    for (name, kind, first, repeated) in table {
        let mut harness = Harness::with_routes();
        let answer = move |received: &ReceivedRequest| {
            if received.head.contains("/bad ") {
                Action::Endless(first.clone().into_bytes(), repeated.clone().into_bytes())
            } else {
                Action::Write(ok_response(received, "ok"))
            }
        };
        harness.start_endpoint("s1", answer);
        // The harness waits for a shorter time than the route, so a request that waits for its deadline fails the test.
        let reply = harness.call(&request(&format!("/{kind}/bad"), "id-1"));
        let is_cut_stream = reply.status == 200 && kind == "stream" && !reply.is_complete;
        assert!(reply.status == 502 || is_cut_stream, "{name}: {}", reply.head);
        assert_eq!(harness.wait_for_close(), "s1", "{name}");
        assert_eq!(harness.received().len(), 1, "{name}: sent again although it may have run");
        assert_eq!(harness.call(&request("/read/good", "id-2")).status, 200, "{name}");
    }
}

/// Guards against telling a caller 'not run' because of an earlier refusal that an endpoint has written once more:
/// the endpoint may run the request, and a second one would run it too.
#[test]
fn an_earlier_refusal_is_no_answer_to_a_later_request() {
    let id = |received: &ReceivedRequest| header_value(&received.head, "x-id").unwrap_or_default();
    let refusal = |id_line: &str| {
        let lines = "X-Not-Run: 1\r\nContent-Length: 0\r\n";
        format!("HTTP/1.1 503 Service Unavailable\r\n{id_line}{lines}\r\n").into_bytes()
    };
    for (name, earlier) in [("its id", "X-Id: id-1\r\n"), ("no id", "")] {
        let mut harness = Harness::with_routes();
        let answer = move |received: &ReceivedRequest| {
            let is_first = id(received) == "id-1";
            let mut bytes = refusal(if is_first { "X-Id: id-1\r\n" } else { earlier });
            if is_first {
                // Once more on the same connection, where a later request might be.
                bytes.extend(refusal("X-Id: id-1\r\n"));
            } else {
                bytes.extend(ok_response(received, "ran"));
            }
            Action::Write(bytes)
        };
        harness.start_endpoint("s1", answer);
        assert_eq!(harness.call(&request("/once/x", "id-1")).status, 503, "{name}");
        harness.start_endpoint("s2", answer);
        let reply = harness.call(&request("/once/x", "id-2"));
        assert_eq!(reply.status, 502, "{name}: {reply:?}");
        assert_eq!(harness.received().len(), 2, "{name}: sent again although it may have run");
    }
}
