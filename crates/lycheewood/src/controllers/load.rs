//! The load controller: the connected endpoints with their kinds, versions and reported loads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::adapters::peer::link::Link;
use crate::clock::{Clock, Timestamp};
use crate::controllers::Progress;
use crate::ids::{EndpointKindName, Incarnation, InstanceId, VersionName};
use crate::metrics::Metrics;
use crate::wire::message::{Hello, Load};

/// An event on the link to an endpoint.
#[derive(Debug)]
pub(crate) struct LinkEvent {
    pub(crate) link: Arc<Link>,
    pub(crate) kind: LinkEventKind,
}

/// The kind of a link event.
#[derive(Debug)]
pub(crate) enum LinkEventKind {
    Connected(Box<Hello>),
    Disconnected { silent: bool },
    Removed,
    Load(Load),
    Draining,
}

/// A connected endpoint.
#[derive(Clone, Debug)]
pub(crate) struct ConnectedEndpoint {
    pub(crate) link: Arc<Link>,
    pub(crate) incarnation: Incarnation,
    pub(crate) kind: Option<EndpointKindName>,
    pub(crate) version: Option<VersionName>,
    pub(crate) admin_address: Option<SocketAddr>,
    pub(crate) draining: bool,
    pub(crate) load: Load,
    pub(crate) connected_at: Timestamp,
}

/// All connected endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) endpoints: Vec<ConnectedEndpoint>,
}

/// Handle through which links send events to the load controller.
#[derive(Clone)]
pub(crate) struct LoadHandle {
    actor: ActorRef<LoadController>,
}

impl LoadHandle {
    pub(crate) fn send(&self, event: LinkEvent) {
        // The mailbox is unbounded, so this fails only when the control thread has stopped.
        let _ = self.actor.tell(event).try_send();
    }
}

/// Delay after which load reports are published together. Reports lag by up to their interval of one second
/// anyway.
const PUBLISH_DELAY_MS: u64 = 50;

/// Triggers the delayed publication of load reports.
struct PublishTable;

/// Owns the table of connected endpoints.
#[derive(Actor)]
pub(crate) struct LoadController {
    endpoints: HashMap<InstanceId, ConnectedEndpoint>,
    published: Arc<ArcSwap<EndpointTable>>,
    progress: watch::Sender<Progress>,
    publish_pending: bool,
    clock: Clock,
    metrics: Arc<Metrics>,
}

impl LoadController {
    /// Starts the controller on the current Tokio runtime.
    pub(crate) fn start(
        published: Arc<ArcSwap<EndpointTable>>,
        progress: watch::Sender<Progress>,
        clock: Clock,
        metrics: Arc<Metrics>,
    ) -> LoadHandle {
        let controller = Self {
            endpoints: HashMap::new(),
            published,
            progress,
            publish_pending: false,
            clock,
            metrics,
        };
        LoadHandle { actor: Self::spawn_with_mailbox(controller, mailbox::unbounded()) }
    }

    fn publish(&self) {
        let mut endpoints: Vec<ConnectedEndpoint> = self.endpoints.values().cloned().collect();
        endpoints.sort_by(|a, b| a.link.instance.cmp(&b.link.instance));
        self.metrics.endpoints_connected.set(i64::try_from(endpoints.len()).unwrap_or(i64::MAX));
        // An endpoint can receive requests once it has reported a capacity above 0.
        let ready_count = endpoints.iter().filter(|e| e.load.capacity > 0).count();
        self.published.store(Arc::new(EndpointTable { endpoints }));
        self.progress.send_if_modified(|progress| {
            std::mem::replace(&mut progress.endpoints, ready_count) != ready_count
        });
    }

    /// Publishes the table after [`PUBLISH_DELAY_MS`], once for all reports until then: each publication copies
    /// the whole table.
    fn schedule_publish(&mut self, actor: &ActorRef<Self>) {
        if self.publish_pending {
            return;
        }
        self.publish_pending = true;
        let actor = actor.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(PUBLISH_DELAY_MS)).await;
            let _ = actor.tell(PublishTable).try_send();
        });
    }

    fn on_connected(&mut self, link: Arc<Link>, hello: Hello) {
        let instance = link.instance.clone();
        log::info!("endpoint connected instance={instance} incarnation={}", hello.incarnation);
        let endpoint = ConnectedEndpoint {
            link,
            incarnation: hello.incarnation,
            kind: hello.endpoint_kind,
            version: hello.version,
            admin_address: hello.admin_address,
            draining: false,
            load: Load::default(),
            connected_at: self.clock.now(),
        };
        self.endpoints.insert(instance, endpoint);
    }

    /// The endpoint connected by `link`. An instance that returns under another address has a new link, and
    /// late events of the old link do not apply to it.
    fn endpoint_of_link(&mut self, link: &Arc<Link>) -> Option<&mut ConnectedEndpoint> {
        self.endpoints.get_mut(&link.instance).filter(|endpoint| Arc::ptr_eq(&endpoint.link, link))
    }

    fn remove(&mut self, link: &Arc<Link>) -> bool {
        self.endpoint_of_link(link).is_some() && self.endpoints.remove(&link.instance).is_some()
    }

    fn on_disconnected(&mut self, link: &Arc<Link>, silent: bool) {
        if silent {
            self.metrics.connections_silent.inc();
        }
        if self.remove(link) {
            log::info!("endpoint disconnected instance={} silent={silent}", link.instance);
        }
    }
}

impl Message<LinkEvent> for LoadController {
    type Reply = ();

    async fn handle(&mut self, event: LinkEvent, context: &mut Context<Self, ()>) {
        let LinkEvent { link, kind } = event;
        match kind {
            LinkEventKind::Connected(hello) => self.on_connected(link, *hello),
            LinkEventKind::Disconnected { silent } => self.on_disconnected(&link, silent),
            LinkEventKind::Removed => {
                self.remove(&link);
            }
            LinkEventKind::Load(load) => {
                let Some(endpoint) = self.endpoint_of_link(&link) else { return };
                let had_capacity = endpoint.load.capacity > 0;
                endpoint.load = load;
                // A change between no capacity and some capacity is published immediately.
                if had_capacity == (load.capacity > 0) {
                    self.schedule_publish(context.actor_ref());
                    return;
                }
            }
            LinkEventKind::Draining => {
                if let Some(endpoint) = self.endpoint_of_link(&link) {
                    endpoint.draining = true;
                    log::info!("endpoint draining instance={}", link.instance);
                }
            }
        }
        self.publish();
    }
}

impl Message<PublishTable> for LoadController {
    type Reply = ();

    async fn handle(&mut self, _: PublishTable, _: &mut Context<Self, ()>) {
        self.publish_pending = false;
        self.publish();
    }
}
