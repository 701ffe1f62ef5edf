//! What entry instances tell each other in datagrams, and the state that one asks another for.

mod packed;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decisions::digest::digest;
use crate::decisions::endpoint_limits::LimitReport;
use crate::decisions::endpoint_list::EndpointChange;
use crate::ids::{FailureDomain, Incarnation, InstanceId, Offset};
use crate::routes::raw::RawRouteTable;

/// What does not change while an instance runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct About {
    /// The instance.
    pub instance: InstanceId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Processor share of the instance, in thousandths of a core; 0 if it is not known.
    #[serde(default)]
    pub processor_millicores: u32,
}

/// What the holder of the lease over expert groups tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leading {
    /// The end of the lease's log.
    #[serde(rename = "e")]
    pub lease_end: u64,
    /// Slow endpoints, by tag, and the time that their work takes, in percent of the usual.
    #[serde(rename = "s")]
    pub slow: Vec<(u32, u32)>,
}

/// The state of one entry instance, sent to all others several times a second.
///
/// Bytes between failure domains have a price, so it is encoded without field names, says what does not
/// change only now and then, and names endpoints by [`endpoint_tag`].
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// What does not change, in some of the heartbeats.
    pub about: Option<About>,
    /// This run of the instance.
    pub incarnation: Incarnation,
    /// Rises with each heartbeat of the run.
    pub sequence: u64,
    /// Whether it serves callers.
    pub is_ready: bool,
    /// What it tells as the holder of the lease over expert groups, if it is.
    pub leading: Option<Leading>,
    /// Version of its route table.
    pub route_version: Option<u64>,
    /// The first offset of the endpoint list that it has not read.
    pub endpoints_next: Offset,
    /// Whether it reads the platform's topics, and its last calls were answered.
    pub reads: bool,
    /// Requests in flight from it, by tag of the endpoint.
    pub in_flight: Vec<(u32, u32)>,
    /// State that only some deployments have. Left out of the datagram while it is empty.
    pub extension: HeartbeatExtension,
}

/// Optional state of an instance. A reader ignores fields that it does not know, so that builds with different
/// fields read each other's heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatExtension {
    /// Estimated work left of the requests from this instance, by tag of the endpoint, in milliseconds.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub work_ms: Vec<(u32, u32)>,
    /// Recent failures of endpoints that this instance has seen, by tag of the endpoint, in hundredths.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<(u32, u32)>,
    /// Failure domains whose endpoints must get no requests.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<Evacuations>,
    /// Requests that wait at this instance for a place at an endpoint, by priority.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<(u8, u32)>,
    /// Limits that this instance has read in responses of endpoints.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitReport>,
}

/// The failure domains that the operator has evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Offset up to which the operator's records were read. State with a lower offset is older.
    #[serde(rename = "o")]
    pub next: Offset,
    /// The evacuated domains, sorted by name.
    #[serde(rename = "d")]
    pub domains: Vec<FailureDomain>,
}

impl HeartbeatExtension {
    /// Whether there is nothing to send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl Heartbeat {
    /// Whether `next` tells another state of the instance than this heartbeat, apart from its requests in flight.
    pub(crate) fn differs_in_state(&self, next: &Self) -> bool {
        self.incarnation != next.incarnation
            || self.is_ready != next.is_ready
            || self.leading.is_some() != next.leading.is_some()
            || self.route_version != next.route_version
            || self.endpoints_next != next.endpoints_next
            || self.reads != next.reads
            || self.extension.evacuations != next.extension.evacuations
    }
}

/// A short name of an endpoint. Two endpoints with the same tag are counted together, which only blurs the
/// choice between them.
#[must_use]
pub fn endpoint_tag(endpoint: &InstanceId) -> u32 {
    let [a, b, c, d, ..] = digest(&[b"server", endpoint.as_str().as_bytes()]);
    u32::from_be_bytes([a, b, c, d])
}

/// What an instance that does not read the platform asks another one for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedState {
    /// The route table in force, if it was asked for.
    pub routes: Option<RawRouteTable>,
    /// The endpoint list, if it was asked for.
    #[serde(rename = "servers")]
    pub endpoints: Option<SharedEndpoints>,
    /// Peer addresses of all instances that it knows.
    pub peers: Vec<SocketAddr>,
    /// The failure domains that the operator has evacuated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<Evacuations>,
}

/// The endpoint list as one instance has read it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, kameo::Reply)]
pub struct SharedEndpoints {
    /// The newest record of each endpoint.
    pub changes: Vec<EndpointChange>,
    /// Where the log of endpoints ended when it was read.
    pub end: Offset,
    /// How long entries that lapsed in an outage of the list are still kept, in milliseconds.
    pub lapse_left_ms: u64,
}
