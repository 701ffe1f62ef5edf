//! Requests that endpoints have completed lately, and prompt parts for which they have sent output. These are no
//! suspects at a crash.

use std::collections::HashSet;

use crate::clock::Timestamp;
use crate::decisions::digest::Fingerprint;

/// Time for which a completion counts, in milliseconds, at most. After that an endpoint may run another version.
const COMPLETION_VALID_MS: u64 = 60_000;
/// Maximum number of fingerprints in each half of the table, of about 20 bytes each.
const MAX_FINGERPRINTS: usize = 20_000;

/// Fingerprints in two halves: the older one is dropped when the newer one is full or has
/// been filled for half of the time for which a completion counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletionTable {
    recent: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
    recent_since: Timestamp,
}

impl CompletionTable {
    /// Records that an endpoint has completed a request or sent output for a prompt part.
    pub(crate) fn record(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        self.expire(now);
        if self.recent.len() >= MAX_FINGERPRINTS {
            self.start_half(now);
        }
        self.recent.insert(fingerprint);
    }

    /// Whether this was recorded lately.
    pub(crate) fn contains(&mut self, fingerprint: &Fingerprint, now: Timestamp) -> bool {
        self.expire(now);
        self.recent.contains(fingerprint) || self.older.contains(fingerprint)
    }

    fn expire(&mut self, now: Timestamp) {
        let age_ms = now.ms_since(self.recent_since);
        if age_ms >= COMPLETION_VALID_MS / 2 {
            self.start_half(now);
        }
        if age_ms >= COMPLETION_VALID_MS {
            self.older.clear();
        }
    }

    fn start_half(&mut self, now: Timestamp) {
        self.older = std::mem::take(&mut self.recent);
        self.recent_since = now;
    }
}
