//! Forwards an endpoint's event stream event by event, and continues a broken or silent one at another endpoint.
//!
//! The connection to a silent endpoint stays open and is read while another endpoint is asked for the rest of the
//! stream. Whichever sends the next whole event first continues the stream, and the other connection is closed.

mod challenger;
mod source;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use tokio::time::sleep;

use crate::decisions::cost::tokens_per_event;
use crate::decisions::resume::{EventSequence, is_same_media_type};
use crate::decisions::stall::{ResponsePart, stall_timeout_ms};
use crate::filters::forward::crash;
use crate::filters::forward::exchange::{Admitted, RequestHead, Responded};
use crate::filters::forward::relay::challenger::{Challenger, Progress};
use crate::filters::forward::relay::source::{NewEvent, Read, Source};
use crate::gateway::GatewayState;
use crate::ids::InstanceId;
use crate::outcome::UnknownCode;

/// Why a stream ends before its last event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StreamError {
    #[error("the deadline has passed")]
    Deadline,
    #[error("the stream broke and no other endpoint could resume it")]
    Broken,
}

/// An event stream whose head has arrived.
pub(crate) struct StreamingResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) relay: Relay,
}

impl StreamingResponse {
    pub(crate) fn start(
        state: &Arc<GatewayState>,
        head: &Arc<RequestHead>,
        responded: Responded,
    ) -> Self {
        let (status, headers) = (responded.response.status(), responded.response.headers().clone());
        let sequence = EventSequence::after(responded.admitted.last_event_id);
        let relay = Relay {
            state: Arc::clone(state),
            head: Arc::clone(head),
            source: Source::new(state, responded),
            status,
            content_type: headers.get(CONTENT_TYPE).cloned(),
            is_broken: false,
            challenger: None,
            may_challenge: true,
            sequence,
            events: 0,
            received: Received::Nothing,
        };
        Self { status, headers, relay }
    }
}

/// The rest of an event stream. Dropping it closes the connections to endpoints.
pub(crate) struct Relay {
    state: Arc<GatewayState>,
    head: Arc<RequestHead>,
    /// The endpoint that the stream presently comes from.
    source: Source,
    /// The status that the caller was sent.
    status: StatusCode,
    /// The content type that the caller was sent.
    content_type: Option<HeaderValue>,
    /// Whether the response of `source` broke off.
    is_broken: bool,
    /// The attempt to continue the stream elsewhere, if one is in progress.
    challenger: Option<Challenger>,
    /// Whether no challenger has failed since the last event of a silent source.
    may_challenge: bool,
    /// The events that the caller has.
    sequence: EventSequence,
    events: u64,
    /// What has been received before the caller was sent the head.
    received: Received,
}

/// What [`Relay::next`] returns without waiting.
enum Received {
    Nothing,
    Event(Bytes),
    End,
}

/// What a stream waited for has happened.
enum Progressed {
    Source(Read),
    Challenger(Progress),
    /// Time to check whether an endpoint stalls, or the deadline.
    Due,
}

impl Relay {
    /// Number of events forwarded so far.
    pub(crate) const fn events(&self) -> u64 {
        self.events
    }

    /// The endpoint that the stream presently comes from.
    pub(crate) fn endpoint(&self) -> &InstanceId {
        &self.source.endpoint.id
    }

    /// Waits until [`Relay::next`] has an event or the end of the stream.
    pub(crate) async fn wait_for_event(&mut self) -> Result<(), StreamError> {
        self.received = self.receive().await.transpose()?.map_or(Received::End, Received::Event);
        Ok(())
    }

    /// Ends a stream of which the caller has received nothing, and returns its request.
    pub(crate) fn into_admitted(self, error: StreamError) -> Admitted {
        let mut admitted = self.source.into_admitted();
        admitted.may_have_run = Some(match error {
            StreamError::Deadline => UnknownCode::DeadlinePassed,
            StreamError::Broken => UnknownCode::EndpointLost,
        });
        admitted
    }

    /// The next event, or `None` after the last one.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        match std::mem::replace(&mut self.received, Received::Nothing) {
            Received::Nothing => self.receive().await,
            Received::Event(event) => Some(Ok(event)),
            Received::End => None,
        }
    }

    /// Receives the next event, or `None` after the last one.
    async fn receive(&mut self) -> Option<Result<Bytes, StreamError>> {
        self.source.quiet_since = self.state.clock.now();
        loop {
            match self.progress().await {
                Progressed::Source(Read::Event(event)) => {
                    self.drop_challenger();
                    return Some(Ok(self.accept(event)));
                }
                Progressed::Source(Read::End) => {
                    self.drop_challenger();
                    self.state.loads.record_success(&self.source.endpoint.id);
                    self.state.record_completion(self.source.admitted.fingerprint);
                    self.record_answer();
                    return None;
                }
                Progressed::Source(Read::Broken(reason)) => self.on_broken(&reason).await,
                Progressed::Challenger(progress) => {
                    if let Some(event) = self.on_challenger(progress).await {
                        return Some(Ok(self.accept(event)));
                    }
                }
                Progressed::Due => {
                    if self.state.clock.now() >= self.source.admitted.deadline {
                        return Some(Err(StreamError::Deadline));
                    }
                    self.check_stall();
                }
            }
            if self.is_broken && self.challenger.is_none() {
                return Some(Err(StreamError::Broken));
            }
        }
    }

    /// Waits for the source, the challenger, and the next check.
    async fn progress(&mut self) -> Progressed {
        let wait = Duration::from_millis(self.wait_ms());
        let Self { state, source, is_broken, challenger, sequence, .. } = self;
        let challenged = async {
            match challenger {
                Some(challenger) => challenger.progress(state, sequence).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // What the first endpoint has sent goes before what another one has sent at the same time.
            biased;
            read = source.read(state, sequence), if !*is_broken => Progressed::Source(read),
            progress = challenged => Progressed::Challenger(progress),
            () = sleep(wait) => Progressed::Due,
        }
    }

    /// The endpoint whose silence is watched: the one that was asked last.
    fn watched(&self) -> Option<&Source> {
        match &self.challenger {
            None => Some(&self.source),
            Some(Challenger::Responding(source)) => Some(source),
            // The attempt watches its own endpoints.
            Some(Challenger::Attempting(_)) => None,
        }
    }

    /// Time until the next check, at most until the deadline, in milliseconds.
    fn wait_ms(&self) -> u64 {
        let now = self.state.clock.now();
        let remaining_ms = self.source.admitted.deadline.ms_since(now);
        let Some(watched) = self.watched() else { return remaining_ms };
        let stall_ms = stall_timeout_ms(ResponsePart::Event);
        let due_ms = stall_ms.saturating_sub(now.ms_since(watched.quiet_since));
        // A silence that was not a stall at the last check is checked again later.
        remaining_ms.min(if due_ms == 0 { stall_ms } else { due_ms })
    }

    /// Asks another endpoint for the rest of the stream if the watched one stalls.
    fn check_stall(&mut self) {
        let Some(watched) = self.watched() else { return };
        let (part, service) = (ResponsePart::Event, &watched.admitted.service);
        if !watched.admitted.may_race()
            || !self.may_challenge
            || !self.sequence.can_resume()
            || !self.state.should_fail_over(part, service, &watched.endpoint, watched.quiet_since)
        {
            return;
        }
        let reason = "silent while other endpoints respond";
        match self.challenger.take() {
            Some(Challenger::Responding(source)) => self.replace_challenger(*source, reason),
            _ => self.challenge(reason),
        }
    }

    /// Records the length of the complete answer. A part that the caller had before is not known.
    fn record_answer(&self) {
        let admitted = &self.source.admitted;
        let is_whole = self.head.last_event_id.is_none();
        let Some(basis) = admitted.cost_basis.filter(|_| is_whole) else { return };
        let events = u32::try_from(self.events).unwrap_or(u32::MAX);
        let answer_tokens = f64::from(events) * tokens_per_event(&basis.engine);
        let hint_tokens = basis.hint.map(|hint| f64::from(hint.answer_tokens));
        let now = self.state.clock.now();
        let (route, workspace) = (&admitted.route.name, admitted.workspace.as_ref());
        let work = &self.state.loads.work;
        work.record_answer(route, workspace, answer_tokens, hint_tokens, now);
    }

    /// Asks another endpoint for the rest of the stream. The source keeps its connection.
    fn challenge(&mut self, reason: &str) {
        self.log_failure(&self.source.endpoint.id, reason);
        self.state.loads.record_failure(&self.source.endpoint.id, self.state.clock.now());
        if !self.source.admitted.may_repeat() || !self.sequence.can_resume() {
            return;
        }
        let mut retry = self.source.admitted.split_retry(&self.source.endpoint.id);
        retry.last_event_id = self.sequence.last_id();
        self.challenger = Some(Challenger::start(&self.state, &self.head, retry));
    }

    /// Asks a further endpoint in place of a challenger that has not taken over.
    fn replace_challenger(&mut self, challenger: Source, reason: &str) {
        let endpoint = Arc::clone(&challenger.endpoint);
        self.log_failure(&endpoint.id, reason);
        self.state.loads.record_failure(&endpoint.id, self.state.clock.now());
        let mut retry = challenger.into_admitted();
        retry.avoid_endpoint(&endpoint.id);
        self.challenger = Some(Challenger::start(&self.state, &self.head, retry));
    }

    async fn on_broken(&mut self, reason: &str) {
        self.is_broken = true;
        let Source { admitted, endpoint, output, .. } = &self.source;
        crash::report_if_crashed(&self.state, &self.head, admitted, endpoint, *output).await;
        match self.challenger.take() {
            // Nothing else can continue the stream any more.
            Some(Challenger::Responding(source)) => {
                self.log_failure(&self.source.endpoint.id, reason);
                self.take_over(*source);
            }
            Some(attempting) => {
                self.log_failure(&self.source.endpoint.id, reason);
                self.challenger = Some(attempting);
            }
            None => self.challenge(reason),
        }
    }

    /// Handles the progress of the challenger. Returns the event with which it takes over.
    async fn on_challenger(&mut self, progress: Progress) -> Option<NewEvent> {
        match (progress, self.challenger.take()) {
            (Progress::Accepted(source), _) if !self.is_rest(&source) => {
                self.replace_challenger(*source, "the response is not an event stream");
            }
            (Progress::Accepted(mut source), _) => {
                source.mark_resumed();
                if self.is_broken {
                    self.take_over(*source);
                } else {
                    self.challenger = Some(Challenger::Responding(source));
                }
            }
            (Progress::Read(Read::Event(event)), Some(Challenger::Responding(source))) => {
                self.take_over(*source);
                return Some(event);
            }
            (Progress::Read(read), Some(Challenger::Responding(source))) => {
                let reason = match read {
                    Read::Broken(reason) => reason,
                    Read::End | Read::Event(_) => "the stream ends without a new event".to_owned(),
                };
                let Source { admitted, endpoint, output, .. } = &*source;
                crash::report_if_crashed(&self.state, &self.head, admitted, endpoint, *output)
                    .await;
                self.replace_challenger(*source, &reason);
            }
            (Progress::Failed(admitted), _) => {
                self.may_challenge = false;
                log::info!(
                    "stream not resumed id={} server={} events={}",
                    self.head.request_id,
                    self.source.endpoint.id,
                    self.events
                );
                self.count_silence("refused");
                if let Some(admitted) = admitted {
                    self.source.admitted.rejoin(*admitted);
                }
            }
            // Only an endpoint that has accepted the request is read.
            (Progress::Read(_), _) => {}
        }
        None
    }

    /// Whether a response has the status and the media type of the one that the caller is receiving.
    fn is_rest(&self, source: &Source) -> bool {
        let response = source.response();
        let first = self.content_type.as_ref().map(HeaderValue::as_bytes);
        let resumed = response.headers().get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        response.status() == self.status && is_same_media_type(first, resumed)
    }

    /// Continues the stream at the endpoint of `source`, and closes the connection to the one before.
    fn take_over(&mut self, source: Source) {
        log::info!(
            "stream resumed id={} from={} server={} events={}",
            self.head.request_id,
            self.source.endpoint.id,
            source.endpoint.id,
            self.events
        );
        self.count_silence("moved");
        self.source = source;
        self.is_broken = false;
        self.may_challenge = true;
        self.state.metrics.resumed.inc();
    }

    /// Closes the connection to a challenger, because the source has gone on.
    fn drop_challenger(&mut self) {
        self.may_challenge = true;
        let Some(challenger) = self.challenger.take() else { return };
        if let Challenger::Responding(source) = challenger {
            self.source.admitted.rejoin(source.into_admitted());
        }
        log::info!(
            "stream goes on id={} server={} events={}",
            self.head.request_id,
            self.source.endpoint.id,
            self.events
        );
        self.count_silence("returned");
    }

    /// Counts the end of an attempt to continue a silent stream.
    fn count_silence(&self, result: &str) {
        if !self.is_broken {
            self.state.metrics.silences.with_label_values(&[result]).inc();
        }
    }

    fn log_failure(&self, endpoint: &InstanceId, reason: &str) {
        log::info!(
            "stream broken id={} server={endpoint} events={} reason=\"{reason}\"",
            self.head.request_id,
            self.events
        );
    }

    /// Records an event that the caller gets.
    fn accept(&mut self, event: NewEvent) -> Bytes {
        self.sequence.record(event.id);
        self.source.admitted.last_event_id = self.sequence.last_id();
        self.events += 1;
        event.bytes
    }
}
