//! Control of one group under the lease: tracks its expert map and demand, and starts map switches.

use futures_util::future::join_all;

use crate::clock::Timestamp;
use crate::controllers::expert_groups::demand::{DemandMonitor, DemandUpdate};
use crate::controllers::expert_groups::lease::LeaseHandle;
use crate::controllers::expert_groups::switch::{self, SwitchContext, SwitchError};
use crate::controllers::expert_groups::{GroupPorts, ListedGroup};
use crate::decisions::expert_groups::{
    RankStatus, UnfinishedSwitch, find_unfinished_switch, idle_map, imbalance, may_release_hold,
    next_map,
};
use crate::decisions::placement::ExpertMap;
use crate::gateway::GatewayState;
use crate::group_ports::RankClient as _;
use crate::routes::raw::ExpertShape;

/// Time that a rank may spend on copies in one switch, in milliseconds. Demand changes during longer copies;
/// with fewer copies, the gain is small for the time that the orders of the switch take.
const COPY_BUDGET_MS: f64 = 160.0;

/// Maximum number of experts that a rank copies in one switch, at least 1.
pub(super) fn max_copies(shape: &ExpertShape) -> usize {
    let copies = 1..=shape.max_new_experts * shape.sets;
    let fitting = copies.take_while(|copies| copy_ms(shape, *copies) <= COPY_BUDGET_MS);
    fitting.last().unwrap_or(1)
}

/// Time that a rank takes to copy `copies` experts, in milliseconds.
pub(super) fn copy_ms(shape: &ExpertShape, copies: usize) -> f64 {
    let copies = f64::from(u32::try_from(copies).unwrap_or(u32::MAX));
    copies * shape.expert_mb * 8.0 / shape.link_mbps.max(1.0) * 1_000.0
}

/// State of one formation of a group.
struct Formation {
    epoch: u64,
    map: ExpertMap,
    monitor: DemandMonitor,
    /// The last pass that was read and when, from which the duration of a pass is measured.
    last_step: Option<(u64, Timestamp)>,
}

/// Controls the map of one group.
#[derive(Default)]
pub(super) struct GroupController {
    formation: Option<Formation>,
}

impl GroupController {
    /// Polls the group and switches its map if the gain is large enough. Returns whether to poll again
    /// immediately, because demand may have changed during a switch.
    pub(super) async fn poll(
        &mut self,
        state: &GatewayState,
        ports: &GroupPorts,
        lease: &LeaseHandle,
        listed: &ListedGroup,
    ) -> bool {
        if self.formation.as_ref().is_none_or(|formation| formation.epoch != listed.epoch) {
            self.formation = load_formation(state, ports, lease, listed).await;
            return false;
        }
        let Some(formation) = &mut self.formation else { return false };
        let update = formation.monitor.poll(state, ports, listed).await;
        if let Some((rank, step)) = formation.monitor.held_steps().first().copied() {
            let Some(statuses) = read_statuses(ports, listed).await else { return false };
            if may_release_hold(&statuses, step) {
                let mut context = SwitchContext { state, ports, lease, listed, unanswered: 0 };
                switch::release_hold(&mut context, &statuses, step, rank).await;
            } else {
                // The next poll derives the state of the switch from the ranks.
                self.formation = None;
            }
            return false;
        }
        if update == DemandUpdate::Missing {
            return false;
        }
        let now = state.clock.now();
        let map = &formation.map;
        let demand = formation.monitor.demand(map.ranks);
        let next = match &demand {
            Some(demand) => next_map(map, demand, &listed.shape, max_copies(&listed.shape)),
            // Filling all slots takes a second or more, in which a group under load could get no other map.
            None if formation.monitor.is_idle(now) => idle_map(map, &listed.shape),
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
        let mut context = SwitchContext { state, ports, lease, listed, unanswered: 0 };
        let Formation { map: current, monitor, last_step, .. } = formation;
        match switch::run(&mut context, version, next, current, monitor, last_step).await {
            Ok(map) => {
                log::info!(
                    "map switched group={} version={version} took_ms={}",
                    listed.name,
                    state.clock.now().ms_since(now)
                );
                formation.map = map;
            }
            Err(SwitchError::Outdated) => {
                log::info!("map discarded group={} version={version}", listed.name);
            }
            Err(error) => {
                log::warn!(
                    "map switch stopped group={} version={version} reason=\"{error}\"",
                    listed.name
                );
                // The next poll derives the state of the switch from the ranks.
                self.formation = None;
                return false;
            }
        }
        true
    }
}

/// Reads the statuses of all ranks. Returns `None` if one of them does not reply.
pub(super) async fn read_statuses(
    ports: &GroupPorts,
    listed: &ListedGroup,
) -> Option<Vec<RankStatus>> {
    let requests = listed.ranks.iter().map(|rank| ports.ranks.status(rank));
    join_all(requests).await.into_iter().collect()
}

/// Reads the state of a formation. Returns `None` if a rank does not reply, if the ranks use different maps, or
/// after finishing a switch that a previous lease holder left unfinished.
async fn load_formation(
    state: &GatewayState,
    ports: &GroupPorts,
    lease: &LeaseHandle,
    listed: &ListedGroup,
) -> Option<Formation> {
    let ranks = read_statuses(ports, listed).await?;
    let unfinished = find_unfinished_switch(&ranks);
    log::info!(
        "group state read group={} epoch={} found={unfinished:?}",
        listed.name,
        listed.epoch
    );
    let mut context = SwitchContext { state, ports, lease, listed, unanswered: 0 };
    match unfinished {
        UnfinishedSwitch::Nothing => {}
        UnfinishedSwitch::Switch { version, step, rank } => {
            let result = switch::finish(&mut context, version, step, rank).await;
            log::info!(
                "map switch finished group={} version={version} result={result:?}",
                listed.name
            );
            return None;
        }
        UnfinishedSwitch::Hold { step, rank } => {
            switch::release_hold(&mut context, &ranks, step, rank).await;
            return None;
        }
    }
    let map = current_map(ports, listed, &ranks).await?;
    let mut monitor = DemandMonitor::default();
    // Sets the base that the next counts are compared with.
    monitor.poll(state, ports, listed).await;
    Some(Formation { epoch: listed.epoch, map, monitor, last_step: None })
}

/// Reads the map that the ranks use. Returns `None` if they report different versions or one of them does
/// not reply.
async fn current_map(
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
    let requests = listed.ranks.iter().map(|rank| ports.ranks.held_experts(rank));
    let experts_by_rank = join_all(requests).await.into_iter().collect::<Option<Vec<_>>>()?;
    let mut layers = vec![vec![Vec::new(); shape.experts]; shape.sets];
    for (rank, sets) in experts_by_rank.iter().enumerate() {
        for (set, experts) in sets.iter().enumerate() {
            for expert in experts {
                layers.get_mut(set)?.get_mut(*expert)?.push(rank);
            }
        }
    }
    let map = ExpertMap { ranks: listed.ranks.len(), slots: shape.slots, layers };
    map.check().is_ok().then_some(map)
}
