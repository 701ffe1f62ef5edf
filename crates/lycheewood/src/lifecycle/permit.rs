//! The life cycle of a permit for one request to a limited endpoint.

use std::net::SocketAddr;

use crate::clock::Timestamp;

/// How long a permit is valid, in milliseconds.
const VALID_MS: u64 = 500;
/// Time beyond the wait in a queue for which a reply is waited for, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 300;

/// A permit that another gateway has been asked for.
#[derive(Clone, Copy, Debug)]
pub struct Requested {
    /// The gateway that was asked.
    source: SocketAddr,
    sequence: u64,
    awaited_until: Timestamp,
}

/// A permit that may be used for a short time.
#[derive(Clone, Copy, Debug)]
pub struct Granted {
    granted: Timestamp,
}

/// A permit in use by a request.
#[derive(Clone, Copy, Debug)]
pub struct Used(());

/// A permit in the state `S`.
///
/// A permit that has not been granted cannot be used:
///
/// ```compile_fail
/// use lycheewood::{Permit, PermitRequested, Timestamp};
///
/// fn use_now(permit: Permit<PermitRequested>, now: Timestamp) {
///     let _ = permit.redeem(now);
/// }
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Permit<S> {
    state: S,
}

impl Permit<Requested> {
    /// Begins with a request to the gateway at `source`, in whose queue it may wait for `within_ms`.
    #[must_use]
    pub const fn request(
        source: SocketAddr,
        sequence: u64,
        within_ms: u64,
        now: Timestamp,
    ) -> Self {
        let awaited_until = now.plus_ms(within_ms).plus_ms(REPLY_TIMEOUT_MS);
        Self { state: Requested { source, sequence, awaited_until } }
    }

    /// Whether a reply may still arrive.
    #[must_use]
    pub fn is_awaited(&self, now: Timestamp) -> bool {
        now < self.state.awaited_until
    }

    /// Whether a reply belongs to this request and is in time.
    #[must_use]
    pub fn is_answered_by(&self, from: SocketAddr, sequence: u64, now: Timestamp) -> bool {
        self.state.source == from && self.state.sequence == sequence && self.is_awaited(now)
    }

    /// Records that the reply grants the permit.
    #[must_use]
    pub const fn grant(self, now: Timestamp) -> Permit<Granted> {
        Permit { state: Granted { granted: now } }
    }
}

impl Permit<Granted> {
    /// Whether it is no longer valid.
    #[must_use]
    pub const fn has_lapsed(&self, now: Timestamp) -> bool {
        now.ms_since(self.state.granted) >= VALID_MS
    }

    /// Uses it for a request that is sent now, or returns `None` when it has lapsed.
    #[must_use]
    pub fn redeem(self, now: Timestamp) -> Option<Permit<Used>> {
        (!self.has_lapsed(now)).then_some(Permit { state: Used(()) })
    }
}
