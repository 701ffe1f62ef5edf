//! Tells a crash of an endpoint from a connection that broke for another reason.

use std::sync::Arc;

use crate::adapters::forward::upstream;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::filters::forward::exchange::RequestHead;
use crate::gateway::GatewayState;

/// Timeout of the connection that checks whether an endpoint still listens, in milliseconds. Endpoints are at
/// most a few milliseconds away; the answer of one that does not reply at all is left open.
const CHECK_TIMEOUT_MS: u64 = 100;

/// Called after a response broke off. Returns whether the endpoint's process has ended: its machine refuses
/// connections. A connection that only this gateway lost, or a silent machine, does not count.
pub(crate) async fn has_crashed(
    state: &GatewayState,
    head: &RequestHead,
    endpoint: &Arc<EndpointEntry>,
) -> bool {
    let is_refused = upstream::is_refused(endpoint.address, CHECK_TIMEOUT_MS).await;
    if is_refused {
        state.metrics.endpoint_crashes.inc();
        log::warn!(
            "endpoint crashed id={} server={} address={} started_ms={}",
            head.request_id,
            endpoint.id,
            endpoint.address,
            endpoint.started_ms
        );
    }
    is_refused
}
