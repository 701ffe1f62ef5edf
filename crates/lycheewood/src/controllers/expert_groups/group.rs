//! One group under the lease: its map, the demand on its experts, and when the map changes.

use futures_util::future::join_all;

use crate::clock::Timestamp;
use crate::controllers::expert_groups::demand::{Demand, DemandWatch};
use crate::controllers::expert_groups::lease::LeaseKeeper;
use crate::controllers::expert_groups::switch::{self, SwitchRun, SwitchStop};
use crate::controllers::expert_groups::{GroupPorts, ListedGroup};
use crate::decisions::expert_groups::{
    RankStatus, UnfinishedSwitch, find_unfinished_switch, idle_map, imbalance, next_map,
};
use crate::decisions::placement::ExpertMap;
use crate::gateway::GatewayState;
use crate::group_ports::RankClient as _;
use crate::routes::raw::ExpertShape;

/// Time that a rank may copy in one switch, in milliseconds. A switch that takes long answers the demand of the
/// past, and one with few copies pays the time of its orders for little.
const COPY_BUDGET_MS: f64 = 160.0;

/// The most experts that a rank copies in one switch, at least 1.
pub(super) fn max_copies(shape: &ExpertShape) -> usize {
    let copies = 1..=shape.max_new_experts * shape.sets;
    let fitting = copies.take_while(|copies| copy_ms(shape, *copies) <= COPY_BUDGET_MS);
    fitting.last().unwrap_or(1)
}

/// How long a rank takes to copy some experts, in milliseconds.
pub(super) fn copy_ms(shape: &ExpertShape, copies: usize) -> f64 {
    let copies = f64::from(u32::try_from(copies).unwrap_or(u32::MAX));
    copies * shape.expert_mb * 8.0 / shape.link_mbps.max(1.0) * 1_000.0
}

/// What is known of one formation of a group.
struct Formation {
    epoch: u64,
    map: ExpertMap,
    watch: DemandWatch,
    /// The last pass seen and when, to tell how long passes take.
    step: Option<(u64, Timestamp)>,
}

/// One group.
#[derive(Default)]
pub(super) struct Group {
    formation: Option<Formation>,
}

impl Group {
    /// Looks at the group, and switches its map if that pays off. Tells whether time has passed in which
    /// demand may have changed, so that it should be looked at again at once.
    pub(super) async fn look(
        &mut self,
        state: &GatewayState,
        ports: &GroupPorts,
        lease: &LeaseKeeper,
        listed: &ListedGroup,
    ) -> bool {
        if self.formation.as_ref().is_none_or(|formation| formation.epoch != listed.epoch) {
            self.formation = enter(state, ports, lease, listed).await;
            return false;
        }
        let Some(formation) = &mut self.formation else { return false };
        let looked = formation.watch.read(state, ports, listed).await;
        if let Some((rank, step)) = formation.watch.held().first().copied() {
            let mut run = SwitchRun { state, ports, lease, listed, lost: 0 };
            switch::release(&mut run, step, rank).await;
            return false;
        }
        if looked == Demand::Unknown {
            return false;
        }
        let now = state.clock.now();
        let map = &formation.map;
        let demand = formation.watch.demand(map.ranks);
        let next = match &demand {
            Some(demand) => next_map(map, demand, &listed.shape, max_copies(&listed.shape)),
            // Filling all slots takes a second or more, in which a group under load would get no other map.
            None if formation.watch.is_idle(now) => idle_map(map, &listed.shape),
            None => None,
        };
        let Some(next) = next else { return false };
        let copies = map.moves_to(&next).len();
        let Some(version) = lease.next_version() else { return false };
        log::info!(
            "map proposed group={} epoch={} version={version} copies={copies} imbalance={:.3} present={:.3}",
            listed.name,
            listed.epoch,
            demand.as_ref().map_or(0.0, |demand| imbalance(&next, demand)),
            demand.as_ref().map_or(0.0, |demand| imbalance(map, demand)),
        );
        let mut run = SwitchRun { state, ports, lease, listed, lost: 0 };
        let Formation { map: present, watch, step, .. } = formation;
        match switch::run(&mut run, version, next, present, watch, step).await {
            Ok(map) => {
                log::info!(
                    "map switched group={} version={version} took_ms={}",
                    listed.name,
                    state.clock.now().ms_since(now)
                );
                formation.map = map;
            }
            Err(SwitchStop::Outdated) => {
                log::info!("map dropped group={} version={version}", listed.name);
            }
            Err(stop) => {
                log::warn!(
                    "map switch stopped group={} version={version} reason=\"{stop}\"",
                    listed.name
                );
                // What the ranks show tells what became of it.
                self.formation = None;
                return false;
            }
        }
        true
    }
}

/// Statuses of all ranks, or `None` if one does not reply.
pub(super) async fn statuses(ports: &GroupPorts, listed: &ListedGroup) -> Option<Vec<RankStatus>> {
    let asked = listed.ranks.iter().map(|rank| ports.ranks.status(rank));
    join_all(asked).await.into_iter().collect()
}

/// Finds out where a formation stands, and finishes a switch that a former holder of the lease left.
async fn enter(
    state: &GatewayState,
    ports: &GroupPorts,
    lease: &LeaseKeeper,
    listed: &ListedGroup,
) -> Option<Formation> {
    let ranks = statuses(ports, listed).await?;
    let found = find_unfinished_switch(&ranks);
    log::info!("group entered group={} epoch={} found={found:?}", listed.name, listed.epoch);
    let mut run = SwitchRun { state, ports, lease, listed, lost: 0 };
    match found {
        UnfinishedSwitch::Nothing => {}
        UnfinishedSwitch::Switch { version, step, rank } => {
            let result = switch::finish(&mut run, version, step, rank).await;
            log::info!(
                "map switch finished group={} version={version} result={result:?}",
                listed.name
            );
            return None;
        }
        UnfinishedSwitch::Hold { step, rank } => {
            switch::release(&mut run, step, rank).await;
            return None;
        }
    }
    let map = present_map(ports, listed, &ranks).await?;
    let mut watch = DemandWatch::default();
    // The next look then tells what was chosen since.
    watch.read(state, ports, listed).await;
    Some(Formation { epoch: listed.epoch, map, watch, step: None })
}

/// The map that the ranks use. All show the same version, or it is asked again later.
async fn present_map(
    ports: &GroupPorts,
    listed: &ListedGroup,
    ranks: &[RankStatus],
) -> Option<ExpertMap> {
    let version = ranks.first()?.map_version;
    if ranks.iter().any(|status| status.map_version != version) {
        return None;
    }
    let shape = &listed.shape;
    if version == 0 {
        let ranks = listed.ranks.len();
        return Some(ExpertMap::round_robin(ranks, shape.slots, shape.experts, shape.sets));
    }
    let asked = listed.ranks.iter().map(|rank| ports.ranks.held_experts(rank));
    let held = join_all(asked).await.into_iter().collect::<Option<Vec<_>>>()?;
    let mut layers = vec![vec![Vec::new(); shape.experts]; shape.sets];
    for (rank, sets) in held.iter().enumerate() {
        for (set, experts) in sets.iter().enumerate() {
            for expert in experts {
                layers.get_mut(set)?.get_mut(*expert)?.push(rank);
            }
        }
    }
    let map = ExpertMap { ranks: listed.ranks.len(), slots: shape.slots, layers };
    map.check().is_ok().then_some(map)
}
