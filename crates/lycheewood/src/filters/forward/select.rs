//! Chooses the endpoint of the next attempt, and waits for room where streams must keep a pace.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::clock::Timestamp;
use crate::decisions::balance::{BalancingCandidate, choose_candidate};
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::queue::{QueueDeadlines, QueuePhase, in_flight_limit, queue_phase};
use crate::filters::forward::exchange::{Admitted, Exchange, Head, Selected, View};
use crate::gateway::GatewayState;
use crate::ids::{InstanceId, TargetName};
use crate::lifecycle::attempt::Attempt;
use crate::outcome::NotRunCode;
use crate::wire::heartbeat::endpoint_tag;

/// Times that a request may find another endpoint at an address. Each costs a round trip and a retry, and
/// no request finds as many unless the whole list is out of date.
const MAX_MISDIRECTED: u32 = 4;
/// Times that a request may be sent to a group that refuses it. Each takes a retry; a group that forms anew
/// has done so by then.
const MAX_CLOSED: usize = 8;
/// Time between two looks at whether a group that refuses may be tried again, in milliseconds.
const CLOSED_LOOK_MS: u64 = 50;

/// The choice.
pub(crate) enum Selection<'r> {
    /// An endpoint is chosen.
    Selected(Exchange<'r, Selected>),
    /// No endpoint may get the request.
    None(Admitted),
}

/// Chooses among the endpoints of the request's service that have not failed it. The first attempt is
/// free; a later one takes from the retry budget.
pub(crate) async fn apply<'r>(
    state: &Arc<GatewayState>,
    exchange: Exchange<'r, Admitted>,
) -> Selection<'r> {
    let Exchange { head, view, now, stage: mut admitted } = exchange;
    let is_over = admitted.attempts >= admitted.route.max_attempts
        || admitted.misdirected >= MAX_MISDIRECTED
        || admitted.refused_by.len() >= MAX_CLOSED
        || now >= admitted.deadline;
    let barred = admitted.may_have_run.is_some() && !admitted.may_run_again();
    if is_over || barred {
        return Selection::None(admitted);
    }
    let Some(endpoint) = wait_for_endpoint(state, &admitted, head.received).await else {
        note_no_endpoint(state, head, &mut admitted);
        return Selection::None(admitted);
    };
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
    let in_flight = state.loads.start(&endpoint.id);
    let attempt = Attempt::plan(state.next_attempt());
    let selected = Selected { admitted, endpoint, attempt, in_flight };
    Selection::Selected(Exchange { head, view, now: state.clock.now(), stage: selected })
}

/// Notes why no endpoint was found: there is none, or all run as many requests as keep their pace.
fn note_no_endpoint(state: &GatewayState, head: &Head, admitted: &mut Admitted) {
    let endpoints = state.endpoints.load();
    let listed = endpoints.table.endpoints(&admitted.service).len();
    let avoided = admitted.avoid.len();
    if listed > avoided && admitted.batch.is_some() {
        admitted.no_endpoint = NotRunCode::Overloaded;
    }
    log::info!(
        "no endpoint id={} service={} reason={} listed={listed} avoided={avoided} bound={:?} waited_ms={}",
        head.request_id,
        admitted.service,
        admitted.no_endpoint.as_str(),
        admitted.batch,
        state.clock.now().ms_since(head.received)
    );
}

/// Waits for an endpoint below its bound. The bound is lower once the answer can no longer be on time, so
/// that late requests take only the room that others leave; after that the request is refused.
async fn wait_for_endpoint(
    state: &GatewayState,
    admitted: &Admitted,
    received: Timestamp,
) -> Option<Arc<EndpointEntry>> {
    let deadlines = QueueDeadlines::new(received, admitted.route.target_ms, admitted.deadline);
    loop {
        // Registered before the look, so that no change between the two is missed.
        let changed = state.capacity_changed.notified();
        let now = state.clock.now();
        let phase = queue_phase(&deadlines, now);
        let bound = admitted.batch.map(|batch| in_flight_limit(batch, phase));
        if let Some(endpoint) = choose(state, admitted, bound, now) {
            return Some(endpoint);
        }
        let is_refused = has_refusing_group(state, &admitted.service);
        let waits = bound.is_some() || is_refused;
        if !waits || phase == QueuePhase::Expired {
            return None;
        }
        let mut left_ms = deadlines.phase_end(now).ms_since(now).max(1);
        if is_refused {
            left_ms = left_ms.min(CLOSED_LOOK_MS);
        }
        let left = Duration::from_millis(left_ms);
        // A timeout ends the wait like a change does: with another look.
        let _ = timeout(left, changed).await;
    }
}

/// Whether a group of the service refuses requests, as while it forms.
fn has_refusing_group(state: &GatewayState, service: &TargetName) -> bool {
    let endpoints = state.endpoints.load();
    let groups = endpoints.table.endpoints(service).iter().filter_map(|entry| entry.group.as_ref());
    let mut groups = groups.map(|group| &group.name);
    groups.any(|group| state.loads.is_group_refusing(group))
}

/// The best endpoint with fewer than `bound` requests in flight.
fn choose(
    state: &GatewayState,
    admitted: &Admitted,
    bound: Option<u32>,
    now: Timestamp,
) -> Option<Arc<EndpointEntry>> {
    let view = View::load(state);
    let entries = view.endpoints.table.endpoints(&admitted.service);
    let loads: Vec<_> = entries
        .iter()
        .filter(|entry| !state.loads.is_misdirected(&entry.id, now))
        .filter(|entry| {
            let group = entry.group.as_ref();
            !group.is_some_and(|group| state.loads.is_group_paused(&group.name, now))
        })
        .map(|entry| {
            let (own, failures) = state.loads.load(&entry.id, now);
            let others = view.peers.in_flight(&entry.id);
            (entry, own + others, failures)
        })
        .filter(|(_, in_flight, _)| bound.is_none_or(|bound| *in_flight < bound))
        .collect();
    let own_slow = state.leading().map(|leading| leading.slow).unwrap_or_default();
    let is_slow = |id: &InstanceId| {
        view.peers.is_slow(id) || own_slow.iter().any(|(tag, _)| *tag == endpoint_tag(id))
    };
    let views: Vec<_> = loads
        .iter()
        .map(|(entry, in_flight, failures)| BalancingCandidate {
            id: &entry.id,
            failure_domain: &entry.failure_domain,
            slots: entry.slots,
            in_flight: *in_flight,
            failures: *failures,
            is_slow: is_slow(&entry.id),
        })
        .collect();
    let own_domain = &state.settings.failure_domain;
    // A rank that refused may do so for itself, so the next try of its group goes to another rank.
    let untried = [admitted.avoid.as_slice(), admitted.refused_by.as_slice()].concat();
    let index = choose_candidate(&views, own_domain, &untried, rand::random())
        .or_else(|| choose_candidate(&views, own_domain, &admitted.avoid, rand::random()))?;
    Some(Arc::clone(loads[index].0))
}
