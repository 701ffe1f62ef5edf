//! The entry role: accepts callers and routes their requests to endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use kameo::actor::ActorRef;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::adapters::admin::{self, AdminSource};
use crate::adapters::caller;
use crate::adapters::instance_list::ListClient;
use crate::adapters::log::LogClient;
use crate::adapters::peer::link::LinkConfig;
use crate::clock::Clock;
use crate::connection_table::ConnectionTable;
use crate::controllers::admission::{AdmissionConfig, AdmissionController, AdmissionSnapshots};
use crate::controllers::claims::ClaimsController;
use crate::controllers::document::{DocumentConfig, DocumentController, SnapshotRole};
use crate::controllers::leases::{LeaseConfig, LeaseController};
use crate::controllers::load::LoadController;
use crate::controllers::membership::{Members, MembershipController};
use crate::controllers::placement::{PlacementConfig, PlacementController};
use crate::controllers::quarantine::QuarantineController;
use crate::controllers::{Progress, wait_for_progress};
use crate::entry_state::EntryState;
use crate::ids::{Incarnation, Offset};
use crate::lifecycle::shutdown::{Phase, ShutdownSettings};
use crate::memory_budget::MemoryBudget;
use crate::metrics::Metrics;
use crate::roles::{StartError, leave, listen};
use crate::runtime::{ControlThread, traffic_runtime};
use crate::settings::{RoleSettings, Settings};
use crate::telemetry::Telemetry;

/// A running entry.
pub struct Entry {
    state: Arc<EntryState>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    stop: watch::Sender<bool>,
    callers: JoinHandle<std::io::Result<()>>,
    // Dropped before the control thread, since its tasks talk to controllers.
    traffic: Runtime,
    _control: ControlThread,
}

impl Entry {
    /// Starts an entry in this process, on threads of its own.
    ///
    /// Must not be called from async code, because it blocks.
    ///
    /// # Errors
    ///
    /// When the settings are for another role, or a listener or thread cannot be started.
    pub fn start(settings: &Settings) -> Result<Self, StartError> {
        let RoleSettings::Entry { caller_address, .. } = settings.role else {
            return Err(StartError::Role { wanted: "entry" });
        };
        let runtime = |source| StartError::Runtime { source };
        let control = ControlThread::start().map_err(runtime)?;
        let traffic = traffic_runtime(settings.traffic_threads).map_err(runtime)?;
        let (callers, caller_address) =
            traffic.block_on(listen("caller_address", caller_address))?;
        let (admin, admin_address) =
            traffic.block_on(listen("admin_address", settings.admin_address))?;
        let metrics = Metrics::new().map_err(|e| StartError::Metrics { reason: e.to_string() })?;
        let state = start_state(settings, metrics, &control, &traffic);
        start_readers(&state, admin_address, &control, &traffic);
        let (stop, stopped) = watch::channel(false);
        let callers = traffic.spawn(caller::serve(callers, Arc::clone(&state), stopped.clone()));
        let source = AdminSource::Entry(Arc::clone(&state));
        traffic.spawn(admin::serve(admin, source, stopped));
        log::info!(
            "entry started instance={} incarnation={} caller_address={caller_address} admin_address={admin_address}",
            settings.instance,
            state.incarnation
        );
        Ok(Self { state, caller_address, admin_address, stop, callers, traffic, _control: control })
    }

    /// Where callers connect.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where metrics and state are served.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Waits until a document is in force and at least `endpoints` endpoints are connected.
    ///
    /// Must not be called from async code, because it blocks. Gives `false` after `timeout_ms`.
    #[must_use]
    pub fn wait_until_ready(&self, endpoints: usize, timeout_ms: u64) -> bool {
        let wanted = Progress { version: Some(Offset(0)), endpoints };
        self.traffic.block_on(wait_for_progress(&self.state.progress, wanted, timeout_ms))
    }

    /// Waits until the document published at `version`, or a later one, is in force.
    ///
    /// Must not be called from async code, because it blocks. Gives `false` after `timeout_ms`.
    #[must_use]
    pub fn wait_until_version(&self, version: Offset, timeout_ms: u64) -> bool {
        let wanted = Progress { version: Some(version), endpoints: 0 };
        self.traffic.block_on(wait_for_progress(&self.state.progress, wanted, timeout_ms))
    }

    /// Stops gracefully: still serves callers that hold its address, then refuses new requests as not
    /// run, and ends after the last answer in flight.
    ///
    /// Blocks until then; must not be called from async code.
    pub fn shutdown(self) {
        let Self { state, traffic, callers, stop, .. } = self;
        traffic.block_on(async {
            let timing = &state.settings.timing;
            let settings = ShutdownSettings {
                linger_ms: timing.entry_linger_ms,
                min_refusing_ms: timing.entry_refuse_ms,
            };
            leave(settings, state.clock, &state.in_flight, |phase| state.set_phase(phase)).await;
            stop.send_replace(true);
            let _ = callers.await;
        });
        state.telemetry.flush();
        log::info!("entry stopped instance={}", state.settings.instance);
        traffic.shutdown_background();
    }
}

/// Starts the controllers that requests talk to.
fn start_state(
    settings: &Settings,
    metrics: Metrics,
    control: &ControlThread,
    traffic: &Runtime,
) -> Arc<EntryState> {
    let _control = control.handle().enter();
    let (clock, metrics) = (Clock::system(), Arc::new(metrics));
    let snapshots = AdmissionSnapshots {
        document: Arc::default(),
        endpoints: Arc::default(),
        members: Arc::new(ArcSwap::from_pointee(Members::empty(&settings.timing))),
    };
    let empty = QuarantineController::empty_table(&settings.timing);
    let quarantined = Arc::new(ArcSwap::from_pointee(empty));
    let (log, timing) = (log_client(settings), settings.timing);
    let incarnation = Incarnation::random();
    let memory = MemoryBudget::for_machine(settings.bounds.memory_bytes);
    Arc::new(EntryState {
        settings: settings.clone(),
        incarnation,
        clock,
        document: Arc::clone(&snapshots.document),
        endpoints: Arc::clone(&snapshots.endpoints),
        members: Arc::clone(&snapshots.members),
        progress: watch::Sender::default(),
        claims: ClaimsController::start(log.clone(), timing, Arc::clone(&metrics)),
        groups: LeaseController::start(LeaseConfig {
            log: log.clone(),
            timing,
            clock,
            metrics: Arc::clone(&metrics),
            snapshot_role: SnapshotRole::Writer,
        }),
        quarantine: QuarantineController::start(
            log.clone(),
            Arc::clone(&quarantined),
            timing,
            clock,
            Arc::clone(&metrics),
        ),
        quarantined,
        phase: ArcSwap::from_pointee(Phase::Serving),
        in_flight: watch::Sender::default(),
        callers: ConnectionTable::new(settings.bounds.max_connections, memory.clone(), clock),
        memory,
        admission: AdmissionController::start(AdmissionConfig {
            snapshots,
            log,
            timing,
            admission: settings.admission,
            retries: settings.retries,
            incarnation,
            clock,
            metrics: Arc::clone(&metrics),
        }),
        telemetry: Telemetry::start(settings, traffic.handle()),
        metrics,
        next_sequence: AtomicU64::new(1),
    })
}

fn log_client(settings: &Settings) -> LogClient {
    let timing = &settings.timing;
    LogClient::new(settings.log_address, timing.connect_ms, timing.platform_reply_ms)
}

/// Starts the controllers that follow the platform and the endpoints.
fn start_readers(
    state: &Arc<EntryState>,
    admin_address: SocketAddr,
    control: &ControlThread,
    traffic: &Runtime,
) {
    let _control = control.handle().enter();
    let settings = &state.settings;
    let timing = settings.timing;
    let documents = DocumentController::start(DocumentConfig {
        log: log_client(settings),
        published: Arc::clone(&state.document),
        progress: state.progress.clone(),
        timing,
        clock: state.clock,
        metrics: Arc::clone(&state.metrics),
        snapshot_role: SnapshotRole::Writer,
    });
    let load = LoadController::start(
        Arc::clone(&state.endpoints),
        state.progress.clone(),
        state.clock,
        Arc::clone(&state.metrics),
    );
    let list = ListClient::new(
        settings.instance_list_address,
        timing.connect_ms,
        timing.platform_reply_ms,
    );
    MembershipController::start(
        list,
        Arc::clone(&state.members),
        LinkConfig {
            hello: state.hello(admin_address),
            timing,
            load,
            documents,
            quarantine: state.quarantine.clone(),
            placement: start_placement(state),
        },
        traffic.handle().clone(),
        state.clock,
        Arc::clone(&state.metrics),
    );
}

/// Starts the controller that takes part in the control of groups, if the settings allow it.
fn start_placement(state: &Arc<EntryState>) -> Option<ActorRef<PlacementController>> {
    let RoleSettings::Entry { control: true, .. } = state.settings.role else { return None };
    Some(PlacementController::start(PlacementConfig {
        incarnation: state.incarnation,
        log: log_client(&state.settings),
        feed: state.groups.clone(),
        document: Arc::clone(&state.document),
        endpoints: Arc::clone(&state.endpoints),
        timing: state.settings.timing,
        clock: state.clock,
        metrics: Arc::clone(&state.metrics),
    }))
}
