//! State shared by the traffic threads of a gateway: settings, counters and snapshots of control state.

mod settings;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::actor::ActorRef;
use tokio::sync::{Notify, watch};

use crate::clock::{Clock, Timestamp};
use crate::cold_tracker::ColdTracker;
use crate::connection_table::ConnectionTable;
use crate::controllers::gateway_quarantine::{GatewayQuarantine, RecordCompletion};
use crate::controllers::permits::{NeedPermit, PermitsController};
use crate::decisions::cold::STARTING_FLEET;
use crate::decisions::digest::Fingerprint;
use crate::decisions::endpoint_limits::RequestRate;
use crate::decisions::endpoint_list::{EndpointEntry, EndpointIndex};
use crate::decisions::evacuation::EvacuationTable;
use crate::decisions::list_outage::ListOutage;
use crate::decisions::peers::PeerTable;
use crate::decisions::quarantine::QuarantineTable;
use crate::decisions::quarantine::completions::CompletionTable;
use crate::decisions::retries::{RetryBudget, RetryPolicy};
use crate::decisions::running_time::RunningTime;
use crate::decisions::stall::{ResponsePart, is_stalled, may_be_queued};
use crate::decisions::units::mix;
use crate::ids::{AttemptId, Incarnation, InstanceId, TargetName};
use crate::lifecycle::shutdown::Phase;
use crate::limit_tracker::LimitTracker;
use crate::load_tracker::LoadTracker;
use crate::memory_budget::MemoryBudget;
use crate::metrics::gateway::GatewayMetrics;
use crate::routes::checked::RouteTable;
use crate::routes::raw::RawRouteTable;
use crate::waiting_room::WaitingRoom;
use crate::wire::heartbeat::{Leading, endpoint_tag};
use crate::work_tracker::WorkTracker;

pub use settings::{GatewaySettings, HeaderNames, RetryLimits};

/// The route table in force.
#[derive(Debug)]
pub(crate) struct CurrentRoutes {
    pub(crate) table: RouteTable,
    /// The table as published, sent to instances that fetch it.
    pub(crate) raw: RawRouteTable,
}

/// The endpoint list as last read.
#[derive(Debug, Default)]
pub(crate) struct CurrentEndpoints {
    pub(crate) table: EndpointIndex,
}

/// Threshold from which an endpoint counts as slow, as its work time in percent of the usual time.
const SLOW_THRESHOLD_PERCENT: u32 = 150;

/// State shared by the traffic threads of a gateway.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) routes: Arc<ArcSwapOption<CurrentRoutes>>,
    pub(crate) endpoints: Arc<ArcSwap<CurrentEndpoints>>,
    /// Failure domains whose endpoints get no requests.
    pub(crate) evacuations: Arc<ArcSwap<EvacuationTable>>,
    pub(crate) peers: Arc<ArcSwap<PeerTable>>,
    pub(crate) loads: Arc<LoadTracker>,
    /// Limits that endpoints name in their responses.
    pub(crate) limits: Arc<LimitTracker>,
    /// Windows for requests to cold endpoints.
    pub(crate) cold: Arc<ColdTracker>,
    pub(crate) in_flight: watch::Sender<usize>,
    /// Memory for connections, requests and responses.
    pub(crate) memory: MemoryBudget,
    /// Connections of callers.
    pub(crate) callers: Arc<ConnectionTable>,
    /// Notified when a response shows that the endpoint list is out of date.
    pub(crate) endpoint_list_stale: Notify,
    /// Notified when this instance has received routes or endpoints.
    pub(crate) state_received: Arc<Notify>,
    /// When this instance first knew both.
    started: OnceLock<Timestamp>,
    /// Requests that wait for a place at an endpoint, woken when an endpoint may have free capacity.
    pub(crate) waiting_room: Arc<WaitingRoom>,
    /// Notified to send a heartbeat before its interval ends, because other instances wait for a change that
    /// this one has read from the platform.
    pub(crate) early_heartbeat: Arc<Notify>,
    /// Whether this instance reads the platform's topics for its failure domain.
    pub(crate) is_reader: watch::Sender<bool>,
    /// Requests that are suspected to crash endpoints.
    pub(crate) quarantined: Arc<ArcSwap<QuarantineTable>>,
    /// Notified when `quarantined` has changed.
    pub(crate) quarantine_changed: Notify,
    /// Requests that endpoints have completed lately, and prompt parts for which they have sent output.
    completions: Mutex<CompletionTable>,
    /// Set when the controllers start, before any request is served.
    quarantine: OnceLock<ActorRef<GatewayQuarantine>>,
    /// Set when the controllers start, before any request is served.
    permits: OnceLock<ActorRef<PermitsController>>,
    topic_health: TopicHealth,
    running_time: Mutex<RunningTime>,
    list_outage: Mutex<ListOutage>,
    /// Published in heartbeats while this instance holds the lease on the expert groups.
    leading: Mutex<Option<Leading>>,
    phase: watch::Sender<Phase>,
    /// When a planned stop ends at the latest, once one has begun.
    stops_at: OnceLock<Timestamp>,
    retry_budgets: Mutex<HashMap<TargetName, RetryBudget>>,
    next_sequence: AtomicU64,
}

/// A platform topic that instances follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformTopic {
    /// Route tables.
    Routes,
    /// The endpoint list.
    Endpoints,
}

/// Whether the last read of each topic succeeded.
#[derive(Debug, Default)]
struct TopicHealth {
    routes: AtomicBool,
    endpoints: AtomicBool,
}

impl TopicHealth {
    const fn flag(&self, topic: PlatformTopic) -> &AtomicBool {
        match topic {
            PlatformTopic::Routes => &self.routes,
            PlatformTopic::Endpoints => &self.endpoints,
        }
    }
}

/// Fraction of its share of the retry budget that an instance uses. The rest covers instances whose
/// heartbeats have not arrived and processes that restart with a full budget.
const LOCAL_BUDGET_FACTOR: f64 = 0.5;

/// Minimum number of instances among which the retry budget is divided. A process that has just started and
/// knows no peers must not use the whole budget.
const MIN_ASSUMED_INSTANCES: usize = 16;

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings, metrics: Arc<GatewayMetrics>) -> Self {
        metrics.routing.fleet_assumed.set(i64::from(STARTING_FLEET));
        let (clock, early_heartbeat) = (Clock::system(), Arc::new(Notify::new()));
        let memory = MemoryBudget::for_machine(settings.memory_bytes);
        let seed = mix(u64::from(endpoint_tag(&settings.instance)));
        let waiting_room = Arc::new(WaitingRoom::new(clock, seed, Arc::clone(&early_heartbeat)));
        let work = Arc::new(WorkTracker::new(Arc::clone(&metrics)));
        let running_time = RunningTime::new(settings.heartbeat_ms, clock.now());
        Self {
            callers: ConnectionTable::new(settings.max_callers, memory.clone(), clock),
            memory,
            cold: Arc::new(ColdTracker::new(settings.cold_bounds, STARTING_FLEET)),
            settings,
            incarnation: Incarnation::random(),
            clock,
            metrics,
            routes: Arc::default(),
            endpoints: Arc::default(),
            evacuations: Arc::default(),
            peers: Arc::default(),
            loads: Arc::new(LoadTracker::new(Arc::clone(&waiting_room), work)),
            limits: Arc::default(),
            in_flight: watch::Sender::new(0),
            state_received: Arc::default(),
            started: OnceLock::new(),
            waiting_room,
            endpoint_list_stale: Notify::new(),
            early_heartbeat,
            is_reader: watch::Sender::new(true),
            quarantined: Arc::new(ArcSwap::from_pointee(GatewayQuarantine::empty_table())),
            quarantine_changed: Notify::new(),
            completions: Mutex::default(),
            quarantine: OnceLock::new(),
            permits: OnceLock::new(),
            topic_health: TopicHealth::default(),
            running_time: Mutex::new(running_time),
            list_outage: Mutex::default(),
            leading: Mutex::default(),
            phase: watch::Sender::new(Phase::Serving),
            stops_at: OnceLock::new(),
            retry_budgets: Mutex::default(),
            next_sequence: AtomicU64::new(1),
        }
    }

    /// The lease state for the next heartbeat, or `None` while this instance does not hold the lease on the
    /// expert groups.
    pub(crate) fn leading(&self) -> Option<Leading> {
        self.leading.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the end of the lease's log, or `None` when this instance does not hold the lease.
    pub(crate) fn set_lease_end(&self, end: Option<u64>) {
        let mut leading = self.leading.lock().unwrap_or_else(PoisonError::into_inner);
        let former = leading.take().unwrap_or_default();
        *leading = end.map(|lease_end| Leading { lease_end, ..former });
    }

    /// Records the work time of an endpoint in percent of the usual time. Has no effect unless this instance
    /// holds the lease.
    pub(crate) fn record_slowdown(&self, endpoint: &InstanceId, percent: u32) {
        let mut leading = self.leading.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(leading) = leading.as_mut() else { return };
        let tag = endpoint_tag(endpoint);
        leading.slow.retain(|(slow, _)| *slow != tag);
        if percent >= SLOW_THRESHOLD_PERCENT {
            leading.slow.push((tag, percent));
        }
    }

    /// Records that the control thread runs. Called with each heartbeat.
    pub(crate) fn record_tick(&self, now: Timestamp) {
        self.running_time.lock().unwrap_or_else(PoisonError::into_inner).tick(now);
    }

    /// Time for which the control thread has run, in milliseconds.
    pub(crate) fn running_ms(&self) -> u64 {
        let now = self.clock.now();
        self.running_time.lock().unwrap_or_else(PoisonError::into_inner).running_ms(now)
    }

    /// Records whether an instance of the failure domain reads the endpoint list at present.
    pub(crate) fn record_list_read(&self, is_read: bool, now: Timestamp) {
        self.list_outage.lock().unwrap_or_else(PoisonError::into_inner).update(is_read, now);
    }

    /// How long entries may be kept that expired in an outage of the endpoint list which this instance has noticed, in
    /// milliseconds.
    pub(crate) fn list_grace_left_ms(&self) -> u64 {
        let now = self.clock.now();
        self.list_outage.lock().unwrap_or_else(PoisonError::into_inner).grace_left_ms(now)
    }

    /// Records whether the last read of a platform topic succeeded.
    pub(crate) fn record_topic_reply(&self, topic: PlatformTopic, is_answered: bool) {
        let was_answered = self.topic_health.flag(topic).swap(is_answered, Ordering::Relaxed);
        if was_answered && !is_answered {
            // Other instances rely on the reads of this one, so they must learn of the failure at once.
            self.early_heartbeat.notify_one();
        }
    }

    /// Whether this instance serves and its last read of each topic succeeded, so that others need not read.
    pub(crate) fn is_healthy_reader(&self) -> bool {
        let answered = |topic| self.topic_health.flag(topic).load(Ordering::Relaxed);
        self.phase() == Phase::Serving
            && answered(PlatformTopic::Routes)
            && answered(PlatformTopic::Endpoints)
    }

    /// The controller of the quarantine, once it has started.
    pub(crate) fn quarantine(&self) -> Option<&ActorRef<GatewayQuarantine>> {
        self.quarantine.get()
    }

    /// Sets the controller of the quarantine. Only the first call has an effect.
    pub(crate) fn set_quarantine(&self, quarantine: ActorRef<GatewayQuarantine>) {
        let _ = self.quarantine.set(quarantine);
    }

    /// Sets the controller of the permits. Only the first call has an effect.
    pub(crate) fn set_permits(&self, permits: ActorRef<PermitsController>) {
        let _ = self.permits.set(permits);
    }

    /// Asks for a permit to send a request to a limited endpoint within `within_ms`.
    pub(crate) fn ask_for_permit(&self, tag: u32, within_ms: u64) {
        if let Some(permits) = self.permits.get() {
            let _ = permits.tell(NeedPermit { tag, within_ms }).try_send();
        }
    }

    /// Records the limit that a response of an endpoint names, or that it names none, and tells the others of a change.
    pub(crate) fn observe_limit(&self, endpoint: &EndpointEntry, limit: Option<RequestRate>) {
        if !self.limits.observe(endpoint_tag(&endpoint.id), limit, self.clock.now()) {
            return;
        }
        if let Some(limit) = limit {
            let per_s = limit.per_s();
            log::info!("endpoint limit server={} per_s={per_s} source=response", endpoint.id);
        } else {
            log::info!("endpoint limit ended server={} source=response", endpoint.id);
            // Requests that wait for a permit need none any more.
            self.waiting_room.wake();
        }
        self.early_heartbeat.notify_one();
    }

    fn lock_completions(&self) -> MutexGuard<'_, CompletionTable> {
        self.completions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an endpoint has completed a request or sent output for a prompt part, and clears it if it is a
    /// suspect.
    pub(crate) fn record_completion(&self, fingerprint: Fingerprint) {
        self.lock_completions().record(fingerprint, self.clock.now());
        if self.quarantined.load().is_suspect(&fingerprint)
            && let Some(quarantine) = self.quarantine()
        {
            let _ = quarantine.tell(RecordCompletion(fingerprint)).try_send();
        }
    }

    /// Whether an endpoint has lately completed a request or sent output for a prompt part.
    pub(crate) fn has_completed(&self, fingerprint: &Fingerprint) -> bool {
        self.lock_completions().contains(fingerprint, self.clock.now())
    }

    /// A unique attempt identifier.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        AttemptId { incarnation: self.incarnation, sequence }
    }

    /// The present phase of a graceful shutdown.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Receives changes of the shutdown phase.
    pub(crate) fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        log::info!("phase changed instance={} phase={phase:?}", self.settings.instance);
        self.phase.send_replace(phase);
    }

    /// Sets the time at which a planned stop ends at the latest. Only the first call has an effect.
    pub(crate) fn set_stops_at(&self, stops_at: Timestamp) {
        let _ = self.stops_at.set(stops_at);
    }

    /// Whether a request that no endpoint has got yet must be refused, because a planned stop could cut it off.
    pub(crate) fn could_cut_off(&self, deadline: Timestamp) -> bool {
        self.phase() == Phase::Refusing
            && self.stops_at.get().is_some_and(|stops_at| *stops_at < deadline)
    }

    /// Whether callers may be directed to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.knows_state() && self.callers.has_room()
    }

    /// Whether this instance knows routes and endpoints.
    fn knows_state(&self) -> bool {
        self.routes.load().is_some() && !self.endpoints.load().table.is_empty()
    }

    /// Whether this instance has known routes and endpoints since its start.
    pub(crate) fn is_started(&self) -> bool {
        if self.started.get().is_none() && self.knows_state() {
            self.started.get_or_init(|| self.clock.now());
        }
        self.started.get().is_some()
    }

    /// When this instance first knew routes and endpoints, if a request has been read since.
    pub(crate) fn started(&self) -> Option<Timestamp> {
        self.started.get().copied()
    }

    /// Adds a caller's request to the retry budget of its service.
    pub(crate) fn count_request(&self, service: &TargetName) {
        let policy = self.retry_policy();
        self.with_budget(service, &policy, |budget| budget.on_request(&policy, false));
    }

    /// Takes one retry from the budget of a service. Returns `false` if none is left.
    pub(crate) fn try_acquire_retry(&self, service: &TargetName) -> bool {
        let policy = self.retry_policy();
        self.with_budget(service, &policy, |budget| {
            budget.try_retry(&policy, 0, u64::MAX, 0).is_some()
        })
    }

    /// Whether the budget of a service allows another retry.
    pub(crate) fn has_retry(&self, service: &TargetName) -> bool {
        let policy = self.retry_policy();
        self.with_budget(service, &policy, |budget| budget.has_retry())
    }

    /// Whether a request should move to another endpoint because its own has sent nothing since `since`: other
    /// endpoints of the service respond, and the retry budget is not used up.
    pub(crate) fn should_fail_over(
        &self,
        part: ResponsePart,
        service: &TargetName,
        endpoint: &EndpointEntry,
        since: Timestamp,
    ) -> bool {
        let now = self.clock.now();
        let own = self.loads.loads(std::iter::once(&endpoint.id), now);
        let own: u32 = own.iter().map(|load| load.in_flight).sum();
        let in_flight = own + self.peers.load().in_flight(&endpoint.id);
        if may_be_queued(part, in_flight, endpoint.slots) {
            return false;
        }
        let endpoints = self.endpoints.load();
        let others = endpoints.table.endpoints(service).iter().map(|entry| &entry.id);
        let others_idle_ms =
            self.loads.activity_age_ms(others.filter(|id| **id != endpoint.id), now);
        is_stalled(part, now.ms_since(since), others_idle_ms) && self.has_retry(service)
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

    /// The share of the retry budget that this instance uses.
    fn retry_policy(&self) -> RetryPolicy {
        let instances = (self.peers.load().peers.len() + 1).max(MIN_ASSUMED_INSTANCES);
        let instances = f64::from(u32::try_from(instances).unwrap_or(u32::MAX));
        let RetryLimits { ratio, slack } = self.settings.retry_limits;
        RetryPolicy {
            share: ratio * LOCAL_BUDGET_FACTOR,
            reserve: (slack * LOCAL_BUDGET_FACTOR / instances).max(1.0),
            max_attempts: u32::MAX,
            // A retry goes to another endpoint without delay: the first one did not run the request or has
            // failed, and the budget limits the additional load.
            base_ms: 0,
            max_ms: 0,
        }
    }
}
