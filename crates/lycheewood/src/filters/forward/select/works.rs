//! Work of the engines that may get a request, and the choice by it.

use std::collections::HashMap;

use crate::clock::Timestamp;
use crate::decisions::balance::{BalancingCandidate, WorkCandidate, WorkRequest, choose_by_work};
use crate::decisions::cost::RequestCost;
use crate::decisions::pace::group_slowdown;
use crate::decisions::work::{GroupWork, total_work_ms};
use crate::filters::forward::exchange::{Admitted, CostBasis, View};
use crate::filters::forward::select::places::Available;
use crate::gateway::GatewayState;
use crate::ids::InstanceId;

/// Work and pace of one endpoint.
#[derive(Clone, Copy, Debug)]
struct EngineWork {
    work_ms: f64,
    slowdown: f64,
    is_slow: bool,
    is_probe_due: bool,
}

/// Work of the ranks of a group and its pace.
#[derive(Clone, Copy, Debug, Default)]
struct GroupStatus {
    work: GroupWork,
    slowdown: f64,
}

/// Work of the engines that a request may be sent to.
pub(super) struct Works<'a> {
    basis: CostBasis,
    cost: RequestCost,
    /// By tag of the endpoint.
    engines: HashMap<u32, EngineWork>,
    groups: HashMap<&'a str, GroupStatus>,
}

impl<'a> Works<'a> {
    /// Finds the work of the endpoints, or `None` if the cost of the request is not estimated.
    pub(super) fn find(
        state: &GatewayState,
        view: &View,
        admitted: &Admitted,
        endpoints: &[Available<'a>],
        now: Timestamp,
    ) -> Option<Self> {
        let (basis, cost) = (admitted.cost_basis?, admitted.estimate_cost(state, now)?);
        let typical = basis.typical();
        let views = endpoints.iter().map(|endpoint| (endpoint.entry.as_ref(), endpoint.in_flight));
        let statuses = state.loads.work.statuses(views, now);
        let mut engines = HashMap::with_capacity(endpoints.len());
        let mut groups: HashMap<&str, GroupStatus> = HashMap::new();
        for (endpoint, status) in endpoints.iter().zip(statuses) {
            let peers = view.peers.work_of_tag(endpoint.tag);
            let own_unestimated = endpoint.own_in_flight.saturating_sub(status.work.requests());
            let unestimated = peers.unestimated.saturating_add(own_unestimated);
            let others_ms = f64::from(u32::try_from(peers.work_ms).unwrap_or(u32::MAX));
            let work_ms = total_work_ms(&status.work, others_ms, unestimated, &typical);
            let engine = EngineWork {
                work_ms,
                slowdown: status.slowdown,
                is_slow: status.is_slow,
                is_probe_due: status.is_probe_due,
            };
            engines.insert(endpoint.tag, engine);
            if let Some(group) = &endpoint.entry.group {
                let group = groups.entry(&group.name).or_default();
                group.work.add(work_ms, endpoint.in_flight.min(endpoint.entry.slots));
            }
        }
        for (name, group) in &mut groups {
            let gap_ms = state.loads.mean_gap_ms(name, now);
            let batch = group.work.in_flight_per_rank();
            group.slowdown = group_slowdown(&basis.engine, gap_ms, batch);
        }
        Some(Self { basis, cost, engines, groups })
    }

    /// The best of the endpoints, as an index.
    pub(super) fn choose(
        &self,
        endpoints: &[&Available<'a>],
        state: &GatewayState,
        avoid: &[InstanceId],
    ) -> Option<usize> {
        let candidates: Vec<_> =
            endpoints.iter().map(|endpoint| self.candidate(endpoint)).collect();
        let request = WorkRequest {
            engine: &self.basis.engine,
            cost: self.cost,
            typical: self.basis.typical(),
        };
        let domain = &state.settings.failure_domain;
        let index = choose_by_work(&candidates, &request, domain, avoid, rand::random())?;
        state.metrics.routing.chosen_by_work.inc();
        Some(index)
    }

    fn candidate(&self, endpoint: &Available<'a>) -> WorkCandidate<'a> {
        let balancing = endpoint.candidate();
        let engine = self.engines.get(&endpoint.tag).copied().unwrap_or(EngineWork {
            work_ms: 0.0,
            slowdown: 1.0,
            is_slow: false,
            is_probe_due: false,
        });
        let group = endpoint.entry.group.as_ref();
        let group = group.and_then(|group| self.groups.get(group.name.as_str()));
        WorkCandidate {
            endpoint: BalancingCandidate {
                is_slow: balancing.is_slow || engine.is_slow,
                ..balancing
            },
            work_ms: engine.work_ms,
            group_work_ms: group.map_or(engine.work_ms, |group| group.work.per_rank_ms()),
            group_in_flight: group
                .map_or(f64::from(balancing.in_flight), |group| group.work.in_flight_per_rank()),
            slowdown: engine.slowdown * group.map_or(1.0, |group| group.slowdown),
            is_probe_due: engine.is_probe_due,
        }
    }
}
