//! A small HTTP client.

use std::net::SocketAddr;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Sends a request over a connection of its own; `None` if it closed without a reply.
pub(crate) async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<Response<Incoming>> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .expect("a valid request");
    let mut client = Client::builder(TokioExecutor::new());
    let client = client.retry_canceled_requests(false).build_http::<Full<Bytes>>();
    client.request(request).await.ok()
}

/// Sends a request; gives status and JSON body, or `None` if the connection closed first.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, Value)> {
    let response = send(address, method, path, body).await?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

/// The data of the server-sent events that have arrived when the body ends, and whether it ended
/// without a fault.
pub(crate) async fn events(response: Response<Incoming>) -> (Vec<String>, bool) {
    let mut body = response.into_body();
    let mut text = String::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                text.push_str(std::str::from_utf8(&data).expect("events are text"));
            }
            Err(_) => whole = false,
        }
    }
    (
        text.split("\n\n").filter_map(|e| e.strip_prefix("data: ")).map(str::to_owned).collect(),
        whole,
    )
}
