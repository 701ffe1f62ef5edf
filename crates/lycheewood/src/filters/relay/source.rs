//! The attempt that supplies an answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use crate::adapters::peer::link::{AttemptEvent, AttemptEvents, Flight, Link};
use crate::controllers::load::ConnectedEndpoint;
use crate::controllers::quarantine::WithdrawTrial;
use crate::entry_state::EntryState;
use crate::filters::dispatch::Sent;
use crate::filters::exchange::{Admitted, View};
use crate::filters::route;
use crate::ids::Incarnation;
use crate::lifecycle::attempt::{Attempt, Dispatched, NotRunProof};
use crate::outcome::{NotRun, NotRunCode, RequestError, UnknownCode};
use crate::telemetry::HopSpan;
use crate::wire::message::{Ask, Head};

/// Requests for the same chunk before the attempt counts as lost.
const MAX_CHUNK_REQUESTS: u32 = 8;

/// The attempt that supplies an answer.
pub(super) struct Source {
    pub(super) admitted: Admitted,
    pub(super) attempt: Option<Attempt<Dispatched>>,
    pub(super) events: AttemptEvents,
    pub(super) link: Arc<Link>,
    endpoint: Incarnation,
    pub(super) deadline: Instant,
    chunk_requests: u32,
    /// `None` for an earlier attempt, which is counted by the request that made it.
    flight: Option<Flight>,
    span: Option<HopSpan>,
    /// Whether the attempt is the trial of a request suspected of crashing endpoints.
    pub(super) run_alone: bool,
    /// Whether this attempt has yielded a chunk.
    pub(super) has_received_chunk: bool,
}

/// Progress or end of an attempt.
pub(super) enum SourceEvent {
    Head(Head),
    Bytes(Bytes),
    End,
    /// The endpoint proved that the attempt never ran.
    NotRun(NotRun),
    /// The attempt may have run, and its endpoint cannot supply the rest of the answer.
    Broken(UnknownCode),
    /// The endpoint cannot be reached, and another one can serve the request. It may still hold the answer.
    Unreachable,
}

impl Source {
    pub(super) fn new(state: &EntryState, sent: Sent) -> Self {
        let left_ms = sent.admitted.spec.deadline.ms_since(state.clock.now());
        Self {
            admitted: sent.admitted,
            attempt: Some(sent.attempt),
            events: sent.events,
            link: sent.link,
            endpoint: sent.endpoint,
            deadline: Instant::now() + Duration::from_millis(left_ms),
            chunk_requests: 0,
            flight: Some(sent.flight),
            span: Some(sent.span),
            run_alone: sent.run_alone,
            has_received_chunk: false,
        }
    }

    /// Creates the source for an earlier attempt, about which `endpoint` has been queried.
    pub(super) fn for_recovery(
        state: &EntryState,
        admitted: &Admitted,
        endpoint: &ConnectedEndpoint,
        events: AttemptEvents,
    ) -> Self {
        let left_ms = admitted.spec.deadline.ms_since(state.clock.now());
        Self {
            admitted: admitted.clone(),
            attempt: None,
            events,
            link: Arc::clone(&endpoint.link),
            endpoint: endpoint.incarnation,
            deadline: Instant::now() + Duration::from_millis(left_ms),
            chunk_requests: 0,
            flight: None,
            span: None,
            run_alone: false,
            has_received_chunk: false,
        }
    }

    /// Waits for the next event until the deadline.
    pub(super) async fn next_event(&mut self, state: &EntryState) -> SourceEvent {
        loop {
            match timeout_at(self.deadline, self.events.recv()).await {
                Err(_) => return SourceEvent::Broken(UnknownCode::DeadlinePassed),
                Ok(Some(AttemptEvent::Accepted)) => {}
                Ok(Some(AttemptEvent::Head(head))) => {
                    if let Some(flight) = &mut self.flight {
                        flight.answered();
                    }
                    return SourceEvent::Head(head);
                }
                Ok(Some(AttemptEvent::Chunk(index, bytes))) => {
                    if index == self.admitted.next_chunk {
                        self.admitted.next_chunk += 1;
                        self.admitted.attempts = 0;
                        self.chunk_requests = 0;
                        self.has_received_chunk = true;
                        return SourceEvent::Bytes(bytes);
                    }
                }
                Ok(Some(AttemptEvent::End(chunks))) if chunks == self.admitted.next_chunk => {
                    if let Some(admission) = &self.admitted.admission {
                        admission.mark_completed();
                    }
                    if let Some(flight) = &mut self.flight {
                        flight.completed();
                    }
                    if let Some(span) = &self.span {
                        span.set_outcome("done");
                    }
                    self.admitted.spec.span.set_outcome("done");
                    return SourceEvent::End;
                }
                Ok(Some(AttemptEvent::End(_)) | None) => {
                    if self.chunk_requests == MAX_CHUNK_REQUESTS {
                        return SourceEvent::Broken(UnknownCode::EndpointLost);
                    }
                    self.request_chunks().await;
                }
                Ok(Some(AttemptEvent::Refused(proof, reason))) => {
                    log::debug!("attempt refused reason={reason:?}");
                    if let Some(event) = self.handle_refusal(state, proof) {
                        return event;
                    }
                }
                Ok(Some(AttemptEvent::Failed | AttemptEvent::Lost)) => {
                    return SourceEvent::Broken(UnknownCode::EndpointLost);
                }
                Ok(Some(AttemptEvent::Unreachable)) => {
                    if self.can_retry_elsewhere(state) {
                        return SourceEvent::Unreachable;
                    }
                }
            }
        }
    }

    /// Whether another endpoint can continue the request.
    fn can_retry_elsewhere(&self, state: &EntryState) -> bool {
        let (view, now) = (View::load(state), state.clock.now());
        !self.admitted.spec.non_idempotent
            && route::another_endpoint_can_serve(&view, &self.admitted, now, &self.link.instance)
    }

    /// Requests the chunks from the next one on.
    async fn request_chunks(&mut self) {
        let Some(attempt) = self.attempt.as_ref() else { return };
        self.chunk_requests += 1;
        let ask = Ask { attempt: attempt.id(), from_chunk: self.admitted.next_chunk };
        self.events = self.link.ask(ask, self.endpoint).await;
    }

    fn handle_refusal(&mut self, state: &EntryState, proof: NotRunProof) -> Option<SourceEvent> {
        let attempt = self.attempt.take()?;
        let id = attempt.id();
        match attempt.not_run_with_proof(proof, NotRunCode::EndpointRefused) {
            Ok(not_run) => {
                if self.run_alone {
                    let fingerprint = self.admitted.spec.fingerprint.into();
                    let withdraw = WithdrawTrial { fingerprint, attempt: id };
                    let _ = state.quarantine.tell(withdraw).try_send();
                }
                Some(SourceEvent::NotRun(not_run))
            }
            Err(attempt) => {
                self.attempt = Some(attempt);
                None
            }
        }
    }

    /// Records that no other endpoint has continued the request.
    pub(super) fn on_failed_elsewhere(&mut self, error: &RequestError) {
        self.admitted.attempts += 1;
        if let RequestError::Unknown(unknown) = error {
            self.admitted.unknown_outcome.get_or_insert(unknown.code);
        }
    }

    /// Records the attempt as failed. An error weighs at least as much as a missed deadline.
    pub(super) fn record_failure(&mut self, penalty_ms: u64) {
        if let Some(flight) = &mut self.flight {
            flight.failed(penalty_ms);
        }
        if let Some(span) = &self.span {
            span.set_outcome("failed");
        }
    }

    /// Cancels the attempt and returns the request for an attempt on another endpoint.
    pub(super) fn abandon(mut self, unknown_outcome: Option<UnknownCode>) -> Admitted {
        if let Some(attempt) = self.attempt.take() {
            self.link.cancel(attempt.id());
        }
        let mut admitted = self.admitted.clone();
        admitted.tried_endpoints.push(self.link.instance.clone());
        admitted.unknown_outcome = admitted.unknown_outcome.or(unknown_outcome);
        admitted
    }
}

impl Drop for Source {
    fn drop(&mut self) {
        if let Some(attempt) = &self.attempt {
            self.link.cancel(attempt.id());
        }
    }
}
