//! A client that sends an id with each request, and keeps its connection while the server echoes the ids.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::adapters::http::HttpError;
use crate::decisions::replies::{ReplyDecision, judge_reply};

/// A connection on which no request is in progress. Dropping it closes it.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether a reply to an earlier request was received on it.
    is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A client of one HTTP server that accepts a reply only for the request whose id it echoes.
///
/// A server may send a reply twice, the second time where the reply to the next request is expected. A connection
/// is therefore kept only after a reply with the id of its request, and closed after any other reply, an error or a
/// timeout. Clones share the kept connection.
#[derive(Clone, Debug)]
pub struct IdentifiedClient {
    address: SocketAddr,
    connect_ms: u64,
    max_reply_bytes: usize,
    id_header: HeaderName,
    /// The connection for the next request; `None` while a request uses it.
    kept: Arc<Mutex<Option<Connection>>>,
}

impl IdentifiedClient {
    /// A client of the server at `address`, to which connecting takes at most `connect_ms`. Servers echo the header
    /// `id_header`. Replies have at most `max_reply_bytes`.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        connect_ms: u64,
        id_header: HeaderName,
        max_reply_bytes: usize,
    ) -> Self {
        Self { address, connect_ms, max_reply_bytes, id_header, kept: Arc::default() }
    }

    /// Sends a request with headers and reads the whole reply, whatever its status.
    ///
    /// # Errors
    ///
    /// When no whole reply to this request arrives within `timeout_ms`.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let address = self.address;
        let exchange = self.exchange_on_connection(method, path, headers, body);
        match timeout(Duration::from_millis(timeout_ms), exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout { address, timeout_ms }),
        }
    }

    /// The same without a timeout. The connection is out of `kept` meanwhile, so it is closed if this is cancelled.
    async fn exchange_on_connection(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let address = self.address;
        // Random, so that no reply to a request of another process or an earlier run has the same id.
        let id = format!("{:032x}", rand::random::<u128>());
        let invalid = |reason: String| HttpError::Protocol { address, reason };
        let id_value = HeaderValue::from_str(&id).map_err(|error| invalid(error.to_string()))?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(&self.id_header, id_value);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(|error| invalid(error.to_string()))?;
        let mut connection = self.connection().await?;
        let cut = |_| HttpError::Cut { address };
        let response = connection.sender.send_request(request).await.map_err(cut)?;
        let echo = response.headers().get(&self.id_header).map(HeaderValue::as_bytes);
        let is_kept = match judge_reply(id.as_bytes(), echo, connection.is_reused) {
            ReplyDecision::Accept { is_kept } => is_kept,
            ReplyDecision::Reject => return Err(HttpError::OtherRequest { address }),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), self.max_reply_bytes).collect().await;
        let body = body.map_err(|_| HttpError::Cut { address })?.to_bytes();
        if is_kept {
            connection.is_reused = true;
            self.replace_kept(Some(connection));
        }
        Ok((status, body))
    }

    fn replace_kept(&self, connection: Option<Connection>) -> Option<Connection> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut kept, connection)
    }

    /// Takes the kept connection, or opens one.
    async fn connection(&self) -> Result<Connection, HttpError> {
        let kept = self.replace_kept(None);
        if let Some(mut connection) = kept
            // Fails if the server has closed the connection or sent bytes that no request asked for.
            && connection.sender.ready().await.is_ok()
        {
            return Ok(connection);
        }
        let address = self.address;
        let connecting = TcpStream::connect(address);
        let tcp = timeout(Duration::from_millis(self.connect_ms), connecting).await;
        let Ok(Ok(tcp)) = tcp else { return Err(HttpError::Connect { address }) };
        let _ = tcp.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(tcp)).await;
        let (sender, connection) = handshake.map_err(|_| HttpError::Connect { address })?;
        let task = tokio::spawn(async move {
            // A failure also reaches the request on the connection, which reports it.
            let _ = connection.await;
        });
        Ok(Connection { sender, task: task.abort_handle(), is_reused: false })
    }
}
