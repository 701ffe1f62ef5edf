//! The controller of expert groups: holds the lease, follows demand, and switches maps.
//!
//! It is one task on the control thread, since a switch is a sequence of orders each of which waits for
//! the one before. It owns all of its state; what it tells other instances while it holds the lease is
//! published.

mod demand;
mod group;
mod lease;
mod switch;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::adapters::agent::client::AgentRanks;
use crate::clock::Timestamp;
use crate::controllers::expert_groups::group::Group;
use crate::controllers::expert_groups::lease::LeaseKeeper;
use crate::decisions::servers::ServerEntry;
use crate::gateway::GatewayState;
use crate::group_ports::{LeaseLog, RankAddress};
use crate::ids::TargetName;
use crate::lifecycle::shutdown::Phase;
use crate::routes::raw::ExpertShape;

/// Time between two looks at the groups, in milliseconds.
const LOOK_MS: u64 = 100;
/// An instance waits this long for each ready instance before it in the order of their names once the lease
/// is free, in milliseconds, so that they do not all try at once. Whoever takes it is heard within a
/// heartbeat; those whose turn comes before that read the log and see it.
const TURN_MS: u64 = 120;
/// A holder of the lease that was not heard for this long may be gone, in milliseconds: four heartbeats.
/// Its lease must still be over before another one takes it.
const HOLDER_SILENT_MS: u64 = 800;
/// The most instances that are waited for.
const MAX_TURNS: usize = 8;

/// What the controller works with.
pub(crate) struct GroupPorts {
    pub(crate) ranks: Arc<AgentRanks>,
    pub(crate) log: Arc<dyn LeaseLog>,
}

/// A group as the server list shows it.
#[derive(Clone, Debug)]
pub(crate) struct ListedGroup {
    pub(crate) name: String,
    pub(crate) epoch: u64,
    pub(crate) shape: ExpertShape,
    /// In the order of their ranks.
    pub(crate) ranks: Vec<RankAddress>,
}

/// Runs the controller until the process ends.
pub(crate) async fn run(state: Arc<GatewayState>, ports: GroupPorts) {
    let lease = LeaseKeeper::start(&state, Arc::clone(&ports.log));
    let mut groups: BTreeMap<String, Group> = BTreeMap::new();
    let mut looks_again = false;
    loop {
        if !std::mem::take(&mut looks_again) {
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        let now = state.clock.now();
        let is_passed = others_lease_end(&state, now).is_some_and(|end| end > lease.end());
        if lease.fence().is_some() && (ports.ranks.is_superseded() || is_passed) {
            lease.note_superseded();
        }
        let is_leaving = state.phase() != Phase::Serving;
        // While the log is away nobody could take the lease over.
        let gives_up = is_leaving && !lease.is_log_away();
        if gives_up {
            lease.release();
        }
        // Groups that form are on their way: whoever controls them should hold the lease when they open.
        let has_groups = has_groups(&state);
        if gives_up || !has_groups || !lease.may_order() {
            groups.clear();
            state.set_lease_end(None);
            if let Some(end) = others_lease_end(&state, now) {
                lease.note_heard(end);
            } else if !is_leaving && has_groups {
                lease.want(turn_ms(&state, now));
            }
            continue;
        }
        let listed = listed_groups(&state);
        ports.ranks.set_fence(lease.fence().map_or(0, |fence| fence + 1));
        state.set_lease_end(Some(lease.end()));
        groups.retain(|name, _| listed.iter().any(|group| group.name == *name));
        for listed in listed {
            let group = groups.entry(listed.name.clone()).or_default();
            looks_again |= group.look(&state, &ports, &lease, &listed).await;
        }
    }
}

/// The end of the lease's log, as another instance says that holds the lease.
fn others_lease_end(state: &GatewayState, now: Timestamp) -> Option<u64> {
    let peers = state.peers.load();
    let fresh = peers.peers.values().filter(|peer| now.ms_since(peer.heard) < HOLDER_SILENT_MS);
    fresh.filter_map(|peer| Some(peer.heartbeat.leading.as_ref()?.lease_end)).max()
}

fn turn_ms(state: &GatewayState, now: Timestamp) -> u64 {
    let peers = state.peers.load();
    let ready = peers.peers.values().filter(|peer| peer.may_be_told(now));
    let before = ready.filter(|peer| peer.about.instance < state.settings.instance).count();
    TURN_MS * u64::try_from(before.min(MAX_TURNS)).unwrap_or(0)
}

/// Whether any group is listed, open or not.
fn has_groups(state: &GatewayState) -> bool {
    let servers = state.servers.load();
    servers.table.entries().iter().any(|entry| entry.group.is_some())
}

/// Groups whose ranks are all listed in one formation, and open.
fn listed_groups(state: &GatewayState) -> Vec<ListedGroup> {
    let Some(routes) = state.routes.load_full() else { return Vec::new() };
    let servers = state.servers.load();
    let mut by_name: BTreeMap<&str, Vec<&Arc<ServerEntry>>> = BTreeMap::new();
    for entry in servers.table.entries() {
        if let Some(place) = &entry.group {
            by_name.entry(&place.name).or_default().push(entry);
        }
    }
    let groups = by_name.into_iter();
    groups
        .filter_map(|(name, entries)| {
            let service: &TargetName = &entries.first()?.service;
            let shape = *routes.table.expert_shapes.get(service)?;
            listed_group(name, shape, &entries)
        })
        .collect()
}

fn listed_group(
    name: &str,
    shape: ExpertShape,
    entries: &[&Arc<ServerEntry>],
) -> Option<ListedGroup> {
    let places = || entries.iter().filter_map(|entry| entry.group.as_ref());
    let first = places().next()?;
    let is_whole = entries.len() == first.size
        && places().all(|place| place.is_open && place.epoch == first.epoch);
    let mut ranks: Vec<Option<RankAddress>> = vec![None; first.size];
    for entry in entries {
        let place = entry.group.as_ref()?;
        let rank = RankAddress { server: entry.id.clone(), address: entry.address };
        *ranks.get_mut(place.rank)? = Some(rank);
    }
    let ranks = ranks.into_iter().collect::<Option<Vec<_>>>()?;
    is_whole.then(|| ListedGroup { name: name.to_owned(), epoch: first.epoch, shape, ranks })
}
