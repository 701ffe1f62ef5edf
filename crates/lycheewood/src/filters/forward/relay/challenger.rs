//! The attempt to continue a stream at another endpoint.

use std::sync::Arc;

use crate::decisions::resume::EventSequence;
use crate::filters::forward::exchange::{Admitted, RequestHead};
use crate::filters::forward::relay::source::{Read, Source};
use crate::filters::forward::{AttemptEnd, Attempts, ForwardedResponse, attempt_to_end};
use crate::gateway::GatewayState;

/// An attempt at another endpoint, until it continues the stream.
pub(super) enum Challenger {
    /// The head of the response has not arrived.
    Attempting(Attempts),
    /// The endpoint has accepted the request. It takes over with its first new event.
    Responding(Box<Source>),
}

/// What has become of a challenger.
pub(super) enum Progress {
    /// The endpoint has accepted the request.
    Accepted(Box<Source>),
    /// No endpoint continues the stream. `None` if the attempts are used up.
    Failed(Option<Box<Admitted>>),
    /// The endpoint that has accepted the request has sent something.
    Read(Read),
}

impl Challenger {
    pub(super) fn start(
        state: &Arc<GatewayState>,
        head: &Arc<RequestHead>,
        retry: Admitted,
    ) -> Self {
        Self::Attempting(attempt_to_end(Arc::clone(state), Arc::clone(head), retry))
    }

    /// Waits for the next progress. May be cancelled at any time.
    pub(super) async fn progress(
        &mut self,
        state: &GatewayState,
        sequence: &EventSequence,
    ) -> Progress {
        match self {
            Self::Attempting(attempt) => match attempt.as_mut().await {
                AttemptEnd::Response(ForwardedResponse::Streaming(stream)) => {
                    Progress::Accepted(Box::new(stream.relay.source))
                }
                AttemptEnd::Response(ForwardedResponse::Buffered(_)) => Progress::Failed(None),
                AttemptEnd::Exhausted(admitted) => Progress::Failed(Some(admitted)),
            },
            Self::Responding(source) => Progress::Read(source.read(state, sequence).await),
        }
    }
}
