//! Whether this gateway may send a request to a cold endpoint now.
//!
//! All gateways together must stay below a number of requests in any one second, without messages between them. Each
//! may send one request in each of its windows. The windows of gateways lie at independent phases, so the sum of many
//! gateways spreads over the period, and a window without a request is lost.

use crate::clock::Timestamp;
use crate::decisions::units::{ceil_ms, float_ms, unit_interval};

/// Share of an endpoint's limit that all gateways together aim at. Half leaves room for gateways at close phases and for
/// those that assume a smaller fleet than there is.
const AIM: f64 = 0.5;
/// The largest share of the hard bound (overshoot and slack included) that is aimed at. Random phases bring up to three
/// times the mean into one second.
const MAX_AIM_OF_BOUND: f64 = 0.3;
/// Length of a window, in milliseconds, or the whole period if that is shorter. Requests that wait begin when windows
/// open, so longer windows let more gateways send at once when all endpoints become cold together.
const WINDOW_MS: u64 = 250;

/// Fleet that a gateway assumes while it cannot know the present one. More than any fleet for which the sum was
/// simulated, so that gateways that all have just started stay below the aim.
pub(crate) const STARTING_FLEET: u32 = 128;
/// Time after the start in which a gateway may not have heard all others, in milliseconds. Heartbeats between failure
/// domains are sent every 600 ms.
const STARTING_MS: u64 = 2_000;
/// Time after which a gateway that hears only a smaller part of the fleet takes that part for the fleet, in
/// milliseconds. A part that is cut off for longer than this would aim at its own full share.
const LOST_FLEET_MS: u64 = 600_000;

/// Bounds of the requests to a cold endpoint in any one second: its limit times `overshoot`, and `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Multiple of the limit.
    pub overshoot: f64,
    /// Requests beyond it.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

/// What a gateway knows of the other ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Other gateways that were heard within the time after which one counts as silent.
    pub heard: u32,
    /// Other gateways that were heard within the last minute.
    pub known: u32,
    /// Addresses of other gateways that have never answered.
    pub unconfirmed: u32,
}

/// Remembers how many gateways share the limits of cold endpoints.
#[derive(Clone, Copy, Debug)]
pub struct FleetEstimate {
    started: Timestamp,
    /// Gateways that count, this one included.
    known: u32,
    /// When most of them were last heard.
    majority_heard: Timestamp,
}

impl FleetEstimate {
    /// An estimate of a gateway that starts now.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self { started: now, known: 1, majority_heard: now }
    }

    /// Whether this gateway hears less than half of those that it knows.
    #[must_use]
    pub const fn is_cut_off(&self, view: &FleetView) -> bool {
        2 * (view.heard + 1) < self.known
    }

    /// Takes in what the gateway knows now, and returns the number of gateways to share limits with.
    pub fn update(&mut self, view: &FleetView, now: Timestamp) -> u32 {
        let present = view.known.max(view.heard) + 1;
        let is_cut_off = self.is_cut_off(view);
        // A gateway that hears no other one may be the one that is cut off, so it never forgets them.
        let has_waited = view.heard > 0 && now.ms_since(self.majority_heard) >= LOST_FLEET_MS;
        if present >= self.known || !is_cut_off || has_waited {
            self.known = present;
        }
        if !is_cut_off || has_waited {
            self.majority_heard = now;
        }
        let is_starting = now.ms_since(self.started) < STARTING_MS;
        let is_unheard = self.known == 1 && view.unconfirmed > 0;
        if is_starting || is_unheard {
            return STARTING_FLEET.max(self.known.saturating_add(view.unconfirmed));
        }
        // The fleet may have grown since most of it was heard.
        if self.is_cut_off(view) { self.known.saturating_mul(2) } else { self.known }
    }
}

/// Time between two windows of one gateway for one endpoint, in milliseconds. `cold_per_s` is positive.
#[must_use]
pub fn window_period_ms(cold_per_s: f64, bounds: &ColdBounds, fleet: u32) -> u64 {
    let bound = cold_per_s * bounds.overshoot + bounds.slack;
    // A bound of 0 or less, from an odd setting, leaves no window within any useful time.
    let aim_per_s = (cold_per_s * AIM).min(bound * MAX_AIM_OF_BOUND).max(f64::MIN_POSITIVE);
    ceil_ms(1_000.0 * f64::from(fleet.max(1)) / aim_per_s).max(1)
}

/// The windows of one gateway for one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ColdWindows {
    /// Start of the last window, at or before the present time.
    start: Timestamp,
    /// When a request was last sent in a window.
    used: Option<Timestamp>,
}

impl ColdWindows {
    /// Windows at a random phase.
    #[must_use]
    pub fn new(period_ms: u64, random: u64, now: Timestamp) -> Self {
        let age_ms = ceil_ms(float_ms(period_ms) * unit_interval(random)).min(period_ms);
        let start = Timestamp::from_unix_ms(now.unix_ms().saturating_sub(age_ms));
        Self { start, used: None }
    }

    /// The earliest time, now or later, at which a request may be sent.
    #[must_use]
    pub fn next_open(&self, period_ms: u64, now: Timestamp) -> Timestamp {
        let length_ms = WINDOW_MS.min(period_ms);
        let start = self.current_start(period_ms, now);
        let is_within = now.ms_since(start) < length_ms;
        // The period may have changed since the last request, so its distance counts beside the window.
        let is_used = self.used.is_some_and(|used| {
            used >= start || now.ms_since(used) < period_ms.saturating_sub(length_ms)
        });
        if is_within && !is_used { now } else { start.plus_ms(period_ms) }
    }

    /// Uses the present window. Returns whether a request may be sent.
    pub fn try_use(&mut self, period_ms: u64, now: Timestamp) -> bool {
        let is_open = self.next_open(period_ms, now) == now;
        self.start = self.current_start(period_ms, now);
        if is_open {
            self.used = Some(now);
        }
        is_open
    }

    fn current_start(&self, period_ms: u64, now: Timestamp) -> Timestamp {
        let age_ms = now.ms_since(self.start);
        self.start.plus_ms(age_ms - age_ms % period_ms.max(1))
    }
}
