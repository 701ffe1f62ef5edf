//! Time as a value: decisions receive a [`Timestamp`], and only adapters read a [`Clock`].

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp {
    unix_ms: u64,
}

impl Timestamp {
    /// The point `unix_ms` milliseconds after the Unix epoch.
    #[must_use]
    pub const fn from_unix_ms(unix_ms: u64) -> Self {
        Self { unix_ms }
    }

    /// Milliseconds since the Unix epoch.
    #[must_use]
    pub const fn unix_ms(self) -> u64 {
        self.unix_ms
    }

    /// The point `duration_ms` milliseconds later.
    #[must_use]
    pub const fn plus_ms(self, duration_ms: u64) -> Self {
        Self { unix_ms: self.unix_ms.saturating_add(duration_ms) }
    }

    /// Milliseconds since `earlier`, or 0 when `earlier` lies in the future.
    #[must_use]
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.unix_ms.saturating_sub(earlier.unix_ms)
    }
}

/// A clock that is monotonic within a process, even when the system time is set back. It includes the time
/// for which the machine was suspended, so that a lease or deadline can pass during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_ms: u64,
    started_unix_ms: u64,
}

/// Milliseconds since the machine started, including the time for which it was suspended.
fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs());
    seconds.saturating_mul(1_000).saturating_add(nanos / 1_000_000)
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    #[must_use]
    pub fn system() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Self {
            started_ms: boot_ms(),
            started_unix_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let elapsed_ms = boot_ms().saturating_sub(self.started_ms);
        Timestamp::from_unix_ms(self.started_unix_ms).plus_ms(elapsed_ms)
    }
}
