//! Hostile clients of an entry process on a small machine.

#[path = "support/caller.rs"]
mod caller;
#[path = "support/processes.rs"]
mod processes;

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use caller::{Call, TOKEN, new_key};
use processes::Deployment;

/// Number of hostile clients.
const CROWD: usize = 40;
/// Largest body that the settings allow, in bytes.
const MAX_BODY_BYTES: usize = 4_194_304;
/// Memory of the machine of the entry, in bytes.
const MEMORY_BYTES: u64 = 64_000_000;
/// The longest wait until a hostile client can send more. Only a failed test waits this long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest resident memory that a process has had, in bytes.
fn peak_memory_bytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kib.expect("the kernel tells the peak") * 1_024
}

/// Guards against an entry that exceeds its memory because the sum of request bodies has no bound, and against bodies
/// that hold their memory for as long as the settings allow once they stand still.
#[test]
fn many_large_bodies_that_stop_short_leave_room_for_others() {
    let settings = format!(
        "bounds:\n  memory_bytes: {MEMORY_BYTES}\n  max_body_bytes: {MAX_BODY_BYTES}\n  \
         body_timeout_ms: 120000\n"
    );
    let deployment = Deployment::start_with_settings(&settings, 1, 0, 1);
    deployment.publish();
    deployment.wait_until_ready();
    let (entry, pid) = (deployment.entry(0), deployment.entries[0].id());
    let head = format!(
        "POST /v1/services/jobs/jobs HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {TOKEN}\r\n\
         Content-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let body = vec![b'r'; MAX_BODY_BYTES - 1];
    let open: Vec<_> = thread::scope(|scope| {
        let client = || {
            let mut tcp = TcpStream::connect(entry).expect("the system completes the connection");
            tcp.set_write_timeout(Some(WRITE_TIMEOUT)).expect("a timeout");
            // The entry may refuse or close at any time.
            let _ = tcp.write_all(head.as_bytes()).and_then(|()| tcp.write_all(&body));
            tcp
        };
        let clients: Vec<_> = (0..CROWD).map(|_| scope.spawn(client)).collect();
        clients.into_iter().map(|client| client.join().expect("a client")).collect()
    });
    let call = Call::job(new_key(), "{\"job\": 17}");
    let reply = deployment.runtime.block_on(call.send_until_run(entry));
    assert_eq!(reply.expect("the entry replies").status, 200, "an ordinary request is answered");
    let peak_bytes = peak_memory_bytes(pid);
    println!("entry, large bodies at once: peak memory {} kB", peak_bytes / 1_000);
    assert!(peak_bytes <= MEMORY_BYTES, "peak memory {peak_bytes} exceeds {MEMORY_BYTES} bytes");
    drop(open);
}
