//! Interfaces that a platform implements for the controller of expert groups: a client of ranks, and a log
//! with one writer at a time.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;

use crate::decisions::expert_groups::{OrderReply, RankCounts, RankOrder, RankStatus};
use crate::ids::InstanceId;

/// Identity and address of one rank of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankAddress {
    /// The endpoint that is the rank.
    pub endpoint: InstanceId,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
}

/// A client of ranks.
#[async_trait]
pub trait RankClient: Send + Sync {
    /// Reads the rank's status. Returns `None` if no reply arrives.
    async fn status(&self, rank: &RankAddress) -> Option<RankStatus>;

    /// Reads how often the rank's requests have chosen each expert. `experts` is the number of experts in each
    /// set. Returns `None` if no reply arrives.
    async fn counts(&self, rank: &RankAddress, experts: usize) -> Option<RankCounts>;

    /// Reads which experts the rank holds in each set. Returns `None` if no reply arrives.
    async fn held_experts(&self, rank: &RankAddress) -> Option<Vec<Vec<usize>>>;

    /// Sends an order that is valid only in the formation `epoch` of the group.
    async fn order(&self, rank: &RankAddress, epoch: u64, order: &RankOrder) -> OrderReply;

    /// Sends an order, and reads the rank's status once the order is carried out. The status is `None` if no reply
    /// arrives.
    async fn order_and_status(
        &self,
        rank: &RankAddress,
        epoch: u64,
        order: &RankOrder,
    ) -> (OrderReply, Option<RankStatus>) {
        match self.order(rank, epoch, order).await {
            OrderReply::Done => (OrderReply::Done, self.status(rank).await),
            reply => (reply, None),
        }
    }
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was written at this offset.
    Written(u64),
    /// The log does not end at the given offset; nothing was written.
    EndMismatch,
    /// No reply arrived. The record may have been written, or may still be while the log ends at that offset.
    Unknown,
}

/// A log that accepts a record only from a writer that knows all records before it. Its offsets are those of
/// [`Offset`](crate::Offset), so those of a log that has come back from an old copy are higher than all before.
#[async_trait]
pub trait LeaseLog: Send + Sync {
    /// Appends a record if the log ends at offset `end`, which includes its era.
    async fn append_at(&self, end: u64, record: Bytes) -> AppendOutcome;

    /// Reads the records from offset `from` on, and returns them with the offset of the first. Records that the
    /// log no longer keeps are left out. Returns `None` if no reply arrives.
    async fn read(&self, from: u64) -> Option<(u64, Vec<Bytes>)>;
}
