//! Calls of the holder of a group's lease to the agent beside a rank, and their replies.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decisions::expert_groups::{OrderReply, RankCounts, RankOrder, RankStatus};
use crate::ids::InstanceId;

/// What the agent is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankCall {
    /// Read what the rank shows of itself.
    Status,
    /// Read what its requests have chosen.
    Counts {
        /// Experts in each set.
        experts: usize,
    },
    /// Read which experts it holds.
    HeldExperts,
    /// Give it an order.
    Order {
        /// The formation of the group that the order is for.
        epoch: u64,
        /// The order.
        order: RankOrder,
    },
}

/// A call for one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankRequest {
    /// The endpoint. The rank refuses a call for another one.
    #[serde(rename = "server")]
    pub endpoint: InstanceId,
    /// The number of the caller's term of the lease, or 0 of a call that is relayed. An agent refuses a
    /// lower number than it has seen.
    pub fence: u64,
    /// Where the endpoint listens. An agent calls the endpoint beside it whatever stands here.
    pub address: SocketAddr,
    /// The call.
    pub call: RankCall,
}

/// What the rank said, or `None` parts without a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankReply {
    /// Its status.
    Status(Option<RankStatus>),
    /// Its counts.
    Counts(Option<RankCounts>),
    /// Its experts, by set.
    HeldExperts(Option<Vec<Vec<usize>>>),
    /// Nothing: the agent has been called under a later lease.
    Superseded,
    /// Its reply to an order.
    Order(OrderReply),
}
