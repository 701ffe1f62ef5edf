//! The endpoints of a service that a request may be sent to, whatever their load.

use std::sync::Arc;

use crate::clock::Timestamp;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::filters::forward::exchange::{Admitted, View};

/// Whether a request may be sent to an endpoint: its failure domain is not evacuated.
pub(super) fn is_usable(view: &View, _admitted: &Admitted, entry: &EndpointEntry) -> bool {
    !view.evacuations.is_evacuated(&entry.failure_domain)
}

/// Whether an endpoint is cold: its entry says so, or its domain was given back lately.
pub(super) fn is_cold(view: &View, entry: &EndpointEntry, now: Timestamp) -> bool {
    let listed = view.endpoints.table.cold_until(&entry.id);
    let returned = view.evacuations.cold_until(&entry.failure_domain);
    listed.max(returned).is_some_and(|until| now < until)
}

/// The endpoints of the service that the request may be sent to.
pub(super) fn usable_entries<'a>(
    view: &'a View,
    admitted: &'a Admitted,
) -> impl Iterator<Item = &'a Arc<EndpointEntry>> {
    let entries = view.endpoints.table.endpoints(&admitted.service).iter();
    entries.filter(|entry| is_usable(view, admitted, entry))
}

/// Whether the service has endpoints, and the request may be sent to none of them. Waiting does not help then.
pub(super) fn is_none_usable(view: &View, admitted: &Admitted) -> bool {
    let has_endpoints = !view.endpoints.table.endpoints(&admitted.service).is_empty();
    has_endpoints && usable_entries(view, admitted).next().is_none()
}
