//! Limits that endpoints have named.
//!
//! Traffic threads update it directly, because they read the responses. The lock is held for one map operation only.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::Timestamp;
use crate::decisions::endpoint_limits::{LimitBook, RequestRate};
use crate::decisions::endpoint_list::EndpointEntry;
use crate::wire::heartbeat::endpoint_tag;

/// Limits of the endpoints.
#[derive(Debug, Default)]
pub(crate) struct LimitTracker {
    book: Mutex<LimitBook>,
}

impl LimitTracker {
    fn lock(&self) -> MutexGuard<'_, LimitBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the limit that a response of an endpoint names, or that it names none.
    pub(crate) fn observe(
        &self,
        endpoint: &EndpointEntry,
        limit: Option<RequestRate>,
        now: Timestamp,
    ) {
        if self.lock().observe(endpoint_tag(&endpoint.id), limit, now) {
            log_change(&endpoint.id, limit);
        }
    }
}

fn log_change(endpoint: &crate::ids::InstanceId, limit: Option<RequestRate>) {
    match limit {
        Some(limit) => {
            log::info!("endpoint limit server={endpoint} per_s={} source=response", limit.per_s());
        }
        None => log::info!("endpoint limit ended server={endpoint} source=response"),
    }
}
