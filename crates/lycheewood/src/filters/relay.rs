//! Relays the answer of an attempt to its caller, piece by piece.

mod recovered;
mod source;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::controllers::claims::FreeKey;
use crate::controllers::quarantine::Clear;
use crate::decisions::claims::record::ClaimKey;
use crate::entry_state::EntryState;
use crate::filters::dispatch::Sent;
use crate::filters::exchange::{Admitted, Exchange, View};
use crate::filters::request::Request;
use crate::filters::retry;
use crate::ids::AttemptId;
use crate::outcome::{RequestError, UnknownCode, UnknownOutcome};
use crate::wire::message::Head;

pub(crate) use recovered::{Recovered, recovered};
use source::{Source, Step};

/// An endpoint that fails fast must not look fast; this is the target for the first token.
const FAILURE_PENALTY_MS: u64 = 1_900;

/// What an attempt has come to before its answer starts.
pub(crate) enum FirstPiece<'r> {
    /// The answer starts.
    Answer(Box<Answer>),
    /// The request may be attempted again.
    Again(Exchange<'r, Admitted>),
}

/// An answer whose head has arrived.
pub(crate) struct Answer {
    pub(crate) head: Head,
    pub(crate) relay: Relay,
}

/// What comes next in an answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AnswerEvent {
    /// The next piece.
    Bytes(Bytes),
    /// The answer is whole.
    End,
    /// The answer ended early. The error states what is known about the outcome.
    Aborted(RequestError),
}

/// The rest of an answer. Dropping it cancels the attempt.
pub(crate) struct Relay {
    state: Arc<EntryState>,
    request: Arc<Request>,
    source: Source,
}

/// Waits for the head of the answer.
pub(crate) async fn first_piece<'r>(
    state: &Arc<EntryState>,
    exchange: Exchange<'r, Sent>,
) -> Result<FirstPiece<'r>, RequestError> {
    let Exchange { request, view, document, stage, .. } = exchange;
    let attempt = stage.attempt.id();
    let mut source = Source::new(state, stage);
    let again = |admitted| {
        let now = state.clock.now();
        Ok(FirstPiece::Again(Exchange { request, view, document, now, stage: admitted }))
    };
    match source.step(state).await {
        Step::Head(head) => {
            let relay = Relay { state: Arc::clone(state), request: Arc::clone(request), source };
            Ok(FirstPiece::Answer(Box::new(Answer { head, relay })))
        }
        // A link passes no piece before the head.
        Step::Bytes(_) | Step::End => Err(unknown(&mut source, request, UnknownCode::EndpointLost)),
        Step::NotRun(not_run) => {
            count(state, "refused");
            free_key(state, &source.admitted, request, attempt);
            let mut admitted = source.give_up(None);
            admitted.refused = Some(not_run);
            again(admitted)
        }
        Step::Broken(code) => {
            count(state, "failed");
            source.count_failure(FAILURE_PENALTY_MS);
            let repeatable = !source.admitted.terms.non_idempotent;
            if repeatable && code != UnknownCode::DeadlinePassed {
                return again(source.give_up(Some(code)));
            }
            Err(unknown(&mut source, request, code))
        }
    }
}

/// Frees the key of an attempt that the endpoint proved not to have run.
fn free_key(state: &EntryState, admitted: &Admitted, request: &Request, attempt: AttemptId) {
    if let (true, Some(key)) = (admitted.terms.non_idempotent, &request.key) {
        let key = ClaimKey::new(&admitted.terms.workspace, key);
        let _ = state.claims.tell(FreeKey { key, attempt }).try_send();
    }
}

fn unknown(source: &mut Source, request: &Request, code: UnknownCode) -> RequestError {
    match source.attempt.take() {
        Some(attempt) => {
            source.link.cancel(attempt.id());
            RequestError::Unknown(attempt.unknown(code, request.key))
        }
        None => RequestError::Unknown(UnknownOutcome { code, key: request.key }),
    }
}

fn count(state: &EntryState, end: &str) {
    state.metrics.attempts.with_label_values(&[end]).inc();
}

impl Relay {
    /// The next piece. After [`AnswerEvent::End`] and [`AnswerEvent::Aborted`] nothing follows.
    pub(crate) async fn next(&mut self) -> AnswerEvent {
        loop {
            match self.source.step(&self.state).await {
                Step::Head(_) => {}
                Step::Bytes(bytes) => {
                    self.state.metrics.answer_pieces.inc();
                    self.observe_first_piece();
                    return AnswerEvent::Bytes(bytes);
                }
                Step::End => {
                    count(&self.state, "done");
                    self.clear_suspect();
                    return AnswerEvent::End;
                }
                Step::NotRun(_) => {
                    count(&self.state, "refused");
                    if !self.resume().await {
                        return self.cut(UnknownCode::EndpointLost);
                    }
                }
                Step::Broken(code) => {
                    count(&self.state, "failed");
                    self.source.count_failure(FAILURE_PENALTY_MS);
                    if code == UnknownCode::DeadlinePassed || !self.resume().await {
                        return self.cut(code);
                    }
                }
            }
        }
    }

    fn observe_first_piece(&self) {
        let admitted = &self.source.admitted;
        if let (1, Some(admission)) = (admitted.next_piece, &admitted.admission) {
            let elapsed = Duration::from_millis(admission.elapsed_ms());
            self.state.metrics.first_piece_seconds.observe(elapsed.as_secs_f64());
        }
    }

    /// A trial that has ended with a whole answer clears its request.
    fn clear_suspect(&mut self) {
        if let (true, Some(attempt)) = (self.source.run_alone, &self.source.attempt) {
            let fingerprint = self.source.admitted.terms.fingerprint.into();
            let clear = Clear { fingerprint, attempt: attempt.id() };
            let _ = self.state.quarantine.tell(clear).try_send();
        }
        self.source.attempt = None;
    }

    fn cut(&mut self, code: UnknownCode) -> AnswerEvent {
        AnswerEvent::Aborted(unknown(&mut self.source, &self.request, code))
    }

    /// Continues a model's answer on another endpoint with the same version, from the next token. After
    /// an attempt that gave no piece, this is a retry like any other and takes from the budget.
    async fn resume(&mut self) -> bool {
        let admitted = &self.source.admitted;
        if admitted.terms.non_idempotent || admitted.version.is_none() {
            return false;
        }
        let mut admitted = admitted.clone();
        admitted.may_have_run = Some(UnknownCode::EndpointLost);
        admitted.avoid.push(self.source.link.instance.clone());
        if !self.source.progressed {
            let view = View::load(&self.state);
            let now = self.state.clock.now();
            let retried = match Exchange::attempt(&self.request, &view, now, admitted) {
                Ok(exchange) => retry::apply(&self.state, exchange).await,
                Err(error) => Err(error),
            };
            let Ok(exchange) = retried else { return false };
            admitted = exchange.stage;
        }
        // Boxed because the chain's future contains this one.
        match Box::pin(crate::filters::attempt(&self.state, &self.request, admitted)).await {
            Ok(mut answer) => {
                std::mem::swap(&mut self.source, &mut answer.relay.source);
                true
            }
            Err(_) => false,
        }
    }
}
