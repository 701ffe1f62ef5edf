//! Whether and when a failed attempt is retried. Only the entry retries; endpoint daemons do not, so
//! retries do not multiply across layers.

use serde::Deserialize;

use crate::decisions::units::{ceil_ms, float_ms, unit_interval};

/// Retry settings.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryPolicy {
    /// Retries allowed per first attempt, as a ratio.
    pub share: f64,
    /// Size of the retry budget: retries allowed in a burst once the budget has refilled.
    pub reserve: f64,
    /// Maximum attempts per request, including the first.
    pub max_attempts: u32,
    /// Maximum delay before the first retry, in milliseconds.
    pub base_ms: u64,
    /// Maximum delay before any retry, in milliseconds.
    pub max_ms: u64,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { share: 0.1, reserve: 10.0, max_attempts: 3, base_ms: 25, max_ms: 1_000 }
    }
}

/// The retry budget of an entry. Over any period, retries are at most `reserve` plus `share` times the
/// number of first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn full(policy: &RetryPolicy) -> Self {
        Self { tokens: policy.reserve }
    }

    /// Adds the share of one request to the budget. A retry by the caller adds nothing; otherwise retries
    /// of callers and of the entry would amplify each other.
    pub fn on_request(&mut self, policy: &RetryPolicy, is_caller_retry: bool) {
        if !is_caller_retry {
            self.tokens = (self.tokens + policy.share).min(policy.reserve);
        }
    }

    /// Whether the budget allows a retry.
    #[must_use]
    pub fn has_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Decides whether to retry after `attempts` attempts with `remaining_ms` until the deadline, and
    /// charges the retry to the budget. Returns the delay before the retry in milliseconds, or `None`.
    pub fn try_retry(
        &mut self,
        policy: &RetryPolicy,
        attempts: u32,
        remaining_ms: u64,
        random: u64,
    ) -> Option<u64> {
        let delay_ms = backoff_ms(policy, attempts, random);
        if attempts >= policy.max_attempts || delay_ms >= remaining_ms || self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        Some(delay_ms)
    }
}

/// The backoff delay after `attempts` attempts, in milliseconds: random between half and all of a bound
/// that doubles with each attempt up to `max_ms`. The lower half is excluded so that no retry is immediate.
#[must_use]
pub fn backoff_ms(policy: &RetryPolicy, attempts: u32, random: u64) -> u64 {
    let doublings = attempts.saturating_sub(1).min(32);
    let bound = policy.base_ms.saturating_mul(1 << doublings).min(policy.max_ms);
    ceil_ms(float_ms(bound) * (0.5 + 0.5 * unit_interval(random))).min(policy.max_ms)
}

/// Least time after which a caller may come back that was refused for lack of capacity, in milliseconds. Callers retry
/// only once or twice, so a retry must not come while the endpoints are still full.
const FULL_COME_BACK_MS: u64 = 1_000;
/// The same for a refusal of an instance that has started and cannot reach the platform, in milliseconds. Such outages
/// last for seconds.
const STARTING_COME_BACK_MS: u64 = 2_000;
/// Time over which callers that are refused together are spread, in milliseconds.
const COME_BACK_SPREAD_MS: u64 = 1_000;

/// Why a caller is refused without an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// All endpoints are full.
    Full,
    /// The instance has started and knows no routes yet.
    Starting,
}

/// When a refused caller may come back, in milliseconds.
#[must_use]
pub fn come_back_ms(cause: RefusalCause, random: u64) -> u64 {
    let least_ms = match cause {
        RefusalCause::Full => FULL_COME_BACK_MS,
        RefusalCause::Starting => STARTING_COME_BACK_MS,
    };
    least_ms + ceil_ms(float_ms(COME_BACK_SPREAD_MS) * unit_interval(random))
}
