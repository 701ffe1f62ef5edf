//! Rate limit of a workspace at one entry: a token bucket filled at the entry's share of the limit.

use crate::clock::Timestamp;
use crate::decisions::units::{float_ms, whole_ms};
use crate::document::checked::Workspace;

/// A rate and the number of requests that may come at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests a second.
    pub per_s: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

/// The share of a workspace's limit that its allocator granted to one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Requests a second.
    pub per_s: f64,
    /// The entry falls back at this time unless a newer grant comes.
    pub expires: Timestamp,
}

/// The rate that one entry may use for a workspace at `now`.
///
/// An unexpired grant holds. Without one the entry is parted from the allocator and falls back to the
/// workspace's limit divided by the number of entries. While `parted` entries out of `entries` have
/// fallen back, the sum of all rates exceeds the limit by at most `parted / entries` of the limit: the
/// others hold at most the limit together, and each parted one adds its fallback. When every entry is
/// parted the sum is the limit. The burst is divided like the rate but is at least one request, or an
/// entry with a small share could never admit any.
#[must_use]
pub fn entry_rate(
    workspace: &Workspace,
    grant: Option<&Grant>,
    entries: u32,
    now: Timestamp,
) -> Rate {
    let per_s = match grant {
        Some(grant) if now < grant.expires => grant.per_s,
        _ => workspace.rate_per_s / f64::from(entries.max(1)),
    };
    let share = if workspace.rate_per_s > 0.0 { per_s / workspace.rate_per_s } else { 0.0 };
    Rate { per_s, burst: (f64::from(workspace.burst) * share).max(1.0) }
}

/// A token bucket. In any span of `t` seconds it admits at most `burst + per_s * t` requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    updated: Timestamp,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub fn full(rate: Rate, now: Timestamp) -> Self {
        Self { tokens: rate.burst, updated: now }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// The milliseconds until a token will be there, when there is none now.
    pub fn take(&mut self, rate: Rate, now: Timestamp) -> Result<(), u64> {
        self.refill(rate, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if rate.per_s <= 0.0 {
            return Err(NO_RATE_RETRY_MS);
        }
        Err(whole_ms((1.0 - self.tokens) / rate.per_s * 1000.0).clamp(1, NO_RATE_RETRY_MS))
    }

    /// Gives back the token of a request that was refused later in the filter chain.
    pub fn give_back(&mut self, rate: Rate) {
        self.tokens = (self.tokens + 1.0).min(rate.burst);
    }

    fn refill(&mut self, rate: Rate, now: Timestamp) {
        let elapsed_s = float_ms(now.ms_since(self.updated)) / 1000.0;
        self.tokens = (self.tokens + elapsed_s * rate.per_s).min(rate.burst);
        self.updated = self.updated.max(now);
    }
}

/// Longest time to tell a caller to wait for a token: a share of zero may be raised by the next grant.
const NO_RATE_RETRY_MS: u64 = 60_000;
