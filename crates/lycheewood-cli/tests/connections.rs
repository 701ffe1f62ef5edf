//! Connections of the tool.

#[path = "support/tool.rs"]
mod tool;

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use tool::run;

/// The state of a node that has no document.
const STATE: &str = r#"{"instance": "n-1", "role": "entry", "failure_domain": "fd-1"}"#;

/// Serves requests on one connection as a node without a document.
fn serve(tcp: TcpStream, requests: &AtomicUsize) {
    let mut lines = BufReader::new(tcp.try_clone().expect("a second handle")).lines();
    let mut tcp = tcp;
    while let Some(Ok(line)) = lines.next() {
        if line.is_empty() {
            requests.fetch_add(1, Ordering::Relaxed);
            // The tool asks again at once.
            thread::park_timeout(Duration::from_millis(20));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", STATE.len());
            if tcp.write_all((head + STATE).as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Guards against a second copy of a reply that counts as the reply to the next request. Nodes echo no request id, so
/// each request has its own connection.
#[test]
fn no_connection_carries_a_second_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (requests, connections) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (counted, opened) = (Arc::clone(&requests), Arc::clone(&connections));
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            opened.fetch_add(1, Ordering::Relaxed);
            let counted = Arc::clone(&counted);
            thread::spawn(move || serve(tcp, &counted));
        }
    });
    let followed = run(&format!("follow 1 --node {address} --timeout-ms 500"));
    let requests = requests.load(Ordering::Relaxed);
    assert!(requests > 1, "{followed:?}");
    assert_eq!(connections.load(Ordering::Relaxed), requests, "{followed:?}");
}
