//! A gateway, scripted endpoints, and callers that read whole answers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lycheewood::{
    EndpointAvailability, EndpointChange, EndpointEntry, EndpointRecord, FailureDomain, Gateway,
    GatewaySettings, GroupMembership, HeaderNames, InstanceId, Offset, RawKeyHolder, RawRoute,
    RawRouteTable, RawShare, RequestKind, RetryLimits, ShutdownSettings, TargetName,
};

const WAIT: Duration = Duration::from_secs(10);

/// What an endpoint does with one connection.
#[derive(Clone)]
pub(crate) enum Act {
    /// Writes these bytes and closes the connection.
    Write(Vec<u8>),
    /// Writes these bytes and keeps the connection open without a word until the caller closes it.
    Hang(Vec<u8>),
}

/// One request as an endpoint saw it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) endpoint: String,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

/// A scripted endpoint's answer to a request.
type Script = dyn Fn(&Seen) -> Act + Send + Sync;

pub(crate) struct World {
    pub(crate) gateway: Option<Gateway>,
    pub(crate) seen: Arc<Mutex<Vec<Seen>>>,
    /// Tells of each connection that a caller of a hanging endpoint has closed.
    pub(crate) closed: Receiver<String>,
    closing: Sender<String>,
    next_offset: u64,
}

impl World {
    pub(crate) fn start() -> Self {
        let header = |name: &'static str| name.parse().expect("a header name");
        let any = "127.0.0.1:0".parse().expect("an address");
        let settings = GatewaySettings {
            instance: InstanceId::new("gateway"),
            failure_domain: FailureDomain::new("a"),
            caller_address: any,
            peer_address: any,
            relay_address: any,
            seeds: Vec::new(),
            metrics_address: None,
            headers: HeaderNames {
                request_id: header("x-id"),
                deadline_ms: header("x-deadline"),
                workspace: header("x-workspace"),
                expected_endpoint: header("x-expect"),
                signature: header("x-seal"),
                not_run: header("x-not-run"),
                failed_endpoint: header("x-failed"),
            },
            retry_limits: RetryLimits { ratio: 0.2, slack: 1_000.0 },
            shutdown: ShutdownSettings { linger_ms: 300, min_refusing_ms: 0 },
            shutdown_timeout_ms: 5_000,
            heartbeat_ms: 50,
            max_callers: 100,
        };
        let gateway = Gateway::start(settings).expect("a gateway");
        let (closing, closed) = channel();
        Self { gateway: Some(gateway), seen: Arc::default(), closed, closing, next_offset: 0 }
    }

    /// A gateway with the usual routes.
    pub(crate) fn with_routes() -> Self {
        let world = Self::start();
        world.offer(routes(1));
        world
    }

    fn gateway(&self) -> &Gateway {
        self.gateway.as_ref().expect("the gateway runs")
    }

    pub(crate) fn offer(&self, table: RawRouteTable) {
        self.gateway().handle().offer_routes(table);
    }

    /// Starts an endpoint of the service `work` that follows a script, and lists it.
    pub(crate) fn endpoint(
        &mut self,
        id: &str,
        script: impl Fn(&Seen) -> Act + Send + Sync + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (seen, closing) = (Arc::clone(&self.seen), self.closing.clone());
        let script: Arc<Script> = Arc::new(script);
        let name = id.to_owned();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let (seen, script) = (Arc::clone(&seen), Arc::clone(&script));
                let (closing, name) = (closing.clone(), name.clone());
                thread::spawn(move || serve(tcp, &name, &seen, script.as_ref(), &closing));
            }
        });
        self.list(id, address, EndpointAvailability::Ready);
        address
    }

    /// Starts an endpoint that is a rank of a group of two.
    pub(crate) fn rank(
        &mut self,
        id: &str,
        rank: usize,
        script: impl Fn(&Seen) -> Act + Send + Sync + 'static,
    ) {
        let address = self.endpoint(id, script);
        let group =
            GroupMembership { name: "g".to_owned(), epoch: 1, rank, size: 2, is_open: true };
        self.list_as(id, address, EndpointAvailability::Ready, Some(group));
    }

    /// Lists an endpoint.
    pub(crate) fn list(&mut self, id: &str, address: SocketAddr, state: EndpointAvailability) {
        self.list_as(id, address, state, None);
    }

    fn list_as(
        &mut self,
        id: &str,
        address: SocketAddr,
        state: EndpointAvailability,
        group: Option<GroupMembership>,
    ) {
        let entry = EndpointEntry {
            id: InstanceId::new(id),
            service: TargetName::new("work"),
            address,
            failure_domain: FailureDomain::new("a"),
            state,
            slots: 4,
            group,
        };
        let offset = Offset(self.next_offset);
        self.next_offset += 1;
        let change = EndpointChange {
            offset,
            id: InstanceId::new(id),
            record: EndpointRecord::Entry(entry),
        };
        self.gateway().handle().apply_endpoints(vec![change], offset.next());
    }

    /// Sends a request on a connection of its own, once the gateway knows routes and endpoints.
    pub(crate) fn call(&self, request: &str) -> Reply {
        self.wait_until_ready();
        self.call_now(request)
    }

    /// Whether the platform's adapter would read the endpoint list again at once.
    pub(crate) fn is_list_doubted(&self) -> bool {
        let handle = self.gateway().handle();
        let doubted = async {
            tokio::time::timeout(Duration::from_millis(20), handle.endpoint_list_doubted()).await
        };
        self.gateway().traffic().block_on(doubted).is_ok()
    }

    pub(crate) fn wait_until_ready(&self) {
        // Far longer than it takes, so that a fault shows as a failure.
        for _ in 0..3_000 {
            if self.gateway().handle().is_ready() {
                return;
            }
            thread::park_timeout(Duration::from_millis(5));
        }
        panic!("the gateway does not become ready");
    }

    pub(crate) fn call_now(&self, request: &str) -> Reply {
        Reply::read(self.connect(), request)
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let tcp = TcpStream::connect(self.gateway().caller_address()).expect("a connection");
        tcp.set_read_timeout(Some(WAIT)).expect("a timeout");
        tcp
    }

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("no panic").clone()
    }

    /// Waits until an endpoint notices that the connection of a request was closed.
    pub(crate) fn wait_for_close(&self) -> String {
        self.closed.recv_timeout(WAIT).expect("the connection is closed")
    }
}

fn serve(
    mut tcp: TcpStream,
    name: &str,
    seen: &Mutex<Vec<Seen>>,
    script: &Script,
    closing: &Sender<String>,
) {
    let Some((head, body)) = read_request(&mut tcp) else { return };
    let request = Seen { endpoint: name.to_owned(), head, body };
    seen.lock().expect("no panic").push(request.clone());
    match script(&request) {
        Act::Write(bytes) => {
            let _ = tcp.write_all(&bytes);
            let _ = tcp.shutdown(Shutdown::Write);
            // Unread bytes would turn the close into a reset.
            let _ = tcp.read_to_end(&mut Vec::new());
        }
        Act::Hang(bytes) => {
            let _ = tcp.write_all(&bytes);
            let _ = tcp.read_to_end(&mut Vec::new());
            let _ = closing.send(name.to_owned());
        }
    }
}

fn read_request(tcp: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if tcp.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).ok()?.to_ascii_lowercase();
    let length = field(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    tcp.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// The value of a header in a head in lower case.
pub(crate) fn field(head: &str, name: &str) -> Option<String> {
    let prefix = format!("{name}:");
    head.lines().find_map(|line| line.strip_prefix(&prefix)).map(|value| value.trim().to_owned())
}

/// An answer as the caller read it.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body has the length that the head announces.
    pub(crate) is_whole: bool,
}

impl Reply {
    /// Sends a request on a connection and reads until it ends.
    pub(crate) fn read(mut tcp: TcpStream, request: &str) -> Self {
        tcp.write_all(request.as_bytes()).expect("the request is sent");
        let mut bytes = Vec::new();
        // A cut answer ends in a reset or early; both show in what was read.
        let _ = tcp.read_to_end(&mut bytes);
        Self::parse(&bytes)
    }

    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let head = head.to_ascii_lowercase();
        let (body, is_whole) = if head.contains("transfer-encoding: chunked") {
            dechunk(rest)
        } else {
            let length = field(&head, "content-length").and_then(|value| value.parse().ok());
            (rest.to_owned(), length == Some(rest.len()))
        };
        Self { status, head, body, is_whole }
    }
}

fn dechunk(mut text: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((length, rest)) = text.split_once("\r\n") {
        let Ok(length) = usize::from_str_radix(length, 16) else { break };
        if length == 0 {
            return (body, true);
        }
        let Some(chunk) = rest.get(..length) else { break };
        body.push_str(chunk);
        text = rest.get(length + 2..).unwrap_or("");
    }
    (body, false)
}

/// A request of one kind, with id `id`.
pub(crate) fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: One.Example:80\r\nX-Id: {id}\r\nX-Deadline: 3000\r\n\
         Authorization: Bearer key-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// An endpoint's good answer with a length.
pub(crate) fn good(seen: &Seen, body: &str) -> Vec<u8> {
    answer(seen, "200 OK", "X-Seal: s\r\n", body)
}

/// An endpoint's answer with further header lines.
pub(crate) fn answer(seen: &Seen, status: &str, lines: &str, body: &str) -> Vec<u8> {
    let id = field(&seen.head, "x-id").unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nX-Id: {id}\r\n{lines}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn route(name: &str, kind: RequestKind, max_attempts: u32) -> RawRoute {
    RawRoute {
        name: name.to_owned(),
        host: "one.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout_ms: 2_000,
        target_ms: 200,
        priority: 1,
        split: vec![RawShare { service: "work".to_owned(), weight: 1 }],
        max_attempts,
        is_open: false,
        is_resumable: kind == RequestKind::Streaming,
        target_gap_ms: None,
    }
}

/// Routes of each kind to the service `work`, and one workspace.
pub(crate) fn routes(version: u64) -> RawRouteTable {
    RawRouteTable {
        version,
        routes: vec![
            route("read", RequestKind::Idempotent, 2),
            route("once", RequestKind::NonIdempotent, 2),
            route("stream", RequestKind::Streaming, 3),
        ],
        workspaces: vec![RawKeyHolder {
            name: "team".to_owned(),
            keys: vec!["key-1".to_owned()],
            priority: None,
        }],
        ..RawRouteTable::default()
    }
}
