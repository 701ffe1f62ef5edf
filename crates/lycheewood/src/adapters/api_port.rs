//! HTTP server of a port that answers short questions: readiness, addresses, metrics or state.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_io_timeout::TimeoutStream;

use crate::adapters::lingering::bound_receive_buffers;
use crate::clock::Clock;
use crate::connection_table::{ConnectionSlot, ConnectionTable};
use crate::memory_budget::MemoryBudget;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time without progress of a response after which the connection is closed, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 10_000;

/// Limits of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApiLimits {
    /// Most connections at once. The one that has been idle longest makes room for a new one.
    pub max_connections: usize,
    /// The longest time to receive the head of a request, and the longest idle time, in milliseconds.
    pub head_timeout_ms: u64,
}

/// Serves requests on `listener` until the task is dropped. The memory of its connections is not taken from the
/// budget, because their number is small and the port must answer when the budget is used up.
pub async fn serve_api<H, F>(listener: TcpListener, limits: ApiLimits, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    bound_receive_buffers(&listener);
    let unlimited = MemoryBudget::for_machine(0);
    let table = ConnectionTable::new(limits.max_connections, unlimited, Clock::system());
    loop {
        let Ok((tcp, _)) = listener.accept().await else { continue };
        table.make_room().await;
        tokio::spawn(serve_connection(tcp, table.open(), limits, handle.clone()));
    }
}

async fn serve_connection<H, F>(tcp: TcpStream, slot: ConnectionSlot, limits: ApiLimits, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let _ = tcp.set_nodelay(true);
    let slot = Arc::new(slot);
    let service = service_fn(|request| {
        let guard = slot.begin_request();
        let reply = handle(request);
        async move {
            let reply = reply.await;
            drop(guard);
            Ok::<_, Infallible>(reply)
        }
    });
    let mut io = TimeoutStream::new(tcp);
    io.set_write_timeout(Some(Duration::from_millis(WRITE_TIMEOUT_MS)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(Box::pin(io)), service);
    tokio::select! {
        biased;
        // A connection that the caller breaks off needs no handling.
        _ = connection => {}
        () = slot.closed_to_make_room() => {}
    }
}
