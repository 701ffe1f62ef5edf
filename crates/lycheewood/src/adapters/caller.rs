//! The HTTP front end for callers.

mod decode;
mod encode;

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request as HttpRequest, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};
use tokio_io_timeout::TimeoutStream;

use crate::adapters::forward::headers::max_header_fields;
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
    let slots = Arc::new(Semaphore::new(state.settings.bounds.max_connections));
    let all = u32::try_from(state.settings.bounds.max_connections).unwrap_or(u32::MAX);
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else { return Ok(()) };
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((tcp, _)) = accepted else { continue };
                let (state, stop) = (Arc::clone(&state), stop.clone());
                tokio::spawn(async move {
                    state.metrics.callers_connected.inc();
                    connection(tcp, Arc::clone(&state), stop).await;
                    state.metrics.callers_connected.dec();
                    drop(slot);
                });
            }
            () = stopped(&mut stop) => {
                drop(slot);
                break;
            }
        }
    }
    drop(listener);
    // Every connection holds a slot until it has ended.
    let _all_ended = slots.acquire_many(all).await;
    Ok(())
}

async fn connection(tcp: TcpStream, state: Arc<EntryState>, mut stop: watch::Receiver<bool>) {
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
    let service = service_fn(|request| {
        requested.notify_one();
        let (state, caller) = (Arc::clone(&state), caller.as_str());
        async move { Ok::<_, Infallible>(handle(state, caller, request).await) }
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
        _ = connection.as_mut() => {}
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

async fn handle(
    state: Arc<EntryState>,
    caller: &str,
    request: HttpRequest<Incoming>,
) -> Response<ReplyBody> {
    let asked = match decode::decode(request, &state.settings.bounds).await {
        Ok(asked) => asked,
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
