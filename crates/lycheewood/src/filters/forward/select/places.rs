//! Finds the endpoints with a free place for a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Timestamp;
use crate::decisions::balance::{BalancingCandidate, choose_by_load};
use crate::decisions::batch::{GroupPace, endpoint_batch, paced_batch};
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::queue::{QueuePhase, in_flight_limit};
use crate::decisions::units::mix;
use crate::decisions::urgency::{PlaceTotals, reserved_limit, reserved_places};
use crate::filters::forward::exchange::{Admitted, GapLimit, View};
use crate::filters::forward::select::usable::{is_cold, is_usable};
use crate::filters::forward::select::works::Works;
use crate::gateway::GatewayState;
use crate::ids::InstanceId;
use crate::limit_tracker::PermitAvailability;

/// An endpoint that may get the request.
pub(super) struct Available<'a> {
    pub(super) entry: &'a Arc<EndpointEntry>,
    pub(super) tag: u32,
    /// Requests in flight from all instances.
    pub(super) in_flight: u32,
    /// Requests in flight from this instance.
    pub(super) own_in_flight: u32,
    failures: f64,
    /// Work time in percent of the usual time, if it is much longer.
    pub(super) slowdown_percent: Option<u32>,
    /// Whether it gets the request only if no other can: its domain was given back lately.
    is_held_back: bool,
    /// Whether there is a permit for it, if it has named a limit.
    permit: Option<PermitAvailability>,
    /// Time between this instance's windows for the endpoint, if it is cold and its service limits that.
    cold_period_ms: Option<u64>,
}

impl<'a> Available<'a> {
    /// Whether it has named a limit and this instance has no permit for it.
    fn lacks_permit(&self) -> bool {
        self.permit.is_some_and(|permit| permit != PermitAvailability::Granted)
    }

    /// When it may get a request at the earliest, as far as that is limited.
    fn next_permit(&self) -> Option<Timestamp> {
        match self.permit? {
            PermitAvailability::Granted => None,
            PermitAvailability::Ask { look_again } => Some(look_again),
            PermitAvailability::AskFrom(ask_from) => Some(ask_from),
        }
    }

    pub(super) fn candidate(&self) -> BalancingCandidate<'a> {
        BalancingCandidate {
            id: &self.entry.id,
            failure_domain: &self.entry.failure_domain,
            slots: self.entry.slots,
            in_flight: self.in_flight,
            failures: self.failures,
            is_slow: self.slowdown_percent.is_some(),
        }
    }
}

/// The endpoints with a free place for a request.
pub(super) struct Places<'a> {
    available: Vec<Available<'a>>,
    totals: PlaceTotals,
    /// When the first cold or limited endpoint may take the request.
    pub(super) next_window: Option<Timestamp>,
    /// Work of the engines, if the cost of the request is estimated.
    works: Option<Works<'a>>,
}

impl<'a> Places<'a> {
    /// Finds the endpoints with fewer requests in flight than their batch allows in `phase`. Under the `pressure` of
    /// more urgent requests, some places stay free for them.
    pub(super) fn find(
        state: &'a GatewayState,
        view: &'a View,
        admitted: &Admitted,
        phase: QueuePhase,
        pressure: f64,
        now: Timestamp,
    ) -> Self {
        let mut available = available_endpoints(state, view, admitted, now);
        let mut totals = PlaceTotals::default();
        // Ranks without a free place belong to the work of their group.
        let works = Works::find(state, view, admitted, &available, now);
        if let Some(limit) = &admitted.gap_limit {
            let batches = group_batches(state, limit, &available, now);
            let endpoints = available.len();
            available.retain(|endpoint| {
                let group = endpoint.entry.group.as_ref().map(|group| group.name.as_str());
                let batch = group.and_then(|group| batches.get(group));
                let batch = batch.map_or(limit.max_batch, |batch| {
                    endpoint_batch(*batch, mix(u64::from(endpoint.tag)))
                });
                let reserved = reserved_places(pressure, endpoints, f64::from(batch));
                let random = mix(mix(u64::from(endpoint.tag)));
                let limit = reserved_limit(in_flight_limit(batch, phase), reserved, random);
                totals.limit += limit;
                totals.in_flight += endpoint.in_flight;
                endpoint.in_flight < limit
            });
        }
        // After the batches, since cold ranks count for the pace of their group.
        let next_open = |endpoint: &Available<'_>| {
            let period_ms = endpoint.cold_period_ms?;
            Some(state.cold.next_open(&endpoint.entry.id, period_ms, now))
        };
        let untried = available.iter().filter(|e| !admitted.avoid.contains(&e.entry.id));
        let next_window = untried.filter_map(|e| next_open(e).max(e.next_permit())).min();
        available.retain(|endpoint| next_open(endpoint).is_none_or(|open| open <= now));
        Self { available, totals, next_window, works }
    }

    /// The places at all endpoints, if their batch is limited.
    pub(super) const fn totals(&self) -> PlaceTotals {
        self.totals
    }

    /// The best endpoint for the request. Uses this instance's window if the endpoint is cold, and a permit if it has
    /// named a limit. Asks for a permit if the best endpoint lacks one.
    pub(super) fn choose(
        &self,
        state: &GatewayState,
        admitted: &Admitted,
        expires: Timestamp,
        now: Timestamp,
    ) -> Option<Arc<EndpointEntry>> {
        let is_refused =
            |e: &&Available<'_>| matches!(e.permit, Some(PermitAvailability::AskFrom(_)));
        let mut left: Vec<_> = self.available.iter().filter(|e| !is_refused(e)).collect();
        loop {
            let usual: Vec<_> = left.iter().filter(|e| !e.is_held_back).copied().collect();
            let chosen = self
                .choose_among(&usual, state, admitted)
                .or_else(|| self.choose_among(&left, state, admitted))?;
            if chosen.lacks_permit() {
                self.ask_for_permit(state, admitted, chosen.tag, expires, now);
                left.retain(|endpoint| !endpoint.lacks_permit());
                continue;
            }
            if try_use(state, chosen, now) {
                return Some(Arc::clone(chosen.entry));
            }
            // Another request has used the window or the permit.
            left.retain(|endpoint| endpoint.entry.id != chosen.entry.id);
        }
    }

    /// Asks for a permit, unless this instance already expects one for each request that waits.
    fn ask_for_permit(
        &self,
        state: &GatewayState,
        admitted: &Admitted,
        tag: u32,
        expires: Timestamp,
        now: Timestamp,
    ) {
        let expected = state.limits.expected(self.available.iter().map(|e| e.tag), now);
        if expected < state.waiting_room.waiting_for(&admitted.service) {
            state.ask_for_permit(tag, expires.ms_since(now));
        }
    }

    /// The best of some of the endpoints for the request.
    fn choose_among<'e>(
        &self,
        available: &[&'e Available<'a>],
        state: &GatewayState,
        admitted: &Admitted,
    ) -> Option<&'e Available<'a>> {
        let choose = |avoid: &[InstanceId]| {
            if let Some(works) = &self.works {
                return works.choose(available, state, avoid);
            }
            let candidates: Vec<_> = available.iter().map(|e| e.candidate()).collect();
            choose_by_load(&candidates, &state.settings.failure_domain, avoid, rand::random())
        };
        // A refusal may concern only the rank that sent it, so the next attempt goes to another rank of its group.
        let untried = [admitted.avoid.as_slice(), admitted.refused_by.as_slice()].concat();
        let index = choose(&untried).or_else(|| choose(&admitted.avoid))?;
        Some(available[index])
    }
}

/// Uses the window and the permit that an endpoint needs. Returns whether the request may be sent there.
fn try_use(state: &GatewayState, endpoint: &Available<'_>, now: Timestamp) -> bool {
    if endpoint.permit.is_some() {
        if state.limits.redeem(endpoint.tag, now).is_none() {
            return false;
        }
        state.metrics.routing.permits_used.inc();
    }
    let Some(period_ms) = endpoint.cold_period_ms else { return true };
    let is_open = state.cold.try_use(&endpoint.entry.id, period_ms, now);
    if is_open {
        state.metrics.routing.cold_sent.inc();
    }
    is_open
}

/// The endpoints of a service that want requests, with their loads.
fn available_endpoints<'a>(
    state: &GatewayState,
    view: &'a View,
    admitted: &Admitted,
    now: Timestamp,
) -> Vec<Available<'a>> {
    let service = &admitted.service;
    let draw = rand::random_range(0..100);
    let routes = view.routes.as_ref();
    let cold_per_s = routes.and_then(|routes| routes.table.cold_per_s.get(service).copied());
    let cold_period_ms = cold_per_s.map(|cold_per_s| state.cold.period_ms(cold_per_s));
    let exclusions = state.loads.exclusions();
    let paused = state.loads.paused_groups(now);
    let own_slow = state.leading().map(|leading| leading.slow).unwrap_or_default();
    let slowdown_percent = |tag: u32| {
        let own = own_slow.iter().find(|(slow, _)| *slow == tag).map(|(_, percent)| *percent);
        own.or_else(|| view.peers.slowdown_percent(tag))
    };
    let table = &view.endpoints.table;
    let loads = state.loads.loads(table.endpoints(service).iter().map(|entry| &entry.id), now);
    let endpoints = table.tagged_endpoints(service).zip(loads);
    endpoints
        .filter(|((entry, _), load)| {
            let is_paused = entry.group.as_ref().is_some_and(|group| paused.contains(&group.name));
            let is_wanted = !load.is_misdirected && !is_paused && !exclusions.contains(entry, now);
            is_wanted && is_usable(state, view, admitted, entry)
        })
        .map(|((entry, tag), load)| Available {
            entry,
            tag,
            own_in_flight: load.in_flight,
            in_flight: load.in_flight + view.peers.in_flight_by_tag(tag),
            failures: load.failures + view.peers.failures_by_tag(tag),
            slowdown_percent: slowdown_percent(tag),
            permit: state.limits.availability(tag, now),
            cold_period_ms: cold_period_ms.filter(|_| is_cold(view, entry, now)),
            is_held_back: draw >= view.evacuations.share_percent(&entry.failure_domain, now),
        })
        .collect()
}

/// The batch that keeps the event gaps of each group within the limit at its present pace. A group whose pace is
/// not known is left out.
fn group_batches<'a>(
    state: &GatewayState,
    limit: &GapLimit,
    available: &[Available<'a>],
    now: Timestamp,
) -> HashMap<&'a str, f64> {
    let mut groups: HashMap<&str, Vec<&Available<'a>>> = HashMap::new();
    for endpoint in available {
        if let Some(group) = &endpoint.entry.group {
            groups.entry(&group.name).or_default().push(endpoint);
        }
    }
    let GapLimit { engine, gap_ms, max_batch } = limit;
    let groups = groups.into_iter();
    groups
        .filter_map(|(name, ranks)| {
            let mean_gap_ms = state.loads.mean_gap_ms(name, now)?;
            let count = f64::from(u32::try_from(ranks.len()).unwrap_or(u32::MAX));
            let running = ranks.iter().map(|rank| f64::from(rank.in_flight.min(rank.entry.slots)));
            let slowest = ranks.iter().filter_map(|rank| rank.slowdown_percent).max();
            let slowdown = f64::from(slowest.unwrap_or(100)) / 100.0;
            let pace =
                GroupPace { gap_ms: mean_gap_ms, batch: running.sum::<f64>() / count, slowdown };
            Some((name, paced_batch(engine, *gap_ms, *max_batch, &pace)))
        })
        .collect()
}
