//! Relays an answer to the caller chunk by chunk and resumes a broken one at another endpoint.

mod recovery;
mod source;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::controllers::claims::FreeKey;
use crate::controllers::quarantine::ClearSuspect;
use crate::decisions::claims::record::ClaimKey;
use crate::entry_state::EntryState;
use crate::filters::dispatch::Sent;
use crate::filters::exchange::{Admitted, Exchange, View};
use crate::filters::request::Request;
use crate::filters::retry;
use crate::ids::AttemptId;
use crate::outcome::{RequestError, UnknownCode, UnknownOutcome};
use crate::wire::message::Head;

pub(crate) use recovery::{RecoveryOutcome, await_recovery};
use source::{Source, SourceEvent};

/// Minimum latency recorded for a failed attempt, so that an endpoint that fails fast does not appear
/// fast. Equals the latency target for the first token.
const FAILURE_PENALTY_MS: u64 = 1_900;

/// Outcome of waiting for the head of an answer.
pub(crate) enum HeadOutcome<'r> {
    /// The head of the answer has arrived.
    Answer(Box<Answer>),
    /// The request may be attempted again.
    Retry(Exchange<'r, Admitted>),
}

/// An answer whose head has arrived.
pub(crate) struct Answer {
    pub(crate) head: Head,
    pub(crate) relay: Relay,
}

/// Event in the body of an answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AnswerEvent {
    /// The next chunk.
    Bytes(Bytes),
    /// The answer is complete.
    End,
    /// The answer ended early; the error states what is known about the outcome.
    Aborted(RequestError),
}

/// The body of an answer. Dropping it cancels the attempt.
pub(crate) struct Relay {
    state: Arc<EntryState>,
    request: Arc<Request>,
    source: Source,
}

/// Waits for the head of the answer.
pub(crate) async fn await_head<'r>(
    state: &Arc<EntryState>,
    exchange: Exchange<'r, Sent>,
) -> Result<HeadOutcome<'r>, RequestError> {
    let Exchange { request, view, document, stage, .. } = exchange;
    let attempt = stage.attempt.id();
    let mut source = Source::new(state, stage);
    let retry_with = |admitted| {
        let now = state.clock.now();
        Ok(HeadOutcome::Retry(Exchange { request, view, document, now, stage: admitted }))
    };
    match source.next_event(state).await {
        SourceEvent::Head(head) => {
            let relay = Relay { state: Arc::clone(state), request: Arc::clone(request), source };
            Ok(HeadOutcome::Answer(Box::new(Answer { head, relay })))
        }
        // A link delivers the head before any chunk.
        SourceEvent::Bytes(_) | SourceEvent::End => {
            Err(unknown_error(&mut source, request, UnknownCode::EndpointLost))
        }
        SourceEvent::NotRun(not_run) => {
            count_attempt(state, "refused");
            free_key(state, &source.admitted, request, attempt);
            let mut admitted = source.abandon(None);
            admitted.last_refusal = Some(not_run);
            retry_with(admitted)
        }
        SourceEvent::Broken(code) => {
            count_attempt(state, "failed");
            source.record_failure(FAILURE_PENALTY_MS);
            let repeatable = !source.admitted.spec.non_idempotent;
            if repeatable && code != UnknownCode::DeadlinePassed {
                return retry_with(source.abandon(Some(code)));
            }
            Err(unknown_error(&mut source, request, code))
        }
    }
}

/// Frees the key of an attempt for which the endpoint proved that it did not run.
fn free_key(state: &EntryState, admitted: &Admitted, request: &Request, attempt: AttemptId) {
    if let (true, Some(key)) = (admitted.spec.non_idempotent, &request.key) {
        let key = ClaimKey::new(&admitted.spec.workspace, key);
        let _ = state.claims.tell(FreeKey { key, attempt }).try_send();
    }
}

fn unknown_error(source: &mut Source, request: &Request, code: UnknownCode) -> RequestError {
    match source.attempt.take() {
        Some(attempt) => {
            source.link.cancel(attempt.id());
            RequestError::Unknown(attempt.unknown(code, request.key))
        }
        None => RequestError::Unknown(UnknownOutcome { code, key: request.key }),
    }
}

fn count_attempt(state: &EntryState, end: &str) {
    state.metrics.attempts.with_label_values(&[end]).inc();
}

impl Relay {
    /// Returns the next event. [`AnswerEvent::End`] and [`AnswerEvent::Aborted`] are final.
    pub(crate) async fn next(&mut self) -> AnswerEvent {
        loop {
            match self.source.next_event(&self.state).await {
                SourceEvent::Head(_) => {}
                SourceEvent::Bytes(bytes) => {
                    self.state.metrics.answer_pieces.inc();
                    self.record_first_chunk_latency();
                    return AnswerEvent::Bytes(bytes);
                }
                SourceEvent::End => {
                    count_attempt(&self.state, "done");
                    self.clear_suspect();
                    return AnswerEvent::End;
                }
                SourceEvent::NotRun(_) => {
                    count_attempt(&self.state, "refused");
                    if !self.resume().await {
                        return self.abort(UnknownCode::EndpointLost);
                    }
                }
                SourceEvent::Broken(code) => {
                    count_attempt(&self.state, "failed");
                    self.source.record_failure(FAILURE_PENALTY_MS);
                    if code == UnknownCode::DeadlinePassed || !self.resume().await {
                        return self.abort(code);
                    }
                }
            }
        }
    }

    fn record_first_chunk_latency(&self) {
        let admitted = &self.source.admitted;
        if let (1, Some(admission)) = (admitted.next_chunk, &admitted.admission) {
            let elapsed = Duration::from_millis(admission.elapsed_ms());
            self.state.metrics.first_piece_seconds.observe(elapsed.as_secs_f64());
        }
    }

    /// Clears the suspicion against a request whose trial yielded a complete answer.
    fn clear_suspect(&mut self) {
        if let (true, Some(attempt)) = (self.source.run_alone, &self.source.attempt) {
            let fingerprint = self.source.admitted.spec.fingerprint.into();
            let clear = ClearSuspect { fingerprint, attempt: attempt.id() };
            let _ = self.state.quarantine.tell(clear).try_send();
        }
        self.source.attempt = None;
    }

    fn abort(&mut self, code: UnknownCode) -> AnswerEvent {
        AnswerEvent::Aborted(unknown_error(&mut self.source, &self.request, code))
    }

    /// Resumes a model's answer from the next token on another endpoint with the same version. After an
    /// attempt that yielded no chunk, this counts against the retry budget like any other retry.
    async fn resume(&mut self) -> bool {
        let admitted = &self.source.admitted;
        if admitted.spec.non_idempotent || admitted.version.is_none() {
            return false;
        }
        let mut admitted = admitted.clone();
        admitted.unknown_outcome = Some(UnknownCode::EndpointLost);
        admitted.tried_endpoints.push(self.source.link.instance.clone());
        if !self.source.has_received_chunk {
            let view = View::load(&self.state);
            let now = self.state.clock.now();
            let retried = match Exchange::attempt(&self.request, &view, now, admitted) {
                Ok(exchange) => retry::apply(&self.state, exchange).await,
                Err(error) => Err(error),
            };
            let Ok(exchange) = retried else { return false };
            admitted = exchange.stage;
        }
        // Boxed because the future of the chain contains this one.
        match Box::pin(crate::filters::attempt(&self.state, &self.request, admitted)).await {
            Ok(mut answer) => {
                std::mem::swap(&mut self.source, &mut answer.relay.source);
                true
            }
            Err(_) => false,
        }
    }
}
