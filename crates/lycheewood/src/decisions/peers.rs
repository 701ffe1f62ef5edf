//! What is known of the other entry instances: who is ready, who leaves, and what each has in flight.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::clock::Timestamp;
use crate::ids::{FailureDomain, Incarnation, InstanceId};
use crate::wire::heartbeat::{About, Heartbeat, endpoint_tag};

/// An instance that has not been heard for this long is not told to callers, in milliseconds. Six
/// heartbeats: datagrams are lost now and then, and a caller that is sent to a dead instance loses the
/// second that it waits for the connection.
pub(crate) const FRESH_MS: u64 = 1_500;
/// An instance that has not been heard for this long is forgotten, in milliseconds. The platform's list
/// of instances brings it back if it lives.
const FORGET_MS: u64 = 60_000;

/// One other instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// What does not change of it.
    pub about: About,
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When it arrived.
    pub heard: Timestamp,
}

impl Peer {
    /// Whether callers may be told its address.
    #[must_use]
    pub fn is_advertisable(&self, now: Timestamp) -> bool {
        self.heartbeat.is_ready && now.ms_since(self.heard) < FRESH_MS
    }
}

/// Other instances as they were last heard.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    /// Those that have been heard, by peer address.
    pub peers: BTreeMap<SocketAddr, Peer>,
    /// Requests in flight from all of them, by tag of the endpoint.
    in_flight: HashMap<u32, u32>,
    /// Endpoints that the holder of the lease over expert groups says are slow.
    slow: Vec<u32>,
}

impl PeerTable {
    /// Whether the holder of the lease says that an endpoint is slow.
    #[must_use]
    pub fn is_slow(&self, endpoint: &InstanceId) -> bool {
        !self.slow.is_empty() && self.slow.contains(&endpoint_tag(endpoint))
    }

    /// Requests in flight from all other instances at an endpoint.
    #[must_use]
    pub fn in_flight(&self, endpoint: &InstanceId) -> u32 {
        self.in_flight.get(&endpoint_tag(endpoint)).copied().unwrap_or(0)
    }
}

/// The fold of heartbeats.
#[derive(Clone, Debug, Default)]
pub struct PeerFold {
    peers: BTreeMap<SocketAddr, Peer>,
    /// Addresses that were named but not heard, with the time of the last naming.
    named: BTreeMap<SocketAddr, Timestamp>,
    /// Runs that ended, so that a late datagram does not bring one back.
    ended: HashMap<SocketAddr, Incarnation>,
}

impl PeerFold {
    /// Notes an address to which heartbeats go.
    pub fn name(&mut self, address: SocketAddr, now: Timestamp) {
        self.named.insert(address, now);
    }

    /// Takes a heartbeat in. Tells whether it was news. One from an instance of which nothing is known
    /// waits for the next that says more.
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
        self.named.remove(&address);
        self.peers.insert(address, Peer { about, heartbeat, heard: now });
        true
    }

    /// Forgets instances that have been silent for long.
    pub fn expire(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| now.ms_since(peer.heard) < FORGET_MS);
        self.named.retain(|_, named| now.ms_since(*named) < FORGET_MS);
    }

    /// Where heartbeats go: to all instances, or to those of one failure domain and those that were not heard.
    pub fn addresses(&self, domain: Option<&FailureDomain>) -> impl Iterator<Item = SocketAddr> {
        let is_meant =
            move |peer: &Peer| domain.is_none_or(|domain| peer.about.failure_domain == *domain);
        let peers = self.peers.iter().filter(move |(_, peer)| is_meant(peer));
        peers.map(|(address, _)| *address).chain(self.named.keys().copied())
    }

    /// What others read.
    #[must_use]
    pub fn table(&self, now: Timestamp) -> PeerTable {
        let mut in_flight: HashMap<u32, u32> = HashMap::new();
        let fresh = || self.peers.values().filter(|peer| now.ms_since(peer.heard) < FRESH_MS);
        let leading = fresh().filter_map(|peer| peer.heartbeat.leading.as_ref());
        let slow =
            leading.flat_map(|leading| &leading.slow).map(|(endpoint, _)| *endpoint).collect();
        for (endpoint, count) in fresh().flat_map(|peer| &peer.heartbeat.in_flight) {
            *in_flight.entry(*endpoint).or_default() += count;
        }
        PeerTable { peers: self.peers.clone(), in_flight, slow }
    }
}

/// An instance that callers may be told of.
#[derive(Clone, Copy, Debug)]
pub struct EntryView<'a> {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where it stands.
    pub failure_domain: &'a FailureDomain,
}

/// Fewer ready instances than this in the caller's own failure domain, and those of the other domains
/// are told as well, so that the loss of one leaves the caller others.
const MIN_NEAR: usize = 2;

/// The addresses that a caller in `domain` is told, the nearest first. `rotation` spreads callers when
/// there are more than `max`.
#[must_use]
pub fn near_entries(
    entries: &[EntryView<'_>],
    domain: &FailureDomain,
    rotation: u64,
    max: usize,
) -> Vec<SocketAddr> {
    let (mut near, far): (Vec<&EntryView<'_>>, Vec<&EntryView<'_>>) =
        entries.iter().partition(|entry| entry.failure_domain == domain);
    if near.len() < MIN_NEAR {
        near.extend(far);
    }
    let mut addresses: Vec<SocketAddr> = near.iter().map(|entry| entry.caller_address).collect();
    if addresses.len() > max {
        let len = addresses.len();
        addresses.rotate_left(crate::decisions::units::index_below(rotation, len));
        addresses.truncate(max);
    }
    addresses
}
