//! The attempt to get the rest of an answer elsewhere while its endpoint cannot be reached.

use std::pin::Pin;
use std::sync::Arc;

use crate::entry_state::EntryState;
use crate::filters::exchange::{Admitted, Exchange, View};
use crate::filters::relay::source::Source;
use crate::filters::relay::{Answer, AnswerEvent};
use crate::filters::request::Request;
use crate::filters::retry;
use crate::outcome::{RequestError, UnknownCode};

/// An answer whose first event has arrived.
type Attempt = Pin<Box<dyn Future<Output = Result<Box<Answer>, RequestError>> + Send>>;

/// An attempt at another endpoint, if one is in progress. Dropping it cancels the attempt.
#[derive(Default)]
pub(super) struct Elsewhere(Option<Attempt>);

impl Elsewhere {
    /// Asks another endpoint for what is left of the answer of `source`, unless one has been asked.
    pub(super) fn start(
        &mut self,
        state: &Arc<EntryState>,
        request: &Arc<Request>,
        source: &Source,
    ) {
        self.0.get_or_insert_with(|| {
            let mut admitted = source.admitted.clone();
            admitted.tried_endpoints.push(source.link.instance.clone());
            // The first attempt after a chunk is not limited, because the answer cannot be repeated from its start.
            let is_limited = !source.has_received_chunk || admitted.attempts > 0;
            Box::pin(attempt(Arc::clone(state), Arc::clone(request), admitted, is_limited))
        });
    }

    /// Cancels the attempt.
    pub(super) fn stop(&mut self) {
        self.0 = None;
    }

    /// Waits for the end of the attempt, for ever if there is none. May be cancelled at any time.
    pub(super) async fn end(&mut self) -> Result<Box<Answer>, RequestError> {
        let Some(attempt) = &mut self.0 else { return std::future::pending().await };
        let end = attempt.await;
        self.0 = None;
        end
    }

    /// Waits for the end of the attempt, since `source` has ended. `None` if it has failed or there is none.
    pub(super) async fn finish(&mut self, source: &mut Source) -> Option<Box<Answer>> {
        self.0.as_ref()?;
        let end = self.end().await;
        end.inspect_err(|error| source.on_failed_elsewhere(error)).ok()
    }
}

/// Makes attempts until one yields an event. An endpoint that accepts the request may still break off.
async fn attempt(
    state: Arc<EntryState>,
    request: Arc<Request>,
    mut admitted: Admitted,
    is_limited: bool,
) -> Result<Box<Answer>, RequestError> {
    if is_limited {
        let view = View::load(&state);
        let exchange = Exchange::attempt(&request, &view, state.clock.now(), admitted)?;
        admitted = retry::apply(&state, exchange).await?.stage;
    }
    let mut answer = crate::filters::attempt(&state, &request, admitted).await?;
    match answer.relay.next().await {
        AnswerEvent::Aborted(error) => Err(error),
        event => {
            // The attempt that this one replaces may have run.
            answer.relay.source.admitted.unknown_outcome.get_or_insert(UnknownCode::EndpointLost);
            answer.relay.received = Some(event);
            Ok(Box::new(answer))
        }
    }
}
