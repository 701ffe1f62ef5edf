//! Messages between entry instances: heartbeats and quarantine notices in datagrams, and shared state over HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode, Uri};
use prometheus::{IntCounter, IntCounterVec};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, UdpSocket};

use crate::adapters::http::{HttpClient, HttpError};
use crate::adapters::instance_port::{InstanceLimits, refusal, serve_instances};
use crate::clock::{Clock, Timestamp};
use crate::controllers::peers::StateSource;
use crate::decisions::quarantine::record::QuarantineEntry;
use crate::decisions::readers::StateFetch;
use crate::wire::heartbeat::{Heartbeat, SharedState};
use crate::wire::permit_message::PermitMessage;
use crate::wire::quarantine_notice::QuarantineNotice;

/// The largest datagram that is read, in bytes. A heartbeat with 200 endpoints has about 5,000.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Time without an unreadable datagram after which the next one is logged again, in milliseconds.
const UNREADABLE_QUIET_MS: u64 = 60_000;
/// Limits of the port at which others read the state. All gateways of a failure domain may read it at once after a change,
/// which are 107 when 320 instances have three domains.
const LIMITS: InstanceLimits =
    InstanceLimits { port: "state", max_connections: 128, max_body_bytes: 0, total_ms: 2_000 };
/// The longest wait for another instance's state, in milliseconds.
const FETCH_MS: u64 = 1_000;
/// The longest wait for a connection to another instance, in milliseconds.
const CONNECT_MS: u64 = 300;
const STATE_PATH: &str = "/state";
/// Queries that ask for parts of the state.
const ROUTES_QUERY: &str = "routes";
const ENDPOINTS_QUERY: &str = "servers";

/// Sends a heartbeat to each address. Datagrams that the system does not take at once are dropped: the
/// next heartbeat says more.
pub(crate) fn send(
    socket: &UdpSocket,
    heartbeat: &Heartbeat,
    addresses: impl Iterator<Item = SocketAddr>,
) {
    let bytes = encode(heartbeat);
    for address in addresses {
        let _ = socket.try_send_to(&bytes, address);
    }
}

/// Sends entries of the quarantine to each address.
pub(crate) fn send_notice(
    socket: &UdpSocket,
    entries: &[QuarantineEntry],
    addresses: impl Iterator<Item = SocketAddr>,
) {
    let bytes = encode(&QuarantineNotice { quarantine: entries.to_vec() });
    for address in addresses {
        let _ = socket.try_send_to(&bytes, address);
    }
}

/// Sends a message about permits.
pub(crate) fn send_permit_message(
    socket: &UdpSocket,
    message: &PermitMessage,
    address: SocketAddr,
) {
    let _ = socket.try_send_to(&encode(message), address);
}

/// A datagram of another instance.
pub(crate) enum Datagram {
    Heartbeat(Box<Heartbeat>),
    Permit(PermitMessage),
    Quarantine(QuarantineNotice),
}

impl Datagram {
    fn decode(bytes: &[u8]) -> Option<Self> {
        // A heartbeat is an array, and the others are maps with different keys, so no datagram can be read as two.
        let heartbeat = decode(bytes).map(Box::new).map(Self::Heartbeat);
        let permit = || decode(bytes).map(Self::Permit);
        heartbeat.or_else(permit).or_else(|| decode(bytes).map(Self::Quarantine))
    }
}

/// Receives the datagrams of other instances.
pub(crate) struct DatagramReceiver {
    socket: Arc<UdpSocket>,
    buffer: Vec<u8>,
    clock: Clock,
    /// Datagrams that could not be read.
    unreadable: IntCounter,
    /// When the last of them arrived.
    last_unreadable: Option<Timestamp>,
}

impl DatagramReceiver {
    pub(crate) fn new(socket: Arc<UdpSocket>, clock: Clock, unreadable: IntCounter) -> Self {
        let buffer = vec![0; MAX_DATAGRAM_BYTES];
        Self { socket, buffer, clock, unreadable, last_unreadable: None }
    }

    /// Waits for the next datagram. Those that cannot be read are dropped.
    pub(crate) async fn receive(&mut self) -> io::Result<(SocketAddr, Datagram)> {
        loop {
            let (length, from) = self.socket.recv_from(&mut self.buffer).await?;
            match Datagram::decode(&self.buffer[..length]) {
                Some(datagram) => return Ok((from, datagram)),
                None => self.note_unreadable(from, length),
            }
        }
    }

    /// Counts a datagram that cannot be read. Any client can send them, so a line is written only for the first one.
    fn note_unreadable(&mut self, from: SocketAddr, length: usize) {
        self.unreadable.inc();
        let now = self.clock.now();
        let last = self.last_unreadable.replace(now);
        if last.is_none_or(|last| now.ms_since(last) >= UNREADABLE_QUIET_MS) {
            log::warn!("datagrams unreadable from={from} bytes={length}");
        }
    }
}

/// Asks another instance for parts of its state.
pub(crate) async fn fetch(fetch: &StateFetch) -> Result<SharedState, HttpError> {
    let address = fetch.source;
    let client = HttpClient::new(address, CONNECT_MS);
    let parts = [(fetch.routes, ROUTES_QUERY), (fetch.endpoints, ENDPOINTS_QUERY)];
    let parts = parts.into_iter().filter(|(is_wanted, _)| *is_wanted).map(|(_, name)| name);
    let path = format!("{STATE_PATH}?{}", parts.collect::<Vec<_>>().join("&"));
    let bytes = client.call(Method::GET, &path, Bytes::new(), FETCH_MS).await?;
    decode(&bytes)
        .ok_or_else(|| HttpError::Protocol { address, reason: "the state cannot be read".into() })
}

/// Serves this instance's state to others. `ended` counts the connections that are ended without an answer.
pub(crate) async fn serve(
    listener: TcpListener,
    source: Arc<StateSource>,
    ended: Option<IntCounterVec>,
) {
    serve_instances(listener, LIMITS, ended, move |call| {
        let source = Arc::clone(&source);
        async move { reply(&call.uri, &source).await }
    })
    .await;
}

async fn reply(uri: &Uri, source: &StateSource) -> Response<Full<Bytes>> {
    if uri.path() == STATE_PATH {
        let parts: Vec<&str> = uri.query().unwrap_or_default().split('&').collect();
        let (routes, endpoints) = (parts.contains(&ROUTES_QUERY), parts.contains(&ENDPOINTS_QUERY));
        return Response::new(Full::new(encode(&source.state(routes, endpoints).await)));
    }
    refusal(StatusCode::NOT_FOUND)
}

pub(crate) fn encode<T: Serialize>(message: &T) -> Bytes {
    let mut bytes = Vec::with_capacity(256);
    // Writing to a vector fails only when a type's `Serialize` does, and none of these can.
    ciborium::into_writer(message, &mut bytes).unwrap_or_default();
    Bytes::from(bytes)
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
