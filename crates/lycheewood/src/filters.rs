//! The filter chain that every request passes through.
//!
//! A filter takes an [`Exchange`] in one stage and gives it in the next, or ends it with a
//! [`RequestError`]. The order stands in [`run`] alone, and a wrong order does not compile.

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

/// Passes a request through the chain, up to the head of its answer.
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

/// Makes attempts until one gives an answer or no other may be made.
pub(crate) async fn attempt(
    state: &Arc<EntryState>,
    request: &Arc<Request>,
    mut admitted: Admitted,
) -> Result<Answer, RequestError> {
    loop {
        // Each attempt looks at the present state, which shows the failure of the one before.
        let view = View::load(state);
        let exchange = Exchange::attempt(request, &view, state.clock.now(), admitted)?;
        match attempt_once(state, exchange).await? {
            AttemptOutcome::Answer(answer) => return Ok(*answer),
            AttemptOutcome::Retry(retry) => admitted = retry,
        }
    }
}

/// What follows an attempt.
enum AttemptOutcome {
    /// The answer starts.
    Answer(Box<Answer>),
    /// Another attempt.
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
