//! Passes an endpoint's stream of events on, event by event, and continues a broken one elsewhere.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::time::timeout;

use crate::adapters::forward::upstream::{UpstreamAnswer, UpstreamError};
use crate::decisions::events::{EventSplitter, event_id};
use crate::decisions::stall::{ResponsePart, stall_timeout_ms};
use crate::filters::forward::exchange::{Admitted, Answered, Head};
use crate::filters::forward::{Answer, attempt};
use crate::gateway::GatewayState;
use crate::ids::InstanceId;
use crate::load_tracker::InFlightGuard;
use crate::outcome::UnknownCode;

/// Why a stream ends before its last event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CutReason {
    #[error("the deadline has passed")]
    Deadline,
    #[error("the endpoint broke the stream off and no other could continue it")]
    Broken,
}

/// An event stream whose head has arrived.
pub(crate) struct StreamAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) relay: Relay,
}

impl StreamAnswer {
    pub(crate) fn start(state: &Arc<GatewayState>, head: &Arc<Head>, answered: Answered) -> Self {
        let (status, headers) = (answered.answer.status(), answered.answer.headers().clone());
        let relay = Relay {
            state: Arc::clone(state),
            head: Arc::clone(head),
            source: Source::new(answered),
            events: 0,
        };
        Self { status, headers, relay }
    }
}

/// The endpoint that a stream comes from at present.
struct Source {
    admitted: Admitted,
    endpoint: InstanceId,
    answer: Box<UpstreamAnswer>,
    splitter: EventSplitter,
    _in_flight: InFlightGuard,
}

impl Source {
    fn new(answered: Answered) -> Self {
        let Answered { admitted, endpoint, in_flight, answer, .. } = answered;
        Self {
            admitted,
            endpoint: endpoint.id.clone(),
            answer,
            splitter: EventSplitter::default(),
            _in_flight: in_flight,
        }
    }
}

/// What the wait for more of a stream has come to.
enum Waited {
    /// Bytes, an error, or the end of the stream.
    Bytes(Option<Result<Bytes, UpstreamError>>),
    /// The endpoint is silent alone.
    Stuck,
    Deadline,
}

/// The rest of an event stream. Dropping it closes the connection to the endpoint.
pub(crate) struct Relay {
    state: Arc<GatewayState>,
    head: Arc<Head>,
    source: Source,
    events: u64,
}

impl Relay {
    /// Events passed on so far.
    pub(crate) const fn events(&self) -> u64 {
        self.events
    }

    /// The endpoint that the stream comes from.
    pub(crate) const fn endpoint(&self) -> &InstanceId {
        &self.source.endpoint
    }

    /// The next event, or `None` after the last one.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, CutReason>> {
        loop {
            while let Some(event) = self.source.splitter.next_event() {
                if self.is_next(&event) {
                    self.events += 1;
                    return Some(Ok(event));
                }
            }
            let next = match self.wait_for_bytes().await {
                Waited::Bytes(next) => next,
                Waited::Stuck => {
                    if !self.resume("silent while others answer").await {
                        return Some(Err(CutReason::Broken));
                    }
                    continue;
                }
                Waited::Deadline => return Some(Err(CutReason::Deadline)),
            };
            let reason = match next {
                Some(Ok(bytes)) => match self.source.splitter.push(&bytes) {
                    Ok(()) => continue,
                    Err(error) => error.to_string(),
                },
                Some(Err(error)) => error.to_string(),
                None if !self.source.splitter.has_partial() => {
                    self.state.loads.record_success(&self.source.endpoint);
                    return None;
                }
                None => "the stream ends within an event".to_owned(),
            };
            if !self.resume(&reason).await {
                return Some(Err(CutReason::Broken));
            }
        }
    }

    /// Waits for more of the stream until the deadline, or until the endpoint is stuck and the stream may be
    /// continued elsewhere.
    async fn wait_for_bytes(&mut self) -> Waited {
        let since = self.state.clock.now();
        loop {
            let Source { admitted, endpoint, answer, .. } = &mut self.source;
            let now = self.state.clock.now();
            let left_ms = admitted.deadline.ms_since(now);
            if left_ms == 0 {
                return Waited::Deadline;
            }
            let wait_ms =
                if admitted.may_leave() { stall_timeout_ms(ResponsePart::Event) } else { left_ms };
            match timeout(Duration::from_millis(wait_ms.min(left_ms)), answer.next()).await {
                Ok(next) => {
                    self.state.loads.record_activity(endpoint, self.state.clock.now());
                    return Waited::Bytes(next);
                }
                Err(_)
                    if admitted.may_leave()
                        && self.state.should_fail_over(
                            ResponsePart::Event,
                            &admitted.service,
                            endpoint,
                            since,
                        ) =>
                {
                    return Waited::Stuck;
                }
                Err(_) => {}
            }
        }
    }

    /// Notes the id of an event. An event that the caller has already is not passed on again.
    fn is_next(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else { return true };
        if self.source.admitted.last_event.is_some_and(|last| id <= last) {
            return false;
        }
        self.source.admitted.last_event = Some(id);
        true
    }

    /// Continues the stream at another endpoint after the last event, if the route allows it.
    async fn resume(&mut self, reason: &str) -> bool {
        log::info!(
            "stream broken id={} server={} events={} reason=\"{reason}\"",
            self.head.request_id,
            self.source.endpoint,
            self.events
        );
        let admitted = &mut self.source.admitted;
        self.state.loads.record_failure(&self.source.endpoint, self.state.clock.now());
        if !admitted.may_run_again() {
            return false;
        }
        let mut again = Admitted {
            route: admitted.route.clone(),
            service: admitted.service.clone(),
            workspace: admitted.workspace.clone(),
            body: admitted.body.clone(),
            avoid: std::mem::take(&mut admitted.avoid),
            refused_by: std::mem::take(&mut admitted.refused_by),
            may_have_run: Some(UnknownCode::EndpointLost),
            last_answer: None,
            ..*admitted
        };
        again.avoid.push(self.source.endpoint.clone());
        // Boxed because the chain's future contains this one.
        match Box::pin(attempt(&self.state, &self.head, again)).await {
            Ok(Answer::Stream(stream)) => {
                self.source = stream.relay.source;
                self.state.metrics.resumed.inc();
                true
            }
            Ok(Answer::Whole(_)) | Err(_) => false,
        }
    }
}
