//! The response of one endpoint as a stream of whole events.

use std::sync::Arc;

use bytes::Bytes;

use crate::adapters::forward::upstream::UpstreamResponse;
use crate::clock::Timestamp;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::events::{EventSplitter, MAX_EVENT_BYTES, event_id};
use crate::decisions::memory::{MemoryUse, REQUEST_BYTES, response_wait_ms};
use crate::decisions::resume::{EventDecision, EventOrigin, EventSequence};
use crate::filters::forward::crash::Output;
use crate::filters::forward::exchange::{Admitted, Responded};
use crate::gateway::GatewayState;
use crate::load_tracker::InFlightGuard;
use crate::memory_budget::{BudgetExhausted, Reservation};

/// An event that the caller does not have yet.
#[derive(Debug)]
pub(super) struct NewEvent {
    pub(super) bytes: Bytes,
    pub(super) id: Option<u64>,
}

/// Outcome of reading from a source.
#[derive(Debug)]
pub(super) enum Read {
    Event(NewEvent),
    /// The stream is complete.
    End,
    /// The response broke off or is not the rest of the stream.
    Broken(String),
}

/// The response of an endpoint to an attempt. Dropping it closes the connection.
pub(super) struct Source {
    pub(super) admitted: Admitted,
    pub(super) endpoint: Arc<EndpointEntry>,
    /// Whether this endpoint has sent an event.
    pub(super) output: Output,
    /// When the endpoint last sent bytes, or when the caller began to wait for them.
    pub(super) quiet_since: Timestamp,
    origin: EventOrigin,
    response: Box<UpstreamResponse>,
    splitter: EventSplitter,
    /// Bytes that have been read and wait for memory.
    unread: Option<Bytes>,
    /// Memory of an event that is larger than what each request reserves.
    large_event: Reservation,
    /// When a wait for memory ends that has begun.
    waits_until: Option<Timestamp>,
    /// When the last event of this endpoint was read.
    last_event_at: Option<Timestamp>,
    /// Whether bytes of the next event were waited for. Bytes that were there already say nothing of when they were
    /// sent.
    has_waited: bool,
    in_flight: InFlightGuard,
}

impl Source {
    pub(super) fn new(state: &GatewayState, responded: Responded) -> Self {
        let Responded { admitted, endpoint, in_flight, response, .. } = responded;
        Self {
            admitted,
            endpoint,
            output: Output::None,
            quiet_since: state.clock.now(),
            origin: EventOrigin::First,
            response,
            splitter: EventSplitter::default(),
            unread: None,
            large_event: state.memory.charge(MemoryUse::UnboundedResponse, 0),
            waits_until: None,
            last_event_at: None,
            has_waited: false,
            in_flight,
        }
    }

    pub(super) fn response(&self) -> &UpstreamResponse {
        &self.response
    }

    /// Marks this response as the rest of a stream that another endpoint began.
    pub(super) fn mark_resumed(&mut self) {
        self.origin = EventOrigin::Resumed { has_continued: false };
    }

    /// Closes the connection and returns the request.
    pub(super) fn into_admitted(self) -> Admitted {
        self.admitted
    }

    /// Reads until the next event that follows `sequence`. May be cancelled at any time without losing bytes.
    pub(super) async fn read(&mut self, state: &GatewayState, sequence: &EventSequence) -> Read {
        loop {
            while let Some(bytes) = self.splitter.next_event() {
                let id = event_id(&bytes);
                self.record_event(state);
                match sequence.judge(id, self.origin) {
                    EventDecision::Forward => {
                        if let EventOrigin::Resumed { has_continued } = &mut self.origin {
                            *has_continued = true;
                        }
                        return Read::Event(NewEvent { bytes, id });
                    }
                    EventDecision::Repeated => {}
                    EventDecision::Gap => {
                        return Read::Broken("the resumed stream lacks events".to_owned());
                    }
                }
            }
            if let Some(more_bytes) = self.unread.as_ref().map(Bytes::len) {
                if self.reserve(more_bytes, state.clock.now()).await.is_err() {
                    return Read::Broken("the memory budget has no room for an event".to_owned());
                }
                if let Some(bytes) = self.unread.take()
                    && let Err(error) = self.splitter.push(&bytes)
                {
                    return Read::Broken(error.to_string());
                }
                continue;
            }
            let waited_from = state.clock.now();
            let next = self.response.next().await;
            let now = state.clock.now();
            state.loads.record_activity(&self.endpoint.id, now);
            self.quiet_since = now;
            self.has_waited |= now > waited_from;
            match next {
                Some(Ok(bytes)) => self.unread = Some(bytes),
                Some(Err(error)) => return Read::Broken(error.to_string()),
                None if self.splitter.has_partial() => {
                    return Read::Broken("the stream ends within an event".to_owned());
                }
                None if self.origin == (EventOrigin::Resumed { has_continued: false }) => {
                    return Read::Broken("the resumed stream has no new event".to_owned());
                }
                None => return Read::End,
            }
        }
    }

    /// Reserves memory for bytes that wait for the end of their event, as soon as the budget has room for them.
    async fn reserve(&mut self, more_bytes: usize, now: Timestamp) -> Result<(), BudgetExhausted> {
        let held_bytes = self.splitter.buffered_bytes();
        let needed_bytes = held_bytes + more_bytes;
        if needed_bytes <= REQUEST_BYTES {
            return Ok(());
        }
        // The wait may be cancelled and begin again, for instance by each check for a stall.
        let wait_ms = response_wait_ms(held_bytes, MAX_EVENT_BYTES);
        let waits_until = *self.waits_until.get_or_insert(now.plus_ms(wait_ms));
        let left_ms = waits_until.ms_since(now);
        let grown = self.large_event.grow_within(needed_bytes, left_ms).await;
        self.waits_until = None;
        grown
    }

    /// Records at the first event that the endpoint has processed the prompt, and at later ones the time since the
    /// previous event as a measure of its group's pace.
    fn record_event(&mut self, state: &GatewayState) {
        if std::mem::replace(&mut self.output, Output::Sent) == Output::None {
            for part in self.admitted.prompt_parts.iter() {
                state.record_completion(*part);
            }
        }
        let now = state.clock.now();
        let previous = self.last_event_at.replace(now);
        // Several events that arrive together were waited for once.
        let has_waited = std::mem::take(&mut self.has_waited);
        let group = self.endpoint.group.as_ref();
        let gap_ms = previous.filter(|_| has_waited).map(|previous| now.ms_since(previous));
        if let Some((gap_ms, group)) = gap_ms.zip(group) {
            state.loads.record_gap(&group.name, gap_ms, now);
        }
        self.in_flight.record_event(gap_ms, now);
    }
}
