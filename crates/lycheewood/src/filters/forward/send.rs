//! Sends a request to the chosen endpoint and waits for the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::adapters::forward::upstream::{self, Outbound, UpstreamAnswer, UpstreamError};
use crate::decisions::stall::{ResponsePart, stall_timeout_ms};
use crate::filters::forward::exchange::{Admitted, Answered, Exchange, Selected};
use crate::gateway::GatewayState;
use crate::ids::InstanceId;
use crate::outcome::UnknownCode;

/// The longest wait for a connection to an endpoint, in milliseconds. Endpoints are at most a few
/// milliseconds away; one that does not answer is gone, or its queue of connections is full.
const CONNECT_MS: u64 = 300;

/// What an attempt has come to.
pub(crate) enum Sent<'r> {
    /// The head of the answer has arrived.
    Answered(Exchange<'r, Answered>),
    /// No answer; the request may be attempted again as far as it allows.
    Again(Admitted),
}

/// Connects, sends, and waits for the head of the answer until the caller's deadline.
pub(crate) async fn apply<'r>(
    state: &Arc<GatewayState>,
    exchange: Exchange<'r, Selected>,
) -> Sent<'r> {
    let Exchange { head, view, stage, .. } = exchange;
    let Selected { mut admitted, endpoint, attempt, in_flight } = stage;
    let left_ms = admitted.deadline.ms_since(state.clock.now());
    let connected = upstream::connect(endpoint.address, left_ms.min(CONNECT_MS)).await;
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
            return Sent::Again(admitted);
        }
    };
    let left_ms = admitted.deadline.ms_since(state.clock.now());
    let outbound = Outbound {
        head,
        names: &state.settings.headers,
        endpoint: &endpoint.id,
        workspace: admitted.workspace.as_ref(),
        hides_key: admitted.hides_key,
        body: &admitted.body,
        left_ms,
        last_event: admitted.last_event,
    };
    admitted.attempts += 1;
    let attempt = attempt.dispatch();
    let answer = wait_for_head(state, &admitted, &endpoint.id, connection.send(&outbound)).await;
    let (code, reason) = match answer {
        Waited::Answer(Ok(answer)) => {
            let answer = Box::new(answer);
            if answer.status().is_success() {
                state.loads.record_activity(&endpoint.id, state.clock.now());
                if let Some(group) = &endpoint.group {
                    state.loads.record_group_answer(&group.name);
                }
            }
            let answered = Answered { admitted, endpoint, attempt, in_flight, answer };
            let now = state.clock.now();
            return Sent::Answered(Exchange { head, view, now, stage: answered });
        }
        Waited::Answer(Err(error)) => (UnknownCode::EndpointLost, error.to_string()),
        Waited::Stuck => (UnknownCode::EndpointLost, "silent while others answer".to_owned()),
        Waited::Deadline => {
            (UnknownCode::DeadlinePassed, "no answer before the deadline".to_owned())
        }
    };
    fail(state, &mut admitted, &endpoint.id, code);
    log::info!(
        "attempt failed id={} attempt={} server={} waited_ms={} reason=\"{reason}\"",
        head.request_id,
        attempt.id(),
        endpoint.id,
        state.clock.now().ms_since(head.received)
    );
    Sent::Again(admitted)
}

/// What the wait for an answer has come to.
enum Waited {
    Answer(Result<UpstreamAnswer, UpstreamError>),
    /// The endpoint is silent alone; the request goes to another one.
    Stuck,
    Deadline,
}

/// Waits for the head of the answer until the caller's deadline, or until the endpoint is stuck and
/// the request may leave it.
async fn wait_for_head(
    state: &GatewayState,
    admitted: &Admitted,
    endpoint: &InstanceId,
    answer: impl Future<Output = Result<UpstreamAnswer, UpstreamError>>,
) -> Waited {
    let sent = state.clock.now();
    tokio::pin!(answer);
    loop {
        let left_ms = admitted.deadline.ms_since(state.clock.now());
        if left_ms == 0 {
            return Waited::Deadline;
        }
        let wait_ms =
            if admitted.may_leave() { stall_timeout_ms(ResponsePart::Head) } else { left_ms };
        let wait = Duration::from_millis(wait_ms.min(left_ms));
        if let Ok(answer) = timeout(wait, answer.as_mut()).await {
            return Waited::Answer(answer);
        }
        if admitted.may_leave()
            && state.should_fail_over(ResponsePart::Head, &admitted.service, endpoint, sent)
        {
            return Waited::Stuck;
        }
    }
}

/// Notes that an attempt may have run and brought no answer.
pub(crate) fn fail(
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
