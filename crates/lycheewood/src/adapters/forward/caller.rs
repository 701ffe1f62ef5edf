//! HTTP front end for callers of forwarded requests.

mod encode;

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::{Authority, PathAndQuery};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_io_timeout::TimeoutStream;

use crate::adapters::caller_body::CallerBody;
use crate::adapters::forward::caller::encode::{RequestRecord, ResponseBody};
use crate::adapters::forward::headers::{detach_from_buffer, max_header_fields};
use crate::adapters::lingering::{LingeringStream, UnreadBody, bound_receive_buffers};
use crate::connection_table::{ConnectionSlot, RequestGuard};
use crate::decisions::cost::{LengthHint, TokenUsage};
use crate::filters::forward;
use crate::filters::forward::exchange::RequestHead;
use crate::gateway::GatewayState;
use crate::lifecycle::shutdown::Phase;
use crate::outcome::RequestError;
use crate::routes::raw::CallerLimits;

/// Size of the kernel's send buffer, which limits how much of a response a slow caller leaves buffered.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Time without progress of a response after which the connection is closed, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 10_000;
/// Interval of TCP keepalive probes, in seconds.
const KEEPALIVE_INTERVAL_S: u64 = 3;
/// On a graceful shutdown, how long a new connection may take to send its first request, in milliseconds.
const FIRST_REQUEST_GRACE_MS: u64 = 500;
/// Maximum number of prompt parts of a request that are recognized at a crash of an endpoint.
const MAX_SHARED_PARTS: usize = 64;
/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts callers until the shutdown phase refuses requests, then closes idle connections and waits for busy
/// ones.
pub(crate) async fn serve(listener: TcpListener, state: Arc<GatewayState>) -> io::Result<()> {
    bound_receive_buffers(&listener);
    let mut phases = state.subscribe_phase();
    loop {
        tokio::select! {
            accepted = accept(&listener, &state) => {
                let Ok((tcp, slot)) = accepted else { continue };
                let state = Arc::clone(&state);
                tokio::spawn(async move {
                    state.metrics.callers_connected.inc();
                    serve_connection(tcp, &state, &slot).await;
                    state.metrics.callers_connected.dec();
                });
            }
            _ = phases.wait_for(|phase| *phase == Phase::Refusing) => break,
        }
    }
    drop(listener);
    state.callers.all_ended().await;
    Ok(())
}

/// Accepts one connection, and holds it until there is room for it.
async fn accept(
    listener: &TcpListener,
    state: &GatewayState,
) -> io::Result<(TcpStream, ConnectionSlot)> {
    let (tcp, _) = listener.accept().await?;
    if !state.callers.has_room() {
        state.metrics.limits.accepting.set(0);
        log::warn!("all caller connections are in use max={}", state.settings.max_callers);
        state.callers.make_room().await;
        state.metrics.limits.accepting.set(1);
        log::info!("caller connections are taken again");
    }
    state.callers.make_room().await;
    Ok((tcp, state.callers.open()))
}

async fn serve_connection(tcp: TcpStream, state: &Arc<GatewayState>, slot: &ConnectionSlot) {
    let limits = state.routes.load().as_ref().map(|routes| routes.table.caller_limits);
    let limits = limits.unwrap_or_default();
    let _ = tcp.set_nodelay(true);
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_interval(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_retries(2);
    let socket = SockRef::from(&tcp);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    let requested = Notify::new();
    let (tcp, unread) = LingeringStream::new(tcp);
    let service = service_fn(|request| {
        requested.notify_one();
        let (state, unread, guard) = (Arc::clone(state), unread.clone(), slot.begin_request());
        async move { Ok::<_, Infallible>(handle(&state, request, unread, guard).await) }
    });
    let mut io = TimeoutStream::new(tcp);
    io.set_write_timeout(Some(Duration::from_millis(WRITE_TIMEOUT_MS)));
    let CallerLimits { max_header_bytes, idle_timeout_ms, .. } = limits;
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper's header timeout also covers the idle time before a request, so the longer limit applies to
        // both.
        .header_read_timeout(Duration::from_millis(idle_timeout_ms))
        .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(max_header_fields(max_header_bytes))
        .serve_connection(TokioIo::new(Box::pin(io)), service);
    tokio::pin!(connection);
    let mut phases = state.subscribe_phase();
    tokio::select! {
        // The connection first: a request that has arrived keeps it open.
        biased;
        _ = connection.as_mut() => return,
        () = slot.closed_to_make_room() => {
            state.metrics.limits.idle_closed.inc();
            return;
        }
        _ = phases.wait_for(|phase| *phase == Phase::Refusing) => {}
    }
    // On a graceful shutdown hyper closes a connection on which it has read nothing, although the first request
    // may be in transit.
    let first = timeout(Duration::from_millis(FIRST_REQUEST_GRACE_MS), requested.notified());
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = first => {}
    }
    // Closes the connection after the response in progress.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn handle(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
    unread: UnreadBody,
    guard: RequestGuard,
) -> Response<ResponseBody> {
    let (head, body) = match decode(state, request) {
        Ok((head, body)) => (head, CallerBody::new(body, unread.clone())),
        Err((error, body)) => {
            drop(CallerBody::new(body, unread.clone()));
            let record = RequestRecord::start(state, None);
            return closing_if_unread(encode::error_response(record, &error), &unread);
        }
    };
    let head = Arc::new(head);
    let record = RequestRecord::start(state, Some(Arc::clone(&head)));
    let response = match forward::run(state, &head, body).await {
        Ok(response) => encode::forwarded_response(record, response, guard),
        Err(error) => encode::error_response(record, &error),
    };
    closing_if_unread(response, &unread)
}

/// Tells the caller that the connection ends if the rest of its body will not be read.
fn closing_if_unread(
    mut response: Response<ResponseBody>,
    unread: &UnreadBody,
) -> Response<ResponseBody> {
    if unread.is_set() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The head and the body of a request. An error comes with the body, which has not been read.
fn decode(
    state: &GatewayState,
    request: Request<Incoming>,
) -> Result<(RequestHead, Incoming), (RequestError, Incoming)> {
    let (parts, body) = request.into_parts();
    match decode_head(state, parts) {
        Ok(head) => Ok((head, body)),
        Err(error) => Err((error, body)),
    }
}

fn decode_head(state: &GatewayState, parts: Parts) -> Result<RequestHead, RequestError> {
    let names = &state.settings.headers;
    let header_text = |name: &hyper::header::HeaderName| {
        parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
    };
    let host = parts.uri.authority().map(Authority::as_str).or_else(|| header_text(&HOST));
    let host = host.ok_or_else(|| RequestError::field("host", "name the host"))?.to_owned();
    let request_id = header_text(&names.request_id)
        .filter(|id| !id.is_empty())
        .ok_or_else(|| RequestError::field("request id", "give the request an id"))?
        .to_owned();
    let deadline_ms = header_text(&names.deadline_ms).and_then(|value| value.parse().ok());
    let last_event_id = header_text(&hyper::header::HeaderName::from_static("last-event-id"))
        .and_then(|value| value.parse().ok());
    let token_usage =
        header_text(&names.token_usage).and_then(|text| TokenUsage::try_from(text).ok());
    let length_hint =
        header_text(&names.length_hint).and_then(|text| LengthHint::try_from(text).ok());
    let key = header_text(&AUTHORIZATION).and_then(bearer_token).map(str::to_owned);
    let shared_prompt_parts =
        header_text(&names.prompt_parts).map(shared_parts).unwrap_or_default();
    // Copied, since the target also keeps the buffer that it was read into.
    let copy = |target: &PathAndQuery| target.as_str().parse().unwrap_or_else(|_| target.clone());
    let target = parts.uri.path_and_query().map(copy);
    let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let mut headers = parts.headers;
    detach_from_buffer(&mut headers);
    Ok(RequestHead {
        method: parts.method,
        target,
        host,
        request_id,
        key,
        shared_prompt_parts,
        deadline_ms,
        token_usage,
        length_hint,
        last_event_id,
        received: state.clock.now(),
        headers,
    })
}

/// The ids of the parts of a prompt that other requests may share: all but the last one.
fn shared_parts(parts: &str) -> Vec<String> {
    let ids = parts.split(',').map(|part| part.split(':').next().unwrap_or_default().trim());
    let mut ids: Vec<String> = ids.map(str::to_owned).collect();
    ids.pop();
    ids.truncate(MAX_SHARED_PARTS);
    ids
}

/// The token of a bearer `Authorization` header.
fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
