//! Records of log stream `quarantine`, whose entries gateways also send each other directly.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::decisions::digest::{Fingerprint, digest};
use crate::ids::{AttemptId, Incarnation, InstanceId, VersionName};

/// Schema of records that this build writes, and the newest that it reads.
pub const QUARANTINE_SCHEMA: u32 = 1;

/// Id of a crash of an engine or service, by which repeated reports of it are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReportId {
    /// Process of the endpoint daemon that reports the crash, or a digest of the endpoint that has crashed.
    pub incarnation: Incarnation,
    /// Number of the crash among those that this process saw, or the start of the endpoint in Unix milliseconds.
    pub sequence: u64,
}

impl ReportId {
    /// Id of the end of an endpoint's incarnation, the same at every gateway that observes it. `started_ms` tells
    /// incarnations with the same identifier apart.
    #[must_use]
    pub fn of_incarnation(endpoint: &InstanceId, started_ms: u64) -> Self {
        let digest = digest(&[b"crash", endpoint.as_str().as_bytes()]);
        let endpoint = digest.iter().take(8).fold(0, |word, byte| word << 8 | u64::from(*byte));
        Self { incarnation: Incarnation(endpoint), sequence: started_ms }
    }
}

impl fmt::Display for ReportId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}

/// Report of the requests that were in flight when an engine or service crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Id of the crash.
    pub report: ReportId,
    /// Fingerprints of the requests.
    pub fingerprints: Vec<Fingerprint>,
    /// Fingerprints of parts of their prompts that requests in flight share with others. Only parts of requests
    /// without output are named: an endpoint that sends output has processed the prompt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prompt_parts: Vec<Fingerprint>,
    /// Whether the only request in flight ran alone by order of its entry.
    pub ran_alone: bool,
    /// Model version that the engine had loaded; `None` for a service.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// Duration of a quarantine, in milliseconds, by the document in force at the endpoint. The record
    /// carries it so that all processes reach the same state while a changed document spreads.
    pub quarantine_ms: u64,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum QuarantineEntry {
    /// An engine or service crashed.
    Suspects(SuspectReport),
    /// An entry asks to run a suspect alone. The first request in log order is granted until it expires.
    Trial {
        /// Fingerprint of the suspect.
        fingerprint: Fingerprint,
        /// Attempt that runs it.
        attempt: AttemptId,
        /// Model version that runs it; `None` for a service.
        #[serde(default)]
        version: Option<VersionName>,
        /// Time during which no other attempt may run it, in milliseconds from the append.
        duration_ms: u64,
    },
    /// The attempt of the trial ended with a complete answer.
    Cleared {
        /// Fingerprint of the suspect.
        fingerprint: Fingerprint,
        /// Attempt that ran it.
        attempt: AttemptId,
    },
    /// The attempt of the trial never ran and never will.
    Withdrawn {
        /// Fingerprint of the suspect.
        fingerprint: Fingerprint,
        /// Attempt that was to run it.
        attempt: AttemptId,
    },
    /// An endpoint has lately completed the request, or sent output for the prompt part, outside a trial.
    Completed {
        /// Fingerprint of the request or prompt part.
        fingerprint: Fingerprint,
    },
    /// A type that this build does not know; ignored.
    #[serde(other)]
    Unknown,
}

/// Record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Schema of the record.
    pub schema: u32,
    /// Content of the record.
    pub entry: QuarantineEntry,
}

impl QuarantineRecord {
    /// Creates a record with the schema that this build writes.
    #[must_use]
    pub const fn new(entry: QuarantineEntry) -> Self {
        Self { schema: QUARANTINE_SCHEMA, entry }
    }

    /// Encodes the record as the payload of a log record.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Cannot fail: none of these types has a fallible `Serialize`.
        serde_json::to_string(self).unwrap_or_default()
    }
}
