//! Looks up the outcome of an earlier request by its key.

use std::sync::Arc;

use crate::controllers::claims::{KeyLookup, LookUpKey, claim_settings};
use crate::decisions::claims::record::ClaimKey;
use crate::entry_state::EntryState;
use crate::filters::claim::CLAIM_RETRY_MS;
use crate::filters::deduplicate::{ClaimRecovery, HolderOutcome};
use crate::filters::exchange::{Admitted, Exchange, RequestSpec, View};
use crate::filters::relay::Answer;
use crate::filters::request::Request;
use crate::filters::{authenticate, trace};
use crate::ids::{RequestKey, TargetName};
use crate::outcome::{NotRunCode, RequestError, UnknownCode, UnknownOutcome};

/// Outcome of the request with a key.
pub(crate) enum LookupOutcome {
    /// The answer of the attempt that holds the key.
    Answer(Box<Answer>),
    /// The attempt that held the key never ran and never will.
    NotRun,
    /// No attempt is recorded, but one may be in transit.
    NotSeen,
}

pub(crate) async fn run(
    state: &Arc<EntryState>,
    request: &Arc<Request>,
    key: RequestKey,
) -> Result<LookupOutcome, RequestError> {
    lookup(state, request, key).await.map_err(|error| match error {
        // A failed lookup must not be reported as proof that the request did not run.
        RequestError::NotRun(_) => RequestError::Unknown(UnknownOutcome {
            code: UnknownCode::LookupUnavailable,
            key: Some(key),
        }),
        other => other,
    })
}

async fn lookup(
    state: &Arc<EntryState>,
    request: &Arc<Request>,
    key: RequestKey,
) -> Result<LookupOutcome, RequestError> {
    let view = View::load(state);
    let received = Exchange::receive(request, &view, state.phase(), state.clock.now())?;
    let authenticated = authenticate::apply(trace::apply(state, received))?;
    let (now, document) = (authenticated.now, authenticated.document);
    claim_settings(&state.settings.timing).check_key(&key, now)?;
    let workspace = &authenticated.stage.workspace.name;
    let claim_key = ClaimKey::new(workspace, &key);
    let unavailable = || RequestError::not_run(NotRunCode::ClaimUnavailable, CLAIM_RETRY_MS);
    let lookup = LookUpKey { key: claim_key, fingerprint: None };
    let holder = match state.claims.ask(lookup).await.map_err(|_| unavailable())? {
        KeyLookup::Held(holder) => holder,
        KeyLookup::StreamNotRead => return Err(unavailable()),
        KeyLookup::Free | KeyLookup::DifferentRequest | KeyLookup::KeyExpired => {
            return Ok(LookupOutcome::NotSeen);
        }
    };
    let wait_ms = request.deadline_ms.unwrap_or(document.document.deadlines.default_ms);
    let spec = RequestSpec {
        workspace: workspace.clone(),
        target: TargetName::new(request.call.target()),
        kinds: Vec::new(),
        non_idempotent: true,
        priority: 0,
        deadline: now.plus_ms(wait_ms),
        fingerprint: [0; 16],
        span: authenticated.stage.span,
    };
    let admitted = Admitted::new(spec, None);
    let recovery = ClaimRecovery { request, admitted: &admitted, key, claim_key, holder: &holder };
    match recovery.resolve(state).await? {
        HolderOutcome::Answer(answer) => Ok(LookupOutcome::Answer(answer)),
        HolderOutcome::Free => Ok(LookupOutcome::NotRun),
    }
}
