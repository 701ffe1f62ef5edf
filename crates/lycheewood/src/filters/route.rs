//! Selects the version and the endpoint for the next attempt.

use crate::clock::Timestamp;
use crate::controllers::load::ConnectedEndpoint;
use crate::decisions::estimate::EndpointEstimate;
use crate::decisions::membership::{ConnectionState, Eligibility, InstanceView, eligibility};
use crate::decisions::quarantine::QuarantineDecision;
use crate::decisions::routing::{RouteCandidate, RouteRequest, choose_endpoint};
use crate::decisions::versions::choose_version;
use crate::entry_state::EntryState;
use crate::filters::exchange::{Admitted, Exchange, Routed, View};
use crate::filters::request::Call;
use crate::ids::{AttemptId, InstanceId, VersionName};
use crate::lifecycle::attempt::Attempt;
use crate::outcome::{NotRunCode, RequestError};

/// Retry delay sent to a caller when no endpoint can serve its request.
pub(crate) const NO_ENDPOINT_RETRY_MS: u64 = 500;
/// Prompt bytes that determine the prefix used for cache affinity.
const PREFIX_BYTES: usize = 256;

pub(crate) fn apply<'r>(
    state: &EntryState,
    mut exchange: Exchange<'r, Admitted>,
) -> Result<Exchange<'r, Routed<'r>>, RequestError> {
    select_version(&mut exchange)?;
    let attempt = Attempt::plan(state.next_attempt());
    let run_alone = must_run_alone(state, &exchange, attempt.id())?;
    let endpoint = select_endpoint(state, &exchange, run_alone)
        .ok_or_else(|| exchange.refuse(NotRunCode::NoEndpoint, NO_ENDPOINT_RETRY_MS))?;
    Ok(exchange.advance(|admitted| Routed { admitted, endpoint, attempt, run_alone }))
}

/// Whether the request is suspected of crashing endpoints. Refuses it while it is quarantined.
///
/// Loads the current table instead of the snapshot, because a report may have arrived while an earlier
/// filter waited.
fn must_run_alone(
    state: &EntryState,
    exchange: &Exchange<'_, Admitted>,
    attempt: AttemptId,
) -> Result<bool, RequestError> {
    let admitted = &exchange.stage;
    let fingerprint = admitted.spec.fingerprint.into();
    let (version, now) = (admitted.version.as_ref(), exchange.now);
    match state.quarantined.load().decide(&fingerprint, version, attempt, now) {
        QuarantineDecision::Run => Ok(false),
        QuarantineDecision::NeedsTrial | QuarantineDecision::RunAlone { .. } => Ok(true),
        QuarantineDecision::RefuseUntil(until) => {
            Err(exchange.refuse(NotRunCode::Quarantined, until.ms_since(now)))
        }
    }
}

/// Selects the version of a model; once a chunk is sent, no other version may continue the answer.
fn select_version(exchange: &mut Exchange<'_, Admitted>) -> Result<(), RequestError> {
    let Call::Completion { model, .. } = &exchange.request.call else { return Ok(()) };
    // Until a chunk has been sent to the caller, any version may run the request.
    if exchange.stage.next_chunk > 0 {
        return Ok(());
    }
    let endpoints = &exchange.view.endpoints.endpoints;
    let loaded = |version: &VersionName| {
        let mut usable = endpoints.iter().filter(|e| e.version.as_ref() == Some(version));
        usable.any(|e| can_serve(exchange.view, &exchange.stage, exchange.now, e))
    };
    let version = exchange
        .document
        .document
        .model(model)
        .and_then(|model| choose_version(model, loaded, rand::random()))
        .map(|version| version.name.clone());
    if version.is_none() {
        return Err(exchange.refuse(NotRunCode::NoEndpoint, NO_ENDPOINT_RETRY_MS));
    }
    exchange.stage.version = version;
    Ok(())
}

fn select_endpoint<'r>(
    state: &EntryState,
    exchange: &Exchange<'r, Admitted>,
    run_alone: bool,
) -> Option<&'r ConnectedEndpoint> {
    let admitted = &exchange.stage;
    let usable: Vec<(&ConnectedEndpoint, EndpointEstimate)> = exchange
        .view
        .endpoints
        .endpoints
        .iter()
        .filter(|e| can_serve(exchange.view, admitted, exchange.now, e))
        .filter(|e| admitted.version.is_none() || admitted.version == e.version)
        .map(|e| (e, *e.link.estimate()))
        .collect();
    let candidates: Vec<RouteCandidate<'_>> = usable
        .iter()
        .map(|(endpoint, estimate)| RouteCandidate {
            endpoint: &endpoint.link.instance,
            failure_domain: &endpoint.link.failure_domain,
            estimate,
            report: Some(&endpoint.load),
            cached_share: 0.0,
            draining: endpoint.draining,
            silent: false,
            reserved: false,
        })
        .collect();
    let tried: Vec<&InstanceId> = admitted.tried_endpoints.iter().collect();
    let request = RouteRequest { prefix: prefix(&exchange.request.call), run_alone, tried: &tried };
    let now = state.clock.now();
    let index =
        choose_endpoint(&state.settings.routing, &candidates, &request, now, rand::random())
            .ok()?;
    Some(usable[index].0)
}

/// Whether an endpoint other than `current` can serve the request with its selected version.
pub(crate) fn another_endpoint_can_serve(
    view: &View,
    admitted: &Admitted,
    now: Timestamp,
    current: &InstanceId,
) -> bool {
    view.endpoints.endpoints.iter().any(|e| {
        e.link.instance != *current
            && (admitted.version.is_none() || admitted.version == e.version)
            && can_serve(view, admitted, now, e)
    })
}

fn can_serve(
    view: &View,
    admitted: &Admitted,
    now: Timestamp,
    endpoint: &ConnectedEndpoint,
) -> bool {
    let members = &view.members;
    let instance = InstanceView {
        list_status: members.list_status(&endpoint.link.instance),
        draining: endpoint.draining,
        // The link closes a silent connection and removes its endpoint from the table, so each endpoint
        // in the table counts as heard from now.
        connection: ConnectionState::Open { opened: endpoint.connected_at, last_frame: now },
    };
    let settings = &members.settings;
    eligibility(&instance, members.received, settings, now) == Eligibility::Eligible
        && endpoint.load.capacity > 0
        && endpoint.kind.as_ref().is_some_and(|kind| admitted.spec.kinds.contains(kind))
}

/// Returns the hash of a prompt's prefix, which an engine may have in its cache.
fn prefix(call: &Call) -> Option<u64> {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let Call::Completion { prompt, .. } = call else { return None };
    // Short prompts gain nothing from a cache, and cache affinity for them would only skew the load.
    let prefix = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    Some(hasher.finish())
}
