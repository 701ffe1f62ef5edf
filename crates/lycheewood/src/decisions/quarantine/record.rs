//! Records of log stream `quarantine`.

use serde::{Deserialize, Serialize};

use crate::decisions::digest::Fingerprint;
use crate::ids::{AttemptId, Incarnation, VersionName};

/// The newest schema of a record that this build reads and the one that it writes.
pub const QUARANTINE_SCHEMA: u32 = 1;

/// Identifies one crash of an engine or service, so that a repeated report counts once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReportId {
    /// The endpoint daemon that reports.
    pub incarnation: Incarnation,
    /// Counts the crashes that it saw.
    pub sequence: u64,
}

/// The requests that were in flight when an engine or service died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The crash.
    pub report: ReportId,
    /// The requests.
    pub fingerprints: Vec<Fingerprint>,
    /// Whether the single request ran alone.
    pub ran_alone: bool,
    /// The version that the engine had loaded, if it served a model.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// How long a quarantine lasts by the document in force at the endpoint. It is in the record so that
    /// all processes fold alike while a changed document spreads.
    pub quarantine_ms: u64,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum QuarantineEntry {
    /// An engine or service died.
    Suspects(SuspectReport),
    /// An entry asks to run a suspect alone. The first one in log order counts until it ends.
    Trial {
        /// The suspect.
        fingerprint: Fingerprint,
        /// The attempt that runs it.
        attempt: AttemptId,
        /// The version that runs it, if it goes to a model.
        #[serde(default)]
        version: Option<VersionName>,
        /// How long nobody else may run it, in milliseconds after the append.
        duration_ms: u64,
    },
    /// The trial's attempt ended with a whole answer.
    Cleared {
        /// The suspect.
        fingerprint: Fingerprint,
        /// The attempt that ran it.
        attempt: AttemptId,
    },
    /// The trial's attempt never ran and never will.
    Withdrawn {
        /// The suspect.
        fingerprint: Fingerprint,
        /// The attempt that was to run it.
        attempt: AttemptId,
    },
    /// A type that this build does not know; ignored.
    #[serde(other)]
    Unknown,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Schema of the record.
    pub schema: u32,
    /// What it says.
    pub entry: QuarantineEntry,
}

impl QuarantineRecord {
    /// A record of the schema that this build writes.
    #[must_use]
    pub const fn new(entry: QuarantineEntry) -> Self {
        Self { schema: QUARANTINE_SCHEMA, entry }
    }

    /// The payload for the log.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Serialising to a string fails only when a type's `Serialize` does, and none of these can.
        serde_json::to_string(self).unwrap_or_default()
    }
}
