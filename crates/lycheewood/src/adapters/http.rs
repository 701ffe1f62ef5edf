//! A small HTTP client over hyper with a deadline on every reply.

pub(crate) mod identified;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

/// The most bytes accepted in one reply that is read as a whole, unless the client has another limit.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// Why an HTTP exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection could be made: the request was not sent.
    #[error("cannot connect to {address}; check that it is running and reachable")]
    Connect {
        /// The peer.
        address: SocketAddr,
    },
    /// The connection failed after the request may have been sent.
    #[error(
        "the connection to {address} failed before the reply was complete; the request may have taken effect"
    )]
    Cut {
        /// The peer.
        address: SocketAddr,
    },
    /// No reply within the deadline.
    #[error("{address} did not reply within {timeout_ms} ms; the request may have taken effect")]
    Timeout {
        /// The peer.
        address: SocketAddr,
        /// The deadline.
        timeout_ms: u64,
    },
    /// A reply that does not carry the id of the request.
    #[error(
        "{address} replied to another request or without the request's id; the request may have taken effect"
    )]
    OtherRequest {
        /// The peer.
        address: SocketAddr,
    },
    /// A reply with an unexpected status.
    #[error("{address} replied with status {status}: {body}")]
    Status {
        /// The peer.
        address: SocketAddr,
        /// The status.
        status: u16,
        /// The reply's body, shortened.
        body: String,
    },
    /// A reply that does not follow the protocol.
    #[error("{address} sent a reply that does not follow the protocol: {reason}")]
    Protocol {
        /// The peer.
        address: SocketAddr,
        /// What is wrong.
        reason: String,
    },
}

impl HttpError {
    /// Whether the request is known not to have been processed.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Time between probes of a connection on which nothing arrives, in seconds. They find a connection
/// that went silent while a long reply is awaited, after three of them.
const KEEPALIVE_S: u64 = 1;

/// A client of one HTTP server.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    max_reply_bytes: usize,
}

impl HttpClient {
    /// A client of the endpoint at `address`, to which connecting takes at most `connect_ms`.
    #[must_use]
    pub fn new(address: SocketAddr, connect_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(connect_ms)));
        connector.set_keepalive(Some(Duration::from_secs(KEEPALIVE_S)));
        connector.set_keepalive_interval(Some(Duration::from_secs(KEEPALIVE_S)));
        connector.set_keepalive_retries(Some(2));
        // No connection is kept for later: one that went silent while idle would swallow the next request, and
        // nobody could tell whether it arrived. A request that failed after it was sent must not be sent again by
        // the library.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client, max_reply_bytes: MAX_REPLY_BYTES }
    }

    /// Accepts at most `max_reply_bytes` in one reply that is read as a whole.
    #[must_use]
    pub fn with_max_reply_bytes(self, max_reply_bytes: usize) -> Self {
        Self { max_reply_bytes, ..self }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and gives the response as soon as its head has arrived.
    pub(crate) async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Response<Incoming>, HttpError> {
        let address = self.address;
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::HOST, address.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|e| HttpError::Protocol { address, reason: e.to_string() })?;
        match timeout(Duration::from_millis(timeout_ms), self.client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) if e.is_connect() => Err(HttpError::Connect { address }),
            Ok(Err(_)) => Err(HttpError::Cut { address }),
            Err(_) => Err(HttpError::Timeout { address, timeout_ms }),
        }
    }

    /// Sends a request with headers and reads the whole reply, whatever its status.
    ///
    /// # Errors
    ///
    /// When no whole reply arrives within `timeout_ms`.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let reply = self.exchange_whole(method, path, headers, body, timeout_ms).await?;
        Ok((reply.status(), reply.into_body()))
    }

    /// Sends a request with headers and reads the whole reply with its headers, whatever its status.
    ///
    /// # Errors
    ///
    /// When no whole reply arrives within `timeout_ms`.
    pub async fn exchange_whole(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Response<Bytes>, HttpError> {
        let address = self.address;
        let exchange = async {
            let response = self.open(method, path, headers, body, timeout_ms).await?;
            let (status, headers) = (response.status(), response.headers().clone());
            let mut reply = Response::new(self.read_body(response).await?);
            (*reply.status_mut(), *reply.headers_mut()) = (status, headers);
            Ok(reply)
        };
        match timeout(Duration::from_millis(timeout_ms), exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout { address, timeout_ms }),
        }
    }

    /// Reads a reply to its end. A reply over the limit is not read on.
    pub(crate) async fn read_body(&self, response: Response<Incoming>) -> Result<Bytes, HttpError> {
        let body = Limited::new(response.into_body(), self.max_reply_bytes).collect().await;
        body.map(Collected::to_bytes).map_err(|_| HttpError::Cut { address: self.address })
    }

    /// Sends a request and reads the whole reply, which must have a 2xx status.
    ///
    /// # Errors
    ///
    /// When no such reply arrives within `timeout_ms`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Bytes, HttpError> {
        let reply = self.exchange_whole(method, path, &[], body, timeout_ms).await?;
        Ok(self.require_success(reply)?.into_body())
    }

    /// The reply, if it has a 2xx status.
    ///
    /// # Errors
    ///
    /// [`HttpError::Status`] otherwise.
    pub fn require_success(&self, reply: Response<Bytes>) -> Result<Response<Bytes>, HttpError> {
        check_status(self.address, reply)
    }
}

/// Whether a status ends an exchange in which no upgrade of the protocol was asked for.
pub(crate) const fn is_final_status(status: u16) -> bool {
    200 <= status && status < 600
}

fn check_status(address: SocketAddr, reply: Response<Bytes>) -> Result<Response<Bytes>, HttpError> {
    let status = reply.status();
    if status.is_success() {
        return Ok(reply);
    }
    let body = reply.into_body();
    let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
    Err(HttpError::Status { address, status: status.as_u16(), body: text })
}
