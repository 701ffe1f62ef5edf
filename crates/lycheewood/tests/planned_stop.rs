//! Planned stops of an entry with open caller connections.

#[path = "support/deployment.rs"]
mod deployment;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use deployment::{DOCUMENT, Deployment, TOKEN, completion};

const TIMING: &str = "\
timing: {heartbeat_ms: 50, silence_ms: 300, entries_valid_ms: 10, entry_linger_ms: 20, \
entry_refuse_ms: 10, drain_notice_ms: 10}
";

/// Guards against a request without any reply because its connection was accepted just before the entry
/// stopped and closed before its first request was read.
#[test]
fn a_request_on_a_connection_accepted_before_the_stop_is_refused_with_an_answer() {
    let mut deployment = Deployment::platform(TIMING);
    deployment.publish(DOCUMENT, None);
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    let entry = deployment.entries.remove(0);
    let address = entry.caller_address();
    let mut connection = TcpStream::connect(address).expect("the entry accepts");
    let mut idle = TcpStream::connect(address).expect("the entry accepts");
    write!(idle, "GET /v1/entries HTTP/1.1\r\nhost: {address}\r\n\r\n").expect("a request fits");
    assert!(idle.read(&mut [0]).is_ok_and(|read| read == 1), "the first request is answered");
    let stopping = thread::spawn(move || entry.shutdown());
    // The entry closes this connection along with its others, since the request on it is answered.
    idle.read_to_end(&mut Vec::new()).expect("the entry closes the idle connection");
    connection.set_read_timeout(Some(Duration::from_millis(200))).expect("a timeout above zero");
    let closed = connection.read(&mut [0]).map_err(|error| error.kind());
    assert_eq!(closed, Err(ErrorKind::WouldBlock), "the connection is still open");
    connection.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout above zero");
    let body = completion("late", 5);
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {TOKEN}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write_all(request.as_bytes()).expect("the request is written");
    let mut reply = String::new();
    connection.read_to_string(&mut reply).expect("the connection closes after the reply");
    assert!(reply.starts_with("HTTP/1.1 503") && reply.contains("\"draining\""), "{reply}");
    stopping.join().expect("the entry stops");
}

/// Guards against a planned stop that never ends because a caller's open connection sends no request.
#[test]
fn a_connection_without_a_request_does_not_hold_up_the_stop() {
    let settings = format!("{TIMING}bounds: {{header_timeout_ms: 200}}\n");
    let mut deployment = Deployment::platform(&settings);
    deployment.publish(DOCUMENT, None);
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    let entry = deployment.entries.remove(0);
    let _silent = TcpStream::connect(entry.caller_address()).expect("the entry accepts");
    entry.shutdown();
}
