//! Admission control at one entry, by deadline, priority and fair share of the workspaces.
//!
//! A request that cannot meet its deadline is refused immediately, because late work takes capacity from
//! requests that could still finish in time. The queue is bounded. Each workspace may use a multiple of
//! the free queue space (dynamic thresholds, as in shared-memory switches), so a few large workspaces
//! cannot fill the queue and small ones are admitted without tracking which workspaces are active.

use std::collections::HashMap;

use serde::Deserialize;

use crate::clock::Timestamp;
use crate::decisions::estimate::InFlightMeter;
use crate::decisions::shares::DemandMeter;
use crate::decisions::units::{ceil_ms, decay, float_ms, unit_interval};
use crate::document::checked::Workspace;
use crate::ids::WorkspaceName;
use crate::outcome::{NotRun, NotRunCode};

/// Admission settings.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionPolicy {
    /// Maximum predicted queueing delay, in milliseconds. A larger value absorbs bursts; a smaller one
    /// keeps the time to first token low under overload.
    pub queue_ms: u64,
    /// Safety factor applied to the predicted wait when it is compared with the deadline.
    pub margin: f64,
    /// Multiple of the mean slot holding time that must remain after the wait. Requests that run longer
    /// than this miss their deadline; a larger multiple refuses more short requests that would meet it.
    pub hold_margin: f64,
    /// Slot holding time assumed until the first request ends, in milliseconds. Without it an entry that
    /// starts during a load peak would admit everything.
    pub initial_hold_ms: u64,
    /// Waiting time after which the priority of a request rises by one, in milliseconds.
    pub ageing_ms: u64,
    /// Multiple of the free queue space that one workspace of mean weight may use.
    pub fair_multiple: f64,
    /// Time constant with which the weight of a load report decays, in milliseconds.
    pub report_decay_ms: u64,
    /// Offered load, in multiples of capacity, at which each brownout step starts.
    pub brownout_at: [f64; 3],
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self {
            queue_ms: 1_000,
            margin: 1.2,
            hold_margin: 2.0,
            initial_hold_ms: 1_000,
            ageing_ms: 2_000,
            fair_multiple: 0.05,
            report_decay_ms: 2_000,
            brownout_at: [1.2, 1.8, 2.5],
        }
    }
}

/// Brownout steps. Each step includes the restrictions of the previous ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Brownout {
    /// No restrictions.
    #[default]
    Off,
    /// The entry makes no retries.
    NoRetries,
    /// Requests with priority 0 or 1 after ageing are refused.
    ShedLowest,
    /// Requests with priority 0 to 3 after ageing are refused.
    ShedLow,
}

impl Brownout {
    /// Whether the entry may retry failed attempts.
    #[must_use]
    pub fn allows_retries(self) -> bool {
        self == Self::Off
    }

    /// The lowest admitted priority, after ageing.
    #[must_use]
    pub const fn min_priority(self) -> u8 {
        match self {
            Self::Off | Self::NoRetries => 0,
            Self::ShedLowest => 2,
            Self::ShedLow => 4,
        }
    }
}

/// Load on the endpoints of one target as known to this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Number of requests that all live endpoints together can run concurrently.
    pub capacity: u32,
    /// Running and queued requests according to the latest load reports.
    pub reported_requests: u32,
    /// When the oldest of these reports was measured.
    pub reported_at: Timestamp,
    /// Number of live entries, including this one.
    pub entries: u32,
}

/// Properties of a request that admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The workspace that the request belongs to.
    pub workspace: &'a Workspace,
    /// Mean weight of all workspaces.
    pub mean_weight: f64,
    /// Requested priority, 0 to 9.
    pub priority: u8,
    /// When the caller first sent the request: the creation time of its key, or else its arrival.
    pub first_sent: Timestamp,
    /// Time by which the response must be complete.
    pub deadline: Timestamp,
}

/// The decision to admit a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// Priority after ageing, sent with the attempt.
    pub priority: u8,
    /// Predicted queueing delay, in milliseconds.
    pub wait_ms: u64,
    /// Requests in the system per slot at the time of admission, at least 1.
    pub load_factor: f64,
}

/// Admission state of one entry for one target.
#[derive(Clone, Debug, Default)]
pub struct AdmissionState {
    in_flight: InFlightMeter,
    by_workspace: HashMap<WorkspaceName, u32>,
    offered: DemandMeter,
    /// Mean slot holding time of a request, in milliseconds; 0 until the first request ends.
    hold_ms: f64,
    brownout: Brownout,
}

/// Weight of a new sample in the mean slot holding time.
const HOLD_SAMPLE_WEIGHT: f64 = 0.05;
/// A brownout step ends when the load ratio is this far below its start, so that the step does not flap.
const BROWNOUT_HYSTERESIS: f64 = 0.15;

impl AdmissionState {
    /// Counts an offered request and updates the brownout step. Call it before [`admit`].
    pub fn on_offered(&mut self, policy: &AdmissionPolicy, load: &TargetLoad, now: Timestamp) {
        self.offered.on_request(now);
        self.brownout = next_brownout(policy, self.brownout, self.load_ratio(policy, load, now));
    }

    /// Counts an admitted request.
    pub fn on_admitted(&mut self, workspace: &WorkspaceName, now: Timestamp) {
        self.in_flight.on_start(now);
        if let Some(count) = self.by_workspace.get_mut(workspace) {
            *count += 1;
        } else {
            self.by_workspace.insert(workspace.clone(), 1);
        }
    }

    /// Records the end of an admitted request, `elapsed_ms` after its admission. `completed` is false for
    /// failed and cancelled requests, whose duration does not reflect the speed of the endpoints.
    pub fn on_end(
        &mut self,
        workspace: &WorkspaceName,
        admitted: &AdmissionDecision,
        elapsed_ms: u64,
        completed: bool,
        now: Timestamp,
    ) {
        self.in_flight.on_end(now);
        if let Some(count) = self.by_workspace.get_mut(workspace) {
            *count -= 1;
            if *count == 0 {
                self.by_workspace.remove(workspace);
            }
        }
        if completed {
            update_mean(&mut self.hold_ms, float_ms(elapsed_ms) / admitted.load_factor);
        }
    }

    /// The current brownout step.
    #[must_use]
    pub const fn brownout(&self) -> Brownout {
        self.brownout
    }

    /// Offered load in multiples of capacity.
    #[must_use]
    pub fn load_ratio(&self, policy: &AdmissionPolicy, load: &TargetLoad, now: Timestamp) -> f64 {
        let offered_per_s = self.offered.per_s(now) * f64::from(load.entries);
        offered_per_s * self.hold_ms(policy) / 1000.0 / f64::from(load.capacity.max(1))
    }

    /// Estimated number of requests in the system. This entry's own requests are exact. A load report is
    /// corrected by the change in own requests over the last second, because all entries see the same
    /// peak. As the report ages, own requests times the number of entries replaces it.
    fn estimated_load(&self, policy: &AdmissionPolicy, load: &TargetLoad, now: Timestamp) -> f64 {
        let own = f64::from(self.in_flight.count());
        let entries = f64::from(load.entries.max(1));
        let change = own - self.in_flight.mean(now);
        let reported = (f64::from(load.reported_requests) + change * entries).max(own);
        let weight = decay(now.ms_since(load.reported_at), policy.report_decay_ms);
        weight * reported + (1.0 - weight) * own * entries
    }

    fn hold_ms(&self, policy: &AdmissionPolicy) -> f64 {
        if self.hold_ms > 0.0 { self.hold_ms } else { float_ms(policy.initial_hold_ms) }
    }

    fn workspace_in_flight(&self, workspace: &WorkspaceName) -> f64 {
        f64::from(self.by_workspace.get(workspace).copied().unwrap_or(0))
    }
}

/// Decides whether to admit a request. `random` spreads the retry delays of refused callers. A request that would take
/// too long by the mean holding time alone is admitted while this entry has no other one in flight.
///
/// # Errors
///
/// Returns a [`NotRun`] refusal with the estimated delay after which the request could be admitted.
pub fn admit(
    policy: &AdmissionPolicy,
    state: &AdmissionState,
    load: &TargetLoad,
    request: &AdmissionRequest<'_>,
    now: Timestamp,
    random: u64,
) -> Result<AdmissionDecision, NotRun> {
    let refuse = |code, ms: f64| Err(NotRun { code, retry_after_ms: jittered_ms(ms, random) });
    let priority = aged_priority(policy, request, now);
    let capacity = f64::from(load.capacity.max(1));
    let hold_ms = state.hold_ms(policy);
    let in_system = state.estimated_load(policy, load, now);
    let wait_ms = (in_system + 1.0 - capacity).max(0.0) * hold_ms / capacity;
    let required_ms = wait_ms * policy.margin + hold_ms * policy.hold_margin;
    let remaining_ms = float_ms(request.deadline.ms_since(now));
    // The mean holding time changes only when a request completes. Refused by it alone, no request would ever run again
    // after a few slow ones.
    let is_probe = state.in_flight.count() == 0 && wait_ms <= 0.0;
    if remaining_ms <= 0.0 || (required_ms > remaining_ms && !is_probe) {
        return refuse(NotRunCode::DeadlineUnreachable, required_ms - remaining_ms);
    }
    // One request per workspace is exempt; otherwise low priorities of small workspaces would never run.
    let is_idle = state.workspace_in_flight(&request.workspace.name) < 1.0;
    if priority < state.brownout.min_priority() && !is_idle {
        let steps = state.brownout.min_priority() - priority;
        return refuse(NotRunCode::Overloaded, float_ms(policy.ageing_ms) * f64::from(steps));
    }
    if in_system >= capacity && !has_queue_space(policy, state, load, request, priority, in_system)
    {
        return refuse(NotRunCode::Overloaded, wait_ms.max(hold_ms));
    }
    let load_factor = ((in_system + 1.0) / capacity).max(1.0);
    Ok(AdmissionDecision { priority, wait_ms: ceil_ms(wait_ms), load_factor })
}

/// Priority raised by one for each `ageing_ms` since the caller first sent the request, up to 9.
#[must_use]
fn aged_priority(policy: &AdmissionPolicy, request: &AdmissionRequest<'_>, now: Timestamp) -> u8 {
    let steps = now.ms_since(request.first_sent) / policy.ageing_ms.max(1);
    request.priority.saturating_add(u8::try_from(steps).unwrap_or(9)).min(9)
}

/// Whether the workspace is below its threshold in this entry's part of the queue.
fn has_queue_space(
    policy: &AdmissionPolicy,
    state: &AdmissionState,
    load: &TargetLoad,
    request: &AdmissionRequest<'_>,
    priority: u8,
    in_system: f64,
) -> bool {
    let capacity = f64::from(load.capacity.max(1));
    let max_in_system =
        capacity * (1.0 + float_ms(policy.queue_ms) / state.hold_ms(policy).max(1.0));
    let free = (max_in_system - in_system).max(0.0) / f64::from(load.entries.max(1));
    if free <= 0.0 {
        return false;
    }
    let weight = f64::from(request.workspace.weight) / request.mean_weight.max(f64::MIN_POSITIVE);
    // Two priority levels double the threshold, so low priorities are refused first.
    let by_priority = ((f64::from(priority) - 5.0) / 2.0).exp2();
    // One extra request is allowed because a small workspace's share at one entry is below one request.
    let threshold = policy.fair_multiple * weight * by_priority * free + 1.0;
    free > 0.0 && state.workspace_in_flight(&request.workspace.name) < threshold
}

/// The brownout step for an offered load ratio, with hysteresis when the load falls.
fn next_brownout(policy: &AdmissionPolicy, current: Brownout, ratio: f64) -> Brownout {
    let steps = [Brownout::NoRetries, Brownout::ShedLowest, Brownout::ShedLow];
    let mut step = Brownout::Off;
    for (candidate, start) in steps.into_iter().zip(policy.brownout_at) {
        let threshold = if candidate <= current { start - BROWNOUT_HYSTERESIS } else { start };
        if ratio >= threshold {
            step = candidate;
        }
    }
    step
}

/// Randomizes the retry delay between half and one and a half times `ms`, so that callers spread out.
fn jittered_ms(ms: f64, random: u64) -> u64 {
    ceil_ms(ms * (0.5 + unit_interval(random))).clamp(50, 60_000)
}

fn update_mean(mean: &mut f64, sample: f64) {
    let weight = if *mean > 0.0 { HOLD_SAMPLE_WEIGHT } else { 1.0 };
    *mean += weight * (sample.max(1.0) - *mean);
}
