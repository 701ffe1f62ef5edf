//! Records of log stream `documents`.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock::Timestamp;
use crate::ids::{Offset, PublicationId};

/// Schema of the records that this crate reads and writes.
pub const SCHEMA: u32 = 1;

/// Record of the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Proposal of a new document.
    Publication(Publication),
    /// State after an earlier record, from which a node can start.
    Snapshot(Snapshot),
}

/// Proposal to put a document in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// Id of the publication. A record that is appended again after a lost reply has the same id.
    pub id: PublicationId,
    /// Version that the publication edits, or `None` if no document is in force.
    pub base: Option<Offset>,
    /// New document, whole or as a patch.
    pub change: Change,
}

/// New document of a publication.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Whole document.
    Document(Value),
    /// JSON merge patch of the base; see [`apply_patch`](crate::apply_patch).
    Patch(Value),
}

/// State after all records up to and including `upto`. Nodes also exchange it with peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Offset of the last applied record.
    pub upto: Offset,
    /// Latest append time of the applied records.
    pub upto_appended: Timestamp,
    /// See [`PublicationState::start_appended`](crate::publication::PublicationState::start_appended).
    pub start_appended: Timestamp,
    /// Offset of the publication in force.
    pub version: Option<Offset>,
    /// Document in force; present if and only if `version` is.
    pub document: Option<Value>,
    /// Latest accepted publications, oldest first.
    #[serde(rename = "wins")]
    pub accepted: Vec<AcceptedPublication>,
}

/// Accepted publication. Each base has at most one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedPublication {
    /// Offset of the accepted record, which is the version of its document.
    pub version: Offset,
    /// Version that it replaced.
    pub base: Option<Offset>,
    /// Id of the publication.
    pub id: PublicationId,
}

/// Encodes a record as the payload of a log record.
#[must_use]
pub fn encode_record(record: &Record) -> String {
    let mut value = serde_json::to_value(record).unwrap_or_default();
    value["schema"] = SCHEMA.into();
    value.to_string()
}

/// Decodes the payload of a log record; `None` if it is not a record of this schema.
#[must_use]
pub fn decode_record(payload: &str) -> Option<Record> {
    let mut value: Value = serde_json::from_str(payload).ok()?;
    // `Record` accepts only the key of the variant, so the schema is removed first.
    let schema = value.as_object_mut()?.remove("schema")?;
    if schema == SCHEMA { serde_json::from_value(value).ok() } else { None }
}
