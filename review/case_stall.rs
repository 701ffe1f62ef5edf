//! A gateway is stopped as planned while it forwards streams. One of their servers pauses the newest stream, because
//! its memory has run out, and the only other server is full.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record, SIGTERM, has_trouble};
use crate::http::{self, Connection, Message};
use crate::store::Store;

const EVENTS: usize = 30;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// The server that pauses its newest stream, and the one that is full.
const PAUSING: usize = 0;
const FULL: usize = 1;
const SLOTS: [usize; 2] = [4, 2];
/// Requests that wait at a server beyond its slots.
const QUEUE: usize = 2;
/// The pause of the stream, below the two seconds after which clients leave.
const PREEMPTED: Duration = Duration::from_millis(1_200);
/// Streams that fill the full server, and streams at the other one.
const FILLING: usize = 4;
const WATCHED: usize = 3;

#[derive(Default)]
struct Server {
    running: usize,
    waiting: usize,
}

struct World {
    record: Record,
    servers: [(Mutex<Server>, Condvar); 2],
    started: AtomicUsize,
    /// Set while the newest stream of the pausing server makes no events.
    is_preempted: AtomicBool,
    term_sent: AtomicBool,
    broken: Mutex<Vec<String>>,
    complete: AtomicUsize,
}

impl World {
    fn serve(&self, server: usize, connection: &mut Connection) -> io::Result<()> {
        while let Some(request) = connection.read_message()? {
            let id = request.header("x-lycheewood-request-id").unwrap_or("").to_owned();
            let expected = request.header("x-lycheewood-expect-instance");
            if expected.is_some_and(|expected| expected != server_id(server)) {
                connection.write(&http::response(421, &[("X-Lycheewood-Request-Id", &id)], b""))?;
                continue;
            }
            let (lock, freed) = &self.servers[server];
            let mut state = lock.lock().unwrap();
            if state.running == SLOTS[server] && state.waiting == QUEUE {
                drop(state);
                self.record.line(&format!("server {server}: {id}: 503, full, not run"));
                let headers =
                    [("X-Lycheewood-Request-Id", id.as_str()), ("X-Lycheewood-Not-Executed", "1")];
                connection.write(&http::response(503, &headers, b"full\n"))?;
                continue;
            }
            state.waiting += 1;
            state = freed.wait_while(state, |state| state.running == SLOTS[server]).unwrap();
            state.waiting -= 1;
            state.running += 1;
            drop(state);
            self.record.line(&format!("server {server}: {id}: runs"));
            let result = self.run(server, &id, &request, connection);
            lock.lock().unwrap().running -= 1;
            freed.notify_all();
            let text =
                if result.is_ok() { "complete" } else { "its connection was closed while it ran" };
            self.record.line(&format!("server {server}: {id}: {text}"));
            result?;
        }
        Ok(())
    }

    fn run(
        &self,
        server: usize,
        id: &str,
        request: &Message,
        connection: &mut Connection,
    ) -> io::Result<()> {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let is_newest = server == PAUSING && number + 1 == FILLING / 2 + WATCHED;
        let first: usize =
            request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Lycheewood-Request-Id: {id}\r\n\
             X-Lycheewood-Response-Seal: {server}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(head.as_bytes())?;
        for event in first + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            if is_newest && self.is_preempted.swap(false, Ordering::SeqCst) {
                let left = EVENTS + 1 - event;
                self.record.line(&format!("server {server}: {id}: preempted, {left} events left"));
                thread::sleep(PREEMPTED);
                self.record.line(&format!("server {server}: {id}: goes on"));
            }
            let text = format!("id: {event}\ndata: {server}\n\n");
            connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }

    fn run_client(&self, front: SocketAddr, id: &str) {
        let mut events = 0;
        self.record.line(&format!("client {id}: sends its request"));
        let result = self.send(front, id, &mut events);
        let text = match &result {
            Ok(200) => "complete".to_owned(),
            Ok(status) => format!("status {status}"),
            Err(error) => format!("the connection ends without the rest ({error})"),
        };
        self.record.line(&format!("client {id}: {events} events, {text}"));
        match result {
            Ok(200) => {
                self.complete.fetch_add(1, Ordering::SeqCst);
            }
            Err(_) if self.term_sent.load(Ordering::SeqCst) => {
                let text = format!("client {id}: after {events} of {EVENTS} events {text}");
                self.broken.lock().unwrap().push(text);
            }
            _ => {}
        }
    }

    fn send(&self, front: SocketAddr, id: &str, events: &mut usize) -> io::Result<u16> {
        let mut connection = Connection::open(front, Duration::from_secs(1))?;
        connection.tcp.set_read_timeout(Some(Duration::from_secs(8)))?;
        let request = format!(
            "POST /notes/1 HTTP/1.1\r\nHost: notes.example\r\nX-Lycheewood-Request-Id: {id}\r\n\
             X-Lycheewood-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nnote"
        );
        connection.write(request.as_bytes())?;
        let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if head.status() != 200 {
            return Ok(head.status());
        }
        while !connection.read_chunk()?.is_empty() {
            *events += 1;
        }
        Ok(200)
    }
}

fn server_id(server: usize) -> String {
    format!("i-{server:08x}")
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"notes.example\",\
    \"path_prefix\":\"/notes/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":500,\
    \"priority\":1,\"service\":\"notes\",\"max_attempts\":2,\"anonymous\":false,\"resumable\":true,\
    \"target_gap_ms\":120}],\"services\":[{\"name\":\"notes\",\"health_path\":\"/health\",\
    \"max_connections\":248,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

pub fn play(record: Record) {
    let mut deployment = Deployment::new(record.clone());
    let store = Store::start(deployment.store_address());
    let world = Arc::new(World {
        record: record.clone(),
        servers: Default::default(),
        started: AtomicUsize::new(0),
        is_preempted: AtomicBool::new(false),
        term_sent: AtomicBool::new(false),
        broken: Mutex::default(),
        complete: AtomicUsize::new(0),
    });
    store.put("keyed.op", "config", CONFIG);
    let register = |deployment: &Deployment, server: usize| {
        let app = deployment.address(10 + server as u8, 8);
        let serving = Arc::clone(&world);
        http::serve(app, move |mut connection| {
            // A connection that its client breaks off needs no handling.
            let _ = serving.serve(server, &mut connection);
        });
        let entry = format!(
            "{{\"service\":\"notes\",\"address\":\"{app}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"born\":1700000000000,\"seq\":1}}",
            SLOTS[server]
        );
        store.put("keyed.servers", &server_id(server), &entry);
    };
    register(&deployment, FULL);
    let gateways: Vec<_> = (2..4).map(|machine| deployment.start_gateway(machine)).collect();
    for gateway in &gateways {
        deployment.wait_ready(gateway);
    }
    // All are in touch from here on.
    thread::sleep(Duration::from_millis(3_500));
    let front = gateways[0].front;
    let mut clients = Vec::new();
    let mut send = |id: String| {
        let client = Arc::clone(&world);
        clients.push(thread::spawn(move || client.run_client(front, &id)));
        thread::sleep(Duration::from_millis(20));
    };
    for number in 0..FILLING {
        send(format!("filling-{number}"));
    }
    register(&deployment, PAUSING);
    thread::sleep(Duration::from_millis(600));
    for number in 0..WATCHED {
        send(format!("watched-{number}"));
    }
    thread::sleep(Duration::from_millis(300));
    if has_trouble() {
        world.term_sent.store(true, Ordering::SeqCst);
        deployment.signal("front-2", SIGTERM);
        let preempts = std::env::var("PREEMPT").map_or(true, |value| value != "0");
        world.is_preempted.store(preempts, Ordering::SeqCst);
    }
    for client in clients {
        let _ = client.join();
    }
    let broken = world.broken.lock().unwrap().clone();
    let complete = world.complete.load(Ordering::SeqCst);
    record.line(&format!("{complete} of {} streams complete", FILLING + WATCHED));
    match broken.first() {
        Some(text) => deployment.end(1, &format!("LOST broken: {text}")),
        None if complete < FILLING + WATCHED => {
            deployment.end(2, "streams failed before the SIGTERM")
        }
        None => deployment.end(0, "LOST held"),
    }
}
