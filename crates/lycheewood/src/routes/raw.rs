//! A route table as it is published and passed on between instances, before any check.

use serde::{Deserialize, Serialize};

/// Which repeats of a request are allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events. Runs at most once, unless the route is resumable.
    Streaming,
}

/// One version of the route table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawRouteTable {
    /// Rises with every publication.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<RawRoute>,
    /// Services that routes name.
    pub services: Vec<RawService>,
    /// Workspaces and their keys. When empty, requests carry no key.
    pub workspaces: Vec<RawKeyHolder>,
    /// What callers may send.
    pub caller_limits: CallerLimits,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawRoute {
    /// Name, for logs.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Which repeats are allowed.
    pub kind: RequestKind,
    /// The longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer has its full worth, in milliseconds.
    pub target_ms: u64,
    /// Rank; 0 is served first.
    pub priority: u8,
    /// Services and their weights.
    pub split: Vec<RawShare>,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Whether a broken stream may continue at another endpoint after its last event.
    pub is_resumable: bool,
    /// The longest pause between events that is on time, in milliseconds.
    pub target_gap_ms: Option<u64>,
}

/// The part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawShare {
    /// The service.
    pub service: String,
    /// Its weight; the part is the weight over the sum of all.
    pub weight: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawService {
    /// Name that routes and endpoints use.
    pub name: String,
    /// Connections that one endpoint takes from all callers together.
    pub max_connections: u32,
    /// Shape of the expert groups of its endpoints, if it has any.
    pub experts: Option<ExpertShape>,
    /// How fast its endpoints write streams, if they are engines.
    pub pace: Option<EnginePace>,
}

/// How fast an engine reads prompts and writes streams.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EnginePace {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time of a step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each request adds to a step, in milliseconds.
    pub per_seq_ms: f64,
    /// Steps in one pass; an event has this many tokens.
    pub stride: u32,
    /// Prompt tokens that it reads in a second.
    pub read_per_s: f64,
    /// Tokens of a usual prompt.
    pub usual_prompt: f64,
    /// Part of the work that experts do, 0 to 1.
    pub expert_share: f64,
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
    /// New experts in a set that one change of the map may bring to a rank.
    pub max_new: usize,
    /// Size of one expert's weights, in megabytes.
    pub expert_mb: f64,
    /// Rate at which a rank copies weights, in megabits per second.
    pub link_mbps: f64,
}

/// A workspace and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawKeyHolder {
    /// Name, as endpoints see it.
    pub name: String,
    /// Keys that its callers send.
    pub keys: Vec<String>,
    /// Replaces the priority of the route, if set.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time to send the head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time without a request until a connection is closed, in milliseconds.
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
