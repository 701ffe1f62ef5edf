//! Chooses the endpoint of the next attempt, and waits for free capacity where a route limits event gaps.

mod places;
mod usable;
mod works;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::clock::Timestamp;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::queue::{QueueDeadlines, QueuePhase, first_look};
use crate::decisions::retries::{RefusalCause, come_back_ms};
use crate::decisions::urgency::{PlaceRequest, spread_return_ms, waiting_priority};
use crate::filters::forward::exchange::{Admitted, Exchange, RequestHead, Selected, View};
use crate::filters::forward::quarantine;
use crate::filters::forward::select::places::Places;
use crate::filters::forward::select::usable::{is_none_usable, usable_entries};
use crate::gateway::GatewayState;
use crate::ids::AttemptId;
use crate::lifecycle::attempt::Attempt;
use crate::lifecycle::place_wait::PlaceWait;
use crate::load_tracker::InFlightGuard;
use crate::outcome::NotRunCode;
use crate::waiting_room::{Turn, WaitTerms};

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
    let is_exhausted = admitted.attempts.get() >= admitted.route.max_attempts
        || admitted.misdirected >= MAX_MISDIRECTED
        || admitted.refused_by.len() >= MAX_GROUP_REFUSALS
        || now >= admitted.deadline;
    let must_not_retry = admitted.may_have_run.is_some() && !admitted.may_repeat();
    if is_exhausted || must_not_retry {
        return Selection::None(admitted);
    }
    let attempt = Attempt::plan(state.next_attempt());
    let Place { endpoint, in_flight } =
        match find_permitted(state, &mut admitted, head.received, attempt.id()).await {
            Ok(place) => place,
            Err(Refusal::Quarantined(until)) => {
                record_quarantined(state, head, &mut admitted, until);
                return Selection::None(admitted);
            }
            Err(Refusal::Draining) => {
                admitted.no_endpoint_code = NotRunCode::Draining;
                admitted.retry_after_ms = 0;
                return Selection::None(admitted);
            }
            Err(Refusal::NoEndpoint(NoEndpoint { retry_after_ms })) => {
                admitted.retry_after_ms = retry_after_ms;
                record_no_endpoint(state, head, &mut admitted);
                return Selection::None(admitted);
            }
        };
    let is_first =
        admitted.attempts.get() + admitted.misdirected == 0 && admitted.refused_by.is_empty();
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
    let selected = Selected { admitted, endpoint, attempt, in_flight };
    Selection::Selected(Exchange { head, view, now, stage: selected })
}

/// Why a request gets no place.
enum Refusal {
    /// Quarantined until this time, or another attempt runs its trial until then.
    Quarantined(Timestamp),
    /// A planned stop could cut it off.
    Draining,
    NoEndpoint(NoEndpoint),
}

impl From<NoEndpoint> for Refusal {
    fn from(none: NoEndpoint) -> Self {
        Self::NoEndpoint(none)
    }
}

/// Finds an endpoint for a request that the quarantine permits to run.
async fn find_permitted(
    state: &Arc<GatewayState>,
    admitted: &mut Admitted,
    received: Timestamp,
    attempt: AttemptId,
) -> Result<Place, Refusal> {
    let expires = queue_deadlines(admitted, received).expires();
    loop {
        let permitted = quarantine::wait_for_trial(state, admitted, expires).await;
        permitted.map_err(Refusal::Quarantined)?;
        let place = wait_for_endpoint(state, admitted, received).await;
        let place = place?;
        let trials = admitted.trials.len();
        // Checked again, because an endpoint may have crashed while the request waited.
        let Err(until) = quarantine::permit(state, admitted, attempt).await else {
            return Ok(place);
        };
        // Trials of some of its fingerprints would keep others from running while this request waits.
        admitted.trials.truncate(trials);
        // Another trial may have begun while the request waited for its own.
        let now = state.clock.now();
        if now >= expires || quarantine::trial_end(state, admitted, now).is_none() {
            return Err(Refusal::Quarantined(until));
        }
    }
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
    let listed = usable_entries(state, &View::load(state), admitted).count();
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

/// A place at an endpoint, counted as in flight.
struct Place {
    endpoint: Arc<EndpointEntry>,
    in_flight: InFlightGuard,
}

/// Waits for an endpoint whose requests in flight are below a bound. The bound is lower once the response can no
/// longer be on time, so that late requests use only capacity that others leave; after that phase the request
/// is refused. Requests to engines look for a place in turn, the most urgent first.
async fn wait_for_endpoint(
    state: &Arc<GatewayState>,
    admitted: &Admitted,
    received: Timestamp,
) -> Result<Place, Refusal> {
    let is_unsent = admitted.attempts.get() == 0 && admitted.may_have_run.is_none();
    let terms = wait_terms(admitted, received);
    let deadlines = terms.request.deadlines;
    let guard = state.waiting_room.enter(&admitted.service, terms);
    if terms.least_urgent.is_some() {
        let gather_ms = first_look(received, state.started()).ms_since(state.clock.now());
        if gather_ms > 0 {
            sleep(Duration::from_millis(gather_ms)).await;
        }
    }
    let wait = PlaceWait::begin(terms.request);
    let mut has_waited = false;
    loop {
        let now = state.clock.now();
        if is_unsent && state.could_cut_off(admitted.deadline) {
            return Err(Refusal::Draining);
        }
        let phase = wait.phase(now);
        let view = View::load(state);
        let mut next_window = None;
        if let Turn::Look { pressure } = guard.turn(view.peers.waiting(), now) {
            let places = Places::find(state, &view, admitted, phase, pressure, now);
            next_window = places.next_window.filter(|open| *open <= deadlines.expires());
            let instances = view.peers.peers.len() + 1;
            let may_claim = guard.may_claim(places.totals(), view.peers.waiting(), instances, now);
            if may_claim
                && let Some(endpoint) = places.choose(state, admitted, deadlines.expires(), now)
            {
                // Counted before the next request in turn looks for a place.
                let cost = admitted.estimate_cost(state, now);
                let work = cost.map(|cost| state.loads.work.start_request(&endpoint, cost, now));
                let in_flight = state.loads.start_request(&endpoint).with_work(work);
                guard.record_grant(now);
                record_wait(state, has_waited, "granted", wait.grant(now).waited_ms());
                return Ok(Place { endpoint, in_flight });
            }
        }
        if is_none_usable(state, &view, admitted) {
            state.metrics.routing.refused_unusable.inc();
            let retry_after_ms = come_back_ms(RefusalCause::Full, rand::random());
            return Err(NoEndpoint { retry_after_ms }.into());
        }
        let pause_end = pause_end(state, &view, admitted, now);
        if let Some(pause_end) = pause_end.filter(|end| *end > deadlines.expires()) {
            return Err(NoEndpoint { retry_after_ms: pause_end.ms_since(now) }.into());
        }
        let is_refused = has_refusing_group(state, &view, admitted);
        let may_wait = admitted.gap_limit.is_some()
            || is_refused
            || pause_end.is_some()
            || next_window.is_some();
        let cannot_be_served_in_time =
            !is_refused && pause_end.is_none() && guard.cannot_be_served_in_time(now);
        if !may_wait || cannot_be_served_in_time || phase == QueuePhase::Expired {
            let end = if cannot_be_served_in_time { "too_late" } else { "expired" };
            record_wait(state, has_waited || cannot_be_served_in_time, end, now.ms_since(received));
            let retry_after_ms = return_ms(admitted, now);
            let retry_after_ms = wait.expire(retry_after_ms).retry_after_ms();
            return Err(NoEndpoint { retry_after_ms }.into());
        }
        if !std::mem::replace(&mut has_waited, true) {
            guard.begin_to_wait(now);
        }
        let phase_end = deadlines.phase_end(now);
        let mut remaining_ms =
            pause_end.map_or(phase_end, |end| end.min(phase_end)).ms_since(now).max(1);
        if is_refused {
            remaining_ms = remaining_ms.min(GROUP_POLL_MS);
        }
        if let Some(open) = next_window {
            remaining_ms = remaining_ms.min(open.ms_since(now).max(1));
        }
        // Looks again after a timeout as after a change.
        if timeout(Duration::from_millis(remaining_ms), guard.woken()).await.is_err()
            && wait.phase(state.clock.now()) != phase
        {
            // Requests that can still be on time now come before this one.
            guard.wake_others(state.clock.now());
        }
    }
}

/// How long a request waits before its first attempt.
fn queue_deadlines(admitted: &Admitted, received: Timestamp) -> QueueDeadlines {
    QueueDeadlines::new(received, admitted.route.target_ms, admitted.deadline)
}

/// How a request waits for a place.
fn wait_terms(admitted: &Admitted, received: Timestamp) -> WaitTerms {
    // Without a limit of the batch there is nothing to wait for.
    let range = admitted.priorities.filter(|_| admitted.gap_limit.is_some());
    let priority = range.map_or(admitted.priority, |range| {
        waiting_priority(admitted.priority, range.most_urgent, rand::random())
    });
    let request = PlaceRequest {
        priority,
        received,
        deadlines: queue_deadlines(admitted, received),
        is_unrestricted: admitted.avoid.is_empty(),
    };
    WaitTerms {
        request,
        is_ordered: admitted.gap_limit.is_some(),
        least_urgent: range.map(|range| range.least_urgent),
    }
}

/// When a caller that gets no place may come back, in milliseconds.
fn return_ms(admitted: &Admitted, now: Timestamp) -> u64 {
    match admitted.priorities {
        Some(_) => spread_return_ms(admitted.deadline.ms_since(now), rand::random()),
        None => come_back_ms(RefusalCause::Full, rand::random()),
    }
}

/// Counts how the wait of a request has ended.
fn record_wait(state: &GatewayState, has_waited: bool, end: &str, waited_ms: u64) {
    if has_waited {
        state.metrics.routing.waits.with_label_values(&[end]).inc();
        state.metrics.routing.wait_seconds.observe(Duration::from_millis(waited_ms).as_secs_f64());
    }
}

/// When the first endpoint of the service that pauses wants requests again, if no endpoint wants any now.
fn pause_end(
    state: &GatewayState,
    view: &View,
    admitted: &Admitted,
    now: Timestamp,
) -> Option<Timestamp> {
    let entries = || usable_entries(state, view, admitted);
    let exclusions = state.loads.exclusions();
    if !entries().all(|entry| exclusions.contains(entry, now)) {
        return None;
    }
    entries().filter_map(|entry| exclusions.pause_end(entry, now)).min()
}

/// Whether a group of the service refuses requests, as it does while it forms.
fn has_refusing_group(state: &GatewayState, view: &View, admitted: &Admitted) -> bool {
    let groups = usable_entries(state, view, admitted).filter_map(|entry| entry.group.as_ref());
    let mut groups = groups.map(|group| &group.name);
    groups.any(|group| state.loads.is_group_refusing(group))
}
