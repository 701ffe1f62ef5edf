//! Which instances read the platform's topics, and from whom the others get what was read.
//!
//! Calls to the platform have a price, so their number must not grow with the instances. One instance of
//! each failure domain reads; the others learn from its heartbeats that there is news, and fetch it. An
//! instance that hears no reader in its domain reads itself.

use std::net::SocketAddr;

use crate::clock::Timestamp;
use crate::decisions::peers::{FRESH_MS, Peer, PeerTable};
use crate::decisions::units::{index_below, mix};
use crate::ids::{FailureDomain, InstanceId, Offset};

/// A reader that was not heard for this long may be gone, in milliseconds: four heartbeats. Together with the
/// turns it leaves half of the 2,000 ms in which news must be in force.
const SILENT_MS: u64 = 800;
/// An instance waits this long for each one before it in the order of their names until it begins to read, in
/// milliseconds, so that they do not all begin at once.
const TURN_MS: u64 = 60;
/// Instances that take turns. The others begin after [`LATE_TURN_MS`]: while the platform is away, each call is
/// in vain and has a price.
const TURNS: usize = 4;
/// When instances beyond the first turns begin to read, in milliseconds.
const LATE_TURN_MS: u64 = 1_500;

/// An instance that asks for its duty.
#[derive(Clone, Copy, Debug)]
pub struct OwnReader<'a> {
    /// Its name.
    pub instance: &'a InstanceId,
    /// Where it stands.
    pub failure_domain: &'a FailureDomain,
    /// Whether its last calls to the platform were answered and it does not leave.
    pub reads_well: bool,
}

/// Whether an instance reads the platform's topics.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadDuty {
    has_duty: bool,
    uncovered: Option<Timestamp>,
}

impl ReadDuty {
    /// Looks at who reads, and tells whether this instance should. Of two that read well, the first by
    /// name goes on. One whose calls fail goes on trying until another one reads.
    pub fn look(&mut self, own: &OwnReader<'_>, peers: &PeerTable, now: Timestamp) -> bool {
        let near = || {
            let fresh = peers.peers.values().filter(|peer| now.ms_since(peer.heard) < SILENT_MS);
            fresh.filter(|peer| peer.about.failure_domain == *own.failure_domain)
        };
        let readers = near().filter(|peer| peer.heartbeat.reads);
        let mut names = readers.map(|peer| &peer.about.instance);
        let is_covered = if self.has_duty && own.reads_well {
            names.any(|name| name < own.instance)
        } else {
            names.next().is_some()
        };
        if is_covered {
            *self = Self::default();
        } else {
            let before = near().filter(|peer| peer.about.instance < *own.instance).count();
            let turn = u64::try_from(before).unwrap_or(u64::MAX);
            let turn_ms = if before < TURNS { TURN_MS * turn } else { LATE_TURN_MS };
            let since = *self.uncovered.get_or_insert(now);
            self.has_duty |= now.ms_since(since) >= turn_ms;
        }
        self.has_duty
    }
}

/// What an instance has itself, to compare with what others say.
#[derive(Clone, Copy, Debug)]
pub struct OwnState<'a> {
    /// Where it stands.
    pub failure_domain: &'a FailureDomain,
    /// Whether it reads the platform itself, which then brings the same news.
    pub has_duty: bool,
    /// Version of the route table in force.
    pub route_version: Option<u64>,
    /// The first offset of the endpoint list that it has not read.
    pub endpoints_next: Offset,
}

/// What is to be fetched, and from whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The peer.
    pub source: SocketAddr,
    /// Whether its route table is newer.
    pub routes: bool,
    /// Whether it has read further in the endpoint list.
    pub endpoints: bool,
}

/// An instance that gets news from the platform, or from a reader in its domain, and that others are ahead of for
/// this long fetches a route table from one of them, in milliseconds.
const ROUTES_LAG_MS: u64 = 300;
/// The same for news of endpoints, in milliseconds. Longer, because readers gather news for up to 250 ms;
/// well below the 2,000 ms within which requests to a draining endpoint must end.
const ENDPOINTS_LAG_MS: u64 = 700;

/// Watches whether this instance lacks what others have.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagWatch {
    routes_behind: Option<Timestamp>,
    endpoints_behind: Option<Timestamp>,
    /// The peer that gave nothing when it was last asked.
    failed: Option<SocketAddr>,
}

impl LagWatch {
    /// Notes whether a peer gave what was fetched from it. Another one is asked next.
    pub fn note_fetched(&mut self, source: SocketAddr, is_done: bool) {
        self.failed = Some(source).filter(|_| !is_done);
    }

    /// What to fetch now, if this instance lacks something that others have. `random` spreads the fetches
    /// of many instances over the peers that have the same.
    pub fn fetch(
        &mut self,
        own: &OwnState<'_>,
        peers: &PeerTable,
        now: Timestamp,
        random: u64,
    ) -> Option<Fetch> {
        let fresh = || peers.peers.iter().filter(|(_, peer)| now.ms_since(peer.heard) < FRESH_MS);
        let version = |peer: &Peer| peer.heartbeat.route_version;
        let next = |peer: &Peer| peer.heartbeat.endpoints_next;
        let newest = fresh().map(|(_, peer)| version(peer)).max().flatten();
        let furthest = fresh().map(|(_, peer)| next(peer)).max().unwrap_or_default();
        let lacks_routes = newest > own.route_version;
        let lacks_endpoints = furthest > own.endpoints_next;
        let routes_ms = behind_ms(&mut self.routes_behind, lacks_routes, now);
        let endpoints_ms = behind_ms(&mut self.endpoints_behind, lacks_endpoints, now);
        let is_near = |peer: &Peer| peer.about.failure_domain == *own.failure_domain;
        let has_reader = fresh().any(|(_, peer)| is_near(peer) && peer.heartbeat.reads);
        let has_routes = |peer: &Peer| version(peer) == newest;
        let has_endpoints = |peer: &Peer| next(peer) == furthest;
        // Whoever relies on a reader in its domain waits until that one has the news.
        let waits = |has_it: &dyn Fn(&Peer) -> bool| {
            own.has_duty || has_reader && !fresh().any(|(_, peer)| is_near(peer) && has_it(peer))
        };
        let is_first = own.route_version.is_none();
        let is_due = |has_it: &dyn Fn(&Peer) -> bool, behind_ms, lag_ms| {
            is_first || behind_ms >= lag_ms || !waits(has_it)
        };
        let routes = lacks_routes && is_due(&has_routes, routes_ms, ROUTES_LAG_MS);
        let endpoints = lacks_endpoints && is_due(&has_endpoints, endpoints_ms, ENDPOINTS_LAG_MS);
        if !routes && !endpoints {
            return None;
        }
        let has_it = |peer: &Peer| if routes { has_routes(peer) } else { has_endpoints(peer) };
        let holders: Vec<_> = fresh().filter(|(_, peer)| has_it(peer)).collect();
        // Bytes between failure domains have a price; one that gave nothing is asked last.
        let rank =
            |address: SocketAddr, peer: &Peer| (self.failed == Some(address), !is_near(peer));
        let best = holders.iter().map(|(address, peer)| rank(**address, peer)).min()?;
        let best: Vec<SocketAddr> = holders
            .iter()
            .filter(|(address, peer)| rank(**address, peer) == best)
            .map(|(address, _)| **address)
            .collect();
        let source = best[index_below(mix(random), best.len())];
        Some(Fetch { source, routes, endpoints })
    }
}

/// How long this instance has been behind, in milliseconds.
fn behind_ms(since: &mut Option<Timestamp>, is_behind: bool, now: Timestamp) -> u64 {
    if is_behind {
        now.ms_since(*since.get_or_insert(now))
    } else {
        *since = None;
        0
    }
}
