//! Settings of a gateway.

use std::net::SocketAddr;

use hyper::header::HeaderName;

use crate::decisions::cold::ColdBounds;
use crate::decisions::regions::RegionMap;
use crate::ids::{FailureDomain, InstanceId};
use crate::lifecycle::shutdown::ShutdownSettings;

/// Names of the headers exchanged between callers, gateways and endpoints. The platform defines them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifies one request; the endpoint echoes it in its response.
    pub request_id: HeaderName,
    /// Time that the sender waits for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Workspace of the caller, set by the gateway for the endpoint.
    pub workspace: HeaderName,
    /// Endpoint that a request is addressed to.
    pub expected_endpoint: HeaderName,
    /// Version that a caller expects its endpoint to have. Endpoints of another version answer 421.
    pub expected_version: HeaderName,
    /// The endpoint's signature of its response.
    pub signature: HeaderName,
    /// Set by an endpoint that has not run the request.
    pub not_run: HeaderName,
    /// Set to `1` by an endpoint that is about to stop.
    pub leaving: HeaderName,
    /// Requests per second that an endpoint takes from all gateways together, a decimal number.
    pub request_limit: HeaderName,
    /// Parts of the request's prompt in order, as `id:tokens` entries separated by commas. Requests may share all
    /// parts but the last one.
    pub prompt_parts: HeaderName,
    /// The endpoint whose failure caused the response.
    pub failed_endpoint: HeaderName,
    /// Priority of a request at an engine, set by the gateway; 0 is admitted first.
    pub priority: HeaderName,
    /// Tokens of the prompt, and the largest number of tokens of the answer, separated by a comma.
    pub token_usage: HeaderName,
    /// The caller's estimate of the tokens of the answer.
    pub length_hint: HeaderName,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub failure_domain: FailureDomain,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address for heartbeats (UDP) and state requests (TCP) of other instances.
    pub peer_address: SocketAddr,
    /// Address for rank orders that this instance relays for others (TCP). All instances use the same port.
    pub relay_address: SocketAddr,
    /// Peer addresses of the first heartbeats, before other instances are known.
    pub seeds: Vec<SocketAddr>,
    /// Address that serves metrics, or `None` to serve none.
    pub metrics_address: Option<SocketAddr>,
    /// Header names of the platform.
    pub headers: HeaderNames,
    /// Retry budget that all instances share.
    pub retry_limits: RetryLimits,
    /// Timing of a graceful shutdown.
    pub shutdown: ShutdownSettings,
    /// Time after which a graceful shutdown drops the requests in flight, in milliseconds.
    pub shutdown_timeout_ms: u64,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Maximum number of caller connections.
    pub max_callers: usize,
    /// Processor share of this instance, in thousandths of a core; 0 if it is not known. Instances with more of it
    /// take the lease on the expert groups first.
    pub processor_millicores: u32,
    /// Memory of the machine, in bytes; 0 for no memory budget.
    pub memory_bytes: u64,
    /// Bounds of the requests to a cold endpoint from all instances together.
    pub cold_bounds: ColdBounds,
    /// The region of each failure domain.
    pub regions: RegionMap,
}

/// Retry budget of one service, shared by all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in one window beyond the ratio.
    pub slack: f64,
}
