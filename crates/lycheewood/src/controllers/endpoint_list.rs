//! The endpoint list controller: which endpoints take requests.

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
use crate::decisions::endpoint_list::{EndpointChange, EndpointList, EndpointRecord};
use crate::gateway::CurrentEndpoints;
use crate::ids::Offset;
use crate::load_tracker::LoadTracker;
use crate::metrics::gateway::GatewayMetrics;
use crate::wire::heartbeat::SharedEndpoints;

/// How often endpoints whose time after an outage is over are looked for, in milliseconds.
const EXPIRE_MS: u64 = 250;

/// What has been read of the platform's list.
pub(crate) enum EndpointListUpdate {
    /// Records in the order of the log, up to `next`.
    Records { changes: Vec<EndpointChange>, next: Offset },
    /// The newest record of each endpoint, from the platform.
    Newest { changes: Vec<EndpointChange>, end: Offset },
    /// The list of another instance.
    Shared(SharedEndpoints),
    /// The list has recovered from an outage.
    ListRecovered,
}

/// Time has passed.
struct Expire;

/// Asks for the list, to share it with another instance.
pub(crate) struct Export;

/// Owns the endpoint list.
#[derive(Actor)]
pub(crate) struct EndpointListController {
    list: EndpointList,
    published: Arc<ArcSwap<CurrentEndpoints>>,
    loads: Arc<LoadTracker>,
    clock: Clock,
    metrics: Arc<GatewayMetrics>,
    /// Woken when the platform has brought changes that other instances wait for.
    news: Arc<Notify>,
}

impl EndpointListController {
    /// Starts the controller and its timer on the present runtime.
    pub(crate) fn start(
        published: Arc<ArcSwap<CurrentEndpoints>>,
        loads: Arc<LoadTracker>,
        clock: Clock,
        metrics: Arc<GatewayMetrics>,
        news: Arc<Notify>,
    ) -> ActorRef<Self> {
        let list = EndpointList::default();
        let controller = Self { list, published, loads, clock, metrics, news };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(expire(actor.clone()));
        actor
    }

    fn publish(&self) {
        let table = self.list.index();
        self.metrics.endpoints_listed.set(i64::try_from(table.len()).unwrap_or(i64::MAX));
        self.loads.retain(|endpoint| table.all().any(|entry| entry.id == *endpoint));
        self.published.store(Arc::new(CurrentEndpoints { table }));
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
    /// Replaces the list by another reading. Tells whether it was taken.
    fn replace(
        &mut self,
        changes: Vec<EndpointChange>,
        end: Offset,
        source: &str,
        now: Timestamp,
    ) -> bool {
        let count = changes.len();
        let is_taken = self.list.replace(changes, end, now);
        log::info!("endpoint list read source={source} records={count} end={end} taken={is_taken}");
        is_taken
    }
}

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

    async fn handle(&mut self, news: EndpointListUpdate, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let mut has_news = false;
        match news {
            EndpointListUpdate::Records { changes, next } => {
                has_news = !changes.is_empty();
                for change in changes {
                    self.apply(change, now);
                }
                self.list.advance(next);
            }
            EndpointListUpdate::Newest { changes, end } => {
                if !self.replace(changes, end, "platform", now) {
                    return;
                }
            }
            EndpointListUpdate::Shared(SharedEndpoints { changes, end, lapse_left_ms }) => {
                if lapse_left_ms > 0 {
                    self.list.extend_grace(lapse_left_ms, now);
                }
                if !self.replace(changes, end, "peer", now) {
                    return;
                }
            }
            EndpointListUpdate::ListRecovered => {
                self.list.on_list_recovered(now);
                return;
            }
        }
        self.publish();
        if has_news {
            self.news.notify_one();
        }
    }
}

impl Message<Expire> for EndpointListController {
    type Reply = ();

    async fn handle(&mut self, _: Expire, _: &mut Context<Self, ()>) {
        if self.list.expire(self.clock.now()) {
            self.publish();
        }
    }
}

impl Message<Export> for EndpointListController {
    type Reply = SharedEndpoints;

    async fn handle(&mut self, _: Export, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let lapse_left_ms = self.list.grace_left_ms(self.clock.now());
        SharedEndpoints { changes: self.list.changes(), end: self.list.next(), lapse_left_ms }
    }
}

async fn expire(actor: ActorRef<EndpointListController>) {
    loop {
        sleep(Duration::from_millis(EXPIRE_MS)).await;
        if actor.tell(Expire).await.is_err() {
            return;
        }
    }
}
