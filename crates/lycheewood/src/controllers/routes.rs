//! The routes controller: checks route tables and publishes the newest one, with the failure domains that the operator
//! has evacuated. Both come from one topic, and one mailbox keeps their order: an instance that starts knows the
//! evacuated domains before it has routes, and so before it serves.

use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::decisions::evacuation::{EvacuationChange, EvacuationTable};
use crate::gateway::{CurrentRoutes, GatewayState};
use crate::ids::{FailureDomain, Offset};
use crate::metrics::gateway::GatewayMetrics;
use crate::routes::checked::RouteTable;
use crate::routes::raw::RawRouteTable;
use crate::wire::heartbeat::Evacuations;

/// Source name of the tables that this instance has read from the platform itself.
pub(crate) const PLATFORM_SOURCE: &str = "platform";

/// Source name of what this instance has received from another one.
pub(crate) const PEER_SOURCE: &str = "peer";

/// Puts a route table in force if it is valid and newer than the present one.
pub(crate) struct UpdateRoutes {
    pub(crate) raw: RawRouteTable,
    /// Where the table was read, as printed in log lines.
    pub(crate) source: &'static str,
}

/// An update of the evacuated failure domains.
pub(crate) enum UpdateEvacuations {
    /// Records of the platform in order, which end before `next`.
    Records { changes: Vec<EvacuationChange>, next: Offset },
    /// All evacuated domains, and where they were read.
    State { state: Evacuations, source: &'static str },
}

/// Owns the route table in force and the evacuated failure domains.
#[derive(Actor)]
pub(crate) struct RoutesController {
    published: Arc<ArcSwapOption<CurrentRoutes>>,
    evacuations: EvacuationTable,
    published_evacuations: Arc<ArcSwap<EvacuationTable>>,
    clock: Clock,
    metrics: Arc<GatewayMetrics>,
    /// Notified when this instance has read a table from the platform that other instances wait for.
    early_heartbeat: Arc<Notify>,
    /// Notified when a table is in force.
    state_received: Arc<Notify>,
}

impl RoutesController {
    /// Starts the controller on the current runtime.
    pub(crate) fn start(state: &GatewayState) -> ActorRef<Self> {
        state.metrics.route_version.set(-1);
        let controller = Self {
            published: Arc::clone(&state.routes),
            evacuations: EvacuationTable::default(),
            published_evacuations: Arc::clone(&state.evacuations),
            clock: state.clock,
            metrics: Arc::clone(&state.metrics),
            early_heartbeat: Arc::clone(&state.early_heartbeat),
            state_received: Arc::clone(&state.state_received),
        };
        Self::spawn_with_mailbox(controller, mailbox::unbounded())
    }
}

impl Message<UpdateRoutes> for RoutesController {
    type Reply = ();

    async fn handle(
        &mut self,
        UpdateRoutes { raw, source }: UpdateRoutes,
        _: &mut Context<Self, ()>,
    ) {
        let version = raw.version;
        let in_force = self.published.load().as_ref().map(|routes| routes.table.version);
        // The version never decreases within a process, whatever the platform or a peer sends later.
        if in_force.is_some_and(|in_force| version <= in_force) {
            return;
        }
        match RouteTable::try_from(raw.clone()) {
            Ok(table) => {
                log::info!(
                    "route table in force version={version} former={} routes={} source={source}",
                    in_force.map_or_else(|| "-".into(), |version| version.to_string()),
                    table.len()
                );
                self.metrics.route_version.set(i64::try_from(version).unwrap_or(i64::MAX));
                self.published.store(Some(Arc::new(CurrentRoutes { table, raw })));
                self.state_received.notify_waiters();
                if source == PLATFORM_SOURCE {
                    self.early_heartbeat.notify_one();
                }
            }
            Err(error) => {
                self.metrics.records_unreadable.inc();
                log::error!(
                    "route table refused version={version} source={source} reason=\"{error}\""
                );
            }
        }
    }
}

impl Message<UpdateEvacuations> for RoutesController {
    type Reply = ();

    async fn handle(&mut self, update: UpdateEvacuations, _: &mut Context<Self, ()>) {
        let (now, former) = (self.clock.now(), self.evacuations.next());
        let (is_changed, source) = match update {
            UpdateEvacuations::Records { changes, next } => {
                (self.evacuations.apply(&changes, next, now), PLATFORM_SOURCE)
            }
            UpdateEvacuations::State { state, source } => {
                (self.evacuations.replace(state, now), source)
            }
        };
        if self.evacuations.next() == former {
            return;
        }
        self.published_evacuations.store(Arc::new(self.evacuations.clone()));
        if is_changed {
            let domains = self.evacuations.evacuations().unwrap_or_default().domains;
            self.metrics
                .routing
                .evacuated_domains
                .set(i64::try_from(domains.len()).unwrap_or(i64::MAX));
            let names: Vec<&str> = domains.iter().map(FailureDomain::as_str).collect();
            log::info!(
                "evacuated domains changed domains={names:?} next={} source={source}",
                self.evacuations.next()
            );
            // Whatever the source: the other instances of this domain may not have it yet.
            self.early_heartbeat.notify_one();
        }
    }
}
