//! Pace of an endpoint against the others of its group or service, as this instance's own streams show it.
//!
//! An endpoint that turned slow is recognized from the gaps of its streams, from the silence of a stream that others
//! do not share, and from a first event that is overdue. It then gets a single request now and then, and its share
//! again when such a request shows the usual pace.

use crate::clock::Timestamp;
use crate::decisions::units::{decay, float_ms};
use crate::routes::raw::EngineProfile;

/// Multiple of the usual time from which an endpoint is slow. Gaps of equal endpoints differ by a factor of up to two
/// between an empty and a full batch.
const SLOW_RATIO: f64 = 3.0;
/// The same for first events. They differ more, because a request may wait for a place at a full endpoint.
const LATE_FIRST_EVENT_RATIO: f64 = 5.0;
/// Multiple of the usual time up to which a measurement shows that an endpoint is fast again.
const USUAL_RATIO: f64 = 2.0;
/// Number of usual measurements in a row that end slowness. One alone may be two events that were read together.
const USUAL_IN_A_ROW: u32 = 2;
/// Largest slowdown that is assumed.
const MAX_SLOWDOWN: f64 = 16.0;
/// Shortest time that counts as a delay, in milliseconds. Below it, the scheduling of this process decides.
const MIN_DELAY_MS: f64 = 60.0;
/// Time between probes of all instances together, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;
/// Longest time between two probes of one instance, in milliseconds.
const MAX_PROBE_INTERVAL_MS: u64 = 8_000;
/// Multiple of the usual gap up to which a group counts as one with the usual pace. The load of its most loaded rank and
/// the prompts that it reads move the gap that much.
const GROUP_TOLERANCE: f64 = 1.6;
/// Time constant of the decay of measurements, in milliseconds.
const DECAY_MS: u64 = 1_000;
/// Weight of recent measurements below which they show nothing.
const MIN_WEIGHT: f64 = 1.5;

/// Mean of recent values with exponentially decaying weight.
#[derive(Clone, Copy, Debug, Default)]
struct RecentMean {
    sum_ms: f64,
    weight: f64,
    updated: Timestamp,
}

impl RecentMean {
    fn record(&mut self, value_ms: f64, now: Timestamp) {
        let factor = decay(now.ms_since(self.updated), DECAY_MS);
        self.sum_ms = self.sum_ms.mul_add(factor, value_ms);
        self.weight = self.weight.mul_add(factor, 1.0);
        self.updated = now;
    }

    fn mean_ms(&self, now: Timestamp) -> Option<f64> {
        let weight = self.weight * decay(now.ms_since(self.updated), DECAY_MS);
        (weight >= MIN_WEIGHT).then(|| self.sum_ms / self.weight)
    }
}

/// Pace of all endpoints of a group, or of a service whose endpoints form no groups.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServicePace {
    gap: RecentMean,
    first_event: RecentMean,
    last_event: Timestamp,
}

impl ServicePace {
    /// Records the time between two events of a stream.
    pub fn record_gap(&mut self, gap_ms: u64, now: Timestamp) {
        self.gap.record(float_ms(gap_ms), now);
        self.last_event = now;
    }

    /// Records the time to the first event of a stream, without the time to read its prompt.
    pub fn record_first_event(&mut self, wait_ms: f64, now: Timestamp) {
        self.first_event.record(wait_ms, now);
        self.last_event = now;
    }

    fn gap_ms(&self, now: Timestamp) -> Option<f64> {
        self.gap.mean_ms(now).map(|gap| gap.max(MIN_DELAY_MS / SLOW_RATIO))
    }

    fn first_event_ms(&self, now: Timestamp) -> Option<f64> {
        self.first_event.mean_ms(now).map(|wait| wait.max(MIN_DELAY_MS))
    }
}

/// A change of an endpoint's pace that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceChange {
    /// The endpoint turned slow.
    Slow,
    /// The endpoint is fast again.
    Usual,
}

#[derive(Clone, Copy, Debug, Default)]
enum PaceState {
    #[default]
    Usual,
    Slow {
        slowdown: f64,
        next_probe: Timestamp,
        usual_in_a_row: u32,
    },
}

/// What this instance's own streams show of the pace of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointPace {
    state: PaceState,
    /// Own requests that wait for their first event.
    waiting: u32,
    /// Since when the first events of these requests are awaited without any progress.
    waiting_since: Timestamp,
    /// Own streams that have begun and not ended.
    streams: u32,
    last_event: Timestamp,
}

impl EndpointPace {
    /// Records that a request is sent.
    pub fn record_sent(&mut self, instances: u32, now: Timestamp) {
        if self.waiting == 0 {
            self.waiting_since = now;
        }
        self.waiting += 1;
        if let PaceState::Slow { next_probe, .. } = &mut self.state {
            let interval_ms = PROBE_INTERVAL_MS.saturating_mul(u64::from(instances.max(1)));
            *next_probe = now.plus_ms(interval_ms.min(MAX_PROBE_INTERVAL_MS));
        }
    }

    /// Records the first event of a stream. `wait_ms` excludes the time to read the prompt.
    pub fn record_first_event(
        &mut self,
        wait_ms: f64,
        reference: &ServicePace,
        now: Timestamp,
    ) -> Option<PaceChange> {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_since = now;
        self.streams += 1;
        self.last_event = now;
        let usual = reference.first_event_ms(now)?;
        self.measure(wait_ms / usual * SLOW_RATIO / LATE_FIRST_EVENT_RATIO, now)
    }

    /// Records the time between two events of a stream.
    pub fn record_gap(
        &mut self,
        gap_ms: u64,
        reference: &ServicePace,
        now: Timestamp,
    ) -> Option<PaceChange> {
        self.last_event = now;
        let usual = reference.gap_ms(now)?;
        self.measure(float_ms(gap_ms) / usual, now)
    }

    /// Records that a request has ended. `has_begun` tells whether its first event has come.
    pub fn record_end(&mut self, has_begun: bool) {
        let count = if has_begun { &mut self.streams } else { &mut self.waiting };
        *count = count.saturating_sub(1);
    }

    fn measure(&mut self, ratio: f64, now: Timestamp) -> Option<PaceChange> {
        if ratio >= SLOW_RATIO {
            return self.turn_slow(ratio, now);
        }
        let PaceState::Slow { usual_in_a_row, .. } = &mut self.state else { return None };
        *usual_in_a_row = if ratio <= USUAL_RATIO { *usual_in_a_row + 1 } else { 0 };
        if *usual_in_a_row < USUAL_IN_A_ROW {
            return None;
        }
        self.state = PaceState::Usual;
        Some(PaceChange::Usual)
    }

    fn turn_slow(&mut self, ratio: f64, now: Timestamp) -> Option<PaceChange> {
        let slowdown = ratio.min(MAX_SLOWDOWN);
        let (next_probe, change) = match self.state {
            PaceState::Usual => (now.plus_ms(PROBE_INTERVAL_MS), Some(PaceChange::Slow)),
            PaceState::Slow { next_probe, .. } => (next_probe, None),
        };
        self.state = PaceState::Slow { slowdown, next_probe, usual_in_a_row: 0 };
        change
    }

    /// Judges what has not come by now: the next event of a stream while the others of the group or service send, or
    /// a first event.
    pub fn check_silence(&mut self, reference: &ServicePace, now: Timestamp) -> Option<PaceChange> {
        let gap_ratio = reference.gap_ms(now).filter(|_| self.streams > 0).map(|usual| {
            // A pause of the whole group says nothing of one endpoint.
            let common_ms = float_ms(now.ms_since(reference.last_event));
            (float_ms(now.ms_since(self.last_event)) - common_ms) / usual
        });
        let first_ratio = reference.first_event_ms(now).filter(|_| self.waiting > 0).map(|usual| {
            let common_ms = float_ms(now.ms_since(reference.last_event));
            (float_ms(now.ms_since(self.waiting_since)) - common_ms) / usual * SLOW_RATIO
                / LATE_FIRST_EVENT_RATIO
        });
        let ratio = gap_ratio.into_iter().chain(first_ratio).fold(0.0, f64::max);
        if ratio >= SLOW_RATIO { self.turn_slow(ratio, now) } else { None }
    }

    /// Whether the endpoint counts as slow.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        matches!(self.state, PaceState::Slow { .. })
    }

    /// Time that the endpoint's work takes, as a multiple of the usual time.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        match self.state {
            PaceState::Usual => 1.0,
            PaceState::Slow { slowdown, .. } => slowdown,
        }
    }

    /// Whether the endpoint may get a single request that shows its pace. `in_flight` counts the requests of all
    /// instances: one that is under way is probe enough.
    #[must_use]
    pub fn is_probe_due(&self, in_flight: u32, now: Timestamp) -> bool {
        match self.state {
            PaceState::Usual => false,
            PaceState::Slow { next_probe, .. } => in_flight == 0 && now >= next_probe,
        }
    }
}

/// Time that the passes of a group take, as a multiple of the usual time at its batch: 1 if the gaps between the events
/// of its streams are usual or not known.
#[must_use]
pub fn group_slowdown(engine: &EngineProfile, gap_ms: Option<f64>, batch: f64) -> f64 {
    let Some(gap_ms) = gap_ms else { return 1.0 };
    let step_ms = engine.step_ms + engine.per_request_ms * batch.max(1.0);
    let usual_ms = step_ms * f64::from(engine.tokens_per_event.max(1));
    let ratio = gap_ms / usual_ms.max(MIN_DELAY_MS / SLOW_RATIO);
    (ratio / GROUP_TOLERANCE).clamp(1.0, MAX_SLOWDOWN)
}
