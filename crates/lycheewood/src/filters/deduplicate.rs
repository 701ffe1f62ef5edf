//! Looks up the key of a non-idempotent request before each attempt.

use tokio::time::{Instant, timeout_at};

use std::sync::Arc;
use std::time::Duration;

use crate::controllers::claims::{AppendRecovered, KeyLookup, LookUpKey, claim_settings};
use crate::controllers::load::ConnectedEndpoint;
use crate::decisions::claims::record::ClaimKey;
use crate::decisions::claims::recovery::{RecoveryReply, RecoveryStep, recovery_step};
use crate::decisions::claims::{ClaimHolder, different_request_refusal};
use crate::entry_state::EntryState;
use crate::filters::claim::CLAIM_RETRY_MS;
use crate::filters::exchange::{Admitted, Exchange};
use crate::filters::relay::{self, Answer, RecoveryOutcome};
use crate::filters::request::Request;
use crate::ids::RequestKey;
use crate::outcome::{NotRunCode, RequestError, UnknownCode, UnknownOutcome};
use crate::wire::message::Recover;

/// Outcome of looking up the key of a request.
pub(crate) enum DeduplicationOutcome<'r> {
    /// No attempt holds the key.
    Unclaimed(Exchange<'r, Admitted>),
    /// The answer of an earlier attempt.
    Answer(Box<Answer>),
}

pub(crate) async fn apply<'r>(
    state: &Arc<EntryState>,
    exchange: Exchange<'r, Admitted>,
) -> Result<DeduplicationOutcome<'r>, RequestError> {
    let (true, Some(key)) = (exchange.stage.spec.non_idempotent, exchange.request.key) else {
        return Ok(DeduplicationOutcome::Unclaimed(exchange));
    };
    let settings = claim_settings(&state.settings.timing);
    settings.check_key(&key, state.clock.now())?;
    let spec = &exchange.stage.spec;
    let claim_key = ClaimKey::new(&spec.workspace, &key);
    let lookup = LookUpKey { key: claim_key, fingerprint: Some(spec.fingerprint.into()) };
    let unavailable = || RequestError::not_run(NotRunCode::ClaimUnavailable, CLAIM_RETRY_MS);
    match state.claims.ask(lookup).await.map_err(|_| unavailable())? {
        KeyLookup::Free => Ok(DeduplicationOutcome::Unclaimed(exchange)),
        KeyLookup::StreamNotRead => Err(unavailable()),
        KeyLookup::DifferentRequest => Err(different_request_refusal()),
        KeyLookup::KeyExpired => Err(RequestError::Unknown(UnknownOutcome {
            code: UnknownCode::KeyExpired,
            key: Some(key),
        })),
        KeyLookup::Held(holder) => {
            let recovery = ClaimRecovery {
                request: exchange.request,
                admitted: &exchange.stage,
                key,
                claim_key,
                holder: &holder,
            };
            match recovery.resolve(state).await? {
                HolderOutcome::Answer(answer) => Ok(DeduplicationOutcome::Answer(answer)),
                HolderOutcome::Free => Ok(DeduplicationOutcome::Unclaimed(exchange)),
            }
        }
    }
}

/// Outcome of the attempt that holds a key.
pub(crate) enum HolderOutcome {
    /// The attempt has an answer.
    Answer(Box<Answer>),
    /// The attempt never ran and never will; the key is free.
    Free,
}

/// Recovery of the outcome of the attempt that holds a key.
pub(crate) struct ClaimRecovery<'q> {
    pub(crate) request: &'q Arc<Request>,
    pub(crate) admitted: &'q Admitted,
    pub(crate) key: RequestKey,
    pub(crate) claim_key: ClaimKey,
    pub(crate) holder: &'q ClaimHolder,
}

impl ClaimRecovery<'_> {
    /// Queries the endpoint process that the claim names until it replies or the deadline passes.
    pub(crate) async fn resolve(
        &self,
        state: &Arc<EntryState>,
    ) -> Result<HolderOutcome, RequestError> {
        let deadline = self.admitted.spec.deadline;
        let unknown = |code| RequestError::Unknown(UnknownOutcome { code, key: Some(self.key) });
        let mut answer = None;
        let mut reply = RecoveryReply::NotAsked;
        loop {
            let now = state.clock.now();
            match recovery_step(&self.claim_key, self.holder, reply, deadline, now) {
                RecoveryStep::Ask | RecoveryStep::Wait => {
                    (reply, answer) = self.query_holder(state).await;
                }
                RecoveryStep::ClaimAgain(entry) => {
                    // The controller appends in mailbox order, so a new claim follows this entry in the log.
                    let _ = state.claims.tell(AppendRecovered { entry }).try_send();
                    return Ok(HolderOutcome::Free);
                }
                RecoveryStep::Relay => {
                    let answer = answer.ok_or_else(|| unknown(UnknownCode::HolderLost))?;
                    return Ok(HolderOutcome::Answer(answer));
                }
                RecoveryStep::Unknown(code) => return Err(unknown(code)),
            }
        }
    }

    /// Waits for a connection to the endpoint, then queries it once.
    async fn query_holder(&self, state: &Arc<EntryState>) -> (RecoveryReply, Option<Box<Answer>>) {
        let left_ms = self.admitted.spec.deadline.ms_since(state.clock.now());
        let until = Instant::now() + Duration::from_millis(left_ms);
        let Ok(endpoint) = timeout_at(until, wait_until_connected(state, self.holder)).await else {
            return (RecoveryReply::NoAnswer, None);
        };
        if endpoint.incarnation != self.holder.endpoint_incarnation {
            return (RecoveryReply::IncarnationGone, None);
        }
        let recover = Recover {
            attempt: self.holder.attempt,
            endpoint_incarnation: self.holder.endpoint_incarnation,
        };
        let events = endpoint.link.recover(recover).await;
        let outcome =
            relay::await_recovery(state, self.request, self.admitted, &endpoint, events).await;
        match outcome {
            RecoveryOutcome::Answer(answer) => (RecoveryReply::Answer, Some(answer)),
            RecoveryOutcome::Promised => (RecoveryReply::Promised, None),
            RecoveryOutcome::Failed => (RecoveryReply::Failed, None),
            RecoveryOutcome::IncarnationGone => (RecoveryReply::IncarnationGone, None),
            RecoveryOutcome::NoAnswer => (RecoveryReply::NoAnswer, None),
        }
    }
}

/// Waits until the endpoint that a claim names is connected.
async fn wait_until_connected(state: &EntryState, holder: &ClaimHolder) -> ConnectedEndpoint {
    let mut progress = state.progress.subscribe();
    loop {
        let table = state.endpoints.load();
        let connected = table.endpoints.iter().find(|e| e.link.instance == holder.endpoint);
        if let Some(endpoint) = connected {
            return endpoint.clone();
        }
        drop(table);
        if progress.changed().await.is_err() {
            // The controllers have stopped; only the request's deadline ends the wait.
            std::future::pending::<()>().await;
        }
    }
}
