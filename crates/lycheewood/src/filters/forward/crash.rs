//! Tells a crash of an endpoint from a connection that broke for another reason, and reports the request that was
//! in flight with its prompt parts.

use tokio::sync::oneshot;

use crate::adapters::forward::upstream;
use crate::controllers::gateway_quarantine::ReportCrash;
use crate::decisions::digest::Fingerprint;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::quarantine::record::{ReportId, SuspectReport};
use crate::filters::forward::exchange::{Admitted, RequestHead};
use crate::gateway::GatewayState;

/// Timeout of the connection that checks whether an endpoint still listens, in milliseconds. Endpoints are at
/// most a few milliseconds away; the answer of one that does not reply at all is left open.
const CHECK_TIMEOUT_MS: u64 = 100;
/// Duration of a quarantine, in milliseconds. A request that crashes every endpoint crashes one more each time
/// this is over.
const QUARANTINE_MS: u64 = 60_000;

/// What an endpoint had sent of a response that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// No event and no complete response.
    None,
    /// One event or more.
    Sent,
}

/// Called after a response broke off. Reports the request as suspect if the endpoint's process has ended, which
/// its machine shows by refusing connections. A connection that only this gateway lost, or a silent machine, does
/// not count, and neither does a request that an endpoint has completed lately, or a prompt part for which one has
/// sent output.
pub(crate) async fn report_if_crashed(
    state: &GatewayState,
    head: &RequestHead,
    admitted: &Admitted,
    endpoint: &EndpointEntry,
    output: Output,
) {
    if !upstream::is_refused(endpoint.address, CHECK_TIMEOUT_MS).await {
        return;
    }
    let suspects = |fingerprints: &[Fingerprint]| -> Vec<Fingerprint> {
        fingerprints.iter().copied().filter(|f| !state.has_completed(f)).collect()
    };
    let fingerprints = suspects(&[admitted.fingerprint]);
    let prompt_parts = match output {
        Output::None => suspects(&admitted.prompt_parts),
        Output::Sent => Vec::new(),
    };
    state.metrics.endpoint_crashes.inc();
    log::warn!(
        "endpoint crashed id={} server={} address={} started_ms={} request={} output={output:?} prompt_parts={:?} suspects={}",
        head.request_id,
        endpoint.id,
        endpoint.address,
        endpoint.started_ms,
        admitted.fingerprint,
        head.shared_prompt_parts,
        fingerprints.len() + prompt_parts.len()
    );
    if fingerprints.is_empty() && prompt_parts.is_empty() {
        return;
    }
    let Some(quarantine) = state.quarantine() else { return };
    let report = SuspectReport {
        report: ReportId::of_incarnation(&endpoint.id, endpoint.started_ms),
        fingerprints,
        prompt_parts,
        ran_alone: false,
        version: None,
        quarantine_ms: QUARANTINE_MS,
    };
    let (reply, reported) = oneshot::channel();
    let _ = quarantine.tell(ReportCrash { report, reply }).try_send();
    // The controller lives as long as the process, so it replies.
    let _ = reported.await;
}
