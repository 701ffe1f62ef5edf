//! Rate limit of a workspace at one entry: a token bucket refilled at the entry's share of the limit.

use crate::clock::Timestamp;
use crate::decisions::units::{ceil_ms, float_ms};
use crate::document::checked::Workspace;

/// A limit on the request rate, with a burst size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_s: f64,
    /// Burst size in requests.
    pub burst: f64,
}

/// The share of a workspace's limit that the allocator granted to one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateGrant {
    /// Requests per second.
    pub per_s: f64,
    /// Time at which the entry falls back to an even share unless it has received a newer grant.
    pub expires: Timestamp,
}

/// The rate that one entry may use for a workspace at `now`.
///
/// An unexpired grant applies as is. Without one the entry is partitioned from the allocator and falls
/// back to the workspace's limit divided by the number of entries. While `partitioned` of `entries` entries
/// have fallen back, the sum of all rates exceeds the limit by at most `partitioned / entries` of the limit:
/// the grants of the others sum to at most the limit, and each partitioned entry adds its fallback rate.
/// When every entry is partitioned, the sum is the limit. The burst is divided like the rate but is at least
/// one request; otherwise an entry with a small share could never admit any.
#[must_use]
pub fn entry_rate(
    workspace: &Workspace,
    grant: Option<&RateGrant>,
    entries: u32,
    now: Timestamp,
) -> RateLimit {
    let per_s = match grant {
        Some(grant) if now < grant.expires => grant.per_s,
        _ => workspace.rate_per_s / f64::from(entries.max(1)),
    };
    let share = if workspace.rate_per_s > 0.0 { per_s / workspace.rate_per_s } else { 0.0 };
    RateLimit { per_s, burst: (f64::from(workspace.burst) * share).max(1.0) }
}

/// A token bucket. In any interval of `t` seconds it admits at most `burst + per_s * t` requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    updated: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn full(rate: RateLimit, now: Timestamp) -> Self {
        Self { tokens: rate.burst, updated: now }
    }

    /// Removes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token is available, in milliseconds, if the bucket is empty.
    pub fn try_acquire(&mut self, rate: RateLimit, now: Timestamp) -> Result<(), u64> {
        self.refill(rate, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if rate.per_s <= 0.0 {
            return Err(MAX_RETRY_AFTER_MS);
        }
        Err(ceil_ms((1.0 - self.tokens) / rate.per_s * 1000.0).clamp(1, MAX_RETRY_AFTER_MS))
    }

    /// Returns the token of a request that a later filter refused.
    pub fn refund(&mut self, rate: RateLimit) {
        self.tokens = (self.tokens + 1.0).min(rate.burst);
    }

    fn refill(&mut self, rate: RateLimit, now: Timestamp) {
        let elapsed_s = float_ms(now.ms_since(self.updated)) / 1000.0;
        self.tokens = (self.tokens + elapsed_s * rate.per_s).min(rate.burst);
        self.updated = self.updated.max(now);
    }
}

/// Maximum retry delay reported to a caller. It also applies at a rate of zero, which the next grant may raise.
const MAX_RETRY_AFTER_MS: u64 = 60_000;
