//! The endpoints of a service that a request may be sent to, whatever their load.

use std::sync::Arc;

use crate::clock::Timestamp;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::filters::forward::exchange::{Admitted, View};
use crate::gateway::GatewayState;

/// Whether a request may be sent to an endpoint: its failure domain is not evacuated, and in a region that the request's
/// route and workspace allow.
pub(super) fn is_usable(
    state: &GatewayState,
    view: &View,
    admitted: &Admitted,
    entry: &EndpointEntry,
) -> bool {
    let domain = &entry.failure_domain;
    !view.evacuations.is_evacuated(domain, state.clock.now())
        && admitted.allowed_regions().permits(state.settings.regions.region(domain))
}

/// Whether an endpoint is cold: its entry says so, or its domain was given back lately.
pub(super) fn is_cold(view: &View, entry: &EndpointEntry, now: Timestamp) -> bool {
    let listed = view.endpoints.table.cold_until(&entry.id);
    let returned = view.evacuations.cold_until(&entry.failure_domain);
    listed.max(returned).is_some_and(|until| now < until)
}

/// The endpoints of the service that the request may be sent to.
pub(super) fn usable_entries<'a>(
    state: &'a GatewayState,
    view: &'a View,
    admitted: &'a Admitted,
) -> impl Iterator<Item = &'a Arc<EndpointEntry>> {
    let entries = view.endpoints.table.endpoints(&admitted.service).iter();
    entries.filter(|entry| is_usable(state, view, admitted, entry))
}

/// Whether the service has endpoints, and the request may be sent to none of them. Waiting does not help then.
pub(super) fn is_none_usable(state: &GatewayState, view: &View, admitted: &Admitted) -> bool {
    let has_endpoints = !view.endpoints.table.endpoints(&admitted.service).is_empty();
    has_endpoints && usable_entries(state, view, admitted).next().is_none()
}
