//! Requests in flight from this instance and recent failures, by endpoint.
//!
//! Traffic threads write here, because the next choice must see the last one. The lock is held for a
//! map operation only.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::clock::Timestamp;
use crate::decisions::units::decay;
use crate::ids::InstanceId;

/// A failure counts half after about two thirds of this, in milliseconds.
const FAILURE_DECAY_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    in_flight: u32,
    failures: f64,
    failed: Timestamp,
    /// The address belongs to another endpoint until its entry changes, as far as known.
    misdirected_until: Timestamp,
    /// When this instance last got a head or an event from it.
    answered: Timestamp,
}

/// How long an endpoint that was not at its address gets no request, in milliseconds. Its entry is corrected
/// or gone by then.
const ABSENT_MS: u64 = 5_000;

/// A group that refuses gets one request in this time, in milliseconds. A group forms anew in some 600 ms, and
/// each refused request takes from the retry budget.
const CLOSED_MS: u64 = 200;
/// A group that gave this instance a sign of life so recently is open, in milliseconds; the endpoint that refused
/// a request did so for itself.
const OPEN_SIGN_MS: u64 = 300;

/// Loads of all endpoints that this instance has sent requests to.
#[derive(Debug)]
pub(crate) struct LoadTracker {
    /// Woken when a request has ended.
    ended: Arc<Notify>,
    /// Groups that refuse requests, and when one may be sent to them again.
    closed: Mutex<HashMap<String, Timestamp>>,
    loads: Mutex<HashMap<InstanceId, Load>>,
}

impl LoadTracker {
    pub(crate) fn new(ended: Arc<Notify>) -> Self {
        Self { ended, closed: Mutex::default(), loads: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, Load>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn start(self: &Arc<Self>, endpoint: &InstanceId) -> InFlightGuard {
        self.lock().entry(endpoint.clone()).or_default().in_flight += 1;
        InFlightGuard { book: Arc::clone(self), endpoint: endpoint.clone() }
    }

    /// Notes that an endpoint failed a request.
    pub(crate) fn record_failure(&self, endpoint: &InstanceId, now: Timestamp) {
        let mut loads = self.lock();
        let load = loads.entry(endpoint.clone()).or_default();
        load.failures = load.failures * decay(now.ms_since(load.failed), FAILURE_DECAY_MS) + 1.0;
        load.failed = now;
    }

    /// Notes that another endpoint answered at an endpoint's address.
    pub(crate) fn record_misdirected(&self, endpoint: &InstanceId, now: Timestamp) {
        self.lock().entry(endpoint.clone()).or_default().misdirected_until = now.plus_ms(ABSENT_MS);
    }

    /// Whether an endpoint was found absent from its address lately.
    pub(crate) fn is_misdirected(&self, endpoint: &InstanceId, now: Timestamp) -> bool {
        self.lock().get(endpoint).is_some_and(|load| now < load.misdirected_until)
    }

    fn lock_closed(&self) -> MutexGuard<'_, HashMap<String, Timestamp>> {
        self.closed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that an endpoint of a group has refused a request. Tells whether the whole group seems to refuse:
    /// none of its endpoints gave a sign of life lately.
    pub(crate) fn record_group_refusal<'a>(
        &self,
        group: &str,
        endpoints: impl Iterator<Item = &'a InstanceId>,
        now: Timestamp,
    ) -> bool {
        let is_open = self.activity_age_ms(endpoints, now).is_some_and(|age| age < OPEN_SIGN_MS);
        if !is_open {
            self.lock_closed().insert(group.to_owned(), now.plus_ms(CLOSED_MS));
        }
        !is_open
    }

    /// Notes that an endpoint of a group has answered. Requests that wait for the group go on.
    pub(crate) fn record_group_answer(&self, group: &str) {
        if self.lock_closed().remove(group).is_some() {
            self.ended.notify_waiters();
        }
    }

    /// Whether a group refuses, and no request is due that tries it.
    pub(crate) fn is_group_paused(&self, group: &str, now: Timestamp) -> bool {
        self.lock_closed().get(group).is_some_and(|until| now < *until)
    }

    /// Whether a group has refused and has not answered since.
    pub(crate) fn is_group_refusing(&self, group: &str) -> bool {
        self.lock_closed().contains_key(group)
    }

    /// Notes that a request goes to a group. If the group refuses, others wait for what becomes of it.
    pub(crate) fn record_group_probe(&self, group: &str, now: Timestamp) {
        if let Some(until) = self.lock_closed().get_mut(group) {
            *until = now.plus_ms(CLOSED_MS);
        }
    }

    /// Notes a sign of life: the head of an answer or an event.
    pub(crate) fn record_activity(&self, endpoint: &InstanceId, now: Timestamp) {
        self.lock().entry(endpoint.clone()).or_default().answered = now;
    }

    /// Age of the last sign of life of any of the endpoints, in milliseconds.
    pub(crate) fn activity_age_ms<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a InstanceId>,
        now: Timestamp,
    ) -> Option<u64> {
        let loads = self.lock();
        let signs = endpoints.filter_map(|endpoint| loads.get(endpoint)).map(|load| load.answered);
        signs.max().map(|sign| now.ms_since(sign))
    }

    /// Notes that an endpoint answered well.
    pub(crate) fn record_success(&self, endpoint: &InstanceId) {
        if let Some(load) = self.lock().get_mut(endpoint) {
            load.failures *= 0.5;
        }
    }

    /// Own requests in flight and the weight of recent failures of an endpoint.
    pub(crate) fn load(&self, endpoint: &InstanceId, now: Timestamp) -> (u32, f64) {
        self.lock().get(endpoint).map_or((0, 0.0), |load| {
            (load.in_flight, load.failures * decay(now.ms_since(load.failed), FAILURE_DECAY_MS))
        })
    }

    /// Own requests in flight, by endpoint.
    pub(crate) fn in_flight(&self) -> Vec<(InstanceId, u32)> {
        let loads = self.lock();
        let busy = loads.iter().filter(|(_, load)| load.in_flight > 0);
        busy.map(|(endpoint, load)| (endpoint.clone(), load.in_flight)).collect()
    }

    /// Forgets endpoints without requests in flight for which `keep` is false.
    pub(crate) fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.lock().retain(|endpoint, load| load.in_flight > 0 || keep(endpoint));
    }
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    book: Arc<LoadTracker>,
    endpoint: InstanceId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(load) = self.book.lock().get_mut(&self.endpoint) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
        self.book.ended.notify_waiters();
    }
}
