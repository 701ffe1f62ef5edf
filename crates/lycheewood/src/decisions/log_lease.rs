//! A lease whose grants are records of a log that takes an append only at the end that its writer knows.
//!
//! The holder counts from before it sent its last record. Another process takes over once it has seen
//! no new record for the whole duration by its own clock, so the two never overlap. No clock is shared.
//!
//! While the log does not answer, nobody can take over unless the log answers others. So the holder goes
//! on, and each call to an agent carries the number of its tenure: agents refuse a lower one than they
//! have seen, and whoever takes over calls all of them first.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::ids::Incarnation;

/// How long a record holds the lease, in milliseconds. Short, so that a new holder soon finishes what a dead
/// one left; a holder whose renewals get no answer goes on after it.
pub(crate) const LEASE_MS: u64 = 1_000;
/// A lease is renewed this long after the last record, in milliseconds.
pub(crate) const RENEW_MS: u64 = 300;
/// Orders are given only while this much of the lease is left, in milliseconds. Clocks of different
/// machines run at rates that differ by less.
pub(crate) const ORDER_MARGIN_MS: u64 = 150;

/// How long a holder that cannot reach the log goes on after its lease is over, in milliseconds. Agents refuse
/// its orders once another process has taken over; nobody can do so while the log is away for all.
pub(crate) const OUTAGE_MS: u64 = 20_000;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The process that wrote it.
    pub holder: Incarnation,
    /// Where other instances hear it. Another process there shows that this one has ended.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Whether it gives the lease up.
    #[serde(default)]
    pub is_release: bool,
}

/// Versions that one tenure of the lease may give to maps, as a power of two.
const VERSION_BITS: u32 = 20;

/// Version of the `count`th map of the tenure that began with the record at `fence`. No two maps ever have the
/// same, and versions of a later tenure are higher. They stay below 2^53, so that JSON holds them.
#[must_use]
pub const fn tenure_version(fence: u64, count: u64) -> u64 {
    ((fence + 1) << VERSION_BITS) | (count & ((1 << VERSION_BITS) - 1))
}

/// The rank that holds the group for a switch to `version`. Holds of different versions go to different ranks
/// as far as possible, so that none takes the place of another.
#[must_use]
pub fn holding_rank(version: u64, ranks: usize) -> usize {
    let spread = (version >> VERSION_BITS) + (version & ((1 << VERSION_BITS) - 1));
    usize::try_from(spread).unwrap_or(0) % ranks.max(1)
}

/// Watches whether the process that wrote the last record has ended, so that nobody waits for its lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct HolderWatch {
    /// Another process that was heard at the holder's address: its run, and its heartbeat.
    heard: Option<(Incarnation, u64)>,
}

impl HolderWatch {
    /// Notes which process was heard at the address of `holder`, and with which heartbeat. Tells whether the
    /// holder has ended. One heartbeat may be a late one of an earlier process; a second, later one is
    /// not.
    pub fn has_ended(&mut self, holder: Incarnation, heard: Incarnation, sequence: u64) -> bool {
        if heard == holder {
            self.heard = None;
            return false;
        }
        match self.heard {
            Some((former, first)) if former == heard => sequence > first,
            _ => {
                self.heard = Some((heard, sequence));
                false
            }
        }
    }
}

/// What one process knows of the lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseState {
    /// Where the log ends, as far as this process knows.
    pub end: u64,
    /// When this process first knew of that end.
    seen: Option<Timestamp>,
    /// The last end that the holder told of, and when this process first heard of it.
    heard: Option<(u64, Timestamp)>,
    /// When the own record that holds the lease was sent.
    held_from: Option<Timestamp>,
    /// The offset of the record with which this tenure began.
    fence: Option<u64>,
    /// Whether the last call to the log got no answer.
    is_log_away: bool,
    /// Whether the last record gives the lease up.
    is_released: bool,
}

impl LeaseState {
    /// Notes an end of the log that its holder tells of. The record before it was sent earlier, so its time
    /// may be counted from here once the log turns out to end there, and nobody has to read it meanwhile.
    pub fn note_heard(&mut self, end: u64, now: Timestamp) {
        if self.heard.is_none_or(|(heard, _)| end > heard) {
            self.heard = Some((end, now));
        }
    }

    /// Notes how far the log has been read, and who wrote the last record.
    pub fn note_read(&mut self, end: u64, is_own: bool, now: Timestamp) {
        self.is_log_away = false;
        if end != self.end || self.seen.is_none() {
            self.end = end;
            let heard = self.heard.filter(|(heard, _)| *heard == end);
            self.seen = Some(heard.map_or(now, |(_, at)| at));
            if !is_own {
                self.note_lost();
            }
        }
    }

    /// Notes whether the last record gives the lease up.
    pub fn note_released(&mut self, is_released: bool) {
        self.is_released = is_released;
    }

    /// Whether the last call to the log got no answer.
    #[must_use]
    pub const fn is_log_away(&self) -> bool {
        self.is_log_away
    }

    /// Notes that a call to the log got no answer.
    pub fn note_log_away(&mut self) {
        self.is_log_away = true;
    }

    /// Whether the log has been read.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        self.seen.is_some()
    }

    /// Notes an own record that was appended at `offset` and sent at `sent`.
    pub fn note_appended(&mut self, offset: u64, sent: Timestamp, now: Timestamp) {
        self.end = offset + 1;
        self.seen = Some(now);
        self.held_from = Some(sent);
        self.fence.get_or_insert(offset);
        self.is_log_away = false;
        self.is_released = false;
    }

    /// Notes that another process has written at the end.
    pub fn note_lost(&mut self) {
        self.held_from = None;
        self.fence = None;
    }

    /// The number of this tenure, which agents compare, while it lasts.
    #[must_use]
    pub const fn fence(&self) -> Option<u64> {
        self.fence
    }

    /// Whether this process may give orders: under its lease, and for some time after it while the log does
    /// not answer.
    #[must_use]
    pub fn may_order(&self, now: Timestamp) -> bool {
        let lasts_ms = if self.is_log_away { OUTAGE_MS } else { LEASE_MS };
        self.held_from.is_some_and(|from| now.ms_since(from) + ORDER_MARGIN_MS < lasts_ms)
    }

    /// When the lease should be renewed, if it is held.
    #[must_use]
    pub fn renew_at(&self) -> Option<Timestamp> {
        self.held_from.map(|from| from.plus_ms(RENEW_MS))
    }

    /// When this process may take the lease unless a record is written before: an empty log has no holder, nor
    /// one that ends with a release, and otherwise no record may be seen for the whole duration.
    #[must_use]
    pub fn free_at(&self) -> Option<Timestamp> {
        let is_free = self.end == 0 || self.is_released;
        let wait_ms = if is_free { 0 } else { LEASE_MS + ORDER_MARGIN_MS };
        self.seen.map(|seen| seen.plus_ms(wait_ms))
    }

    /// Whether this process may take the lease.
    #[must_use]
    pub fn may_take(&self, now: Timestamp) -> bool {
        self.free_at().is_some_and(|free| now >= free)
    }
}
