//! The filter chain of forwarded requests: plain HTTP requests that are routed to an endpoint by host and path.
//!
//! Only [`run`] and [`attempt`] define the order of the filters, and a wrong order does not compile.

pub(crate) mod authenticate;
pub(crate) mod check;
pub(crate) mod crash;
pub(crate) mod exchange;
pub(crate) mod quarantine;
pub(crate) mod read_body;
pub(crate) mod relay;
pub(crate) mod route;
pub(crate) mod select;
pub(crate) mod send;
pub(crate) mod startup;

use std::sync::Arc;

use crate::adapters::caller_body::CallerBody;
use crate::filters::forward::check::CheckOutcome;
use crate::filters::forward::exchange::{Admitted, BufferedResponse, Exchange, RequestHead, View};
use crate::filters::forward::relay::StreamingResponse;
use crate::filters::forward::send::SendOutcome;
use crate::gateway::GatewayState;
use crate::outcome::RequestError;

/// Response of an endpoint to a forwarded request.
pub(crate) enum ForwardedResponse {
    /// A response that has been read to its end.
    Buffered(BufferedResponse),
    /// An event stream whose head has arrived.
    Streaming(Box<StreamingResponse>),
}

/// Passes a request through the chain and returns once its response can be sent to the caller.
pub(crate) async fn run(
    state: &Arc<GatewayState>,
    head: &Arc<RequestHead>,
    body: CallerBody,
) -> Result<ForwardedResponse, RequestError> {
    startup::apply(state, head).await;
    let view = View::load(state);
    let received = Exchange::receive(head, &view, state.phase(), state.clock.now())?;
    let routed = route::apply(received)?;
    let authenticated = authenticate::apply(routed)?;
    let admitted = read_body::apply(state, authenticated, body).await?;
    state.count_request(&admitted.stage.service);
    attempt(state, head, admitted.stage).await
}

/// Makes attempts until one yields a response or no further attempt is allowed.
pub(crate) async fn attempt(
    state: &Arc<GatewayState>,
    head: &Arc<RequestHead>,
    mut admitted: Admitted,
) -> Result<ForwardedResponse, RequestError> {
    loop {
        // Each attempt loads the current state, which reflects the failure of the one before.
        let view = View::load(state);
        let exchange = Exchange { head, view: &view, now: state.clock.now(), stage: admitted };
        match attempt_once(state, exchange).await? {
            AttemptOutcome::Respond(response) => return Ok(response),
            AttemptOutcome::Retry(retry) => admitted = *retry,
        }
    }
}

/// Outcome of one attempt.
enum AttemptOutcome {
    /// The response for the caller.
    Respond(ForwardedResponse),
    /// The request may be attempted again, as far as its limits allow.
    Retry(Box<Admitted>),
}

async fn attempt_once(
    state: &Arc<GatewayState>,
    exchange: Exchange<'_, Admitted>,
) -> Result<AttemptOutcome, RequestError> {
    let selected = match select::apply(state, exchange).await {
        select::Selection::Selected(selected) => selected,
        // No endpoint is available: the result of the earlier attempts is final.
        select::Selection::None(admitted) => {
            return admitted
                .conclude(state)
                .map(|buffered| AttemptOutcome::Respond(ForwardedResponse::Buffered(buffered)));
        }
    };
    match send::apply(state, selected).await {
        SendOutcome::Responded(responded) => match check::apply(state, responded).await {
            CheckOutcome::Respond(response) => Ok(AttemptOutcome::Respond(response)),
            CheckOutcome::Retry(retry) => Ok(AttemptOutcome::Retry(retry)),
        },
        SendOutcome::Retry(retry) => Ok(AttemptOutcome::Retry(Box::new(retry))),
    }
}
