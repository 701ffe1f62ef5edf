//! Clients of what stands beside an endpoint daemon: a model engine or a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, header};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::adapters::http::{HttpClient, HttpError, is_final_status};
use crate::clock::Timestamp;
use crate::ids::AttemptId;
use crate::wire::message::Load;

/// The most bytes of one server-sent event; a longer one is a protocol error.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// The most bytes of a reply of a plain service, which is held in memory until its entry has it.
const MAX_SERVICE_REPLY_BYTES: usize = 16 * 1024 * 1024;

#[derive(Serialize)]
struct CompletionBody<'a> {
    request_id: String,
    model: &'a str,
    version: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    priority: u8,
    resume_from_token: u64,
}

/// What to ask of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Completion<'a> {
    pub(crate) attempt: AttemptId,
    pub(crate) model: &'a str,
    pub(crate) version: &'a str,
    pub(crate) prompt: &'a str,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u8,
    pub(crate) resume_from_token: u64,
    pub(crate) traceparent: Option<&'a str>,
}

/// One event of an engine's stream.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum EngineEvent {
    /// The token with this index.
    Token(u64, Bytes),
    /// All tokens have been sent; how many there are.
    Total(u64),
}

#[derive(Deserialize)]
#[serde(untagged)]
enum EventBody {
    Token { index: u64, token: String },
    Total { total: u64 },
}

#[derive(Deserialize)]
struct LoadBody {
    running: u32,
    queued: u32,
    capacity: u32,
    reported_unix_ms: u64,
}

/// A client of a model engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineClient {
    http: HttpClient,
    idle_ms: u64,
}

impl EngineClient {
    pub(crate) fn new(address: SocketAddr, connect_ms: u64, idle_ms: u64) -> Self {
        Self { http: HttpClient::new(address, connect_ms), idle_ms }
    }

    /// Starts a completion.
    pub(crate) async fn open(&self, completion: Completion<'_>) -> Result<EngineStream, HttpError> {
        let body = CompletionBody {
            request_id: completion.attempt.to_string(),
            model: completion.model,
            version: completion.version,
            prompt: completion.prompt,
            max_tokens: completion.max_tokens,
            priority: completion.priority,
            resume_from_token: completion.resume_from_token,
        };
        let address = self.http.address();
        let body = serde_json::to_vec(&body)
            .map_err(|e| HttpError::Protocol { address, reason: e.to_string() })?;
        let mut headers = vec![("content-type", "application/json")];
        headers.extend(completion.traceparent.map(|context| ("traceparent", context)));
        let response = self
            .http
            .open(Method::POST, "/v1/completions", &headers, Bytes::from(body), self.idle_ms)
            .await?;
        if !response.status().is_success() {
            let status = response.status().as_u16();
            return Err(HttpError::Status { address, status, body: String::new() });
        }
        Ok(EngineStream {
            address,
            idle_ms: self.idle_ms,
            body: response.into_body(),
            buffer: BytesMut::new(),
        })
    }

    /// Tells the engine that a completion is no longer wanted.
    pub(crate) async fn cancel(&self, attempt: AttemptId) {
        let path = format!("/v1/requests/{attempt}");
        // An engine that cannot be told finishes the completion; nobody reads it.
        let _ = self.http.call(Method::DELETE, &path, Bytes::new(), self.idle_ms).await;
    }

    /// The engine's load as it last measured it.
    pub(crate) async fn load(&self, timeout_ms: u64) -> Result<Load, HttpError> {
        let reply = self.http.call(Method::GET, "/load", Bytes::new(), timeout_ms).await?;
        let load: LoadBody = serde_json::from_slice(&reply).map_err(|e| HttpError::Protocol {
            address: self.http.address(),
            reason: e.to_string(),
        })?;
        Ok(Load {
            running: load.running,
            queued: load.queued,
            capacity: load.capacity,
            reported: Timestamp::from_unix_ms(load.reported_unix_ms),
        })
    }
}

/// The stream of one completion.
pub(crate) struct EngineStream {
    address: SocketAddr,
    idle_ms: u64,
    body: Incoming,
    buffer: BytesMut,
}

impl EngineStream {
    /// The next event. A stream that ends without its total is cut.
    pub(crate) async fn next(&mut self) -> Result<EngineEvent, HttpError> {
        loop {
            if let Some(event) = self.buffered_event()? {
                return Ok(event);
            }
            let address = self.address;
            let frame = timeout(Duration::from_millis(self.idle_ms), self.body.frame());
            match frame.await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Ok(Some(Err(_)) | None) => return Err(HttpError::Cut { address }),
                Err(_) => return Err(HttpError::Timeout { address, timeout_ms: self.idle_ms }),
            }
        }
    }

    /// Takes one event out of the buffer, if a whole one is there.
    fn buffered_event(&mut self) -> Result<Option<EngineEvent>, HttpError> {
        let address = self.address;
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event = self.buffer.split_to(end);
            self.buffer.advance(2);
            let Some(data) = event.strip_prefix(b"data: ") else { continue };
            if data == b"[DONE]" {
                continue;
            }
            let body: EventBody = serde_json::from_slice(data)
                .map_err(|e| HttpError::Protocol { address, reason: e.to_string() })?;
            return Ok(Some(match body {
                EventBody::Token { index, token } => EngineEvent::Token(index, Bytes::from(token)),
                EventBody::Total { total } => EngineEvent::Total(total),
            }));
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            let reason = format!("an event has more than {MAX_EVENT_BYTES} bytes");
            return Err(HttpError::Protocol { address, reason });
        }
        Ok(None)
    }
}

/// A whole reply of a plain service.
pub(crate) struct ServiceReply {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

/// One call to a plain service.
pub(crate) struct ServiceCall<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) content_type: &'a str,
    pub(crate) traceparent: Option<&'a str>,
    pub(crate) body: Vec<u8>,
}

/// A client of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceClient {
    http: HttpClient,
}

impl ServiceClient {
    pub(crate) fn new(address: SocketAddr, connect_ms: u64) -> Self {
        let http = HttpClient::new(address, connect_ms);
        Self { http: http.with_max_reply_bytes(MAX_SERVICE_REPLY_BYTES) }
    }

    /// Makes one call and reads the whole reply within `timeout_ms`.
    pub(crate) async fn call(
        &self,
        call: ServiceCall<'_>,
        timeout_ms: u64,
    ) -> Result<ServiceReply, HttpError> {
        let address = self.http.address();
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|e| HttpError::Protocol { address, reason: e.to_string() })?;
        let exchange = async {
            let mut headers = Vec::new();
            if !call.content_type.is_empty() {
                headers.push(("content-type", call.content_type));
            }
            headers.extend(call.traceparent.map(|context| ("traceparent", context)));
            let body = Bytes::from(call.body);
            let response = self.http.open(method, call.path, &headers, body, timeout_ms).await?;
            let status = response.status().as_u16();
            if !is_final_status(status) {
                let reason = format!("{status} is no final status");
                return Err(HttpError::Protocol { address, reason });
            }
            let content_type = response
                .headers()
                .get(header::CONTENT_TYPE)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned();
            let body = self.http.read_body(response).await?;
            Ok(ServiceReply { status, content_type, body })
        };
        match timeout(Duration::from_millis(timeout_ms), exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout { address, timeout_ms }),
        }
    }

    /// Whether the service accepts connections.
    pub(crate) async fn is_up(&self, timeout_ms: u64) -> bool {
        let connect = tokio::net::TcpStream::connect(self.http.address());
        matches!(timeout(Duration::from_millis(timeout_ms), connect).await, Ok(Ok(_)))
    }
}
