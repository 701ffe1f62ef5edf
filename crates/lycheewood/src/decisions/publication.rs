//! The published document in force, as the records of log stream `documents` determine it.
//!
//! The state after a record depends only on the records up to it. A node may start from offset 0, a
//! snapshot in the log or a peer's state, and agrees with every other node at each offset.
//!
//! Schema 1 fixes the format of records, the validation rules of documents and the defaults. A change to
//! any of them needs a new schema number, and may be published only once every node reads that number,
//! because a node skips records that it cannot read.

use std::sync::Arc;

use serde_json::Value;

use crate::clock::Timestamp;
use crate::document::checked::Document;
use crate::document::patch::apply_patch;
use crate::document::raw::RawDocument;
use crate::ids::{Offset, PublicationId};

mod publisher;
mod record;
mod start;

pub use publisher::{PublicationStatus, PublisherView, publication_status};
pub use record::{
    AcceptedPublication, Change, Publication, Record, SCHEMA, Snapshot, decode_record,
    encode_record,
};
pub use start::{OfferDecision, StartPoint, choose_start, decide_offer, is_inconsistent_page};

use start::state_from_snapshot;

/// Number of accepted publications that the state keeps, so that a publisher can still query the status of
/// its publication. At the design load of 15 000 changes a day this covers 25 minutes.
const MAX_KEPT_PUBLICATIONS: usize = 256;

/// Publications with longer ids are skipped, which bounds the size of a snapshot. A UUID takes 36 bytes.
const MAX_ID_BYTES: usize = 64;

/// Document in force.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedDocument {
    /// Offset of the publication that put the document in force.
    pub version: Offset,
    /// Document as written.
    pub raw: Arc<Value>,
    /// Validated document.
    pub document: Arc<Document>,
}

/// State after all records before `next`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PublicationState {
    next: Offset,
    published: Option<PublishedDocument>,
    accepted: Vec<AcceptedPublication>,
    upto_appended: Timestamp,
    start_appended: Timestamp,
}

/// A record as read from the log.
#[derive(Clone, Copy, Debug)]
pub struct RecordView<'a> {
    /// Offset of the record.
    pub offset: Offset,
    /// Append time by the log's clock.
    pub appended: Timestamp,
    /// Payload of the record.
    pub payload: &'a str,
}

/// Reply of the log to a read.
#[derive(Clone, Copy, Debug)]
pub struct PageView<'a> {
    /// Oldest readable offset.
    pub first_offset: Offset,
    /// Next offset that the log assigns.
    pub end_offset: Offset,
    /// Records in order of their offsets.
    pub records: &'a [RecordView<'a>],
}

/// Effect of a record on the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The publication was accepted; its document is in force.
    Accepted(AcceptedPublication),
    /// The publication was refused and has no effect.
    Refused {
        /// Id of the publication.
        id: PublicationId,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
    /// The record is a valid snapshot; it does not change the document.
    Snapshot,
    /// The payload is not a valid record of this schema; every node skips it.
    Skipped,
    /// The state already contains the record.
    AlreadyApplied,
}

/// Reason for the refusal of a publication.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RefusalReason {
    /// Another publication replaced the base first.
    #[error("version {} won the race; edit that version and publish under a new id", .0.version)]
    BaseReplaced(AcceptedPublication),
    /// The base is not the version in force, and no kept publication replaced it.
    #[error("the base is not the version in force; edit the document in force")]
    BaseNotInForce,
    /// A publication with this id was accepted before.
    #[error("this id was accepted before as version {0}; use a new id for a new change")]
    IdUsed(Offset),
    /// The resulting document is invalid.
    #[error("the result is not a valid document: {0}")]
    Invalid(String),
}

/// Error for a record whose predecessors were not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected the record at offset {expected}, got offset {actual}; choose a start again")]
pub struct OffsetGap {
    /// Offset of the next record to apply.
    pub expected: Offset,
    /// Offset of the given record.
    pub actual: Offset,
}

impl PublicationState {
    /// Restores the state from a snapshot; `None` if the snapshot is inconsistent or its document invalid.
    #[must_use]
    pub fn from_snapshot(snapshot: &Snapshot) -> Option<Self> {
        if snapshot.upto.0 == u64::MAX
            || snapshot.accepted.len() > MAX_KEPT_PUBLICATIONS
            || snapshot.accepted.last().map(|accepted| accepted.version) != snapshot.version
        {
            return None;
        }
        let published = match (snapshot.version, &snapshot.document) {
            (Some(version), Some(value)) if version <= snapshot.upto => {
                Some(PublishedDocument::validate(version, value).ok()?)
            }
            (None, None) => None,
            _ => return None,
        };
        Some(Self {
            next: snapshot.upto.next(),
            published,
            accepted: snapshot.accepted.clone(),
            upto_appended: snapshot.upto_appended,
            start_appended: snapshot.start_appended,
        })
    }

    /// Encodes the state as a snapshot, for the log or a peer; `None` before the first record.
    #[must_use]
    pub fn to_snapshot(&self) -> Option<Snapshot> {
        Some(Snapshot {
            upto: self.upto()?,
            upto_appended: self.upto_appended,
            start_appended: self.start_appended,
            version: self.version(),
            document: self.published.as_ref().map(|published| Value::clone(&published.raw)),
            accepted: self.accepted.clone(),
        })
    }

    /// Offset of the next record to apply.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Offset of the last applied record.
    #[must_use]
    pub fn upto(&self) -> Option<Offset> {
        self.next.0.checked_sub(1).map(Offset)
    }

    /// Document in force.
    #[must_use]
    pub const fn published(&self) -> Option<&PublishedDocument> {
        self.published.as_ref()
    }

    /// Version in force.
    #[must_use]
    pub fn version(&self) -> Option<Offset> {
        self.published.as_ref().map(|published| published.version)
    }

    /// Lower bound of the append time of the oldest record that a new node needs. The node can start
    /// without a peer until that record expires. A snapshot needs the record after its `upto`, which is
    /// older than the snapshot itself if its writer paused before the append.
    #[must_use]
    pub const fn start_appended(&self) -> Timestamp {
        self.start_appended
    }

    /// Applies one record. A snapshot never changes the document.
    ///
    /// # Errors
    ///
    /// [`OffsetGap`] if records before this one were not applied; the state is unchanged.
    pub fn apply(&mut self, record: &RecordView<'_>) -> Result<RecordEffect, OffsetGap> {
        if record.offset < self.next {
            return Ok(RecordEffect::AlreadyApplied);
        }
        if record.offset > self.next {
            return Err(OffsetGap { expected: self.next, actual: record.offset });
        }
        // The log's clock may go back; the time of the state does not.
        let appended = record.appended.max(self.upto_appended);
        if self.next == Offset(0) {
            self.start_appended = appended;
        }
        let effect = match decode_record(record.payload) {
            Some(Record::Publication(publication)) => self.publish(record.offset, &publication),
            Some(Record::Snapshot(snapshot))
                if state_from_snapshot(&snapshot, record.offset).is_some() =>
            {
                let adjacent = snapshot.upto.next() == record.offset;
                let needed = if adjacent { appended } else { snapshot.upto_appended.min(appended) };
                self.start_appended = self.start_appended.max(needed);
                RecordEffect::Snapshot
            }
            _ => RecordEffect::Skipped,
        };
        self.next = record.offset.next();
        self.upto_appended = appended;
        Ok(effect)
    }

    fn publish(&mut self, offset: Offset, publication: &Publication) -> RecordEffect {
        let id = &publication.id;
        if id.as_str().is_empty() || id.as_str().len() > MAX_ID_BYTES {
            return RecordEffect::Skipped;
        }
        match self.accept(offset, publication) {
            Ok(published) => {
                let accepted =
                    AcceptedPublication { version: offset, base: publication.base, id: id.clone() };
                if self.accepted.len() == MAX_KEPT_PUBLICATIONS {
                    self.accepted.remove(0);
                }
                self.accepted.push(accepted.clone());
                self.published = Some(published);
                RecordEffect::Accepted(accepted)
            }
            Err(reason) => RecordEffect::Refused { id: id.clone(), reason },
        }
    }

    fn accept(
        &self,
        offset: Offset,
        new: &Publication,
    ) -> Result<PublishedDocument, RefusalReason> {
        if let Some(accepted) = self.accepted.iter().find(|accepted| accepted.id == new.id) {
            return Err(RefusalReason::IdUsed(accepted.version));
        }
        if new.base != self.version() {
            let replacement = self.accepted.iter().find(|accepted| accepted.base == new.base);
            return Err(replacement
                .cloned()
                .map_or(RefusalReason::BaseNotInForce, RefusalReason::BaseReplaced));
        }
        match (&new.change, &self.published) {
            (Change::Document(value), _) => PublishedDocument::validate(offset, value),
            (Change::Patch(patch), Some(base)) => apply_patch(&base.raw, patch)
                .map_err(|error| error.to_string())
                .and_then(|value| PublishedDocument::validate(offset, &value)),
            (Change::Patch(_), None) => {
                Err("there is no document to patch; publish a whole one".to_owned())
            }
        }
        .map_err(RefusalReason::Invalid)
    }
}

impl PublishedDocument {
    fn validate(version: Offset, value: &Value) -> Result<Self, String> {
        let raw = RawDocument::from_value(value).map_err(|error| error.to_string())?;
        let document = Document::try_from(&raw).map_err(|error| error.to_string())?;
        Ok(Self { version, raw: Arc::new(raw.to_value()), document: Arc::new(document) })
    }
}

/// Inputs to [`is_snapshot_due`].
#[derive(Clone, Copy, Debug)]
pub struct SnapshotView<'a> {
    /// State after the last record of the log.
    pub state: &'a PublicationState,
    /// Retention of records in the log, in milliseconds.
    pub retention_ms: u64,
    /// Random delay of this node, in milliseconds, which keeps nodes from writing the same snapshot at
    /// once. It is capped at a sixth of the retention.
    pub jitter_ms: u64,
}

/// Whether this node should write a snapshot now: the oldest record that a new node needs is older than a
/// third of the retention plus the jitter. At least half of the retention remains for retries.
#[must_use]
pub fn is_snapshot_due(view: &SnapshotView<'_>, now: Timestamp) -> bool {
    let age_ms = now.ms_since(view.state.start_appended);
    let jitter_ms = view.jitter_ms.min(view.retention_ms / 6);
    view.state.upto().is_some() && age_ms >= view.retention_ms / 3 + jitter_ms
}
