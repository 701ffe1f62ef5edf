//! The controller of expert groups: holds the lease, follows demand, and switches maps.
//!
//! One task on the control thread follows the lease and the list of groups. While this instance holds the
//! lease, each group has a task of its own beside it, since a switch is a sequence of orders each of which
//! waits for the one before, and groups do not wait for each other. What this instance tells others
//! meanwhile is published.

mod demand;
mod group;
mod lease;
mod switch;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::adapters::agent::client::AgentRanks;
use crate::clock::Timestamp;
use crate::controllers::expert_groups::group::Group;
use crate::controllers::expert_groups::lease::LeaseKeeper;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::gateway::GatewayState;
use crate::group_ports::{LeaseLog, RankAddress};
use crate::ids::TargetName;
use crate::lifecycle::shutdown::Phase;
use crate::routes::raw::ExpertShape;

/// Time between two looks at the groups, in milliseconds.
const LOOK_MS: u64 = 100;
/// An instance waits this long for each instance before it in the order of their names once the lease
/// is free, in milliseconds, so that they do not all try at once. Whoever takes it is heard within a
/// heartbeat; those whose turn comes before that read the log and see it.
const TURN_MS: u64 = 120;
/// A holder of the lease that was not heard for this long may be gone, in milliseconds: four heartbeats.
/// Its lease must still be over before another one takes it.
const HOLDER_SILENT_MS: u64 = 800;
/// The most instances that are waited for.
const MAX_TURNS: usize = 8;

/// What the controller works with.
#[derive(Clone)]
pub(crate) struct GroupPorts {
    pub(crate) ranks: Arc<AgentRanks>,
    pub(crate) log: Arc<dyn LeaseLog>,
}

/// A group as the endpoint list shows it.
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
    let groups = watch::Sender::new(ListedGroups::default());
    let mut tasks: BTreeMap<String, JoinHandle<()>> = BTreeMap::new();
    let mut phases = state.subscribe_phase();
    loop {
        wait_for_look(&mut phases).await;
        let now = state.clock.now();
        let is_passed = others_lease_end(&state, now).is_some_and(|end| end > lease.end());
        if lease.fence().is_some() && (ports.ranks.is_superseded() || is_passed) {
            lease.note_superseded();
        }
        tasks.retain(|_, task| !task.is_finished());
        let gives_up = is_leaving(&state, &lease);
        if gives_up {
            // Switches that are under way come to their end first.
            join_all(std::mem::take(&mut tasks).into_values()).await;
            lease.release();
        }
        // Groups that form are on their way: whoever controls them should hold the lease when they open.
        let has_groups = has_groups(&state);
        if gives_up || !has_groups || !lease.may_order() {
            state.set_lease_end(None);
            lease.note_peers(&state, &state.peers.load());
            if let Some(end) = others_lease_end(&state, now) {
                lease.note_heard(end);
            } else if state.phase() == Phase::Serving && has_groups {
                lease.want(turn_ms(&state, now));
            }
            continue;
        }
        let Some(fence) = lease.fence() else { continue };
        ports.ranks.set_fence(fence + 1);
        state.set_lease_end(Some(lease.end()));
        groups.send_replace(Arc::new(listed_groups(&state)));
        // The task of an earlier tenure may still be in a switch; two must not order the same ranks.
        for name in groups.borrow().keys() {
            tasks.entry(name.clone()).or_insert_with(|| {
                let (state, ports, lease) = (Arc::clone(&state), ports.clone(), lease.clone());
                let follower = GroupFollower { state, ports, lease };
                tokio::spawn(follower.run(name.clone(), fence, groups.subscribe()))
            });
        }
    }
}

/// Waits until it is time for a look, or until this instance begins to leave.
async fn wait_for_look(phases: &mut watch::Receiver<Phase>) {
    // Whichever comes first, the look tells what has changed.
    let _ = timeout(Duration::from_millis(LOOK_MS), phases.changed()).await;
}

/// Whether this instance stops and should give the lease up. While the log is away nobody could take it over.
fn is_leaving(state: &GatewayState, lease: &LeaseKeeper) -> bool {
    state.phase() != Phase::Serving && !lease.is_log_away()
}

/// All open groups by name, shared among the tasks that follow them.
type ListedGroups = Arc<BTreeMap<String, ListedGroup>>;

/// Follows one group for one tenure of the lease.
struct GroupFollower {
    state: Arc<GatewayState>,
    ports: GroupPorts,
    lease: LeaseKeeper,
}

impl GroupFollower {
    async fn run(self, name: String, fence: u64, groups: watch::Receiver<ListedGroups>) {
        let mut group = Group::default();
        let mut looks_again = false;
        let mut phases = self.state.subscribe_phase();
        loop {
            if !std::mem::take(&mut looks_again) {
                wait_for_look(&mut phases).await;
            }
            let is_held = self.lease.fence() == Some(fence) && self.lease.may_order();
            if !is_held || is_leaving(&self.state, &self.lease) {
                return;
            }
            let groups = Arc::clone(&groups.borrow());
            match groups.get(&name) {
                Some(listed) => {
                    looks_again = group.look(&self.state, &self.ports, &self.lease, listed).await;
                }
                // It forms anew, or is gone.
                None => group = Group::default(),
            }
        }
    }
}

/// The end of the lease's log, as another instance says that holds the lease.
fn others_lease_end(state: &GatewayState, now: Timestamp) -> Option<u64> {
    let peers = state.peers.load();
    let fresh = peers.peers.values().filter(|peer| now.ms_since(peer.received) < HOLDER_SILENT_MS);
    fresh.filter_map(|peer| Some(peer.heartbeat.leading.as_ref()?.lease_end)).max()
}

fn turn_ms(state: &GatewayState, now: Timestamp) -> u64 {
    let peers = state.peers.load();
    let fresh = peers.peers.values().filter(|peer| now.ms_since(peer.received) < HOLDER_SILENT_MS);
    let before = fresh.filter(|peer| peer.about.instance < state.settings.instance).count();
    TURN_MS * u64::try_from(before.min(MAX_TURNS)).unwrap_or(0)
}

/// Whether any group is listed, open or not.
fn has_groups(state: &GatewayState) -> bool {
    let endpoints = state.endpoints.load();
    endpoints.table.entries().iter().any(|entry| entry.group.is_some())
}

/// Groups whose ranks are all listed in one formation, and open.
fn listed_groups(state: &GatewayState) -> BTreeMap<String, ListedGroup> {
    let Some(routes) = state.routes.load_full() else { return BTreeMap::new() };
    let endpoints = state.endpoints.load();
    let mut by_name: BTreeMap<&str, Vec<&Arc<EndpointEntry>>> = BTreeMap::new();
    for entry in endpoints.table.entries() {
        if let Some(place) = &entry.group {
            by_name.entry(&place.name).or_default().push(entry);
        }
    }
    let groups = by_name.into_iter();
    groups
        .filter_map(|(name, entries)| {
            let service: &TargetName = &entries.first()?.service;
            let shape = *routes.table.expert_shapes.get(service)?;
            Some((name.to_owned(), listed_group(name, shape, &entries)?))
        })
        .collect()
}

fn listed_group(
    name: &str,
    shape: ExpertShape,
    entries: &[&Arc<EndpointEntry>],
) -> Option<ListedGroup> {
    let places = || entries.iter().filter_map(|entry| entry.group.as_ref());
    let first = places().next()?;
    let is_whole = entries.len() == first.size
        && places().all(|place| place.is_open && place.epoch == first.epoch);
    let mut ranks: Vec<Option<RankAddress>> = vec![None; first.size];
    for entry in entries {
        let place = entry.group.as_ref()?;
        let rank = RankAddress { endpoint: entry.id.clone(), address: entry.address };
        *ranks.get_mut(place.rank)? = Some(rank);
    }
    let ranks = ranks.into_iter().collect::<Option<Vec<_>>>()?;
    is_whole.then(|| ListedGroup { name: name.to_owned(), epoch: first.epoch, shape, ranks })
}
