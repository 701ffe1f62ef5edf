//! Recovers the outcome of an earlier attempt from its endpoint.

use std::sync::Arc;

use tokio::time::timeout_at;

use crate::adapters::peer::link::{AttemptEvent, AttemptEvents};
use crate::controllers::load::ConnectedEndpoint;
use crate::entry_state::EntryState;
use crate::filters::exchange::Admitted;
use crate::filters::relay::source::Source;
use crate::filters::relay::{Answer, Relay};
use crate::filters::request::Request;

/// Outcome of an earlier attempt, as its endpoint reports it.
pub(crate) enum RecoveryOutcome {
    /// The endpoint has the answer.
    Answer(Box<Answer>),
    /// The endpoint promised that the attempt never ran and never will.
    Promised,
    /// The attempt may have run and has no answer.
    Failed,
    /// Another process has replaced the one that the attempt was sent to.
    IncarnationGone,
    /// No usable reply arrived before the deadline.
    NoAnswer,
}

/// Waits for the endpoint's report on an earlier attempt.
pub(crate) async fn await_recovery(
    state: &Arc<EntryState>,
    request: &Arc<Request>,
    admitted: &Admitted,
    endpoint: &ConnectedEndpoint,
    events: AttemptEvents,
) -> RecoveryOutcome {
    let mut source = Source::for_recovery(state, admitted, endpoint, events);
    loop {
        match timeout_at(source.deadline, source.events.recv()).await {
            Ok(Some(AttemptEvent::Accepted | AttemptEvent::Unreachable)) => {}
            Ok(Some(AttemptEvent::Head(head))) => {
                let relay = Relay::new(state, request, source);
                return RecoveryOutcome::Answer(Box::new(Answer { head, relay }));
            }
            Ok(Some(AttemptEvent::Refused(..))) => return RecoveryOutcome::Promised,
            Ok(Some(AttemptEvent::Failed)) => return RecoveryOutcome::Failed,
            Ok(Some(AttemptEvent::Lost)) => return RecoveryOutcome::IncarnationGone,
            Ok(Some(AttemptEvent::Chunk(..) | AttemptEvent::End(_)) | None) | Err(_) => {
                return RecoveryOutcome::NoAnswer;
            }
        }
    }
}
