//! Chooses the endpoint of the next attempt, and waits for free capacity where a route limits event gaps.

mod places;
mod works;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::clock::Timestamp;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::queue::{QueueDeadlines, QueuePhase, queue_phase};
use crate::decisions::retries::{RefusalCause, come_back_ms};
use crate::filters::forward::exchange::{Admitted, Exchange, RequestHead, Selected, View};
use crate::filters::forward::quarantine;
use crate::filters::forward::select::places::Places;
use crate::gateway::GatewayState;
use crate::ids::TargetName;
use crate::lifecycle::attempt::Attempt;
use crate::outcome::NotRunCode;

/// Maximum number of misdirected sends of a request. Each costs a round trip and a retry, and a request reaches
/// this number only if the whole endpoint list is out of date.
const MAX_MISDIRECTED: u32 = 4;
/// Maximum number of refusals of a request by refusing groups. Each uses a retry, and a group that forms again
/// is ready by then.
const MAX_GROUP_REFUSALS: usize = 8;
/// Interval of checks whether a refusing group is due for a probe, in milliseconds.
const GROUP_POLL_MS: u64 = 50;

/// No endpoint can take the request.
struct NoEndpoint {
    /// When the caller may come back, in milliseconds.
    retry_after_ms: u64,
}

/// Outcome of the selection.
pub(crate) enum Selection<'r> {
    /// An endpoint is chosen.
    Selected(Exchange<'r, Selected>),
    /// No endpoint may get the request, or no further attempt is allowed.
    None(Admitted),
}

/// Chooses among the endpoints of the service that have not failed the request. Each attempt after the first
/// uses the retry budget.
pub(crate) async fn apply<'r>(
    state: &Arc<GatewayState>,
    exchange: Exchange<'r, Admitted>,
) -> Selection<'r> {
    let Exchange { head, view, now, stage: mut admitted } = exchange;
    let is_exhausted = admitted.attempts >= admitted.route.max_attempts
        || admitted.misdirected >= MAX_MISDIRECTED
        || admitted.refused_by.len() >= MAX_GROUP_REFUSALS
        || now >= admitted.deadline;
    let must_not_retry = admitted.may_have_run.is_some() && !admitted.may_repeat();
    if is_exhausted || must_not_retry {
        return Selection::None(admitted);
    }
    let attempt = Attempt::plan(state.next_attempt());
    if let Some(until) = quarantine::refused_until(state, &admitted, now) {
        record_quarantined(state, head, &mut admitted, until);
        return Selection::None(admitted);
    }
    let endpoint = match wait_for_endpoint(state, &admitted, head.received).await {
        Ok(endpoint) => endpoint,
        Err(NoEndpoint { retry_after_ms }) => {
            admitted.retry_after_ms = retry_after_ms;
            record_no_endpoint(state, head, &mut admitted);
            return Selection::None(admitted);
        }
    };
    // Checked again, because an endpoint may have crashed while the request waited.
    if let Err(until) = quarantine::permit(state, &mut admitted, attempt.id()).await {
        record_quarantined(state, head, &mut admitted, until);
        return Selection::None(admitted);
    }
    let is_first = admitted.attempts + admitted.misdirected == 0 && admitted.refused_by.is_empty();
    if !is_first {
        if !state.try_acquire_retry(&admitted.service) {
            state.metrics.retries_denied.inc();
            return Selection::None(admitted);
        }
        state.metrics.retries.inc();
    }
    if let Some(group) = &endpoint.group {
        state.loads.record_group_probe(&group.name, state.clock.now());
    }
    let now = state.clock.now();
    let work = admitted
        .estimate_cost(state, now)
        .map(|cost| state.loads.work.start_request(&endpoint, cost, now));
    let in_flight = state.loads.start_request(&endpoint.id).with_work(work);
    let selected = Selected { admitted, endpoint, attempt, in_flight };
    Selection::Selected(Exchange { head, view, now, stage: selected })
}

/// Records and logs that the request is quarantined, or that another attempt runs its trial.
fn record_quarantined(
    state: &GatewayState,
    head: &RequestHead,
    admitted: &mut Admitted,
    until: Timestamp,
) {
    admitted.no_endpoint_code = NotRunCode::Quarantined;
    admitted.retry_after_ms = until.ms_since(state.clock.now());
    log::info!(
        "request quarantined id={} service={} request={} left_ms={}",
        head.request_id,
        admitted.service,
        admitted.fingerprint,
        admitted.retry_after_ms
    );
}

/// Records and logs why no endpoint was found: none is available, or all run their maximum batch.
fn record_no_endpoint(state: &GatewayState, head: &RequestHead, admitted: &mut Admitted) {
    let endpoints = state.endpoints.load();
    let listed = endpoints.table.endpoints(&admitted.service).len();
    let avoided = admitted.avoid.len();
    if listed > avoided && admitted.gap_limit.is_some() {
        admitted.no_endpoint_code = NotRunCode::Overloaded;
    }
    log::info!(
        "no endpoint id={} service={} reason={} listed={listed} avoided={avoided} bound={:?} waited_ms={}",
        head.request_id,
        admitted.service,
        admitted.no_endpoint_code.as_str(),
        admitted.gap_limit.map(|limit| limit.max_batch),
        state.clock.now().ms_since(head.received)
    );
}

/// Waits for an endpoint whose requests in flight are below a bound. The bound is lower once the response can no
/// longer be on time, so that late requests use only capacity that others leave; after that phase the request
/// is refused.
async fn wait_for_endpoint(
    state: &GatewayState,
    admitted: &Admitted,
    received: Timestamp,
) -> Result<Arc<EndpointEntry>, NoEndpoint> {
    let deadlines = QueueDeadlines::new(received, admitted.route.target_ms, admitted.deadline);
    loop {
        // Registered before the choice, so that no change in between is missed.
        let changed = state.capacity_changed.notified();
        let now = state.clock.now();
        let phase = queue_phase(&deadlines, now);
        let view = View::load(state);
        let places = Places::find(state, &view, admitted, phase, now);
        if let Some(endpoint) = places.choose(state, admitted) {
            return Ok(endpoint);
        }
        let pause_end = pause_end(state, &admitted.service, now);
        if let Some(pause_end) = pause_end.filter(|end| *end > deadlines.expires()) {
            return Err(NoEndpoint { retry_after_ms: pause_end.ms_since(now) });
        }
        let is_refused = has_refusing_group(state, &admitted.service);
        let may_wait = admitted.gap_limit.is_some() || is_refused || pause_end.is_some();
        if !may_wait || phase == QueuePhase::Expired {
            let retry_after_ms = come_back_ms(RefusalCause::Full, rand::random());
            return Err(NoEndpoint { retry_after_ms });
        }
        let phase_end = deadlines.phase_end(now);
        let mut remaining_ms =
            pause_end.map_or(phase_end, |end| end.min(phase_end)).ms_since(now).max(1);
        if is_refused {
            remaining_ms = remaining_ms.min(GROUP_POLL_MS);
        }
        // Chooses again after a timeout as after a change.
        let _ = timeout(Duration::from_millis(remaining_ms), changed).await;
    }
}

/// When the first endpoint of the service that pauses wants requests again, if no endpoint wants any now.
fn pause_end(state: &GatewayState, service: &TargetName, now: Timestamp) -> Option<Timestamp> {
    let endpoints = state.endpoints.load();
    let entries = || endpoints.table.endpoints(service).iter();
    let exclusions = state.loads.exclusions();
    if !entries().all(|entry| exclusions.contains(entry, now)) {
        return None;
    }
    entries().filter_map(|entry| exclusions.pause_end(entry, now)).min()
}

/// Whether a group of the service refuses requests, as it does while it forms.
fn has_refusing_group(state: &GatewayState, service: &TargetName) -> bool {
    let endpoints = state.endpoints.load();
    let groups = endpoints.table.endpoints(service).iter().filter_map(|entry| entry.group.as_ref());
    let mut groups = groups.map(|group| &group.name);
    groups.any(|group| state.loads.is_group_refusing(group))
}
