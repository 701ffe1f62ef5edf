//! The order in which requests wait for places at engines, and the places that less urgent requests leave free.
//!
//! One of many gateways sees only a few requests per second, so the order within a gateway is not enough: a place
//! that becomes free must not go to a less urgent request here while a more urgent one waits elsewhere. Gateways tell
//! each other how many requests wait, by priority, and leave part of each batch free for the more urgent ones.

use crate::clock::Timestamp;
use crate::decisions::queue::{QueueDeadlines, QueuePhase, queue_phase};
use crate::decisions::units::{ceil_ms, decay, float_ms, mix, unit_interval};

/// Number of priorities; 0 is served first.
const PRIORITIES: usize = 10;

/// Share of the requests that wait like the most urgent ones of their service, whatever their own priority is. It is
/// drawn for each request, so each route, workspace and size keeps this share of the places that it asks for. A quarter
/// of the average service is required.
const FLOOR_SHARE: f64 = 0.3;

/// Time constant with which the pressure of urgent requests decays, in milliseconds. Waiting requests are few and
/// leave soon, and the counts of other gateways are 200 to 750 ms old.
const PRESSURE_DECAY_MS: u64 = 1_500;
/// Places that are left free in all for each more urgent request that waits. Some of them are taken by urgent requests
/// that arrive before the free place is known at their gateway.
const PLACES_PER_WAITING: f64 = 6.0;
/// Largest part of a batch that is left free for more urgent requests. The rest keeps the engines busy while the
/// counts of other gateways are out of date.
const MAX_RESERVED_SHARE: f64 = 0.4;
/// Pressure below which nothing is left free.
const MIN_PRESSURE: f64 = 0.25;

/// Time after which a request that can no longer be on time rises by one priority, in milliseconds.
const AGEING_MS: u64 = 600;

/// Multiple of the sum of all limits up to which requests are in flight. With old counts some endpoints have more than
/// their limit while others have free places; at 1.0 the load model served a tenth less, at 2.0 engines rejected twice as
/// many as at 1.5.
const OVERCOMMIT: f64 = 1.5;
/// Time in which a gateway learns that others have taken a place, in milliseconds.
const CLAIM_WINDOW_MS: u64 = 600;

/// Time constant of the rate at which places are granted, in milliseconds.
const GRANT_DECAY_MS: u64 = 2_000;
/// Requests ahead of another one below which it is not refused at once. A few grants more or less are chance.
const MIN_AHEAD: usize = 4;
/// Factor by which the predicted wait must exceed the time left before a request is refused at once.
const REFUSAL_MARGIN: f64 = 1.5;

/// Minimum time between two heartbeats that are sent early because an urgent request begins to wait, in milliseconds.
/// Two heartbeats of the usual interval.
const EARLY_HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Shortest time after which a refused caller comes back, in milliseconds, and the part of its remaining time that it
/// waits at most.
const MIN_RETURN_MS: u64 = 1_000;
const MAX_RETURN_PART: u64 = 3;

/// Numbers of waiting requests, by priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingCounts([u32; PRIORITIES]);

impl WaitingCounts {
    /// Adds requests of a priority.
    pub fn add(&mut self, priority: u8, count: u32) {
        let index = usize::from(priority).min(PRIORITIES - 1);
        self.0[index] = self.0[index].saturating_add(count);
    }

    /// Adds counts as they are sent in heartbeats.
    pub fn add_pairs(&mut self, pairs: &[(u8, u32)]) {
        for (priority, count) in pairs {
            self.add(*priority, *count);
        }
    }

    /// The sum of two counts.
    #[must_use]
    pub fn plus(mut self, other: &Self) -> Self {
        for (count, other) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(other);
        }
        self
    }

    /// Number of requests that are as urgent as `priority` or more urgent.
    #[must_use]
    pub fn up_to(&self, priority: u8) -> u32 {
        self.0.iter().take(usize::from(priority) + 1).sum()
    }

    /// The counts that are not 0, by priority.
    #[must_use]
    pub fn pairs(&self) -> Vec<(u8, u32)> {
        let counts = (0..).zip(self.0);
        counts.filter(|(_, count)| *count > 0).collect()
    }
}

/// Decaying maxima of the requests that wait at all gateways, by priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    levels: [f64; PRIORITIES],
    updated: Timestamp,
}

impl Pressure {
    /// Takes the present counts into account.
    pub fn observe(&mut self, waiting: &WaitingCounts, now: Timestamp) {
        let factor = decay(now.ms_since(self.updated), PRESSURE_DECAY_MS);
        for (level, count) in self.levels.iter_mut().zip(waiting.0) {
            *level = (*level * factor).max(f64::from(count));
        }
        self.updated = self.updated.max(now);
    }

    /// Pressure of the requests that are more urgent than `priority`, in requests.
    #[must_use]
    pub fn above(&self, priority: u8, now: Timestamp) -> f64 {
        let sum: f64 = self.levels.iter().take(usize::from(priority)).sum();
        let pressure = sum * decay(now.ms_since(self.updated), PRESSURE_DECAY_MS);
        if pressure < MIN_PRESSURE { 0.0 } else { pressure }
    }
}

/// Places per endpoint that a request leaves free under the given pressure of more urgent ones, where `endpoints` run
/// `batch` requests each.
#[must_use]
pub fn reserved_places(pressure: f64, endpoints: usize, batch: f64) -> f64 {
    let endpoints = f64::from(u32::try_from(endpoints.max(1)).unwrap_or(u32::MAX));
    (pressure * PLACES_PER_WAITING / endpoints).min(batch * MAX_RESERVED_SHARE)
}

/// The number of requests in flight below which an endpoint may get a request that leaves `reserved` places free on
/// average. `random` is a fixed number of the endpoint, so that all gateways leave the same places free.
#[must_use]
pub fn reserved_limit(limit: u32, reserved: f64, random: u64) -> u32 {
    let whole = (1..=limit).take_while(|whole| f64::from(*whole) <= reserved).last().unwrap_or(0);
    let has_one_more = unit_interval(random) < reserved - f64::from(whole);
    limit.saturating_sub(whole + u32::from(has_one_more))
}

/// The priority by which a request waits: that of the most urgent requests for the part of the requests that keeps
/// each kind of request from starving.
#[must_use]
pub fn waiting_priority(priority: u8, most_urgent: u8, random: u64) -> u8 {
    if unit_interval(random) < FLOOR_SHARE { priority.min(most_urgent) } else { priority }
}

/// A request that waits for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceRequest {
    /// The priority by which it waits.
    pub priority: u8,
    /// When the request arrived.
    pub received: Timestamp,
    /// Until when it can be on time, and until when it waits.
    pub deadlines: QueueDeadlines,
    /// Whether it may go to any endpoint of its service, so that others need not look for a place after it has found
    /// none.
    pub is_unrestricted: bool,
}

impl PlaceRequest {
    /// Sorts requests by the order in which they get places: those that can be on time first, then by priority, then
    /// by the time that is left. Requests that are late rise in priority with the time that they have waited.
    #[must_use]
    pub fn order(&self, now: Timestamp) -> (bool, u8, Timestamp) {
        if queue_phase(&self.deadlines, now) == QueuePhase::OnTime {
            return (false, self.priority, self.deadlines.phase_end(now));
        }
        let steps = now.ms_since(self.received) / AGEING_MS;
        let aged = self.priority.saturating_sub(u8::try_from(steps).unwrap_or(u8::MAX));
        (true, aged, self.received)
    }

    /// Pressure of the requests that this one leaves places free for: those that are more urgent, and for a request that
    /// can no longer be on time all that still can. Its response is worth the same later.
    #[must_use]
    pub fn pressure(&self, pressure: &Pressure, now: Timestamp) -> f64 {
        let is_late = queue_phase(&self.deadlines, now) != QueuePhase::OnTime;
        pressure.above(if is_late { u8::MAX } else { self.priority }, now)
    }

    /// What keeps the request from places that others may take. Of two requests, the one with the lower bar finds a
    /// place wherever the other one does.
    fn bar(&self, pressure: &Pressure, now: Timestamp) -> (bool, f64) {
        let is_late = queue_phase(&self.deadlines, now) != QueuePhase::OnTime;
        (is_late, self.pressure(pressure, now))
    }
}

/// The requests that should look for a place after a change, in their order: the first one, and each later one that
/// may take places which those before it must leave free.
#[must_use]
pub fn next_in_turn(requests: &[PlaceRequest], pressure: &Pressure, now: Timestamp) -> Vec<usize> {
    let mut ordered: Vec<usize> = (0..requests.len()).collect();
    ordered.sort_by_key(|index| requests[*index].order(now));
    let mut passed: Vec<(bool, f64)> = Vec::new();
    let mut turns = Vec::new();
    for index in ordered {
        let (is_late, reserved) = requests[index].bar(pressure, now);
        if passed.iter().any(|(late, lower)| *late <= is_late && *lower <= reserved) {
            continue;
        }
        turns.push(index);
        if requests[index].is_unrestricted {
            passed.push((is_late, reserved));
        }
    }
    turns
}

/// Rate at which one gateway has found places for requests of a service lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantRate {
    weight: f64,
    updated: Timestamp,
}

impl GrantRate {
    /// Counts a place that was found.
    pub fn record(&mut self, now: Timestamp) {
        self.weight = self.weight * decay(now.ms_since(self.updated), GRANT_DECAY_MS) + 1.0;
        self.updated = now;
    }

    /// Places per second, or `None` if too few were found lately.
    #[must_use]
    pub fn per_s(&self, now: Timestamp) -> Option<f64> {
        let weight = self.weight * decay(now.ms_since(self.updated), GRANT_DECAY_MS);
        (weight >= 1.0).then(|| weight / float_ms(GRANT_DECAY_MS) * 1_000.0)
    }
}

/// Whether a request cannot be served in time: at the present rate, those ahead of it take all places until its time
/// in the queue ends.
#[must_use]
pub fn cannot_be_served_in_time(
    ahead: usize,
    rate: &GrantRate,
    expires: Timestamp,
    now: Timestamp,
) -> bool {
    let Some(per_s) = rate.per_s(now).filter(|_| ahead >= MIN_AHEAD) else { return false };
    let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
    ahead / per_s * 1_000.0 > float_ms(expires.ms_since(now)) * REFUSAL_MARGIN
}

/// When a caller that is refused with `remaining_ms` left may come back, in milliseconds. The times of callers that are
/// refused together are spread over a third of the time that they have left, which is as long as callers wait.
#[must_use]
pub fn spread_return_ms(remaining_ms: u64, random: u64) -> u64 {
    let spread_ms = (remaining_ms / MAX_RETURN_PART).saturating_sub(MIN_RETURN_MS);
    MIN_RETURN_MS + ceil_ms(float_ms(spread_ms) * unit_interval(random))
}

/// The places at all endpoints of a service, as one gateway sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlaceTotals {
    /// Requests that the endpoints may have in flight.
    pub limit: u32,
    /// Requests that they have in flight, with those that wait in their queues.
    pub in_flight: u32,
}

/// The places that one gateway takes while requests compete for them.
///
/// All gateways see the same free places and see them taken only after some time, so that each free place drew a dozen
/// requests in the load model. A gateway therefore takes its share of the free places, and one for each of its own
/// requests that ends. While more requests are in flight than the limits allow, it takes fewer than that.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaceClaims {
    /// The present window, and the own requests that ended and the places taken in it.
    window: u64,
    freed: u32,
    taken: u32,
}

impl PlaceClaims {
    /// Records that a request of this gateway has ended. `seed` differs between gateways.
    pub fn record_freed(&mut self, seed: u64, now: Timestamp) {
        self.start_window(seed, now);
        self.freed += 1;
    }

    /// Records that a request has taken a place.
    pub fn record_taken(&mut self, seed: u64, now: Timestamp) {
        self.start_window(seed, now);
        self.taken += 1;
    }

    /// Whether a request may take a free place.
    #[must_use]
    pub fn may_take(
        &self,
        totals: PlaceTotals,
        competing: &CompetingRequests,
        seed: u64,
        now: Timestamp,
    ) -> bool {
        let limit = f64::from(totals.limit) * OVERCOMMIT;
        let free = (limit - f64::from(totals.in_flight)).max(0.0);
        if free >= competing.all {
            return true;
        }
        let mut claims = *self;
        claims.start_window(seed, now);
        let kept = limit / f64::from(totals.in_flight.max(1));
        let claim = free * competing.own / competing.all + f64::from(claims.freed) * kept.min(1.0);
        // The rounding is the same for the whole window, so that looking again does not give another chance.
        f64::from(claims.taken) + 1.0 <= claim + unit_interval(mix(seed ^ mix(claims.window)))
    }

    fn start_window(&mut self, seed: u64, now: Timestamp) {
        // Gateways begin their windows at different times.
        let window = now.plus_ms(seed % CLAIM_WINDOW_MS).unix_ms() / CLAIM_WINDOW_MS;
        if window != self.window {
            *self = Self { window, freed: 0, taken: 0 };
        }
    }
}

/// The requests that may take a free place before a gateway learns of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompetingRequests {
    own: f64,
    all: f64,
}

impl CompetingRequests {
    /// Counts the requests that wait, `own` here of `all`, and those that will arrive, if the other `gateways` get as
    /// many as this one.
    #[must_use]
    pub fn new(own: u32, all: u32, gateways: usize, rate: &GrantRate, now: Timestamp) -> Self {
        let arriving = rate.per_s(now).unwrap_or(0.0) * float_ms(CLAIM_WINDOW_MS) / 1_000.0;
        let gateways = f64::from(u32::try_from(gateways).unwrap_or(u32::MAX));
        let own = f64::from(own) + arriving;
        Self { own, all: (f64::from(all) + arriving * gateways).max(own) }
    }
}

/// The most urgent priority among counts of waiting requests.
fn most_urgent(counts: &[(u8, u32)]) -> Option<u8> {
    counts.iter().map(|(priority, _)| *priority).min()
}

/// Whether a heartbeat with the counts `next` tells of a more urgent request that waits than the last one, `former`.
#[must_use]
pub fn begins_to_wait(former: &[(u8, u32)], next: &[(u8, u32)]) -> bool {
    most_urgent(next).is_some_and(|next| most_urgent(former).is_none_or(|former| next < former))
}

/// Whether a heartbeat is sent before its time, when a request of `priority` begins to wait. `told` are the counts of
/// the last heartbeat that went to all instances, sent at `told_at`. Requests of the least urgent priority hold nobody
/// back.
#[must_use]
pub fn sends_early(
    priority: u8,
    least_urgent: u8,
    told: &[(u8, u32)],
    told_at: Timestamp,
    now: Timestamp,
) -> bool {
    priority < least_urgent
        && begins_to_wait(told, &[(priority, 1)])
        && now.ms_since(told_at) >= EARLY_HEARTBEAT_INTERVAL_MS
}
