//! HTTP client for endpoints. Each attempt opens its own connection.
//!
//! A reused connection may hold a second response, may be dead, or may be closed by the endpoint just as the
//! next request is sent. None of these can be told apart from a request that ran, so connections are not
//! reused.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::adapters::forward::headers::{detach_from_buffer, end_to_end};
use crate::adapters::forward::limited_read::{HeadArrived, LimitedRead, MAX_HEAD_BYTES};
use crate::decisions::memory::{MemoryUse, RECEIVE_BUFFER_BYTES};
use crate::filters::forward::exchange::RequestHead;
use crate::gateway::HeaderNames;
use crate::ids::{InstanceId, WorkspaceName};
use crate::memory_budget::{BodyBuffer, MemoryBudget};

/// Interval of TCP keepalive probes, in milliseconds. Four of them detect an endpoint whose machine is gone,
/// without affecting one that computes for long.
const KEEPALIVE_INTERVAL_MS: u64 = 500;
const KEEPALIVE_RETRIES: u32 = 3;
/// Size of the kernel's send buffer.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Header of the server-sent events standard that names the last event that a client has.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Why an endpoint's response failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UpstreamError {
    #[error("no connection within {timeout_ms} ms")]
    ConnectTimeout { timeout_ms: u64 },
    #[error("connecting failed: {0}")]
    Connect(std::io::Error),
    #[error("the connection failed: {0}")]
    Connection(hyper::Error),
    #[error("the response body exceeds {max_bytes} bytes")]
    TooLarge { max_bytes: usize },
    #[error("the memory budget has no room for a response of unknown length")]
    NoMemory,
    #[error("the request cannot be encoded: {0}")]
    Request(hyper::http::Error),
}

/// Contents of a request to an endpoint.
pub(crate) struct UpstreamRequest<'a> {
    pub(crate) head: &'a RequestHead,
    pub(crate) names: &'a HeaderNames,
    pub(crate) endpoint: &'a InstanceId,
    pub(crate) workspace: Option<&'a WorkspaceName>,
    /// Priority for engines, where requests differ in it.
    pub(crate) priority: Option<u8>,
    pub(crate) strips_key: bool,
    pub(crate) body: &'a Bytes,
    pub(crate) remaining_ms: u64,
    pub(crate) last_event_id: Option<u64>,
}

/// Aborts the task of a connection when dropped, which closes the connection.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection on which nothing has been sent.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: ConnectionTask,
    head_arrived: HeadArrived,
}

/// A response whose head has not arrived.
pub(crate) type PendingResponse =
    Pin<Box<dyn Future<Output = Result<UpstreamResponse, UpstreamError>> + Send>>;

/// Opens a connection to an endpoint.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<Connection, UpstreamError> {
    let connecting = TcpStream::connect(address);
    let tcp = timeout(Duration::from_millis(timeout_ms), connecting)
        .await
        .map_err(|_| UpstreamError::ConnectTimeout { timeout_ms })?
        .map_err(UpstreamError::Connect)?;
    let _ = tcp.set_nodelay(true);
    let interval = Duration::from_millis(KEEPALIVE_INTERVAL_MS);
    // The socket options have a resolution of one second.
    let probes = TcpKeepalive::new()
        .with_time(interval.max(Duration::from_secs(1)))
        .with_interval(interval.max(Duration::from_secs(1)))
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(&tcp);
    let _ = socket.set_tcp_keepalive(&probes);
    // By default it grows to megabytes for each body that is sent, which the memory limit counts.
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    // Limits what an endpoint may send while the memory budget has no room.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let (tcp, head_arrived) = LimitedRead::new(tcp, MAX_HEAD_BYTES);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(tcp))
        .await
        .map_err(UpstreamError::Connection)?;
    let task = tokio::spawn(async move {
        // A failure also reaches the request on the connection, which reports it.
        let _ = connection.await;
    });
    Ok(Connection { sender, task: ConnectionTask(task.abort_handle()), head_arrived })
}

/// Whether the machine at `address` refuses connections, which shows that nothing listens there. `false` if it
/// accepts one or does not answer in time.
pub(crate) async fn is_refused(address: SocketAddr, timeout_ms: u64) -> bool {
    let connected = timeout(Duration::from_millis(timeout_ms), TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

impl Connection {
    /// Encodes a request and gives the future that sends it and waits for the head of the response. Dropping the
    /// future closes the connection.
    pub(crate) fn send(
        mut self,
        upstream_request: &UpstreamRequest<'_>,
    ) -> Result<PendingResponse, UpstreamError> {
        let request = request(upstream_request).map_err(UpstreamError::Request)?;
        Ok(Box::pin(async move {
            let response =
                self.sender.send_request(request).await.map_err(UpstreamError::Connection)?;
            self.head_arrived.set();
            let (mut parts, body) = response.into_parts();
            detach_from_buffer(&mut parts.headers);
            Ok(UpstreamResponse { parts, body, _sender: self.sender, _task: self.task })
        }))
    }
}

fn request(
    upstream_request: &UpstreamRequest<'_>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let UpstreamRequest { head, names, .. } = upstream_request;
    let mut headers = end_to_end(&head.headers);
    headers.remove(&names.workspace);
    headers.remove(&names.expected_endpoint);
    headers.remove(&names.priority);
    if upstream_request.strips_key {
        headers.remove(AUTHORIZATION);
    }
    if let Some(workspace) = upstream_request.workspace {
        headers.insert(names.workspace.clone(), HeaderValue::from_str(workspace.as_str())?);
    }
    if let Some(priority) = upstream_request.priority {
        headers.insert(names.priority.clone(), HeaderValue::from(u16::from(priority)));
    }
    headers.insert(
        names.expected_endpoint.clone(),
        HeaderValue::from_str(upstream_request.endpoint.as_str())?,
    );
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(upstream_request.remaining_ms));
    if let Some(last_event_id) = upstream_request.last_event_id {
        headers.insert(LAST_EVENT_ID, HeaderValue::from(last_event_id));
    }
    let has_body =
        !upstream_request.body.is_empty() || matches!(head.method, Method::POST | Method::PUT);
    if has_body {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(upstream_request.body.len()));
    }
    let mut request = Request::builder()
        .method(head.method.clone())
        .uri(head.target.as_str())
        .body(Full::new(upstream_request.body.clone()))?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// A response whose head has arrived. Dropping it closes the connection.
pub(crate) struct UpstreamResponse {
    parts: Parts,
    body: Incoming,
    // hyper ends the connection when the sender is dropped, which must not happen before the body is read.
    _sender: http1::SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
}

impl UpstreamResponse {
    pub(crate) fn status(&self) -> StatusCode {
        self.parts.status
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        &self.parts.headers
    }

    /// The next bytes of the body, or `None` after its end.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, UpstreamError>> {
        loop {
            let frame = match self.body.frame().await? {
                Ok(frame) => frame,
                Err(error) => return Some(Err(UpstreamError::Connection(error))),
            };
            if let Ok(bytes) = frame.into_data() {
                return Some(Ok(bytes));
            }
        }
    }

    /// Reads the body to its end, or fails when it exceeds `max_bytes`. It is not read on while the memory budget has no
    /// room, because a request that has run cannot be refused. Only a body of unknown length, which may have no end, is
    /// given up when there is no room for some time.
    pub(crate) async fn read_to_end(
        mut self,
        max_bytes: usize,
        budget: &MemoryBudget,
    ) -> Result<Bytes, UpstreamError> {
        let has_length = self.body.size_hint().exact().is_some();
        let memory_use =
            if has_length { MemoryUse::Response } else { MemoryUse::UnboundedResponse };
        let mut buffer = BodyBuffer::new(budget.charge(memory_use, 0), max_bytes);
        while let Some(bytes) = self.next().await {
            let bytes = bytes?;
            if buffer.len() + bytes.len() > max_bytes {
                return Err(UpstreamError::TooLarge { max_bytes });
            }
            if has_length {
                buffer.push_when_free(&bytes).await;
            } else {
                buffer.push_within(&bytes).await.map_err(|_| UpstreamError::NoMemory)?;
            }
        }
        Ok(buffer.finish())
    }
}
