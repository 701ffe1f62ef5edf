//! The route table as it is published and forwarded between instances, before validation.

use serde::{Deserialize, Serialize};

use crate::ids::RegionName;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// The response is a stream of events. Runs at most once, unless the route is resumable.
    Streaming,
}

/// One version of the route table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawRouteTable {
    /// Increases with every publication.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<RawRoute>,
    /// Services that routes name.
    pub services: Vec<RawService>,
    /// Workspaces and their keys. When empty, requests carry no key.
    pub workspaces: Vec<RawRouteWorkspace>,
    /// Size and time limits of requests.
    pub caller_limits: CallerLimits,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawRoute {
    /// Name, for logs.
    pub name: String,
    /// Host that requests are sent to.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RequestKind,
    /// The longest time that a caller waits, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of a response, in milliseconds.
    pub target_ms: u64,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Services and their weights.
    pub split: Vec<RawTrafficShare>,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    #[serde(rename = "is_open")]
    pub allows_anonymous: bool,
    /// Whether a broken stream may continue at another endpoint after its last event.
    pub is_resumable: bool,
    /// Target interval between the events of a stream, in milliseconds.
    pub target_gap_ms: Option<u64>,
    /// Regions whose endpoints may get its requests, or `None` for all. An empty list allows none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<Vec<RegionName>>,
}

/// The share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawTrafficShare {
    /// The service.
    pub service: String,
    /// Weight of the service. Its share is the weight divided by the sum of the route's weights.
    pub weight: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawService {
    /// Name that routes and endpoints use.
    pub name: String,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Shape of the expert groups of its endpoints, if it has any.
    pub experts: Option<ExpertShape>,
    /// Performance of its endpoints, if they are engines.
    #[serde(rename = "pace")]
    pub engine_profile: Option<EngineProfile>,
    /// Requests that all instances together may send to one of its endpoints in a second while that is cold; 0 if
    /// there is no limit.
    #[serde(default)]
    pub cold_per_s: f64,
}

/// Performance profile of an engine, for prefill and decoding.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Base duration of a step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each request adds to a step, in milliseconds.
    #[serde(rename = "per_seq_ms")]
    pub per_request_ms: f64,
    /// Tokens in one event of a stream, which is also the number of steps in one pass.
    #[serde(rename = "stride")]
    pub tokens_per_event: u32,
    /// Prefill rate, in prompt tokens per second.
    #[serde(rename = "read_per_s")]
    pub prefill_tokens_per_s: f64,
    /// Tokens of a typical prompt.
    #[serde(rename = "usual_prompt")]
    pub typical_prompt_tokens: f64,
    /// Share of the work that experts do, 0 to 1.
    pub expert_share: f64,
    /// What the cost of a request depends on, if the configuration names it. Without it, endpoints are chosen by
    /// requests in flight.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost: Option<CostProfile>,
}

/// What the cost of a request depends on, beside the rates of an [`EngineProfile`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CostProfile {
    /// Time that 1,000 tokens of context add to a step of a request, in milliseconds.
    #[serde(default)]
    pub context_ms_per_k: f64,
    /// Time for a million pairs of a prompt token and an earlier one, in milliseconds.
    #[serde(default)]
    pub pairs_ms_per_m: f64,
    /// Most prompt tokens that are read in one step, if the engine has such a limit.
    #[serde(default)]
    pub chunk_tokens: Option<f64>,
    /// Mean tokens of an answer.
    pub typical_answer_tokens: f64,
}

/// Shape and speed of the expert groups of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExpertShape {
    /// Sets of layers that share one placement.
    pub sets: usize,
    /// Experts in each set.
    pub experts: usize,
    /// Experts that one rank can hold in each set.
    pub slots: usize,
    /// The most experts in a set that one change of the map may add to a rank.
    #[serde(rename = "max_new")]
    pub max_new_experts: usize,
    /// Size of one expert's weights, in megabytes.
    pub expert_mb: f64,
    /// Rate at which a rank copies weights, in megabits per second.
    pub link_mbps: f64,
}

/// A workspace and its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRouteWorkspace {
    /// Name that endpoints receive.
    pub name: String,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Overrides the priority of the route, if set.
    pub priority: Option<u8>,
    /// Regions whose endpoints may get its requests, or `None` for all. An empty list allows none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<Vec<RegionName>>,
}

/// Size and time limits of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time in which the head must arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time without a request after which a connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
