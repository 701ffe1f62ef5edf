//! Which published document is in force: a fold over the log stream `documents`.
//!
//! The state after a record depends only on the records up to it. A node may start from offset 0, a
//! snapshot in the log or a peer's state, and agrees with every other node at each offset.
//!
//! Schema 1 fixes the form of records, the rules of documents and the defaults. A change to any of
//! them needs a new schema number, and may be published only once every node reads that number,
//! because a record that a node cannot read is skipped.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock::Timestamp;
use crate::document::checked::Document;
use crate::document::patch::apply_patch;
use crate::document::raw::RawDocument;
use crate::ids::{Offset, PublicationId};

/// Schema number of the records that this crate reads and writes.
pub const SCHEMA: u32 = 1;

/// Accepted publications that the state remembers, so that a publisher can still ask for its verdict.
/// At the design size of 15 000 changes a day this covers 25 minutes.
const REMEMBERED_WINS: usize = 256;

/// Longer ids are skipped, which bounds the size of a snapshot. A UUID takes 36 bytes.
const MAX_ID_BYTES: usize = 64;

/// A record of the stream `documents`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A document or a change of one.
    Publication(Publication),
    /// State of the fold, as the start of later folds.
    Snapshot(Snapshot),
}

/// A proposal to put a document in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// Identifies the publication. A record appended again after a lost reply has the same id.
    pub id: PublicationId,
    /// Version that it edits, or `None` when no document is in force.
    pub base: Option<Offset>,
    /// The new document.
    pub change: Change,
}

/// How a publication states its document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The whole document.
    Document(Value),
    /// A JSON merge patch on the base, as [`apply_patch`] takes it.
    Patch(Value),
}

/// State of the fold after all records up to and including `upto`; also what a peer offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The last folded record.
    pub upto: Offset,
    /// Highest append time of the folded records.
    pub upto_appended: Timestamp,
    /// See [`FoldState::start_appended`].
    pub start_appended: Timestamp,
    /// Offset of the publication in force.
    pub version: Option<Offset>,
    /// The document in force; present exactly when `version` is.
    pub document: Option<Value>,
    /// The latest accepted publications, oldest first.
    pub wins: Vec<Win>,
}

/// An accepted publication. Each base has one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Win {
    /// Offset of the accepted record, which is the version it put in force.
    pub version: Offset,
    /// The version that it replaced.
    pub base: Option<Offset>,
    /// Its publication.
    pub id: PublicationId,
}

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

/// Encodes a record as the payload of the log.
#[must_use]
pub fn encode_record(record: &Record) -> String {
    let mut value = serde_json::to_value(record).unwrap_or_default();
    value["schema"] = SCHEMA.into();
    value.to_string()
}

/// Decodes the payload of a record, or gives `None` when it is no record of this schema.
#[must_use]
pub fn decode_record(payload: &str) -> Option<Record> {
    let mut value: Value = serde_json::from_str(payload).ok()?;
    // Without the schema, exactly the key of the variant remains.
    let schema = value.as_object_mut()?.remove("schema")?;
    if schema == SCHEMA { serde_json::from_value(value).ok() } else { None }
}

/// The state that a snapshot record describes. A snapshot at or before its own `upto` claims
/// records that its writer cannot have read.
fn state_of(snapshot: &Snapshot, offset: Offset) -> Option<FoldState> {
    if snapshot.upto < offset { FoldState::from_snapshot(snapshot) } else { None }
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

/// Where a fold starts.
#[derive(Clone, Debug, PartialEq)]
pub enum Start {
    /// Continue the present state with the record at its `next`.
    Continue,
    /// Replace the present state by this one and read from its `next`.
    Replace(FoldState),
    /// The readable records do not lead to a state. Keep the present document, ask peers for
    /// a state with a higher `upto`, and wait for a snapshot.
    Unavailable,
}

/// Chooses the start of a fold from all readable records, or from all snapshots among them, given the
/// state so far. A node whose next record is still readable continues; snapshots are then ignored.
///
/// A new node first asks a peer for its state, because it cannot tell a log that lost its records from
/// a new one; with a peer's state, [`is_faulty`] can.
///
/// The log's start may move after the choice. The fold then reports a [`Gap`], and the choice is
/// made again.
#[must_use]
pub fn choose_start(current: Option<&FoldState>, page: &Page<'_>) -> Start {
    if current.is_some_and(|state| page.first_offset <= state.next) {
        return Start::Continue;
    }
    if current.is_none() && page.first_offset == Offset(0) {
        return Start::Replace(FoldState::default());
    }
    page.records
        .iter()
        .filter_map(|record| match decode_record(record.payload)? {
            Record::Snapshot(snapshot) => state_of(&snapshot, record.offset),
            Record::Publication(_) => None,
        })
        // Records between an older snapshot and the log's start are missing.
        .filter(|state| page.first_offset <= state.next)
        .filter(|state| current.is_none_or(|current| state.next > current.next))
        .max_by_key(FoldState::next)
        .map_or(Start::Unavailable, Start::Replace)
}

/// What to do with a state that a peer offers.
#[derive(Clone, Debug, PartialEq)]
pub enum Merge {
    /// The offer is not ahead, or it contradicts the present state. Nothing changes.
    Keep,
    /// Take this state, then pass it to [`choose_start`] with the log's next reply. When the log no
    /// longer has the record at its `next`, the document stays in force and the fold needs a snapshot
    /// or another offer.
    Take(FoldState),
}

/// Decides on a state that a peer offers. Only a higher `upto` replaces the present state, and
/// never with an older version.
#[must_use]
pub fn merge(current: Option<&FoldState>, offered: &Snapshot) -> Merge {
    if current.is_some_and(|state| offered.upto < state.next || offered.version < state.version()) {
        return Merge::Keep;
    }
    FoldState::from_snapshot(offered).map_or(Merge::Keep, Merge::Take)
}

/// Whether a reply of the log contradicts what was seen: its end went back, or its offsets are out
/// of order. Such a reply is not applied. `seen_end` is the highest end offset seen.
#[must_use]
pub fn is_faulty(current: Option<&FoldState>, seen_end: Offset, page: &Page<'_>) -> bool {
    let known_end = current.map_or(seen_end, |state| seen_end.max(state.next));
    let (first, end) = (page.first_offset, page.end_offset);
    let contiguous = page.records.windows(2).all(|pair| pair[0].offset.next() == pair[1].offset);
    let inside = page.records.iter().all(|record| first <= record.offset && record.offset < end);
    end < known_end || first > end || !contiguous || !inside
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

/// What a publisher knows of its publication.
#[derive(Clone, Copy, Debug)]
pub struct PublisherView<'a> {
    /// Its id.
    pub id: &'a PublicationId,
    /// Its base.
    pub base: Option<Offset>,
    /// What a record with its id did, when the publisher folded one itself.
    pub folded: Option<&'a Folded>,
}

/// What became of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is or was in force as this version.
    Accepted {
        /// Offset of its accepted record.
        version: Offset,
    },
    /// It is not in force and never will be, however often its record is appended.
    Refused(RefusedBecause),
    /// Its base is in force, or not folded yet. The record may be appended again under the same id.
    NotYetKnown,
    /// Its base was replaced before the oldest remembered publication. It has no effect any more,
    /// but the state no longer tells whether it was accepted then.
    Forgotten,
}

/// The verdict on a publication. It does not depend on how often its record was appended, because
/// each base has one winner.
#[must_use]
pub fn verdict(state: &FoldState, publisher: &PublisherView<'_>) -> Verdict {
    if let Some(win) = state.wins.iter().find(|win| &win.id == publisher.id) {
        return Verdict::Accepted { version: win.version };
    }
    if let Some(folded) = publisher.folded {
        match folded {
            Folded::Accepted(Win { version, .. })
            | Folded::Refused { because: RefusedBecause::IdUsed(version), .. } => {
                return Verdict::Accepted { version: *version };
            }
            Folded::Refused {
                because: because @ (RefusedBecause::Lost(_) | RefusedBecause::Invalid(_)),
                ..
            } => return Verdict::Refused(because.clone()),
            // An earlier record with the id may have been accepted on a base since forgotten.
            _ => {}
        }
    }
    let (base, version) = (publisher.base, state.version());
    if let Some(win) = state.wins.iter().find(|win| win.base == base) {
        Verdict::Refused(RefusedBecause::Lost(win.clone()))
    } else if base == version || base.is_some_and(|base| base >= state.next) {
        Verdict::NotYetKnown
    } else if base > version || state.wins.first().is_some_and(|oldest| oldest.base < base) {
        Verdict::Refused(RefusedBecause::Base)
    } else {
        Verdict::Forgotten
    }
}
