//! What the controller of expert groups needs of a platform: orders to ranks, and a log with one writer
//! at a time.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;

use crate::decisions::expert_groups::{OrderReply, RankCounts, RankOrder, RankStatus};
use crate::ids::InstanceId;

/// One rank of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankAddress {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Speaks to ranks.
#[async_trait]
pub trait RankClient: Send + Sync {
    /// What the rank shows of itself, or `None` without a reply.
    async fn status(&self, rank: &RankAddress) -> Option<RankStatus>;

    /// What the rank's requests have chosen, or `None` without a reply. `experts` is their number in
    /// each set.
    async fn counts(&self, rank: &RankAddress, experts: usize) -> Option<RankCounts>;

    /// The experts that the rank holds in each set, or `None` without a reply.
    async fn held_experts(&self, rank: &RankAddress) -> Option<Vec<Vec<usize>>>;

    /// Gives an order that counts in one formation of the group only.
    async fn order(&self, rank: &RankAddress, epoch: u64, order: &RankOrder) -> OrderReply;
}

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record has this offset.
    Written(u64),
    /// The log ends elsewhere; nothing was written.
    EndMismatch,
    /// No reply: the record may have been written, or may be later if the log still ends there.
    Unknown,
}

/// A log in which a record is written only where the writer knows all records before it.
#[async_trait]
pub trait LeaseLog: Send + Sync {
    /// Appends a record if the log ends at `end`.
    async fn append_at(&self, end: u64, record: Bytes) -> AppendOutcome;

    /// The records from an offset on, or `None` without a reply. Where older ones are gone, those that
    /// are left, with the offset of the first.
    async fn read(&self, from: u64) -> Option<(u64, Vec<Bytes>)>;
}
