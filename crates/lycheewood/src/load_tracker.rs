//! Requests in flight from this instance and recent failures, by endpoint.
//!
//! Traffic threads update it directly, because each choice of an endpoint must see the one before. Locks are
//! held for one map operation only.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock::Timestamp;
use crate::decisions::batch::GapAverage;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::units::decay;
use crate::ids::{InstanceId, TargetName};
use crate::waiting_room::WaitingRoom;
use crate::work_tracker::{WorkGuard, WorkTracker};

/// Time constant of the exponential decay of failures, in milliseconds. The half-life is about two thirds
/// of it.
const FAILURE_DECAY_MS: u64 = 3_000;

/// Weight of failures below which other instances are not told of them. They have failed more than 3 s ago then.
const MIN_REPORTED_FAILURES: f64 = 0.3;

#[derive(Clone, Copy, Debug, Default)]
struct EndpointLoad {
    in_flight: u32,
    failures: f64,
    last_failure: Timestamp,
    /// Until when the endpoint gets no request because another one answered at its address.
    misdirected_until: Timestamp,
    /// When this instance last received a response head or an event from the endpoint.
    last_activity: Timestamp,
}

/// What this instance knows of the load of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalLoad {
    /// Requests in flight from this instance.
    pub(crate) in_flight: u32,
    /// Recent failures, decayed by their age.
    pub(crate) failures: f64,
    /// Whether another endpoint has recently answered at the endpoint's address.
    pub(crate) is_misdirected: bool,
}

/// How long an endpoint that was not at its address gets no request, in milliseconds. By then the platform
/// has corrected or removed its entry.
const MISDIRECTED_EXCLUSION_MS: u64 = 5_000;

/// Time for which a leaving endpoint is remembered, in milliseconds. Longer than any endpoint takes to stop.
const LEAVING_MEMORY_MS: u64 = 3_600_000;
/// Longest pause that an endpoint can ask for, in milliseconds, so that a wrong value does not exclude it for good.
const MAX_PAUSE_MS: u64 = 600_000;

/// Interval between the requests that probe a refusing group, in milliseconds. A group forms again in about
/// 600 ms, and each refused request uses retry budget.
const GROUP_PROBE_INTERVAL_MS: u64 = 200;
/// A group that has sent this instance something within this time, in milliseconds, is not refusing as a whole:
/// a refusal concerns only the endpoint that sent it.
const GROUP_ACTIVITY_MS: u64 = 300;

/// Loads of the endpoints that this instance has sent requests to.
#[derive(Debug)]
pub(crate) struct LoadTracker {
    /// Woken when a request has ended or a group accepts requests again.
    waiting_room: Arc<WaitingRoom>,
    /// Groups that refuse requests, with the time of their next probe.
    refusing_groups: Mutex<HashMap<String, Timestamp>>,
    /// Gaps between the events of streams, by group.
    gaps: Mutex<HashMap<String, GapAverage>>,
    loads: Mutex<HashMap<InstanceId, EndpointLoad>>,
    /// Work and pace of engines.
    pub(crate) work: Arc<WorkTracker>,
    /// Endpoints that have said in a response that they want no request. Kept while an entry is not listed, since a
    /// lapsed entry may come back, and whatever an entry says, since it may be of another writer.
    excluded: Mutex<HashMap<InstanceId, Exclusion>>,
}

impl LoadTracker {
    pub(crate) fn new(waiting_room: Arc<WaitingRoom>, work: Arc<WorkTracker>) -> Self {
        Self {
            waiting_room,
            work,
            refusing_groups: Mutex::default(),
            gaps: Mutex::default(),
            loads: Mutex::default(),
            excluded: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, EndpointLoad>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn start_request(self: &Arc<Self>, endpoint: &EndpointEntry) -> InFlightGuard {
        self.lock().entry(endpoint.id.clone()).or_default().in_flight += 1;
        InFlightGuard {
            tracker: Arc::clone(self),
            endpoint: endpoint.id.clone(),
            service: endpoint.service.clone(),
            work: None,
        }
    }

    /// Records that an endpoint failed a request.
    pub(crate) fn record_failure(&self, endpoint: &InstanceId, now: Timestamp) {
        let mut loads = self.lock();
        let load = loads.entry(endpoint.clone()).or_default();
        load.failures =
            load.failures * decay(now.ms_since(load.last_failure), FAILURE_DECAY_MS) + 1.0;
        load.last_failure = now;
    }

    /// Records that another endpoint answered at an endpoint's address.
    pub(crate) fn record_misdirected(&self, endpoint: &InstanceId, now: Timestamp) {
        self.lock().entry(endpoint.clone()).or_default().misdirected_until =
            now.plus_ms(MISDIRECTED_EXCLUSION_MS);
    }

    fn lock_excluded(&self) -> MutexGuard<'_, HashMap<InstanceId, Exclusion>> {
        self.excluded.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Excludes an endpoint that has said that it is about to stop. Returns whether this is news.
    pub(crate) fn record_leaving(&self, endpoint: &EndpointEntry, now: Timestamp) -> bool {
        self.exclude(endpoint, now, |exclusion| {
            exclusion.leaving_until = now.plus_ms(LEAVING_MEMORY_MS);
        })
    }

    /// Excludes an endpoint for the time for which it wants no request. Returns whether this is news.
    pub(crate) fn record_pause(
        &self,
        endpoint: &EndpointEntry,
        pause_ms: u64,
        now: Timestamp,
    ) -> bool {
        let paused_until = now.plus_ms(pause_ms.min(MAX_PAUSE_MS));
        self.exclude(endpoint, now, |exclusion| {
            exclusion.paused_until = exclusion.paused_until.max(paused_until);
        })
    }

    fn exclude(
        &self,
        endpoint: &EndpointEntry,
        now: Timestamp,
        change: impl FnOnce(&mut Exclusion),
    ) -> bool {
        let mut excluded = self.lock_excluded();
        excluded.retain(|_, exclusion| exclusion.is_in_force(now));
        let first = Exclusion { started_ms: endpoint.started_ms, ..Exclusion::default() };
        let known = excluded.get(&endpoint.id).copied();
        // An answer of an earlier start may arrive late, and says nothing of the later one.
        if known.is_some_and(|known| known.started_ms > endpoint.started_ms) {
            return false;
        }
        let known = known.filter(|known| known.started_ms == endpoint.started_ms);
        let mut exclusion = known.unwrap_or(first);
        change(&mut exclusion);
        excluded.insert(endpoint.id.clone(), exclusion);
        known.is_none()
    }

    /// The endpoints that have said that they want no request now.
    pub(crate) fn exclusions(&self) -> Exclusions {
        Exclusions(self.lock_excluded().clone())
    }

    fn lock_refusing_groups(&self) -> MutexGuard<'_, HashMap<String, Timestamp>> {
        self.refusing_groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an endpoint of a group has refused a request. Returns whether the whole group counts as
    /// refusing, because none of its endpoints has sent anything recently.
    pub(crate) fn record_group_refusal<'a>(
        &self,
        group: &str,
        endpoints: impl Iterator<Item = &'a InstanceId>,
        now: Timestamp,
    ) -> bool {
        let is_active =
            self.activity_age_ms(endpoints, now).is_some_and(|age| age < GROUP_ACTIVITY_MS);
        if !is_active {
            self.lock_refusing_groups()
                .insert(group.to_owned(), now.plus_ms(GROUP_PROBE_INTERVAL_MS));
        }
        !is_active
    }

    /// Records that an endpoint of a group has answered, and wakes the requests that wait for the group.
    pub(crate) fn record_group_answer(&self, group: &str) {
        if self.lock_refusing_groups().remove(group).is_some() {
            self.waiting_room.wake();
        }
    }

    /// Groups that refuse and whose next probe is not due. Usually empty.
    pub(crate) fn paused_groups(&self, now: Timestamp) -> Vec<String> {
        let refusing = self.lock_refusing_groups();
        let paused = refusing.iter().filter(|(_, next_probe)| now < **next_probe);
        paused.map(|(group, _)| group.clone()).collect()
    }

    /// Whether a group has refused a request and not answered one since.
    pub(crate) fn is_group_refusing(&self, group: &str) -> bool {
        self.lock_refusing_groups().contains_key(group)
    }

    /// Records that a request is sent to a group. If the group is refusing, other requests wait for the result
    /// of this one.
    pub(crate) fn record_group_probe(&self, group: &str, now: Timestamp) {
        if let Some(next_probe) = self.lock_refusing_groups().get_mut(group) {
            *next_probe = now.plus_ms(GROUP_PROBE_INTERVAL_MS);
        }
    }

    fn lock_gaps(&self) -> MutexGuard<'_, HashMap<String, GapAverage>> {
        self.gaps.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the time between two events of a stream of a group.
    pub(crate) fn record_gap(&self, group: &str, gap_ms: u64, now: Timestamp) {
        let mut gaps = self.lock_gaps();
        match gaps.get_mut(group) {
            Some(average) => average.record(gap_ms, now),
            None => gaps.entry(group.to_owned()).or_default().record(gap_ms, now),
        }
    }

    /// Mean of the recent gaps between events of a group's streams, in milliseconds, or `None` if this instance has
    /// relayed too few.
    pub(crate) fn mean_gap_ms(&self, group: &str, now: Timestamp) -> Option<f64> {
        self.lock_gaps().get(group)?.mean_ms(now)
    }

    /// Records that a response head or an event has arrived.
    pub(crate) fn record_activity(&self, endpoint: &InstanceId, now: Timestamp) {
        self.lock().entry(endpoint.clone()).or_default().last_activity = now;
    }

    /// Time since any of the endpoints last sent something, in milliseconds, or `None` if
    /// none has been sent a request.
    pub(crate) fn activity_age_ms<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a InstanceId>,
        now: Timestamp,
    ) -> Option<u64> {
        let loads = self.lock();
        let times =
            endpoints.filter_map(|endpoint| loads.get(endpoint)).map(|load| load.last_activity);
        times.max().map(|last_activity| now.ms_since(last_activity))
    }

    /// Records that an endpoint completed a request, which halves the weight of its failures.
    pub(crate) fn record_success(&self, endpoint: &InstanceId) {
        if let Some(load) = self.lock().get_mut(endpoint) {
            load.failures *= 0.5;
        }
    }

    /// The local load of each endpoint, in the order of `endpoints`.
    pub(crate) fn loads<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a InstanceId>,
        now: Timestamp,
    ) -> Vec<LocalLoad> {
        let loads = self.lock();
        let local_load = |load: &EndpointLoad| LocalLoad {
            in_flight: load.in_flight,
            failures: load.failures * decay(now.ms_since(load.last_failure), FAILURE_DECAY_MS),
            is_misdirected: now < load.misdirected_until,
        };
        endpoints.map(|id| loads.get(id).map(local_load).unwrap_or_default()).collect()
    }

    /// Endpoints that have failed requests of this instance lately, with the weight of their failures.
    pub(crate) fn failures(&self, now: Timestamp) -> Vec<(InstanceId, f64)> {
        let loads = self.lock();
        let failures = loads.iter().map(|(endpoint, load)| {
            let age_ms = now.ms_since(load.last_failure);
            (endpoint, load.failures * decay(age_ms, FAILURE_DECAY_MS))
        });
        let recent = failures.filter(|(_, weight)| *weight >= MIN_REPORTED_FAILURES);
        recent.map(|(endpoint, weight)| (endpoint.clone(), weight)).collect()
    }

    /// This instance's requests in flight, by endpoint.
    pub(crate) fn in_flight(&self) -> Vec<(InstanceId, u32)> {
        let loads = self.lock();
        let busy = loads.iter().filter(|(_, load)| load.in_flight > 0);
        busy.map(|(endpoint, load)| (endpoint.clone(), load.in_flight)).collect()
    }

    /// Removes endpoints without requests in flight for which `keep` returns `false`.
    pub(crate) fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.work.retain(&keep);
        self.lock().retain(|endpoint, load| load.in_flight > 0 || keep(endpoint));
    }
}

/// Why an endpoint gets no request.
#[derive(Clone, Copy, Debug, Default)]
struct Exclusion {
    /// Start of the endpoint that has said so, in Unix milliseconds. The exclusion ends with a later start.
    started_ms: u64,
    /// Time until which it is remembered that the endpoint is about to stop.
    leaving_until: Timestamp,
    /// Time until which the endpoint wants no request.
    paused_until: Timestamp,
}

impl Exclusion {
    fn is_in_force(&self, now: Timestamp) -> bool {
        now < self.leaving_until.max(self.paused_until)
    }

    /// Whether it concerns an entry: only one with a later start is of an endpoint that has started again.
    const fn concerns(&self, endpoint: &EndpointEntry) -> bool {
        endpoint.started_ms <= self.started_ms
    }
}

/// Endpoints that have said that they want no request. Usually empty.
#[derive(Debug)]
pub(crate) struct Exclusions(HashMap<InstanceId, Exclusion>);

impl Exclusions {
    fn get(&self, endpoint: &EndpointEntry, now: Timestamp) -> Option<&Exclusion> {
        if self.0.is_empty() {
            return None;
        }
        let exclusion = self.0.get(&endpoint.id);
        exclusion.filter(|exclusion| exclusion.is_in_force(now) && exclusion.concerns(endpoint))
    }

    /// Whether an endpoint gets no request.
    pub(crate) fn contains(&self, endpoint: &EndpointEntry, now: Timestamp) -> bool {
        self.get(endpoint, now).is_some()
    }

    /// When an endpoint that pauses wants requests again, unless it is about to stop.
    pub(crate) fn pause_end(&self, endpoint: &EndpointEntry, now: Timestamp) -> Option<Timestamp> {
        let exclusion = self.get(endpoint, now).filter(|e| now >= e.leaving_until);
        exclusion.map(|exclusion| exclusion.paused_until)
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    tracker: Arc<LoadTracker>,
    endpoint: InstanceId,
    service: TargetName,
    /// The request's remaining work, if its cost is estimated.
    work: Option<WorkGuard>,
}

impl InFlightGuard {
    /// Counts the request's remaining work as well.
    pub(crate) fn with_work(mut self, work: Option<WorkGuard>) -> Self {
        self.work = work;
        self
    }

    /// Records an event of the response. `gap_ms` is the time since the event before, if this one was waited for.
    pub(crate) fn record_event(&mut self, gap_ms: Option<u64>, now: Timestamp) {
        if let Some(work) = &mut self.work {
            work.record_event(gap_ms, now);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(load) = self.tracker.lock().get_mut(&self.endpoint) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
        self.tracker.waiting_room.record_freed(&self.service);
    }
}
