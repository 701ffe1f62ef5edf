//! Requests as callers send them, and responses as endpoints send and callers read them.

use std::io::{Read, Write};
use std::net::TcpStream;

use crate::harness::ReceivedRequest;
use crate::tables::TIMEOUT_MS;

/// Value of a header in a lower-case head.
pub(crate) fn header_value(head: &str, name: &str) -> Option<String> {
    let prefix = format!("{name}:");
    head.lines().find_map(|line| line.strip_prefix(&prefix)).map(|value| value.trim().to_owned())
}

/// A response as the caller read it.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body is as long as its framing states.
    pub(crate) is_complete: bool,
}

impl Reply {
    /// Sends a request on a connection and reads until it ends.
    pub(crate) fn read(mut tcp: TcpStream, request: &str) -> Self {
        tcp.write_all(request.as_bytes()).expect("the request is sent");
        let mut bytes = Vec::new();
        // An aborted response ends early or with a reset; the bytes that were read show both.
        let _ = tcp.read_to_end(&mut bytes);
        Self::parse(&bytes)
    }

    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let head = head.to_ascii_lowercase();
        let (body, is_complete) = if head.contains("transfer-encoding: chunked") {
            decode_chunked(rest)
        } else {
            let length = header_value(&head, "content-length").and_then(|value| value.parse().ok());
            (rest.to_owned(), length == Some(rest.len()))
        };
        Self { status, head, body, is_complete }
    }
}

fn decode_chunked(mut text: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((length, rest)) = text.split_once("\r\n") {
        let Ok(length) = usize::from_str_radix(length, 16) else { break };
        if length == 0 {
            return (body, true);
        }
        let Some(chunk) = rest.get(..length) else { break };
        body.push_str(chunk);
        text = rest.get(length + 2..).unwrap_or("");
    }
    (body, false)
}

/// Deadline of requests that are to reach it, in milliseconds. Long enough for all their attempts on a busy machine.
pub(crate) const SHORT_DEADLINE_MS: u64 = 6_000;

/// A request for `path` with the request id `id`. Its caller waits longer than the routes allow.
pub(crate) fn request(path: &str, id: &str) -> String {
    request_within(TIMEOUT_MS + 1_000, path, id)
}

/// A request whose caller waits for `deadline_ms`.
pub(crate) fn request_within(deadline_ms: u64, path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: One.Example:80\r\nX-Id: {id}\r\nX-Deadline: {deadline_ms}\r\n\
         Authorization: Bearer key-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// A signed response with status 200 and a `Content-Length`.
pub(crate) fn ok_response(received: &ReceivedRequest, body: &str) -> Vec<u8> {
    response(received, "200 OK", "X-Seal: s\r\n", body)
}

/// A response with additional header lines.
pub(crate) fn response(
    received: &ReceivedRequest,
    status: &str,
    lines: &str,
    body: &str,
) -> Vec<u8> {
    let id = header_value(&received.head, "x-id").unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nX-Id: {id}\r\n{lines}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}
