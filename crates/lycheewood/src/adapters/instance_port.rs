//! HTTP server of a port on which other instances call this one.
//!
//! Any client that finds the address can connect. A connection counts as idle until its call has arrived whole, so an
//! unfinished call is closed before it keeps another instance out.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::IntCounterVec;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::adapters::lingering::bound_receive_buffers;
use crate::clock::Clock;
use crate::connection_table::{ConnectionSlot, ConnectionTable};
use crate::decisions::memory::MemoryUse;
use crate::memory_budget::{BodyBuffer, MemoryBudget};

/// Largest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Memory of a machine whose budget is that of the calls of one port, in bytes: 4 MB are handed out, of which a call may
/// take three quarters. The budget of callers is another one, so that they cannot keep calls out.
const CALLS_MACHINE_BYTES: u64 = 16_000_000;
/// Pause after a connection could not be accepted, in milliseconds. The cause, no free descriptor, would be seen again at
/// once.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Limits of a port.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InstanceLimits {
    /// Name in log lines.
    pub(crate) port: &'static str,
    /// Most connections at once. The one that has been idle longest makes room for a new one.
    pub(crate) max_connections: usize,
    /// Largest body of a call, in bytes.
    pub(crate) max_body_bytes: usize,
    /// The longest time from the start of a connection to the end of its reply, in milliseconds.
    pub(crate) total_ms: u64,
}

/// A call that has arrived whole.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) uri: Uri,
    pub(crate) body: Bytes,
}

/// Why a call is not carried out.
#[derive(Clone, Copy, Debug)]
enum CallError {
    TooLarge,
    /// The connection has ended or its framing is broken.
    Broken,
}

/// What the connections of a port share.
struct InstancePort {
    limits: InstanceLimits,
    table: Arc<ConnectionTable>,
    calls: MemoryBudget,
    /// Connections that were ended before they were answered, by reason.
    ended: Option<IntCounterVec>,
}

impl InstancePort {
    fn count_ended(&self, reason: &'static str) {
        if let Some(ended) = &self.ended {
            ended.with_label_values(&[reason]).inc();
        }
    }

    /// Reads a call to its end. While there is no memory for it, the connections that have been idle longest are closed.
    async fn read_call(
        &self,
        slot: &ConnectionSlot,
        request: Request<Incoming>,
    ) -> Result<Call, CallError> {
        let (parts, mut body) = request.into_parts();
        let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let max_bytes = self.limits.max_body_bytes;
        if announced_bytes > max_bytes {
            return Err(CallError::TooLarge);
        }
        let nothing = self.calls.charge(MemoryUse::Request, 0);
        let mut buffer = BodyBuffer::new(nothing, max_bytes);
        while let Some(frame) = body.frame().await {
            let Ok(bytes) = frame.map_err(|_| CallError::Broken)?.into_data() else { continue };
            if buffer.len() + bytes.len() > max_bytes {
                return Err(CallError::TooLarge);
            }
            slot.push_with_room(&mut buffer, &bytes).await;
        }
        Ok(Call { uri: parts.uri, body: buffer.finish() })
    }
}

/// Serves calls on `listener` until the task is dropped. `ended` counts the connections that are ended before they are
/// answered.
pub(crate) async fn serve_instances<H, F>(
    listener: TcpListener,
    limits: InstanceLimits,
    ended: Option<IntCounterVec>,
    handle: H,
) where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    bound_receive_buffers(&listener);
    let calls = MemoryBudget::for_machine(CALLS_MACHINE_BYTES);
    let table = ConnectionTable::new(limits.max_connections, calls.clone(), Clock::system());
    let port = Arc::new(InstancePort { limits, table, calls, ended });
    loop {
        let (tcp, slot) = accept(&listener, &port.table, limits.port).await;
        tokio::spawn(serve_connection(tcp, slot, Arc::clone(&port), handle.clone()));
    }
}

/// Accepts one connection, and holds it until there is room for it. `port` is the name of the port in log lines.
pub(crate) async fn accept(
    listener: &TcpListener,
    table: &Arc<ConnectionTable>,
    port: &'static str,
) -> (TcpStream, ConnectionSlot) {
    loop {
        if let Ok((tcp, _)) = listener.accept().await {
            table.log_change_of_room(port);
            table.make_room().await;
            return (tcp, table.open());
        }
        sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
    }
}

async fn serve_connection<H, F>(
    tcp: TcpStream,
    slot: ConnectionSlot,
    port: Arc<InstancePort>,
    handle: H,
) where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let _ = tcp.set_nodelay(true);
    let slot = &slot;
    let port = &*port;
    let service = service_fn(|request| {
        let handle = handle.clone();
        async move {
            let reply = match port.read_call(slot, request).await {
                Ok(call) => {
                    let _in_progress = slot.begin_request();
                    handle(call).await
                }
                Err(CallError::TooLarge) => {
                    port.count_ended("too_large");
                    refusal(StatusCode::PAYLOAD_TOO_LARGE)
                }
                Err(CallError::Broken) => refusal(StatusCode::BAD_REQUEST),
            };
            Ok::<_, Infallible>(reply)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(tcp), service);
    let connection = timeout(Duration::from_millis(port.limits.total_ms), connection);
    tokio::select! {
        // The connection first: a call that has arrived keeps it open.
        biased;
        ended = connection => {
            if ended.is_err() {
                port.count_ended("late");
            }
        }
        () = slot.closed_to_make_room() => port.count_ended("room"),
    }
}

/// An empty reply.
pub(crate) fn refusal(status: StatusCode) -> Response<Full<Bytes>> {
    let mut refusal = Response::new(Full::default());
    *refusal.status_mut() = status;
    refusal
}
