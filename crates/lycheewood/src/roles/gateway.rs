//! The gateway role: an entry that forwards plain HTTP requests to endpoints by host and path.
//!
//! It knows no platform. Route tables, endpoints and instances come in through [`GatewayHandle`]; what
//! callers ask about the gateway is answered from there as well.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::{Handle, Runtime};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::adapters::agent::ServedRanks;
use crate::adapters::agent::client::AgentRanks;
use crate::adapters::forward::caller;
use crate::adapters::{agent, gossip, metrics};
use crate::controllers::endpoint_list::{EndpointListController, EndpointListUpdate};
use crate::controllers::expert_groups::{self, GroupPorts};
use crate::controllers::gateway_quarantine::GatewayQuarantine;
use crate::controllers::peers::{AddPeers, PeersController, StateSource};
use crate::controllers::permits::PermitsController;
use crate::controllers::routes::{
    PLATFORM_SOURCE, RoutesController, UpdateEvacuations, UpdateRoutes,
};
use crate::decisions::directory::{CallerPlace, EntryView, nearest_entries};
use crate::decisions::endpoint_list::EndpointChange;
use crate::decisions::evacuation::EvacuationChange;
use crate::gateway::{GatewaySettings, GatewayState, PlatformTopic};
use crate::group_ports::{LeaseLog, RankClient};
use crate::ids::{FailureDomain, Offset};
use crate::metrics::gateway::GatewayMetrics;
use crate::roles::{StartError, leave, listen};
use crate::routes::raw::RawRouteTable;
use crate::runtime::{ControlThread, traffic_runtime};
use crate::wire::heartbeat::Evacuations;

/// One thread carries the traffic: the instances have a fraction of one core.
const TRAFFIC_THREADS: usize = 1;
/// Maximum number of ports that are free for TCP and taken for UDP before the start fails.
const MAX_UNUSABLE_PORTS: usize = 32;
/// Time for which callers may cache the addresses, in milliseconds. Short, because a caller with the address of a
/// dead instance loses a second; not shorter, because every lookup costs processor time.
const ADDRESSES_VALID_MS: u64 = 1_000;

/// Addresses of entries advertised to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAddresses {
    /// Addresses, those in the caller's failure domain first.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may use the addresses, in milliseconds.
    pub valid_for_ms: u64,
}

/// Hands what a platform knows to a running gateway, and asks it about itself.
#[derive(Clone)]
pub struct GatewayHandle {
    state: Arc<GatewayState>,
    routes: ActorRef<RoutesController>,
    endpoints: ActorRef<EndpointListController>,
    peers: ActorRef<PeersController>,
}

impl GatewayHandle {
    /// Offers a route table. It comes into force if its version is above the one in force.
    pub fn offer_routes(&self, raw: RawRouteTable) {
        // The mailbox is unbounded, and the controller lives as long as the process.
        let _ = self.routes.tell(UpdateRoutes { raw, source: PLATFORM_SOURCE }).try_send();
    }

    /// Records of the operator about failure domains that were read in order; all below `next` have been read now.
    /// Must be called before the route tables among the same records are offered.
    pub fn apply_evacuations(&self, changes: Vec<EvacuationChange>, next: Offset) {
        let _ = self.routes.tell(UpdateEvacuations::Records { changes, next }).try_send();
    }

    /// All evacuated failure domains, from the newest record of each key when the operator's topic ended at `end`.
    /// Must be called before the route table among the same records is offered.
    pub fn replace_evacuations(&self, domains: Vec<FailureDomain>, end: Offset) {
        let state = Evacuations { next: end, domains };
        let update = UpdateEvacuations::State { state, source: PLATFORM_SOURCE };
        let _ = self.routes.tell(update).try_send();
    }

    /// The evacuated failure domains, or `None` if no record of the operator is known.
    #[must_use]
    pub fn evacuations(&self) -> Option<Evacuations> {
        self.state.evacuations.load().evacuations()
    }

    /// Whether endpoints of a failure domain get no requests because it is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.state.evacuations.load().is_evacuated(domain, self.state.clock.now())
    }

    /// Whether this instance should read the platform's topics. The others fetch updates from their peers.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        *self.state.is_reader.borrow()
    }

    /// Waits until this instance should read the platform's topics.
    pub async fn wait_until_reader(&self) {
        let mut is_reader = self.state.is_reader.subscribe();
        // The sender lives as long as the state.
        let _ = is_reader.wait_for(|is_reader| *is_reader).await;
    }

    /// Notes whether the last call for a topic of the platform was answered. Other instances rely on this one
    /// while it says so.
    pub fn note_reading(&self, topic: PlatformTopic, is_answered: bool) {
        self.state.record_topic_reply(topic, is_answered);
    }

    /// The first offset of the endpoint list that is not known.
    #[must_use]
    pub fn endpoints_next(&self) -> Offset {
        self.state.endpoints.load().table.next
    }

    /// Waits until the endpoint list is in a later era than `era`, and then for a random time of up to `spread_ms`
    /// milliseconds, because all instances learn of an era at once.
    pub async fn wait_for_later_era(&self, era: u64, spread_ms: u64) {
        loop {
            let changed = self.state.state_received.notified();
            if self.endpoints_next().era() > era {
                break;
            }
            changed.await;
        }
        sleep(Duration::from_millis(rand::random_range(0..=spread_ms))).await;
    }

    /// Records of the endpoint list that were read in order; all below `next` have been read now.
    pub fn apply_endpoints(&self, changes: Vec<EndpointChange>, next: Offset) {
        let _ = self.endpoints.tell(EndpointListUpdate::Records { changes, next }).try_send();
    }

    /// The newest record of each endpoint, read when the list's log ended at `end`.
    pub fn replace_endpoints(&self, changes: Vec<EndpointChange>, end: Offset) {
        let _ = self.endpoints.tell(EndpointListUpdate::Snapshot { changes, end }).try_send();
    }

    /// Waits until an endpoint was not at its address, so that the list should be read again.
    pub async fn endpoint_list_doubted(&self) {
        self.state.endpoint_list_stale.notified().await;
    }

    /// Time for which this process has run, in milliseconds. It does not include the time for which the process was
    /// stopped, so an outage is measured with it.
    #[must_use]
    pub fn running_ms(&self) -> u64 {
        self.state.running_ms()
    }

    /// Reports that the endpoint list has recovered from an outage. Has no effect if another instance has read the list
    /// meanwhile.
    pub fn on_endpoint_list_recovered(&self) {
        if !self.is_reader() && self.state.list_grace_left_ms() == 0 {
            return;
        }
        let _ = self.endpoints.tell(EndpointListUpdate::ListRecovered).try_send();
    }

    /// Adds the peer addresses of other instances.
    pub fn add_peers(&self, addresses: Vec<SocketAddr>) {
        let _ = self.peers.tell(AddPeers { addresses }).try_send();
    }

    /// Notes a record of the platform that could not be read.
    pub fn note_unreadable_record(&self) {
        self.state.metrics.records_unreadable.inc();
    }

    /// Version of the route table in force.
    #[must_use]
    pub fn route_version(&self) -> Option<u64> {
        self.state.routes.load().as_ref().map(|routes| routes.table.version)
    }

    /// Whether callers may be sent to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// The entry addresses advertised to a caller, at most `max`. A region that is not given is that of its domain.
    #[must_use]
    pub fn entry_addresses(&self, caller: &CallerPlace<'_>, max: usize) -> EntryAddresses {
        let now = self.state.clock.now();
        let peers = self.state.peers.load();
        let ready = peers.peers.values().filter(|peer| peer.is_advertisable(now));
        let regions = &self.state.settings.regions;
        let others = ready.map(|peer| EntryView {
            caller_address: peer.about.caller_address,
            failure_domain: &peer.about.failure_domain,
            region: regions.region(&peer.about.failure_domain),
            processor_millicores: peer.about.processor_millicores,
        });
        let own = self.is_ready().then_some(EntryView {
            caller_address: self.state.settings.caller_address,
            failure_domain: &self.state.settings.failure_domain,
            region: regions.region(&self.state.settings.failure_domain),
            processor_millicores: self.state.settings.processor_millicores,
        });
        let entries: Vec<_> = others.chain(own).collect();
        let region = caller.region.or_else(|| regions.region(caller.domain));
        let caller = CallerPlace { region, ..*caller };
        let addresses = nearest_entries(&entries, &caller, rand::random(), max);
        EntryAddresses { addresses, valid_for_ms: ADDRESSES_VALID_MS }
    }
}

/// A running gateway.
pub struct Gateway {
    handle: GatewayHandle,
    callers: JoinHandle<std::io::Result<()>>,
    // Dropped before the control thread, since its tasks talk to controllers.
    traffic: Runtime,
    control: ControlThread,
}

impl Gateway {
    /// Starts a gateway in this process, on threads of its own.
    ///
    /// Must not be called from async code, because it blocks.
    ///
    /// # Errors
    ///
    /// When a listener or thread cannot be started.
    pub fn start(settings: GatewaySettings) -> Result<Self, StartError> {
        let runtime = |source| StartError::Runtime { source };
        let control = ControlThread::start().map_err(runtime)?;
        let traffic = traffic_runtime(TRAFFIC_THREADS).map_err(runtime)?;
        let metrics =
            GatewayMetrics::new().map_err(|e| StartError::Metrics { reason: e.to_string() })?;
        let (callers, caller_address) =
            traffic.block_on(listen("caller_address", settings.caller_address))?;
        let (peers_tcp, peers_udp, peer_address) =
            control.handle().block_on(listen_to_peers(settings.peer_address))?;
        let settings = GatewaySettings { caller_address, peer_address, ..settings };
        metrics.limits.accepting.set(1);
        let state = Arc::new(GatewayState::new(settings, Arc::new(metrics)));
        let handle = start_controllers(&state, peers_udp, &control);
        let source = Arc::new(StateSource {
            state: Arc::clone(&state),
            endpoints: handle.endpoints.clone(),
        });
        let ended = state.metrics.limits.instance_ended.clone();
        control.handle().spawn(gossip::serve(peers_tcp, source, Some(ended)));
        if let Some(address) = state.settings.metrics_address {
            let (listener, _) = control.handle().block_on(listen("metrics_address", address))?;
            control.handle().spawn(metrics::serve(listener, Arc::clone(&state)));
        }
        let callers = traffic.spawn(caller::serve(callers, Arc::clone(&state)));
        log::info!(
            "gateway started instance={} incarnation={} caller_address={caller_address} peer_address={peer_address}",
            state.settings.instance,
            state.incarnation
        );
        Ok(Self { handle, callers, traffic, control })
    }

    /// Starts to follow expert groups and to switch their maps, through the platform's ports. Ranks are
    /// reached through the agents beside them, which listen on the port of this gateway's peer address.
    /// Orders of other gateways are relayed to ranks at the relay address.
    ///
    /// # Errors
    ///
    /// When the relay cannot listen.
    pub fn control_groups(
        &self,
        ranks: Arc<dyn RankClient>,
        log: Arc<dyn LeaseLog>,
    ) -> Result<(), StartError> {
        let state = Arc::clone(&self.handle.state);
        let control = self.control.handle();
        let (relay, _) = control.block_on(listen("relay_address", state.settings.relay_address))?;
        let port = state.settings.peer_address.port();
        let served = ServedRanks::Named { agent_port: port };
        let ended = state.metrics.limits.instance_ended.clone();
        control.spawn(agent::serve(relay, Arc::clone(&ranks), served, Some(ended)));
        let ranks = Arc::new(AgentRanks::new(ranks, port, state.clock));
        control.spawn(expert_groups::run(state, GroupPorts { ranks, log }));
        Ok(())
    }

    /// A handle for the adapter to a platform.
    #[must_use]
    pub fn handle(&self) -> GatewayHandle {
        self.handle.clone()
    }

    /// Where callers connect.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.handle.state.settings.caller_address
    }

    /// Address at which other instances reach this one.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.handle.state.settings.peer_address
    }

    /// The runtime of the control thread, for tasks that follow the platform.
    #[must_use]
    pub fn control(&self) -> &Handle {
        self.control.handle()
    }

    /// The runtime that carries traffic, for front ends beside the callers' one.
    #[must_use]
    pub fn traffic(&self) -> &Handle {
        self.traffic.handle()
    }

    /// Stops gracefully: still serves callers that hold its address, then refuses new requests, and
    /// ends after the last answer in flight or when the time for a planned stop is over.
    ///
    /// Blocks until then; must not be called from async code.
    pub fn shutdown(self) {
        let Self { handle, callers, traffic, .. } = self;
        let state = handle.state;
        let timeout_ms = state.settings.shutdown_timeout_ms;
        state.set_stops_at(state.clock.now().plus_ms(timeout_ms));
        let within = Duration::from_millis(timeout_ms);
        traffic.block_on(async {
            let leaving = async {
                let settings = state.settings.shutdown;
                leave(settings, state.clock, &state.in_flight, |phase| state.set_phase(phase))
                    .await;
                let _ = callers.await;
            };
            if tokio::time::timeout(within, leaving).await.is_err() {
                log::warn!(
                    "gateway stops with requests in flight count={}",
                    *state.in_flight.borrow()
                );
            }
        });
        log::info!("gateway stopped instance={}", state.settings.instance);
        traffic.shutdown_background();
    }
}

/// Listens for connections and datagrams of other gateways on the same port. With port 0 the system chooses a port that
/// is free for TCP, and others are tried while it is taken for UDP.
async fn listen_to_peers(
    address: SocketAddr,
) -> Result<(TcpListener, UdpSocket, SocketAddr), StartError> {
    // Kept open, so that the system chooses another port.
    let mut unusable = Vec::new();
    loop {
        let (tcp, bound) = listen("peer_address", address).await?;
        match UdpSocket::bind(bound).await {
            Ok(udp) => return Ok((tcp, udp, bound)),
            Err(source)
                if source.kind() == ErrorKind::AddrInUse
                    && address.port() == 0
                    && unusable.len() < MAX_UNUSABLE_PORTS =>
            {
                unusable.push(tcp);
            }
            Err(source) => {
                return Err(StartError::Listen { field: "peer_address", address: bound, source });
            }
        }
    }
}

fn start_controllers(
    state: &Arc<GatewayState>,
    peers_udp: UdpSocket,
    control: &ControlThread,
) -> GatewayHandle {
    let _control = control.handle().enter();
    let metrics = &state.metrics;
    let routes = RoutesController::start(state);
    let endpoints = EndpointListController::start(
        Arc::clone(&state.endpoints),
        Arc::clone(&state.loads),
        Arc::clone(&state.cold),
        state.clock,
        Arc::clone(metrics),
        Arc::clone(&state.early_heartbeat),
        Arc::clone(&state.state_received),
    );
    let peers_udp = Arc::new(peers_udp);
    let quarantine = GatewayQuarantine::start(state, Arc::clone(&peers_udp));
    state.set_quarantine(quarantine.clone());
    let permits = PermitsController::start(state, Arc::clone(&peers_udp));
    state.set_permits(permits.clone());
    let peers = PeersController::start(
        Arc::clone(state),
        peers_udp,
        routes.clone(),
        endpoints.clone(),
        quarantine,
        permits,
    );
    GatewayHandle { state: Arc::clone(state), routes, endpoints, peers }
}
