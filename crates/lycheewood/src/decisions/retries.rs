//! Whether and when a failed attempt is made again. Only the entry retries; endpoint daemons do not,
//! so one failure never multiplies across layers.

use serde::Deserialize;

use crate::decisions::units::{float_ms, unit, whole_ms};

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryPolicy {
    /// Retries allowed for each first attempt, as a share.
    pub share: f64,
    /// Retries that may come at once after a quiet time.
    pub reserve: f64,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Bound of the wait before the first retry, in milliseconds.
    pub base_ms: u64,
    /// Bound of any wait, in milliseconds.
    pub max_ms: u64,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { share: 0.1, reserve: 10.0, max_attempts: 3, base_ms: 25, max_ms: 1_000 }
    }
}

/// The retries that an entry may still make. Over any time, retries are at most `reserve` plus `share`
/// of the first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub fn full(policy: &RetryPolicy) -> Self {
        Self { tokens: policy.reserve }
    }

    /// Counts a request. One that its caller sends again earns nothing: otherwise the retries of
    /// callers and of the entry would feed each other.
    pub fn on_request(&mut self, policy: &RetryPolicy, sent_again: bool) {
        if !sent_again {
            self.tokens = (self.tokens + policy.share).min(policy.reserve);
        }
    }

    /// Whether a retry is left.
    #[must_use]
    pub fn has_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Decides about a retry after `attempts` attempts with `left_ms` until the deadline, and takes it
    /// from the budget. Returns the wait before it in milliseconds, or `None` for no retry.
    pub fn take_retry(
        &mut self,
        policy: &RetryPolicy,
        attempts: u32,
        left_ms: u64,
        random: u64,
    ) -> Option<u64> {
        let wait_ms = backoff_ms(policy, attempts, random);
        if attempts >= policy.max_attempts || wait_ms >= left_ms || self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait_ms)
    }
}

/// The wait after `attempts` attempts: random between half and all of a bound that doubles with each
/// attempt up to `max_ms`. The lower half is kept so that a retry never follows at once.
#[must_use]
pub fn backoff_ms(policy: &RetryPolicy, attempts: u32, random: u64) -> u64 {
    let doublings = attempts.saturating_sub(1).min(32);
    let bound = policy.base_ms.saturating_mul(1 << doublings).min(policy.max_ms);
    whole_ms(float_ms(bound) * (0.5 + 0.5 * unit(random))).min(policy.max_ms)
}
