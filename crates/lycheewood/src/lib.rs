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
pub use decisions::attempts::memory::AttemptMemory;
pub use decisions::attempts::{
    EndpointView, Known, Occupancy, RecoverDecision, StartDecision, decide_ask, decide_recover,
    decide_start,
};
pub use decisions::claims::record::{
    CLAIMS_SCHEMA, ClaimBatch, ClaimEntry, ClaimKey, ClaimPosition, ClaimRecord,
};
pub use decisions::claims::recovery::{RecoveryReply, RecoveryStep, recovery_step};
pub use decisions::claims::{
    ClaimSettings, ClaimTable, ClaimVerdict, Folded, Holder, OwnClaim, Standing, different_request,
};
pub use decisions::digest::{DigestError, Fingerprint, KeyDigest};
pub use decisions::entries::{
    AdviceSettings, Candidate, EntryAdvice, entry_advice, watched_endpoints,
};
pub use decisions::membership::{
    Connection, Eligibility, InstanceView, Listed, MembershipSettings, eligibility, may_be_told,
};
pub use decisions::quarantine::record::{
    QUARANTINE_SCHEMA, QuarantineEntry, QuarantineRecord, ReportId, SuspectReport,
};
pub use decisions::quarantine::{QuarantineSettings, QuarantineTable, QuarantineVerdict};
pub use document::checked::{
    CallPattern, Deadlines, Document, EndpointKind, EndpointRole, Model, ModelVersion, Objective,
    PlacementPolicy, Workspace,
};
pub use ids::{
    AttemptId, EndpointKindName, FailureDomain, FencingNumber, Incarnation, InstanceId, Offset,
    RequestKey, RequestKeyError, TargetName, VersionName, WorkspaceName,
};
pub use lifecycle::attempt::{Attempt, Dispatched, Planned, Vouch};
pub use lifecycle::claim::{
    Abandoned, Claim, Granted, Judged, Lost, LostReason, Needed, Permit, Sent,
};
pub use lifecycle::shutdown::{Lingering, Refusing, Serving, Shutdown, ShutdownSettings, Stopped};
pub use outcome::{InvalidRequest, NotRun, NotRunCode, Refusal, Unknown, UnknownCode};
pub use wire::codec::{DecodeError, decode, encode};
pub use wire::message::{
    Ask, Chunk, End, Failed, Frame, Head, Hello, Load, Recover, Refused, RefusedReason, Role,
    Start, Suspects, Work,
};
pub use wire::{PROTOCOL_MAX, PROTOCOL_MIN, common_version};
