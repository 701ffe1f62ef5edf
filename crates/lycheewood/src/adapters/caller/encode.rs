//! Encodes the answers and errors of the filter chain as HTTP responses.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode, header};
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::adapters::caller::decode::CallerError;
use crate::adapters::caller::{Delivery, ReplyBody};
use crate::adapters::instance_list::ListedInstance;
use crate::decisions::entries::{EntrySelectionSettings, InstanceCandidate, select_entries};
use crate::decisions::memory::MemoryUse;
use crate::decisions::retries::{RefusalCause, come_back_ms};
use crate::entry_state::EntryState;
use crate::filters::lookup::LookupOutcome;
use crate::filters::relay::{Answer, AnswerEvent, Relay};
use crate::filters::request::Request;
use crate::lifecycle::shutdown::Phase;
use crate::memory_budget::{Reservation, hold_with};
use crate::outcome::{
    InvalidRequest, NotRun, NotRunCode, RequestError, UnknownCode, UnknownOutcome,
};

/// The most entry addresses that a caller is told.
const MAX_ADDRESSES: usize = 6;
const JSON: &str = "application/json";
const EVENTS: &str = "text/event-stream";

/// A whole reply.
pub(crate) fn reply(status: StatusCode, content_type: &str, body: Bytes) -> Response<ReplyBody> {
    let body = Full::new(body).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(value) = header::HeaderValue::from_str(content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

fn json_reply(status: StatusCode, value: &Value) -> Response<ReplyBody> {
    reply(status, JSON, Bytes::from(value.to_string()))
}

/// Which entries to use and for how long.
pub(crate) fn entries(state: &EntryState, caller: &str) -> Response<ReplyBody> {
    let members = state.members.load();
    let own = &state.settings.instance;
    let told: Vec<(String, &ListedInstance)> = members
        .live_entries()
        .filter(|entry| &entry.id != own || state.phase() == Phase::Serving)
        .map(|entry| (entry.address.to_string(), entry))
        .collect();
    let candidates: Vec<InstanceCandidate<'_>> = told
        .iter()
        .map(|(address, entry)| InstanceCandidate {
            id: &entry.id,
            address,
            failure_domain: &entry.failure_domain,
        })
        .collect();
    let timing = &state.settings.timing;
    let settings = EntrySelectionSettings {
        max_addresses: MAX_ADDRESSES,
        valid_for_ms: timing.entries_valid_ms,
        entry_linger_ms: timing.entry_linger_ms,
        drain_notice_ms: timing.drain_notice_ms,
    };
    let selection = select_entries(caller, &candidates, &settings);
    let entries: Vec<Value> = selection
        .addresses
        .iter()
        .filter_map(|address| candidates.iter().find(|candidate| candidate.address == *address))
        .map(|entry| json!({"address": entry.address, "failure_domain": entry.failure_domain}))
        .collect();
    let body = json!({"entries": entries, "valid_for_ms": selection.valid_for_ms});
    json_reply(StatusCode::OK, &body)
}

/// The error object, which is the same in replies and in streams.
fn error_object(error: &RequestError) -> Value {
    match error {
        RequestError::Invalid(invalid) => json!({"error": {
            "type": "invalid_request",
            "field": invalid_field(invalid),
            "message": invalid.to_string(),
        }}),
        RequestError::NotRun(NotRun { code, retry_after_ms }) => json!({"error": {
            "type": "not_run",
            "code": code.as_str(),
            "message": "The request did not run this time. It is safe to send it again, with the same key.",
            "retry_after_ms": retry_after_ms,
            "entries": "/v1/entries",
        }}),
        RequestError::Unknown(UnknownOutcome { code, key }) => json!({"error": {
            "type": "outcome_unknown",
            "code": code.as_str(),
            "message": "The request may or may not have run. Do not assume either.",
            "ask": key.map(|key| format!("/v1/requests/{key}")),
        }}),
    }
}

fn invalid_field(invalid: &InvalidRequest) -> &'static str {
    match invalid {
        InvalidRequest::Field { field, .. }
        | InvalidRequest::Forbidden { field, .. }
        | InvalidRequest::UnknownTarget { field, .. } => field,
        InvalidRequest::Unauthorized => "authorization",
        InvalidRequest::NoRoute => "path",
        InvalidRequest::BodyTooLarge { .. } => "body",
    }
}

fn status(error: &RequestError) -> StatusCode {
    match error {
        RequestError::Invalid(InvalidRequest::Field { .. }) => StatusCode::BAD_REQUEST,
        RequestError::Invalid(InvalidRequest::Unauthorized) => StatusCode::UNAUTHORIZED,
        RequestError::Invalid(InvalidRequest::Forbidden { .. }) => StatusCode::FORBIDDEN,
        RequestError::Invalid(InvalidRequest::UnknownTarget { .. } | InvalidRequest::NoRoute) => {
            StatusCode::NOT_FOUND
        }
        RequestError::Invalid(InvalidRequest::BodyTooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
        RequestError::NotRun(NotRun { code: NotRunCode::OverLimit, .. }) => {
            StatusCode::TOO_MANY_REQUESTS
        }
        RequestError::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        RequestError::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// The reply to a request without an answer.
pub(crate) fn error_response(error: &RequestError) -> Response<ReplyBody> {
    let mut response = json_reply(status(error), &error_object(error));
    if let RequestError::NotRun(not_run) = error {
        let seconds = not_run.retry_after_ms.div_ceil(1000);
        response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Reply to the lookup of an earlier request.
pub(crate) async fn lookup_response(
    state: &EntryState,
    outcome: Result<LookupOutcome, RequestError>,
) -> Response<ReplyBody> {
    match outcome {
        Ok(LookupOutcome::Answer(answer)) => raw(state, *answer).await,
        Ok(LookupOutcome::NotRun) => {
            error_response(&RequestError::not_run(NotRunCode::EndpointRefused, 0))
        }
        Ok(LookupOutcome::NotSeen) => json_reply(
            StatusCode::NOT_FOUND,
            &json!({"error": {
                "type": "not_seen",
                "message": "No attempt with this key is recorded, but one may be on its way. Send the request again with the same key.",
            }}),
        ),
        Err(error) => error_response(&error),
    }
}

/// The reply to an HTTP request that is no request of this interface.
pub(crate) fn decode_error(error: &CallerError) -> Response<ReplyBody> {
    let (status, field) = match error {
        CallerError::NotFound => (StatusCode::NOT_FOUND, "path"),
        CallerError::Method { .. } => (StatusCode::METHOD_NOT_ALLOWED, "method"),
        CallerError::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body"),
        CallerError::BodyTimeout { .. } => (StatusCode::REQUEST_TIMEOUT, "body"),
        CallerError::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "body"),
        CallerError::Field { field, .. } => (StatusCode::BAD_REQUEST, *field),
    };
    let body = json!({"error": {
        "type": "invalid_request",
        "field": field,
        "message": error.to_string(),
    }});
    json_reply(status, &body)
}

/// Counts how a request ended.
pub(crate) fn count(state: &EntryState, error: &RequestError) {
    let outcome = match error {
        RequestError::Invalid(_) => "invalid",
        RequestError::NotRun(not_run) => not_run.code.as_str(),
        RequestError::Unknown(_) => "unknown",
    };
    state.metrics.requests.with_label_values(&[outcome]).inc();
}

/// The reply that carries an answer.
pub(crate) async fn answer(
    state: &Arc<EntryState>,
    request: &Request,
    answer: Answer,
    delivery: Delivery,
) -> Response<ReplyBody> {
    match delivery {
        Delivery::Events => events(state, request.call.target(), answer.relay),
        Delivery::Whole => whole(state, request.call.target(), answer.relay).await,
        Delivery::Raw => raw(state, answer).await,
    }
}

/// State of a stream of events.
enum Stream {
    Open(Box<Relay>),
    Closed,
}

fn events(state: &Arc<EntryState>, model: &str, relay: Relay) -> Response<ReplyBody> {
    let state = Arc::clone(state);
    // The part of each event before its text is the same for the whole answer.
    let opening = format!(
        "data: {{\"object\":\"text_completion\",\"model\":{},\"choices\":[{{\"index\":0,\"text\":",
        Value::from(model)
    );
    let stream = unfold(Stream::Open(Box::new(relay)), move |stream| {
        let (state, opening) = (Arc::clone(&state), opening.clone());
        async move {
            let Stream::Open(mut relay) = stream else { return None };
            let event = relay.next().await;
            let (bytes, stream) = match event {
                AnswerEvent::Bytes(token) => (token_event(&opening, &token), Stream::Open(relay)),
                AnswerEvent::End => {
                    done(&state);
                    (Bytes::from_static(b"data: [DONE]\n\n"), Stream::Closed)
                }
                AnswerEvent::Aborted(error) => {
                    cut(&state);
                    let event = format!("event: error\ndata: {}\n\n", error_object(&error));
                    (Bytes::from(event), Stream::Closed)
                }
            };
            Some((Ok::<_, Infallible>(Frame::data(bytes)), stream))
        }
    });
    let mut response = Response::new(StreamBody::new(stream).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static(EVENTS));
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-cache"));
    response
}

fn token_event(opening: &str, token: &[u8]) -> Bytes {
    let text = String::from_utf8_lossy(token);
    let mut event = Vec::with_capacity(opening.len() + text.len() + 40);
    event.extend_from_slice(opening.as_bytes());
    // Writing a string to a vector as JSON cannot fail.
    serde_json::to_writer(&mut event, text.as_ref()).unwrap_or_default();
    event.extend_from_slice(b",\"finish_reason\":null}]}\n\n");
    Bytes::from(event)
}

/// Reads the whole answer before it is sent, so that a cut one is refused as a whole. Its memory is reserved until the
/// reservation is dropped; it is not read on while the budget has no room.
async fn collect(
    state: &EntryState,
    mut relay: Relay,
) -> Result<(Vec<Bytes>, Reservation), RequestError> {
    let mut chunks = Vec::new();
    let mut memory = state.memory.charge(MemoryUse::Response, 0);
    let longest_wait = Duration::from_millis(state.settings.bounds.caller_stall_ms);
    loop {
        match relay.next().await {
            AnswerEvent::Bytes(bytes) => {
                let needed_bytes = memory.bytes() + bytes.len() + size_of::<Bytes>();
                // Answers that wait for each other's memory end after this time.
                if timeout(longest_wait, memory.grow_when_free(needed_bytes)).await.is_err() {
                    let unknown = UnknownOutcome { code: UnknownCode::DeadlinePassed, key: None };
                    let error = RequestError::Unknown(unknown);
                    count(state, &error);
                    return Err(error);
                }
                chunks.push(bytes);
            }
            AnswerEvent::End => {
                done(state);
                return Ok((chunks, memory));
            }
            AnswerEvent::Aborted(error) => {
                count(state, &error);
                return Err(error);
            }
        }
    }
}

/// The refusal of a request for which the memory budget has no room.
pub(crate) fn memory_refusal(state: &EntryState) -> Response<ReplyBody> {
    state.metrics.memory_refusals.inc();
    state.memory.note_refusal();
    let retry_after_ms = come_back_ms(RefusalCause::Full, rand::random());
    let error = RequestError::not_run(NotRunCode::Overloaded, retry_after_ms);
    count(state, &error);
    error_response(&error)
}

async fn whole(state: &EntryState, model: &str, relay: Relay) -> Response<ReplyBody> {
    match collect(state, relay).await {
        Ok((chunks, _memory)) => {
            let text =
                chunks.iter().map(|chunk| String::from_utf8_lossy(chunk)).collect::<String>();
            json_reply(
                StatusCode::OK,
                &json!({
                    "object": "text_completion",
                    "model": model,
                    "choices": [{"index": 0, "text": text, "finish_reason": "stop"}],
                    "usage": {"completion_tokens": chunks.len()},
                }),
            )
        }
        Err(error) => error_response(&error),
    }
}

async fn raw(state: &EntryState, answer: Answer) -> Response<ReplyBody> {
    let Answer { head, relay } = answer;
    match collect(state, relay).await {
        Ok((chunks, memory)) => {
            let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let body = hold_with(Bytes::from(chunks.concat()), memory);
            reply(status, &head.content_type, body)
        }
        Err(error) => error_response(&error),
    }
}

fn done(state: &EntryState) {
    state.metrics.requests.with_label_values(&["done"]).inc();
}

fn cut(state: &EntryState) {
    state.metrics.requests.with_label_values(&["cut"]).inc();
}
