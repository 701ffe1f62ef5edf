//! This instance's windows for requests to cold endpoints.
//!
//! Traffic threads update it directly, because each choice of an endpoint must see the one before. The lock is held for
//! one map operation only.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::Timestamp;
use crate::decisions::cold::{ColdBounds, ColdWindows, window_period_ms};
use crate::ids::InstanceId;

/// Windows of the endpoints that were cold since they are listed.
#[derive(Debug)]
pub(crate) struct ColdTracker {
    bounds: ColdBounds,
    /// Number of gateways that share the limits.
    fleet: AtomicU32,
    windows: Mutex<HashMap<InstanceId, ColdWindows>>,
}

impl ColdTracker {
    pub(crate) fn new(bounds: ColdBounds, fleet: u32) -> Self {
        Self { bounds, fleet: AtomicU32::new(fleet), windows: Mutex::default() }
    }

    /// Sets the number of gateways that share the limits. Returns the former one.
    pub(crate) fn set_fleet(&self, fleet: u32) -> u32 {
        self.fleet.swap(fleet, Ordering::Relaxed)
    }

    /// The number of gateways that share the limits.
    pub(crate) fn fleet(&self) -> u32 {
        self.fleet.load(Ordering::Relaxed)
    }

    /// Time between two windows for an endpoint of a service, in milliseconds.
    pub(crate) fn period_ms(&self, cold_per_s: f64) -> u64 {
        window_period_ms(cold_per_s, &self.bounds, self.fleet())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, ColdWindows>> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<T>(
        &self,
        endpoint: &InstanceId,
        period_ms: u64,
        now: Timestamp,
        act: impl FnOnce(&mut ColdWindows) -> T,
    ) -> T {
        let mut windows = self.lock();
        if let Some(windows) = windows.get_mut(endpoint) {
            return act(windows);
        }
        let first = ColdWindows::new(period_ms, rand::random(), now);
        act(windows.entry(endpoint.clone()).or_insert(first))
    }

    /// The earliest time, now or later, at which a request may be sent to a cold endpoint.
    pub(crate) fn next_open(
        &self,
        endpoint: &InstanceId,
        period_ms: u64,
        now: Timestamp,
    ) -> Timestamp {
        self.with(endpoint, period_ms, now, |windows| windows.next_open(period_ms, now))
    }

    /// Uses the present window of a cold endpoint. Returns whether a request may be sent.
    pub(crate) fn try_use(&self, endpoint: &InstanceId, period_ms: u64, now: Timestamp) -> bool {
        self.with(endpoint, period_ms, now, |windows| windows.try_use(period_ms, now))
    }

    /// Removes the windows of endpoints for which `keep` returns `false`.
    pub(crate) fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.lock().retain(|endpoint, _| keep(endpoint));
    }
}
