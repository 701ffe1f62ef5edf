//! Which published document is in force: a fold over the log stream `documents`.
//!
//! The state after a record depends only on the records up to it. A node may start from offset 0, a
//! snapshot in the log or a peer's state, and agrees with every other node at each offset.
//!
//! Schema 1 fixes the form of records, the rules of documents and the defaults. A change to any of
//! them needs a new schema number, and may be published only once every node reads that number,
//! because a record that a node cannot read is skipped.

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

pub use publisher::{PublisherView, Verdict, verdict};
pub use record::{
    Change, Publication, Record, SCHEMA, Snapshot, Win, decode_record, encode_record,
};
pub use start::{Merge, Start, choose_start, is_faulty, merge};

use start::state_of;

/// Accepted publications that the state remembers, so that a publisher can still ask for its verdict.
/// At the design size of 15 000 changes a day this covers 25 minutes.
const REMEMBERED_WINS: usize = 256;

/// Longer ids are skipped, which bounds the size of a snapshot. A UUID takes 36 bytes.
const MAX_ID_BYTES: usize = 64;

/// A document in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Published {
    /// Offset of its publication.
    pub version: Offset,
    /// The document as written.
    pub raw: Arc<Value>,
    /// The checked document.
    pub document: Arc<Document>,
}

/// State of the fold after all records before `next`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FoldState {
    next: Offset,
    published: Option<Published>,
    wins: Vec<Win>,
    upto_appended: Timestamp,
    start_appended: Timestamp,
}

/// A record as read from the log.
#[derive(Clone, Copy, Debug)]
pub struct RecordView<'a> {
    /// Its offset.
    pub offset: Offset,
    /// When the log appended it, by the log's clock.
    pub appended: Timestamp,
    /// Its payload.
    pub payload: &'a str,
}

/// A reply of the log.
#[derive(Clone, Copy, Debug)]
pub struct Page<'a> {
    /// The oldest readable offset.
    pub first_offset: Offset,
    /// The next offset to be assigned.
    pub end_offset: Offset,
    /// Records in order of their offsets.
    pub records: &'a [RecordView<'a>],
}

/// What a record did to the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Folded {
    /// Its document is in force.
    Accepted(Win),
    /// A publication without effect.
    Refused {
        /// The publication.
        id: PublicationId,
        /// The reason.
        because: RefusedBecause,
    },
    /// A snapshot; it changes no document.
    Snapshot,
    /// No record of this schema; every node skips it.
    Skipped,
    /// The state already contains the record.
    Known,
}

/// Why a publication is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RefusedBecause {
    /// Another publication replaced the base first.
    #[error("version {} won the race; edit that version and publish under a new id", .0.version)]
    Lost(Win),
    /// The base is not the version in force, and its winner is not remembered.
    #[error("the base is not the version in force; edit the document in force")]
    Base,
    /// A record with this id was accepted before.
    #[error("this id was accepted before as version {0}; use a new id for a new change")]
    IdUsed(Offset),
    /// The result breaks a rule.
    #[error("the result is not a valid document: {0}")]
    Invalid(String),
}

/// Records between the state and the given one are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fold needs offset {expected} but was given {found}; choose a start again")]
pub struct Gap {
    /// Offset that the fold needs.
    pub expected: Offset,
    /// Offset that was given.
    pub found: Offset,
}

impl FoldState {
    /// The state that a snapshot or a peer describes, or `None` when it contradicts itself.
    #[must_use]
    pub fn from_snapshot(snapshot: &Snapshot) -> Option<Self> {
        if snapshot.upto.0 == u64::MAX
            || snapshot.wins.len() > REMEMBERED_WINS
            || snapshot.wins.last().map(|win| win.version) != snapshot.version
        {
            return None;
        }
        let published = match (snapshot.version, &snapshot.document) {
            (Some(version), Some(value)) if version <= snapshot.upto => {
                Some(Published::checked(version, value).ok()?)
            }
            (None, None) => None,
            _ => return None,
        };
        Some(Self {
            next: snapshot.upto.next(),
            published,
            wins: snapshot.wins.clone(),
            upto_appended: snapshot.upto_appended,
            start_appended: snapshot.start_appended,
        })
    }

    /// The state as a snapshot or an offer to a peer; `None` before the first record.
    #[must_use]
    pub fn to_snapshot(&self) -> Option<Snapshot> {
        Some(Snapshot {
            upto: self.upto()?,
            upto_appended: self.upto_appended,
            start_appended: self.start_appended,
            version: self.version(),
            document: self.published.as_ref().map(|published| Value::clone(&published.raw)),
            wins: self.wins.clone(),
        })
    }

    /// The first offset that is not folded yet.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// The last folded offset.
    #[must_use]
    pub fn upto(&self) -> Option<Offset> {
        self.next.0.checked_sub(1).map(Offset)
    }

    /// The document in force.
    #[must_use]
    pub const fn published(&self) -> Option<&Published> {
        self.published.as_ref()
    }

    /// The version in force.
    #[must_use]
    pub fn version(&self) -> Option<Offset> {
        self.published.as_ref().map(|published| published.version)
    }

    /// A lower bound for the append time of the oldest record that a new node needs: it can start
    /// without a peer until that record expires. A snapshot needs the record after its `upto`, which
    /// is older than the snapshot itself when the writer was paused.
    #[must_use]
    pub const fn start_appended(&self) -> Timestamp {
        self.start_appended
    }

    /// Folds one record. A snapshot never changes the document.
    ///
    /// # Errors
    ///
    /// [`Gap`], with the state unchanged, when records before this one are missing.
    pub fn fold(&mut self, record: &RecordView<'_>) -> Result<Folded, Gap> {
        if record.offset < self.next {
            return Ok(Folded::Known);
        }
        if record.offset > self.next {
            return Err(Gap { expected: self.next, found: record.offset });
        }
        // The log's clock may go back; the fold's time does not.
        let appended = record.appended.max(self.upto_appended);
        if self.next == Offset(0) {
            self.start_appended = appended;
        }
        let folded = match decode_record(record.payload) {
            Some(Record::Publication(publication)) => self.publish(record.offset, &publication),
            Some(Record::Snapshot(snapshot)) if state_of(&snapshot, record.offset).is_some() => {
                let adjacent = snapshot.upto.next() == record.offset;
                let needed = if adjacent { appended } else { snapshot.upto_appended.min(appended) };
                self.start_appended = self.start_appended.max(needed);
                Folded::Snapshot
            }
            _ => Folded::Skipped,
        };
        self.next = record.offset.next();
        self.upto_appended = appended;
        Ok(folded)
    }

    fn publish(&mut self, offset: Offset, publication: &Publication) -> Folded {
        let id = &publication.id;
        if id.as_str().is_empty() || id.as_str().len() > MAX_ID_BYTES {
            return Folded::Skipped;
        }
        match self.accept(offset, publication) {
            Ok(published) => {
                let win = Win { version: offset, base: publication.base, id: id.clone() };
                if self.wins.len() == REMEMBERED_WINS {
                    self.wins.remove(0);
                }
                self.wins.push(win.clone());
                self.published = Some(published);
                Folded::Accepted(win)
            }
            Err(because) => Folded::Refused { id: id.clone(), because },
        }
    }

    fn accept(&self, offset: Offset, new: &Publication) -> Result<Published, RefusedBecause> {
        if let Some(win) = self.wins.iter().find(|win| win.id == new.id) {
            return Err(RefusedBecause::IdUsed(win.version));
        }
        if new.base != self.version() {
            let winner = self.wins.iter().find(|win| win.base == new.base);
            return Err(winner.cloned().map_or(RefusedBecause::Base, RefusedBecause::Lost));
        }
        match (&new.change, &self.published) {
            (Change::Document(value), _) => Published::checked(offset, value),
            (Change::Patch(patch), Some(base)) => apply_patch(&base.raw, patch)
                .map_err(|error| error.to_string())
                .and_then(|value| Published::checked(offset, &value)),
            (Change::Patch(_), None) => {
                Err("there is no document to patch; publish a whole one".to_owned())
            }
        }
        .map_err(RefusedBecause::Invalid)
    }
}

impl Published {
    fn checked(version: Offset, value: &Value) -> Result<Self, String> {
        let raw = RawDocument::from_value(value).map_err(|error| error.to_string())?;
        let document = Document::try_from(&raw).map_err(|error| error.to_string())?;
        Ok(Self { version, raw: Arc::new(raw.to_value()), document: Arc::new(document) })
    }
}

/// What decides whether a snapshot is due.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotView<'a> {
    /// The state, folded to the end of the log.
    pub state: &'a FoldState,
    /// How long the log keeps a record, in milliseconds.
    pub retention_ms: u64,
    /// Random delay of this node, in milliseconds; at most a sixth of the retention counts. It keeps
    /// nodes from writing the same snapshot at once.
    pub jitter_ms: u64,
}

/// Whether this node writes a snapshot now: the start of new nodes is older than a third of the
/// retention plus the jitter. At least half of the retention remains for retries.
#[must_use]
pub fn snapshot_due(view: &SnapshotView<'_>, now: Timestamp) -> bool {
    let age_ms = now.ms_since(view.state.start_appended);
    let jitter_ms = view.jitter_ms.min(view.retention_ms / 6);
    view.state.upto().is_some() && age_ms >= view.retention_ms / 3 + jitter_ms
}
