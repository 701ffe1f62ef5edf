//! A server leaves as planned: its entry is removed, and it goes on for a while. Then an entry of another writer, with
//! fields missing, takes its place in the list.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record, has_trouble};
use crate::http::{self, Connection};
use crate::store::Store;

const SERVERS: usize = 3;
const LEAVING: usize = 0;
const CALLERS: usize = 8;
const WORK: Duration = Duration::from_millis(250);
/// `drain_ms`.
const DRAIN_S: f64 = 2.0;
/// From the removal of the entry to the entry of the other writer, and to the end of the server.
const OTHER_ENTRY: Duration = Duration::from_millis(1_000);
const END: Duration = Duration::from_millis(3_500);
/// An entry goes after three heartbeat intervals without a renewal.
const SILENCE: Duration = Duration::from_millis(3_600);

struct World {
    record: Record,
    /// When the store accepted the removal.
    removed_at: Mutex<Option<f64>>,
    has_ended: AtomicBool,
    is_over: AtomicBool,
    late: AtomicUsize,
    lost: AtomicUsize,
    answered: AtomicUsize,
}

impl World {
    fn has_ended(&self, server: usize) -> bool {
        server == LEAVING && self.has_ended.load(Ordering::SeqCst)
    }

    fn serve(&self, server: usize, connection: &mut Connection) -> io::Result<()> {
        while let Some(request) = connection.read_message()? {
            if self.has_ended(server) {
                return Ok(());
            }
            let id = request.header("x-lycheewood-request-id").unwrap_or("").to_owned();
            let expected = request.header("x-lycheewood-expect-instance");
            if expected.is_some_and(|expected| expected != server_id(server)) {
                connection.write(&http::response(421, &[("X-Lycheewood-Request-Id", &id)], b""))?;
                continue;
            }
            let removed_at = removed_at_for(server, &self.removed_at);
            let since = removed_at.map(|removed_at| self.record.seconds() - removed_at);
            match since.filter(|since| *since > DRAIN_S) {
                Some(since) => {
                    self.late.fetch_add(1, Ordering::SeqCst);
                    self.record.line(&format!(
                        "server {server}: runs {id}, {since:.2} s after it was gone from the list"
                    ));
                }
                None => self.record.line(&format!("server {server}: runs {id}")),
            }
            thread::sleep(WORK);
            if self.has_ended(server) {
                self.record.line(&format!("server {server}: ends while it runs {id}"));
                return Ok(());
            }
            let seal = format!("{server}.{id}");
            let headers =
                [("X-Lycheewood-Request-Id", id.as_str()), ("X-Lycheewood-Response-Seal", &seal)];
            connection.write(&http::response(200, &headers, b"done\n"))?;
        }
        Ok(())
    }

    fn run_caller(&self, caller: usize, front: SocketAddr) {
        let mut number = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("c{caller}-{number}");
            let status = send(front, &id).unwrap_or(0);
            self.record.line(&format!("caller {caller}: {id}: status {status}"));
            let counter = if status == 200 { &self.answered } else { &self.lost };
            counter.fetch_add(1, Ordering::SeqCst);
        }
    }
}

fn removed_at_for(server: usize, removed_at: &Mutex<Option<f64>>) -> Option<f64> {
    removed_at.lock().unwrap().filter(|_| server == LEAVING)
}

fn send(front: SocketAddr, id: &str) -> io::Result<u16> {
    let mut connection = Connection::open(front, Duration::from_secs(1))?;
    connection.tcp.set_read_timeout(Some(Duration::from_secs(4)))?;
    let request = format!(
        "POST /records/1 HTTP/1.1\r\nHost: records.example\r\nX-Lycheewood-Request-Id: {id}\r\n\
         X-Lycheewood-Deadline-Ms: 4000\r\nContent-Length: 6\r\n\r\nrecord"
    );
    connection.write(request.as_bytes())?;
    Ok(connection.read_message()?.map_or(0, |reply| reply.status()))
}

fn server_id(server: usize) -> String {
    format!("i-{server:08x}")
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"records.example\",\
    \"path_prefix\":\"/records/\",\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,\
    \"priority\":2,\"service\":\"records\",\"max_attempts\":1,\"anonymous\":false}],\
    \"services\":[{\"name\":\"records\",\"health_path\":\"/health\",\"max_connections\":248,\"protocol\":\"h1\",\
    \"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

pub fn play(record: Record) {
    let mut deployment = Deployment::new(record.clone());
    let store = Store::start(deployment.store_address());
    let world = Arc::new(World {
        record: record.clone(),
        removed_at: Mutex::default(),
        has_ended: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
        late: AtomicUsize::new(0),
        lost: AtomicUsize::new(0),
        answered: AtomicUsize::new(0),
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
            "{{\"service\":\"records\",\"address\":\"{app}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"born\":1700000000000,\"seq\":1}}"
        );
        store.put("keyed.servers", &server_id(server), &entry);
    }
    let gateways: Vec<_> = (2..4).map(|machine| deployment.start_gateway(machine)).collect();
    for gateway in &gateways {
        deployment.wait_ready(gateway);
    }
    thread::sleep(Duration::from_millis(3_500));
    for caller in 0..CALLERS {
        let (calling, front) = (Arc::clone(&world), gateways[caller % gateways.len()].front);
        thread::spawn(move || calling.run_caller(caller, front));
    }
    thread::sleep(Duration::from_secs(2));
    store.put("keyed.servers", &server_id(LEAVING), "");
    *world.removed_at.lock().unwrap() = Some(record.seconds());
    record.line(&format!("the entry of server {LEAVING} is removed"));
    thread::sleep(OTHER_ENTRY);
    if has_trouble() {
        let address = deployment.address(10 + LEAVING as u8, 8);
        let entry = format!(
            "{{\"service\":\"records\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"slots\":6,\"state\":\"ready\"}}"
        );
        record.line(&format!("another writer leaves the entry {}: {entry}", server_id(LEAVING)));
        store.put("keyed.servers", &server_id(LEAVING), &entry);
    }
    thread::sleep(END - OTHER_ENTRY);
    world.has_ended.store(true, Ordering::SeqCst);
    record.line(&format!("server {LEAVING} ends"));
    thread::sleep(OTHER_ENTRY + SILENCE - END);
    if has_trouble() {
        store.put("keyed.servers", &server_id(LEAVING), "");
        record.line("the entry of the other writer goes");
    }
    thread::sleep(Duration::from_secs(1));
    world.is_over.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(1));
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let (late, lost, answered) = (count(&world.late), count(&world.lost), count(&world.answered));
    record.line(&format!(
        "{answered} requests answered with 200, {lost} not; {late} reached server {LEAVING} over {DRAIN_S} s after \
         its entry was removed"
    ));
    if late > 0 {
        let text = format!(
            "DRAIN broken: {late} requests reached a server that was gone; {lost} got no answer of a server"
        );
        deployment.end(1, &text);
    }
    deployment.end(if answered > 0 { 0 } else { 2 }, "DRAIN held")
}
