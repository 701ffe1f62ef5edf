//! Relays an answer to the caller chunk by chunk and resumes a broken one at another endpoint.
//!
//! An endpoint that cannot be reached may still hold the answer. It is waited for while another one is asked, and
//! whichever sends something first continues the answer.

mod elsewhere;
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

use elsewhere::Elsewhere;
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
    /// The attempt at another endpoint while that of `source` cannot be reached.
    elsewhere: Elsewhere,
    /// An event that has been received and not returned.
    received: Option<AnswerEvent>,
}

/// What an answer waited for has happened.
enum Progress {
    Source(SourceEvent),
    Elsewhere(Result<Box<Answer>, RequestError>),
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
    let mut elsewhere = Elsewhere::default();
    loop {
        match progress(state, &mut source, &mut elsewhere).await {
            Progress::Source(SourceEvent::Head(head)) => {
                let relay = Relay::new(state, request, source);
                return Ok(HeadOutcome::Answer(Box::new(Answer { head, relay })));
            }
            // A link delivers the head before any chunk.
            Progress::Source(SourceEvent::Bytes(_) | SourceEvent::End) => {
                return Err(unknown_error(&mut source, request, UnknownCode::EndpointLost));
            }
            Progress::Source(SourceEvent::NotRun(not_run)) => {
                count_attempt(state, "refused");
                if let Some(answer) = elsewhere.finish(&mut source).await {
                    return Ok(HeadOutcome::Answer(answer));
                }
                free_key(state, &source.admitted, request, attempt);
                let mut admitted = source.abandon(None);
                admitted.last_refusal = Some(not_run);
                return retry_with(admitted);
            }
            Progress::Source(SourceEvent::Broken(code)) => {
                count_attempt(state, "failed");
                source.record_failure(FAILURE_PENALTY_MS);
                let repeatable = !source.admitted.spec.non_idempotent;
                if repeatable && code != UnknownCode::DeadlinePassed {
                    return match elsewhere.finish(&mut source).await {
                        Some(answer) => Ok(HeadOutcome::Answer(answer)),
                        None => retry_with(source.abandon(Some(code))),
                    };
                }
                return Err(unknown_error(&mut source, request, code));
            }
            Progress::Source(SourceEvent::Unreachable) => elsewhere.start(state, request, &source),
            Progress::Elsewhere(Ok(answer)) => {
                count_attempt(state, "failed");
                source.record_failure(FAILURE_PENALTY_MS);
                return Ok(HeadOutcome::Answer(answer));
            }
            Progress::Elsewhere(Err(error)) => source.on_failed_elsewhere(&error),
        }
    }
}

/// Waits for the endpoint that is to answer, and for the one that was asked in its place.
async fn progress(state: &EntryState, source: &mut Source, elsewhere: &mut Elsewhere) -> Progress {
    tokio::select! {
        // What the first endpoint has sent goes before what another one has sent at the same time.
        biased;
        event = source.next_event(state) => Progress::Source(event),
        end = elsewhere.end() => Progress::Elsewhere(end),
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
    fn new(state: &Arc<EntryState>, request: &Arc<Request>, source: Source) -> Self {
        let (state, request) = (Arc::clone(state), Arc::clone(request));
        Self { state, request, source, elsewhere: Elsewhere::default(), received: None }
    }

    /// Returns the next event. [`AnswerEvent::End`] and [`AnswerEvent::Aborted`] are final.
    pub(crate) async fn next(&mut self) -> AnswerEvent {
        loop {
            if let Some(event) = self.received.take() {
                return event;
            }
            match progress(&self.state, &mut self.source, &mut self.elsewhere).await {
                Progress::Source(SourceEvent::Head(_)) => {}
                Progress::Source(SourceEvent::Bytes(bytes)) => {
                    self.elsewhere.stop();
                    self.state.metrics.answer_pieces.inc();
                    self.record_first_chunk_latency();
                    return AnswerEvent::Bytes(bytes);
                }
                Progress::Source(SourceEvent::End) => {
                    self.elsewhere.stop();
                    count_attempt(&self.state, "done");
                    self.clear_suspect();
                    return AnswerEvent::End;
                }
                Progress::Source(SourceEvent::NotRun(_)) => {
                    count_attempt(&self.state, "refused");
                    if !self.resume().await {
                        return self.abort(UnknownCode::EndpointLost);
                    }
                }
                Progress::Source(SourceEvent::Broken(code)) => {
                    count_attempt(&self.state, "failed");
                    self.source.record_failure(FAILURE_PENALTY_MS);
                    if code == UnknownCode::DeadlinePassed || !self.resume().await {
                        return self.abort(code);
                    }
                }
                Progress::Source(SourceEvent::Unreachable) => {
                    if self.can_resume() {
                        self.elsewhere.start(&self.state, &self.request, &self.source);
                    }
                }
                Progress::Elsewhere(Ok(answer)) => {
                    count_attempt(&self.state, "failed");
                    self.source.record_failure(FAILURE_PENALTY_MS);
                    self.take_over(*answer);
                }
                Progress::Elsewhere(Err(error)) => self.source.on_failed_elsewhere(&error),
            }
        }
    }

    /// Continues with the answer of another endpoint, and cancels the attempt before.
    fn take_over(&mut self, mut answer: Answer) {
        std::mem::swap(&mut self.source, &mut answer.relay.source);
        self.received = answer.relay.received.take();
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

    /// Whether another endpoint can continue the answer. The answer of a service may differ from one run to the next, and the
    /// caller has its head.
    fn can_resume(&self) -> bool {
        let admitted = &self.source.admitted;
        !admitted.spec.non_idempotent && admitted.version.is_some()
    }

    /// Resumes a model's answer from the next token on another endpoint with the same version. After an
    /// attempt that yielded no chunk, this counts against the retry budget like any other retry.
    async fn resume(&mut self) -> bool {
        if let Some(answer) = self.elsewhere.finish(&mut self.source).await {
            self.take_over(*answer);
            return true;
        }
        if !self.can_resume() {
            return false;
        }
        let mut admitted = self.source.admitted.clone();
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
            Ok(answer) => {
                self.take_over(answer);
                true
            }
            Err(_) => false,
        }
    }
}
