//! The filter chain of forwarded requests: plain HTTP requests that are routed to an endpoint by host and path.
//!
//! Only [`run`] and [`attempt_to_end`] define the order of the filters, and a wrong order does not compile.

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

use std::pin::Pin;
use std::sync::Arc;

use crate::adapters::caller_body::CallerBody;
use crate::filters::forward::check::CheckOutcome;
use crate::filters::forward::exchange::{Admitted, BufferedResponse, Exchange, RequestHead, View};
use crate::filters::forward::relay::StreamingResponse;
use crate::filters::forward::send::{SendOutcome, Waiting};
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
async fn attempt(
    state: &Arc<GatewayState>,
    head: &Arc<RequestHead>,
    admitted: Admitted,
) -> Result<ForwardedResponse, RequestError> {
    match attempt_to_end(Arc::clone(state), Arc::clone(head), admitted).await {
        AttemptEnd::Response(response) => Ok(response),
        AttemptEnd::Exhausted(admitted) => {
            admitted.conclude(state).map(ForwardedResponse::Buffered)
        }
    }
}

/// End of the attempts of a request.
pub(crate) enum AttemptEnd {
    /// A response for the caller.
    Response(ForwardedResponse),
    /// No endpoint is available or no attempt is left: the result of the earlier attempts is final.
    Exhausted(Box<Admitted>),
}

/// A future that is boxed because attempts can contain attempts.
pub(crate) type Attempts = Pin<Box<dyn Future<Output = AttemptEnd> + Send>>;

/// Makes attempts until one yields a response or no further attempt is allowed. Dropping the future closes the
/// connections of the attempts in progress.
pub(crate) fn attempt_to_end(
    state: Arc<GatewayState>,
    head: Arc<RequestHead>,
    mut admitted: Admitted,
) -> Attempts {
    Box::pin(async move {
        loop {
            // Each attempt loads the current state, which reflects the failure of the one before.
            let view = View::load(&state);
            let now = state.clock.now();
            let exchange = Exchange { head: &head, view: &view, now, stage: admitted };
            match attempt_once(&state, exchange).await {
                AttemptOutcome::Respond(response) => return AttemptEnd::Response(response),
                AttemptOutcome::Retry(retry) => admitted = *retry,
                AttemptOutcome::Exhausted(last) => return AttemptEnd::Exhausted(last),
            }
        }
    })
}

/// Outcome of one attempt.
enum AttemptOutcome {
    /// The response for the caller.
    Respond(ForwardedResponse),
    /// The request may be attempted again, as far as its limits allow.
    Retry(Box<Admitted>),
    /// No further attempt is allowed.
    Exhausted(Box<Admitted>),
}

async fn attempt_once(
    state: &Arc<GatewayState>,
    exchange: Exchange<'_, Admitted>,
) -> AttemptOutcome {
    match select::apply(state, exchange).await {
        select::Selection::Selected(selected) => {
            let sent = send::apply(state, selected).await;
            match sent {
                SendOutcome::Responded(responded) => match check::apply(state, responded).await {
                    CheckOutcome::Respond(response) => AttemptOutcome::Respond(response),
                    CheckOutcome::Retry(retry) => AttemptOutcome::Retry(retry),
                },
                SendOutcome::Retry(retry) => AttemptOutcome::Retry(Box::new(retry)),
                SendOutcome::Stalled(waiting) => race(state, waiting).await,
            }
        }
        select::Selection::None(admitted) => AttemptOutcome::Exhausted(Box::new(admitted)),
    }
}

/// Asks another endpoint while one is silent, and keeps waiting for the first one until another has responded. The
/// loser's connection is closed.
async fn race(state: &Arc<GatewayState>, mut waiting: Exchange<'_, Waiting>) -> AttemptOutcome {
    let (head, endpoint) = (Arc::clone(waiting.head), waiting.stage.endpoint.id.clone());
    let retry = waiting.stage.admitted.split_retry(&endpoint);
    let retry = attempt_to_end(Arc::clone(state), Arc::clone(&head), retry);
    let mut second = Box::pin(async { with_first_event(retry.await).await });
    let mut first = Box::pin(async {
        let sent = send::wait_to_end(state, waiting).await;
        let end = match sent {
            SendOutcome::Responded(responded) => match check::apply(state, responded).await {
                CheckOutcome::Respond(response) => AttemptEnd::Response(response),
                CheckOutcome::Retry(failed) => AttemptEnd::Exhausted(failed),
            },
            SendOutcome::Retry(failed) => AttemptEnd::Exhausted(Box::new(failed)),
            SendOutcome::Stalled(waiting) => {
                AttemptEnd::Exhausted(Box::new(waiting.stage.admitted))
            }
        };
        with_first_event(end).await
    });
    let outcome = tokio::select! {
        biased;
        first = &mut first => match first {
            AttemptEnd::Response(response) => ("returned", AttemptOutcome::Respond(response)),
            // The first endpoint has failed, so the other one decides.
            AttemptEnd::Exhausted(failed) => match second.await {
                AttemptEnd::Response(response) => ("moved", AttemptOutcome::Respond(response)),
                AttemptEnd::Exhausted(mut admitted) => {
                    // An error response of the first endpoint is passed on.
                    admitted.rejoin(*failed);
                    ("refused", AttemptOutcome::Exhausted(admitted))
                }
            },
        },
        second = &mut second => match second {
            AttemptEnd::Response(response) => {
                state.metrics.attempts.with_label_values(&["failed"]).inc();
                ("moved", AttemptOutcome::Respond(response))
            }
            AttemptEnd::Exhausted(other) => match first.await {
                AttemptEnd::Response(response) => ("refused", AttemptOutcome::Respond(response)),
                AttemptEnd::Exhausted(mut admitted) => {
                    admitted.rejoin(*other);
                    ("refused", AttemptOutcome::Retry(admitted))
                }
            },
        },
    };
    let (result, outcome) = outcome;
    state.metrics.silences.with_label_values(&[result]).inc();
    log::info!("silence ended id={} server={endpoint} result={result}", head.request_id);
    outcome
}

/// Waits until a stream has an event, or has ended without one. An endpoint that accepts a request may still break off or
/// be silent, so its head alone does not end the wait for another endpoint.
async fn with_first_event(end: AttemptEnd) -> AttemptEnd {
    match end {
        AttemptEnd::Response(ForwardedResponse::Streaming(mut stream)) => {
            match stream.relay.wait_for_event().await {
                Ok(()) => AttemptEnd::Response(ForwardedResponse::Streaming(stream)),
                Err(error) => AttemptEnd::Exhausted(Box::new(stream.relay.into_admitted(error))),
            }
        }
        end => end,
    }
}
