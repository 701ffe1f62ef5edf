//! The load controller: connected endpoints, what they serve and how busy they are.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::watch;

use crate::adapters::peer::link::Link;
use crate::clock::{Clock, Timestamp};
use crate::controllers::Progress;
use crate::ids::{EndpointKindName, Incarnation, InstanceId, VersionName};
use crate::metrics::Metrics;
use crate::wire::message::{Hello, Load};

/// What a link tells the controllers.
#[derive(Debug)]
pub(crate) struct LinkEvent {
    pub(crate) link: Arc<Link>,
    pub(crate) kind: LinkEventKind,
}

/// What has happened on a link.
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
pub(crate) struct EndpointView {
    pub(crate) link: Arc<Link>,
    pub(crate) incarnation: Incarnation,
    pub(crate) kind: Option<EndpointKindName>,
    pub(crate) version: Option<VersionName>,
    pub(crate) admin_address: Option<SocketAddr>,
    pub(crate) draining: bool,
    pub(crate) load: Load,
    pub(crate) opened: Timestamp,
}

/// All connected endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) endpoints: Vec<EndpointView>,
}

/// Sends events to the load controller.
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

/// Owns the table of connected endpoints.
#[derive(Actor)]
pub(crate) struct LoadController {
    endpoints: HashMap<InstanceId, EndpointView>,
    published: Arc<ArcSwap<EndpointTable>>,
    progress: watch::Sender<Progress>,
    clock: Clock,
    metrics: Arc<Metrics>,
}

impl LoadController {
    /// Starts the controller on the present runtime.
    pub(crate) fn start(
        published: Arc<ArcSwap<EndpointTable>>,
        progress: watch::Sender<Progress>,
        clock: Clock,
        metrics: Arc<Metrics>,
    ) -> LoadHandle {
        let controller = Self { endpoints: HashMap::new(), published, progress, clock, metrics };
        LoadHandle { actor: Self::spawn_with_mailbox(controller, mailbox::unbounded()) }
    }

    fn publish(&self) {
        let mut endpoints: Vec<EndpointView> = self.endpoints.values().cloned().collect();
        endpoints.sort_by(|a, b| a.link.instance.cmp(&b.link.instance));
        self.metrics.endpoints_connected.set(i64::try_from(endpoints.len()).unwrap_or(i64::MAX));
        // An endpoint takes requests once it has reported room.
        let connected = endpoints.iter().filter(|e| e.load.capacity > 0).count();
        self.published.store(Arc::new(EndpointTable { endpoints }));
        self.progress.send_if_modified(|progress| {
            std::mem::replace(&mut progress.endpoints, connected) != connected
        });
    }

    fn connected(&mut self, link: Arc<Link>, hello: Hello) {
        let instance = link.instance.clone();
        log::info!("endpoint connected instance={instance} incarnation={}", hello.incarnation);
        let view = EndpointView {
            link,
            incarnation: hello.incarnation,
            kind: hello.endpoint_kind,
            version: hello.version,
            admin_address: hello.admin_address,
            draining: false,
            load: Load::default(),
            opened: self.clock.now(),
        };
        self.endpoints.insert(instance, view);
    }

    /// The view that a link has brought. An instance that comes back under another address has a new
    /// link, and what the old one still tells is not about it.
    fn view_of(&mut self, link: &Arc<Link>) -> Option<&mut EndpointView> {
        self.endpoints.get_mut(&link.instance).filter(|view| Arc::ptr_eq(&view.link, link))
    }

    fn remove(&mut self, link: &Arc<Link>) -> bool {
        self.view_of(link).is_some() && self.endpoints.remove(&link.instance).is_some()
    }

    fn disconnected(&mut self, link: &Arc<Link>, silent: bool) {
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

    async fn handle(&mut self, event: LinkEvent, _: &mut Context<Self, ()>) {
        let LinkEvent { link, kind } = event;
        match kind {
            LinkEventKind::Connected(hello) => self.connected(link, *hello),
            LinkEventKind::Disconnected { silent } => self.disconnected(&link, silent),
            LinkEventKind::Removed => {
                self.remove(&link);
            }
            LinkEventKind::Load(load) => {
                if let Some(endpoint) = self.view_of(&link) {
                    endpoint.load = load;
                }
            }
            LinkEventKind::Draining => {
                if let Some(endpoint) = self.view_of(&link) {
                    endpoint.draining = true;
                    log::info!("endpoint draining instance={}", link.instance);
                }
            }
        }
        self.publish();
    }
}
