//! The filter chain for completions and service calls.
//!
//! A filter takes an [`Exchange`] in one stage and returns it in the next stage, or ends the request with
//! a [`RequestError`]. Only [`run`] and [`attempt`] define the order of the filters, and a wrong order
//! does not compile.

pub(crate) mod admit;
pub(crate) mod authenticate;
pub(crate) mod claim;
pub(crate) mod classify;
pub(crate) mod deduplicate;
pub(crate) mod dispatch;
pub(crate) mod exchange;
pub(crate) mod forward;
pub(crate) mod lookup;
pub(crate) mod relay;
pub(crate) mod request;
pub(crate) mod retry;
pub(crate) mod route;
pub(crate) mod trace;
pub(crate) mod trial;

use std::sync::Arc;

use crate::entry_state::EntryState;
use crate::filters::claim::ClaimOutcome;
use crate::filters::deduplicate::DeduplicationOutcome;
use crate::filters::dispatch::DispatchOutcome;
use crate::filters::exchange::{Admitted, Exchange, View};
use crate::filters::relay::{Answer, HeadOutcome};
use crate::filters::request::Request;
use crate::outcome::RequestError;

/// Passes a request through the chain and returns once the head of its answer has arrived.
pub(crate) async fn run(
    state: &Arc<EntryState>,
    request: &Arc<Request>,
) -> Result<Answer, RequestError> {
    let view = View::load(state);
    let received = Exchange::receive(request, &view, state.phase(), state.clock.now())?;
    let traced = trace::apply(state, received);
    let authenticated = authenticate::apply(traced)?;
    let classified = classify::apply(authenticated)?;
    let admitted = admit::apply(state, classified).await?;
    attempt(state, request, admitted.stage).await
}

/// Makes attempts until one yields an answer or no further attempt is allowed.
pub(crate) async fn attempt(
    state: &Arc<EntryState>,
    request: &Arc<Request>,
    mut admitted: Admitted,
) -> Result<Answer, RequestError> {
    loop {
        // Each attempt loads the current state, which reflects the failure of the one before.
        let view = View::load(state);
        let exchange = Exchange::attempt(request, &view, state.clock.now(), admitted)?;
        match attempt_once(state, exchange).await? {
            AttemptOutcome::Answer(answer) => return Ok(*answer),
            AttemptOutcome::Retry(retry) => admitted = retry,
        }
    }
}

/// Outcome of one attempt.
enum AttemptOutcome {
    /// The head of the answer has arrived.
    Answer(Box<Answer>),
    /// The request may be attempted again.
    Retry(Admitted),
}

async fn attempt_once(
    state: &Arc<EntryState>,
    admitted: Exchange<'_, Admitted>,
) -> Result<AttemptOutcome, RequestError> {
    let unclaimed = match deduplicate::apply(state, admitted).await? {
        DeduplicationOutcome::Unclaimed(unclaimed) => unclaimed,
        DeduplicationOutcome::Answer(answer) => return Ok(AttemptOutcome::Answer(answer)),
    };
    let routed = trial::apply(state, route::apply(state, unclaimed)?).await?;
    let claimed = match claim::apply(state, routed).await? {
        ClaimOutcome::Claimed(claimed) => claimed,
        ClaimOutcome::HeldByOther(unsent) => return Ok(AttemptOutcome::Retry(unsent.stage)),
    };
    let failed = match dispatch::apply(state, claimed).await? {
        DispatchOutcome::Sent(sent) => match relay::await_head(state, *sent).await? {
            HeadOutcome::Answer(answer) => return Ok(AttemptOutcome::Answer(answer)),
            HeadOutcome::Retry(retry) => retry,
        },
        DispatchOutcome::NotSent(retry) => retry,
    };
    Ok(AttemptOutcome::Retry(retry::apply(state, failed).await?.stage))
}
