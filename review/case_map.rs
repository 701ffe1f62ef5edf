//! A group of twelve ranks whose expert map is changed by the project, with requests that shift between experts.
//!
//! The disruption is that of two kinds: one server sends a second copy of an answer, late, and carries out one order
//! late without an answer.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::{Deployment, Record, has_trouble};
use crate::http::{self, Connection, Message};
use crate::store::Store;

// The group and its engine, as on the sheet of the site.
const RANKS: usize = 12;
const SETS: usize = 3;
const EXPERTS: usize = 96;
const PLACEMENTS: usize = 11;
const SPARE: usize = 4;
const EXPERT_MB: f64 = 2200.0;
const LINK_MBPS: f64 = 44_000.0;

const PASS: Duration = Duration::from_millis(25);
const EVENTS: usize = 24;
const CLIENTS: usize = 24;
/// Machine numbers: the gateways are 2 to 4, the servers follow.
const FIRST_SERVER: u8 = 10;

const WARM_UP_S: f64 = 8.0;
const LENGTH_S: f64 = 60.0;
/// The troubled server, and the windows in which it is troubled.
const TROUBLED_RANK: usize = 5;
const WINDOW_S: f64 = 6.0;
const PAUSE_S: f64 = 2.0;
/// How late an order without an answer is carried out.
const LATE: Duration = Duration::from_millis(3_000);

/// Experts of a rank by set.
type RankExperts = Vec<Vec<usize>>;

#[derive(Clone, Default)]
struct Map {
    version: u64,
    experts: RankExperts,
}

#[derive(Clone, Default)]
struct Rank {
    map: Map,
    prepared: Option<(Map, Instant)>,
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
    streams: u64,
    seq: u64,
}

struct Group {
    step: u64,
    ranks: Vec<Rank>,
    switches: u64,
    /// The first pass that began with different maps.
    broken: Option<String>,
}

struct World {
    group: Mutex<Group>,
    passed: Condvar,
    record: Record,
    born_ms: u128,
    answers: AtomicU64,
    orders: AtomicU64,
    extra: AtomicU64,
    late: AtomicU64,
    has_trouble: bool,
    troubled_window: Mutex<Option<u64>>,
    is_over: AtomicBool,
    completed: AtomicU64,
    failed: AtomicU64,
}

impl World {
    fn shift(&self) -> usize {
        (self.record.seconds() / 3.0) as usize * 37
    }

    /// The number of the window that is open, if one is.
    fn window(&self) -> Option<u64> {
        let since = self.record.seconds() - WARM_UP_S;
        let (window, within) = (since / (WINDOW_S + PAUSE_S), since % (WINDOW_S + PAUSE_S));
        (self.has_trouble && since > 0.0 && within < WINDOW_S).then_some(window as u64)
    }

    /// Whether this order gets a copy of the answer before it and is carried out late: the first order to arm in each
    /// window at the troubled server.
    fn takes_trouble(&self, rank: usize, operation: &str) -> bool {
        let Some(window) = self.window().filter(|_| rank == TROUBLED_RANK && operation == "arm")
        else {
            return false;
        };
        self.troubled_window.lock().unwrap().replace(window) != Some(window)
    }

    fn run_passes(&self) {
        loop {
            thread::sleep(PASS);
            let mut group = self.group.lock().unwrap();
            let next = group.step + 1;
            let is_idle = group.ranks.iter().all(|rank| rank.streams == 0);
            if is_idle || group.ranks.iter().any(|rank| rank.held == Some(next)) {
                continue;
            }
            group.step = next;
            let mut has_switched = false;
            for rank in &mut group.ranks {
                if let Some((version, step)) = rank.armed
                    && step == next
                {
                    rank.armed = None;
                    if let Some((map, _)) = rank.prepared.take_if(|(map, _)| map.version == version)
                    {
                        rank.map = map;
                        has_switched = true;
                    }
                }
            }
            let versions: Vec<u64> = group.ranks.iter().map(|rank| rank.map.version).collect();
            if versions.iter().any(|version| *version != versions[0]) {
                let text =
                    format!("pass {next} begins with the maps {versions:?} on ranks 0 to 11");
                self.record.line(&text);
                group.broken.get_or_insert(text);
            } else if has_switched {
                group.switches += 1;
                self.record
                    .line(&format!("pass {next} begins with map {} on all ranks", versions[0]));
            }
            let shift = self.shift();
            for rank in &mut group.ranks {
                for set in 0..SETS {
                    for expert in 0..EXPERTS {
                        let place = (expert * 7 + shift + set * 11) % EXPERTS;
                        rank.counts[set * EXPERTS + expert] +=
                            rank.streams * (240 / (place as u64 + 4));
                    }
                }
            }
            self.passed.notify_all();
        }
    }

    /// Carries out an order and gives the status of its answer.
    fn carry_out(&self, index: usize, order: &Order) -> u16 {
        let mut group = self.group.lock().unwrap();
        let step = group.step;
        let rank = &mut group.ranks[index];
        if order.epoch.is_some_and(|epoch| epoch != 1) {
            return 409;
        }
        match order.operation.as_str() {
            "prepare" => {
                let is_known = rank.map.version == order.version
                    || rank.prepared.as_ref().is_some_and(|(map, _)| map.version == order.version);
                if is_known {
                    return 200;
                }
                let experts: RankExperts = order
                    .map
                    .iter()
                    .map(|set| set.get(index).cloned().unwrap_or_default())
                    .collect();
                let mut copies = 0;
                for (set, held) in experts.iter().zip(&rank.map.experts) {
                    let new = set.iter().filter(|expert| !held.contains(expert)).count();
                    if new > SPARE || set.len() > PLACEMENTS {
                        return 409;
                    }
                    copies += new;
                }
                if order.version <= rank.highest || rank.armed.is_some() || experts.len() != SETS {
                    return 409;
                }
                rank.highest = order.version;
                let copy_s = copies as f64 * EXPERT_MB * 8.0 / LINK_MBPS;
                let map = Map { version: order.version, experts };
                rank.prepared = Some((map, Instant::now() + Duration::from_secs_f64(copy_s)));
                rank.seq += 1;
                202
            }
            "arm" => {
                if rank.armed == Some((order.version, order.step))
                    || rank.map.version == order.version
                {
                    return 200;
                }
                let is_prepared = rank.prepared.as_ref().is_some_and(|(map, ready)| {
                    map.version == order.version && *ready <= Instant::now()
                });
                if !is_prepared || order.step <= step {
                    return 409;
                }
                rank.armed = Some((order.version, order.step));
                rank.seq += 1;
                200
            }
            "hold" => {
                if rank.held == Some(order.step) {
                    return 200;
                }
                if rank.held.is_some() || order.step <= step {
                    return 409;
                }
                rank.held = Some(order.step);
                rank.seq += 1;
                200
            }
            "go" => {
                rank.held.take_if(|held| *held == order.step);
                200
            }
            _ => 400,
        }
    }

    fn report(&self, index: usize) -> String {
        let group = self.group.lock().unwrap();
        let rank = &group.ranks[index];
        let prepared = rank.prepared.as_ref().filter(|(_, ready)| *ready <= Instant::now());
        let prepared = prepared.map_or("null".to_owned(), |(map, _)| map.version.to_string());
        let armed = rank.armed.map_or("null".to_owned(), |(version, step)| {
            format!("{{\"version\":{version},\"step\":{step}}}")
        });
        let held = rank.held.map_or("null".to_owned(), |step| step.to_string());
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"seq\":{},\"queued\":0,\"running\":{},\"kv_used\":0,\"kv_total\":280000,\"handles\":0,\"pace\":1.0,\
             \"step\":{},\"map\":{},\"prepared\":{prepared},\"armed\":{armed},\"held\":{held},\"born\":{},{}}}",
            rank.seq,
            rank.streams,
            group.step,
            rank.map.version,
            self.born_ms,
            membership(index)
        )
    }

    fn picked(&self, index: usize, with_lists: bool) -> String {
        let group = self.group.lock().unwrap();
        let rank = &group.ranks[index];
        let head = format!("{{\"step\":{},\"epoch\":1,\"born\":{}", group.step, self.born_ms);
        if with_lists {
            let (version, experts) = (rank.map.version, &rank.map.experts);
            return format!(
                "{head},\"map\":{{\"version\":{version},\"experts\":{experts:?}}},\"prepared\":null}}"
            );
        }
        format!("{head},\"counts\":{:?}}}", rank.counts)
    }

    /// Serves one connection to a server.
    fn serve(self: &Arc<Self>, index: usize, connection: &mut Connection) -> io::Result<()> {
        let mut last_answer: Option<Vec<u8>> = None;
        while let Some(request) = connection.read_message()? {
            let expected = request.header("x-lycheewood-expect-instance");
            if expected.is_some_and(|expected| expected != server_id(index)) {
                connection.write(&http::response(421, &[], b""))?;
                continue;
            }
            // Servers echo the id of a request, so that its client may use the connection again.
            let id = request.header("x-lycheewood-request-id").unwrap_or("");
            let json =
                [("Content-Type", "application/json"), ("X-Lycheewood-Request-Id", id)];
            let answer = match (request.method(), request.path()) {
                ("GET", "/v1/report") => http::response(200, &json, self.report(index).as_bytes()),
                ("GET", "/v1/picked") => {
                    let with_lists = request.target().contains("lists");
                    http::response(200, &json, self.picked(index, with_lists).as_bytes())
                }
                ("POST", "/v1/order") => {
                    let order = Order::parse(&String::from_utf8_lossy(&request.body));
                    self.orders.fetch_add(1, Ordering::Relaxed);
                    if let Some(copy) = &last_answer
                        && self.takes_trouble(index, &order.operation)
                    {
                        self.extra.fetch_add(1, Ordering::Relaxed);
                        self.late.fetch_add(1, Ordering::Relaxed);
                        self.record.line(&format!(
                            "rank {index}: the answer before it comes once more at the order to arm map {} for pass \
                             {}; the order gets no answer and is carried out {} ms later",
                            order.version,
                            order.step,
                            LATE.as_millis()
                        ));
                        connection.write(copy)?;
                        let world = Arc::clone(self);
                        thread::spawn(move || {
                            thread::sleep(LATE);
                            let status = world.carry_out(index, &order);
                            world.record.line(&format!(
                                "rank {index}: the late order is carried out: {status}"
                            ));
                        });
                        continue;
                    }
                    let status = self.carry_out(index, &order);
                    self.record.line(&format!(
                        "rank {index}: {} version {} step {}: {status}",
                        order.operation, order.version, order.step
                    ));
                    http::response(status, &json, b"{}")
                }
                ("POST", "/draft/1") => {
                    self.stream(index, &request, connection)?;
                    continue;
                }
                _ => http::response(404, &[], b""),
            };
            self.answers.fetch_add(1, Ordering::Relaxed);
            connection.write(&answer)?;
            last_answer = Some(answer);
        }
        Ok(())
    }

    /// Runs a request of a client: one event for each pass.
    fn stream(
        &self,
        index: usize,
        request: &Message,
        connection: &mut Connection,
    ) -> io::Result<()> {
        let id = request.header("x-lycheewood-request-id").unwrap_or("");
        let first: usize =
            request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Lycheewood-Request-Id: {id}\r\n\
             X-Lycheewood-Response-Seal: {index}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        self.record.line(&format!("rank {index}: runs {id}"));
        connection.write(head.as_bytes())?;
        self.group.lock().unwrap().ranks[index].streams += 1;
        let mut result = Ok(());
        for event in first + 1..=EVENTS {
            let group = self.group.lock().unwrap();
            let step = group.step;
            drop(self.passed.wait_while(group, |group| group.step == step).unwrap());
            let text = format!("id: {event}\ndata: {index}\n\n");
            result = connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            if result.is_err() {
                break;
            }
        }
        self.group.lock().unwrap().ranks[index].streams -= 1;
        result?;
        connection.write(b"0\r\n\r\n")
    }

    /// Sends one request after the other, each on a connection of its own.
    fn run_client(&self, client: usize, front: SocketAddr) {
        let mut number = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("c{client}-{number}");
            self.record.line(&format!("client {client}: sends {id}"));
            let is_complete = send_request(front, &id).unwrap_or(false);
            let text = if is_complete { "complete" } else { "not complete" };
            self.record.line(&format!("client {client}: {id}: {text}"));
            let counter = if is_complete { &self.completed } else { &self.failed };
            counter.fetch_add(1, Ordering::Relaxed);
            if !is_complete {
                thread::sleep(Duration::from_millis(200));
            }
        }
    }
}

fn send_request(front: SocketAddr, id: &str) -> io::Result<bool> {
    let mut connection = Connection::open(front, Duration::from_secs(1))?;
    connection.tcp.set_read_timeout(Some(Duration::from_secs(8)))?;
    let body = "draft";
    let request = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: drafts.example\r\nX-Lycheewood-Request-Id: {id}\r\n\
         X-Lycheewood-Model: m\r\nX-Lycheewood-Token-Usage: 600,96\r\nX-Lycheewood-Prompt-Prefix: a1:40,{}:560\r\n\
         X-Lycheewood-Deadline-Ms: 8000\r\nContent-Length: {}\r\n\r\n{body}",
        id.bytes().map(|byte| format!("{byte:02x}")).collect::<String>(),
        body.len()
    );
    connection.write(request.as_bytes())?;
    let head = connection.read_head()?;
    if head.is_none_or(|head| head.status() != 200) {
        return Ok(false);
    }
    while !connection.read_chunk()?.is_empty() {}
    Ok(true)
}

struct Order {
    operation: String,
    version: u64,
    step: u64,
    epoch: Option<u64>,
    /// Experts by set and rank.
    map: Vec<Vec<Vec<usize>>>,
}

impl Order {
    /// Parses the flat object that orders are.
    fn parse(text: &str) -> Self {
        let after = |field: &str| text.split_once(&format!("\"{field}\":")).map(|(_, rest)| rest);
        let number = |field: &str| {
            let rest = after(field)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        };
        let operation = after("operation").and_then(|rest| rest.split('"').nth(1)).unwrap_or("");
        let mut map: Vec<Vec<Vec<usize>>> = Vec::new();
        let (mut depth, mut value) = (0, None);
        for c in after("map").unwrap_or("").chars() {
            if let Some(digit) = c.to_digit(10) {
                value = Some(value.unwrap_or(0) * 10 + digit as usize);
                continue;
            }
            if let Some(expert) = value.take()
                && let Some(rank) = map.last_mut().and_then(|set| set.last_mut())
            {
                rank.push(expert);
            }
            match c {
                '[' => {
                    depth += 1;
                    match depth {
                        2 => map.push(Vec::new()),
                        3 => map.last_mut().unwrap().push(Vec::new()),
                        _ => {}
                    }
                }
                ']' => depth -= 1,
                _ => {}
            }
            if depth == 0 {
                break;
            }
        }
        Self {
            operation: operation.to_owned(),
            version: number("version").unwrap_or(0),
            step: number("step").unwrap_or(0),
            epoch: number("epoch"),
            map,
        }
    }
}

fn server_id(index: usize) -> String {
    format!("i-{index:08x}")
}

fn membership(index: usize) -> String {
    format!(
        "\"group\":{{\"name\":\"g-1\",\"epoch\":1,\"rank\":{index},\"state\":\"open\"}},\"size\":{RANKS}"
    )
}

/// The configuration, with the engine of the site's sheet.
fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"drafts.example\",\"path_prefix\":\"/draft/\",\
         \"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"drafts\",\
         \"max_attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":120}}],\
         \"services\":[{{\"name\":\"drafts\",\"health_path\":\"/health\",\"max_connections\":940,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":12,\"kv_tokens\":280000,\"kv_bytes\":35136,\"link_mbps\":{LINK_MBPS:.1},\
         \"stride\":4,\"models\":[{{\"name\":\"m\"}}],\"step_ms\":4.55,\"per_seq_ms\":0.905,\
         \"context_per_k\":0.0183,\"read_per_s\":61400.0,\"pairs_per_m\":0.525,\"chunk\":512,\
         \"report_lag_ms\":200.0,\"usual\":{{\"prompt\":835,\"answer\":97}},\"sets\":{SETS},\"experts\":{EXPERTS},\
         \"placements\":{PLACEMENTS},\"spare\":{SPARE},\"expert_mb\":{EXPERT_MB:.1},\"expert_share\":0.85,\
         \"form_ms\":600.0}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Map 0 assigns experts in turn.
fn first_map(rank: usize) -> Map {
    let experts = (0..EXPERTS).filter(|expert| expert % RANKS == rank).collect::<Vec<_>>();
    Map { version: 0, experts: vec![experts; SETS] }
}

pub fn play(record: Record) {
    let mut deployment = Deployment::new(record.clone());
    let store = Store::start(deployment.store_address());
    let rank =
        |index| Rank { map: first_map(index), counts: vec![0; SETS * EXPERTS], ..Rank::default() };
    let ranks = (0..RANKS).map(rank).collect();
    let world = Arc::new(World {
        group: Mutex::new(Group { step: 0, ranks, switches: 0, broken: None }),
        passed: Condvar::new(),
        record: record.clone(),
        born_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
        answers: AtomicU64::new(0),
        orders: AtomicU64::new(0),
        extra: AtomicU64::new(0),
        late: AtomicU64::new(0),
        has_trouble: has_trouble(),
        troubled_window: Mutex::new(None),
        is_over: AtomicBool::new(false),
        completed: AtomicU64::new(0),
        failed: AtomicU64::new(0),
    });
    store.put("keyed.op", "config", &config());
    for index in 0..RANKS {
        let app = deployment.address(FIRST_SERVER + index as u8, 8);
        let serving = Arc::clone(&world);
        http::serve(app, move |mut connection| {
            // A connection that its client breaks off needs no handling.
            let _ = serving.serve(index, &mut connection);
        });
        let entry = format!(
            "{{\"service\":\"drafts\",\"address\":\"{app}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":12,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\
             \"adapters\":[]}}],\"born\":{},\"seq\":1,{}}}",
            world.born_ms,
            membership(index)
        );
        store.put("keyed.servers", &server_id(index), &entry);
        deployment.start_agent(FIRST_SERVER + index as u8, app);
    }
    let passes = Arc::clone(&world);
    thread::spawn(move || passes.run_passes());
    let gateways: Vec<_> = (2..5).map(|machine| deployment.start_gateway(machine)).collect();
    for gateway in &gateways {
        deployment.wait_ready(gateway);
    }
    for client in 0..CLIENTS {
        let (client_world, front) = (Arc::clone(&world), gateways[client % gateways.len()].front);
        thread::spawn(move || client_world.run_client(client, front));
    }
    while record.seconds() < LENGTH_S && world.group.lock().unwrap().broken.is_none() {
        thread::sleep(Duration::from_millis(100));
    }
    world.is_over.store(true, Ordering::Relaxed);
    let (switches, broken) = {
        let group = world.group.lock().unwrap();
        (group.switches, group.broken.clone())
    };
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record.line(&format!(
        "{switches} changes of map; {} answers to reports and orders, {} of them sent twice; {} orders, {} of them \
         carried out late; {} requests of clients complete, {} not",
        count(&world.answers),
        count(&world.extra),
        count(&world.orders),
        count(&world.late),
        count(&world.completed),
        count(&world.failed)
    ));
    match broken {
        Some(text) => deployment.end(1, &format!("MAP broken: {text}")),
        None if switches == 0 => deployment.end(2, "no change of map took place"),
        None => deployment.end(0, "MAP held"),
    }
}
