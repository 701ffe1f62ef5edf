//! Checks an endpoint's answer before any of it is passed on.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::CONTENT_ENCODING;
use tokio::time::timeout;

use crate::decisions::endpoint_list::EndpointEntry;
use crate::filters::forward::Answer;
use crate::filters::forward::exchange::{Admitted, Answered, Exchange, Head, WholeAnswer};
use crate::filters::forward::relay::StreamAnswer;
use crate::filters::forward::send::fail;
use crate::gateway::GatewayState;
use crate::lifecycle::attempt::NotRunProof;
use crate::outcome::{NotRunCode, UnknownCode};
use crate::routes::raw::RequestKind;

/// The largest answer that is read to its end before it is passed on, in bytes.
const MAX_WHOLE_BYTES: usize = 4 * 1024 * 1024;

/// What the check has come to.
pub(crate) enum Checked {
    /// The answer of the request.
    Answer(Answer),
    /// The request may be attempted again as far as it allows.
    Again(Box<Admitted>),
}

/// An answer counts only if it names the request; a success also needs the endpoint's signature and an
/// unencoded body. Streams are passed on from here; other answers are read to their end first.
pub(crate) async fn apply(state: &Arc<GatewayState>, exchange: Exchange<'_, Answered>) -> Checked {
    let Exchange { head, stage, .. } = exchange;
    if let Err(fault) = check_head(state, head, &stage) {
        return again_after_fault(state, head, stage, fault);
    }
    let is_stream = stage.admitted.route.kind == RequestKind::Streaming;
    if is_stream && stage.answer.status().is_success() {
        state.metrics.attempts.with_label_values(&["answered"]).inc();
        return Checked::Answer(Answer::Stream(Box::new(StreamAnswer::start(state, head, stage))));
    }
    let left = Duration::from_millis(stage.admitted.deadline.ms_since(state.clock.now()));
    let Answered { mut admitted, endpoint, attempt, in_flight, answer } = stage;
    let not_run = answer.headers().contains_key(&state.settings.headers.not_run)
        || answer.status() == StatusCode::MISDIRECTED_REQUEST;
    let (status, headers) = (answer.status(), answer.headers().clone());
    let body = match timeout(left, answer.read_whole(MAX_WHOLE_BYTES)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            log::info!(
                "answer broken id={} server={} reason=\"{error}\"",
                head.request_id,
                endpoint.id
            );
            fail(state, &mut admitted, &endpoint.id, UnknownCode::EndpointLost);
            return Checked::Again(Box::new(admitted));
        }
        Err(_) => {
            fail(state, &mut admitted, &endpoint.id, UnknownCode::DeadlinePassed);
            return Checked::Again(Box::new(admitted));
        }
    };
    drop(in_flight);
    let answer = WholeAnswer { status, headers, body, endpoint: endpoint.id.clone() };
    if not_run && !status.is_success() {
        state.metrics.attempts.with_label_values(&["not_run"]).inc();
        // The endpoint's own word is the evidence that the attempt has not run.
        let proof = NotRunProof::from_endpoint(attempt.id());
        let _ = attempt.not_run_with_proof(proof, NotRunCode::EndpointRefused);
        log::info!("attempt not run id={} server={} status={status}", head.request_id, endpoint.id);
        note_refusal(state, &mut admitted, &endpoint, answer);
        return Checked::Again(Box::new(admitted));
    }
    if status.is_server_error() && admitted.may_run_again() {
        state.metrics.attempts.with_label_values(&["server_error"]).inc();
        log::info!("endpoint error id={} server={} status={status}", head.request_id, endpoint.id);
        admitted.avoid.push(endpoint.id.clone());
        admitted.may_have_run = Some(UnknownCode::EndpointLost);
        admitted.last_answer = Some((answer, false));
        return Checked::Again(Box::new(admitted));
    }
    state.loads.record_success(&endpoint.id);
    state.metrics.attempts.with_label_values(&["answered"]).inc();
    Checked::Answer(Answer::Whole(answer))
}

/// Notes what an endpoint's refusal says of the endpoint, and which attempts the request has left.
fn note_refusal(
    state: &GatewayState,
    admitted: &mut Admitted,
    endpoint: &EndpointEntry,
    answer: WholeAnswer,
) {
    let now = state.clock.now();
    let status = answer.status;
    if status == StatusCode::SERVICE_UNAVAILABLE && record_group_refusal(state, endpoint) {
        admitted.attempts -= 1;
        admitted.refused_by.push(endpoint.id.clone());
        admitted.last_answer = Some((answer, true));
        return;
    }
    admitted.avoid.push(endpoint.id.clone());
    if status == StatusCode::MISDIRECTED_REQUEST {
        state.loads.record_misdirected(&endpoint.id, now);
        state.endpoint_list_stale.notify_one();
        admitted.attempts -= 1;
        admitted.misdirected += 1;
    } else {
        state.loads.record_failure(&endpoint.id, now);
        admitted.last_answer = Some((answer, true));
    }
}

/// Notes that an endpoint refused a request. Tells whether its whole group seems to refuse, as while it forms.
fn record_group_refusal(state: &GatewayState, endpoint: &EndpointEntry) -> bool {
    let Some(group) = &endpoint.group else { return false };
    let endpoints = state.endpoints.load();
    let entries = endpoints.table.entries().iter();
    let members =
        entries.filter(|entry| entry.group.as_ref().is_some_and(|other| other.name == group.name));
    let now = state.clock.now();
    let is_closed =
        state.loads.record_group_refusal(&group.name, members.map(|entry| &entry.id), now);
    if is_closed {
        log::info!("group refuses group={} epoch={}", group.name, group.epoch);
    }
    is_closed
}

/// What is wrong with the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum HeadFault {
    #[error("the answer names another request or none")]
    OtherRequest,
    #[error("a success without the endpoint's signature")]
    Unsigned,
    #[error("the body is encoded, so it is not the endpoint's")]
    Encoded,
}

fn check_head(state: &GatewayState, head: &Head, answered: &Answered) -> Result<(), HeadFault> {
    let names = &state.settings.headers;
    let headers = answered.answer.headers();
    let echo = headers.get(&names.request_id);
    if echo.is_none_or(|echo| echo.as_bytes() != head.request_id.as_bytes()) {
        return Err(HeadFault::OtherRequest);
    }
    if answered.answer.status().is_success() && !headers.contains_key(&names.signature) {
        return Err(HeadFault::Unsigned);
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(HeadFault::Encoded);
    }
    Ok(())
}

fn again_after_fault(
    state: &GatewayState,
    head: &Head,
    answered: Answered,
    fault: HeadFault,
) -> Checked {
    let Answered { mut admitted, endpoint, answer, .. } = answered;
    log::warn!(
        "answer refused id={} server={} status={} reason=\"{fault}\"",
        head.request_id,
        endpoint.id,
        answer.status()
    );
    fail(state, &mut admitted, &endpoint.id, UnknownCode::EndpointLost);
    Checked::Again(Box::new(admitted))
}
