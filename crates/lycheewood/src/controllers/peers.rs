//! The peers controller: other entry instances, and state fetched from them when the platform cannot be
//! reached.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::adapters::gossip;
use crate::controllers::routes::{Adopt, RoutesController};
use crate::controllers::servers::{Export, ServerNews, ServersController};
use crate::decisions::peers::{LagWatch, OwnState, PeerFold};
use crate::gateway::GatewayState;
use crate::lifecycle::shutdown::Phase;
use crate::wire::heartbeat::{About, Heartbeat, SharedState, server_tag};

/// The first heartbeats of a run say all, and so does each of this many later ones.
const ABOUT_FIRST: u64 = 4;
const ABOUT_EVERY: u64 = 8;

/// A heartbeat of another instance.
struct Heard {
    from: SocketAddr,
    heartbeat: Heartbeat,
}

/// Time for the next heartbeat.
struct Beat;

/// Addresses of instances, from the platform's list or from another instance.
pub(crate) struct Name {
    pub(crate) addresses: Vec<SocketAddr>,
}

/// A fetch of state has ended.
struct Fetched;

/// Gives this instance's state to others.
pub(crate) struct StateSource {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) servers: ActorRef<ServersController>,
}

impl StateSource {
    /// The state as it is now.
    pub(crate) async fn state(&self) -> SharedState {
        let routes = self.state.routes.load_full().map(|routes| routes.raw.clone());
        let servers_end = self.state.servers.load().table.next;
        let servers = self.servers.ask(Export).await.unwrap_or_default();
        let mut peers: Vec<SocketAddr> = self.state.peers.load().peers.keys().copied().collect();
        peers.push(self.state.settings.peer_address);
        SharedState { routes, servers, servers_end, peers }
    }
}

/// Owns what is known of other instances.
#[derive(Actor)]
pub(crate) struct PeersController {
    state: Arc<GatewayState>,
    fold: PeerFold,
    lag: LagWatch,
    sequence: u64,
    is_fetching: bool,
    socket: Arc<UdpSocket>,
    routes: ActorRef<RoutesController>,
    servers: ActorRef<ServersController>,
}

impl PeersController {
    /// Starts the controller, its reader and its timer on the present runtime.
    pub(crate) fn start(
        state: Arc<GatewayState>,
        socket: UdpSocket,
        routes: ActorRef<RoutesController>,
        servers: ActorRef<ServersController>,
    ) -> ActorRef<Self> {
        let socket = Arc::new(socket);
        let mut fold = PeerFold::default();
        for seed in &state.settings.seeds {
            fold.name(*seed, state.clock.now());
        }
        let (heartbeat_ms, phases) = (state.settings.heartbeat_ms, state.phases());
        let controller = Self {
            state,
            fold,
            lag: LagWatch::default(),
            sequence: 0,
            is_fetching: false,
            socket: Arc::clone(&socket),
            routes,
            servers,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(read(socket, actor.clone()));
        tokio::spawn(beat(actor.clone(), heartbeat_ms, phases));
        actor
    }

    fn heartbeat(&mut self) -> Heartbeat {
        let state = &self.state;
        self.sequence += 1;
        let says_all = self.sequence <= ABOUT_FIRST || self.sequence.is_multiple_of(ABOUT_EVERY);
        let about = says_all.then(|| About {
            instance: state.settings.instance.clone(),
            failure_domain: state.settings.failure_domain.clone(),
            caller_address: state.settings.caller_address,
        });
        let in_flight = state.loads.in_flight();
        Heartbeat {
            about,
            incarnation: state.incarnation,
            sequence: self.sequence,
            is_ready: state.is_ready(),
            leading: state.leading(),
            route_version: state.routes.load().as_ref().map(|routes| routes.table.version),
            servers_next: state.servers.load().table.next,
            in_flight: in_flight.iter().map(|(id, count)| (server_tag(id), *count)).collect(),
        }
    }

    fn publish(&self) {
        let now = self.state.clock.now();
        let table = self.fold.table(now);
        let ready = table.peers.values().filter(|peer| peer.may_be_told(now)).count();
        self.state.metrics.peers_heard.set(i64::try_from(ready).unwrap_or(i64::MAX));
        self.state.peers.store(Arc::new(table));
        self.state.capacity.notify_waiters();
    }

    /// Fetches state from another instance if this one lacks what the other has.
    fn catch_up(&mut self, actor: ActorRef<Self>) {
        if self.is_fetching {
            return;
        }
        let servers = self.state.servers.load();
        let own = OwnState {
            route_version: self.state.routes.load().as_ref().map(|routes| routes.table.version),
            servers_next: servers.table.next,
        };
        let peers = self.state.peers.load();
        let Some(source) = self.lag.source(&own, &peers, self.state.clock.now()) else { return };
        self.is_fetching = true;
        let (state, routes, servers) =
            (Arc::clone(&self.state), self.routes.clone(), self.servers.clone());
        tokio::spawn(async move {
            let result = match gossip::fetch(source).await {
                Ok(shared) => {
                    apply(&actor, &routes, &servers, shared).await;
                    "ok"
                }
                Err(error) => {
                    log::warn!("state fetch failed from={source} reason=\"{error}\"");
                    "failed"
                }
            };
            state.metrics.state_fetches.with_label_values(&[result]).inc();
            let _ = actor.tell(Fetched).await;
        });
    }
}

async fn apply(
    peers: &ActorRef<PeersController>,
    routes: &ActorRef<RoutesController>,
    servers: &ActorRef<ServersController>,
    shared: SharedState,
) {
    // The controllers live as long as the process, so none of these fails.
    if let Some(raw) = shared.routes {
        let _ = routes.tell(Adopt { raw, source: "peer" }).await;
    }
    let news =
        ServerNews::Newest { changes: shared.servers, end: shared.servers_end, source: "peer" };
    let _ = servers.tell(news).await;
    let _ = peers.tell(Name { addresses: shared.peers }).await;
}

impl Message<Heard> for PeersController {
    type Reply = ();

    async fn handle(&mut self, heard: Heard, context: &mut Context<Self, ()>) {
        let Heard { from, heartbeat } = heard;
        let now = self.state.clock.now();
        let is_ready = heartbeat.is_ready;
        let former = self.state.peers.load().peers.get(&from).map(|peer| peer.may_be_told(now));
        if !self.fold.apply(from, heartbeat, now) {
            return;
        }
        if former != Some(is_ready) {
            log::info!("peer changed address={from} ready={is_ready} former={former:?}");
        }
        self.publish();
        self.catch_up(context.actor_ref().clone());
    }
}

impl Message<Beat> for PeersController {
    type Reply = ();

    async fn handle(&mut self, _: Beat, _: &mut Context<Self, ()>) {
        self.fold.expire(self.state.clock.now());
        let heartbeat = self.heartbeat();
        let own = self.state.settings.peer_address;
        gossip::send(&self.socket, &heartbeat, self.fold.addresses().filter(|a| *a != own));
        self.publish();
    }
}

impl Message<Name> for PeersController {
    type Reply = ();

    async fn handle(&mut self, Name { addresses }: Name, _: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        let own = self.state.settings.peer_address;
        for address in addresses.into_iter().filter(|address| *address != own) {
            self.fold.name(address, now);
        }
    }
}

impl Message<Fetched> for PeersController {
    type Reply = ();

    async fn handle(&mut self, _: Fetched, _: &mut Context<Self, ()>) {
        self.is_fetching = false;
    }
}

async fn read(socket: Arc<UdpSocket>, actor: ActorRef<PeersController>) {
    loop {
        match gossip::receive(&socket).await {
            Ok((from, heartbeat)) => {
                if actor.tell(Heard { from, heartbeat }).await.is_err() {
                    return;
                }
            }
            // A peer whose port is closed shows as an error of the socket; the socket still works.
            Err(error) => log::debug!("datagram error reason=\"{error}\""),
        }
    }
}

/// Wakes the controller for each heartbeat, and at once when this instance begins to leave.
async fn beat(
    actor: ActorRef<PeersController>,
    heartbeat_ms: u64,
    mut phases: tokio::sync::watch::Receiver<Phase>,
) {
    let mut interval = interval(Duration::from_millis(heartbeat_ms));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            changed = phases.changed() => if changed.is_err() { return },
        }
        if actor.tell(Beat).await.is_err() {
            return;
        }
    }
}
