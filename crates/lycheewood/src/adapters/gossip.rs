//! Messages between entry instances: heartbeats and quarantine notices in datagrams, and shared state over HTTP.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::timeout;

use crate::adapters::http::{HttpClient, HttpError};
use crate::controllers::peers::StateSource;
use crate::decisions::quarantine::record::QuarantineEntry;
use crate::decisions::readers::StateFetch;
use crate::wire::heartbeat::{Heartbeat, SharedState};
use crate::wire::quarantine_notice::QuarantineNotice;

/// The largest datagram that is read, in bytes. A heartbeat with 200 endpoints has about 5,000.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// The longest time that another instance takes to read the state, in milliseconds.
const SERVE_MS: u64 = 2_000;
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

/// A datagram of another instance.
pub(crate) enum Datagram {
    Heartbeat(Box<Heartbeat>),
    Quarantine(QuarantineNotice),
}

impl Datagram {
    fn decode(bytes: &[u8]) -> Option<Self> {
        // A heartbeat is an array and a notice is a map, so no datagram can be read as both.
        let heartbeat = decode(bytes).map(Box::new).map(Self::Heartbeat);
        heartbeat.or_else(|| decode(bytes).map(Self::Quarantine))
    }
}

/// Waits for the next datagram. Those that cannot be read are dropped.
pub(crate) async fn receive(socket: &UdpSocket) -> io::Result<(SocketAddr, Datagram)> {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = socket.recv_from(&mut buffer).await?;
        match Datagram::decode(&buffer[..length]) {
            Some(datagram) => return Ok((from, datagram)),
            None => log::warn!("datagram unreadable from={from} bytes={length}"),
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

/// Serves this instance's state to others.
pub(crate) async fn serve(listener: TcpListener, source: Arc<StateSource>) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else { continue };
        let source = Arc::clone(&source);
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let source = Arc::clone(&source);
                async move { Ok::<_, Infallible>(reply(&request, &source).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .keep_alive(false)
                .serve_connection(TokioIo::new(tcp), service);
            let _ = timeout(Duration::from_millis(SERVE_MS), connection).await;
        });
    }
}

async fn reply(request: &Request<Incoming>, source: &StateSource) -> Response<Full<Bytes>> {
    if request.uri().path() == STATE_PATH {
        let parts: Vec<&str> = request.uri().query().unwrap_or_default().split('&').collect();
        let (routes, endpoints) = (parts.contains(&ROUTES_QUERY), parts.contains(&ENDPOINTS_QUERY));
        return Response::new(Full::new(encode(&source.state(routes, endpoints).await)));
    }
    let mut missing = Response::new(Full::default());
    *missing.status_mut() = StatusCode::NOT_FOUND;
    missing
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
