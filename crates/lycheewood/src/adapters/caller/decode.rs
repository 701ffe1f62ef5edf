//! HTTP requests of callers to requests of the chain.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request as HttpRequest, header};
use serde::Deserialize;
use sha2::{Digest, Sha256};
use tokio::time::timeout;

use crate::adapters::caller::{Asked, Delivery};
use crate::filters::request::{Call, Request};
use crate::ids::RequestKey;
use crate::settings::Bounds;

/// Tokens generated when the caller does not say how many.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// The most tokens that one request may ask for.
const MAX_TOKENS: u32 = 65_536;
const MAX_PRIORITY: u8 = 9;

/// An HTTP request that is no request of this interface.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallerError {
    #[error("no such resource; see the API page of the guide")]
    NotFound,
    #[error("this resource takes {allowed}")]
    Method { allowed: &'static str },
    #[error("the body has more than {max_bytes} bytes; send less or raise `bounds.max_body_bytes`")]
    TooLarge { max_bytes: usize },
    #[error("the body did not arrive within {timeout_ms} ms")]
    BodyTimeout { timeout_ms: u64 },
    #[error("{field}: {remedy}")]
    Field { field: &'static str, remedy: String },
}

impl CallerError {
    fn field(field: &'static str, remedy: impl Into<String>) -> Self {
        Self::Field { field, remedy: remedy.into() }
    }
}

/// The body of a completion, in the fields that callers of model services know.
#[derive(Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

pub(crate) async fn decode(
    request: HttpRequest<Incoming>,
    bounds: &Bounds,
) -> Result<Asked, CallerError> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    if path == "/v1/entries" {
        return allow(&head.method, &Method::GET, "GET").map(|()| Asked::Entries);
    }
    if path == "/v1/completions" {
        allow(&head.method, &Method::POST, "POST")?;
        let body = read_body(body, bounds).await?;
        let (call, delivery) = completion(&body)?;
        return Ok(Asked::Run(Arc::new(with_headers(&head.headers, call)?), delivery));
    }
    if let Some(key) = path.strip_prefix("/v1/requests/") {
        allow(&head.method, &Method::GET, "GET")?;
        let key =
            RequestKey::try_from(key).map_err(|e| CallerError::field("key", e.to_string()))?;
        return Ok(Asked::Outcome(Arc::new(with_headers(&head.headers, Call::Lookup)?), key));
    }
    if let Some(rest) = path.strip_prefix("/v1/services/") {
        let service = rest.split('/').next().unwrap_or_default().to_owned();
        let below = &rest[service.len()..];
        let below = if below.is_empty() { "/" } else { below };
        let path = match head.uri.query() {
            Some(query) => format!("{below}?{query}"),
            None => below.to_owned(),
        };
        let content_type =
            text(&head.headers, header::CONTENT_TYPE.as_str())?.unwrap_or_default().to_owned();
        let body = read_body(body, bounds).await?.to_vec();
        let method = head.method.as_str().to_owned();
        let call = Call::Service { service, method, path, content_type, body };
        return Ok(Asked::Run(Arc::new(with_headers(&head.headers, call)?), Delivery::Raw));
    }
    Err(CallerError::NotFound)
}

fn allow(method: &Method, wanted: &Method, allowed: &'static str) -> Result<(), CallerError> {
    if method == wanted { Ok(()) } else { Err(CallerError::Method { allowed }) }
}

async fn read_body(body: Incoming, bounds: &Bounds) -> Result<Bytes, CallerError> {
    let read = Limited::new(body, bounds.max_body_bytes).collect();
    match timeout(Duration::from_millis(bounds.body_timeout_ms), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(CallerError::TooLarge { max_bytes: bounds.max_body_bytes })
        }
        Ok(Err(_)) => Err(CallerError::field("body", "send the whole body")),
        Err(_) => Err(CallerError::BodyTimeout { timeout_ms: bounds.body_timeout_ms }),
    }
}

fn completion(body: &[u8]) -> Result<(Call, Delivery), CallerError> {
    let parsed: Completion = serde_json::from_slice(body)
        .map_err(|e| CallerError::field("body", format!("send a JSON completion request: {e}")))?;
    let max_tokens = parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(CallerError::field("max_tokens", format!("send 1 to {MAX_TOKENS}")));
    }
    let delivery = if parsed.stream { Delivery::Events } else { Delivery::Whole };
    let call = Call::Completion { model: parsed.model, prompt: parsed.prompt, max_tokens };
    Ok((call, delivery))
}

fn with_headers(headers: &HeaderMap, call: Call) -> Result<Request, CallerError> {
    let token = text(headers, "authorization")?.and_then(|value| value.strip_prefix("Bearer "));
    let key = text(headers, "idempotency-key")?
        .map(RequestKey::try_from)
        .transpose()
        .map_err(|e| CallerError::field("idempotency-key", e.to_string()))?;
    let deadline_ms = number(headers, "x-deadline-ms")?;
    let priority = match number(headers, "x-priority")? {
        None => None,
        Some(value) => Some(
            u8::try_from(value)
                .ok()
                .filter(|priority| *priority <= MAX_PRIORITY)
                .ok_or_else(|| CallerError::field("x-priority", "send 0 to 9"))?,
        ),
    };
    Ok(Request {
        token_digest: token.map(|token| Sha256::digest(token.as_bytes()).into()),
        key,
        deadline_ms,
        priority,
        traceparent: text(headers, "traceparent")?.map(str::to_owned),
        is_caller_retry: number(headers, "x-attempt")?.is_some_and(|attempt| attempt > 1),
        call,
    })
}

fn text<'h>(headers: &'h HeaderMap, name: &'static str) -> Result<Option<&'h str>, CallerError> {
    headers
        .get(name)
        .map(|value| value.to_str().map_err(|_| CallerError::field(name, "send visible ASCII")))
        .transpose()
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, CallerError> {
    text(headers, name)?
        .map(|value| {
            value.parse().map_err(|_| CallerError::field(name, "send a whole number, 0 or more"))
        })
        .transpose()
}
