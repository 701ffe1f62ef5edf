//! What entry instances tell each other in datagrams, and the state that one asks another for.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decisions::servers::ServerChange;
use crate::ids::{FailureDomain, Incarnation, InstanceId, Offset};
use crate::routes::raw::RawRouteTable;

/// The state of one entry instance, sent to all others several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The instance.
    pub instance: InstanceId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Rises with each heartbeat of the run.
    pub sequence: u64,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Whether it serves callers.
    pub is_ready: bool,
    /// Whether it holds the lease over expert groups.
    pub leads: bool,
    /// Version of its route table.
    pub route_version: Option<u64>,
    /// The first offset of the server list that it has not read.
    pub servers_next: Offset,
    /// Requests in flight from it, by server.
    pub in_flight: Vec<(InstanceId, u32)>,
}

/// What an instance that cannot reach the platform asks another one for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedState {
    /// The route table in force.
    pub routes: Option<RawRouteTable>,
    /// The newest record of each server.
    pub servers: Vec<ServerChange>,
    /// Where the log of servers ended when it was read.
    pub servers_end: Offset,
    /// Peer addresses of all instances that it knows.
    pub peers: Vec<SocketAddr>,
}
