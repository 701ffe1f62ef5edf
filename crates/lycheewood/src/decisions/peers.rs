//! State of the other entry instances as reported by their heartbeats: readiness and requests in flight.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Timestamp;
use crate::decisions::cold::FleetView;
use crate::decisions::units::ceil_ms;
use crate::decisions::urgency::WaitingCounts;
use crate::ids::{FailureDomain, Incarnation, InstanceId};
use crate::wire::heartbeat::{About, Heartbeat, endpoint_tag};

/// Time without a heartbeat after which an instance is no longer advertised to callers, in milliseconds. Six
/// heartbeats, because datagrams are occasionally lost; a caller that is sent to a dead instance loses the
/// second that it waits for the connection.
pub(crate) const PEER_TIMEOUT_MS: u64 = 1_500;
/// Time without a heartbeat after which an instance is removed, in milliseconds. The platform's list of
/// instances adds it again if it is alive.
const PEER_FORGET_MS: u64 = 60_000;

/// Last known state of another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Properties that do not change while the instance runs.
    pub about: About,
    /// The last heartbeat.
    pub heartbeat: Heartbeat,
    /// When the last heartbeat was received.
    pub received: Timestamp,
}

impl Peer {
    /// Whether the address of the instance may be advertised to callers.
    #[must_use]
    pub fn is_advertisable(&self, now: Timestamp) -> bool {
        self.heartbeat.is_ready && now.ms_since(self.received) < PEER_TIMEOUT_MS
    }
}

/// A snapshot of the other instances according to their last heartbeats.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    /// Instances that have sent a heartbeat, by peer address.
    pub peers: BTreeMap<SocketAddr, Arc<Peer>>,
    /// Requests in flight from all other instances, by tag of the endpoint.
    in_flight: HashMap<u32, u32>,
    /// Remaining work of the requests of all other instances, by tag of the endpoint.
    work: HashMap<u32, PeerWork>,
    /// Work time of the endpoints that the holder of the expert group lease reports as slow, in percent of the usual
    /// time, by tag.
    slow: HashMap<u32, u32>,
    /// Weight of the recent failures that other instances report, by tag of the endpoint.
    failures: HashMap<u32, f64>,
    /// Requests that wait at all other instances for a place at an endpoint.
    waiting: WaitingCounts,
}

/// Most weight that the failures reported by other instances have. An endpoint with it is chosen only if all others
/// have as many failures or no free place.
const MAX_REPORTED_FAILURES: f64 = 3.0;
/// Weight of a failure that another instance reports, relative to an own one: its cause may be a link or a request of
/// that instance.
const REPORTED_FAILURE_WEIGHT: f64 = 0.5;

/// The weight of failures as it is sent, in hundredths.
pub(crate) fn encode_failures(weight: f64) -> u32 {
    u32::try_from(ceil_ms(weight * 100.0)).unwrap_or(u32::MAX)
}

/// Work that other instances have at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerWork {
    /// Estimated time of the work that is left, in milliseconds.
    pub work_ms: u64,
    /// Requests in flight from instances that do not tell their work.
    pub unestimated: u32,
}

impl PeerTable {
    /// Remaining work from all other instances at an endpoint, by its tag.
    #[must_use]
    pub fn work_of_tag(&self, tag: u32) -> PeerWork {
        self.work.get(&tag).copied().unwrap_or_default()
    }

    /// Work time of an endpoint that the holder of the expert group lease reports as slow, in percent of the usual
    /// time.
    pub(crate) fn slowdown_percent(&self, tag: u32) -> Option<u32> {
        self.slow.get(&tag).copied()
    }

    /// Weight of the recent failures of an endpoint that other instances report.
    #[must_use]
    pub fn failures(&self, endpoint: &InstanceId) -> f64 {
        self.failures_by_tag(endpoint_tag(endpoint))
    }

    /// The same, by the tag of the endpoint.
    pub(crate) fn failures_by_tag(&self, tag: u32) -> f64 {
        self.failures.get(&tag).copied().unwrap_or(0.0)
    }

    /// Requests that wait at all other instances for a place at an endpoint.
    #[must_use]
    pub const fn waiting(&self) -> &WaitingCounts {
        &self.waiting
    }

    /// Number of other instances that were heard lately.
    #[must_use]
    pub fn heard(&self, now: Timestamp) -> u32 {
        let heard =
            self.peers.values().filter(|peer| now.ms_since(peer.received) < PEER_TIMEOUT_MS);
        u32::try_from(heard.count()).unwrap_or(u32::MAX)
    }

    /// Requests in flight from all other instances to an endpoint.
    #[must_use]
    pub fn in_flight(&self, endpoint: &InstanceId) -> u32 {
        self.in_flight_by_tag(endpoint_tag(endpoint))
    }

    /// The same, by the tag of the endpoint.
    pub(crate) fn in_flight_by_tag(&self, tag: u32) -> u32 {
        self.in_flight.get(&tag).copied().unwrap_or(0)
    }
}

/// Tracks the other instances from their heartbeats.
#[derive(Clone, Debug, Default)]
pub struct PeerTracker {
    peers: BTreeMap<SocketAddr, Arc<Peer>>,
    /// Addresses that have sent no heartbeat since they were added, with the time at which each was last added.
    unconfirmed: BTreeMap<SocketAddr, Timestamp>,
    /// The last ended incarnation at each address, so that a late datagram does not restore it.
    ended: HashMap<SocketAddr, Incarnation>,
}

impl PeerTracker {
    /// Adds an address to send heartbeats to.
    pub fn add_address(&mut self, address: SocketAddr, now: Timestamp) {
        self.unconfirmed.insert(address, now);
    }

    /// Applies a heartbeat and returns whether it was applied. It is ignored if it is not newer than the last
    /// one, if its incarnation has ended, or if the incarnation is unknown and the heartbeat lacks `about`,
    /// which a later one contains.
    pub fn apply(&mut self, address: SocketAddr, heartbeat: Heartbeat, now: Timestamp) -> bool {
        if self.ended.get(&address) == Some(&heartbeat.incarnation) {
            return false;
        }
        let former = self.peers.get(&address);
        let same = former.filter(|peer| peer.heartbeat.incarnation == heartbeat.incarnation);
        if same.is_some_and(|peer| peer.heartbeat.sequence >= heartbeat.sequence) {
            return false;
        }
        let known = same.map(|peer| peer.about.clone());
        let Some(about) = heartbeat.about.clone().or(known) else { return false };
        if let Some(ended) = former.filter(|_| same.is_none()) {
            self.ended.insert(address, ended.heartbeat.incarnation);
        }
        self.unconfirmed.remove(&address);
        self.peers.insert(address, Arc::new(Peer { about, heartbeat, received: now }));
        true
    }

    /// Last known state of the instance at an address.
    pub(crate) fn peer(&self, address: SocketAddr) -> Option<&Peer> {
        self.peers.get(&address).map(Arc::as_ref)
    }

    /// How many other instances were heard lately, are known, or have never answered. `own_address` is not counted.
    pub(crate) fn fleet(&self, own_address: SocketAddr, now: Timestamp) -> FleetView {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let heard =
            self.peers.values().filter(|peer| now.ms_since(peer.received) < PEER_TIMEOUT_MS);
        let unconfirmed = self.unconfirmed.keys().filter(|address| **address != own_address);
        FleetView {
            heard: count(heard.count()),
            known: count(self.peers.len()),
            unconfirmed: count(unconfirmed.count()),
        }
    }

    /// Removes instances without a heartbeat, and unconfirmed addresses that were not added again, for
    /// [`PEER_FORGET_MS`].
    pub fn expire(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| now.ms_since(peer.received) < PEER_FORGET_MS);
        self.unconfirmed.retain(|_, added| now.ms_since(*added) < PEER_FORGET_MS);
    }

    /// Destinations of a heartbeat: all known addresses, or only the instances in `domain` and the addresses
    /// that have sent no heartbeat since they were added.
    pub fn addresses(&self, domain: Option<&FailureDomain>) -> impl Iterator<Item = SocketAddr> {
        let matches_domain =
            move |peer: &Peer| domain.is_none_or(|domain| peer.about.failure_domain == *domain);
        let peers = self.peers.iter().filter(move |(_, peer)| matches_domain(peer));
        peers.map(|(address, _)| *address).chain(self.unconfirmed.keys().copied())
    }

    /// Creates a snapshot. Load and slow endpoints come only from instances with a recent heartbeat.
    #[must_use]
    pub fn table(&self, now: Timestamp) -> PeerTable {
        let mut in_flight: HashMap<u32, u32> = HashMap::new();
        let fresh =
            || self.peers.values().filter(|peer| now.ms_since(peer.received) < PEER_TIMEOUT_MS);
        let leading = fresh().filter_map(|peer| peer.heartbeat.leading.as_ref());
        let slow = leading.flat_map(|leading| &leading.slow).copied().collect();
        for (endpoint, count) in fresh().flat_map(|peer| &peer.heartbeat.in_flight) {
            *in_flight.entry(*endpoint).or_default() += count;
        }
        let mut work: HashMap<u32, PeerWork> = HashMap::new();
        for peer in fresh() {
            add_work(&mut work, &peer.heartbeat);
        }
        let mut failures: HashMap<u32, f64> = HashMap::new();
        for (endpoint, hundredths) in fresh().flat_map(|peer| &peer.heartbeat.extension.failures) {
            let sum = failures.entry(*endpoint).or_default();
            let reported = f64::from(*hundredths) / 100.0 * REPORTED_FAILURE_WEIGHT;
            *sum = (*sum + reported).min(MAX_REPORTED_FAILURES);
        }
        let mut waiting = WaitingCounts::default();
        fresh().for_each(|peer| waiting.add_pairs(&peer.heartbeat.extension.waiting));
        PeerTable { peers: self.peers.clone(), in_flight, work, slow, failures, waiting }
    }
}

/// Adds what a heartbeat tells of the work at each endpoint.
fn add_work(work: &mut HashMap<u32, PeerWork>, heartbeat: &Heartbeat) {
    let told = &heartbeat.extension.work_ms;
    for (tag, work_ms) in told {
        let sum = &mut work.entry(*tag).or_default().work_ms;
        *sum = sum.saturating_add(u64::from(*work_ms));
    }
    let told: HashSet<u32> = told.iter().map(|(tag, _)| *tag).collect();
    for (tag, count) in heartbeat.in_flight.iter().filter(|(tag, _)| !told.contains(tag)) {
        let sum = &mut work.entry(*tag).or_default().unestimated;
        *sum = sum.saturating_add(*count);
    }
}
