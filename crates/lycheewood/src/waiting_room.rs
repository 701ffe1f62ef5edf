//! Requests that wait at this instance for a place at an endpoint, by service.
//!
//! Traffic threads update it directly, like the load tracker. The lock is held while one queue is searched. Only the
//! requests that are next in turn are woken when a place may be free.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::clock::{Clock, Timestamp};
use crate::decisions::queue::{QueuePhase, queue_phase};
use crate::decisions::urgency::{
    CompetingRequests, GrantRate, PlaceClaims, PlaceRequest, PlaceTotals, Pressure, WaitingCounts,
    cannot_be_served_in_time, next_in_turn, sends_early,
};
use crate::ids::TargetName;

/// How a request waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitTerms {
    pub(crate) request: PlaceRequest,
    /// Whether it waits for its turn. Others look for an endpoint at each change.
    pub(crate) is_ordered: bool,
    /// The least urgent priority of the service, if its requests differ in priority.
    pub(crate) least_urgent: Option<u8>,
}

#[derive(Debug)]
struct Waiter {
    ticket: u64,
    terms: WaitTerms,
    /// Whether it has looked for a place and found none.
    has_looked: bool,
    /// Notified when it is the waiter's turn to look for a place.
    turn: Arc<Notify>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    waiters: Vec<Waiter>,
    pressure: Pressure,
    /// Whether less urgent requests leave places free.
    has_pressure: bool,
    /// The least urgent priority of the service, if its requests differ in priority.
    least_urgent: Option<u8>,
    grants: GrantRate,
    claims: PlaceClaims,
}

impl ServiceQueue {
    fn terms(&self, ticket: u64) -> Option<WaitTerms> {
        let waiter = self.waiters.iter().find(|waiter| waiter.ticket == ticket);
        waiter.map(|waiter| waiter.terms)
    }

    /// Takes into account which requests wait at all instances.
    fn observe(&mut self, service: &TargetName, waiting: &WaitingCounts, now: Timestamp) {
        let Some(least_urgent) = self.least_urgent else { return };
        self.pressure.observe(waiting, now);
        let has_pressure = self.pressure.above(least_urgent, now) > 0.0;
        if std::mem::replace(&mut self.has_pressure, has_pressure) != has_pressure {
            let waiting = waiting.pairs();
            log::info!(
                "places left free service={service} active={has_pressure} waiting={waiting:?}"
            );
        }
    }

    /// Whether it is a waiter's turn to look for a place.
    fn is_in_turn(&self, ticket: u64, now: Timestamp) -> bool {
        self.turns(now).any(|waiter| waiter.ticket == ticket)
    }

    /// The waiters that should look for a place.
    fn turns(&self, now: Timestamp) -> impl Iterator<Item = &Waiter> {
        let (ordered, others): (Vec<&Waiter>, Vec<&Waiter>) =
            self.waiters.iter().partition(|waiter| waiter.terms.is_ordered);
        let requests: Vec<PlaceRequest> = ordered.iter().map(|w| w.terms.request).collect();
        let turns = next_in_turn(&requests, &self.pressure, now);
        turns.into_iter().map(move |index| ordered[index]).chain(others)
    }

    fn wake(&self, now: Timestamp) {
        for waiter in self.turns(now) {
            waiter.turn.notify_one();
        }
    }
}

#[derive(Debug, Default)]
struct Queues {
    services: HashMap<TargetName, ServiceQueue>,
    next_ticket: u64,
    /// The counts that all instances were last told, and when.
    told: Vec<(u8, u32)>,
    told_at: Timestamp,
}

impl Queues {
    /// The requests that wait here and can still be on time, by priority, where requests of their service differ in it.
    fn waiting(&self, now: Timestamp) -> WaitingCounts {
        let mut counts = WaitingCounts::default();
        let waiters = self.services.values().flat_map(|queue| &queue.waiters);
        let competing = waiters.filter(|waiter| {
            let deadlines = &waiter.terms.request.deadlines;
            waiter.has_looked
                && waiter.terms.least_urgent.is_some()
                && queue_phase(deadlines, now) == QueuePhase::OnTime
        });
        for waiter in competing {
            counts.add(waiter.terms.request.priority, 1);
        }
        counts
    }
}

/// The requests that wait at this instance.
#[derive(Debug)]
pub(crate) struct WaitingRoom {
    queues: Mutex<Queues>,
    clock: Clock,
    /// A number that differs between instances.
    seed: u64,
    /// Notified to send a heartbeat before its interval ends.
    early_heartbeat: Arc<Notify>,
}

impl WaitingRoom {
    pub(crate) fn new(clock: Clock, seed: u64, early_heartbeat: Arc<Notify>) -> Self {
        Self { queues: Mutex::default(), clock, seed, early_heartbeat }
    }

    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request to the queue of its service until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>, service: &TargetName, terms: WaitTerms) -> WaitGuard {
        let mut queues = self.lock();
        let ticket = queues.next_ticket;
        queues.next_ticket += 1;
        let turn = Arc::new(Notify::new());
        let waiter = Waiter { ticket, terms, has_looked: false, turn: Arc::clone(&turn) };
        let queue = queues.services.entry(service.clone()).or_default();
        queue.least_urgent = terms.least_urgent;
        queue.waiters.push(waiter);
        WaitGuard { room: Arc::clone(self), service: service.clone(), ticket, turn }
    }

    /// Wakes the requests that are next in turn, because a place may be free.
    pub(crate) fn wake(&self) {
        let now = self.clock.now();
        self.lock().services.values().for_each(|queue| queue.wake(now));
    }

    /// Records that a request from this instance to a service has ended, and wakes the requests that are next in turn.
    pub(crate) fn record_freed(&self, service: &TargetName) {
        let now = self.clock.now();
        if let Some(queue) = self.lock().services.get_mut(service) {
            queue.claims.record_freed(self.seed, now);
            queue.wake(now);
        }
    }

    /// Takes into account which requests wait at other instances.
    pub(crate) fn observe(&self, elsewhere: &WaitingCounts) {
        let now = self.clock.now();
        let mut queues = self.lock();
        let waiting = queues.waiting(now).plus(elsewhere);
        for (service, queue) in &mut queues.services {
            queue.observe(service, &waiting, now);
        }
    }

    /// The requests that wait here, by priority.
    pub(crate) fn waiting(&self) -> Vec<(u8, u32)> {
        self.lock().waiting(self.clock.now()).pairs()
    }

    /// Number of requests that wait here for an endpoint of a service.
    pub(crate) fn waiting_for(&self, service: &TargetName) -> usize {
        self.lock().services.get(service).map_or(0, |queue| queue.waiters.len())
    }

    /// Whether all instances should get a heartbeat with these counts at once. Most heartbeats go to the own failure
    /// domain only.
    pub(crate) fn is_news(&self, counts: &[(u8, u32)]) -> bool {
        let now = self.clock.now();
        let queues = self.lock();
        let least_urgent = queues.services.values().filter_map(|queue| queue.least_urgent).max();
        let first = counts.first().zip(least_urgent);
        first.is_some_and(|((priority, _), least_urgent)| {
            sends_early(*priority, least_urgent, &queues.told, queues.told_at, now)
        })
    }

    /// Records the counts that all instances have been told.
    pub(crate) fn record_told(&self, counts: Vec<(u8, u32)>) {
        let now = self.clock.now();
        let mut queues = self.lock();
        (queues.told, queues.told_at) = (counts, now);
    }
}

/// Keeps a request in the queue of its service until it is dropped.
#[derive(Debug)]
pub(crate) struct WaitGuard {
    room: Arc<WaitingRoom>,
    service: TargetName,
    ticket: u64,
    turn: Arc<Notify>,
}

/// What a waiting request should do now.
pub(crate) enum Turn {
    /// It looks for a place, and leaves places free for the given pressure of more urgent requests.
    Look { pressure: f64 },
    /// It waits until it is woken.
    Wait,
}

impl WaitGuard {
    /// Whether it is the request's turn. `elsewhere` are the requests that wait at other instances.
    pub(crate) fn turn(&self, elsewhere: &WaitingCounts, now: Timestamp) -> Turn {
        let mut queues = self.room.lock();
        let waiting = queues.waiting(now).plus(elsewhere);
        let Some(queue) = queues.services.get_mut(&self.service) else { return Turn::Wait };
        let Some(terms) = queue.terms(self.ticket) else { return Turn::Wait };
        queue.observe(&self.service, &waiting, now);
        if !queue.is_in_turn(self.ticket, now) {
            return Turn::Wait;
        }
        Turn::Look { pressure: terms.request.pressure(&queue.pressure, now) }
    }

    /// Whether the request may take one of the free places that this instance sees. `elsewhere` are the requests that
    /// wait at the other ones of `instances`.
    pub(crate) fn may_claim(
        &self,
        totals: PlaceTotals,
        elsewhere: &WaitingCounts,
        instances: usize,
        now: Timestamp,
    ) -> bool {
        let queues = self.room.lock();
        let own = queues.waiting(now);
        let Some(queue) = queues.services.get(&self.service) else { return true };
        let Some(WaitTerms { request, least_urgent: Some(_), .. }) = queue.terms(self.ticket)
        else {
            return true;
        };
        let own = own.up_to(request.priority).max(1);
        let all = own + elsewhere.up_to(request.priority);
        let competing = CompetingRequests::new(own, all, instances, &queue.grants, now);
        queue.claims.may_take(totals, &competing, self.room.seed, now)
    }

    /// Records that the request has found no place and waits, and requests a heartbeat if other instances must learn of
    /// it.
    pub(crate) fn begin_to_wait(&self, now: Timestamp) {
        let mut queues = self.room.lock();
        let queue = queues.services.get_mut(&self.service);
        let mut waiters = queue.into_iter().flat_map(|queue| &mut queue.waiters);
        let Some(waiter) = waiters.find(|waiter| waiter.ticket == self.ticket) else { return };
        waiter.has_looked = true;
        let WaitTerms { request, least_urgent, .. } = waiter.terms;
        if let Some(least_urgent) = least_urgent
            && sends_early(request.priority, least_urgent, &queues.told, queues.told_at, now)
        {
            self.room.early_heartbeat.notify_one();
        }
    }

    /// Whether the request cannot get a place in its time, because too many are ahead of it.
    pub(crate) fn cannot_be_served_in_time(&self, now: Timestamp) -> bool {
        let queues = self.room.lock();
        let Some(queue) = queues.services.get(&self.service) else { return false };
        let Some(WaitTerms { request, least_urgent, .. }) = queue.terms(self.ticket) else {
            return false;
        };
        let others = queue.waiters.iter().map(|waiter| waiter.terms.request);
        let ahead = others.filter(|other| other.order(now) < request.order(now)).count();
        least_urgent.is_some()
            && cannot_be_served_in_time(ahead, &queue.grants, request.deadlines.expires(), now)
    }

    /// Counts a place that the request has got.
    pub(crate) fn record_grant(&self, now: Timestamp) {
        let mut queues = self.room.lock();
        if let Some(queue) = queues.services.get_mut(&self.service) {
            queue.grants.record(now);
            queue.claims.record_taken(self.room.seed, now);
        }
    }

    /// Wakes the requests of the service that are next in turn, because the order has changed.
    pub(crate) fn wake_others(&self, now: Timestamp) {
        if let Some(queue) = self.room.lock().services.get(&self.service) {
            queue.wake(now);
        }
    }

    /// Resolves when the request should look for a place.
    pub(crate) async fn woken(&self) {
        self.turn.notified().await;
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let now = self.room.clock.now();
        let mut queues = self.room.lock();
        let Some(queue) = queues.services.get_mut(&self.service) else { return };
        queue.waiters.retain(|waiter| waiter.ticket != self.ticket);
        // The requests behind this one may be next in turn.
        queue.wake(now);
    }
}
