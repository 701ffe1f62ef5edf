//! Sends a request to the chosen endpoint and waits for the head of the response.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use tokio::time::timeout;

use crate::adapters::forward::upstream::{
    self, PendingResponse, UpstreamError, UpstreamRequest, UpstreamResponse,
};
use crate::clock::Timestamp;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::stall::{ResponsePart, stall_timeout_ms};
use crate::filters::forward::crash::{self, Output};
use crate::filters::forward::exchange::{Admitted, Exchange, Responded, Selected};
use crate::gateway::GatewayState;
use crate::ids::InstanceId;
use crate::lifecycle::attempt::{Attempt, Dispatched};
use crate::load_tracker::InFlightGuard;
use crate::outcome::UnknownCode;

/// Timeout for connecting to an endpoint, in milliseconds. Endpoints are at most a few milliseconds away; one
/// that does not answer is gone, or its accept queue is full.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Outcome of sending a request.
pub(crate) enum SendOutcome<'r> {
    /// The head of the response has arrived.
    Responded(Exchange<'r, Responded>),
    /// No response; the request may be attempted again, as far as its limits allow.
    Retry(Admitted),
    /// The endpoint sends nothing while others of its service do. It may still respond.
    Stalled(Exchange<'r, Waiting>),
}

/// Stage in which a request has been sent and the head of the response has not arrived. Dropping it closes the
/// connection.
pub(crate) struct Waiting {
    pub(crate) admitted: Admitted,
    pub(crate) endpoint: Arc<EndpointEntry>,
    attempt: Attempt<Dispatched>,
    in_flight: InFlightGuard,
    response: PendingResponse,
    sent: Timestamp,
}

/// Connects, sends the request, and waits for the head of the response until the caller's deadline, or until the
/// endpoint stalls.
pub(crate) async fn apply<'r>(
    state: &Arc<GatewayState>,
    exchange: Exchange<'r, Selected>,
) -> SendOutcome<'r> {
    let Exchange { head, view, stage, .. } = exchange;
    let Selected { mut admitted, endpoint, attempt, in_flight } = stage;
    let remaining_ms = admitted.deadline.ms_since(state.clock.now());
    let connected = upstream::connect(endpoint.address, remaining_ms.min(CONNECT_TIMEOUT_MS)).await;
    let connection = match connected {
        Ok(connection) => connection,
        Err(error) => {
            state.loads.record_failure(&endpoint.id, state.clock.now());
            state.metrics.attempts.with_label_values(&["not_sent"]).inc();
            log::info!(
                "attempt not sent id={} server={} address={} reason=\"{error}\"",
                head.request_id,
                endpoint.id,
                endpoint.address
            );
            admitted.avoid.push(endpoint.id.clone());
            return SendOutcome::Retry(admitted);
        }
    };
    let remaining_ms = admitted.deadline.ms_since(state.clock.now());
    let upstream_request = UpstreamRequest {
        head,
        names: &state.settings.headers,
        endpoint: &endpoint.id,
        workspace: admitted.workspace.as_ref(),
        priority: admitted.priorities.map(|_| admitted.priority),
        strips_key: admitted.strips_key,
        body: &admitted.body,
        remaining_ms,
        last_event_id: admitted.last_event_id,
    };
    let response = match connection.send(&upstream_request) {
        Ok(response) => response,
        Err(error) => {
            log::warn!("request cannot be encoded id={} reason=\"{error}\"", head.request_id);
            admitted.avoid.push(endpoint.id.clone());
            return SendOutcome::Retry(admitted);
        }
    };
    admitted.attempts.add();
    let (attempt, sent) = (attempt.dispatch(), state.clock.now());
    let waiting = Waiting { admitted, endpoint, attempt, in_flight, response, sent };
    wait_for_head(state, Exchange { head, view, now: sent, stage: waiting }, StallCheck::On).await
}

/// Waits for the head of a response until the caller's deadline, however long the endpoint is silent.
pub(crate) async fn wait_to_end<'r>(
    state: &Arc<GatewayState>,
    waiting: Exchange<'r, Waiting>,
) -> SendOutcome<'r> {
    wait_for_head(state, waiting, StallCheck::Off).await
}

/// Whether a wait ends when the endpoint stalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StallCheck {
    On,
    Off,
}

/// Waits for the head of the response until the caller's deadline, or until the endpoint stalls and another one may
/// be asked.
async fn wait_for_head<'r>(
    state: &Arc<GatewayState>,
    mut exchange: Exchange<'r, Waiting>,
    stall_check: StallCheck,
) -> SendOutcome<'r> {
    let waited = poll_head(state, &mut exchange.stage, stall_check).await;
    let Exchange { head, view, .. } = exchange;
    if matches!(waited, WaitOutcome::Stalled) {
        log::info!(
            "attempt silent id={} server={} waited_ms={}",
            head.request_id,
            exchange.stage.endpoint.id,
            state.clock.now().ms_since(head.received)
        );
        state.loads.record_failure(&exchange.stage.endpoint.id, state.clock.now());
        return SendOutcome::Stalled(exchange);
    }
    let Waiting { mut admitted, endpoint, attempt, in_flight, .. } = exchange.stage;
    let (code, reason) = match waited {
        WaitOutcome::Response(Ok(response)) => {
            let response = Box::new(response);
            record_exclusion(state, &endpoint, &response);
            if response.status().is_success() {
                state.loads.record_activity(&endpoint.id, state.clock.now());
                if let Some(group) = &endpoint.group {
                    state.loads.record_group_answer(&group.name);
                }
            }
            let responded = Responded { admitted, endpoint, attempt, in_flight, response };
            let now = state.clock.now();
            return SendOutcome::Responded(Exchange { head, view, now, stage: responded });
        }
        WaitOutcome::Response(Err(error)) => {
            crash::report_if_crashed(state, head, &admitted, &endpoint, Output::None).await;
            (UnknownCode::EndpointLost, error.to_string())
        }
        WaitOutcome::Deadline | WaitOutcome::Stalled => {
            (UnknownCode::DeadlinePassed, "no response before the deadline".to_owned())
        }
    };
    record_failed_attempt(state, &mut admitted, &endpoint.id, code);
    log::info!(
        "attempt failed id={} attempt={} server={} waited_ms={} reason=\"{reason}\"",
        head.request_id,
        attempt.id(),
        endpoint.id,
        state.clock.now().ms_since(head.received)
    );
    SendOutcome::Retry(admitted)
}

/// Excludes an endpoint that says in its response that it is about to stop, before the platform's list says so, or
/// that refuses the request and wants no other one for a while.
fn record_exclusion(state: &GatewayState, endpoint: &EndpointEntry, response: &UpstreamResponse) {
    let (headers, now) = (response.headers(), state.clock.now());
    let leaving = headers.get(&state.settings.headers.leaving);
    if leaving.is_some_and(|value| value.as_bytes() == b"1")
        && state.loads.record_leaving(endpoint, now)
    {
        log::info!("endpoint leaving server={} started_ms={}", endpoint.id, endpoint.started_ms);
    }
    let pause_ms = headers.get(RETRY_AFTER).and_then(retry_after_ms);
    if let Some(pause_ms) =
        pause_ms.filter(|_| response.status() == StatusCode::SERVICE_UNAVAILABLE)
        && state.loads.record_pause(endpoint, pause_ms, now)
    {
        log::info!("endpoint pauses server={} pause_ms={pause_ms}", endpoint.id);
    }
}

/// The value of a `Retry-After` header in milliseconds. Dates are not supported, because clocks may differ.
fn retry_after_ms(value: &HeaderValue) -> Option<u64> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let duration = Duration::try_from_secs_f64(seconds).ok()?;
    Some(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Outcome of waiting for the head of a response.
enum WaitOutcome {
    Response(Result<UpstreamResponse, UpstreamError>),
    /// The endpoint sends nothing while others of its service do.
    Stalled,
    Deadline,
}

async fn poll_head(
    state: &GatewayState,
    waiting: &mut Waiting,
    stall_check: StallCheck,
) -> WaitOutcome {
    let Waiting { admitted, endpoint, response, sent, .. } = waiting;
    let checks_stall = stall_check == StallCheck::On && admitted.may_race();
    let lost_ms = admitted.lost_answer_ms.filter(|_| stall_check == StallCheck::On);
    let mut lost_at = lost_ms.map(|lost_ms| sent.plus_ms(lost_ms));
    loop {
        let now = state.clock.now();
        let remaining_ms = admitted.deadline.ms_since(now);
        if remaining_ms == 0 {
            return WaitOutcome::Deadline;
        }
        let stall_ms =
            if checks_stall { stall_timeout_ms(ResponsePart::Head) } else { remaining_ms };
        let lost_ms = lost_at.map_or(u64::MAX, |lost_at| lost_at.ms_since(now).max(1));
        let wait = Duration::from_millis(stall_ms.min(lost_ms).min(remaining_ms));
        if let Ok(response) = timeout(wait, response.as_mut()).await {
            return WaitOutcome::Response(response);
        }
        let is_lost = lost_at.take_if(|lost_at| state.clock.now() >= *lost_at).is_some();
        if is_lost && record_lost(state, admitted, endpoint) && checks_stall {
            return WaitOutcome::Stalled;
        }
        let (part, service) = (ResponsePart::Head, &admitted.service);
        if checks_stall && state.should_fail_over(part, service, endpoint, *sent) {
            return WaitOutcome::Stalled;
        }
    }
}

/// Records that the answer of a plain service is lost. Returns whether the request moves to another endpoint, which does
/// not depend on how many requests are in flight at this one: most of them may be lost answers. A request that does not
/// move stays counted, so that others prefer an endpoint that answers.
fn record_lost(state: &GatewayState, admitted: &Admitted, endpoint: &EndpointEntry) -> bool {
    state.metrics.routing.answers_lost.inc();
    let moves = admitted.may_fail_over() && state.has_retry(&admitted.service);
    if !moves {
        // An attempt that moves is recorded as failed.
        state.loads.record_failure(&endpoint.id, state.clock.now());
    }
    moves
}

/// Records that an attempt has brought no response and may have run.
pub(crate) fn record_failed_attempt(
    state: &GatewayState,
    admitted: &mut Admitted,
    endpoint: &InstanceId,
    code: UnknownCode,
) {
    state.loads.record_failure(endpoint, state.clock.now());
    state.metrics.attempts.with_label_values(&["failed"]).inc();
    admitted.avoid.push(endpoint.clone());
    admitted.may_have_run = Some(code);
}
