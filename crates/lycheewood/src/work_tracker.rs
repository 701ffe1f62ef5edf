//! Remaining work and pace of engines from this instance's own requests, and the lengths of their answers.
//!
//! Traffic threads update it directly, like [`LoadTracker`](crate::load_tracker::LoadTracker). Locks are held for a few
//! map operations.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock::Timestamp;
use crate::decisions::cost::RequestCost;
use crate::decisions::cost::answers::{AnswerEstimate, AnswerTable};
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::pace::{EndpointPace, PaceChange, ServicePace};
use crate::decisions::units::{ceil_ms, float_ms};
use crate::decisions::work::{EndpointWork, RequestWork};
use crate::ids::{InstanceId, WorkspaceName};
use crate::metrics::gateway::GatewayMetrics;

#[derive(Clone, Copy, Debug, Default)]
struct EndpointState {
    work: EndpointWork,
    pace: EndpointPace,
}

#[derive(Debug, Default)]
struct Engines {
    endpoints: HashMap<InstanceId, EndpointState>,
    /// Pace by group, or by service for endpoints without a group.
    references: HashMap<Arc<str>, ServicePace>,
}

/// What this instance knows of the work and the pace of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineStatus {
    pub(crate) work: EndpointWork,
    pub(crate) slowdown: f64,
    pub(crate) is_slow: bool,
    pub(crate) is_probe_due: bool,
}

/// Work and pace of the engines that this instance has sent requests with token counts to.
#[derive(Debug)]
pub(crate) struct WorkTracker {
    engines: Mutex<Engines>,
    answers: Mutex<AnswerTable>,
    /// Number of instances that send requests, as of the last heartbeat.
    instances: AtomicU32,
    metrics: Arc<GatewayMetrics>,
}

impl WorkTracker {
    pub(crate) fn new(metrics: Arc<GatewayMetrics>) -> Self {
        Self {
            engines: Mutex::default(),
            answers: Mutex::default(),
            instances: AtomicU32::new(1),
            metrics,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Engines> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_answers(&self) -> MutexGuard<'_, AnswerTable> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the number of instances that send requests.
    pub(crate) fn set_instances(&self, instances: usize) {
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        self.instances.store(instances, Ordering::Relaxed);
    }

    /// What is known of the length of an answer.
    pub(crate) fn answer_estimate(
        &self,
        route: &str,
        workspace: Option<&WorkspaceName>,
        typical_tokens: f64,
        now: Timestamp,
    ) -> AnswerEstimate {
        self.lock_answers().estimate(route, workspace, typical_tokens, now)
    }

    /// Records the length of a complete answer.
    pub(crate) fn record_answer(
        &self,
        route: &str,
        workspace: Option<&WorkspaceName>,
        answer_tokens: f64,
        hint_tokens: Option<f64>,
        now: Timestamp,
    ) {
        self.lock_answers().record(route, workspace, answer_tokens, hint_tokens, now);
    }

    /// Counts the work of a request that is being sent until the guard is dropped.
    pub(crate) fn start_request(
        self: &Arc<Self>,
        endpoint: &EndpointEntry,
        cost: RequestCost,
        now: Timestamp,
    ) -> WorkGuard {
        let request = RequestWork::new(cost);
        let mut engines = self.lock();
        let state = engines.endpoints.entry(endpoint.id.clone()).or_default();
        state.work.add(&request);
        if state.pace.is_slow() {
            self.metrics.routing.probes.inc();
        }
        state.pace.record_sent(self.instances.load(Ordering::Relaxed), now);
        WorkGuard {
            tracker: Arc::clone(self),
            endpoint: endpoint.id.clone(),
            reference: reference_name(endpoint),
            request,
            sent: now,
        }
    }

    /// Work and pace of each endpoint, in the order of `endpoints`. `in_flight` counts the requests of all instances.
    pub(crate) fn statuses<'a>(
        &self,
        endpoints: impl Iterator<Item = (&'a EndpointEntry, u32)>,
        now: Timestamp,
    ) -> Vec<EngineStatus> {
        let mut engines = self.lock();
        let Engines { endpoints: states, references } = &mut *engines;
        let statuses = endpoints.map(|(endpoint, in_flight)| {
            let Some(state) = states.get_mut(&endpoint.id) else {
                return EngineStatus { slowdown: 1.0, ..EngineStatus::default() };
            };
            if let Some(reference) = references.get(reference_str(endpoint)) {
                let change = state.pace.check_silence(reference, now);
                self.report(&endpoint.id, change, state.pace.slowdown());
            }
            EngineStatus {
                work: state.work,
                slowdown: state.pace.slowdown(),
                is_slow: state.pace.is_slow(),
                is_probe_due: state.pace.is_probe_due(in_flight, now),
            }
        });
        statuses.collect()
    }

    /// Remaining time of this instance's work by endpoint, in milliseconds. Work at a slow endpoint takes longer, so
    /// other instances learn of its pace too.
    pub(crate) fn work_ms(&self) -> Vec<(InstanceId, u32)> {
        let engines = self.lock();
        let busy = engines.endpoints.iter().filter(|(_, state)| state.work.requests() > 0);
        let work_ms = |state: &EndpointState| {
            let left_ms = ceil_ms(state.work.left_ms() * state.pace.slowdown());
            u32::try_from(left_ms).unwrap_or(u32::MAX)
        };
        busy.map(|(endpoint, state)| (endpoint.clone(), work_ms(state))).collect()
    }

    /// Removes endpoints without requests for which `keep` returns `false`.
    pub(crate) fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        let mut engines = self.lock();
        engines.endpoints.retain(|endpoint, state| state.work.requests() > 0 || keep(endpoint));
    }

    fn report(&self, endpoint: &InstanceId, change: Option<PaceChange>, slowdown: f64) {
        match change {
            None => {}
            Some(PaceChange::Slow) => {
                self.metrics.routing.slow_endpoints.inc();
                log::info!("endpoint turned slow server={endpoint} slowdown={slowdown:.1}");
            }
            Some(PaceChange::Usual) => {
                log::info!("endpoint has its usual pace server={endpoint}");
            }
        }
    }
}

/// Name of the endpoints whose pace an endpoint is compared with: its group, or its service if it has none.
fn reference_str(endpoint: &EndpointEntry) -> &str {
    endpoint.group.as_ref().map_or(endpoint.service.as_str(), |group| group.name.as_str())
}

fn reference_name(endpoint: &EndpointEntry) -> Arc<str> {
    Arc::from(reference_str(endpoint))
}

/// Counts the remaining work of a request until it is dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    tracker: Arc<WorkTracker>,
    endpoint: InstanceId,
    reference: Arc<str>,
    request: RequestWork,
    sent: Timestamp,
}

impl WorkGuard {
    /// Records an event of the stream. `gap_ms` is the time since the event before, if this one was waited for.
    pub(crate) fn record_event(&mut self, gap_ms: Option<u64>, now: Timestamp) {
        let (before_ms, is_first) = (self.request.left_ms(), self.request.is_unread());
        self.request.record_event();
        let mut engines = self.tracker.lock();
        let Engines { endpoints, references } = &mut *engines;
        if !references.contains_key(&self.reference) {
            references.insert(Arc::clone(&self.reference), ServicePace::default());
        }
        let (Some(state), Some(reference)) =
            (endpoints.get_mut(&self.endpoint), references.get_mut(&self.reference))
        else {
            return;
        };
        state.work.update(before_ms, self.request.left_ms());
        let change = if is_first {
            let wait_ms = float_ms(now.ms_since(self.sent)) - self.request.prompt_ms();
            let change = state.pace.record_first_event(wait_ms, reference, now);
            reference.record_first_event(wait_ms.max(0.0), now);
            change
        } else {
            gap_ms.and_then(|gap_ms| {
                let change = state.pace.record_gap(gap_ms, reference, now);
                reference.record_gap(gap_ms, now);
                change
            })
        };
        let slowdown = state.pace.slowdown();
        drop(engines);
        self.tracker.report(&self.endpoint, change, slowdown);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if let Some(state) = self.tracker.lock().endpoints.get_mut(&self.endpoint) {
            state.work.remove(&self.request);
            state.pace.record_end(!self.request.is_unread());
        }
    }
}
