//! HTTP exchanges with a deadline.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lycheewood::HttpError;
use tokio::time::timeout;

use crate::cmd::CONNECT_MS;

/// A client of any HTTP server.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient(Client<HttpConnector, Full<Bytes>>);

impl HttpClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_MS)));
        // Nodes echo no request id, so a kept connection could give a late copy of a reply to the next request. A
        // request that failed after it was sent must not be sent again by the library.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self(client)
    }

    /// Sends a request and gives the response as soon as its head has arrived.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Response<Incoming>, HttpError> {
        match timeout(Duration::from_millis(timeout_ms), self.0.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(HttpError::Connect { address }),
            Ok(Err(_)) => Err(HttpError::Cut { address }),
            Err(_) => Err(HttpError::Timeout { address, timeout_ms }),
        }
    }

    /// Gets a whole resource, which must have a 2xx status.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> Result<Bytes, HttpError> {
        let request = Request::get(format!("http://{address}{path}"))
            .body(Full::new(Bytes::new()))
            .map_err(|error| HttpError::Protocol { address, reason: error.to_string() })?;
        let exchange = async {
            let response = self.open(address, request, timeout_ms).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|_| HttpError::Cut { address })?.to_bytes();
            if status.is_success() {
                return Ok(body);
            }
            let shown = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
            Err(HttpError::Status { address, status: status.as_u16(), body: shown })
        };
        match timeout(Duration::from_millis(timeout_ms), exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout { address, timeout_ms }),
        }
    }
}
