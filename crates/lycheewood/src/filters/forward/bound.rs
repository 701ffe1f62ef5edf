//! Reads the body within the bounds of callers, and sets the time by which the caller has its answer.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::decisions::batch::max_batch;
use crate::filters::forward::exchange::{Admitted, Authenticated, Exchange};
use crate::gateway::GatewayState;
use crate::outcome::{InvalidRequest, NotRunCode, Refusal};

/// # Errors
///
/// When the body is too large, does not arrive in time, or ends early.
pub(crate) async fn apply<'r>(
    state: &GatewayState,
    exchange: Exchange<'r, Authenticated<'r>>,
    body: Incoming,
) -> Result<Exchange<'r, Admitted>, Refusal> {
    let Exchange { head, view, stage, .. } = exchange;
    let Authenticated { routes, route, workspace } = stage;
    let limits = routes.table.caller_limits;
    let wait_ms = head.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let deadline = head.received.plus_ms(wait_ms);
    let max_bytes = limits.max_body_bytes;
    let too_large = || Refusal::Invalid(InvalidRequest::BodyTooLarge { max_bytes });
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(too_large());
    }
    let left = Duration::from_millis(deadline.ms_since(state.clock.now()));
    let body = match timeout(left, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(too_large()),
        // The caller is gone; nobody reads the refusal.
        Ok(Err(_)) => return Err(Refusal::field("body", "send the whole body")),
        Err(_) => return Err(Refusal::not_run(NotRunCode::BodyLate, 0)),
    };
    let service = route.service(rand::random()).clone();
    let pace = routes.table.paces.get(&service).zip(route.target_gap_ms);
    let admitted = Admitted {
        route: route.clone(),
        batch: pace.map(|(pace, gap_ms)| max_batch(pace, gap_ms)),
        service,
        workspace: workspace.map(|holder| holder.name.clone()),
        hides_key: routes.table.has_keys(),
        body,
        deadline,
        attempts: 0,
        misdirected: 0,
        refused_by: Vec::new(),
        avoid: Vec::new(),
        last_event: head.last_event,
        may_have_run: None,
        no_endpoint: NotRunCode::NoEndpoint,
        last_answer: None,
    };
    Ok(Exchange { head, view, now: state.clock.now(), stage: admitted })
}
