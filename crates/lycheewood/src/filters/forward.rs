//! The filter chain of forwarded requests: plain HTTP requests that go to an endpoint by host and path.
//!
//! The order stands in [`run`] and [`attempt`] alone, and a wrong order does not compile.

pub(crate) mod authenticate;
pub(crate) mod bound;
pub(crate) mod check;
pub(crate) mod exchange;
pub(crate) mod identify;
pub(crate) mod relay;
pub(crate) mod select;
pub(crate) mod send;

use std::sync::Arc;

use hyper::body::Incoming;

use crate::filters::forward::check::Checked;
use crate::filters::forward::exchange::{Admitted, Exchange, Head, View, WholeAnswer};
use crate::filters::forward::relay::StreamAnswer;
use crate::filters::forward::send::Sent;
use crate::gateway::GatewayState;
use crate::outcome::Refusal;

/// How a forwarded request is answered.
pub(crate) enum Answer {
    /// An endpoint's answer that has been read to its end.
    Whole(WholeAnswer),
    /// An endpoint's stream of events that has begun.
    Stream(Box<StreamAnswer>),
}

/// Passes a request through the chain, up to the head of its answer.
pub(crate) async fn run(
    state: &Arc<GatewayState>,
    head: &Arc<Head>,
    body: Incoming,
) -> Result<Answer, Refusal> {
    let view = View::load(state);
    let received = Exchange::receive(head, &view, state.phase(), state.clock.now())?;
    let identified = identify::apply(received)?;
    let authenticated = authenticate::apply(identified)?;
    let bounded = bound::apply(state, authenticated, body).await?;
    state.count_request(&bounded.stage.service);
    attempt(state, head, bounded.stage).await
}

/// Makes attempts until one gives an answer or no other may be made.
pub(crate) async fn attempt(
    state: &Arc<GatewayState>,
    head: &Arc<Head>,
    mut admitted: Admitted,
) -> Result<Answer, Refusal> {
    loop {
        // Each attempt looks at the present endpoints, which show the failure of the one before.
        let view = View::load(state);
        let exchange = Exchange { head, view: &view, now: state.clock.now(), stage: admitted };
        match attempt_once(state, exchange).await? {
            Next::Answer(answer) => return Ok(answer),
            Next::Again(again) => admitted = *again,
        }
    }
}

/// What follows an attempt.
enum Next {
    /// The answer.
    Answer(Answer),
    /// Another attempt.
    Again(Box<Admitted>),
}

async fn attempt_once(
    state: &Arc<GatewayState>,
    exchange: Exchange<'_, Admitted>,
) -> Result<Next, Refusal> {
    let selected = match select::apply(state, exchange).await {
        select::Selection::Selected(selected) => selected,
        // The best that is left of earlier attempts.
        select::Selection::None(admitted) => {
            return admitted.conclude(state).map(|whole| Next::Answer(Answer::Whole(whole)));
        }
    };
    match send::apply(state, selected).await {
        Sent::Answered(answered) => match check::apply(state, answered).await {
            Checked::Answer(answer) => Ok(Next::Answer(answer)),
            Checked::Again(again) => Ok(Next::Again(again)),
        },
        Sent::Again(again) => Ok(Next::Again(Box::new(again))),
    }
}
