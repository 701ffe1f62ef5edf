//! Coordination parts of a load balancer for expert-parallel model groups.
//!
//! The daemon and the command-line tool are thin programs over this crate; others can embed its
//! decisions and life cycles. Decisions are plain functions over borrowed views with the present time
//! as an argument:
//!
//! ```
//! use lycheewood::{Attempt, AttemptId, Incarnation, NotRunCode};
//!
//! let id = AttemptId { incarnation: Incarnation::random(), sequence: 1 };
//! let attempt = Attempt::plan(id);
//! // Nothing has been sent yet, so the attempt can still end as not run.
//! let not_run = attempt.not_run(NotRunCode::NoEndpoint, 250);
//! assert_eq!(not_run.retry_after_ms, 250);
//! ```
//!
//! `docs/design.md` in the repository explains the mechanisms; `guide/` explains how to operate them.

mod clock;
mod decisions;
mod document;
mod ids;
mod lifecycle;
mod outcome;
mod wire;

pub use clock::{Clock, Timestamp};
pub use decisions::leases::{
    CurrentLease, FencingGate, LeaseEffect, LeaseRecord, LeaseVersion, Leases, OrderRefusal,
    RecordError, ReleaseRecord, decode_record, encode_record,
};
pub use decisions::map_change::{
    CommittedMap, MapEffect, MapRecord, PendingChange, RankEvidence, RankGate, RankMaps,
    Resolution, StageOrder, StageRefusal, resolve_change,
};
pub use decisions::placement::{
    ChangeCosts, ExpertMap, ExpertMapError, ExpertMove, KeepReason, LoadForecast, LoadReport,
    PlacementChange, PlacementVerdict, PlacementView, decide_placement,
};
pub use document::checked::{
    CallPattern, Deadlines, Document, EndpointKind, EndpointRole, Model, ModelVersion, Objective,
    PlacementPolicy, Workspace,
};
pub use ids::{
    AttemptId, EndpointKindName, FailureDomain, FencingNumber, Incarnation, InstanceId, Offset,
    RequestKey, RequestKeyError, ScopeName, TargetName, VersionName, WorkspaceName,
};
pub use lifecycle::attempt::{Attempt, Dispatched, Planned, Vouch};
pub use lifecycle::lease::{
    Held, Lease, LeaseExpired, LeaseTaken, LeaseWatch, Requested, Signature,
};
pub use lifecycle::map_change::{Aborted, Committed, Decided, MapChange, Proposed, Staged};
pub use outcome::{InvalidRequest, NotRun, NotRunCode, Refusal, Unknown, UnknownCode};
pub use wire::codec::{DecodeError, decode, encode};
pub use wire::message::{
    Ask, Chunk, End, Failed, Frame, Head, Hello, Load, Recover, Refused, RefusedReason, Role,
    Start, Suspects, Work,
};
pub use wire::{PROTOCOL_MAX, PROTOCOL_MIN, common_version};
