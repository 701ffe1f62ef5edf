//! Forwards an endpoint's event stream event by event, and resumes a broken one at another endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::time::timeout;

use crate::adapters::forward::upstream::{UpstreamError, UpstreamResponse};
use crate::clock::Timestamp;
use crate::decisions::cost::tokens_per_event;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::events::{EventSplitter, event_id};
use crate::decisions::stall::{ResponsePart, stall_timeout_ms};
use crate::filters::forward::crash::{self, Output};
use crate::filters::forward::exchange::{Admitted, RequestHead, Responded};
use crate::filters::forward::{ForwardedResponse, attempt};
use crate::gateway::GatewayState;
use crate::ids::InstanceId;
use crate::load_tracker::InFlightGuard;
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
        let relay = Relay {
            state: Arc::clone(state),
            head: Arc::clone(head),
            source: Source::new(responded),
            events: 0,
        };
        Self { status, headers, relay }
    }
}

/// The present upstream of a stream.
struct Source {
    admitted: Admitted,
    endpoint: Arc<EndpointEntry>,
    response: Box<UpstreamResponse>,
    splitter: EventSplitter,
    /// Whether this upstream has sent an event.
    output: Output,
    /// When the last event of this upstream was read.
    last_event_at: Option<Timestamp>,
    /// Whether bytes of the next event were waited for. Bytes that were there already say nothing of when they were
    /// sent.
    has_waited: bool,
    in_flight: InFlightGuard,
}

impl Source {
    fn new(responded: Responded) -> Self {
        let Responded { admitted, endpoint, in_flight, response, .. } = responded;
        Self {
            admitted,
            endpoint,
            response,
            splitter: EventSplitter::default(),
            output: Output::None,
            last_event_at: None,
            has_waited: false,
            in_flight,
        }
    }
}

/// Outcome of waiting for more bytes of a stream.
enum WaitOutcome {
    /// The next bytes, an error, or the end of the stream.
    Bytes(Option<Result<Bytes, UpstreamError>>),
    /// The endpoint sends nothing while others of its service do.
    Stalled,
    Deadline,
}

/// The rest of an event stream. Dropping it closes the connection to the endpoint.
pub(crate) struct Relay {
    state: Arc<GatewayState>,
    head: Arc<RequestHead>,
    source: Source,
    events: u64,
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

    /// The next event, or `None` after the last one.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            while let Some(event) = self.source.splitter.next_event() {
                self.record_output();
                self.record_gap();
                if self.accept_event(&event) {
                    self.events += 1;
                    return Some(Ok(event));
                }
            }
            let next = match self.wait_for_bytes().await {
                WaitOutcome::Bytes(next) => next,
                WaitOutcome::Stalled => {
                    if !self.resume("silent while other endpoints respond").await {
                        return Some(Err(StreamError::Broken));
                    }
                    continue;
                }
                WaitOutcome::Deadline => return Some(Err(StreamError::Deadline)),
            };
            let reason = match next {
                Some(Ok(bytes)) => match self.source.splitter.push(&bytes) {
                    Ok(()) => continue,
                    Err(error) => error.to_string(),
                },
                Some(Err(error)) => error.to_string(),
                None if !self.source.splitter.has_partial() => {
                    self.state.loads.record_success(&self.source.endpoint.id);
                    self.state.record_completion(self.source.admitted.fingerprint);
                    self.record_answer();
                    return None;
                }
                None => "the stream ends within an event".to_owned(),
            };
            let Source { admitted, endpoint, output, .. } = &self.source;
            crash::report_if_crashed(&self.state, &self.head, admitted, endpoint, *output).await;
            if !self.resume(&reason).await {
                return Some(Err(StreamError::Broken));
            }
        }
    }

    /// Waits for more bytes until the deadline, or until the endpoint stalls and the stream may move to
    /// another one.
    async fn wait_for_bytes(&mut self) -> WaitOutcome {
        let since = self.state.clock.now();
        loop {
            let Source { admitted, endpoint, response, .. } = &mut self.source;
            let now = self.state.clock.now();
            let remaining_ms = admitted.deadline.ms_since(now);
            if remaining_ms == 0 {
                return WaitOutcome::Deadline;
            }
            let wait_ms = if admitted.may_fail_over() {
                stall_timeout_ms(ResponsePart::Event)
            } else {
                remaining_ms
            };
            match timeout(Duration::from_millis(wait_ms.min(remaining_ms)), response.next()).await {
                Ok(next) => {
                    let now = self.state.clock.now();
                    self.state.loads.record_activity(&endpoint.id, now);
                    self.source.has_waited |= now > since;
                    return WaitOutcome::Bytes(next);
                }
                Err(_)
                    if admitted.may_fail_over()
                        && self.state.should_fail_over(
                            ResponsePart::Event,
                            &admitted.service,
                            endpoint,
                            since,
                        ) =>
                {
                    return WaitOutcome::Stalled;
                }
                Err(_) => {}
            }
        }
    }

    /// Records at the first event of an upstream that the endpoint has processed the prompt.
    fn record_output(&mut self) {
        if std::mem::replace(&mut self.source.output, Output::Sent) == Output::None {
            for part in self.source.admitted.prompt_parts.iter() {
                self.state.record_completion(*part);
            }
        }
    }

    /// Records the time since the previous event of this upstream as a measure of its group's pace.
    fn record_gap(&mut self) {
        let now = self.state.clock.now();
        let previous = self.source.last_event_at.replace(now);
        let group = self.source.endpoint.group.as_ref();
        // Several events that arrive together were waited for once.
        let has_waited = std::mem::take(&mut self.source.has_waited);
        let gap_ms = previous.filter(|_| has_waited).map(|previous| now.ms_since(previous));
        if let Some((gap_ms, group)) = gap_ms.zip(group) {
            self.state.loads.record_gap(&group.name, gap_ms, now);
        }
        self.source.in_flight.record_event(gap_ms, now);
    }

    /// Records the length of the complete answer. A part that the caller had before is not known.
    fn record_answer(&self) {
        let Admitted { route, workspace, cost_basis, .. } = &self.source.admitted;
        let Some(basis) = cost_basis.filter(|_| self.head.last_event_id.is_none()) else { return };
        let events = u32::try_from(self.events).unwrap_or(u32::MAX);
        let answer_tokens = f64::from(events) * tokens_per_event(&basis.engine);
        let hint_tokens = basis.hint.map(|hint| f64::from(hint.answer_tokens));
        let now = self.state.clock.now();
        let work = &self.state.loads.work;
        work.record_answer(&route.name, workspace.as_ref(), answer_tokens, hint_tokens, now);
    }

    /// Records the id of an event. Returns `false` for an event that the caller already has.
    fn accept_event(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else { return true };
        if self.source.admitted.last_event_id.is_some_and(|last| id <= last) {
            return false;
        }
        self.source.admitted.last_event_id = Some(id);
        true
    }

    /// Resumes the stream at another endpoint after the last event, if the route allows it.
    async fn resume(&mut self, reason: &str) -> bool {
        log::info!(
            "stream broken id={} server={} events={} reason=\"{reason}\"",
            self.head.request_id,
            self.source.endpoint.id,
            self.events
        );
        let admitted = &mut self.source.admitted;
        self.state.loads.record_failure(&self.source.endpoint.id, self.state.clock.now());
        if !admitted.may_repeat() {
            return false;
        }
        let mut retry = Admitted {
            route: admitted.route.clone(),
            service: admitted.service.clone(),
            workspace: admitted.workspace.clone(),
            body: admitted.body.clone(),
            avoid: std::mem::take(&mut admitted.avoid),
            refused_by: std::mem::take(&mut admitted.refused_by),
            prompt_parts: Arc::clone(&admitted.prompt_parts),
            trials: std::mem::take(&mut admitted.trials),
            may_have_run: Some(UnknownCode::EndpointLost),
            last_response: None,
            ..*admitted
        };
        retry.avoid.push(self.source.endpoint.id.clone());
        // Boxed because the future of `attempt` contains this one.
        match Box::pin(attempt(&self.state, &self.head, retry)).await {
            Ok(ForwardedResponse::Streaming(stream)) => {
                self.source = stream.relay.source;
                self.state.metrics.resumed.inc();
                true
            }
            Ok(ForwardedResponse::Buffered(_)) | Err(_) => false,
        }
    }
}
