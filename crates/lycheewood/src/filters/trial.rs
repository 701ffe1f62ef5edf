//! Reserves a trial in the log for a request that is suspected of crashing endpoints and must run alone.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::Timestamp;
use crate::controllers::quarantine::RequestTrial;
use crate::entry_state::EntryState;
use crate::filters::exchange::{Exchange, Routed};
use crate::outcome::{NotRun, NotRunCode, RequestError};

pub(crate) async fn apply<'r>(
    state: &EntryState,
    mut exchange: Exchange<'r, Routed<'r>>,
) -> Result<Exchange<'r, Routed<'r>>, RequestError> {
    if !exchange.stage.run_alone {
        return Ok(exchange);
    }
    let Routed { admitted, attempt, .. } = &exchange.stage;
    let left_ms = admitted.spec.deadline.ms_since(state.clock.now());
    let (reply, verdict) = oneshot::channel();
    let request = RequestTrial {
        fingerprint: admitted.spec.fingerprint.into(),
        attempt: attempt.id(),
        version: admitted.version.clone(),
        // The request's deadline is one clock skew before the end of the trial.
        duration_ms: left_ms.saturating_add(2 * state.settings.timing.clock_skew_ms),
        reply,
    };
    let _ = state.quarantine.tell(request).try_send();
    let wait = Duration::from_millis(left_ms.min(state.settings.timing.claim_wait_ms));
    match timeout(wait, verdict).await {
        Ok(Ok(Ok(latest_deadline))) => {
            let spec = &mut exchange.stage.admitted.spec;
            spec.deadline = spec.deadline.min(latest_deadline);
            Ok(exchange)
        }
        Ok(Ok(Err(until))) => Err(refuse(state, &exchange, until)),
        Ok(Err(_)) | Err(_) => {
            let retry_at = state.clock.now().plus_ms(state.settings.timing.claim_wait_ms);
            Err(refuse(state, &exchange, retry_at))
        }
    }
}

fn refuse(
    state: &EntryState,
    exchange: &Exchange<'_, Routed<'_>>,
    until: Timestamp,
) -> RequestError {
    let not_run =
        NotRun { code: NotRunCode::Quarantined, retry_after_ms: until.ms_since(state.clock.now()) };
    exchange.stage.admitted.refuse(not_run, exchange.request.key)
}
