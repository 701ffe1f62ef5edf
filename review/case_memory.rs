//! Many callers send large bodies at once, within the limits of the configuration. The stand-in of the platform kills a
//! process that exceeds the memory of its machine.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record, SIGKILL, has_trouble};
use crate::http::{self, Connection};
use crate::store::Store;

const SERVERS: usize = 4;
const SLOTS: usize = 2;
const QUEUE: usize = 24;
const WORK: Duration = Duration::from_millis(450);
const BODY_BYTES: usize = 4_194_304;
/// Callers of each gateway that send one request after the other, before the burst.
const CALLERS: usize = 25;
/// The burst: so many times as many callers, for so long.
const BURST: f64 = 1.7;
const BURST_LENGTH: Duration = Duration::from_secs(4);
const MEMORY_BYTES: u64 = 182 * 1024 * 1024;

struct World {
    record: Record,
    servers: [(Mutex<(usize, usize)>, Condvar); SERVERS],
    is_burst: AtomicBool,
    is_over: AtomicBool,
    /// The gateways that were killed.
    killed: [AtomicBool; 2],
    /// Requests that a server had begun to read, and requests of killed gateways among them that got no answer.
    passed_on: Mutex<std::collections::HashSet<String>>,
    lost: AtomicUsize,
    answered: AtomicUsize,
    refused: AtomicUsize,
}

impl World {
    fn serve(&self, server: usize, connection: &mut Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let id = head.header("x-lycheewood-request-id").unwrap_or("").to_owned();
            self.passed_on.lock().unwrap().insert(id.clone());
            let mut left: usize =
                head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            while left > 0 {
                left -= connection.read_exact(left.min(65_536))?.len();
            }
            let (lock, freed) = &self.servers[server];
            let mut state = lock.lock().unwrap();
            if state.0 == SLOTS && state.1 == QUEUE {
                drop(state);
                let headers =
                    [("X-Lycheewood-Request-Id", id.as_str()), ("X-Lycheewood-Not-Executed", "1")];
                connection.write(&http::response(503, &headers, b"full\n"))?;
                continue;
            }
            state.1 += 1;
            state = freed.wait_while(state, |state| state.0 == SLOTS).unwrap();
            state.1 -= 1;
            state.0 += 1;
            drop(state);
            self.record.line(&format!("server {server}: runs {id}"));
            thread::sleep(WORK);
            lock.lock().unwrap().0 -= 1;
            freed.notify_all();
            let seal = format!("{server}.{id}");
            let headers =
                [("X-Lycheewood-Request-Id", id.as_str()), ("X-Lycheewood-Response-Seal", &seal)];
            connection.write(&http::response(200, &headers, b"done\n"))?;
        }
        Ok(())
    }

    /// Sends one request after the other on a kept connection.
    fn run_caller(&self, gateway: usize, front: SocketAddr, caller: usize, body: &[u8]) {
        let is_extra = caller >= CALLERS;
        if !is_extra {
            // The usual callers do not begin at the same moment.
            thread::sleep(Duration::from_millis(100 * caller as u64));
        }
        let mut number = 0;
        while !self.is_over.load(Ordering::SeqCst) && !self.killed[gateway].load(Ordering::SeqCst) {
            if is_extra && !self.is_burst.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            number += 1;
            let mut id = String::new();
            if self.send(front, &format!("g{gateway}-c{caller}-{number}"), body, &mut id).is_err()
                && self.killed[gateway].load(Ordering::SeqCst)
                && self.passed_on.lock().unwrap().contains(&id)
            {
                self.lost.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!(
                    "{id}: passed on to a server; its connection ends without an answer"
                ));
            }
        }
    }

    fn send(&self, front: SocketAddr, name: &str, body: &[u8], id: &mut String) -> io::Result<()> {
        let mut connection = Connection::open(front, Duration::from_secs(1))?;
        connection.tcp.set_read_timeout(Some(Duration::from_secs(8)))?;
        for number in 0.. {
            *id = format!("{name}-{number}");
            let head = format!(
                "POST /records/1 HTTP/1.1\r\nHost: records.example\r\nX-Lycheewood-Request-Id: {id}\r\n\
                 X-Lycheewood-Deadline-Ms: 8000\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            connection.write(head.as_bytes())?;
            connection.write(body)?;
            let reply = connection.read_message()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            self.record.line(&format!(
                "{id}: sent with {} bytes, answered {}",
                body.len(),
                reply.status()
            ));
            let counter = if reply.status() == 200 { &self.answered } else { &self.refused };
            counter.fetch_add(1, Ordering::SeqCst);
            if self.is_over.load(Ordering::SeqCst) {
                break;
            }
        }
        Ok(())
    }
}

/// The resident memory of a process, in bytes.
fn memory_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"records.example\",\
    \"path_prefix\":\"/records/\",\"kind\":\"non_idempotent\",\"timeout_ms\":8000,\"target_latency_ms\":300,\
    \"priority\":2,\"service\":\"records\",\"max_attempts\":1,\"anonymous\":false}],\
    \"services\":[{\"name\":\"records\",\"health_path\":\"/health\",\"max_connections\":248,\"protocol\":\"h1\",\
    \"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

pub fn play(record: Record) {
    let mut deployment = Deployment::new(record.clone());
    let store = Store::start(deployment.store_address());
    let world = Arc::new(World {
        record: record.clone(),
        servers: Default::default(),
        is_burst: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
        killed: Default::default(),
        passed_on: Mutex::default(),
        lost: AtomicUsize::new(0),
        answered: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
    });
    store.put("keyed.op", "config", CONFIG);
    for server in 0..SERVERS {
        let app = deployment.address(10 + server as u8, 8);
        let serving = Arc::clone(&world);
        http::serve(app, move |mut connection| {
            // A connection that its client breaks off needs no handling.
            let _ = serving.serve(server, &mut connection);
        });
        let entry = format!(
            "{{\"service\":\"records\",\"address\":\"{app}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_left_ms\":0,\"born\":1700000000000,\"seq\":1}}"
        );
        store.put("keyed.servers", &format!("i-{server:08x}"), &entry);
    }
    let gateways: Vec<_> = (2..4).map(|machine| deployment.start_gateway(machine)).collect();
    for gateway in &gateways {
        deployment.wait_ready(gateway);
    }
    thread::sleep(Duration::from_millis(3_500));
    let body = Arc::new(vec![b'r'; BODY_BYTES]);
    let callers = (CALLERS as f64 * BURST) as usize;
    for (number, gateway) in gateways.iter().enumerate() {
        for caller in 0..callers {
            let (world, body, front) = (Arc::clone(&world), Arc::clone(&body), gateway.front);
            thread::spawn(move || world.run_caller(number, front, caller, &body));
        }
    }
    let mut peak_bytes = [0; 2];
    let mut watch = |deployment: &Deployment, length: Duration| {
        for _ in 0..length.as_millis() / 10 {
            thread::sleep(Duration::from_millis(10));
            for (number, peak) in peak_bytes.iter_mut().enumerate() {
                let name = format!("front-{}", number + 2);
                let bytes = memory_bytes(deployment.pid(&name));
                *peak = bytes.max(*peak);
                if bytes > MEMORY_BYTES && !world.killed[number].swap(true, Ordering::SeqCst) {
                    record.line(&format!("{name} has {} MiB and is killed", bytes >> 20));
                    deployment.signal(&name, SIGKILL);
                }
            }
        }
    };
    watch(&deployment, Duration::from_secs(6));
    record.line("the usual callers have been there for 6 s");
    if has_trouble() {
        record.line(&format!("burst: {callers} callers at each gateway instead of {CALLERS}"));
        world.is_burst.store(true, Ordering::SeqCst);
    }
    watch(&deployment, BURST_LENGTH);
    world.is_burst.store(false, Ordering::SeqCst);
    watch(&deployment, Duration::from_secs(1));
    world.is_over.store(true, Ordering::SeqCst);
    let lost = world.lost.load(Ordering::SeqCst);
    record.line(&format!(
        "{} requests answered with 200, {} otherwise; {lost} passed on and lost; most memory: {} and {} MiB",
        world.answered.load(Ordering::SeqCst),
        world.refused.load(Ordering::SeqCst),
        peak_bytes[0] >> 20,
        peak_bytes[1] >> 20
    ));
    if lost > 3 {
        deployment.end(
            1,
            &format!("LOST broken: {lost} requests of kept connections were passed on and lost"),
        );
    }
    deployment.end(0, "LOST held")
}
