//! Which events of an endpoint continue the stream that a caller has received so far.

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventDecision {
    /// The caller gets it.
    Forward,
    /// The caller already has it.
    Repeated,
}

/// The events that a caller has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventSequence {
    last_id: Option<u64>,
    /// Whether an event without an id was forwarded.
    has_unnumbered: bool,
}

impl EventSequence {
    /// A sequence after the event `last_id`, which a caller names that resumes a stream.
    #[must_use]
    pub const fn after(last_id: Option<u64>) -> Self {
        Self { last_id, has_unnumbered: false }
    }

    /// The last event that has an id.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Decides on an event of the endpoint that the stream comes from, or of one that may continue it.
    #[must_use]
    pub fn judge(&self, id: Option<u64>) -> EventDecision {
        match (id, self.last_id) {
            (Some(id), Some(last)) if id <= last => EventDecision::Repeated,
            _ => EventDecision::Forward,
        }
    }

    /// Records that the caller has received an event.
    pub fn record(&mut self, id: Option<u64>) {
        self.has_unnumbered |= id.is_none();
        self.last_id = id.or(self.last_id);
    }

    /// Whether another endpoint can continue the stream without repeating an event. Without an id it would start
    /// again at the first one.
    #[must_use]
    pub const fn can_resume(&self) -> bool {
        self.last_id.is_some() || !self.has_unnumbered
    }
}
