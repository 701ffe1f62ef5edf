//! Plain services whose replies do not end, or are no final responses.

#[path = "support/deployment.rs"]
mod deployment;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use deployment::{Backend, DOCUMENT, Deployment, request, send};
use lycheewood::{Clock, RequestKey};
use stand_ins::service::Service;

const MIB: usize = 1024 * 1024;

/// Replies to a call without end, and counts the bytes until the other side closes the connection.
fn reply_without_end(mut tcp: TcpStream, sent: &AtomicUsize) {
    let mut head = [0; 512];
    // A connection without a call only checks that the service is up.
    if tcp.read(&mut head).is_ok_and(|length| length > 0) {
        let _ = tcp.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        while tcp.write_all(&[b'1'; 16 * 1024]).is_ok() {
            sent.fetch_add(16 * 1024, Ordering::Relaxed);
        }
    }
}

/// Calls a service that `reply` answers, and gives the status and the body that the caller gets.
fn call_service(reply: impl Fn(TcpStream) + Clone + Send + 'static) -> (u16, String) {
    let mut deployment = Deployment::platform("");
    deployment.publish(DOCUMENT, None);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        while let Ok((tcp, _)) = listener.accept() {
            let reply = reply.clone();
            thread::spawn(move || reply(tcp));
        }
    });
    let unused = {
        let _runtime = deployment.runtime.enter();
        Service::start().expect("start a service")
    };
    deployment.add_slot("jobs", "", address, Backend::Service(unused));
    deployment.serve_with(1);
    let key = RequestKey::generate(Clock::system().now());
    let entry = deployment.entries[0].caller_address();
    let call = request(entry, "/v1/services/jobs/jobs", Some(key), "job 1");
    let (status, body) = deployment.runtime.block_on(send(call));
    (status, body)
}

/// Guards against a reply that is passed on although its status is no final one of the protocol.
#[test]
fn a_reply_of_a_service_without_a_final_status_is_not_passed_on() {
    let replies: [fn(TcpStream); 3] = [
        |tcp| reply_with_status(tcp, "000"),
        |tcp| reply_with_status(tcp, "101"),
        |tcp| reply_with_status(tcp, "999"),
    ];
    for (index, reply) in replies.into_iter().enumerate() {
        let (status, body) = call_service(reply);
        assert!(status == 502 || status == 504, "{index}: {status} {body}");
    }
}

fn reply_with_status(mut tcp: TcpStream, status: &str) {
    let mut head = [0; 512];
    if tcp.read(&mut head).is_ok_and(|length| length > 0) {
        let _ = write!(tcp, "HTTP/1.1 {status} S\r\nContent-Length: 2\r\n\r\nhi");
    }
}

/// Guards against an endpoint daemon that holds a reply without end in memory until the caller's deadline.
#[test]
fn a_reply_of_a_service_without_end_is_not_read_on() {
    let sent = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&sent);
    let (status, body) = call_service(move |tcp| reply_without_end(tcp, &count));
    assert!(status == 502 || status == 504, "{status} {body}");
    // What the daemon reads at most, and what the buffers of the two sockets hold.
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < 64 * MIB, "the daemon read on: {sent} bytes were sent");
}
