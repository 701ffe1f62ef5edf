//! The messages themselves.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::digest::Fingerprint;
use crate::decisions::quarantine::record::{ReportId, SuspectReport};
use crate::ids::{
    AttemptId, EndpointKindName, FencingNumber, Incarnation, InstanceId, Offset, RequestKey,
    ScopeName, TargetName, VersionName,
};

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts callers' requests.
    Entry,
    /// Stands beside one model engine or plain service.
    Endpoint,
}

/// The first frame on every connection, from both sides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Oldest protocol version that the sender speaks.
    pub protocol_min: u16,
    /// Newest protocol version that the sender speaks.
    pub protocol_max: u16,
    /// The sender's process.
    pub incarnation: Incarnation,
    /// The sender's instance.
    pub instance: InstanceId,
    /// The sender's role.
    pub role: Role,
    /// The kind of endpoint beside the sender, if its role is endpoint.
    #[serde(default)]
    pub endpoint_kind: Option<EndpointKindName>,
    /// The version that the engine has loaded, if it serves a model.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// Where operators reach the sender.
    #[serde(default)]
    pub admin_address: Option<SocketAddr>,
}

/// What an attempt runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A completion by a model.
    Model {
        /// The model.
        model: TargetName,
        /// The version that must run it.
        version: VersionName,
        /// The prompt.
        prompt: String,
        /// The most tokens to generate.
        max_tokens: u32,
        /// The first token to send; earlier ones have been received.
        resume_from_token: u64,
    },
    /// One call to a plain service.
    Service {
        /// The service.
        service: TargetName,
        /// HTTP method.
        method: String,
        /// Path below the service, with its query.
        path: String,
        /// Content type of the body.
        content_type: String,
        /// The body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
}

impl Work {
    /// Index of the first piece that the answer starts with.
    pub(crate) fn first_piece(&self) -> u64 {
        match self {
            Self::Model { resume_from_token, .. } => *resume_from_token,
            Self::Service { .. } => 0,
        }
    }
}

/// Asks the endpoint daemon to run an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoint process that is meant; any other refuses.
    pub endpoint_incarnation: Incarnation,
    /// Digest of workspace, target and body.
    #[serde(with = "serde_bytes")]
    pub fingerprint: [u8; 16],
    /// The caller's key, if it sent one.
    pub key: Option<RequestKey>,
    /// Offset of the claim, if the request may not repeat.
    pub claim_offset: Option<Offset>,
    /// When the attempt is no longer wanted.
    pub deadline: Timestamp,
    /// Priority, 0 to 9; higher runs first.
    pub priority: u8,
    /// Whether the request must run alone because it is suspected of crashing endpoints.
    #[serde(default)]
    pub run_alone: bool,
    /// What to run.
    pub work: Work,
    /// W3C trace context of the sending span.
    #[serde(default)]
    pub traceparent: Option<String>,
}

/// Asks after an attempt, on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The attempt.
    pub attempt: AttemptId,
    /// The next chunk that the sender lacks.
    pub from_chunk: u64,
}

/// Asks the endpoint daemon for the result of an attempt or a promise that it never runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recover {
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// The endpoint process that the claim names.
    pub endpoint_incarnation: Incarnation,
}

/// Why an endpoint refused an attempt that it has not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedReason {
    /// The order is meant for another process at the same address.
    OtherIncarnation,
    /// The deadline has passed.
    DeadlinePassed,
    /// The endpoint is leaving.
    Draining,
    /// The endpoint is full.
    Full,
    /// The engine or service is down.
    EngineDown,
    /// The endpoint promised that this attempt never runs.
    Promised,
    /// The attempt is not known here, and will not run.
    NeverSeen,
    /// The engine has another version loaded.
    OtherVersion,
    /// A reason that this build does not know.
    #[serde(other)]
    Other,
}

/// The endpoint guarantees that the attempt never started and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The attempt.
    pub attempt: AttemptId,
    /// Why.
    pub reason: RefusedReason,
}

/// Status of the answer, before its first chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The attempt.
    pub attempt: AttemptId,
    /// HTTP status of the engine or service.
    pub status: u16,
    /// Content type of a plain service's answer.
    pub content_type: String,
}

/// One piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The attempt.
    pub attempt: AttemptId,
    /// Position in the answer, contiguous; a token's index for models.
    pub index: u64,
    /// The piece.
    pub bytes: Bytes,
}

/// The answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The attempt.
    pub attempt: AttemptId,
    /// Index after the last chunk.
    pub chunks: u64,
}

/// The attempt failed after it had started; it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failed {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whether the engine or service process died under it.
    pub engine_died: bool,
}

/// Load of the endpoint beside the sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests that can run at once.
    pub capacity: u32,
    /// When the engine measured this.
    pub reported: Timestamp,
}

/// Requests that were in flight when an engine died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// The daemon that reports.
    pub incarnation: Incarnation,
    /// Counts the crashes that it saw.
    pub sequence: u64,
    /// Whether the single request ran alone.
    pub ran_alone: bool,
    /// The version that the engine had loaded.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// How long a quarantine lasts, in milliseconds.
    pub quarantine_ms: u64,
    /// Digests of workspace, target and body.
    pub fingerprints: Vec<[u8; 16]>,
}

impl From<&SuspectReport> for Suspects {
    fn from(report: &SuspectReport) -> Self {
        Self {
            incarnation: report.report.incarnation,
            sequence: report.report.sequence,
            ran_alone: report.ran_alone,
            version: report.version.clone(),
            quarantine_ms: report.quarantine_ms,
            fingerprints: report.fingerprints.iter().map(|f| f.bytes()).collect(),
        }
    }
}

impl From<Suspects> for SuspectReport {
    fn from(suspects: Suspects) -> Self {
        Self {
            report: ReportId { incarnation: suspects.incarnation, sequence: suspects.sequence },
            fingerprints: suspects.fingerprints.into_iter().map(Fingerprint::from).collect(),
            prompt_parts: Vec::new(),
            ran_alone: suspects.ran_alone,
            version: suspects.version,
            quarantine_ms: suspects.quarantine_ms,
        }
    }
}

/// Asks for the sender's fold of the document stream, if it is ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentAsk {
    /// The last record that the asker has folded.
    pub upto: Option<Offset>,
}

/// A fold of the document stream, as JSON of a snapshot record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentState {
    /// The snapshot.
    pub snapshot: String,
}

/// Asks a rank to stage a change of its group's map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageAsk {
    /// The group.
    pub scope: ScopeName,
    /// The change.
    pub change: Offset,
    /// The first step that would run with the new map.
    pub step: u64,
    /// Fencing number of the lease under which the order is given.
    pub fencing: FencingNumber,
}

/// A rank has staged a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageDone {
    /// The group.
    pub scope: ScopeName,
    /// Index of the rank.
    pub rank: usize,
    /// The process that has staged it.
    pub incarnation: Incarnation,
    /// The change.
    pub change: Offset,
}

/// A rank cannot stage a change any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRefused {
    /// The group.
    pub scope: ScopeName,
    /// Index of the rank.
    pub rank: usize,
    /// The process that refuses.
    pub incarnation: Incarnation,
    /// The change.
    pub change: Offset,
}

/// What a rank's engine measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// The group.
    pub scope: ScopeName,
    /// Index of the rank.
    pub rank: usize,
    /// The process that reports.
    pub incarnation: Incarnation,
    /// The step that the group runs next.
    pub next_step: u64,
    /// Time of the rank in a step, in milliseconds.
    pub step_ms: f64,
    /// Speed of the rank; 1 is nominal.
    pub speed: f64,
    /// Experts that one rank holds in one layer.
    pub slots: usize,
    /// Tokens of the group by layer and expert. Only rank 0 reports them.
    pub tokens: Vec<Vec<f64>>,
    /// When the engine measured this.
    pub ended: Timestamp,
}

/// One frame on a connection between two processes of the system.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// First frame.
    Hello(Hello),
    /// Shows that the connection works; counts up.
    Heartbeat(u64),
    /// Entry to endpoint: run an attempt.
    Start(Box<Start>),
    /// Entry to endpoint: the answer is no longer wanted.
    Cancel(AttemptId),
    /// Entry to endpoint: send the answer from a chunk on.
    Ask(Ask),
    /// Entry to endpoint: result or promise.
    Recover(Recover),
    /// Endpoint to entry: the attempt is taken.
    Accepted(AttemptId),
    /// Endpoint to entry: never started, never will.
    Refused(Refused),
    /// Endpoint to entry: status.
    Head(Head),
    /// Endpoint to entry: a piece of the answer.
    Chunk(Chunk),
    /// Endpoint to entry: the answer is whole.
    End(End),
    /// Endpoint to entry: may have run.
    Failed(Failed),
    /// Endpoint to entry: load.
    Load(Load),
    /// Either way: the sender is leaving.
    Draining,
    /// Endpoint to entry: requests that were in flight when the engine died.
    Suspects(Suspects),
    /// Either way: the document is wanted.
    DocumentAsk(DocumentAsk),
    /// Either way: the document, for a peer that cannot read the log.
    DocumentState(DocumentState),
    /// Entry to endpoint: stage a change of the map.
    Stage(StageAsk),
    /// Endpoint to entry: staged.
    Staged(StageDone),
    /// Endpoint to entry: cannot be staged any more.
    StageRefused(StageRefused),
    /// Endpoint to entry: what the rank's engine measured.
    RankReport(Box<RankReport>),
    /// A kind that this build does not know; ignored.
    Unknown(u8),
}
