//! What the traffic threads of a gateway share: settings, counters and snapshots of control state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use hyper::header::HeaderName;
use tokio::sync::{Notify, watch};

use crate::clock::{Clock, Timestamp};
use crate::decisions::endpoint_list::EndpointIndex;
use crate::decisions::peers::PeerTable;
use crate::decisions::retries::{RetryBudget, RetryPolicy};
use crate::decisions::stall::{ResponsePart, is_stalled};
use crate::ids::{AttemptId, FailureDomain, Incarnation, InstanceId, TargetName};
use crate::lifecycle::shutdown::Phase;
use crate::lifecycle::shutdown::ShutdownSettings;
use crate::load_tracker::LoadTracker;
use crate::metrics::gateway::GatewayMetrics;
use crate::routes::checked::RouteTable;
use crate::routes::raw::RawRouteTable;
use crate::wire::heartbeat::{Leading, endpoint_tag};

/// Names of the headers that callers, gateways and endpoints use among themselves. A platform sets them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifies one request; an endpoint's answer repeats it.
    pub request_id: HeaderName,
    /// How long the sender waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The workspace of the caller, for the endpoint.
    pub workspace: HeaderName,
    /// The endpoint that a request is meant for.
    pub expected_endpoint: HeaderName,
    /// An endpoint's signature under its answer.
    pub signature: HeaderName,
    /// An endpoint's statement that it has not run the request.
    pub not_run: HeaderName,
    /// The endpoint whose failure is the reason of an answer.
    pub failed_endpoint: HeaderName,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other instances send heartbeats (UDP) and ask for state (TCP).
    pub peer_address: SocketAddr,
    /// Where other instances send orders that are relayed to ranks (TCP). All instances use this port.
    pub relay_address: SocketAddr,
    /// Peer addresses of instances to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics are served, if they are.
    pub metrics_address: Option<SocketAddr>,
    /// Names of headers.
    pub headers: HeaderNames,
    /// Bounds that all instances share.
    pub retry_limits: RetryLimits,
    /// How a planned stop goes.
    pub shutdown: ShutdownSettings,
    /// The longest time that a planned stop takes, in milliseconds.
    pub shutdown_timeout_ms: u64,
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Callers that may be connected at once.
    pub max_callers: usize,
}

/// Retries that all instances together may make for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond the share in one window.
    pub slack: f64,
}

/// The route table in force.
#[derive(Debug)]
pub(crate) struct CurrentRoutes {
    pub(crate) table: RouteTable,
    /// As it was published, for instances that ask.
    pub(crate) raw: RawRouteTable,
}

/// The endpoint list as last read.
#[derive(Debug, Default)]
pub(crate) struct CurrentEndpoints {
    pub(crate) table: EndpointIndex,
}

/// An endpoint whose work takes this much of the usual time is slow, in percent.
const SLOW_PERCENT: u32 = 150;

/// What the traffic threads of a gateway share.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) routes: Arc<ArcSwapOption<CurrentRoutes>>,
    pub(crate) endpoints: Arc<ArcSwap<CurrentEndpoints>>,
    pub(crate) peers: Arc<ArcSwap<PeerTable>>,
    pub(crate) loads: Arc<LoadTracker>,
    pub(crate) in_flight: watch::Sender<usize>,
    /// Woken when the endpoint list seems to be out of date.
    pub(crate) endpoint_list_stale: Notify,
    /// Woken when an endpoint may have room again.
    pub(crate) capacity_changed: Arc<Notify>,
    /// Woken when the platform has brought news that other instances wait for.
    pub(crate) early_heartbeat: Arc<Notify>,
    /// Whether this instance should read the platform's topics.
    pub(crate) is_reader: watch::Sender<bool>,
    topic_health: TopicHealth,
    /// What this instance tells the others while it holds the lease over expert groups.
    leading: Mutex<Option<Leading>>,
    phase: watch::Sender<Phase>,
    retry_budgets: Mutex<HashMap<TargetName, RetryBudget>>,
    sequence: AtomicU64,
}

/// A topic of the platform that instances follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformTopic {
    /// Route tables.
    Routes,
    /// The endpoint list.
    Endpoints,
}

/// Whether the last call for each topic was answered.
#[derive(Debug, Default)]
struct TopicHealth {
    routes: AtomicBool,
    endpoints: AtomicBool,
}

impl TopicHealth {
    const fn of(&self, topic: PlatformTopic) -> &AtomicBool {
        match topic {
            PlatformTopic::Routes => &self.routes,
            PlatformTopic::Endpoints => &self.endpoints,
        }
    }
}

/// Each instance uses this part of its share of the retries. The rest covers instances that others have
/// not heard of and processes that start again with a full budget.
const BUDGET_PART: f64 = 0.5;

/// Instances that are assumed while others have not been heard. A process that has just started must not
/// take the whole budget for itself.
const MIN_INSTANCES: usize = 16;

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings, metrics: Arc<GatewayMetrics>) -> Self {
        let capacity_changed = Arc::new(Notify::new());
        Self {
            settings,
            incarnation: Incarnation::random(),
            clock: Clock::system(),
            metrics,
            routes: Arc::default(),
            endpoints: Arc::default(),
            peers: Arc::default(),
            loads: Arc::new(LoadTracker::new(Arc::clone(&capacity_changed))),
            in_flight: watch::Sender::new(0),
            capacity_changed,
            endpoint_list_stale: Notify::new(),
            early_heartbeat: Arc::default(),
            is_reader: watch::Sender::new(true),
            topic_health: TopicHealth::default(),
            leading: Mutex::default(),
            phase: watch::Sender::new(Phase::Serving),
            retry_budgets: Mutex::default(),
            sequence: AtomicU64::new(1),
        }
    }

    /// What this instance tells the others, if it holds the lease over expert groups.
    pub(crate) fn leading(&self) -> Option<Leading> {
        self.leading.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Notes whether this instance holds the lease, and where its log ends.
    pub(crate) fn set_lease_end(&self, end: Option<u64>) {
        let mut leading = self.leading.lock().unwrap_or_else(PoisonError::into_inner);
        let slow = leading.take().map(|leading| leading.slow).unwrap_or_default();
        *leading = end.map(|lease_end| Leading { lease_end, slow });
    }

    /// Notes the pace of an endpoint, while this instance holds the lease.
    pub(crate) fn record_slowdown(&self, endpoint: &InstanceId, percent: u32) {
        let mut leading = self.leading.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(leading) = leading.as_mut() else { return };
        let tag = endpoint_tag(endpoint);
        leading.slow.retain(|(slow, _)| *slow != tag);
        if percent >= SLOW_PERCENT {
            leading.slow.push((tag, percent));
        }
    }

    /// Notes whether the last call for a topic of the platform was answered.
    pub(crate) fn record_topic_reply(&self, topic: PlatformTopic, is_answered: bool) {
        let was_answered = self.topic_health.of(topic).swap(is_answered, Ordering::Relaxed);
        if was_answered && !is_answered {
            // Others rely on what this instance reads, so they are told at once.
            self.early_heartbeat.notify_one();
        }
    }

    /// Whether this instance has what the platform has, so that others need not read it.
    pub(crate) fn is_healthy_reader(&self) -> bool {
        let answered = |topic| self.topic_health.of(topic).load(Ordering::Relaxed);
        self.phase() == Phase::Serving
            && answered(PlatformTopic::Routes)
            && answered(PlatformTopic::Endpoints)
    }

    /// An attempt identifier that has never been used.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        AttemptId { incarnation: self.incarnation, sequence }
    }

    /// How far this instance is on its way to a planned stop.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Changes of the phase.
    pub(crate) fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        log::info!("phase changed instance={} phase={phase:?}", self.settings.instance);
        self.phase.send_replace(phase);
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.routes.load().is_some()
            && !self.endpoints.load().table.is_empty()
    }

    /// Counts a request of a caller for a service.
    pub(crate) fn count_request(&self, service: &TargetName) {
        let policy = self.retry_policy();
        self.with_budget(service, &policy, |budget| budget.on_request(&policy, false));
    }

    /// Takes one retry for a service from the budget.
    pub(crate) fn try_acquire_retry(&self, service: &TargetName) -> bool {
        let policy = self.retry_policy();
        self.with_budget(service, &policy, |budget| {
            budget.try_retry(&policy, 0, u64::MAX, 0).is_some()
        })
    }

    /// Whether a retry for a service is left in the budget.
    pub(crate) fn has_retry(&self, service: &TargetName) -> bool {
        let policy = self.retry_policy();
        self.with_budget(service, &policy, |budget| budget.has_retry())
    }

    /// Whether a request should leave an endpoint that has been silent since `since`: the others of the
    /// service answer, and the request may be sent to one of them.
    pub(crate) fn should_fail_over(
        &self,
        part: ResponsePart,
        service: &TargetName,
        endpoint: &InstanceId,
        since: Timestamp,
    ) -> bool {
        let now = self.clock.now();
        let endpoints = self.endpoints.load();
        let others = endpoints.table.endpoints(service).iter().map(|entry| &entry.id);
        let others_ms = self.loads.activity_age_ms(others.filter(|id| *id != endpoint), now);
        is_stalled(part, now.ms_since(since), others_ms) && self.has_retry(service)
    }

    fn with_budget<T>(
        &self,
        service: &TargetName,
        policy: &RetryPolicy,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.lock().unwrap_or_else(PoisonError::into_inner);
        act(retry_budgets.entry(service.clone()).or_insert_with(|| RetryBudget::full(policy)))
    }

    /// This instance's part of the retries that all share.
    fn retry_policy(&self) -> RetryPolicy {
        let instances = (self.peers.load().peers.len() + 1).max(MIN_INSTANCES);
        let instances = f64::from(u32::try_from(instances).unwrap_or(u32::MAX));
        let RetryLimits { ratio, slack } = self.settings.retry_limits;
        RetryPolicy {
            share: ratio * BUDGET_PART,
            reserve: (slack * BUDGET_PART / instances).max(1.0),
            max_attempts: u32::MAX,
            // A request that is sent to another endpoint is not delayed: the first one did not run it,
            // or has failed, and the budget bounds the load.
            base_ms: 0,
            max_ms: 0,
        }
    }
}
