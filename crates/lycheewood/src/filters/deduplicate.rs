//! Looks a key up before a request that may not repeat is attempted.

use tokio::time::{Instant, timeout_at};

use std::sync::Arc;
use std::time::Duration;

use crate::controllers::claims::{Found, Look, Promised, claim_settings};
use crate::controllers::load::EndpointView;
use crate::decisions::claims::record::ClaimKey;
use crate::decisions::claims::recovery::{RecoveryReply, RecoveryStep, recovery_step};
use crate::decisions::claims::{Holder, different_request};
use crate::filters::claim::CLAIM_RETRY_MS;
use crate::filters::exchange::{Admitted, Exchange};
use crate::filters::relay::{self, Answer, Recovered};
use crate::ids::RequestKey;
use crate::outcome::{NotRunCode, Refusal, Unknown, UnknownCode};
use crate::roles::entry::EntryState;
use crate::wire::message::Recover;

/// What is known of a key.
pub(crate) enum Deduplicated<'r> {
    /// No attempt holds it.
    New(Exchange<'r, Admitted>),
    /// An earlier attempt has the answer.
    Known(Answer),
}

pub(crate) async fn apply<'r>(
    state: &Arc<EntryState>,
    exchange: Exchange<'r, Admitted>,
) -> Result<Deduplicated<'r>, Refusal> {
    let (true, Some(key)) = (exchange.stage.terms.non_idempotent, exchange.request.key) else {
        return Ok(Deduplicated::New(exchange));
    };
    let settings = claim_settings(&state.settings.timing);
    settings.check_key(&key, state.clock.now())?;
    let terms = &exchange.stage.terms;
    let claim_key = ClaimKey::new(&terms.workspace, &key);
    let look = Look { key: claim_key, fingerprint: Some(terms.fingerprint.into()) };
    let unavailable = || Refusal::not_run(NotRunCode::ClaimUnavailable, CLAIM_RETRY_MS);
    match state.claims.ask(look).await.map_err(|_| unavailable())? {
        Found::Free => Ok(Deduplicated::New(exchange)),
        Found::NotRead => Err(unavailable()),
        Found::DifferentRequest => Err(different_request()),
        Found::KeyExpired => {
            Err(Refusal::Unknown(Unknown { code: UnknownCode::KeyExpired, key: Some(key) }))
        }
        Found::Held(holder) => recover(state, exchange, key, claim_key, &holder).await,
    }
}

/// Asks the endpoint process that the claim names, until it replies or the deadline passes.
async fn recover<'r>(
    state: &Arc<EntryState>,
    exchange: Exchange<'r, Admitted>,
    key: RequestKey,
    claim_key: ClaimKey,
    holder: &Holder,
) -> Result<Deduplicated<'r>, Refusal> {
    let deadline = exchange.stage.terms.deadline;
    let mut answer = None;
    let mut reply = RecoveryReply::NotAsked;
    loop {
        match recovery_step(&claim_key, holder, reply, deadline, state.clock.now()) {
            RecoveryStep::Ask | RecoveryStep::Wait => {
                let (asked, found) = ask(state, &exchange, holder).await;
                (reply, answer) = (asked, found);
            }
            RecoveryStep::ClaimAnew(entry) => {
                // The new claim follows this entry in the same order in the log.
                let _ = state.claims.tell(Promised { entry }).try_send();
                return Ok(Deduplicated::New(exchange));
            }
            RecoveryStep::Relay => {
                let unknown = Unknown { code: UnknownCode::HolderLost, key: Some(key) };
                return answer.map(Deduplicated::Known).ok_or(Refusal::Unknown(unknown));
            }
            RecoveryStep::Unknown(code) => {
                return Err(Refusal::Unknown(Unknown { code, key: Some(key) }));
            }
        }
    }
}

/// Asks once; waits for the endpoint to be connected first.
async fn ask(
    state: &Arc<EntryState>,
    exchange: &Exchange<'_, Admitted>,
    holder: &Holder,
) -> (RecoveryReply, Option<Answer>) {
    let left_ms = exchange.stage.terms.deadline.ms_since(state.clock.now());
    let until = Instant::now() + Duration::from_millis(left_ms);
    let Ok(endpoint) = timeout_at(until, connected(state, holder)).await else {
        return (RecoveryReply::NoAnswer, None);
    };
    if endpoint.incarnation != holder.endpoint_incarnation {
        return (RecoveryReply::IncarnationGone, None);
    }
    let recover =
        Recover { attempt: holder.attempt, endpoint_incarnation: holder.endpoint_incarnation };
    let events = endpoint.link.recover(recover).await;
    match relay::recovered(state, exchange, &endpoint, events).await {
        Recovered::Answer(answer) => (RecoveryReply::Answer, Some(*answer)),
        Recovered::Promised => (RecoveryReply::Promised, None),
        Recovered::Failed => (RecoveryReply::Failed, None),
        Recovered::IncarnationGone => (RecoveryReply::IncarnationGone, None),
        Recovered::NoAnswer => (RecoveryReply::NoAnswer, None),
    }
}

/// Waits until the instance that a claim names is connected.
async fn connected(state: &EntryState, holder: &Holder) -> EndpointView {
    let mut progress = state.progress.subscribe();
    loop {
        let table = state.endpoints.load();
        let found = table.endpoints.iter().find(|e| e.link.instance == holder.endpoint);
        if let Some(endpoint) = found {
            return endpoint.clone();
        }
        drop(table);
        if progress.changed().await.is_err() {
            // The controllers have stopped; the caller's deadline ends the wait.
            std::future::pending::<()>().await;
        }
    }
}
