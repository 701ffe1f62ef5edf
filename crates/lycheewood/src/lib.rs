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

mod adapters;
mod clock;
mod cold_tracker;
mod connection_table;
mod controllers;
mod decisions;
mod document;
mod entry_state;
mod filters;
mod gateway;
mod group_ports;
mod ids;
mod lifecycle;
mod limit_tracker;
mod load_tracker;
mod logging;
mod memory_budget;
mod metrics;
mod outcome;
mod response;
mod roles;
mod routes;
mod runtime;
mod settings;
mod telemetry;
mod waiting_room;
mod wire;
mod work_tracker;

pub use adapters::agent::client::AgentRanks;
pub use adapters::api_port::{ApiLimits, serve_api};
pub use adapters::configuration::read_configuration;
pub use adapters::http::identified::IdentifiedClient;
pub use adapters::http::{HttpClient, HttpError};
pub use adapters::instance_list::{ListClient, ListPage, ListedInstance, ListedState};
pub use adapters::log::{LogClient, LogPage, LogRecord};
pub use clock::{Clock, Timestamp};
pub use decisions::admission::{
    AdmissionDecision, AdmissionPolicy, AdmissionRequest, AdmissionState, Brownout, TargetLoad,
    admit,
};
pub use decisions::attempts::table::AttemptTable;
pub use decisions::attempts::{
    AttemptState, EndpointView, Occupancy, RecoverDecision, StartDecision, decide_ask,
    decide_recover, decide_start,
};
pub use decisions::balance::{
    BalancingCandidate, WorkCandidate, WorkRequest, choose_by_load, choose_by_work,
};
pub use decisions::batch::{GapAverage, GroupPace, endpoint_batch, max_batch, paced_batch};
pub use decisions::check::{
    CheckReport, Finding, MAX_CONFIGURATION_BYTES, Severity, check_document, check_routes,
    check_yaml, decode_text, undecodable,
};
pub use decisions::claims::record::{
    CLAIMS_SCHEMA, ClaimBatch, ClaimEntry, ClaimKey, ClaimPosition, ClaimRecord,
};
pub use decisions::claims::recovery::{RecoveryReply, RecoveryStep, recovery_step};
pub use decisions::claims::{
    ClaimEffect, ClaimHolder, ClaimSettings, ClaimStatus, ClaimTable, KeyState, SubmittedClaim,
    different_request_refusal,
};
pub use decisions::cold::{ColdBounds, ColdWindows, FleetEstimate, FleetView, window_period_ms};
pub use decisions::connections::{IdleConnection, Room, room_for_connection};
pub use decisions::cost::answers::{AnswerEstimate, AnswerTable};
pub use decisions::cost::{LengthHint, RequestCost, RequestFacts, TokenUsage, estimate_cost};
pub use decisions::demand::{DemandReport, DemandTable};
pub use decisions::digest::{DigestError, Fingerprint, KeyDigest};
pub use decisions::directory::{CallerPlace, EntryView, nearest_entries};
pub use decisions::endpoint_limits::{LimitBook, LimitReport, RequestRate, RequestRateError};
pub use decisions::endpoint_list::{
    EndpointAvailability, EndpointChange, EndpointEntry, EndpointIndex, EndpointList,
    EndpointRecord, GroupMembership, may_span_expiry,
};
pub use decisions::entries::{
    EntrySelection, EntrySelectionSettings, InstanceCandidate, select_entries, watched_endpoints,
};
pub use decisions::estimate::{EndpointEstimate, InFlightMeter};
pub use decisions::evacuation::{EvacuationChange, EvacuationTable};
pub use decisions::events::{EventSplitter, EventTooLong, event_id};
pub use decisions::expert_groups::{
    CountTracker, ExpertDemand, GroupDemand, OrderReply, RankCounts, RankOrder, RankStatus,
    UnfinishedSwitch, find_unfinished_switch, held_steps, idle_map, imbalance, may_release_hold,
    next_map, switch_lead_ms, switch_step,
};
pub use decisions::groups::{
    GroupEffect, GroupSnapshot, GroupSnapshotView, GroupState, MAX_RANKS, ReplayError,
    group_rank_count, group_scope, group_snapshot_due,
};
pub use decisions::leases::{
    CurrentLease, FencingGate, LeaseEffect, LeaseRecord, LeaseTable, LeaseVersion, OrderRefusal,
    RecordError, ReleaseRecord, decode_record, encode_record,
};
pub use decisions::limits::{RateGrant, RateLimit, TokenBucket, entry_rate};
pub use decisions::list_outage::ListOutage;
pub use decisions::log_lease::{
    GroupLeaseRecord, HolderFailureDetector, LeaseCandidate, LeaseState, holding_rank,
    term_map_version,
};
pub use decisions::map_change::{
    CommittedMap, EngineOrder, EngineRankState, EngineStagedMap, GRANT_AHEAD_STEPS, GroupMaps,
    MapEffect, MapRecord, PendingChange, ProposalLead, RankGate, RankProgress, Resolution,
    StageOrder, StageRefusal, StageStatus, can_stage, map_version, next_engine_order,
    resolve_change,
};
pub use decisions::membership::{
    ConnectionState, Eligibility, InstanceView, ListStatus, MembershipSettings, eligibility,
    is_advertisable,
};
pub use decisions::memory::{
    CONNECTION_BYTES, MemoryUse, RECEIVE_BUFFER_BYTES, RECEIVE_MEMORY_BYTES, REQUEST_BYTES,
    SMALL_REQUEST_BYTES, budget_bytes, buffer_capacity, kept_free_bytes, may_reserve,
};
pub use decisions::pace::{EndpointPace, PaceChange, ServicePace, group_slowdown};
pub use decisions::peers::{Peer, PeerTable, PeerTracker, PeerWork};
pub use decisions::permits::{PermitAllotment, QueuedPermit, permit_source};
pub use decisions::placement::{
    ChangeCosts, ExpertMap, ExpertMapError, ExpertMove, KeepReason, LoadForecast, LoadReport,
    PlacementChange, PlacementDecision, PlacementView, decide_placement,
};
// Exported as a module, since other log streams also have records, pages and states.
pub use decisions::publication;
pub use decisions::quarantine::record::{
    QUARANTINE_SCHEMA, QuarantineEntry, QuarantineRecord, ReportId, SuspectReport,
};
pub use decisions::quarantine::{QuarantineDecision, QuarantineSettings, QuarantineTable};
pub use decisions::queue::{
    QueueDeadlines, QueuePhase, first_look, in_flight_limit, queue_phase, startup_wait_ms,
};
pub use decisions::readers::{LagMonitor, LocalState, ReaderCandidate, ReaderElection, StateFetch};
pub use decisions::regions::{AllowedRegions, RegionMap};
pub use decisions::replies::{ReplyDecision, judge_reply};
pub use decisions::resume::{EventDecision, EventOrigin, EventSequence, is_same_media_type};
pub use decisions::retries::{RefusalCause, RetryBudget, RetryPolicy, backoff_ms, come_back_ms};
pub use decisions::routing::{
    NoEndpoint, RouteCandidate, RouteRequest, RoutingPolicy, choose_endpoint,
};
pub use decisions::running_time::RunningTime;
pub use decisions::shares::{DemandMeter, EntryDemand, SharePolicy, allocate_shares};
pub use decisions::stall::{
    ResponsePart, is_stalled, lost_answer_ms, may_be_queued, stall_timeout_ms,
};
pub use decisions::urgency::{
    CompetingRequests, GrantRate, PlaceClaims, PlaceRequest, PlaceTotals, Pressure, WaitingCounts,
    begins_to_wait, cannot_be_served_in_time, next_in_turn, reserved_limit, reserved_places,
    sends_early, spread_return_ms, waiting_priority,
};
pub use decisions::versions::choose_version;
pub use decisions::work::{EndpointWork, GroupWork, RequestWork, total_work_ms};
pub use document::checked::{
    CallPattern, Deadlines, Document, EndpointKind, EndpointRole, Model, ModelVersion, Objective,
    PlacementPolicy, Workspace,
};
pub use document::error::{DocumentError, DocumentErrorKind, InvalidDocument};
pub use document::lines::SourceLines;
pub use document::patch::{
    Difference, KeyedList, PatchError, apply_patch, difference, difference_of, patch_between,
};
pub use document::raw::{
    RawCallPattern, RawDeadlines, RawDocument, RawEndpointKind, RawModel, RawModelVersion,
    RawPlacement, RawWorkspace,
};
pub use gateway::{GatewaySettings, HeaderNames, PlatformTopic, RetryLimits};
pub use group_ports::{AppendOutcome, LeaseLog, RankAddress, RankClient};
pub use ids::{
    AttemptId, EndpointKindName, FailureDomain, FencingNumber, Incarnation, InstanceId, Offset,
    PublicationId, RegionName, RequestKey, RequestKeyError, ScopeName, TargetName, VersionName,
    WorkspaceName,
};
pub use lifecycle::attempt::{
    Attempt, Dispatched as AttemptDispatched, NotRunProof, Planned as AttemptPlanned,
};
pub use lifecycle::claim::{
    AbandonedClaim, Claim, ClaimResolution, DenialReason, Denied as ClaimDenied, DispatchPermit,
    Granted as ClaimGranted, Sent as ClaimSent, Unsent as ClaimUnsent,
};
pub use lifecycle::lease::{
    FencingToken, Held as LeaseHeld, Lease, LeaseExpired, LeaseUnavailable, LeaseWatch,
    Requested as LeaseRequested,
};
pub use lifecycle::map_change::{
    Aborted as MapChangeAborted, Committed as MapChangeCommitted, MapChange, MapChangeOutcome,
    Proposed as MapChangeProposed, Staged as MapChangeStaged,
};
pub use lifecycle::map_switch::{
    Armed as SwitchArmed, Held as SwitchHeld, Holding as SwitchHolding, MapSwitch,
    Prepared as SwitchPrepared, Preparing as SwitchPreparing,
};
pub use lifecycle::permit::{
    Granted as PermitGranted, Permit, Requested as PermitRequested, Used as PermitUsed,
};
pub use lifecycle::place_wait::{
    Expired as PlaceWaitExpired, Granted as PlaceWaitGranted, PlaceWait,
    Waiting as PlaceWaitWaiting,
};
pub use lifecycle::shutdown::{
    Lingering as ShutdownLingering, Refusing as ShutdownRefusing, Serving as ShutdownServing,
    Shutdown, ShutdownSettings, Stopped as ShutdownStopped,
};
pub use logging::start_logging;
pub use memory_budget::{BodyBuffer, BudgetExhausted, MemoryBudget, Reservation};
pub use outcome::{InvalidRequest, NotRun, NotRunCode, RequestError, UnknownCode, UnknownOutcome};
pub use roles::StartError;
pub use roles::agent::Agent;
pub use roles::endpoint::Endpoint;
pub use roles::entry::Entry;
pub use roles::gateway::{EntryAddresses, Gateway, GatewayHandle};
pub use routes::checked::{
    PriorityRange, Route, RouteTable, RouteTableError, RouteWorkspace, key_label,
};
pub use routes::raw::{
    CallerLimits, CostProfile, EngineProfile, ExpertShape, RawRoute, RawRouteTable,
    RawRouteWorkspace, RawService, RawTrafficShare, RequestKind,
};
pub use settings::{
    Bounds, RankSettings, RawSettings, RoleSettings, Settings, SettingsError, Timing,
};
pub use wire::codec::{DecodeError, decode, encode};
pub use wire::heartbeat::{
    About, Evacuations, Heartbeat, HeartbeatExtension, SharedEndpoints, SharedState, endpoint_tag,
};
pub use wire::message::{
    Ask, Chunk, DocumentAsk, DocumentState, End, Failed, Frame, Head, Hello, Load, RankReport,
    Recover, Refused, RefusedReason, Role, StageAsk, StageDone, StageRefused, Start, Suspects,
    Work,
};
pub use wire::rank_call::{RankCall, RankReply, RankRequest};
pub use wire::{PROTOCOL_MAX, PROTOCOL_MIN, common_version};
