//! Relays the answer of an attempt to its caller, piece by piece.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use crate::adapters::peer::link::{AttemptEvent, AttemptEvents, Flight, Link};
use crate::controllers::claims::Vouched;
use crate::controllers::load::EndpointView;
use crate::controllers::quarantine::{Clear, Withdraw};
use crate::decisions::claims::record::ClaimKey;
use crate::filters::dispatch::Sent;
use crate::filters::exchange::{Admitted, Exchange, View};
use crate::filters::request::Request;
use crate::filters::{retry, route};
use crate::ids::{AttemptId, Incarnation};
use crate::lifecycle::attempt::{Attempt, Dispatched};
use crate::outcome::{NotRun, NotRunCode, Refusal, UnknownCode};
use crate::roles::entry::EntryState;
use crate::telemetry::HopSpan;
use crate::wire::message::{Ask, Head};

/// Questions after the same piece before the attempt counts as lost.
const MAX_ASKS: u32 = 8;
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
pub(crate) enum Piece {
    /// The next piece.
    Bytes(Bytes),
    /// The answer is whole.
    End,
    /// The answer is cut; the refusal says what is known.
    Cut(Refusal),
}

/// The rest of an answer. Dropping it cancels the attempt.
pub(crate) struct Relay {
    state: Arc<EntryState>,
    request: Arc<Request>,
    source: Source,
}

/// The attempt that an answer comes from.
struct Source {
    admitted: Admitted,
    attempt: Option<Attempt<Dispatched>>,
    events: AttemptEvents,
    link: Arc<Link>,
    endpoint: Incarnation,
    deadline: Instant,
    asks: u32,
    /// `None` for the answer of an earlier attempt, which another request has counted.
    flight: Option<Flight>,
    span: Option<HopSpan>,
    /// The attempt is the trial of a suspect.
    run_alone: bool,
    /// The attempt has given a piece.
    progressed: bool,
}

/// What an attempt has come to.
enum Step {
    Head(Head),
    Bytes(Bytes),
    End,
    /// The endpoint vouches that it never ran.
    NotRun(NotRun),
    /// It may have run, and its answer cannot be had from its endpoint.
    Broken(UnknownCode),
}

impl Source {
    fn new(state: &EntryState, sent: Sent) -> Self {
        let left_ms = sent.admitted.terms.deadline.ms_since(state.clock.now());
        Self {
            admitted: sent.admitted,
            attempt: Some(sent.attempt),
            events: sent.events,
            link: sent.link,
            endpoint: sent.endpoint,
            deadline: Instant::now() + Duration::from_millis(left_ms),
            asks: 0,
            flight: Some(sent.flight),
            span: Some(sent.span),
            run_alone: sent.run_alone,
            progressed: false,
        }
    }

    /// Waits for what comes next, within the deadline.
    async fn step(&mut self, state: &EntryState) -> Step {
        loop {
            match timeout_at(self.deadline, self.events.recv()).await {
                Err(_) => return Step::Broken(UnknownCode::DeadlinePassed),
                Ok(Some(AttemptEvent::Accepted)) => {}
                Ok(Some(AttemptEvent::Head(head))) => {
                    if let Some(flight) = &mut self.flight {
                        flight.answered();
                    }
                    return Step::Head(head);
                }
                Ok(Some(AttemptEvent::Chunk(index, bytes))) => {
                    if index == self.admitted.next_piece {
                        self.admitted.next_piece += 1;
                        self.admitted.attempts = 0;
                        self.asks = 0;
                        self.progressed = true;
                        return Step::Bytes(bytes);
                    }
                }
                Ok(Some(AttemptEvent::End(pieces))) if pieces == self.admitted.next_piece => {
                    if let Some(admission) = &self.admitted.admission {
                        admission.completed();
                    }
                    if let Some(flight) = &mut self.flight {
                        flight.completed();
                    }
                    if let Some(span) = &self.span {
                        span.set_outcome("done");
                    }
                    self.admitted.terms.span.set_outcome("done");
                    return Step::End;
                }
                Ok(Some(AttemptEvent::End(_)) | None) => {
                    if self.asks == MAX_ASKS {
                        return Step::Broken(UnknownCode::EndpointLost);
                    }
                    self.ask().await;
                }
                Ok(Some(AttemptEvent::Refused(vouch, reason))) => {
                    log::debug!("attempt refused reason={reason:?}");
                    if let Some(step) = self.refused(state, vouch) {
                        return step;
                    }
                }
                Ok(Some(AttemptEvent::Failed | AttemptEvent::Lost)) => {
                    return Step::Broken(UnknownCode::EndpointLost);
                }
                Ok(Some(AttemptEvent::Unreachable)) => {
                    if self.can_move(state) {
                        return Step::Broken(UnknownCode::EndpointLost);
                    }
                }
            }
        }
    }

    /// Whether another endpoint can take over. Otherwise it is better to wait for this one, which may
    /// still hold the answer.
    fn can_move(&self, state: &EntryState) -> bool {
        let (view, now) = (View::load(state), state.clock.now());
        !self.admitted.terms.non_idempotent
            && route::others_can_take(&view, &self.admitted, now, &self.link.instance)
    }

    /// Asks for the pieces from the next one on.
    async fn ask(&mut self) {
        let Some(attempt) = self.attempt.as_ref() else { return };
        self.asks += 1;
        let ask = Ask { attempt: attempt.id(), from_chunk: self.admitted.next_piece };
        self.events = self.link.ask(ask, self.endpoint).await;
    }

    fn refused(
        &mut self,
        state: &EntryState,
        vouch: crate::lifecycle::attempt::Vouch,
    ) -> Option<Step> {
        let attempt = self.attempt.take()?;
        let id = attempt.id();
        match attempt.not_run_on_evidence(vouch, NotRunCode::EndpointRefused) {
            Ok(not_run) => {
                if self.run_alone {
                    let fingerprint = self.admitted.terms.fingerprint.into();
                    let withdraw = Withdraw { fingerprint, attempt: id };
                    let _ = state.quarantine.tell(withdraw).try_send();
                }
                Some(Step::NotRun(not_run))
            }
            Err(attempt) => {
                self.attempt = Some(attempt);
                None
            }
        }
    }

    /// Counts the attempt as failed. Errors weigh at least as much as a missed deadline.
    fn count_failure(&mut self, penalty_ms: u64) {
        if let Some(flight) = &mut self.flight {
            flight.failed(penalty_ms);
        }
        if let Some(span) = &self.span {
            span.set_outcome("failed");
        }
    }

    /// Gives up the attempt for another one on another endpoint.
    fn give_up(mut self, may_have_run: Option<UnknownCode>) -> Admitted {
        if let Some(attempt) = self.attempt.take() {
            self.link.cancel(attempt.id());
        }
        let mut admitted = self.admitted.clone();
        admitted.avoid.push(self.link.instance.clone());
        admitted.may_have_run = admitted.may_have_run.or(may_have_run);
        admitted
    }
}

/// Waits for the head of the answer.
pub(crate) async fn first_piece<'r>(
    state: &Arc<EntryState>,
    exchange: Exchange<'r, Sent>,
) -> Result<FirstPiece<'r>, Refusal> {
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

/// Frees the key of an attempt for which the endpoint has vouched.
fn free_key(state: &EntryState, admitted: &Admitted, request: &Request, attempt: AttemptId) {
    if let (true, Some(key)) = (admitted.terms.non_idempotent, &request.key) {
        let key = ClaimKey::new(&admitted.terms.workspace, key);
        let _ = state.claims.tell(Vouched { key, attempt }).try_send();
    }
}

/// What an endpoint says of an earlier attempt.
pub(crate) enum Recovered {
    /// It has the answer.
    Answer(Box<Answer>),
    /// The attempt has never run and never will.
    Promised,
    /// It may have run and has no answer.
    Failed,
    /// Another process has taken the endpoint's place.
    IncarnationGone,
    /// No reply within the deadline.
    NoAnswer,
}

/// Waits for what an endpoint says of an earlier attempt.
pub(crate) async fn recovered(
    state: &Arc<EntryState>,
    request: &Arc<Request>,
    admitted: &Admitted,
    endpoint: &EndpointView,
    events: AttemptEvents,
) -> Recovered {
    let left_ms = admitted.terms.deadline.ms_since(state.clock.now());
    let mut source = Source {
        admitted: admitted.clone(),
        attempt: None,
        events,
        link: Arc::clone(&endpoint.link),
        endpoint: endpoint.incarnation,
        deadline: Instant::now() + Duration::from_millis(left_ms),
        asks: 0,
        flight: None,
        span: None,
        run_alone: false,
        progressed: false,
    };
    loop {
        match timeout_at(source.deadline, source.events.recv()).await {
            Ok(Some(AttemptEvent::Accepted | AttemptEvent::Unreachable)) => {}
            Ok(Some(AttemptEvent::Head(head))) => {
                let request = Arc::clone(request);
                let relay = Relay { state: Arc::clone(state), request, source };
                return Recovered::Answer(Box::new(Answer { head, relay }));
            }
            Ok(Some(AttemptEvent::Refused(..))) => return Recovered::Promised,
            Ok(Some(AttemptEvent::Failed)) => return Recovered::Failed,
            Ok(Some(AttemptEvent::Lost)) => return Recovered::IncarnationGone,
            Ok(Some(AttemptEvent::Chunk(..) | AttemptEvent::End(_)) | None) | Err(_) => {
                return Recovered::NoAnswer;
            }
        }
    }
}

fn unknown(source: &mut Source, request: &Request, code: UnknownCode) -> Refusal {
    match source.attempt.take() {
        Some(attempt) => {
            source.link.cancel(attempt.id());
            Refusal::Unknown(attempt.unknown(code, request.key))
        }
        None => Refusal::Unknown(crate::outcome::Unknown { code, key: request.key }),
    }
}

fn count(state: &EntryState, end: &str) {
    state.metrics.attempts.with_label_values(&[end]).inc();
}

impl Relay {
    /// The next piece. After [`Piece::End`] and [`Piece::Cut`] nothing follows.
    pub(crate) async fn next(&mut self) -> Piece {
        loop {
            match self.source.step(&self.state).await {
                Step::Head(_) => {}
                Step::Bytes(bytes) => {
                    self.state.metrics.answer_pieces.inc();
                    return Piece::Bytes(bytes);
                }
                Step::End => {
                    count(&self.state, "done");
                    self.clear_suspect();
                    return Piece::End;
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

    /// A trial that has ended with a whole answer clears its request.
    fn clear_suspect(&mut self) {
        if let (true, Some(attempt)) = (self.source.run_alone, &self.source.attempt) {
            let fingerprint = self.source.admitted.terms.fingerprint.into();
            let clear = Clear { fingerprint, attempt: attempt.id() };
            let _ = self.state.quarantine.tell(clear).try_send();
        }
        self.source.attempt = None;
    }

    fn cut(&mut self, code: UnknownCode) -> Piece {
        Piece::Cut(unknown(&mut self.source, &self.request, code))
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
                Err(refusal) => Err(refusal),
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

impl Drop for Source {
    fn drop(&mut self) {
        if let Some(attempt) = &self.attempt {
            self.link.cancel(attempt.id());
        }
    }
}
