//! Reads the request body within the caller limits, and sets the deadline of the request.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::decisions::batch::max_batch;
use crate::decisions::digest::Fingerprint;
use crate::decisions::retries::{RefusalCause, come_back_ms};
use crate::filters::forward::exchange::{Admitted, Authenticated, CostBasis, Exchange, GapLimit};
use crate::gateway::GatewayState;
use crate::ids::WorkspaceName;
use crate::outcome::{InvalidRequest, NotRunCode, RequestError};

/// # Errors
///
/// Returns an error if the body is too large, does not arrive in time, or ends early.
pub(crate) async fn apply<'r>(
    state: &GatewayState,
    exchange: Exchange<'r, Authenticated<'r>>,
    body: Incoming,
) -> Result<Exchange<'r, Admitted>, RequestError> {
    let Exchange { head, view, stage, .. } = exchange;
    let Authenticated { routes, route, workspace } = stage;
    let limits = routes.table.caller_limits;
    let timeout_ms = head.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let deadline = head.received.plus_ms(timeout_ms);
    let max_bytes = limits.max_body_bytes;
    let too_large = || RequestError::Invalid(InvalidRequest::BodyTooLarge { max_bytes });
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced_bytes > max_bytes {
        return Err(too_large());
    }
    let remaining = Duration::from_millis(deadline.ms_since(state.clock.now()));
    let body = match timeout(remaining, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(too_large()),
        // The caller has closed the connection, so nobody receives this error.
        Ok(Err(_)) => return Err(RequestError::field("body", "send the whole body")),
        Err(_) => return Err(RequestError::not_run(NotRunCode::BodyLate, 0)),
    };
    let service = route.service(rand::random()).clone();
    let profile = routes.table.engine_profiles.get(&service);
    let cost_basis = profile.and_then(|engine| {
        let (usage, hint) = (head.token_usage?, head.length_hint);
        Some(CostBasis { engine: *engine, profile: engine.cost?, usage, hint })
    });
    let engine = profile.zip(route.target_gap_ms);
    let workspace = workspace.map(|workspace| workspace.name.clone());
    let call = format!("{} {}", head.method, head.target);
    let caller = workspace.as_ref().map_or("", WorkspaceName::as_str);
    let fingerprint = Fingerprint::of(&WorkspaceName::new(caller), service.as_str(), &call, &body);
    let parts = head.shared_prompt_parts.iter();
    let prompt_parts =
        parts.map(|part| Fingerprint::of_prompt_part(service.as_str(), part)).collect();
    let admitted = Admitted {
        route: route.clone(),
        cost_basis,
        gap_limit: engine.map(|(engine, gap_ms)| GapLimit {
            engine: *engine,
            gap_ms,
            max_batch: max_batch(engine, gap_ms),
        }),
        service,
        workspace,
        strips_key: routes.table.requires_keys(),
        body,
        fingerprint,
        prompt_parts,
        trials: Vec::new(),
        deadline,
        attempts: 0,
        misdirected: 0,
        refused_by: Vec::new(),
        avoid: Vec::new(),
        last_event_id: head.last_event_id,
        may_have_run: None,
        no_endpoint_code: NotRunCode::NoEndpoint,
        retry_after_ms: come_back_ms(RefusalCause::Full, rand::random()),
        last_response: None,
    };
    Ok(Exchange { head, view, now: state.clock.now(), stage: admitted })
}
