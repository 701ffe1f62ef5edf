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
use crate::controllers::endpoint_list::{EndpointListController, EndpointListUpdate, Export};
use crate::controllers::routes::{Adopt, RoutesController};
use crate::decisions::peers::PeerTracker;
use crate::decisions::readers::{LagMonitor, LocalState, ReaderCandidate, ReaderElection};
use crate::gateway::GatewayState;
use crate::wire::heartbeat::{About, Heartbeat, SharedState, endpoint_tag};

/// The first heartbeats of a run say all and go to all, and so does each of this many later ones.
const ABOUT_FIRST: u64 = 4;
const ABOUT_EVERY: u64 = 9;
/// Each of this many heartbeats goes to all instances, the others to those of the own failure domain. Bytes
/// between domains have a price; an instance counts as silent after 1,500 ms, more than twice this.
const FAR_EVERY: u64 = 3;

/// A heartbeat of another instance.
struct Heard {
    from: SocketAddr,
    heartbeat: Heartbeat,
}

/// Time for the next heartbeat.
struct Beat {
    /// Whether it is a change that all instances should hear of.
    is_for_all: bool,
}

/// Addresses of instances, from the platform's list or from another instance.
pub(crate) struct AddPeers {
    pub(crate) addresses: Vec<SocketAddr>,
}

/// A fetch of state has ended.
struct Fetched {
    source: SocketAddr,
    is_success: bool,
}

/// Gives this instance's state to others.
pub(crate) struct StateSource {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) endpoints: ActorRef<EndpointListController>,
}

impl StateSource {
    /// The parts of the state that are asked for, as they are now.
    pub(crate) async fn state(&self, routes: bool, endpoints: bool) -> SharedState {
        let routes = self.state.routes.load_full().filter(|_| routes);
        let routes = routes.map(|routes| routes.raw.clone());
        let endpoints = if endpoints { self.endpoints.ask(Export).await.ok() } else { None };
        let mut peers: Vec<SocketAddr> = self.state.peers.load().peers.keys().copied().collect();
        peers.push(self.state.settings.peer_address);
        SharedState { routes, endpoints, peers }
    }
}

/// Owns what is known of other instances.
#[derive(Actor)]
pub(crate) struct PeersController {
    state: Arc<GatewayState>,
    tracker: PeerTracker,
    lag: LagMonitor,
    election: ReaderElection,
    sequence: u64,
    is_fetching: bool,
    socket: Arc<UdpSocket>,
    routes: ActorRef<RoutesController>,
    endpoints: ActorRef<EndpointListController>,
}

impl PeersController {
    /// Starts the controller, its reader and its timer on the present runtime.
    pub(crate) fn start(
        state: Arc<GatewayState>,
        socket: UdpSocket,
        routes: ActorRef<RoutesController>,
        endpoints: ActorRef<EndpointListController>,
    ) -> ActorRef<Self> {
        let socket = Arc::new(socket);
        let mut tracker = PeerTracker::default();
        for seed in &state.settings.seeds {
            tracker.add_address(*seed, state.clock.now());
        }
        let (heartbeat_ms, shared) = (state.settings.heartbeat_ms, Arc::clone(&state));
        let controller = Self {
            state,
            tracker,
            lag: LagMonitor::default(),
            election: ReaderElection::default(),
            sequence: 0,
            is_fetching: false,
            socket: Arc::clone(&socket),
            routes,
            endpoints,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(read(socket, actor.clone()));
        tokio::spawn(beat(actor.clone(), heartbeat_ms, shared));
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
            endpoints_next: state.endpoints.load().table.next,
            reads: *state.is_reader.borrow() && state.is_healthy_reader(),
            in_flight: in_flight.iter().map(|(id, count)| (endpoint_tag(id), *count)).collect(),
        }
    }

    fn publish(&mut self) {
        let now = self.state.clock.now();
        let table = self.tracker.table(now);
        let own = ReaderCandidate {
            instance: &self.state.settings.instance,
            failure_domain: &self.state.settings.failure_domain,
            is_healthy: self.state.is_healthy_reader(),
        };
        let is_reader = self.election.update(&own, &table, now);
        let is_changed = self
            .state
            .is_reader
            .send_if_modified(|current| std::mem::replace(current, is_reader) != is_reader);
        if is_changed {
            log::info!("reader role changed has_duty={is_reader} reads_well={}", own.is_healthy);
        }
        let ready = table.peers.values().filter(|peer| peer.is_advertisable(now)).count();
        self.state.metrics.peers_heard.set(i64::try_from(ready).unwrap_or(i64::MAX));
        self.state.peers.store(Arc::new(table));
        self.state.capacity_changed.notify_waiters();
    }

    /// Fetches state from another instance if this one lacks what the other has.
    fn catch_up(&mut self, actor: ActorRef<Self>) {
        if self.is_fetching {
            return;
        }
        let own = LocalState {
            failure_domain: &self.state.settings.failure_domain,
            is_reader: *self.state.is_reader.borrow(),
            route_version: self.state.routes.load().as_ref().map(|routes| routes.table.version),
            endpoints_next: self.state.endpoints.load().table.next,
        };
        let peers = self.state.peers.load();
        let now = self.state.clock.now();
        let Some(fetch) = self.lag.next_fetch(&own, &peers, now, rand::random()) else { return };
        self.is_fetching = true;
        let (state, routes, endpoints) =
            (Arc::clone(&self.state), self.routes.clone(), self.endpoints.clone());
        tokio::spawn(async move {
            let source = fetch.source;
            let fetched = gossip::fetch(&fetch).await;
            let is_success = fetched.is_ok();
            match fetched {
                Ok(shared) => apply(&actor, &routes, &endpoints, shared).await,
                Err(error) => log::warn!("state fetch failed from={source} reason=\"{error}\""),
            }
            let result = if is_success { "ok" } else { "failed" };
            state.metrics.state_fetches.with_label_values(&[result]).inc();
            let _ = actor.tell(Fetched { source, is_success }).await;
        });
    }
}

async fn apply(
    peers: &ActorRef<PeersController>,
    routes: &ActorRef<RoutesController>,
    endpoints: &ActorRef<EndpointListController>,
    shared: SharedState,
) {
    // The controllers live as long as the process, so none of these fails.
    if let Some(raw) = shared.routes {
        let _ = routes.tell(Adopt { raw, source: "peer" }).await;
    }
    if let Some(list) = shared.endpoints {
        let _ = endpoints.tell(EndpointListUpdate::Shared(list)).await;
    }
    let _ = peers.tell(AddPeers { addresses: shared.peers }).await;
}

impl Message<Heard> for PeersController {
    type Reply = ();

    async fn handle(&mut self, heard: Heard, context: &mut Context<Self, ()>) {
        let Heard { from, heartbeat } = heard;
        let now = self.state.clock.now();
        let is_ready = heartbeat.is_ready;
        let former = self.state.peers.load().peers.get(&from).map(|peer| peer.is_advertisable(now));
        if !self.tracker.apply(from, heartbeat, now) {
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

    async fn handle(&mut self, Beat { is_for_all }: Beat, _: &mut Context<Self, ()>) {
        self.tracker.expire(self.state.clock.now());
        let heartbeat = self.heartbeat();
        let settings = &self.state.settings;
        // Others must not take a holder of the lease for silent.
        let is_for_all = is_for_all
            || heartbeat.leading.is_some()
            || self.sequence <= ABOUT_FIRST
            || self.sequence.is_multiple_of(FAR_EVERY);
        let domain = Some(&settings.failure_domain).filter(|_| !is_for_all);
        let addresses = self.tracker.addresses(domain).filter(|a| *a != settings.peer_address);
        gossip::send(&self.socket, &heartbeat, addresses);
        self.publish();
    }
}

impl Message<AddPeers> for PeersController {
    type Reply = ();

    async fn handle(&mut self, AddPeers { addresses }: AddPeers, _: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        let own = self.state.settings.peer_address;
        for address in addresses.into_iter().filter(|address| *address != own) {
            self.tracker.add_address(address, now);
        }
    }
}

impl Message<Fetched> for PeersController {
    type Reply = ();

    async fn handle(&mut self, fetched: Fetched, _: &mut Context<Self, ()>) {
        self.is_fetching = false;
        self.lag.on_fetch_result(fetched.source, fetched.is_success);
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

/// Wakes the controller for each heartbeat, and at once when this instance begins to leave or has news that
/// others wait for.
async fn beat(actor: ActorRef<PeersController>, heartbeat_ms: u64, state: Arc<GatewayState>) {
    let mut phases = state.subscribe_phase();
    let mut interval = interval(Duration::from_millis(heartbeat_ms));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut is_for_all = false;
        tokio::select! {
            _ = interval.tick() => {}
            changed = phases.changed() => {
                if changed.is_err() {
                    return;
                }
                is_for_all = true;
            }
            () = state.early_heartbeat.notified() => {}
        }
        if actor.tell(Beat { is_for_all }).await.is_err() {
            return;
        }
    }
}
