//! Which events of an endpoint continue the stream that a caller has received so far.

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventDecision {
    /// The caller gets it.
    Forward,
    /// The caller already has it, or it belongs to no event that the caller lacks.
    Repeated,
    /// Events before it are missing, so the endpoint does not continue the stream.
    Gap,
}

/// Where the events of a stream come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOrigin {
    /// The endpoint that began the stream.
    First,
    /// An endpoint that was asked for the rest of the stream.
    Resumed {
        /// Whether it has sent an event that the caller did not have.
        has_continued: bool,
    },
}

/// The events that a caller has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventSequence {
    last_id: Option<u64>,
    /// Whether an event without an id was forwarded.
    has_unnumbered: bool,
    /// Whether an id was not the one after the id before it. Such a stream shows no gaps.
    has_jumped: bool,
}

impl EventSequence {
    /// A sequence after the event `last_id`, which a caller names that resumes a stream.
    #[must_use]
    pub const fn after(last_id: Option<u64>) -> Self {
        Self { last_id, has_unnumbered: false, has_jumped: false }
    }

    /// The last event that has an id.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Decides on an event. An event without an id in a resumed stream, as the mark of the end, is not the rest of the
    /// stream on its own.
    #[must_use]
    pub fn judge(&self, id: Option<u64>, origin: EventOrigin) -> EventDecision {
        let Some(last) = self.last_id else { return EventDecision::Forward };
        match (id, origin) {
            (Some(id), _) if id <= last => EventDecision::Repeated,
            (None, EventOrigin::Resumed { has_continued: false }) => EventDecision::Repeated,
            (Some(id), EventOrigin::Resumed { .. })
                if id > last.saturating_add(1) && !self.has_jumped =>
            {
                EventDecision::Gap
            }
            _ => EventDecision::Forward,
        }
    }

    /// Records that the caller has received an event.
    pub fn record(&mut self, id: Option<u64>) {
        self.has_unnumbered |= id.is_none();
        self.has_jumped |=
            id.zip(self.last_id).is_some_and(|(id, last)| id != last.saturating_add(1));
        self.last_id = id.or(self.last_id);
    }

    /// Whether another endpoint can continue the stream without repeating an event. Without an id it would start
    /// again at the first one.
    #[must_use]
    pub const fn can_resume(&self) -> bool {
        self.last_id.is_some() || !self.has_unnumbered
    }
}

/// Whether the `Content-Type` of a resumed stream names the media type of the first response. Parameters may differ.
#[must_use]
pub fn is_same_media_type(first: Option<&[u8]>, resumed: Option<&[u8]>) -> bool {
    let essence = |value: &[u8]| {
        let essence = value.split(|byte| *byte == b';').next().unwrap_or_default();
        essence.trim_ascii().to_ascii_lowercase()
    };
    first.map(essence) == resumed.map(essence)
}
