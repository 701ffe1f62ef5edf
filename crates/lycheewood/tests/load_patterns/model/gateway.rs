//! The gateways of the model: who waits, who is refused, and where requests go.

use lycheewood::{
    BalancingCandidate, CompetingRequests, GroupPace, PlaceTotals, QueuePhase, RefusalCause,
    Timestamp, WaitingCounts, cannot_be_served_in_time, choose_by_load, come_back_ms,
    endpoint_batch, in_flight_limit, max_batch, next_in_turn, paced_batch, queue_phase,
    reserved_limit, reserved_places, sends_early, spread_return_ms, waiting_priority,
};
use rand::RngExt;

use super::{DEADLINE_MS, Gateway, Model, Policy, Request, Site, Stream, at, to_f64};

/// Requests that a gateway queues where its queue is bounded.
const BOUNDED_QUEUE: usize = 4;

impl Model<'_> {
    /// Whether the pattern has several priorities, and the policy heeds them.
    fn has_priorities(&self) -> bool {
        let rates = (self.pattern.rates)(0);
        let classes = rates.iter().filter(|rate| **rate > 0.0).count();
        classes > 1 && matches!(self.policy, Policy::Paced | Policy::Strict)
    }

    pub(super) fn arrive(&mut self, gateway: usize, mut request: Request) {
        let priority = u8::try_from(request.class).unwrap();
        request.priority = match self.policy {
            Policy::Paced if self.has_priorities() => {
                waiting_priority(priority, 0, self.random.random())
            }
            _ => priority,
        };
        let queue = &mut self.gateways[gateway].waiting;
        if self.policy == Policy::FirstCome && queue.len() >= BOUNDED_QUEUE {
            self.refuse(request);
            return;
        }
        queue.push(request);
        self.serve_waiting(gateway);
        self.observe(gateway);
        let is_left = |other: &Request| {
            other.asked_ms == request.asked_ms && other.received_ms == request.received_ms
        };
        if self.has_priorities() && self.gateways[gateway].waiting.iter().any(is_left) {
            self.begin_to_wait(gateway, request);
        }
    }

    /// Refuses a request that has no chance, or tells the others that it waits.
    fn begin_to_wait(&mut self, gateway: usize, request: Request) {
        let (site, now) = (self.pattern.site, at(self.now_ms));
        let place_request = request.place_request(site);
        let Gateway { waiting, grants, told, told_ms, .. } = &mut self.gateways[gateway];
        let others = waiting.iter().map(|other| other.place_request(site));
        let ahead = others.filter(|other| other.order(now) < place_request.order(now)).count();
        let is_early = sends_early(request.priority, 2, &told.pairs(), at(*told_ms), now);
        if self.policy == Policy::Paced
            && cannot_be_served_in_time(ahead, grants, place_request.deadlines.expires(), now)
        {
            waiting.retain(|other| {
                (other.asked_ms, other.received_ms) != (request.asked_ms, request.received_ms)
            });
            self.refuse(request);
        } else if is_early {
            (*told, *told_ms) = (counts(waiting, self.pattern.site, at(self.now_ms)), self.now_ms);
        }
    }

    /// The batch of each rank that a gateway keeps to, if it does.
    fn batch(&self, gateway: usize) -> Option<f64> {
        let site = self.pattern.site;
        let limit = max_batch(&site.engine, site.gap_ms);
        let Gateway { gaps, own, others, .. } = &self.gateways[gateway];
        match (self.policy, gaps.mean_ms(at(self.now_ms))) {
            (Policy::Unlimited, _) => None,
            (Policy::FixedBatch, _) | (_, None) => Some(f64::from(limit)),
            (_, Some(gap_ms)) => {
                let in_flight = own.iter().zip(others).map(|(own, others)| own + others);
                let running: u32 = in_flight.map(|count| count.min(site.engine.slots)).sum();
                let batch = f64::from(running) / to_f64(self.ranks.len());
                let slowdown = (self.pattern.slowdown)(self.now_ms);
                let pace = GroupPace { gap_ms, batch, slowdown };
                Some(paced_batch(&site.engine, site.gap_ms, limit, &pace))
            }
        }
    }

    /// The ranks with a free place.
    fn places(&self, gateway: usize, request: &Request) -> Vec<usize> {
        let Some(batch) = self.batch(gateway) else { return (0..self.ranks.len()).collect() };
        let now = at(self.now_ms);
        let phase = match self.policy {
            Policy::FirstCome | Policy::Strict => QueuePhase::OnTime,
            _ => queue_phase(&request.deadlines(self.pattern.site), now),
        };
        let place_request = request.place_request(self.pattern.site);
        let Gateway { own, others, pressure, .. } = &self.gateways[gateway];
        let pressure =
            if self.has_priorities() { place_request.pressure(pressure, now) } else { 0.0 };
        let lost = (self.pattern.ranks_lost)(self.now_ms);
        let endpoints = self.ranks.len() - lost;
        let mut totals = PlaceTotals::default();
        let mut free = Vec::new();
        for rank in lost..self.ranks.len() {
            let tag = u64::try_from(rank).unwrap().wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let batch = endpoint_batch(batch, tag);
            let reserved = reserved_places(pressure, endpoints, f64::from(batch));
            let other_tag = tag.wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let limit = reserved_limit(in_flight_limit(batch, phase), reserved, other_tag);
            let in_flight = own[rank] + others[rank];
            totals.limit += limit;
            totals.in_flight += in_flight;
            if in_flight < limit {
                free.push(rank);
            }
        }
        if self.policy == Policy::Paced
            && self.has_priorities()
            && !self.may_claim(gateway, request, totals)
        {
            free.clear();
        }
        free
    }

    /// Whether a gateway may take one of the free places that it sees.
    fn may_claim(&self, gateway: usize, request: &Request, totals: PlaceTotals) -> bool {
        let own = counts(&self.gateways[gateway].waiting, self.pattern.site, at(self.now_ms))
            .up_to(request.priority)
            .max(1);
        let others = self.gateways.iter().enumerate().filter(|(other, _)| *other != gateway);
        let all = others.map(|(_, other)| other.told.up_to(request.priority)).sum::<u32>() + own;
        let Gateway { claims, grants, .. } = &self.gateways[gateway];
        let now = at(self.now_ms);
        let competing = CompetingRequests::new(own, all, self.gateways.len(), grants, now);
        claims.may_take(totals, &competing, seed(gateway), now)
    }

    fn try_send(&mut self, gateway: usize, request: Request) -> bool {
        let site = self.pattern.site;
        let ranks = self.places(gateway, &request);
        let Gateway { own, others, .. } = &self.gateways[gateway];
        let candidates: Vec<_> = ranks
            .iter()
            .map(|rank| BalancingCandidate {
                id: &self.ids[*rank],
                failure_domain: &self.domain,
                slots: site.engine.slots,
                in_flight: own[*rank] + others[*rank],
                failures: 0.0,
                is_slow: false,
            })
            .collect();
        let random = self.random.random();
        let Some(index) = choose_by_load(&candidates, &self.domain, &[], random) else {
            return false;
        };
        let rank = ranks[index];
        if request.leaves_ms.is_some_and(|leaves| leaves <= self.now_ms) {
            self.outcome.sent_in_vain += 1;
        }
        if self.ranks[rank].queued.len() >= site.engine_queue {
            self.outcome.rejected += 1;
            self.refuse(request);
            return true;
        }
        self.gateways[gateway].own[rank] += 1;
        self.gateways[gateway].grants.record(at(self.now_ms));
        self.gateways[gateway].claims.record_taken(seed(gateway), at(self.now_ms));
        let is_late = false;
        let stream =
            Stream { request, gateway, events_left: request.events, last_event_ms: None, is_late };
        self.ranks[rank].queued.push_back(stream);
        true
    }

    fn refuse(&mut self, request: Request) {
        let held_ms = self.now_ms - request.received_ms;
        self.outcome.longest_held_ms = self.outcome.longest_held_ms.max(held_ms);
        if request.leaves_ms.is_some() {
            return;
        }
        if request.returns_left == 0 {
            self.outcome.unserved += 1;
            return;
        }
        let remaining_ms = (request.asked_ms + DEADLINE_MS).saturating_sub(self.now_ms);
        let wait_ms = if self.pattern.repeats_at_once {
            20
        } else if self.policy == Policy::Unlimited {
            1_000
        } else if self.has_priorities() {
            spread_return_ms(remaining_ms, self.random.random())
        } else {
            come_back_ms(RefusalCause::Full, self.random.random())
        };
        let request = Request { returns_left: request.returns_left - 1, ..request };
        self.returning.push((self.now_ms + wait_ms, request));
    }

    /// Lets waiting requests look for a place.
    pub(super) fn serve_waiting(&mut self, gateway: usize) {
        let waiting = &mut self.gateways[gateway].waiting;
        waiting.retain(|request| request.leaves_ms.is_none_or(|leaves| leaves > self.now_ms));
        loop {
            let turns = self.turns(gateway, &self.gateways[gateway].waiting);
            let served = turns
                .into_iter()
                .find(|index| self.try_send(gateway, self.gateways[gateway].waiting[*index]));
            let Some(index) = served else { break };
            self.gateways[gateway].waiting.remove(index);
        }
    }

    /// The waiting requests that look for a place, in order.
    fn turns(&self, gateway: usize, waiting: &[Request]) -> Vec<usize> {
        let (site, now) = (self.pattern.site, at(self.now_ms));
        let mut all: Vec<usize> = (0..waiting.len()).collect();
        match self.policy {
            Policy::Unlimited | Policy::Unordered => {}
            Policy::FirstCome => all.truncate(1),
            Policy::Strict => {
                all.sort_by_key(|index| (waiting[*index].class, waiting[*index].received_ms));
            }
            Policy::Paced | Policy::FixedBatch => {
                let requests: Vec<_> = waiting.iter().map(|r| r.place_request(site)).collect();
                return next_in_turn(&requests, &self.gateways[gateway].pressure, now);
            }
        }
        all
    }

    /// Takes into account which requests wait at all gateways.
    fn observe(&mut self, gateway: usize) {
        if !self.has_priorities() {
            return;
        }
        let others = self.gateways.iter().enumerate().filter(|(other, _)| *other != gateway);
        let own = counts(&self.gateways[gateway].waiting, self.pattern.site, at(self.now_ms));
        let all = others.fold(own, |sum, (_, other)| sum.plus(&other.told));
        self.gateways[gateway].pressure.observe(&all, at(self.now_ms));
    }

    /// Updates what a gateway and the others know of each other.
    pub(super) fn refresh(&mut self, gateway: usize) {
        let newest = || self.gateways.iter().map(|other| other.own.clone()).collect();
        let counts_of_all: Vec<Vec<u32>> = self.copies.front().cloned().unwrap_or_else(newest);
        let others: Vec<u32> = (0..self.ranks.len())
            .map(|rank| {
                let all: u32 = counts_of_all.iter().map(|own| own[rank]).sum();
                all - counts_of_all[gateway][rank]
            })
            .collect();
        let told = counts(&self.gateways[gateway].waiting, self.pattern.site, at(self.now_ms));
        let state = &mut self.gateways[gateway];
        (state.others, state.told, state.told_ms) = (others, told, self.now_ms);
        self.observe(gateway);
        self.serve_waiting(gateway);
    }

    /// Refuses the requests whose time in the queue is over.
    pub(super) fn expire(&mut self, gateway: usize) {
        let (site, now) = (self.pattern.site, at(self.now_ms));
        let mut waiting = std::mem::take(&mut self.gateways[gateway].waiting);
        waiting.retain(|request| request.leaves_ms.is_none_or(|leaves| leaves > self.now_ms));
        waiting.retain(|request| {
            let is_expired = queue_phase(&request.deadlines(site), now) == QueuePhase::Expired;
            if is_expired {
                self.refuse(*request);
            }
            !is_expired
        });
        self.gateways[gateway].waiting = waiting;
    }
}

/// A number that differs between gateways.
pub(super) fn seed(gateway: usize) -> u64 {
    u64::try_from(gateway).unwrap().wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The requests that wait and can still be on time.
fn counts(waiting: &[Request], site: &Site, now: Timestamp) -> WaitingCounts {
    let mut counts = WaitingCounts::default();
    let is_on_time =
        |request: &&Request| queue_phase(&request.deadlines(site), now) == QueuePhase::OnTime;
    for request in waiting.iter().filter(is_on_time) {
        counts.add(request.priority, 1);
    }
    counts
}
