//! Connections of the tool.

#[path = "support/tool.rs"]
mod tool;

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use tool::run;

/// Requests that the node answers before it has the document.
const REQUESTS_BEFORE_DOCUMENT: usize = 4;

/// Serves requests on one connection as a node that has version 1 after some requests, and counts them. `all` counts the
/// requests of all connections.
fn serve(tcp: TcpStream, requests: &AtomicUsize, all: &AtomicUsize) {
    let mut lines = BufReader::new(tcp.try_clone().expect("a second handle")).lines();
    let mut tcp = tcp;
    while let Some(Ok(line)) = lines.next() {
        if line.is_empty() {
            requests.fetch_add(1, Ordering::SeqCst);
            let has_document = all.fetch_add(1, Ordering::SeqCst) >= REQUESTS_BEFORE_DOCUMENT;
            let document = if has_document { r#"{"version": 1}"# } else { "null" };
            let state = format!(
                r#"{{"instance": "n-1", "role": "entry", "failure_domain": "fd-1", "document": {document}}}"#
            );
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", state.len());
            if tcp.write_all((head + &state).as_bytes()).is_err() {
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
    let all = Arc::new(AtomicUsize::new(0));
    let connections: Arc<Mutex<Vec<Arc<AtomicUsize>>>> = Arc::default();
    let (counted, opened) = (Arc::clone(&all), Arc::clone(&connections));
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let requests = Arc::new(AtomicUsize::new(0));
            opened.lock().expect("the connections").push(Arc::clone(&requests));
            let counted = Arc::clone(&counted);
            thread::spawn(move || serve(tcp, &requests, &counted));
        }
    });
    let followed = run(&format!("follow 1 --node {address} --timeout-ms 20000"));
    assert_eq!(followed.code, Some(0), "{followed:?}");
    assert!(all.load(Ordering::SeqCst) > REQUESTS_BEFORE_DOCUMENT, "{followed:?}");
    let requests: Vec<usize> = connections
        .lock()
        .expect("the connections")
        .iter()
        .map(|requests| requests.load(Ordering::SeqCst))
        .collect();
    assert!(requests.iter().all(|&requests| requests <= 1), "{requests:?}, {followed:?}");
}
