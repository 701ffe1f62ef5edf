//! Many users come at once and keep their connections open, as clients do. The gateway says that it is ready, and
//! takes no further connection.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Record, has_trouble, is_ready};
use crate::http::{self, Connection};
use crate::store::Store;

/// Users that are there before the burst, each with one connection.
const USERS: usize = 740;
const BURST: f64 = 1.7;
const BURST_LENGTH: Duration = Duration::from_secs(3);
/// Clients that open a new connection for each request, after the burst.
const NEW_CLIENTS: usize = 10;
/// `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const THREADS: usize = 8;

struct World {
    record: Record,
    front: SocketAddr,
    kept: Mutex<Vec<Connection>>,
    number: AtomicUsize,
    failed: AtomicUsize,
}

impl World {
    /// Sends a request on a new connection and returns the connection. A client allows one second for the connection,
    /// and leaves if its request is not read within one more.
    fn connect(&self) -> io::Result<Connection> {
        let number = self.number.fetch_add(1, Ordering::SeqCst);
        let mut connection = Connection::open(self.front, Duration::from_secs(1))?;
        connection.tcp.set_read_timeout(Some(Duration::from_secs(1)))?;
        let request = format!(
            "GET /roster/1 HTTP/1.1\r\nHost: roster.example\r\nX-Lycheewood-Request-Id: u{number}\r\n\
             X-Lycheewood-Deadline-Ms: 4000\r\n\r\n"
        );
        connection.write(request.as_bytes())?;
        let reply = connection.read_message();
        let text = match &reply {
            Ok(Some(reply)) => format!("answered {}", reply.status()),
            Ok(None) => "the connection ends without an answer".to_owned(),
            Err(_) => "no answer within a second".to_owned(),
        };
        self.record.line(&format!("u{number}: sent, {text}"));
        let reply = reply?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if reply.status() == 200 { Ok(connection) } else { Err(io::ErrorKind::Other.into()) }
    }

    /// Users arrive evenly over `length` and keep their connections.
    fn add_users(self: &Arc<Self>, count: usize, length: Duration) {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                let world = Arc::clone(self);
                thread::spawn(move || {
                    let started = Instant::now();
                    for user in (thread..count).step_by(THREADS) {
                        let due = length.mul_f64(user as f64 / count as f64);
                        thread::sleep(due.saturating_sub(started.elapsed()));
                        match world.connect() {
                            Ok(connection) => world.kept.lock().unwrap().push(connection),
                            Err(_) => {
                                world.failed.fetch_add(1, Ordering::SeqCst);
                            }
                        }
                    }
                })
            })
            .collect();
        for thread in threads {
            let _ = thread.join();
        }
        let kept = self.kept.lock().unwrap().len();
        let failed = self.failed.load(Ordering::SeqCst);
        self.record.line(&format!(
            "{kept} users have their answers and keep their connections; {failed} had no answer"
        ));
    }
}

fn serve(connection: &mut Connection) -> io::Result<()> {
    while let Some(request) = connection.read_message()? {
        let id = request.header("x-lycheewood-request-id").unwrap_or("").to_owned();
        thread::sleep(Duration::from_millis(5));
        let seal = format!("0.{id}");
        let headers =
            [("X-Lycheewood-Request-Id", id.as_str()), ("X-Lycheewood-Response-Seal", &seal)];
        connection.write(&http::response(200, &headers, b"roster\n"))?;
    }
    Ok(())
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"roster.example\",\
    \"path_prefix\":\"/roster/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,\
    \"priority\":2,\"service\":\"roster\",\"max_attempts\":2,\"anonymous\":false}],\
    \"services\":[{\"name\":\"roster\",\"health_path\":\"/health\",\"max_connections\":248,\"protocol\":\"h1\",\
    \"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

pub fn play(record: Record) {
    let mut deployment = Deployment::new(record.clone());
    let store = Store::start(deployment.store_address());
    store.put("keyed.op", "config", CONFIG);
    for server in 0..3 {
        let app = deployment.address(10 + server, 8);
        http::serve(app, |mut connection| {
            // A connection that its client breaks off needs no handling.
            let _ = serve(&mut connection);
        });
        let entry = format!(
            "{{\"service\":\"roster\",\"address\":\"{app}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":1700000000000,\"seq\":1}}"
        );
        store.put("keyed.servers", &format!("i-{server:08x}"), &entry);
    }
    let gateways: Vec<_> = (2..4).map(|machine| deployment.start_gateway(machine)).collect();
    for gateway in &gateways {
        deployment.wait_ready(gateway);
    }
    thread::sleep(Duration::from_millis(3_500));
    let world = Arc::new(World {
        record: record.clone(),
        front: gateways[0].front,
        kept: Mutex::default(),
        number: AtomicUsize::new(0),
        failed: AtomicUsize::new(0),
    });
    world.add_users(USERS, Duration::from_secs(3));
    if world.failed.load(Ordering::SeqCst) > 0 {
        deployment.end(2, "users failed before the burst");
    }
    if has_trouble() {
        let more = (USERS as f64 * BURST) as usize - USERS;
        record.line(&format!("burst: {more} users more"));
        world.add_users(more, BURST_LENGTH);
    }
    // The connections of the users are idle for less than four fifths of the limit until the end.
    let (started, mut tries, mut answers, mut was_ready) = (Instant::now(), 0, 0, true);
    while started.elapsed() < STABLE_WINDOW + Duration::from_millis(500) {
        let clients: Vec<_> = (0..NEW_CLIENTS)
            .map(|_| {
                let world = Arc::clone(&world);
                thread::spawn(move || world.connect().is_ok())
            })
            .collect();
        was_ready &= is_ready(gateways[0].ready);
        for client in clients {
            tries += 1;
            answers += usize::from(client.join().unwrap_or(false));
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.line(&format!(
        "{NEW_CLIENTS} new clients tried for {:.1} s: {tries} connections, {answers} answers; ready all the while: {was_ready}",
        started.elapsed().as_secs_f64()
    ));
    if answers == 0 && was_ready {
        deployment.end(
            1,
            &format!("RECOVER broken: ready, and none of {tries} new connections is taken"),
        );
    }
    deployment.end(0, "RECOVER held")
}
