//! State shared by the traffic threads of an entry: settings, counters and snapshots of control state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::actor::ActorRef;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::connection_table::ConnectionTable;
use crate::controllers::Progress;
use crate::controllers::admission::AdmissionController;
use crate::controllers::claims::ClaimsController;
use crate::controllers::document::CurrentDocument;
use crate::controllers::leases::LeaseFeed;
use crate::controllers::load::EndpointTable;
use crate::controllers::membership::Members;
use crate::controllers::quarantine::QuarantineController;
use crate::decisions::quarantine::QuarantineTable;
use crate::ids::{AttemptId, Incarnation};
use crate::lifecycle::shutdown::Phase;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::telemetry::Telemetry;
use crate::wire::message::{Hello, Role};
use crate::wire::{PROTOCOL_MAX, PROTOCOL_MIN};

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: watch::Sender<usize>,
    metrics: Arc<Metrics>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
        self.metrics.requests_in_flight.dec();
    }
}

/// State shared by the traffic threads of an entry.
pub(crate) struct EntryState {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) telemetry: Telemetry,
    pub(crate) document: Arc<ArcSwapOption<CurrentDocument>>,
    pub(crate) endpoints: Arc<ArcSwap<EndpointTable>>,
    pub(crate) members: Arc<ArcSwap<Members>>,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) claims: ActorRef<ClaimsController>,
    pub(crate) admission: ActorRef<AdmissionController>,
    pub(crate) quarantine: ActorRef<QuarantineController>,
    pub(crate) quarantined: Arc<ArcSwap<QuarantineTable>>,
    pub(crate) groups: LeaseFeed,
    pub(crate) phase: ArcSwap<Phase>,
    pub(crate) in_flight: watch::Sender<usize>,
    /// Memory for connections, requests and responses.
    pub(crate) memory: MemoryBudget,
    /// Connections of callers.
    pub(crate) callers: Arc<ConnectionTable>,
    pub(crate) next_sequence: AtomicU64,
}

impl EntryState {
    /// A unique attempt identifier.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        AttemptId { incarnation: self.incarnation, sequence }
    }

    /// The present phase of a graceful shutdown.
    pub(crate) fn phase(&self) -> Phase {
        **self.phase.load()
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        log::info!("entry phase changed instance={} phase={phase:?}", self.settings.instance);
        self.phase.store(Arc::new(phase));
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn count_in_flight(&self) -> InFlightGuard {
        self.in_flight.send_modify(|count| *count += 1);
        self.metrics.requests_in_flight.inc();
        InFlightGuard { count: self.in_flight.clone(), metrics: Arc::clone(&self.metrics) }
    }

    pub(crate) fn hello(&self, admin_address: SocketAddr) -> Hello {
        Hello {
            protocol_min: PROTOCOL_MIN,
            protocol_max: PROTOCOL_MAX,
            incarnation: self.incarnation,
            instance: self.settings.instance.clone(),
            role: Role::Entry,
            endpoint_kind: None,
            version: None,
            admin_address: Some(admin_address),
        }
    }
}
