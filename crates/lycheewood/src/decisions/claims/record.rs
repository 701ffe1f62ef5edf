//! Records of log stream `claims`.

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::digest::{Fingerprint, KeyDigest};
use crate::ids::{AttemptId, Incarnation, InstanceId, Offset, RequestKey, WorkspaceName};

/// Schema of batches that this build writes, and the newest that it reads.
pub const CLAIMS_SCHEMA: u32 = 1;

/// Key in a claim. Keys sort by creation time, so that old keys expire first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Time at which the caller created the key.
    #[serde(rename = "key_created_unix_ms")]
    pub created: Timestamp,
    /// Digest of the workspace and the key.
    #[serde(rename = "key_digest")]
    pub digest: KeyDigest,
}

impl ClaimKey {
    /// Builds the key that `workspace` sent. The same key sent by another workspace gives another value.
    #[must_use]
    pub fn new(workspace: &WorkspaceName, key: &RequestKey) -> Self {
        Self { created: key.created(), digest: KeyDigest::of(workspace, key) }
    }
}

/// Position of a claim in the stream: the record, then the entry in its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimPosition {
    /// Offset of the record.
    #[serde(rename = "claim_offset")]
    pub offset: Offset,
    /// Index of the entry in the batch.
    #[serde(rename = "claim_index")]
    pub index: u32,
}

/// Claim of a key by an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Claimed key.
    #[serde(flatten)]
    pub key: ClaimKey,
    /// Attempt that runs the request if the claim is granted.
    pub attempt: AttemptId,
    /// Target instance of the attempt.
    pub endpoint: InstanceId,
    /// Target process on that instance.
    pub endpoint_incarnation: Incarnation,
    /// Digest of the request; the key may not be used for another request.
    pub fingerprint: Fingerprint,
}

/// One entry of a batch.
///
/// A finished request appends no entry: that would double the appends, and the claim already names the
/// endpoint daemon that has the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ClaimEntry {
    /// Claims a key.
    Claim(ClaimRecord),
    /// Frees a key: the endpoint process named in the claim promised that the attempt never ran and never
    /// will.
    Recovered {
        /// Key that is freed.
        #[serde(flatten)]
        key: ClaimKey,
        /// Claim that ends.
        #[serde(flatten)]
        claim: ClaimPosition,
    },
    /// Frees a key: the entry that claimed it never dispatched the attempt and never will.
    Released {
        /// Key that is freed.
        #[serde(flatten)]
        key: ClaimKey,
        /// Claim that ends.
        #[serde(flatten)]
        claim: ClaimPosition,
        /// Process that releases the key; without effect unless it made the claim.
        by: Incarnation,
    },
    /// A type that this build does not know; ignored. A key that only such an entry frees stays held.
    #[serde(other)]
    Unknown,
}

/// Record of the stream: entries that share an append, in the order in which they take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Schema of the batch.
    pub schema: u32,
    /// Entries of the batch.
    pub entries: Vec<ClaimEntry>,
}

impl ClaimBatch {
    /// Creates a batch with the schema that this build writes.
    #[must_use]
    pub const fn new(entries: Vec<ClaimEntry>) -> Self {
        Self { schema: CLAIMS_SCHEMA, entries }
    }

    /// Encodes the batch as the payload of a log record.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Cannot fail: none of these types has a fallible `Serialize`.
        serde_json::to_string(self).unwrap_or_default()
    }
}
