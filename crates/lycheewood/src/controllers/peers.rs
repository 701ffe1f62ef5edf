//! The peers controller: exchanges heartbeats with the other entry instances, and fetches state from them
//! that this instance does not have.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::adapters::gossip::{self, Datagram, DatagramReceiver};
use crate::clock::Timestamp;
use crate::controllers::endpoint_list::{EndpointListController, EndpointListUpdate, ExportList};
use crate::controllers::gateway_quarantine::{EntriesReceived, GatewayQuarantine};
use crate::controllers::permits::{PermitMessageReceived, PermitsController};
use crate::controllers::routes::{PEER_SOURCE, RoutesController, UpdateEvacuations, UpdateRoutes};
use crate::decisions::cold::{FleetEstimate, FleetView};
use crate::decisions::endpoint_limits::{LimitReport, RequestRate};
use crate::decisions::peers::{PeerTracker, encode_failures};
use crate::decisions::readers::{LagMonitor, LocalState, ReaderCandidate, ReaderElection};
use crate::gateway::GatewayState;
use crate::wire::heartbeat::{
    About, Evacuations, Heartbeat, HeartbeatExtension, SharedState, endpoint_tag,
};

/// Number of heartbeats after the start that contain `about` and are sent to all instances.
const INITIAL_FULL_HEARTBEATS: u64 = 4;
/// One of this many later heartbeats contains `about`. A multiple of [`HEARTBEATS_PER_CROSS_DOMAIN`], so that
/// it is sent to all instances.
const HEARTBEATS_PER_FULL: u64 = 9;
/// One of this many heartbeats is sent to all instances, the others only within the failure domain, because
/// traffic between domains is billed. An instance counts as silent after 1,500 ms, more than twice the
/// resulting interval.
const HEARTBEATS_PER_CROSS_DOMAIN: u64 = 3;
/// Minimum time between two publications of the peer table that heartbeats cause, in milliseconds. A publication
/// takes time in proportion to the number of instances, and so does the number of heartbeats. What is left out is
/// published with the next heartbeat of this instance at the latest.
const PUBLISH_INTERVAL_MS: u64 = 50;
/// The same for a heartbeat that tells a change other than that of requests in flight, in milliseconds.
const NEWS_PUBLISH_INTERVAL_MS: u64 = 10;

/// A heartbeat has arrived from another instance.
struct HeartbeatReceived {
    from: SocketAddr,
    heartbeat: Heartbeat,
}

/// Sends a heartbeat.
struct SendHeartbeat {
    /// Whether to send it to all instances, because it reports a change that concerns all of them.
    is_broadcast: bool,
}

/// Adds peer addresses from the platform's list or from another instance.
pub(crate) struct AddPeers {
    pub(crate) addresses: Vec<SocketAddr>,
}

/// A fetch of state from another instance has finished.
struct FetchFinished {
    source: SocketAddr,
    /// The state, or `None` if the fetch has failed.
    state: Option<Box<SharedState>>,
}

/// Source of the state that this instance shares with others.
pub(crate) struct StateSource {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) endpoints: ActorRef<EndpointListController>,
}

impl StateSource {
    /// Returns the requested parts of the current state. Peer addresses are always included.
    pub(crate) async fn state(&self, routes: bool, endpoints: bool) -> SharedState {
        let routes = self.state.routes.load_full().filter(|_| routes);
        let routes = routes.map(|routes| routes.raw.clone());
        let endpoints = if endpoints { self.endpoints.ask(ExportList).await.ok() } else { None };
        let mut peers: Vec<SocketAddr> = self.state.peers.load().peers.keys().copied().collect();
        peers.push(self.state.settings.peer_address);
        let evacuations = self.state.evacuations.load().evacuations();
        SharedState { routes, endpoints, peers, evacuations }
    }
}

/// Owns the state of the other instances, and sends the heartbeats of this one.
#[derive(Actor)]
pub(crate) struct PeersController {
    state: Arc<GatewayState>,
    tracker: PeerTracker,
    lag: LagMonitor,
    election: ReaderElection,
    fleet: FleetEstimate,
    sequence: u64,
    /// When the peer table was last published.
    published_at: Timestamp,
    is_fetching: bool,
    socket: Arc<UdpSocket>,
    routes: ActorRef<RoutesController>,
    endpoints: ActorRef<EndpointListController>,
}

impl PeersController {
    /// Starts the controller, its datagram receiver and its timer on the current runtime.
    pub(crate) fn start(
        state: Arc<GatewayState>,
        socket: Arc<UdpSocket>,
        routes: ActorRef<RoutesController>,
        endpoints: ActorRef<EndpointListController>,
        quarantine: ActorRef<GatewayQuarantine>,
        permits: ActorRef<PermitsController>,
    ) -> ActorRef<Self> {
        let mut tracker = PeerTracker::default();
        for seed in &state.settings.seeds {
            tracker.add_address(*seed, state.clock.now());
        }
        let fleet = FleetEstimate::new(state.clock.now());
        let unreadable = state.metrics.limits.datagrams_unreadable.clone();
        let receiver = DatagramReceiver::new(Arc::clone(&socket), state.clock, unreadable);
        let (heartbeat_ms, shared) = (state.settings.heartbeat_ms, Arc::clone(&state));
        let controller = Self {
            state,
            tracker,
            lag: LagMonitor::default(),
            election: ReaderElection::default(),
            fleet,
            sequence: 0,
            published_at: Timestamp::default(),
            is_fetching: false,
            socket,
            routes,
            endpoints,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(receive_datagrams(receiver, actor.clone(), quarantine, permits));
        tokio::spawn(schedule_heartbeats(actor.clone(), heartbeat_ms, shared));
        actor
    }

    /// Builds the next heartbeat.
    fn next_heartbeat(&mut self) -> Heartbeat {
        let state = &self.state;
        self.sequence += 1;
        let is_full = self.sequence <= INITIAL_FULL_HEARTBEATS
            || self.sequence.is_multiple_of(HEARTBEATS_PER_FULL);
        let about = is_full.then(|| About {
            instance: state.settings.instance.clone(),
            failure_domain: state.settings.failure_domain.clone(),
            caller_address: state.settings.caller_address,
            processor_millicores: state.settings.processor_millicores,
        });
        let (in_flight, work_ms) = (state.loads.in_flight(), state.loads.work.work_ms());
        let failures = state.loads.failures(state.clock.now()).into_iter();
        let failures = failures.map(|(id, weight)| (endpoint_tag(&id), encode_failures(weight)));
        let failures = failures.collect();
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
            extension: HeartbeatExtension {
                work_ms: work_ms.iter().map(|(id, ms)| (endpoint_tag(id), *ms)).collect(),
                failures,
                waiting: state.waiting_room.waiting(),
                evacuations: state.evacuations.load().evacuations(),
                limits: state.limits.reports(state.clock.now()),
            },
        }
    }

    /// Passes on the evacuated domains of another instance if it has read further. At once and from every instance,
    /// because the reader of the own domain may be slow.
    fn adopt_evacuations(&self, evacuations: Option<Evacuations>) {
        let known = self.state.evacuations.load().next();
        if let Some(state) = evacuations.filter(|state| state.next > known) {
            let update = UpdateEvacuations::State { state, source: PEER_SOURCE };
            let _ = self.routes.tell(update).try_send();
        }
    }

    /// Takes in the limits that another instance has read in responses.
    fn adopt_limits(&self, limits: &[LimitReport], now: Timestamp) {
        for LimitReport { tag, limit, .. } in self.state.limits.adopt(limits, now) {
            let per_s = limit.map(RequestRate::per_s);
            log::info!("endpoint limit tag={tag:08x} per_s={per_s:?} source=peer");
            // Requests that wait for a permit need none any more.
            if limit.is_none() {
                self.state.waiting_room.wake();
            }
        }
    }

    /// Publishes the peer table and the outcome of the reader election.
    fn publish(&mut self) {
        let now = self.state.clock.now();
        let table = self.tracker.table(now);
        let candidate = ReaderCandidate {
            instance: &self.state.settings.instance,
            failure_domain: &self.state.settings.failure_domain,
            is_healthy: self.state.is_healthy_reader(),
        };
        let is_reader = self.election.update(&candidate, &table, now);
        self.state.record_list_read(candidate.domain_has_reader(is_reader, &table, now), now);
        let is_changed = self
            .state
            .is_reader
            .send_if_modified(|current| std::mem::replace(current, is_reader) != is_reader);
        if is_changed {
            log::info!(
                "reader role changed has_duty={is_reader} reads_well={}",
                candidate.is_healthy
            );
        }
        let ready = table.peers.values().filter(|peer| peer.is_advertisable(now)).count();
        self.state.metrics.peers_heard.set(i64::try_from(ready).unwrap_or(i64::MAX));
        // Only the requests that are next in turn look at the endpoints then.
        self.state.waiting_room.observe(table.waiting());
        self.state.loads.work.set_instances(ready + 1);
        self.state.peers.store(Arc::new(table));
        self.state.waiting_room.wake();
        self.update_fleet(now);
        self.published_at = now;
    }

    /// Updates the number of gateways that share the limits of cold endpoints.
    fn update_fleet(&mut self, now: Timestamp) {
        let view = self.tracker.fleet(self.state.settings.peer_address, now);
        let fleet = self.fleet.update(&view, now);
        if self.state.cold.set_fleet(fleet) != fleet {
            let FleetView { heard, known, unconfirmed } = view;
            log::info!(
                "fleet changed assumed={fleet} heard={heard} known={known} unconfirmed={unconfirmed}"
            );
            self.state.metrics.routing.fleet_assumed.set(i64::from(fleet));
        }
    }

    /// Fetches state from another instance if that one has newer state and no fetch is running.
    fn fetch_if_behind(&mut self, actor: ActorRef<Self>) {
        if self.is_fetching {
            return;
        }
        let local_state = LocalState {
            failure_domain: &self.state.settings.failure_domain,
            is_reader: *self.state.is_reader.borrow(),
            route_version: self.state.routes.load().as_ref().map(|routes| routes.table.version),
            endpoints_next: self.state.endpoints.load().table.next,
        };
        let peers = self.state.peers.load();
        let now = self.state.clock.now();
        let Some(fetch) = self.lag.next_fetch(&local_state, &peers, now, rand::random()) else {
            return;
        };
        self.is_fetching = true;
        tokio::spawn(async move {
            let source = fetch.source;
            let state = match gossip::fetch(&fetch).await {
                Ok(state) => Some(Box::new(state)),
                Err(error) => {
                    log::warn!("state fetch failed from={source} reason=\"{error}\"");
                    None
                }
            };
            let _ = actor.tell(FetchFinished { source, state }).await;
        });
    }

    /// Passes fetched state to the controllers.
    fn apply_shared_state(&mut self, shared: SharedState, now: Timestamp) {
        // The mailboxes are unbounded, and the controllers live as long as the process, so no send fails.
        // Before the routes, so that an instance that starts does not serve without it.
        if let Some(state) = shared.evacuations {
            let update = UpdateEvacuations::State { state, source: PEER_SOURCE };
            let _ = self.routes.tell(update).try_send();
        }
        if let Some(raw) = shared.routes {
            let _ = self.routes.tell(UpdateRoutes { raw, source: PEER_SOURCE }).try_send();
        }
        if let Some(mut list) = shared.endpoints {
            list.lapse_left_ms = list.lapse_left_ms.min(self.state.list_grace_left_ms());
            let _ = self.endpoints.tell(EndpointListUpdate::Shared(list)).try_send();
        }
        self.add_peers(shared.peers, now);
    }

    fn add_peers(&mut self, addresses: Vec<SocketAddr>, now: Timestamp) {
        let own_address = self.state.settings.peer_address;
        for address in addresses.into_iter().filter(|address| *address != own_address) {
            self.tracker.add_address(address, now);
        }
    }
}

impl Message<HeartbeatReceived> for PeersController {
    type Reply = ();

    async fn handle(&mut self, received: HeartbeatReceived, context: &mut Context<Self, ()>) {
        let HeartbeatReceived { from, heartbeat } = received;
        let now = self.state.clock.now();
        let is_ready = heartbeat.is_ready;
        let former = self.tracker.peer(from);
        let was_ready = former.map(|peer| peer.is_advertisable(now));
        let is_news = former.is_none_or(|peer| peer.heartbeat.differs_in_state(&heartbeat));
        let evacuations = heartbeat.extension.evacuations.clone();
        let limits = heartbeat.extension.limits.clone();
        if !self.tracker.apply(from, heartbeat, now) {
            return;
        }
        self.adopt_evacuations(evacuations);
        self.adopt_limits(&limits, now);
        if was_ready != Some(is_ready) {
            log::info!("peer changed address={from} ready={is_ready} former={was_ready:?}");
        }
        let interval_ms = if is_news { NEWS_PUBLISH_INTERVAL_MS } else { PUBLISH_INTERVAL_MS };
        if now.ms_since(self.published_at) >= interval_ms {
            self.publish();
            self.fetch_if_behind(context.actor_ref().clone());
        }
    }
}

impl Message<SendHeartbeat> for PeersController {
    type Reply = ();

    async fn handle(
        &mut self,
        SendHeartbeat { is_broadcast }: SendHeartbeat,
        context: &mut Context<Self, ()>,
    ) {
        let now = self.state.clock.now();
        self.state.record_tick(now);
        self.tracker.expire(now);
        let mut heartbeat = self.next_heartbeat();
        let settings = &self.state.settings;
        // A lease holder sends every heartbeat to all instances, because its silence allows a takeover.
        let waiting = &heartbeat.extension.waiting;
        let is_broadcast = is_broadcast
            || self.state.waiting_room.is_news(waiting)
            || heartbeat.leading.is_some()
            || self.sequence <= INITIAL_FULL_HEARTBEATS
            || self.sequence.is_multiple_of(HEARTBEATS_PER_CROSS_DOMAIN);
        let is_other = |address: &SocketAddr| *address != settings.peer_address;
        let near = self.tracker.addresses(Some(&settings.failure_domain));
        let near: BTreeSet<SocketAddr> = near.filter(is_other).collect();
        gossip::send(&self.socket, &heartbeat, near.iter().copied());
        if is_broadcast {
            // Bytes between domains are billed. Other domains count requests in flight, which are in each heartbeat.
            heartbeat.extension.work_ms.clear();
            let far = self.tracker.addresses(None).filter(|address| !near.contains(address));
            gossip::send(&self.socket, &heartbeat, far.filter(is_other));
            self.state.waiting_room.record_told(heartbeat.extension.waiting);
        }
        self.publish();
        self.fetch_if_behind(context.actor_ref().clone());
    }
}

impl Message<AddPeers> for PeersController {
    type Reply = ();

    async fn handle(&mut self, AddPeers { addresses }: AddPeers, _: &mut Context<Self, ()>) {
        self.add_peers(addresses, self.state.clock.now());
    }
}

impl Message<FetchFinished> for PeersController {
    type Reply = ();

    async fn handle(&mut self, finished: FetchFinished, _: &mut Context<Self, ()>) {
        let FetchFinished { source, state } = finished;
        self.is_fetching = false;
        self.lag.on_fetch_result(source, state.is_some());
        let result = if state.is_some() { "ok" } else { "failed" };
        self.state.metrics.state_fetches.with_label_values(&[result]).inc();
        if let Some(state) = state {
            self.apply_shared_state(*state, self.state.clock.now());
        }
    }
}

/// Passes received heartbeats and quarantine entries to the controllers.
async fn receive_datagrams(
    mut receiver: DatagramReceiver,
    actor: ActorRef<PeersController>,
    quarantine: ActorRef<GatewayQuarantine>,
    permits: ActorRef<PermitsController>,
) {
    loop {
        match receiver.receive().await {
            Ok((_, Datagram::Quarantine(notice))) => {
                if quarantine.tell(EntriesReceived(notice.quarantine)).await.is_err() {
                    return;
                }
            }
            Ok((from, Datagram::Permit(message))) => {
                if permits.tell(PermitMessageReceived { from, message }).await.is_err() {
                    return;
                }
            }
            Ok((from, Datagram::Heartbeat(heartbeat))) => {
                if actor.tell(HeartbeatReceived { from, heartbeat: *heartbeat }).await.is_err() {
                    return;
                }
            }
            // The socket reports an error if the port of a peer is closed, and remains usable.
            Err(error) => log::debug!("datagram receive error reason=\"{error}\""),
        }
    }
}

/// Requests a heartbeat at each interval, and immediately when the shutdown phase changes or an early heartbeat
/// is requested.
async fn schedule_heartbeats(
    actor: ActorRef<PeersController>,
    heartbeat_ms: u64,
    state: Arc<GatewayState>,
) {
    let mut phases = state.subscribe_phase();
    let mut interval = interval(Duration::from_millis(heartbeat_ms));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut is_broadcast = false;
        tokio::select! {
            _ = interval.tick() => {}
            changed = phases.changed() => {
                if changed.is_err() {
                    return;
                }
                is_broadcast = true;
            }
            () = state.early_heartbeat.notified() => {}
        }
        if actor.tell(SendHeartbeat { is_broadcast }).await.is_err() {
            return;
        }
    }
}
