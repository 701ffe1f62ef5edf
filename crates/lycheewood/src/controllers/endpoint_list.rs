//! The endpoint list controller: applies updates of the endpoint list and publishes which endpoints accept
//! requests.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::{Clock, Timestamp};
use crate::cold_tracker::ColdTracker;
use crate::decisions::endpoint_list::{EndpointChange, EndpointList, EndpointRecord};
use crate::gateway::CurrentEndpoints;
use crate::ids::{InstanceId, Offset};
use crate::load_tracker::LoadTracker;
use crate::metrics::gateway::GatewayMetrics;
use crate::wire::heartbeat::SharedEndpoints;

/// Interval at which endpoints are checked for the end of their grace period, in milliseconds.
const GRACE_POLL_MS: u64 = 250;

/// An update of the endpoint list, from the platform or from another instance.
pub(crate) enum EndpointListUpdate {
    /// Records in log order, which end before `next`.
    Records { changes: Vec<EndpointChange>, next: Offset },
    /// The newest record of each endpoint from the platform, read when the log ended at `end`.
    Snapshot { changes: Vec<EndpointChange>, end: Offset },
    /// The list as fetched from another instance.
    Shared(SharedEndpoints),
    /// The platform's list has recovered from an outage.
    ListRecovered,
}

/// Removes endpoints whose grace period has ended.
struct ExpireGrace;

/// Requests a copy of the list for another instance.
pub(crate) struct ExportList;

/// Owns the endpoint list and publishes an index of it.
#[derive(Actor)]
pub(crate) struct EndpointListController {
    list: EndpointList,
    published: Arc<ArcSwap<CurrentEndpoints>>,
    loads: Arc<LoadTracker>,
    cold: Arc<ColdTracker>,
    clock: Clock,
    metrics: Arc<GatewayMetrics>,
    /// Notified after records from the platform were applied, so that other instances learn of them early.
    early_heartbeat: Arc<Notify>,
    /// Notified when the list has changed.
    state_received: Arc<Notify>,
}

impl EndpointListController {
    /// Starts the controller and its timer on the current runtime.
    pub(crate) fn start(
        published: Arc<ArcSwap<CurrentEndpoints>>,
        loads: Arc<LoadTracker>,
        cold: Arc<ColdTracker>,
        clock: Clock,
        metrics: Arc<GatewayMetrics>,
        early_heartbeat: Arc<Notify>,
        state_received: Arc<Notify>,
    ) -> ActorRef<Self> {
        let list = EndpointList::default();
        let controller =
            Self { list, published, loads, cold, clock, metrics, early_heartbeat, state_received };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(schedule_grace_expiry(actor.clone()));
        actor
    }

    fn publish(&self) {
        let table = self.list.index();
        self.metrics.endpoints_listed.set(i64::try_from(table.len()).unwrap_or(i64::MAX));
        let listed: HashSet<&InstanceId> = table.all().map(|entry| &entry.id).collect();
        self.loads.retain(|endpoint| listed.contains(endpoint));
        self.cold.retain(|endpoint| listed.contains(endpoint));
        self.published.store(Arc::new(CurrentEndpoints { table }));
        self.state_received.notify_waiters();
    }

    fn apply(&mut self, change: EndpointChange, now: Timestamp) {
        let (id, offset) = (change.id.clone(), change.offset);
        let text = describe(&change.record);
        if let EndpointRecord::Unreadable = change.record {
            self.metrics.records_unreadable.inc();
        }
        if self.list.apply(change, now) {
            log::info!("endpoint changed server={id} offset={offset} {text}");
        }
    }
}

impl EndpointListController {
    /// Replaces the list by a snapshot unless the snapshot is older. Returns whether it was applied.
    fn replace(
        &mut self,
        changes: Vec<EndpointChange>,
        end: Offset,
        source: &str,
        now: Timestamp,
    ) -> bool {
        let count = changes.len();
        let is_applied = self.list.replace(changes, end, now);
        log::info!(
            "endpoint list read source={source} records={count} end={end} taken={is_applied}"
        );
        is_applied
    }

    /// Logs that removed endpoints are kept for some time after an outage of the list.
    fn log_grace(&self, source: &str, now: Timestamp) {
        let grace_ms = self.list.grace_left_ms(now);
        log::info!("endpoint list recovered source={source} grace_ms={grace_ms}");
    }
}

/// Formats a record as `key=value` pairs for a log line.
fn describe(record: &EndpointRecord) -> String {
    match record {
        EndpointRecord::Entry(entry) => format!(
            "state={:?} service={} address={} group={}",
            entry.state,
            entry.service,
            entry.address,
            entry.group.as_ref().map_or_else(
                || "-".to_owned(),
                |group| format!("{}/{}/{}", group.name, group.epoch, group.rank)
            )
        ),
        EndpointRecord::Unreadable => "state=unreadable".to_owned(),
        EndpointRecord::Removed => "state=removed".to_owned(),
    }
}

impl Message<EndpointListUpdate> for EndpointListController {
    type Reply = ();

    async fn handle(&mut self, update: EndpointListUpdate, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let mut has_changes = false;
        match update {
            EndpointListUpdate::Records { changes, next } => {
                has_changes = !changes.is_empty();
                for change in changes {
                    self.apply(change, now);
                }
                self.list.advance(next);
            }
            EndpointListUpdate::Snapshot { changes, end } => {
                if !self.replace(changes, end, "platform", now) {
                    return;
                }
            }
            EndpointListUpdate::Shared(SharedEndpoints { changes, end, lapse_left_ms }) => {
                if lapse_left_ms > 0 {
                    self.list.extend_grace(lapse_left_ms, now);
                    self.log_grace("peer", now);
                }
                if !self.replace(changes, end, "peer", now) {
                    return;
                }
            }
            EndpointListUpdate::ListRecovered => {
                self.list.on_list_recovered(now);
                self.log_grace("platform", now);
                return;
            }
        }
        self.publish();
        if has_changes {
            self.early_heartbeat.notify_one();
        }
    }
}

impl Message<ExpireGrace> for EndpointListController {
    type Reply = ();

    async fn handle(&mut self, _: ExpireGrace, _: &mut Context<Self, ()>) {
        if self.list.expire(self.clock.now()) {
            self.publish();
        }
    }
}

impl Message<ExportList> for EndpointListController {
    type Reply = SharedEndpoints;

    async fn handle(&mut self, _: ExportList, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let lapse_left_ms = self.list.grace_left_ms(self.clock.now());
        SharedEndpoints { changes: self.list.changes(), end: self.list.next(), lapse_left_ms }
    }
}

/// Sends [`ExpireGrace`] to the controller at a fixed interval.
async fn schedule_grace_expiry(actor: ActorRef<EndpointListController>) {
    loop {
        sleep(Duration::from_millis(GRACE_POLL_MS)).await;
        if actor.tell(ExpireGrace).await.is_err() {
            return;
        }
    }
}
