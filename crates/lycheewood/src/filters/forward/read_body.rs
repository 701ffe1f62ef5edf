//! Reads the request body within the caller limits, and sets the deadline of the request.

use crate::adapters::caller_body::{BodyError, BodyLimits, CallerBody};
use crate::decisions::batch::max_batch;
use crate::decisions::digest::Fingerprint;
use crate::decisions::memory::REQUEST_BYTES;
use crate::decisions::retries::{RefusalCause, come_back_ms};
use crate::decisions::stall::lost_answer_ms;
use crate::filters::forward::exchange::{
    Admitted, AttemptCount, Authenticated, CostBasis, Exchange, GapLimit,
};
use crate::gateway::GatewayState;
use crate::ids::WorkspaceName;
use crate::outcome::{InvalidRequest, NotRunCode, RequestError};
use crate::routes::raw::RequestKind;

/// # Errors
///
/// Returns an error if the body is too large, does not arrive in time, has no room in the memory budget, or ends
/// early.
pub(crate) async fn apply<'r>(
    state: &GatewayState,
    exchange: Exchange<'r, Authenticated<'r>>,
    body: CallerBody,
) -> Result<Exchange<'r, Admitted>, RequestError> {
    let Exchange { head, view, stage, .. } = exchange;
    let Authenticated { routes, route, workspace } = stage;
    let limits = routes.table.caller_limits;
    let timeout_ms = head.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let deadline = head.received.plus_ms(timeout_ms);
    let limits = BodyLimits {
        max_bytes: limits.max_body_bytes,
        base_bytes: REQUEST_BYTES,
        copies: 1,
        stall_ms: limits.header_timeout_ms,
        remaining_ms: deadline.ms_since(state.clock.now()),
    };
    let body = body.read(&state.memory, limits).await;
    let body = body.map_err(|error| refusal(state, limits, error))?.finish();
    // A planned stop may have begun while the body arrived.
    if state.could_cut_off(deadline) {
        return Err(RequestError::not_run(NotRunCode::Draining, 0));
    }
    let service = route.service(rand::random()).clone();
    let is_plain = route.kind != RequestKind::Streaming
        && !routes.table.engine_profiles.contains_key(&service);
    let priority = route.effective_priority(workspace);
    let workspace_regions = workspace.and_then(|workspace| workspace.allowed_regions.clone());
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
        priorities: routes.table.priorities(&service),
        service,
        workspace,
        priority,
        workspace_regions,
        strips_key: routes.table.requires_keys(),
        body,
        fingerprint,
        prompt_parts,
        trials: Vec::new(),
        lost_answer_ms: is_plain.then(|| lost_answer_ms(route.target_ms, timeout_ms)),
        deadline,
        attempts: AttemptCount::default(),
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

/// The refusal of a request whose body was not read to its end.
fn refusal(
    state: &GatewayState,
    BodyLimits { max_bytes, .. }: BodyLimits,
    error: BodyError,
) -> RequestError {
    match error {
        BodyError::TooLarge => RequestError::Invalid(InvalidRequest::BodyTooLarge { max_bytes }),
        // The caller has closed the connection, so nobody receives this error.
        BodyError::Broken => RequestError::field("body", "send the whole body"),
        BodyError::Late => {
            state.metrics.limits.bodies_late.inc();
            RequestError::not_run(NotRunCode::BodyLate, 0)
        }
        BodyError::NoMemory => {
            state.metrics.limits.memory_refusals.inc();
            state.memory.note_refusal();
            let retry_after_ms = come_back_ms(RefusalCause::Full, rand::random());
            RequestError::not_run(NotRunCode::Overloaded, retry_after_ms)
        }
    }
}
