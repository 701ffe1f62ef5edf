//! Records of the stream `documents`.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock::Timestamp;
use crate::ids::{Offset, PublicationId};

/// Schema number of the records that this crate reads and writes.
pub const SCHEMA: u32 = 1;

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
