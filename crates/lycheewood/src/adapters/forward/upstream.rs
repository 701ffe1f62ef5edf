//! Requests to endpoints. Each attempt has a connection of its own.
//!
//! A connection that has been used may hold a second answer, may have gone silent, or may be closed
//! by the endpoint just as the next request is sent. None of these can be told apart from a request that
//! ran, so no connection is used twice.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::adapters::forward::headers::end_to_end;
use crate::filters::forward::exchange::Head;
use crate::gateway::HeaderNames;
use crate::ids::{InstanceId, WorkspaceName};

/// Time between probes of a connection on which nothing arrives, in milliseconds. An endpoint that is
/// silent because its machine is gone is noticed after four of them, one that thinks for long is not.
const KEEPALIVE_MS: u64 = 500;
const KEEPALIVE_RETRIES: u32 = 3;
/// The last event that a caller has, by the standard of server-sent events.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Why no answer came.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UpstreamError {
    #[error("no connection within {timeout_ms} ms")]
    ConnectTimeout { timeout_ms: u64 },
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("the connection failed: {0}")]
    Connection(hyper::Error),
    #[error("the answer has more than {max_bytes} bytes")]
    TooLarge { max_bytes: usize },
    #[error("the body failed: {0}")]
    Body(String),
    #[error("the request cannot be expressed: {0}")]
    Request(hyper::http::Error),
}

/// What is sent to an endpoint.
pub(crate) struct Outbound<'a> {
    pub(crate) head: &'a Head,
    pub(crate) names: &'a HeaderNames,
    pub(crate) endpoint: &'a InstanceId,
    pub(crate) workspace: Option<&'a WorkspaceName>,
    pub(crate) hides_key: bool,
    pub(crate) body: &'a Bytes,
    pub(crate) left_ms: u64,
    pub(crate) last_event: Option<u64>,
}

/// Ends the task of a connection when it is dropped, which closes the connection.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection on which nothing has been sent.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: ConnectionTask,
}

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
    let interval = Duration::from_millis(KEEPALIVE_MS);
    // Whole seconds are the finest that the system takes for these probes.
    let probes = TcpKeepalive::new()
        .with_time(interval.max(Duration::from_secs(1)))
        .with_interval(interval.max(Duration::from_secs(1)))
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(&tcp);
    let _ = socket.set_tcp_keepalive(&probes);
    let (sender, connection) =
        http1::handshake(TokioIo::new(tcp)).await.map_err(UpstreamError::Connection)?;
    let task = tokio::spawn(async move {
        // The request on the connection learns of the failure by itself.
        let _ = connection.await;
    });
    Ok(Connection { sender, task: ConnectionTask(task.abort_handle()) })
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        mut self,
        outbound: &Outbound<'_>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let request = request(outbound).map_err(UpstreamError::Request)?;
        let response =
            self.sender.send_request(request).await.map_err(UpstreamError::Connection)?;
        let (parts, body) = response.into_parts();
        Ok(UpstreamAnswer { parts, body, _sender: self.sender, _task: self.task })
    }
}

fn request(outbound: &Outbound<'_>) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let Outbound { head, names, .. } = outbound;
    let mut headers = end_to_end(&head.headers);
    headers.remove(&names.workspace);
    headers.remove(&names.expected_endpoint);
    if outbound.hides_key {
        headers.remove(AUTHORIZATION);
    }
    if let Some(workspace) = outbound.workspace {
        headers.insert(names.workspace.clone(), HeaderValue::from_str(workspace.as_str())?);
    }
    headers.insert(
        names.expected_endpoint.clone(),
        HeaderValue::from_str(outbound.endpoint.as_str())?,
    );
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(outbound.left_ms));
    if let Some(last_event) = outbound.last_event {
        headers.insert(LAST_EVENT_ID, HeaderValue::from(last_event));
    }
    let has_body = !outbound.body.is_empty() || matches!(head.method, Method::POST | Method::PUT);
    if has_body {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(outbound.body.len()));
    }
    let mut request = Request::builder()
        .method(head.method.clone())
        .uri(head.target.as_str())
        .body(Full::new(outbound.body.clone()))?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// An answer whose head has arrived. Dropping it closes the connection.
pub(crate) struct UpstreamAnswer {
    parts: Parts,
    body: Incoming,
    // A dropped sender would end the connection before the body has been read.
    _sender: http1::SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
}

impl UpstreamAnswer {
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

    /// Reads the body to its end.
    pub(crate) async fn read_whole(mut self, max_bytes: usize) -> Result<Bytes, UpstreamError> {
        match Limited::new(&mut self.body, max_bytes).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => {
                Err(UpstreamError::TooLarge { max_bytes })
            }
            Err(error) => Err(UpstreamError::Body(error.to_string())),
        }
    }
}
