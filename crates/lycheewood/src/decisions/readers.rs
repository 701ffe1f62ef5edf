//! Election of the instances that read the platform's topics, and the state transfer to the others.
//!
//! Calls to the platform have a cost, so their number must not grow with the number of instances. One
//! instance per failure domain reads the topics. The others see in its heartbeats that it has newer state and
//! fetch it. An instance that receives no heartbeat from a reader in its domain starts to read itself.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Timestamp;
use crate::decisions::peers::{PEER_TIMEOUT_MS, Peer, PeerTable};
use crate::decisions::units::{index_below, mix};
use crate::ids::{FailureDomain, InstanceId, Offset};

/// Time without a heartbeat after which a reader counts as failed, in milliseconds: four heartbeats. Together
/// with the takeover delays it uses half of the 2,000 ms within which updates must take effect.
const READER_TIMEOUT_MS: u64 = 800;
/// Takeover delay per instance of the same domain that precedes this one by name, in milliseconds, so that
/// instances do not all start to read at once.
const TAKEOVER_STEP_MS: u64 = 60;
/// Number of instances with stepped takeover delays. The others wait for [`LATE_TAKEOVER_MS`], because every
/// call fails and has a cost while the platform is unavailable.
const STEPPED_TAKEOVERS: usize = 4;
/// Takeover delay of all further instances, in milliseconds.
const LATE_TAKEOVER_MS: u64 = 1_500;

/// This instance as a candidate in the reader election.
#[derive(Clone, Copy, Debug)]
pub struct ReaderCandidate<'a> {
    /// Name of the instance.
    pub instance: &'a InstanceId,
    /// Failure domain of the instance.
    pub failure_domain: &'a FailureDomain,
    /// Whether its last calls to the platform succeeded and it is not shutting down.
    pub is_healthy: bool,
}

/// Decides whether this instance reads the platform's topics.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReaderElection {
    is_reader: bool,
    /// Since when the failure domain has had no reader.
    no_reader_since: Option<Timestamp>,
}

impl ReaderCandidate<'_> {
    /// Whether an instance of the failure domain, this one or another, reads the platform's topics.
    #[must_use]
    pub fn domain_has_reader(&self, is_reader: bool, peers: &PeerTable, now: Timestamp) -> bool {
        is_reader && self.is_healthy || self.live_peers(peers, now).any(|peer| peer.heartbeat.reads)
    }

    /// The other instances of the failure domain that were heard lately.
    fn live_peers<'p>(
        &self,
        peers: &'p PeerTable,
        now: Timestamp,
    ) -> impl Iterator<Item = &'p Peer> {
        let live = peers.peers.values().map(Arc::as_ref);
        live.filter(move |peer| now.ms_since(peer.received) < READER_TIMEOUT_MS)
            .filter(|peer| peer.about.failure_domain == *self.failure_domain)
    }
}

impl ReaderElection {
    /// Updates the election from the last heartbeats of the peers and returns whether this instance should
    /// read. Of two healthy readers the first by name continues. A reader whose calls fail keeps trying until
    /// another one succeeds.
    pub fn update(&mut self, own: &ReaderCandidate<'_>, peers: &PeerTable, now: Timestamp) -> bool {
        let in_domain = || own.live_peers(peers, now);
        let readers = in_domain().filter(|peer| peer.heartbeat.reads);
        let mut names = readers.map(|peer| &peer.about.instance);
        let has_other_reader = if self.is_reader && own.is_healthy {
            names.any(|name| name < own.instance)
        } else {
            names.next().is_some()
        };
        if has_other_reader {
            *self = Self::default();
        } else {
            let before = in_domain().filter(|peer| peer.about.instance < *own.instance).count();
            let steps = u64::try_from(before).unwrap_or(u64::MAX);
            let delay_ms = if before < STEPPED_TAKEOVERS {
                TAKEOVER_STEP_MS * steps
            } else {
                LATE_TAKEOVER_MS
            };
            let since = *self.no_reader_since.get_or_insert(now);
            self.is_reader |= now.ms_since(since) >= delay_ms;
        }
        self.is_reader
    }
}

/// Local state that is compared with the heartbeats of peers.
#[derive(Clone, Copy, Debug)]
pub struct LocalState<'a> {
    /// Failure domain of this instance.
    pub failure_domain: &'a FailureDomain,
    /// Whether this instance is a reader and so receives updates from the platform itself.
    pub is_reader: bool,
    /// Version of the route table in force.
    pub route_version: Option<u64>,
    /// The first offset of the endpoint list that this instance has not read.
    pub endpoints_next: Offset,
}

/// State to fetch from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateFetch {
    /// Peer address to fetch from.
    pub source: SocketAddr,
    /// Whether to fetch the route table.
    pub routes: bool,
    /// Whether to fetch the endpoint list.
    pub endpoints: bool,
}

/// Time after which an instance fetches a route table that a peer has and that neither the platform nor the
/// reader of its domain has delivered, in milliseconds.
const ROUTES_LAG_MS: u64 = 300;
/// The same for the endpoint list, in milliseconds. Longer, because readers batch updates for up to 250 ms; well
/// below the 2,000 ms within which requests to a draining endpoint must end.
const ENDPOINTS_LAG_MS: u64 = 700;

/// Detects that this instance lacks state that peers have.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagMonitor {
    routes_behind_since: Option<Timestamp>,
    endpoints_behind_since: Option<Timestamp>,
    /// The peer from which the last fetch failed.
    failed: Option<SocketAddr>,
}

impl LagMonitor {
    /// Records the result of a fetch. After a failure the next fetch prefers other peers.
    pub fn on_fetch_result(&mut self, source: SocketAddr, is_success: bool) {
        self.failed = Some(source).filter(|_| !is_success);
    }

    /// Returns what to fetch now, if this instance lacks state that a peer has. `random` spreads the fetches of
    /// many instances over peers with the same state.
    pub fn next_fetch(
        &mut self,
        own: &LocalState<'_>,
        peers: &PeerTable,
        now: Timestamp,
        random: u64,
    ) -> Option<StateFetch> {
        let live =
            || peers.peers.iter().filter(|(_, peer)| now.ms_since(peer.received) < PEER_TIMEOUT_MS);
        let version = |peer: &Peer| peer.heartbeat.route_version;
        let next = |peer: &Peer| peer.heartbeat.endpoints_next;
        let max_version = live().map(|(_, peer)| version(peer)).max().flatten();
        let max_next = live().map(|(_, peer)| next(peer)).max().unwrap_or_default();
        let lacks_routes = max_version > own.route_version;
        let lacks_endpoints = max_next > own.endpoints_next;
        let routes_ms = lag_ms(&mut self.routes_behind_since, lacks_routes, now);
        let endpoints_ms = lag_ms(&mut self.endpoints_behind_since, lacks_endpoints, now);
        let in_domain = |peer: &Peer| peer.about.failure_domain == *own.failure_domain;
        let has_reader = live().any(|(_, peer)| in_domain(peer) && peer.heartbeat.reads);
        let has_routes = |peer: &Peer| version(peer) == max_version;
        let has_endpoints = |peer: &Peer| next(peer) == max_next;
        // A reader waits for the platform; the others wait until the reader of their domain has the update.
        let waits = |has_update: &dyn Fn(&Peer) -> bool| {
            own.is_reader
                || has_reader && !live().any(|(_, peer)| in_domain(peer) && has_update(peer))
        };
        let is_first = own.route_version.is_none();
        let is_due = |has_update: &dyn Fn(&Peer) -> bool, lag_ms, max_lag_ms| {
            is_first || lag_ms >= max_lag_ms || !waits(has_update)
        };
        let routes = lacks_routes && is_due(&has_routes, routes_ms, ROUTES_LAG_MS);
        let endpoints = lacks_endpoints && is_due(&has_endpoints, endpoints_ms, ENDPOINTS_LAG_MS);
        if !routes && !endpoints {
            return None;
        }
        let has_update = |peer: &Peer| if routes { has_routes(peer) } else { has_endpoints(peer) };
        let sources: Vec<_> = live().filter(|(_, peer)| has_update(peer)).collect();
        // Traffic between failure domains has a cost, and the peer of the last failed fetch is used last.
        let preference =
            |address: SocketAddr, peer: &Peer| (self.failed == Some(address), !in_domain(peer));
        let best = sources.iter().map(|(address, peer)| preference(**address, peer)).min()?;
        let best: Vec<SocketAddr> = sources
            .iter()
            .filter(|(address, peer)| preference(**address, peer) == best)
            .map(|(address, _)| **address)
            .collect();
        let source = best[index_below(mix(random), best.len())];
        Some(StateFetch { source, routes, endpoints })
    }
}

/// Time for which this instance has been behind, in milliseconds.
fn lag_ms(since: &mut Option<Timestamp>, is_behind: bool, now: Timestamp) -> u64 {
    if is_behind {
        now.ms_since(*since.get_or_insert(now))
    } else {
        *since = None;
        0
    }
}
