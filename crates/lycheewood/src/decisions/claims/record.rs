//! Records of log stream `claims`.

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::digest::{Fingerprint, KeyDigest};
use crate::ids::{AttemptId, Incarnation, InstanceId, Offset, RequestKey, WorkspaceName};

/// The newest schema of a batch that this build reads and the one that it writes.
pub const CLAIMS_SCHEMA: u32 = 1;

/// A key as claims name it. It sorts by time of creation, so that old keys expire first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// When the caller created the key.
    #[serde(rename = "key_created_unix_ms")]
    pub created: Timestamp,
    /// Digest of workspace and key.
    #[serde(rename = "key_digest")]
    pub digest: KeyDigest,
}

impl ClaimKey {
    /// The key as sent by `workspace`. Equal keys of two workspaces differ.
    #[must_use]
    pub fn new(workspace: &WorkspaceName, key: &RequestKey) -> Self {
        Self { created: key.created(), digest: KeyDigest::of(workspace, key) }
    }
}

/// Position of a claim in the stream: the record, then the entry within its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimPosition {
    /// Offset of the record.
    #[serde(rename = "claim_offset")]
    pub offset: Offset,
    /// Index within the batch.
    #[serde(rename = "claim_index")]
    pub index: u32,
}

/// One claim of a key by an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The key.
    #[serde(flatten)]
    pub key: ClaimKey,
    /// The attempt that will run the request.
    pub attempt: AttemptId,
    /// The instance that the attempt is meant for.
    pub endpoint: InstanceId,
    /// The process there that the attempt is meant for.
    pub endpoint_incarnation: Incarnation,
    /// What the request runs; the key may not be used for anything else.
    pub fingerprint: Fingerprint,
}

/// One entry of a batch.
///
/// There is no entry for a finished request: it would double the appends, and the answer is at the
/// endpoint daemon, which the claim names anyway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ClaimEntry {
    /// Claims a key.
    Claim(ClaimRecord),
    /// The endpoint process named in the claim vouched that the attempt never ran and never will.
    Recovered {
        /// The key.
        #[serde(flatten)]
        key: ClaimKey,
        /// The claim that ends.
        #[serde(flatten)]
        claim: ClaimPosition,
    },
    /// The holder never dispatched the attempt and never will.
    Released {
        /// The key.
        #[serde(flatten)]
        key: ClaimKey,
        /// The claim that ends.
        #[serde(flatten)]
        claim: ClaimPosition,
        /// The process that releases; counts only if it is the holder.
        by: Incarnation,
    },
    /// A type that this build does not know; ignored. A key stays held if a newer type frees it.
    #[serde(other)]
    Unknown,
}

/// One record: entries that share an append. Their order in the batch is their order in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Schema of the batch.
    pub schema: u32,
    /// The entries.
    pub entries: Vec<ClaimEntry>,
}

impl ClaimBatch {
    /// A batch of the schema that this build writes.
    #[must_use]
    pub const fn new(entries: Vec<ClaimEntry>) -> Self {
        Self { schema: CLAIMS_SCHEMA, entries }
    }

    /// The payload for the log.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Serialising to a string fails only when a type's `Serialize` does, and none of these can.
        serde_json::to_string(self).unwrap_or_default()
    }
}
