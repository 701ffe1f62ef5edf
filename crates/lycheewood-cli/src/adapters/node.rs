//! The admin resources of a node.

use std::net::SocketAddr;

use lycheewood::{
    EndpointKindName, FailureDomain, FencingNumber, HttpError, InstanceId, Offset, Role, ScopeName,
    Timestamp, VersionName,
};
use serde::{Deserialize, Serialize};

use crate::adapters::http::HttpClient;
use crate::decisions::node_set::NodeState;

/// The reply of `/state`, in the fields that the tool uses.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct StateReply {
    pub(crate) instance: InstanceId,
    pub(crate) role: Role,
    failure_domain: FailureDomain,
    document: Option<DocumentState>,
    #[serde(default)]
    draining: bool,
    engine_up: Option<bool>,
    /// Endpoints that an entry is connected to.
    #[serde(default)]
    pub(crate) endpoints: Vec<EndpointRow>,
    /// Entries that an endpoint daemon is connected to.
    #[serde(default)]
    entries: Vec<Peer>,
    /// Groups of ranks, as far as the node has read the stream of leases.
    #[serde(default)]
    pub(crate) groups: GroupsState,
}

/// Groups of ranks with their leases and maps.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct GroupsState {
    /// Why the node reads the stream no further.
    #[serde(default)]
    pub(crate) stopped: Option<String>,
    #[serde(default)]
    pub(crate) groups: Vec<GroupRow>,
}

/// One group of ranks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct GroupRow {
    pub(crate) scope: ScopeName,
    pub(crate) lease: Option<LeaseState>,
    /// The process at each rank, once every rank has one.
    pub(crate) ranks: Option<Vec<String>>,
    pub(crate) map: Option<MapState>,
    pub(crate) pending: Option<MapState>,
}

/// The lease of a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LeaseState {
    /// The process that holds it.
    pub(crate) holder: String,
    pub(crate) fencing: FencingNumber,
    pub(crate) ends_unix_ms: Timestamp,
}

/// A map, in force or proposed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct MapState {
    /// The change that brought it.
    pub(crate) change: Offset,
    /// The first step that runs with it.
    pub(crate) step: u64,
}

/// The document in force on a node.
#[derive(Clone, Copy, Debug, Deserialize)]
struct DocumentState {
    version: Offset,
}

/// An endpoint as an entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EndpointRow {
    pub(crate) instance: InstanceId,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) kind: Option<EndpointKindName>,
    pub(crate) version: Option<VersionName>,
    pub(crate) admin_address: Option<SocketAddr>,
    pub(crate) draining: bool,
    pub(crate) in_flight: u64,
    pub(crate) running: u64,
    pub(crate) queued: u64,
    pub(crate) capacity: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct Peer {
    admin_address: Option<SocketAddr>,
}

impl StateReply {
    /// Admin addresses of the nodes that this one is connected to.
    pub(crate) fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let endpoints = self.endpoints.iter().filter_map(|endpoint| endpoint.admin_address);
        endpoints.chain(self.entries.iter().filter_map(|entry| entry.admin_address))
    }
}

impl From<StateReply> for NodeState {
    fn from(reply: StateReply) -> Self {
        Self {
            peers: reply.peers().collect(),
            version: reply.document.map(|document| document.version),
            draining: reply.draining,
            backend_up: reply.engine_up.unwrap_or(true),
            instance: reply.instance,
            role: reply.role,
            failure_domain: reply.failure_domain,
        }
    }
}

/// What to ask a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateQuestion {
    pub(crate) address: SocketAddr,
    /// The version to wait for.
    pub(crate) min_version: Option<Offset>,
    /// The longest wait of the node.
    pub(crate) wait_ms: u64,
    /// The longest wait for the whole reply.
    pub(crate) timeout_ms: u64,
}

/// Asks a node for its state.
pub(crate) async fn read_state(
    http: &HttpClient,
    question: StateQuestion,
) -> Result<StateReply, HttpError> {
    let StateQuestion { address, min_version, wait_ms, timeout_ms } = question;
    let path = match min_version {
        Some(version) => format!("/state?min_version={version}&wait_ms={wait_ms}"),
        None => "/state".to_owned(),
    };
    let body = http.get(address, &path, timeout_ms).await?;
    serde_json::from_slice(&body)
        .map_err(|error| HttpError::Protocol { address, reason: error.to_string() })
}
