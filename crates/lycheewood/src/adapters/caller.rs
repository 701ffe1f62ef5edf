//! The HTTP front end for callers.

mod decode;
mod encode;

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request as HttpRequest, Response, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio_io_timeout::TimeoutStream;

use crate::adapters::caller::decode::CallerError;
use crate::adapters::caller_body::CallerBody;
use crate::adapters::forward::headers::max_header_fields;
use crate::adapters::lingering::{LingeringStream, UnreadBody, bound_receive_buffers};
use crate::connection_table::{ConnectionSlot, RequestGuard};
use crate::entry_state::EntryState;
use crate::filters;
use crate::filters::request::Request;
use crate::ids::RequestKey;
use crate::runtime::stopped;

/// What the kernel may hold of an answer that its caller reads slowly. By default it grows to megabytes,
/// which hides a stalled caller until then.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Body of every reply to a caller.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, Infallible>;

/// How a completion is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// Server-sent events, a token each.
    Events,
    /// One JSON object.
    Whole,
    /// The service's own body.
    Raw,
}

/// What a caller's HTTP request asks of this instance.
pub(crate) enum Asked {
    /// A request for the chain.
    Run(Arc<Request>, Delivery),
    /// What became of a request.
    Outcome(Arc<Request>, RequestKey),
    /// The entry addresses to use.
    Entries,
}

/// Accepts callers until `stop` is set, then ends idle connections and waits for busy ones.
pub(crate) async fn serve(
    listener: TcpListener,
    state: Arc<EntryState>,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()> {
    bound_receive_buffers(&listener);
    loop {
        tokio::select! {
            accepted = accept(&listener, &state) => {
                let Ok((tcp, slot)) = accepted else { continue };
                let (state, stop) = (Arc::clone(&state), stop.clone());
                tokio::spawn(async move {
                    state.metrics.callers_connected.inc();
                    connection(tcp, Arc::clone(&state), &slot, stop).await;
                    state.metrics.callers_connected.dec();
                });
            }
            () = stopped(&mut stop) => break,
        }
    }
    drop(listener);
    state.callers.all_ended().await;
    Ok(())
}

/// Accepts one connection, and holds it until there is room for it.
async fn accept(
    listener: &TcpListener,
    state: &EntryState,
) -> io::Result<(TcpStream, ConnectionSlot)> {
    let (tcp, _) = listener.accept().await?;
    if !state.callers.has_room() {
        let max = state.settings.bounds.max_connections;
        log::warn!("all caller connections are in use max={max}");
        state.callers.make_room().await;
        log::info!("caller connections are taken again");
    }
    state.callers.make_room().await;
    Ok((tcp, state.callers.open()))
}

async fn connection(
    tcp: TcpStream,
    state: Arc<EntryState>,
    slot: &ConnectionSlot,
    mut stop: watch::Receiver<bool>,
) {
    let bounds = state.settings.bounds;
    let stall = Duration::from_millis(bounds.caller_stall_ms);
    let _ = tcp.set_nodelay(true);
    // Finds callers that vanished while their connection was idle.
    let probes = TcpKeepalive::new().with_time(stall).with_interval(stall / 3).with_retries(3);
    let socket = SockRef::from(&tcp);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    // Callers are told entries by their address, the same ones each time.
    let caller = tcp.peer_addr().map(|address| address.ip().to_string()).unwrap_or_default();
    let requested = Notify::new();
    let (tcp, unread) = LingeringStream::new(tcp);
    let service = service_fn(|request| {
        requested.notify_one();
        let (state, caller) = (Arc::clone(&state), caller.as_str());
        let (unread, guard) = (unread.clone(), slot.begin_request());
        async move {
            let mut response = handle(state, caller, request, &unread).await;
            if unread.is_set() {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            // The request is in progress until the last frame of its answer.
            Ok::<_, Infallible>(response.map(|body| hold_body(body, guard)))
        }
    });
    // A caller that reads nothing gives up its answer, or it would hold the entry's memory for good.
    let mut io = TimeoutStream::new(tcp);
    io.set_write_timeout(Some(stall));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(bounds.header_timeout_ms))
        // hyper refuses buffers below 8 KiB.
        .max_buf_size(bounds.max_header_bytes.max(8 * 1024))
        .max_headers(max_header_fields(bounds.max_header_bytes))
        .serve_connection(TokioIo::new(Box::pin(io)), service);
    tokio::pin!(connection);
    tokio::select! {
        // The connection first: a request that has arrived keeps it open.
        biased;
        _ = connection.as_mut() => {}
        () = slot.closed_to_make_room() => state.metrics.idle_closed.inc(),
        () = stopped(&mut stop) => {
            // hyper closes a connection on which it has read nothing, although the first request may be
            // on its way. The header timeout bounds this wait.
            tokio::select! {
                _ = connection.as_mut() => return,
                () = requested.notified() => {}
            }
            // Ends after the answer in flight.
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Keeps `guard` until the body has been sent.
fn hold_body(body: ReplyBody, guard: RequestGuard) -> ReplyBody {
    body.map_frame(move |frame| {
        let _ = &guard;
        frame
    })
    .boxed_unsync()
}

async fn handle(
    state: Arc<EntryState>,
    caller: &str,
    request: HttpRequest<Incoming>,
    unread: &UnreadBody,
) -> Response<ReplyBody> {
    let request = request.map(|body| CallerBody::new(body, unread.clone()));
    let asked = match decode::decode(request, &state).await {
        Ok(asked) => asked,
        Err(CallerError::NoMemory) => return encode::memory_refusal(&state),
        Err(error) => return encode::decode_error(&error),
    };
    match asked {
        Asked::Entries => encode::entries(&state, caller),
        Asked::Outcome(request, key) => {
            let outcome = filters::lookup::run(&state, &request, key).await;
            encode::lookup_response(&state, outcome).await
        }
        Asked::Run(request, delivery) => run(&state, &request, delivery).await,
    }
}

async fn run(
    state: &Arc<EntryState>,
    request: &Arc<Request>,
    delivery: Delivery,
) -> Response<ReplyBody> {
    match filters::run(state, request).await {
        Ok(answer) => encode::answer(state, request, answer, delivery).await,
        Err(error) => {
            encode::count(state, &error);
            encode::error_response(&error)
        }
    }
}
