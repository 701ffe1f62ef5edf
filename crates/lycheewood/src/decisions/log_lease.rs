//! A lease whose grants are records of a log that takes an append only at the end that its writer knows.
//!
//! The holder counts from before it sent its last record. Another process takes over once it has seen
//! no new record for the whole duration by its own clock, so the two never overlap. No clock is shared.

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::placement::ExpertMap;
use crate::ids::Incarnation;

/// How long a record holds the lease, in milliseconds. Longer than two failed renewals, and short
/// enough that a new holder finishes what a dead one left within a few seconds.
pub(crate) const LEASE_MS: u64 = 1_500;
/// A lease is renewed this long after the last record, in milliseconds.
pub(crate) const RENEW_MS: u64 = 500;
/// Orders are given only while this much of the lease is left, in milliseconds. Clocks of different
/// machines run at rates that differ by less.
pub(crate) const ORDER_MARGIN_MS: u64 = 200;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The process that wrote it.
    pub holder: Incarnation,
    /// A map that it proposes, if any.
    pub proposal: Option<Proposal>,
}

/// A map that is proposed for one formation of a group. The offset of the record, plus one, is the
/// version of the map, so no two maps ever have the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The group.
    pub group: String,
    /// Its formation.
    pub epoch: u64,
    /// The map.
    pub map: ExpertMap,
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
        if end != self.end || self.seen.is_none() {
            self.end = end;
            let heard = self.heard.filter(|(heard, _)| *heard == end);
            self.seen = Some(heard.map_or(now, |(_, at)| at));
            if !is_own {
                self.held_from = None;
            }
        }
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
    }

    /// Notes that another process has written at the end.
    pub fn note_lost(&mut self) {
        self.held_from = None;
    }

    /// Whether this process may give orders.
    #[must_use]
    pub fn may_order(&self, now: Timestamp) -> bool {
        self.held_from.is_some_and(|from| now.ms_since(from) + ORDER_MARGIN_MS < LEASE_MS)
    }

    /// Whether the lease should be renewed.
    #[must_use]
    pub fn is_renewal_due(&self, now: Timestamp) -> bool {
        self.held_from.is_some_and(|from| now.ms_since(from) >= RENEW_MS)
    }

    /// Whether this process may take the lease: an empty log has no holder, and otherwise no record
    /// was seen for the whole duration.
    #[must_use]
    pub fn may_take(&self, now: Timestamp) -> bool {
        let is_silent = |seen| now.ms_since(seen) >= LEASE_MS + ORDER_MARGIN_MS;
        self.seen.is_some_and(|seen| self.end == 0 || is_silent(seen))
    }
}
