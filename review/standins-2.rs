//! Stand-ins for the second review: the platform's store and model servers, which follow the users' pages, and the
//! driver of the cases. It uses the standard library only.
//!
//! `standins-2 CASE FOLDER BINARY` starts the gateway as a process of its own on loopback, plays the case, and writes
//! `FOLDER/record.txt`. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` the disruption is left out.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

type Outcome<T> = Result<T, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, binary] = args.as_slice() else {
        eprintln!("usage: standins-2 CASE FOLDER BINARY");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case_run = match case.as_str() {
        "planned-stop" => planned_stop(Path::new(binary), trouble),
        "settings" => settings_change(Path::new(binary), trouble),
        "reader-freeze" => reader_freeze(Path::new(binary), trouble),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match case_run {
        Ok((false, text)) => (0, text),
        Ok((true, text)) => (1, text),
        Err(error) => (2, format!("the case could not run: {error}\n")),
    };
    print!("{text}");
    if fs::write(Path::new(folder).join("record.txt"), &text).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

// ---- HTTP

struct Head {
    line: String,
    fields: HashMap<String, String>,
}

impl Head {
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Reads a head byte by byte, so that nothing behind it is taken from the connection.
fn read_head(tcp: &mut TcpStream) -> Option<Head> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if tcp.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut lines = text.split("\r\n");
    let line = lines.next()?.to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Some(Head { line, fields: fields.collect() })
}

fn read_sized(tcp: &mut TcpStream, head: &Head) -> Option<Vec<u8>> {
    let mut body = vec![0; head.field("content-length").parse().unwrap_or(0)];
    tcp.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads a chunked body. `None` if it ends before its last chunk.
fn read_chunked(tcp: &mut TcpStream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = Vec::new();
        let mut byte = [0];
        while !line.ends_with(b"\r\n") {
            if tcp.read(&mut byte).ok()? == 0 {
                return None;
            }
            line.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&line);
        let length = usize::from_str_radix(text.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        tcp.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

fn reply(tcp: &mut TcpStream, status: u16, body: &[u8]) {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
    let _ = tcp.write_all(head.as_bytes()).and_then(|()| tcp.write_all(body));
}

fn serve(ip: Ipv4Addr, serve_one: impl Fn(TcpStream) + Clone + Send + 'static) -> Outcome<SocketAddr> {
    let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let serve_one = serve_one.clone();
            thread::spawn(move || serve_one(tcp));
        }
    });
    Ok(address)
}

// ---- The platform's store: topics with one partition, appends, long polls and the newest record of each key

#[derive(Clone, Default)]
struct Store(Arc<(Mutex<HashMap<String, Vec<Vec<u8>>>>, Condvar)>, Arc<Mutex<Option<Instant>>>);

impl Store {
    fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.0.0.lock().expect("no panic").entry(topic.to_owned()).or_default().push(record);
        self.0.1.notify_all();
    }

    /// When the last read of the list of servers began.
    fn last_list_read(&self) -> Option<Instant> {
        *self.1.lock().expect("no panic")
    }

    fn serve(&self, mut tcp: TcpStream) {
        let Some(head) = read_head(&mut tcp) else { return };
        let Some(body) = read_sized(&mut tcp, &head) else { return };
        let target = head.line.split(' ').nth(1).unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|f| f.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|value| value.parse::<usize>().ok());
        let (topics, changed) = &*self.0;
        let mut topics = topics.lock().expect("no panic");
        let (status, answer) = match path {
            "/v1/log-append" => {
                let records = topics.entry(topic.to_owned()).or_default();
                let offset = records.len();
                if number("at").is_some_and(|at| at != offset) {
                    (412, format!("{{\"end\":{offset}}}").into_bytes())
                } else {
                    let mut rest = body.as_slice();
                    while let Some((length, more)) = rest.split_first_chunk::<4>() {
                        let length = u32::from_be_bytes(*length) as usize;
                        records.push(more[..length].to_vec());
                        rest = &more[length..];
                    }
                    let end = records.len();
                    changed.notify_all();
                    (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
                }
            }
            "/v1/log-read" => {
                if topic == "keyed.servers" {
                    *self.1.lock().expect("no panic") = Some(Instant::now());
                }
                let from = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
                let is_empty = |topics: &mut HashMap<String, Vec<Vec<u8>>>| {
                    topics.get(topic).is_none_or(|records| records.len() <= from)
                };
                topics = changed.wait_timeout_while(topics, wait, is_empty).expect("no panic").0;
                let records = topics.entry(topic.to_owned()).or_default();
                let mut answer = (records.len() as u64).to_be_bytes().to_vec();
                answer.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    answer.extend((record.len() as u32).to_be_bytes());
                    answer.extend(record);
                }
                (200, answer)
            }
            "/v1/log-newest" => {
                let records = topics.entry(topic.to_owned()).or_default();
                let mut newest = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = record[1..].split_at(usize::from(record[0]));
                    newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value.to_vec()));
                }
                newest.retain(|_, (_, value)| !value.is_empty());
                let items: Vec<String> = newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let (items, end) = (items.join(","), records.len());
                (200, format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}").into_bytes())
            }
            _ => (404, Vec::new()),
        };
        drop(topics);
        reply(&mut tcp, status, &answer);
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            text.push(if digit <= chunk.len() { char::from(DIGITS[index as usize]) } else { '=' });
        }
    }
    text
}

// ---- Servers

/// When a server began and ended to work on each request, by its id.
type Runs = Arc<Mutex<HashMap<String, (Instant, Option<Instant>)>>>;

/// Answers a request with a stream of `events` events, one each `gap`.
fn stream(mut tcp: TcpStream, runs: &Runs, events: u32, gap: Duration) {
    let Some(head) = read_head(&mut tcp) else { return };
    if read_sized(&mut tcp, &head).is_none() {
        return;
    }
    let id = head.field("x-lycheewood-request-id").to_owned();
    runs.lock().expect("no panic").insert(id.clone(), (Instant::now(), None));
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Lycheewood-Request-Id: {id}\r\n\
         X-Lycheewood-Response-Seal: 0.{id}\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    );
    let mut sent = tcp.write_all(answer.as_bytes());
    for event in 1..=events {
        let text = format!("id: {event}\ndata: {event}\n\n");
        sent = sent.and_then(|()| tcp.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()));
        thread::sleep(gap);
    }
    let sent = sent.and_then(|()| tcp.write_all(b"0\r\n\r\n"));
    if sent.is_ok()
        && let Some(run) = runs.lock().expect("no panic").get_mut(&id)
    {
        run.1 = Some(Instant::now());
    }
}

// ---- Gateways

struct Gateway {
    child: Child,
    folder: PathBuf,
    ip: Ipv4Addr,
    store: SocketAddr,
}

const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const DIRECTORY_PORT: u16 = 8224;

/// A loopback address for this run; each gateway needs its own, since the port for metrics is fixed.
fn own_ip(number: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + high % 100, low, number)
}

impl Gateway {
    fn write_settings(folder: &Path, number: u8, ip: Ipv4Addr, store: SocketAddr, grace: &str) -> Outcome<()> {
        let settings = format!(
            "node_name=front-a-{number}\nrole=gateway\nmachine_class=front\nserves=front,directory\nip={ip}\nzone=zone-a\n\
             region=region-a\nzones.zone-a=region-a\nlisten.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\n\
             listen.directory={ip}:{DIRECTORY_PORT}\ninternal_ports=7340,7355\nseeds={ip}:8229\nlimits.cpu_share=0.17\n\
             limits.cores=1\nlimits.memory_mb=182\nlimits.max_fds=2940\nheartbeat_ms=1200\nbounds.drain_ms=2000\n\
             bounds.grace_s={grace}\nbounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=191\n\
             platform.address={store}\nplatform.form=log\n"
        );
        fs::write(folder.join("node.conf"), settings).map_err(|error| error.to_string())
    }

    fn spawn(binary: &Path, folder: &Path) -> Outcome<Child> {
        let log = fs::File::options().create(true).append(true).open(folder.join("log"));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        Command::new(binary)
            .arg("run")
            .env("LYCHEEWOOD_CONFIG", folder.join("node.conf"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("start {}: {error}", binary.display()))
    }

    fn start(binary: &Path, number: u8, ip: Ipv4Addr, store: SocketAddr) -> Outcome<Self> {
        let name = format!("lycheewood-review-2-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        Self::write_settings(&folder, number, ip, store, "8")?;
        let child = Self::spawn(binary, &folder)?;
        let gateway = Self { child, folder, ip, store };
        if gateway.wait_until_ready(Duration::from_secs(20)) { Ok(gateway) } else { Err("not ready".into()) }
    }

    fn is_ready(&self) -> bool {
        get((self.ip, READY_PORT).into(), "/v1/ready") == Some(200)
    }

    fn wait_until_ready(&self, limit: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        // SAFETY: `kill` has no memory effects, and the child has not been waited for.
        unsafe { kill(pid, signal) };
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The status of a request without a body, or `None` without an answer.
fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let mut tcp = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    tcp.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    tcp.write_all(format!("GET {path} HTTP/1.1\r\nHost: review\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
    read_head(&mut tcp)?.line.split(' ').nth(1)?.parse().ok()
}

/// A configuration with one streaming route that must not be repeated, and a tenant.
const CONFIGURATION: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"draft.example\",\
    \"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":500,\"priority\":1,\
    \"service\":\"drafts\",\"max_attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false,\
    \"target_gap_ms\":400}],\"services\":[{\"name\":\"drafts\",\"health_path\":\"/health\",\"max_connections\":900,\
    \"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"]}]}";

/// Starts a store and `servers` servers of one service, and gives the store's address.
fn start_platform(servers: u8, runs: &Runs, events: u32, gap: Duration) -> Outcome<SocketAddr> {
    let store = Store::default();
    store.put("keyed.op", "config", CONFIGURATION);
    for number in 1..=servers {
        let runs = Arc::clone(runs);
        let address = serve(own_ip(100 + number), move |tcp| stream(tcp, &runs, events, gap))?;
        let entry = format!(
            "{{\"service\":\"drafts\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":200,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000}}"
        );
        store.put("keyed.servers", &format!("i-0000000{number}"), &entry);
    }
    serve(own_ip(9), move |tcp| store.serve(tcp))
}

// ---- Case 6: requests whose bodies are still arriving when the lingering phase of a planned stop ends

/// One request of a caller.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    /// When its first and its last byte were written, in milliseconds after the signal.
    begun_ms: f64,
    sent_ms: f64,
    status: Option<u16>,
    is_whole: bool,
    ended_ms: f64,
    /// When a server began and ended to work on it.
    run_ms: Option<(f64, Option<f64>)>,
}

const GRACE_MS: f64 = 8_000.0;
/// Requests that were sent later than this after the signal are not excused when the end of the grace cuts them.
const EXCUSED_UNTIL_MS: f64 = 3_000.0;
/// Answers take 5.4 s. With the upload they end below the caller's deadline and the route's timeout.
const EVENTS: u32 = 18;
const GAP: Duration = Duration::from_millis(300);
/// The longest time that a caller waits, and the timeout of the route.
const DEADLINE_MS: f64 = 8_000.0;
const GATEWAYS: u8 = 2;
/// On the site one machine is stopped each 1.0 to 2.0 s.
const BETWEEN_STOPS: Duration = Duration::from_millis(2_000);
/// Callers of each gateway, which send one request each, `BETWEEN` apart.
const CALLERS: usize = 20;
const FIRST_AFTER: Duration = Duration::from_millis(2_600);
const BETWEEN: Duration = Duration::from_millis(10);
/// A body is sent in this many pieces, which takes a second: less than `header_timeout_ms`, which is 3,000.
const PIECES: usize = 11;
const PIECE: [u8; 2_000] = [b'p'; 2_000];
const BETWEEN_PIECES: Duration = Duration::from_millis(100);

fn planned_stop(binary: &Path, trouble: bool) -> Outcome<(bool, String)> {
    let runs = Runs::default();
    let store = start_platform(3, &runs, EVENTS, GAP)?;
    let mut stops = Vec::new();
    for number in 1..=GATEWAYS {
        let gateway = Gateway::start(binary, number, own_ip(10 + number), store)?;
        let runs = Arc::clone(&runs);
        stops.push((gateway, runs));
    }
    // The gateways are stopped one after the other.
    let first = Instant::now() + Duration::from_millis(1_500);
    let stops = stops.into_iter().enumerate().map(|(number, (gateway, runs))| {
        let begin = first + BETWEEN_STOPS * u32::try_from(number).unwrap_or(0);
        thread::spawn(move || stop_one(number, gateway, &runs, begin, trouble))
    });
    let stops: Vec<_> = stops.collect();
    let mut text = format!("trouble={trouble} gateways={GATEWAYS} callers of each={CALLERS}\n");
    let mut requests = Vec::new();
    for stop in stops {
        let (summary, sent) = stop.join().map_err(|_| "a stop panicked".to_owned())??;
        text.push_str(&summary);
        requests.extend(sent);
    }
    let lost = requests.iter().filter(|(_, is_lost)| *is_lost).count();
    let whole = requests.iter().filter(|(sent, _)| sent.status == Some(200) && sent.is_whole).count();
    let _ = writeln!(
        text,
        "requests={} answered whole={whole} cut although sent more than 3 s after SIGTERM={lost}",
        requests.len()
    );
    for (sent, is_lost) in &requests {
        let mark = if *is_lost { " LOST" } else { "" };
        let _ = writeln!(
            text,
            "{} begun_ms={:.1} sent_ms={:.1} status={:?} whole={} ended_ms={:.1} run_ms={:?}{mark}",
            sent.id, sent.begun_ms, sent.sent_ms, sent.status, sent.is_whole, sent.ended_ms, sent.run_ms
        );
    }
    if !trouble && whole < requests.len() {
        return Err(format!("without the disruption not all requests were answered\n{text}"));
    }
    Ok((lost > 0, text))
}

/// Stops one gateway and sends requests that begin before the end of the third second after the signal, and end later. Gives a summary, and each
/// request with whether it was lost.
fn stop_one(
    number: usize,
    mut gateway: Gateway,
    runs: &Runs,
    begin: Instant,
    trouble: bool,
) -> Outcome<(String, Vec<(Sent, bool)>)> {
    let front = SocketAddr::from((gateway.ip, FRONT_PORT));
    let directory = SocketAddr::from((gateway.ip, DIRECTORY_PORT));
    let resolve = "/v1/resolve?name=draft.example&region=region-a&zone=zone-a";
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let tcp = TcpStream::connect(front).map_err(|error| error.to_string())?;
        let _ = tcp.set_nodelay(true);
        callers.push(tcp);
    }
    thread::sleep(begin.saturating_duration_since(Instant::now()));
    // The answer is valid for a second, and some callers keep it three times as long.
    let look_up = get(directory, resolve);
    if trouble {
        gateway.signal(SIGTERM);
    }
    // Taken after the signal was sent, so that no request counts as later than it is.
    let signalled = Instant::now();
    let ms = move |at: Instant| at.duration_since(signalled).as_secs_f64() * 1_000.0;
    let mut readers = Vec::new();
    for (caller, mut tcp) in callers.into_iter().enumerate() {
        let due = FIRST_AFTER + BETWEEN * u32::try_from(caller).unwrap_or(0);
        loop {
            let left = due.saturating_sub(signalled.elapsed());
            if left.is_zero() {
                break;
            }
            thread::sleep(left);
        }
        let id = format!("{number:04x}{caller:012x}");
        let head = format!(
            "POST /draft/{caller} HTTP/1.1\r\nHost: draft.example\r\nX-Lycheewood-Request-Id: {id}\r\n\
             X-Lycheewood-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer key-1\r\nContent-Length: {}\r\n\r\n",
            PIECES * PIECE.len()
        );
        readers.push(thread::spawn(move || {
            let begun_ms = ms(Instant::now());
            let mut is_sent = tcp.write_all(head.as_bytes()).is_ok();
            let mut sent_ms = begun_ms;
            for piece in 0..PIECES {
                if piece > 0 {
                    thread::sleep(BETWEEN_PIECES);
                }
                // Before the write, so that no request counts as later than it is.
                sent_ms = ms(Instant::now());
                is_sent = is_sent && tcp.write_all(&PIECE).is_ok();
            }
            let mut sent =
                Sent { id, begun_ms, sent_ms, status: None, is_whole: false, ended_ms: 0.0, run_ms: None };
            let _ = tcp.set_read_timeout(Some(Duration::from_secs(9)));
            // A refusal may come before the last piece.
            if let Some(head) = read_head(&mut tcp) {
                sent.status = head.line.split(' ').nth(1).and_then(|status| status.parse().ok());
                sent.is_whole = match head.field("transfer-encoding") {
                    "chunked" => read_chunked(&mut tcp).is_some(),
                    _ => read_sized(&mut tcp, &head).is_some(),
                };
            }
            sent.ended_ms = ms(Instant::now());
            sent
        }));
    }
    let mut requests = Vec::new();
    for reader in readers {
        let sent = reader.join().map_err(|_| "a caller panicked".to_owned())?;
        let run = runs.lock().expect("no panic").get(&sent.id).copied();
        let run_ms = run.map(|(begun, ended)| (ms(begun), ended.map(ms)));
        let sent = Sent { run_ms, ..sent };
        let is_lost = sent.sent_ms > EXCUSED_UNTIL_MS
            && sent.status == Some(200)
            && !sent.is_whole
            && sent.ended_ms < sent.begun_ms + DEADLINE_MS
            && sent.ended_ms < GRACE_MS + 1_000.0
            && sent.run_ms.is_some();
        requests.push((sent, is_lost));
    }
    if trouble {
        let _ = gateway.child.wait();
    }
    let count = |status| requests.iter().filter(|(sent, _)| sent.status == status).count();
    let summary = format!(
        "gateway {number}: look_up just before={look_up:?} status 200={} 503={} none={}\n",
        count(Some(200)),
        count(Some(503)),
        count(None)
    );
    Ok((summary, requests))
}

// ---- Case 8: settings

fn settings_change(binary: &Path, trouble: bool) -> Outcome<(bool, String)> {
    let runs = Runs::default();
    let store = start_platform(1, &runs, 2, Duration::from_millis(20))?;
    let mut gateway = Gateway::start(binary, 1, own_ip(10), store)?;
    if trouble {
        Gateway::write_settings(&gateway.folder, 1, gateway.ip, gateway.store, "7.5")?;
    }
    gateway.signal(SIGHUP);
    thread::sleep(Duration::from_millis(500));
    let mut text = format!("trouble={trouble} ready after SIGHUP={}\n", gateway.is_ready());
    gateway.signal(SIGKILL);
    let _ = gateway.child.wait();
    let mut is_broken = false;
    for start in 1..=5 {
        thread::sleep(Duration::from_millis(300));
        gateway.child = Gateway::spawn(binary, &gateway.folder)?;
        let is_ready = gateway.wait_until_ready(Duration::from_secs(4));
        let ended = gateway.child.try_wait().map_err(|error| error.to_string())?;
        let _ = writeln!(text, "start {start} after the kill: ready={is_ready} ended={ended:?}");
        is_broken = ended.is_some();
        if !is_broken {
            break;
        }
    }
    let log = fs::read_to_string(gateway.folder.join("log")).unwrap_or_default();
    text.extend(log.lines().filter(|line| line.contains("grace")).map(|line| format!("log: {line}\n")));
    Ok((is_broken, text))
}

// ---- Case 7: the instance that reads the list of servers stands still for a moment while a server leaves

/// A request that has reached a server.
#[derive(Clone, Debug)]
struct Arrival {
    id: String,
    server: usize,
    at: Instant,
    /// Whether the server has sent its whole answer.
    is_answered: bool,
}

/// A plain server that runs requests which must not be repeated.
#[derive(Clone)]
struct JobServer {
    number: usize,
    address: SocketAddr,
    is_gone: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

const JOB_MS: u64 = 60;
const DRAIN_MS: f64 = 2_000.0;
/// A server that leaves goes on for `drain_ms` and a little longer.
const LEAVES_AFTER: Duration = Duration::from_millis(2_250);
/// Longest freeze on the site: 4 s.
const FREEZE: Duration = Duration::from_millis(620);
/// Age of the read of the list at which the instance is frozen; a read waits for a second.
const FROZEN_AT_AGE: Duration = Duration::from_millis(930);
const LEAVING_SERVERS: usize = 3;
const JOB_SERVERS: usize = 7;
const JOB_CALLERS: usize = 8;

impl JobServer {
    fn start(number: usize, arrivals: &Arc<Mutex<Vec<Arrival>>>) -> Outcome<Self> {
        let ip = own_ip(100 + u8::try_from(number).expect("few servers"));
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        listener.set_nonblocking(true).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let is_gone = Arc::new(AtomicBool::new(false));
        let server = Self { number, address, is_gone, arrivals: Arc::clone(arrivals) };
        let serving = server.clone();
        thread::spawn(move || {
            while !serving.is_gone.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((tcp, _)) => {
                        let _ = tcp.set_nonblocking(false);
                        let server = serving.clone();
                        thread::spawn(move || server.run(tcp));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(server)
    }

    fn id(&self) -> String {
        format!("i-{:08x}", self.number)
    }

    fn entry(&self) -> String {
        let address = self.address;
        format!(
            "{{\"service\":\"jobs\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":24,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000}}"
        )
    }

    fn run(&self, mut tcp: TcpStream) {
        let Some(head) = read_head(&mut tcp) else { return };
        if read_sized(&mut tcp, &head).is_none() || self.is_gone.load(Ordering::Relaxed) {
            return;
        }
        let id = head.field("x-lycheewood-request-id").to_owned();
        let index = {
            let mut arrivals = self.arrivals.lock().expect("no panic");
            let server = self.number;
            arrivals.push(Arrival { id: id.clone(), server, at: Instant::now(), is_answered: false });
            arrivals.len() - 1
        };
        thread::sleep(Duration::from_millis(JOB_MS));
        // The process of a server that has ended answers nothing more.
        if self.is_gone.load(Ordering::Relaxed) {
            return;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Lycheewood-Request-Id: {id}\r\nX-Lycheewood-Response-Seal: 0.{id}\r\n\
             Content-Length: 4\r\nConnection: close\r\n\r\ndone"
        );
        if tcp.write_all(answer.as_bytes()).is_ok() {
            self.arrivals.lock().expect("no panic")[index].is_answered = true;
        }
    }
}

const JOB_CONFIGURATION: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"job.example\",\
    \"path_prefix\":\"/job/\",\"kind\":\"non_idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\
    \"service\":\"jobs\",\"max_attempts\":2,\"anonymous\":false,\"sticky\":false}],\"services\":[{\"name\":\"jobs\",\
    \"health_path\":\"/health\",\"max_connections\":900,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\
    \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
    \"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"]}]}";

/// Sends one request after the other on a kept connection until `is_over`. Gives the answers by id.
fn send_jobs(front: SocketAddr, caller: &str, is_over: &AtomicBool) -> Vec<(String, Option<u16>)> {
    let mut answers = Vec::new();
    let mut kept: Option<TcpStream> = None;
    for number in 0_u32.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let Some(mut tcp) = kept.take().or_else(|| TcpStream::connect(front).ok()) else { break };
        let _ = tcp.set_read_timeout(Some(Duration::from_secs(5)));
        let id = format!("{caller}-{number:08x}");
        let request = format!(
            "POST /job/{id} HTTP/1.1\r\nHost: job.example\r\nX-Lycheewood-Request-Id: {id}\r\n\
             X-Lycheewood-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nhi"
        );
        let sent = tcp.write_all(request.as_bytes());
        let head = sent.ok().and_then(|()| read_head(&mut tcp));
        let status = head.as_ref().and_then(|head| head.line.split(' ').nth(1)?.parse().ok());
        let is_whole = head.as_ref().is_some_and(|head| read_sized(&mut tcp, head).is_some());
        if is_whole && head.is_some_and(|head| head.field("connection") != "close") {
            kept = Some(tcp);
        }
        answers.push((id, status));
        thread::sleep(Duration::from_millis(5));
    }
    answers
}

fn reader_freeze(binary: &Path, trouble: bool) -> Outcome<(bool, String)> {
    let store = Store::default();
    store.put("keyed.op", "config", JOB_CONFIGURATION);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    for number in 0..JOB_SERVERS {
        let server = JobServer::start(number, &arrivals)?;
        store.put("keyed.servers", &server.id(), &server.entry());
        servers.push(server);
    }
    let serving = store.clone();
    let address = serve(own_ip(9), move |tcp| serving.serve(tcp))?;
    let mut gateways = Vec::new();
    for number in 1..=3 {
        gateways.push(Gateway::start(binary, number, own_ip(10 + number), address)?);
    }
    // The first by name reads for all; the others stop to read within this time.
    thread::sleep(Duration::from_secs(4));
    let begun = Instant::now();
    let ms = |at: Instant| at.duration_since(begun).as_secs_f64() * 1_000.0;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    // Callers use the second and the third instance only, which are never touched.
    for gateway in &gateways[1..] {
        let front = SocketAddr::from((gateway.ip, FRONT_PORT));
        for caller in 0..JOB_CALLERS {
            let (name, is_over) = (format!("{}-{caller}", gateway.ip.octets()[3]), Arc::clone(&is_over));
            callers.push(thread::spawn(move || send_jobs(front, &name, &is_over)));
        }
    }
    let mut removals = Vec::new();
    for server in &servers[..LEAVING_SERVERS] {
        thread::sleep(Duration::from_secs(4));
        // Waits for a read of the list that has waited for most of its second.
        let read = loop {
            let read = store.last_list_read().ok_or("nobody reads the list of servers")?;
            if read.elapsed() < FROZEN_AT_AGE {
                break read;
            }
            thread::sleep(Duration::from_millis(5));
        };
        thread::sleep((read + FROZEN_AT_AGE).saturating_duration_since(Instant::now()));
        if trouble {
            gateways[0].signal(SIGSTOP);
        }
        let frozen = Instant::now();
        thread::sleep(Duration::from_millis(20));
        store.put("keyed.servers", &server.id(), "");
        // After the store has taken it, so that no request counts as later than it is.
        let removed = Instant::now();
        removals.push(removed);
        thread::sleep((frozen + FREEZE).saturating_duration_since(Instant::now()));
        if trouble {
            gateways[0].signal(SIGCONT);
        }
        thread::sleep((removed + LEAVES_AFTER).saturating_duration_since(Instant::now()));
        server.is_gone.store(true, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    let mut answers = HashMap::new();
    for caller in callers {
        answers.extend(caller.join().map_err(|_| "a caller panicked".to_owned())?);
    }
    let arrivals = arrivals.lock().expect("no panic");
    let mut text = format!("trouble={trouble} requests={} runs={}\n", answers.len(), arrivals.len());
    let mut late = 0;
    let mut lines = String::new();
    for arrival in arrivals.iter() {
        let Some(removed) = removals.get(arrival.server) else { continue };
        if arrival.at <= *removed {
            continue;
        }
        let after_ms = ms(arrival.at) - ms(*removed);
        let is_late = after_ms > DRAIN_MS;
        late += usize::from(is_late);
        let status = answers.get(&arrival.id).copied().flatten();
        let _ = writeln!(
            lines,
            "server {} request {} reached it {after_ms:.1} ms after its removal, answered by it={} status={status:?}{}",
            arrival.server,
            arrival.id,
            arrival.is_answered,
            if is_late { " DRAIN" } else { "" }
        );
    }
    let mut statuses: BTreeMap<Option<u16>, usize> = BTreeMap::new();
    for status in answers.values() {
        *statuses.entry(*status).or_default() += 1;
    }
    let lost = arrivals.iter().filter(|arrival| !arrival.is_answered).count();
    let _ = writeln!(
        text,
        "answers by status={statuses:?}\nreached a server more than {DRAIN_MS} ms after its removal={late}\n\
         run and not answered, because the server had ended={lost}"
    );
    Ok((late > 0, text + &lines))
}
