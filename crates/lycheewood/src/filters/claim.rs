//! Claims the key of a non-idempotent request in the log before an attempt is sent.

use tokio::sync::oneshot;

use crate::adapters::peer::link::Ticket;
use crate::controllers::claims::{AcquireClaim, AcquireError};
use crate::decisions::claims::different_request_refusal;
use crate::decisions::claims::record::{ClaimKey, ClaimRecord};
use crate::entry_state::EntryState;
use crate::filters::exchange::{Admitted, Claimed, Exchange, Routed};
use crate::ids::RequestKey;
use crate::lifecycle::claim::{Claim, DenialReason, Granted};
use crate::outcome::{NotRunCode, RequestError, UnknownCode, UnknownOutcome};

/// Retry delay sent to a caller when its claim was not decided or another attempt holds its key.
pub(crate) const CLAIM_RETRY_MS: u64 = 1_000;

/// Outcome of claiming the key of a request.
pub(crate) enum ClaimOutcome<'r> {
    /// The attempt may be sent.
    Claimed(Exchange<'r, Claimed<'r>>),
    /// Another attempt holds the key; this one has not been sent.
    HeldByOther(Exchange<'r, Admitted>),
}

pub(crate) async fn apply<'r>(
    state: &EntryState,
    exchange: Exchange<'r, Routed<'r>>,
) -> Result<ClaimOutcome<'r>, RequestError> {
    let claim = match (exchange.stage.admitted.spec.non_idempotent, exchange.request.key) {
        (false, _) => None,
        (true, Some(key)) => match acquire(state, &exchange, key).await? {
            Some(claim) => Some(claim),
            None => {
                return Ok(ClaimOutcome::HeldByOther(exchange.advance(|routed| routed.admitted)));
            }
        },
        // Unreachable: `classify` refuses non-idempotent requests without a key.
        (true, None) => return Err(RequestError::field("idempotency-key", "send a key")),
    };
    Ok(ClaimOutcome::Claimed(exchange.advance(|routed| {
        let Routed { admitted, endpoint, attempt, run_alone } = routed;
        let ticket = match claim {
            Some(claim) => Ticket::Claimed(claim, attempt),
            None => Ticket::Repeatable(attempt),
        };
        Claimed { admitted, endpoint, ticket, run_alone }
    })))
}

/// Waits until the log has decided the claim. Returns `None` if another attempt holds the key.
async fn acquire(
    state: &EntryState,
    exchange: &Exchange<'_, Routed<'_>>,
    key: RequestKey,
) -> Result<Option<Claim<Granted>>, RequestError> {
    let Routed { admitted, endpoint, attempt, .. } = &exchange.stage;
    let record = ClaimRecord {
        key: ClaimKey::new(&admitted.spec.workspace, &key),
        attempt: attempt.id(),
        endpoint: endpoint.link.instance.clone(),
        endpoint_incarnation: endpoint.incarnation,
        fingerprint: admitted.spec.fingerprint.into(),
    };
    let left_ms = admitted.spec.deadline.ms_since(state.clock.now());
    let (reply, granted) = oneshot::channel();
    let acquire = AcquireClaim {
        claim: Claim::new(record),
        wait_ms: left_ms.min(state.settings.timing.claim_wait_ms),
        reply,
    };
    // If the control thread has stopped, the reply channel closes and the claim counts as unavailable.
    let _ = state.claims.tell(acquire).try_send();
    match granted.await {
        Ok(Ok(claim)) => Ok(Some(claim)),
        Ok(Err(AcquireError::Denied(DenialReason::HeldBy(_)))) => Ok(None),
        Ok(Err(AcquireError::Denied(reason))) => Err(denial_error(&reason, key)),
        Ok(Err(AcquireError::TimedOut)) | Err(_) => {
            Err(RequestError::not_run(NotRunCode::ClaimUnavailable, CLAIM_RETRY_MS))
        }
    }
}

/// Returns the error for a denied claim. This attempt has not run.
fn denial_error(reason: &DenialReason, key: RequestKey) -> RequestError {
    match reason {
        DenialReason::HeldBy(_) => RequestError::Unknown(UnknownOutcome {
            code: UnknownCode::StillRunning,
            key: Some(key),
        }),
        DenialReason::Superseded => {
            RequestError::not_run(NotRunCode::ClaimUnavailable, CLAIM_RETRY_MS)
        }
        DenialReason::DifferentRequest => different_request_refusal(),
        DenialReason::KeyExpired => {
            RequestError::Unknown(UnknownOutcome { code: UnknownCode::KeyExpired, key: Some(key) })
        }
    }
}
