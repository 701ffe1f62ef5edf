//! A publication: prepared, then sent, then decided.
//!
//! The id is chosen once, when the publication is prepared, and its payload can be read only after the
//! publication has become a sent one. A repeated append therefore has the same id.

use lycheewood::publication::{
    Change, Publication, PublicationState, PublicationStatus, PublisherView, Record, RecordEffect,
    RefusalReason, encode_record, publication_status,
};
use lycheewood::{Offset, PublicationId};

/// Nothing has left this process.
pub(crate) struct Prepared;

/// The record may stand in the log.
pub(crate) struct Sent {
    /// What a record with the id did, if one was read.
    effect: Option<RecordEffect>,
}

/// The log's order has decided.
pub(crate) struct Decided {
    /// The version that it became, or why it is refused.
    result: Result<Offset, RefusalReason>,
}

/// A publication in one stage of its life.
pub(crate) struct Publishing<Stage> {
    id: PublicationId,
    base: Option<Offset>,
    payload: String,
    stage: Stage,
}

/// What the state tells about a sent publication.
pub(crate) enum Progress {
    /// Nothing yet.
    Open(Publishing<Sent>),
    /// The verdict.
    Decided(Publishing<Decided>),
    /// The state no longer tells.
    Forgotten,
}

impl<Stage> Publishing<Stage> {
    /// Its id.
    pub(crate) fn id(&self) -> &PublicationId {
        &self.id
    }
}

impl Publishing<Prepared> {
    /// Prepares a publication under a fresh id.
    pub(crate) fn prepare(id: PublicationId, base: Option<Offset>, change: Change) -> Self {
        let publication = Publication { id: id.clone(), base, change };
        let payload = encode_record(&Record::Publication(publication));
        Self { id, base, payload, stage: Prepared }
    }

    /// Marks the publication as sent. Done before the append, because the append may take effect
    /// without a reply.
    pub(crate) fn send(self) -> Publishing<Sent> {
        let Self { id, base, payload, stage: Prepared } = self;
        Publishing { id, base, payload, stage: Sent { effect: None } }
    }
}

impl Publishing<Sent> {
    /// The payload to append, also when the append is repeated.
    pub(crate) fn payload(&self) -> &str {
        &self.payload
    }

    /// Notes what a record did, if it is a record of this publication.
    pub(crate) fn note(&mut self, effect: &RecordEffect) {
        if publication_id(effect) == Some(&self.id) {
            self.stage.effect.get_or_insert_with(|| effect.clone());
        }
    }

    /// Asks the state for the verdict.
    pub(crate) fn decide(self, state: &PublicationState) -> Progress {
        let publisher =
            PublisherView { id: &self.id, base: self.base, effect: self.stage.effect.as_ref() };
        let result = match publication_status(state, &publisher) {
            PublicationStatus::Accepted { version } => Ok(version),
            PublicationStatus::Refused(reason) => Err(reason),
            PublicationStatus::Pending => return Progress::Open(self),
            PublicationStatus::Indeterminate => return Progress::Forgotten,
        };
        let Self { id, base, payload, .. } = self;
        Progress::Decided(Publishing { id, base, payload, stage: Decided { result } })
    }
}

impl Publishing<Decided> {
    /// The verdict.
    pub(crate) fn result(&self) -> &Result<Offset, RefusalReason> {
        &self.stage.result
    }
}

/// The id of the publication that a record carried.
pub(crate) fn publication_id(effect: &RecordEffect) -> Option<&PublicationId> {
    match effect {
        RecordEffect::Accepted(accepted) => Some(&accepted.id),
        RecordEffect::Refused { id, .. } => Some(id),
        RecordEffect::Snapshot | RecordEffect::Skipped | RecordEffect::AlreadyApplied => None,
    }
}
