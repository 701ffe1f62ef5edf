//! The controller of expert groups: holds the lease, tracks demand, and switches expert maps.
//!
//! One task on the control thread maintains the lease and the list of groups. While this instance holds the
//! lease, each group has a task of its own, so that the sequential orders of a switch in one group do not
//! delay the other groups. Heartbeats report the held lease to the other instances.

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
use crate::controllers::expert_groups::group::GroupController;
use crate::controllers::expert_groups::lease::LeaseHandle;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::log_lease::LeaseCandidate;
use crate::gateway::GatewayState;
use crate::group_ports::{LeaseLog, RankAddress};
use crate::ids::TargetName;
use crate::lifecycle::shutdown::Phase;
use crate::routes::raw::ExpertShape;

/// Interval at which the groups are polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;
/// Delay before taking over a free lease, per live instance that precedes this one, in milliseconds, so that
/// instances do not compete for it. A new holder announces itself in its next heartbeat; an instance whose delay
/// ends earlier finds the new record when it reads the log.
const TAKEOVER_STEP_MS: u64 = 120;
/// Time without a heartbeat after which a lease holder is considered down, in milliseconds: four heartbeats.
/// Another instance still waits for the lease to expire.
const HOLDER_TIMEOUT_MS: u64 = 800;
/// Maximum number of preceding instances that add to the takeover delay.
const MAX_TAKEOVER_STEPS: usize = 8;

/// Interfaces to the ranks and to the log of the lease.
#[derive(Clone)]
pub(crate) struct GroupPorts {
    pub(crate) ranks: Arc<AgentRanks>,
    pub(crate) log: Arc<dyn LeaseLog>,
}

/// A group whose ranks are all in the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListedGroup {
    pub(crate) name: String,
    pub(crate) epoch: u64,
    pub(crate) shape: ExpertShape,
    /// Addresses in rank order.
    pub(crate) ranks: Vec<RankAddress>,
}

/// Runs the controller until the process ends.
pub(crate) async fn run(state: Arc<GatewayState>, ports: GroupPorts) {
    let lease = LeaseHandle::start(&state, Arc::clone(&ports.log));
    let groups = watch::Sender::new(ListedGroups::default());
    let mut tasks: BTreeMap<String, JoinHandle<()>> = BTreeMap::new();
    let mut phases = state.subscribe_phase();
    loop {
        wait_for_poll(&mut phases).await;
        let now = state.clock.now();
        let is_behind = peer_lease_end(&state, now).is_some_and(|end| end > lease.end());
        if lease.fence().is_some() && (ports.ranks.is_superseded() || is_behind) {
            lease.on_superseded();
        }
        tasks.retain(|_, task| !task.is_finished());
        let should_release = should_release_lease(&state, &lease);
        if should_release {
            // Switches in progress complete before the lease is released.
            join_all(std::mem::take(&mut tasks).into_values()).await;
            lease.release();
        }
        // Groups that are still forming count, so that the lease is already held when they open.
        let has_groups = has_groups(&state);
        if should_release || !has_groups || !lease.may_issue_orders() {
            state.set_lease_end(None);
            lease.check_holder(&state, &state.peers.load());
            if let Some(end) = peer_lease_end(&state, now) {
                lease.on_peer_lease_end(end);
            } else if state.phase() == Phase::Serving && has_groups {
                lease.acquire_after(takeover_delay_ms(&state, now));
            }
            continue;
        }
        let Some(fence) = lease.fence() else { continue };
        ports.ranks.set_fence(fence + 1);
        state.set_lease_end(Some(lease.end()));
        groups.send_replace(Arc::new(listed_groups(&state)));
        // A task of an earlier term may still run a switch, and two tasks must not send orders to the same
        // ranks.
        for name in groups.borrow().keys() {
            tasks.entry(name.clone()).or_insert_with(|| {
                let (state, ports, lease) = (Arc::clone(&state), ports.clone(), lease.clone());
                let group_task = GroupTask { state, ports, lease };
                tokio::spawn(group_task.run(name.clone(), fence, groups.subscribe()))
            });
        }
    }
}

/// Waits for the next poll, or until the shutdown phase changes.
async fn wait_for_poll(phases: &mut watch::Receiver<Phase>) {
    // The poll checks the phase, so the cause of the wakeup does not matter.
    let _ = timeout(Duration::from_millis(POLL_INTERVAL_MS), phases.changed()).await;
}

/// Whether this instance is shutting down and should release the lease. While the log is unreachable, no
/// other instance could take it over.
fn should_release_lease(state: &GatewayState, lease: &LeaseHandle) -> bool {
    state.phase() != Phase::Serving && !lease.is_log_unreachable()
}

/// All open groups by name, shared with the tasks that control them.
type ListedGroups = Arc<BTreeMap<String, ListedGroup>>;

/// Controls one group during one term of the lease.
struct GroupTask {
    state: Arc<GatewayState>,
    ports: GroupPorts,
    lease: LeaseHandle,
}

impl GroupTask {
    async fn run(self, name: String, fence: u64, groups: watch::Receiver<ListedGroups>) {
        let mut group = GroupController::default();
        let mut polls_immediately = false;
        let mut phases = self.state.subscribe_phase();
        loop {
            if !std::mem::take(&mut polls_immediately) {
                wait_for_poll(&mut phases).await;
            }
            let is_current = self.lease.fence() == Some(fence) && self.lease.may_issue_orders();
            if !is_current || should_release_lease(&self.state, &self.lease) {
                return;
            }
            let groups = Arc::clone(&groups.borrow());
            match groups.get(&name) {
                Some(listed) => {
                    polls_immediately =
                        group.poll(&self.state, &self.ports, &self.lease, listed).await;
                }
                // The group is forming again or was removed.
                None => group = GroupController::default(),
            }
        }
    }
}

/// The end of the lease log as reported by another instance that holds the lease.
fn peer_lease_end(state: &GatewayState, now: Timestamp) -> Option<u64> {
    let peers = state.peers.load();
    let live = peers.peers.values().filter(|peer| now.ms_since(peer.received) < HOLDER_TIMEOUT_MS);
    live.filter_map(|peer| Some(peer.heartbeat.leading.as_ref()?.lease_end)).max()
}

/// Delay before this instance takes over a free lease, in milliseconds.
fn takeover_delay_ms(state: &GatewayState, now: Timestamp) -> u64 {
    let peers = state.peers.load();
    let live = peers.peers.values().filter(|peer| now.ms_since(peer.received) < HOLDER_TIMEOUT_MS);
    let own = LeaseCandidate {
        instance: &state.settings.instance,
        processor_millicores: state.settings.processor_millicores,
    };
    let candidates = live.map(|peer| LeaseCandidate {
        instance: &peer.about.instance,
        processor_millicores: peer.about.processor_millicores,
    });
    let preceding = candidates.filter(|other| other.precedes(&own)).count();
    TAKEOVER_STEP_MS * u64::try_from(preceding.min(MAX_TAKEOVER_STEPS)).unwrap_or(0)
}

/// Whether the endpoint list has any group, open or not.
fn has_groups(state: &GatewayState) -> bool {
    let endpoints = state.endpoints.load();
    endpoints.table.entries().iter().any(|entry| entry.group.is_some())
}

/// Open groups whose ranks are all listed with the same epoch.
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
    // Checked before the ranks are collected, because an entry may state any size.
    let is_whole = entries.len() == first.size
        && places().all(|place| place.is_open && place.epoch == first.epoch);
    if !is_whole {
        return None;
    }
    let mut ranks: Vec<Option<RankAddress>> = vec![None; first.size];
    for entry in entries {
        let place = entry.group.as_ref()?;
        let rank = RankAddress { endpoint: entry.id.clone(), address: entry.address };
        *ranks.get_mut(place.rank)? = Some(rank);
    }
    let ranks = ranks.into_iter().collect::<Option<Vec<_>>>()?;
    Some(ListedGroup { name: name.to_owned(), epoch: first.epoch, shape, ranks })
}
