//! HTTP requests of callers to requests of the chain.

use std::sync::Arc;

use hyper::{HeaderMap, Method, Request as HttpRequest, header};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::adapters::caller::{Asked, Delivery};
use crate::adapters::caller_body::{BodyError, BodyLimits, CallerBody};
use crate::decisions::memory::REQUEST_BYTES;
use crate::entry_state::EntryState;
use crate::filters::request::{Call, Request};
use crate::ids::RequestKey;
use crate::memory_budget::Reservation;

/// Tokens generated when the caller does not say how many.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// The most tokens that one request may ask for.
const MAX_TOKENS: u32 = 65_536;
const MAX_PRIORITY: u8 = 9;
/// Copies of a body while its request is sent: the body, the message to the endpoint, and its encoded form.
const BODY_COPIES: usize = 3;

/// An HTTP request that is no request of this interface.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallerError {
    #[error("no such resource; see the API page of the guide")]
    NotFound,
    #[error("this resource takes {allowed}")]
    Method { allowed: &'static str },
    #[error("the body has more than {max_bytes} bytes; send less or raise `bounds.max_body_bytes`")]
    TooLarge { max_bytes: usize },
    #[error("the memory budget is used up")]
    NoMemory,
    #[error("the body stood still, or did not arrive within {timeout_ms} ms")]
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
    request: HttpRequest<CallerBody>,
    state: &EntryState,
) -> Result<Asked, CallerError> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    if path == "/v1/entries" {
        return allow(&head.method, &Method::GET, "GET").map(|()| Asked::Entries);
    }
    if path == "/v1/completions" {
        allow(&head.method, &Method::POST, "POST")?;
        let (body, memory) = read_body(body, state).await?;
        let (call, delivery) = completion(&body)?;
        let request = with_headers(&head.headers, call)?.with_memory(memory);
        return Ok(Asked::Run(Arc::new(request), delivery));
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
        let (body, memory) = read_body(body, state).await?;
        let method = head.method.as_str().to_owned();
        let call = Call::Service { service, method, path, content_type, body };
        let request = with_headers(&head.headers, call)?.with_memory(memory);
        return Ok(Asked::Run(Arc::new(request), Delivery::Raw));
    }
    Err(CallerError::NotFound)
}

fn allow(method: &Method, wanted: &Method, allowed: &'static str) -> Result<(), CallerError> {
    if method == wanted { Ok(()) } else { Err(CallerError::Method { allowed }) }
}

async fn read_body(
    body: CallerBody,
    state: &EntryState,
) -> Result<(Vec<u8>, Reservation), CallerError> {
    let bounds = &state.settings.bounds;
    let limits = BodyLimits {
        max_bytes: bounds.max_body_bytes,
        base_bytes: REQUEST_BYTES,
        copies: BODY_COPIES,
        stall_ms: bounds.header_timeout_ms,
        remaining_ms: bounds.body_timeout_ms,
    };
    let body = body.read(&state.memory, limits).await.map_err(|error| match error {
        BodyError::TooLarge => CallerError::TooLarge { max_bytes: bounds.max_body_bytes },
        BodyError::Late => CallerError::BodyTimeout { timeout_ms: bounds.body_timeout_ms },
        BodyError::NoMemory => CallerError::NoMemory,
        BodyError::Broken => CallerError::field("body", "send the whole body"),
    })?;
    Ok(body.into_parts())
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
        _memory: None,
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
