//! Lease that is held by appending to a log, where an append succeeds only at the end that its writer names.
//!
//! The holder measures the lease from the time before it sent its last record. Another process takes over
//! after it has seen no new record for the whole duration by its own clock. The two never overlap, and
//! the processes need no synchronized clocks.
//!
//! If the log is unreachable for the holder, another process can take over only if it reaches the log.
//! The holder therefore continues for some time, and each of its calls to an agent carries the fencing
//! number of its term. Agents refuse a number lower than the highest that they have seen, and a new
//! holder calls all agents first.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::ids::{Incarnation, InstanceId, Offset};

/// Duration of the lease from its last record, in milliseconds. It is short so that a new holder soon
/// completes the work of a crashed one; a holder that cannot reach the log continues for [`OUTAGE_GRACE_MS`].
pub(crate) const LEASE_DURATION_MS: u64 = 1_000;
/// Time from the last record to the renewal, in milliseconds.
pub(crate) const RENEW_INTERVAL_MS: u64 = 300;
/// Remaining time of the lease below which its holder issues no orders, in milliseconds. The rates of the
/// clocks of two machines differ by less over one lease.
pub(crate) const ORDER_MARGIN_MS: u64 = 150;

/// Time from its last record during which a holder that cannot reach the log issues orders, in
/// milliseconds. Agents refuse its orders once another process has taken over, which needs the log.
pub(crate) const OUTAGE_GRACE_MS: u64 = 20_000;

/// Record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupLeaseRecord {
    /// Process that wrote the record.
    pub holder: Incarnation,
    /// Peer address of that process. A heartbeat of another process from it shows that this one has ended.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Whether the record releases the lease.
    #[serde(default)]
    pub is_release: bool,
}

/// Number of bits of a map version that count the maps of one term.
const VERSION_BITS: u32 = 20;

/// Number of bits of a map version that count the records of one era of the log.
const RECORD_BITS: u32 = 27;

/// Version of the `count`th map of the term that began with the record at `fence`, an [`Offset`]. No two maps have the same
/// version, and versions of a later term are higher, also after the log has come back from an old copy. Versions stay
/// below 2^53 for 64 eras, so that JSON numbers are exact.
#[must_use]
pub const fn term_map_version(fence: u64, count: u64) -> u64 {
    let fence = Offset(fence);
    let term = (fence.era() << RECORD_BITS) + fence.index() + 1;
    (term << VERSION_BITS) | (count & ((1 << VERSION_BITS) - 1))
}

/// Rank that receives the `Hold` order for a switch to `version`. Holds of different versions go to
/// different ranks where possible, so that one does not replace another.
#[must_use]
pub fn holding_rank(version: u64, ranks: usize) -> usize {
    let spread = (version >> VERSION_BITS) + (version & ((1 << VERSION_BITS) - 1));
    usize::try_from(spread).unwrap_or(0) % ranks.max(1)
}

/// Detects that the process that wrote the last record has ended, so that another one need not wait for the
/// lease to expire.
#[derive(Clone, Copy, Debug, Default)]
pub struct HolderFailureDetector {
    /// Another process that sent a heartbeat from the holder's address, with the number of its first one.
    replacement: Option<(Incarnation, u64)>,
}

impl HolderFailureDetector {
    /// Records the heartbeat `sequence` of the process `sender` from the address of `holder`. Returns whether
    /// the holder has ended. A single heartbeat of another process may be a delayed one of an earlier
    /// process at that address; only a second, later one proves that the holder has ended.
    pub fn has_ended(&mut self, holder: Incarnation, sender: Incarnation, sequence: u64) -> bool {
        if sender == holder {
            self.replacement = None;
            return false;
        }
        match self.replacement {
            Some((replacement, first)) if replacement == sender => sequence > first,
            _ => {
                self.replacement = Some((sender, sequence));
                false
            }
        }
    }
}

/// State of the lease as one process knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseState {
    /// End of the log as an [`Offset`], as far as this process knows.
    pub end: u64,
    /// Time at which this process first knew that end.
    end_seen_at: Option<Timestamp>,
    /// Highest end that the holder announced, and the time of the first announcement.
    announced_end: Option<(u64, Timestamp)>,
    /// Send time of this process's last record, if it holds the lease.
    held_since: Option<Timestamp>,
    /// Offset of the record that began this term.
    fence: Option<u64>,
    /// Whether the last call to the log got no reply.
    is_log_unreachable: bool,
    /// Whether the last record releases the lease.
    is_released: bool,
}

impl LeaseState {
    /// Records an end of the log that the holder announced. If a later read finds the log to end there, the
    /// wait counts from the announcement, since the last record was sent before it. Other processes
    /// need not read the log meanwhile.
    pub fn record_announced_end(&mut self, end: u64, now: Timestamp) {
        if self.announced_end.is_none_or(|(announced, _)| end > announced) {
            self.announced_end = Some((end, now));
        }
    }

    /// Records that the log was read to `end`; `is_own` if this process wrote all records of the read.
    pub fn record_read(&mut self, end: u64, is_own: bool, now: Timestamp) {
        self.is_log_unreachable = false;
        if end != self.end || self.end_seen_at.is_none() {
            self.end = end;
            let announced = self.announced_end.filter(|(announced, _)| *announced == end);
            self.end_seen_at = Some(announced.map_or(now, |(_, at)| at));
            if !is_own {
                self.mark_lost();
            }
        }
    }

    /// Records whether the last record releases the lease.
    pub fn set_released(&mut self, is_released: bool) {
        self.is_released = is_released;
    }

    /// Whether the last call to the log got no reply.
    #[must_use]
    pub const fn is_log_unreachable(&self) -> bool {
        self.is_log_unreachable
    }

    /// Records that a call to the log got no reply.
    pub fn mark_log_unreachable(&mut self) {
        self.is_log_unreachable = true;
    }

    /// Whether the log has been read.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        self.end_seen_at.is_some()
    }

    /// Records that a record of this process, sent at `sent`, was appended at `offset`.
    pub fn record_append(&mut self, offset: u64, sent: Timestamp, now: Timestamp) {
        self.end = offset + 1;
        self.end_seen_at = Some(now);
        self.held_since = Some(sent);
        self.fence.get_or_insert(offset);
        self.is_log_unreachable = false;
        self.is_released = false;
    }

    /// Records that another process has appended a record.
    pub fn mark_lost(&mut self) {
        self.held_since = None;
        self.fence = None;
    }

    /// Fencing number of this term, which agents compare; `None` without the lease.
    #[must_use]
    pub const fn fence(&self) -> Option<u64> {
        self.fence
    }

    /// Whether this process may issue orders: while it holds the lease, and for some time longer while the
    /// log is unreachable.
    #[must_use]
    pub fn may_issue_orders(&self, now: Timestamp) -> bool {
        let lasts_ms = if self.is_log_unreachable { OUTAGE_GRACE_MS } else { LEASE_DURATION_MS };
        self.held_since.is_some_and(|since| now.ms_since(since) + ORDER_MARGIN_MS < lasts_ms)
    }

    /// Time at which the lease should be renewed, if this process holds it.
    #[must_use]
    pub fn renewal_due_at(&self) -> Option<Timestamp> {
        self.held_since.map(|since| since.plus_ms(RENEW_INTERVAL_MS))
    }

    /// Time from which this process may acquire the lease if no further record is appended. That is at once
    /// if the log is empty or ends with a release, and otherwise after the whole duration and the margin.
    #[must_use]
    pub fn acquirable_at(&self) -> Option<Timestamp> {
        let is_free = Offset(self.end).index() == 0 || self.is_released;
        let wait_ms = if is_free { 0 } else { LEASE_DURATION_MS + ORDER_MARGIN_MS };
        self.end_seen_at.map(|seen_at| seen_at.plus_ms(wait_ms))
    }

    /// Whether this process may acquire the lease.
    #[must_use]
    pub fn may_acquire(&self, now: Timestamp) -> bool {
        self.acquirable_at().is_some_and(|free| now >= free)
    }
}

/// An instance that may take a free lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseCandidate<'a> {
    /// The instance.
    pub instance: &'a InstanceId,
    /// Its processor share, in thousandths of a core; 0 if it is not known.
    pub processor_millicores: u32,
}

impl LeaseCandidate<'_> {
    /// Whether this instance takes a free lease before `other`. The holder calls the agents of all ranks, which a
    /// small machine cannot do in time for large groups.
    #[must_use]
    pub fn precedes(&self, other: &Self) -> bool {
        let rank = |candidate: &Self| std::cmp::Reverse(candidate.processor_millicores);
        (rank(self), self.instance) < (rank(other), other.instance)
    }
}
