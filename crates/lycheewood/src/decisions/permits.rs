//! Permits for requests to endpoints that have named a limit.
//!
//! One gateway allots all permits of an endpoint: of those that are heard and ready, the one that rendezvous hashing
//! chooses. So the sum over all gateways keeps to the limit, whichever of them have requests, and nobody has to agree.
//! Gateways that hear only a part of the fleet use that part of the limit, so parts that do not hear each other keep to
//! it together.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};

use crate::clock::Timestamp;
use crate::decisions::units::mix;

/// Time before a gateway that begins to allot permits grants the first one, in milliseconds. By then those of its
/// predecessor have lapsed.
const TAKEOVER_MS: u64 = 500;
/// Time for which permits that nobody asked for are kept, in milliseconds, or that of one permit if that is longer.
const UNUSED_MS: u64 = 500;
/// Maximum number of requests that wait for permits of one endpoint.
const MAX_QUEUED: usize = 256;

/// A request for a permit that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedPermit {
    /// Peer address of the gateway that asks.
    pub from: SocketAddr,
    /// Names the request in its reply.
    pub sequence: u64,
    /// When the gateway no longer needs the permit.
    pub until: Timestamp,
}

/// The permits of one endpoint, at the gateway that allots them.
#[derive(Clone, Debug)]
pub struct PermitAllotment {
    /// When the next permit is due.
    next: Timestamp,
    queue: VecDeque<QueuedPermit>,
}

impl PermitAllotment {
    /// Begins to allot permits, perhaps after another gateway.
    #[must_use]
    pub const fn begin(now: Timestamp) -> Self {
        Self { next: now.plus_ms(TAKEOVER_MS), queue: VecDeque::new() }
    }

    /// Whether the last permit was due within `age_ms`, or one is waited for.
    #[must_use]
    pub fn is_in_use(&self, age_ms: u64, now: Timestamp) -> bool {
        !self.queue.is_empty() || now.ms_since(self.next) < age_ms
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// The time after which it may come again, in milliseconds, when its turn would come too late.
    pub fn enqueue(
        &mut self,
        permit: QueuedPermit,
        interval_ms: u64,
        now: Timestamp,
    ) -> Result<(), u64> {
        let ahead = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
        let turn = self.due(interval_ms, now).plus_ms(interval_ms.saturating_mul(ahead));
        if turn > permit.until || self.queue.len() >= MAX_QUEUED {
            return Err(turn.ms_since(permit.until).max(1));
        }
        self.queue.push_back(permit);
        Ok(())
    }

    /// Grants the permits that are due, `interval_ms` apart, to the first requests in the queue.
    pub fn grant_due(&mut self, interval_ms: u64, now: Timestamp) -> Vec<QueuedPermit> {
        self.queue.retain(|queued| queued.until >= now);
        let mut granted = Vec::new();
        while !self.queue.is_empty() && self.due(interval_ms, now) <= now {
            self.next = self.due(interval_ms, now).plus_ms(interval_ms.max(1));
            granted.extend(self.queue.pop_front());
        }
        granted
    }

    /// When the next permit can be granted, if one is waited for.
    #[must_use]
    pub fn next_grant(&self, interval_ms: u64, now: Timestamp) -> Option<Timestamp> {
        (!self.queue.is_empty()).then(|| self.due(interval_ms, now))
    }

    /// Removes all requests from the queue, because another gateway allots the permits.
    pub fn hand_over(&mut self) -> VecDeque<QueuedPermit> {
        std::mem::take(&mut self.queue)
    }

    fn due(&self, interval_ms: u64, now: Timestamp) -> Timestamp {
        let unused_ms = UNUSED_MS.max(interval_ms);
        self.next.max(Timestamp::from_unix_ms(now.unix_ms().saturating_sub(unused_ms)))
    }
}

/// The gateway that allots the permits of an endpoint, among the peer addresses of those that may.
#[must_use]
pub fn permit_source(tag: u32, candidates: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    candidates.max_by_key(|address| (mix(address_word(*address) ^ mix(u64::from(tag))), *address))
}

fn address_word(address: SocketAddr) -> u64 {
    let host = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.segments().iter().fold(0, |word, part| mix(word ^ u64::from(*part))),
    };
    (host << 16) ^ u64::from(address.port())
}
