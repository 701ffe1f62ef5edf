//! Validates an endpoint's response before any of it is passed on.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::CONTENT_ENCODING;
use tokio::time::timeout;

use crate::adapters::forward::upstream::UpstreamResponse;
use crate::adapters::http::is_final_status;
use crate::decisions::endpoint_limits::RequestRate;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::filters::forward::ForwardedResponse;
use crate::filters::forward::crash::{self, Output};
use crate::filters::forward::exchange::{
    Admitted, BufferedResponse, Exchange, RequestHead, Responded,
};
use crate::filters::forward::relay::StreamingResponse;
use crate::filters::forward::send::record_failed_attempt;
use crate::gateway::GatewayState;
use crate::lifecycle::attempt::NotRunProof;
use crate::outcome::{NotRunCode, UnknownCode};
use crate::routes::raw::RequestKind;

/// Largest response that is buffered before it is passed on, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Outcome of the check.
pub(crate) enum CheckOutcome {
    /// The response for the caller.
    Respond(ForwardedResponse),
    /// The request may be attempted again, as far as its limits allow.
    Retry(Box<Admitted>),
}

/// Accepts a response only if it echoes the request id and its body is not encoded; a success also needs the
/// endpoint's signature. Streams are passed on at once; other responses are read to their end first.
pub(crate) async fn apply(
    state: &Arc<GatewayState>,
    exchange: Exchange<'_, Responded>,
) -> CheckOutcome {
    let Exchange { head, stage, .. } = exchange;
    if let Err(error) = check_head(state, head, &stage) {
        return retry_after_head_error(state, head, stage, error);
    }
    record_limit(state, &stage.endpoint, &stage.response);
    let is_stream = stage.admitted.route.kind == RequestKind::Streaming;
    if is_stream && stage.response.status().is_success() {
        state.metrics.attempts.with_label_values(&["answered"]).inc();
        return CheckOutcome::Respond(ForwardedResponse::Streaming(Box::new(
            StreamingResponse::start(state, head, stage),
        )));
    }
    let remaining = Duration::from_millis(stage.admitted.deadline.ms_since(state.clock.now()));
    let Responded { mut admitted, endpoint, attempt, in_flight, response } = stage;
    let not_run = response.headers().contains_key(&state.settings.headers.not_run)
        || response.status() == StatusCode::MISDIRECTED_REQUEST;
    let (status, headers) = (response.status(), response.headers().clone());
    let reading = response.read_to_end(MAX_BUFFERED_BYTES, &state.memory);
    let body = match timeout(remaining, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            log::info!(
                "response incomplete id={} server={} reason=\"{error}\"",
                head.request_id,
                endpoint.id
            );
            crash::report_if_crashed(state, head, &admitted, &endpoint, Output::None).await;
            record_failed_attempt(state, &mut admitted, &endpoint.id, UnknownCode::EndpointLost);
            return CheckOutcome::Retry(Box::new(admitted));
        }
        Err(_) => {
            record_failed_attempt(state, &mut admitted, &endpoint.id, UnknownCode::DeadlinePassed);
            return CheckOutcome::Retry(Box::new(admitted));
        }
    };
    drop(in_flight);
    let response = BufferedResponse { status, headers, body, endpoint: endpoint.id.clone() };
    if not_run && !status.is_success() {
        state.metrics.attempts.with_label_values(&["not_run"]).inc();
        // The statement of the endpoint is the evidence that the attempt has not run.
        let proof = NotRunProof::from_endpoint(attempt.id());
        let _ = attempt.not_run_with_proof(proof, NotRunCode::EndpointRefused);
        log::info!("attempt not run id={} server={} status={status}", head.request_id, endpoint.id);
        record_refusal(state, head, &mut admitted, &endpoint, response);
        return CheckOutcome::Retry(Box::new(admitted));
    }
    for fingerprint in admitted.fingerprints() {
        state.record_completion(fingerprint);
    }
    if status.is_server_error() && admitted.may_repeat() {
        state.metrics.attempts.with_label_values(&["server_error"]).inc();
        log::info!("endpoint error id={} server={} status={status}", head.request_id, endpoint.id);
        admitted.avoid.push(endpoint.id.clone());
        admitted.may_have_run = Some(UnknownCode::EndpointLost);
        admitted.keep_response(response, false);
        return CheckOutcome::Retry(Box::new(admitted));
    }
    state.loads.record_success(&endpoint.id);
    state.metrics.attempts.with_label_values(&["answered"]).inc();
    CheckOutcome::Respond(ForwardedResponse::Buffered(response))
}

/// Records the limit that an endpoint names in a response. Only a success shows that it has none any more: another endpoint
/// at its address may have sent a refusal.
fn record_limit(state: &GatewayState, endpoint: &EndpointEntry, response: &UpstreamResponse) {
    let value = response.headers().get(&state.settings.headers.request_limit);
    let limit = value.map(|value| RequestRate::try_from(value.to_str().unwrap_or_default()));
    match limit {
        Some(Ok(limit)) if response.status() != StatusCode::MISDIRECTED_REQUEST => {
            state.observe_limit(endpoint, Some(limit));
        }
        Some(Err(error)) => {
            state.metrics.routing.limits_unreadable.inc();
            log::warn!("endpoint limit unreadable server={} reason=\"{error}\"", endpoint.id);
        }
        None if response.status().is_success() => {
            state.observe_limit(endpoint, None);
        }
        Some(Ok(_)) | None => {}
    }
}

/// Updates the load tracker and the request's attempts after a refusal of an endpoint.
fn record_refusal(
    state: &GatewayState,
    head: &RequestHead,
    admitted: &mut Admitted,
    endpoint: &EndpointEntry,
    response: BufferedResponse,
) {
    let now = state.clock.now();
    let status = response.status;
    if status == StatusCode::SERVICE_UNAVAILABLE && record_group_refusal(state, endpoint) {
        admitted.attempts.take_back();
        admitted.refused_by.push(endpoint.id.clone());
        admitted.keep_response(response, true);
        return;
    }
    admitted.avoid.push(endpoint.id.clone());
    if status == StatusCode::MISDIRECTED_REQUEST {
        // The endpoint may be where the list says and have another version than the caller asks for, which says
        // nothing about other requests.
        if head.headers.contains_key(&state.settings.headers.expected_version) {
            state.metrics.version_refusals.inc();
        } else {
            state.loads.record_misdirected(&endpoint.id, now);
            state.endpoint_list_stale.notify_one();
        }
        admitted.attempts.take_back();
        admitted.misdirected += 1;
    } else {
        state.loads.record_failure(&endpoint.id, now);
        admitted.keep_response(response, true);
    }
}

/// Records that an endpoint has refused a request. Returns whether its whole group counts as refusing, as it
/// does while it forms.
fn record_group_refusal(state: &GatewayState, endpoint: &EndpointEntry) -> bool {
    let Some(group) = &endpoint.group else { return false };
    let endpoints = state.endpoints.load();
    let entries = endpoints.table.entries().iter();
    let members =
        entries.filter(|entry| entry.group.as_ref().is_some_and(|other| other.name == group.name));
    let now = state.clock.now();
    let is_refusing =
        state.loads.record_group_refusal(&group.name, members.map(|entry| &entry.id), now);
    if is_refusing {
        log::info!("group refuses group={} epoch={}", group.name, group.epoch);
    }
    is_refusing
}

/// Why the head of a response is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum HeadError {
    #[error("the status is not a final one from 200 to 599")]
    Status,
    #[error("the response carries another request id or none")]
    OtherRequest,
    #[error("the successful response lacks the endpoint's signature")]
    Unsigned,
    #[error("the body has a content encoding, which endpoints do not use")]
    Encoded,
}

fn check_head(
    state: &GatewayState,
    head: &RequestHead,
    responded: &Responded,
) -> Result<(), HeadError> {
    let names = &state.settings.headers;
    let headers = responded.response.headers();
    if !is_final_status(responded.response.status().as_u16()) {
        return Err(HeadError::Status);
    }
    let echo = headers.get(&names.request_id);
    if echo.is_none_or(|echo| echo.as_bytes() != head.request_id.as_bytes()) {
        return Err(HeadError::OtherRequest);
    }
    if responded.response.status().is_success() && !headers.contains_key(&names.signature) {
        return Err(HeadError::Unsigned);
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(HeadError::Encoded);
    }
    Ok(())
}

fn retry_after_head_error(
    state: &GatewayState,
    head: &RequestHead,
    responded: Responded,
    error: HeadError,
) -> CheckOutcome {
    let Responded { mut admitted, endpoint, response, .. } = responded;
    log::warn!(
        "response rejected id={} server={} status={} reason=\"{error}\"",
        head.request_id,
        endpoint.id,
        response.status()
    );
    record_failed_attempt(state, &mut admitted, &endpoint.id, UnknownCode::EndpointLost);
    CheckOutcome::Retry(Box::new(admitted))
}
