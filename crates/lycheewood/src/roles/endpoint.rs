//! The endpoint role: the process in the slot beside one model engine or plain service.

pub(crate) mod execution;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::actor::ActorRef;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::adapters::admin::{self, AdminSource};
use crate::adapters::backend::{EngineClient, ServiceClient};
use crate::adapters::log::LogClient;
use crate::adapters::peer::server;
use crate::adapters::ranks::RankClient;
use crate::clock::Clock;
use crate::controllers::Progress;
use crate::controllers::attempts::{
    AttemptsConfig, AttemptsController, BackendLoad, Drain, EndpointStatus,
};
use crate::controllers::document::{
    CurrentDocument, DocumentConfig, DocumentController, SnapshotRole,
};
use crate::controllers::leases::{LeaseConfig, LeaseController, LeaseFeed};
use crate::controllers::rank::{RankConfig, RankController};
use crate::ids::{AttemptId, EndpointKindName, Incarnation, VersionName};
use crate::lifecycle::shutdown::{Shutdown, ShutdownSettings};
use crate::metrics::Metrics;
use crate::roles::endpoint::execution::Execution;
use crate::roles::{StartError, listen};
use crate::runtime::{ControlThread, traffic_runtime};
use crate::settings::{RankSettings, RoleSettings, Settings, Timing};
use crate::telemetry::Telemetry;
use crate::wire::message::{Hello, Load, Role};
use crate::wire::{PROTOCOL_MAX, PROTOCOL_MIN};

/// What the traffic threads of an endpoint daemon share.
pub(crate) struct EndpointState {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) telemetry: Telemetry,
    pub(crate) backend_address: SocketAddr,
    pub(crate) engine: EngineClient,
    pub(crate) service: ServiceClient,
    pub(crate) attempts: ActorRef<AttemptsController>,
    pub(crate) status: watch::Receiver<EndpointStatus>,
    pub(crate) document: Arc<ArcSwapOption<CurrentDocument>>,
    pub(crate) documents: ActorRef<DocumentController>,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) peers: Arc<ArcSwap<Vec<Hello>>>,
    pub(crate) groups: LeaseFeed,
    pub(crate) rank: Option<ActorRef<RankController>>,
    admin_address: SocketAddr,
    kind: EndpointKindName,
    version: Option<VersionName>,
    executions: Mutex<HashMap<AttemptId, Execution>>,
}

impl EndpointState {
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            protocol_min: PROTOCOL_MIN,
            protocol_max: PROTOCOL_MAX,
            incarnation: self.incarnation,
            instance: self.settings.instance.clone(),
            role: Role::Endpoint,
            endpoint_kind: Some(self.kind.clone()),
            version: self.version.clone(),
            admin_address: Some(self.admin_address),
        }
    }

    /// Whether a model engine stands beside this process.
    pub(crate) fn serves_model(&self) -> bool {
        self.version.is_some()
    }

    /// Attempts that are running.
    pub(crate) fn executions(&self) -> MutexGuard<'_, HashMap<AttemptId, Execution>> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running endpoint daemon.
pub struct Endpoint {
    state: Arc<EndpointState>,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: JoinHandle<io::Result<()>>,
    // Dropped before the control thread, since its tasks talk to controllers.
    traffic: Runtime,
    _control: ControlThread,
}

impl Endpoint {
    /// Starts an endpoint daemon in this process, on threads of its own.
    ///
    /// Must not be called from async code, because it blocks.
    ///
    /// # Errors
    ///
    /// When the settings are for another role, or a listener or thread cannot be started.
    pub fn start(settings: &Settings) -> Result<Self, StartError> {
        let RoleSettings::Endpoint { peer_address, backend_address, kind, version, rank } =
            settings.role.clone()
        else {
            return Err(StartError::Role { wanted: "endpoint" });
        };
        let runtime = |source| StartError::Runtime { source };
        let control = ControlThread::start().map_err(runtime)?;
        let traffic = traffic_runtime(settings.traffic_threads).map_err(runtime)?;
        let (peer_listener, peer_address) =
            traffic.block_on(listen("peer_address", peer_address))?;
        let (admin, admin_address) =
            traffic.block_on(listen("admin_address", settings.admin_address))?;
        let metrics = Metrics::new().map_err(|e| StartError::Metrics { reason: e.to_string() })?;
        let metrics = Arc::new(metrics);
        let (clock, incarnation) = (Clock::system(), Incarnation::random());
        let timing = settings.timing;
        let log = LogClient::new(settings.log_address, timing.connect_ms, timing.platform_reply_ms);
        let (document, progress, peers) =
            (Arc::default(), watch::Sender::default(), Arc::default());
        let control_guard = control.handle().enter();
        let documents = DocumentController::start(DocumentConfig {
            log: log.clone(),
            published: Arc::clone(&document),
            progress: progress.clone(),
            timing,
            clock,
            metrics: Arc::clone(&metrics),
            snapshot_role: SnapshotRole::Reader,
        });
        let groups = LeaseController::start(LeaseConfig {
            log: log.clone(),
            timing,
            clock,
            metrics: Arc::clone(&metrics),
            snapshot_role: SnapshotRole::Reader,
        });
        let rank = rank.map(|rank| {
            let feed = groups.clone();
            start_rank(rank, incarnation, backend_address, log.clone(), feed, timing, clock)
        });
        let (attempts, status) = AttemptsController::start(AttemptsConfig {
            incarnation,
            version: version.clone(),
            capacity: settings.bounds.max_attempts,
            timing,
            clock,
            metrics: Arc::clone(&metrics),
            document: Arc::clone(&document),
            log,
            peers: Arc::clone(&peers),
        });
        drop(control_guard);
        let state = Arc::new(EndpointState {
            settings: settings.clone(),
            incarnation,
            clock,
            metrics,
            telemetry: Telemetry::start(settings, traffic.handle()),
            backend_address,
            engine: EngineClient::new(backend_address, timing.connect_ms, timing.backend_idle_ms),
            service: ServiceClient::new(backend_address, timing.connect_ms),
            attempts,
            status,
            peers,
            admin_address,
            document,
            documents,
            progress,
            groups,
            rank,
            kind,
            version,
            executions: Mutex::default(),
        });
        let (stop, stopped) = watch::channel(false);
        let connections =
            traffic.spawn(server::serve(peer_listener, Arc::clone(&state), stopped.clone()));
        let source = AdminSource::Endpoint(Arc::clone(&state));
        traffic.spawn(admin::serve(admin, source, stopped));
        traffic.spawn(report_load(Arc::clone(&state)));
        log::info!(
            "endpoint started instance={} incarnation={incarnation} peer_address={peer_address} admin_address={admin_address}",
            settings.instance
        );
        Ok(Self {
            state,
            peer_address,
            admin_address,
            stop,
            connections,
            traffic,
            _control: control,
        })
    }

    /// Where entries connect.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Where metrics and state are served.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Stops gracefully: refuses new work, lets attempts in flight end, then stops.
    ///
    /// Blocks until all attempts have ended, their answers are sent and the drain notice has passed; must
    /// not be called from async code.
    pub fn shutdown(self) {
        let Self { state, traffic, stop, mut connections, .. } = self;
        traffic.block_on(async {
            leave(&state).await;
            stop.send_replace(true);
            // Each connection ends after the answers on it.
            let _ = (&mut connections).await;
        });
        state.telemetry.flush();
        log::info!("endpoint stopped instance={}", state.settings.instance);
        traffic.shutdown_background();
    }
}

/// Starts the controller of the rank beside this process, on the present runtime.
fn start_rank(
    rank: RankSettings,
    incarnation: Incarnation,
    engine: SocketAddr,
    log: LogClient,
    feed: LeaseFeed,
    timing: Timing,
    clock: Clock,
) -> ActorRef<RankController> {
    let (connect_ms, reply_ms) = (timing.connect_ms, timing.platform_reply_ms);
    let engine = RankClient::new(engine, rank.index, connect_ms, reply_ms);
    RankController::start(RankConfig { rank, incarnation, log, engine, feed, timing, clock })
}

/// Goes through the life cycle of a planned stop.
async fn leave(state: &EndpointState) {
    let min_refusing_ms = state.settings.timing.drain_notice_ms;
    // Entries route around a leaving endpoint at once, so it does not linger.
    let settings = ShutdownSettings { linger_ms: 0, min_refusing_ms };
    let _ = state.attempts.ask(Drain).await;
    let mut lingering = Shutdown::serving(settings).announce(state.clock.now());
    let mut refusing = loop {
        match lingering.refuse(state.clock.now()) {
            Ok(refusing) => break refusing,
            Err(early) => lingering = early,
        }
    };
    let mut status = state.status.clone();
    loop {
        let left_ms = refusing.earliest_stop().ms_since(state.clock.now());
        tokio::time::sleep(Duration::from_millis(left_ms)).await;
        let running = match status.wait_for(|status| status.running == 0).await {
            Ok(status) => status.running,
            Err(_) => return,
        };
        match refusing.stop(state.clock.now(), usize::try_from(running).unwrap_or(usize::MAX)) {
            Ok(_stopped) => return,
            Err(busy) => refusing = busy,
        }
    }
}

/// Reports the backend's load to the controller at each interval.
async fn report_load(state: Arc<EndpointState>) {
    let timing = state.settings.timing;
    let mut ticks = interval(Duration::from_millis(timing.load_report_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let load = if state.serves_model() {
            state.engine.load(timing.platform_reply_ms).await.ok()
        } else if state.service.is_up(timing.connect_ms).await {
            Some(service_load(&state))
        } else {
            None
        };
        if state.attempts.tell(BackendLoad(load)).try_send().is_err() {
            return;
        }
    }
}

/// A plain service reports no load; the attempts in flight stand for it.
fn service_load(state: &EndpointState) -> Load {
    Load {
        running: state.status.borrow().running,
        queued: 0,
        capacity: state.settings.bounds.max_attempts,
        reported: state.clock.now(),
    }
}
