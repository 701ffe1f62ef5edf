//! Chooses the version and the endpoint for the next attempt.

use crate::controllers::load::EndpointView;
use crate::decisions::estimate::Estimate;
use crate::decisions::routing::{Candidate, RouteRequest, RoutingPolicy, choose_endpoint};
use crate::decisions::versions::choose_version;
use crate::filters::exchange::{Admitted, Exchange, Routed};
use crate::filters::request::Call;
use crate::ids::{InstanceId, VersionName};
use crate::lifecycle::attempt::Attempt;
use crate::outcome::{NotRunCode, Refusal};
use crate::roles::entry::EntryState;

/// How soon a caller may come back when no endpoint can take a request.
pub(crate) const NO_ENDPOINT_RETRY_MS: u64 = 500;
/// Bytes of a prompt that requests with a common beginning share.
const PREFIX_BYTES: usize = 256;

pub(crate) fn apply<'r>(
    state: &EntryState,
    mut exchange: Exchange<'r, Admitted>,
) -> Result<Exchange<'r, Routed<'r>>, Refusal> {
    fix_version(&mut exchange)?;
    let endpoint = choose(state, &exchange)
        .ok_or_else(|| exchange.refuse(NotRunCode::NoEndpoint, NO_ENDPOINT_RETRY_MS))?;
    let attempt = Attempt::plan(state.next_attempt());
    Ok(exchange.advance(|admitted| Routed { admitted, endpoint, attempt }))
}

/// Chooses the version of a model once; no other version may continue the answer.
fn fix_version(exchange: &mut Exchange<'_, Admitted>) -> Result<(), Refusal> {
    let Call::Completion { model, .. } = &exchange.request.call else { return Ok(()) };
    // Until a piece has been sent to the caller, another version may run the request.
    if exchange.stage.next_piece > 0 {
        return Ok(());
    }
    let endpoints = &exchange.view.endpoints.endpoints;
    let loaded = |version: &VersionName| {
        endpoints
            .iter()
            .any(|e| can_take(e, &exchange.stage) && e.version.as_ref() == Some(version))
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

fn choose<'r>(state: &EntryState, exchange: &Exchange<'r, Admitted>) -> Option<&'r EndpointView> {
    let admitted = &exchange.stage;
    let usable: Vec<(&EndpointView, Estimate)> = exchange
        .view
        .endpoints
        .endpoints
        .iter()
        .filter(|e| can_take(e, admitted))
        .filter(|e| admitted.version.is_none() || admitted.version == e.version)
        .map(|e| (e, *e.link.estimate()))
        .collect();
    let candidates: Vec<Candidate<'_>> = usable
        .iter()
        .map(|(endpoint, estimate)| Candidate {
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
    let tried: Vec<&InstanceId> = admitted.avoid.iter().collect();
    let request =
        RouteRequest { prefix: prefix(&exchange.request.call), run_alone: false, tried: &tried };
    let policy = RoutingPolicy::default();
    let now = state.clock.now();
    let index = choose_endpoint(&policy, &candidates, &request, now, rand::random()).ok()?;
    Some(usable[index].0)
}

fn can_take(endpoint: &EndpointView, admitted: &Admitted) -> bool {
    !endpoint.draining
        && endpoint.kind.as_ref().is_some_and(|kind| admitted.terms.kinds.contains(kind))
}

/// Hash of the beginning of a prompt, which engines may have in their caches.
fn prefix(call: &Call) -> Option<u64> {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let Call::Completion { prompt, .. } = call else { return None };
    // Short prompts gain nothing from a cache, and following them would only skew the load.
    let prefix = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    Some(hasher.finish())
}
