//! Hostile clients of the port on which an endpoint daemon serves entries. The tests run one at a time.

#[path = "support/caller.rs"]
mod caller;
#[path = "support/processes.rs"]
mod processes;

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use caller::{Call, new_key};
use processes::Deployment;

/// Number of hostile clients that send messages.
const CROWD: usize = 40;
/// Idle connections that hostile clients open.
const IDLE_CONNECTIONS: usize = 700;
/// Most connections that the settings allow.
const MAX_CONNECTIONS: usize = 200;
/// Most descriptors of the daemon: its connections, and as many again for everything else.
const MAX_FDS: usize = 2 * MAX_CONNECTIONS;
/// Memory of the machine of the daemon, in bytes.
const MEMORY_BYTES: u64 = 64_000_000;
/// Bytes that a client sends of one message, which it announces as one byte longer.
const MESSAGE_BYTES: usize = 4 * 1_024 * 1_024;
/// The longest wait for one reply. Only a failed test waits this long.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The memory of one daemon is measured without the load of another test.
fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One entry and one service with its daemon.
fn start() -> Deployment {
    let settings = format!(
        "bounds:\n  memory_bytes: {MEMORY_BYTES}\n  max_connections: {MAX_CONNECTIONS}\n\
         timing:\n  reconnect_max_ms: 200\n  load_report_ms: 100\n"
    );
    let deployment = Deployment::start_with_settings(&settings, 1, 0, 1);
    deployment.publish();
    deployment.wait_until_ready();
    deployment
}

fn connect(daemon: SocketAddr) -> TcpStream {
    let tcp = TcpStream::connect(daemon).expect("the system completes the connection");
    tcp.set_write_timeout(Some(REPLY_TIMEOUT)).expect("a timeout");
    tcp.set_read_timeout(Some(REPLY_TIMEOUT)).expect("a timeout");
    tcp
}

/// Opens a WebSocket and sends no hello.
fn open_socket(daemon: SocketAddr) -> TcpStream {
    let mut tcp = connect(daemon);
    let request = format!(
        "GET / HTTP/1.1\r\nHost: {daemon}\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
         Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
    );
    let _ = tcp.write_all(request.as_bytes());
    let (mut reply, mut byte) = (Vec::new(), [0]);
    while !reply.ends_with(b"\r\n\r\n") && tcp.read(&mut byte).is_ok_and(|read| read > 0) {
        reply.push(byte[0]);
    }
    tcp
}

/// Head of a masked frame; the mask is zero.
fn frame_head(first_byte: u8, length: usize) -> Vec<u8> {
    let mut head = vec![first_byte, 0xff];
    head.extend((length as u64).to_be_bytes());
    head.extend([0; 4]);
    head
}

/// Runs `client` for each member of the crowd at the same time. The connections stay open.
fn play_crowd(client: impl Fn() -> TcpStream + Sync) -> Vec<TcpStream> {
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CROWD).map(|_| scope.spawn(&client)).collect();
        clients.into_iter().map(|client| client.join().expect("a client")).collect()
    })
}

fn check_limits(deployment: &Deployment, client: &str) {
    let pid = deployment.services[0].daemon.id();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the daemon lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    let peak_bytes = kib.expect("the kernel tells the peak") * 1_024;
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors").count();
    println!(
        "endpoint daemon, {client}: peak memory {} kB, {descriptors} descriptors",
        peak_bytes / 1_000
    );
    assert!(peak_bytes <= MEMORY_BYTES, "peak memory {peak_bytes} exceeds {MEMORY_BYTES} bytes");
    assert!(descriptors <= MAX_FDS, "{descriptors} descriptors are open");
}

fn check_served(deployment: &Deployment) {
    let call = Call::job(new_key(), "{\"job\": 17}");
    let reply = deployment.runtime.block_on(call.send_until_run(deployment.entry(0)));
    assert_eq!(reply.expect("the entry replies").status, 200, "an ordinary request is answered");
}

/// Checks that the daemon lives within its limits, serves others while the hostile connections are open, and ends them.
fn check(deployment: &Deployment, open: Vec<TcpStream>, client: &str) {
    check_limits(deployment, client);
    check_served(deployment);
    for mut tcp in open {
        assert!(is_ended(&mut tcp), "{client}: the connection of a hostile client is ended");
    }
    check_limits(deployment, client);
    check_served(deployment);
}

/// Whether the daemon has ended the connection, or ends it within the wait for one reply.
fn is_ended(tcp: &mut TcpStream) -> bool {
    let mut buffer = [0; 4_096];
    loop {
        match tcp.read(&mut buffer) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => {
                return !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
            }
        }
    }
}

/// Guards against a first message that is kept up to the limits of the library, 16 MiB for a frame.
#[test]
fn large_first_messages_that_stop_short_leave_room_for_others() {
    let _alone = run_alone();
    let deployment = start();
    let daemon = deployment.services[0].daemon.address;
    let body = vec![0xa4; MESSAGE_BYTES];
    let open = play_crowd(|| {
        let mut tcp = open_socket(daemon);
        let head = frame_head(0x82, MESSAGE_BYTES + 1);
        // The daemon may end the connection at any time.
        let _ = tcp.write_all(&head).and_then(|()| tcp.write_all(&body));
        tcp
    });
    check(&deployment, open, "large first messages");
}

/// Guards against a first message in fragments that is kept up to the limit of the library, 64 MiB.
#[test]
fn first_messages_in_fragments_leave_room_for_others() {
    let _alone = run_alone();
    let deployment = start();
    let daemon = deployment.services[0].daemon.address;
    let fragment = vec![0xa4; 65_536];
    let open = play_crowd(|| {
        let mut tcp = open_socket(daemon);
        // A message without an end: one binary frame, then continuations.
        let mut first_byte = 0x02;
        for _ in 0..MESSAGE_BYTES / fragment.len() {
            let head = frame_head(first_byte, fragment.len());
            if tcp.write_all(&head).and_then(|()| tcp.write_all(&fragment)).is_err() {
                break;
            }
            first_byte = 0x00;
        }
        tcp
    });
    check(&deployment, open, "first messages in fragments");
}

/// Guards against HTTP bodies and heads without an end that are kept as the start of a handshake.
#[test]
fn http_requests_without_a_handshake_leave_room_for_others() {
    let _alone = run_alone();
    let deployment = start();
    let daemon = deployment.services[0].daemon.address;
    let filler = vec![b'h'; MESSAGE_BYTES];
    let mut open = play_crowd(|| {
        let mut tcp = connect(daemon);
        let head = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MESSAGE_BYTES + 1);
        let _ = tcp.write_all(head.as_bytes()).and_then(|()| tcp.write_all(&filler));
        tcp
    });
    open.extend(play_crowd(|| {
        let mut tcp = connect(daemon);
        let _ =
            tcp.write_all(b"GET / HTTP/1.1\r\nX-Filler: ").and_then(|()| tcp.write_all(&filler));
        tcp
    }));
    check(&deployment, open, "requests without a handshake");
}

/// Guards against idle connections that use up the descriptors of the daemon, and against an entry that finds no room
/// when it comes back.
#[test]
fn idle_connections_leave_room_for_an_entry_that_comes_back() {
    let _alone = run_alone();
    let mut deployment = start();
    let daemon = deployment.services[0].daemon.address;
    let open: Vec<_> = (0..IDLE_CONNECTIONS).map(|_| connect(daemon)).collect();
    check_limits(&deployment, "idle connections");
    let mut lost = deployment.entries.remove(0);
    lost.kill();
    let open: Vec<_> =
        open.into_iter().chain((0..IDLE_CONNECTIONS).map(|_| open_socket(daemon))).collect();
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    check(&deployment, open, "idle connections");
}
