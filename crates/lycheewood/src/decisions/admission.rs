//! Admission of a request at one entry: by deadline, priority and fair share of the workspaces.
//!
//! A request that cannot make its deadline is refused at once, since work that comes too late takes
//! capacity from work that would come in time. What may wait is bounded by a room; each workspace may
//! use a multiple of the room that is still free (the dynamic threshold of shared buffers), so a few
//! large workspaces cannot fill it and small ones find a place without a list of active workspaces.

use std::collections::HashMap;

use serde::Deserialize;

use crate::clock::Timestamp;
use crate::decisions::estimate::InFlight;
use crate::decisions::shares::DemandMeter;
use crate::decisions::units::{decay, float_ms, unit, whole_ms};
use crate::document::checked::Workspace;
use crate::ids::WorkspaceName;
use crate::outcome::{NotRun, NotRunCode};

/// Settings of admission.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionPolicy {
    /// Longest predicted wait that is let in, in milliseconds. Longer evens out bursts; shorter keeps
    /// the time to first token low under overload.
    pub queue_ms: u64,
    /// Factor on the predicted wait when it is held against the deadline.
    pub margin: f64,
    /// Multiple of the mean running time that must be left after the wait. Longer requests than this
    /// miss their deadline; a larger multiple refuses more short ones that would have made it.
    pub hold_margin: f64,
    /// Running time assumed before the first request ended, in milliseconds. Without it an entry that
    /// starts in the peak would let everything in.
    pub initial_hold_ms: u64,
    /// Waiting time that raises a request by one priority, in milliseconds.
    pub ageing_ms: u64,
    /// Multiple of the free room that one workspace of mean weight may use.
    pub fair_multiple: f64,
    /// Time constant with which a load report loses weight, in milliseconds.
    pub report_decay_ms: u64,
    /// Offered load, in multiples of capacity, at which each brownout step begins.
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

/// Steps of brownout; each includes the ones before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Brownout {
    /// Everything runs.
    #[default]
    Off,
    /// No retries by the entry.
    NoRetries,
    /// Requests of priority 0 and 1 are refused until they have aged.
    ShedLowest,
    /// Requests of priority 0 to 3 are refused until they have aged.
    ShedLow,
}

impl Brownout {
    /// Whether the entry may retry failed attempts.
    #[must_use]
    pub fn allows_retries(self) -> bool {
        self == Self::Off
    }

    /// The lowest priority, after ageing, that is admitted.
    #[must_use]
    pub const fn min_priority(self) -> u8 {
        match self {
            Self::Off | Self::NoRetries => 0,
            Self::ShedLowest => 2,
            Self::ShedLow => 4,
        }
    }
}

/// Load of the endpoints of one target, as this entry sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Requests that run at once on all live endpoints.
    pub capacity: u32,
    /// Requests running and waiting there, by the last reports.
    pub reported: u32,
    /// When the oldest of these reports was measured.
    pub reported_at: Timestamp,
    /// Live entries, this one included.
    pub entries: u32,
}

/// What is known about the request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Its workspace.
    pub workspace: &'a Workspace,
    /// Mean weight of all workspaces.
    pub mean_weight: f64,
    /// Its priority, 0 to 9.
    pub priority: u8,
    /// When its caller first asked: the creation time of its key, or its arrival.
    pub first_asked: Timestamp,
    /// When its answer must be complete.
    pub deadline: Timestamp,
}

/// The request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admitted {
    /// Priority after ageing, to be sent with the attempt.
    pub priority: u8,
    /// Predicted wait before it runs, in milliseconds.
    pub wait_ms: u64,
    /// Requests in the system for each slot at admission, at least 1.
    pub load_factor: f64,
}

/// What one entry keeps about admission to one target.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    in_flight: InFlight,
    by_workspace: HashMap<WorkspaceName, u32>,
    offered: DemandMeter,
    /// Mean time that a request holds a slot, in milliseconds; 0 before the first one ended.
    hold_ms: f64,
    brownout: Brownout,
}

/// Weight of a new sample of the time that a request holds a slot.
const SAMPLE_WEIGHT: f64 = 0.05;
/// A brownout step ends when the load is this much below its begin, so that it does not flap.
const BROWNOUT_HYSTERESIS: f64 = 0.15;

impl Admission {
    /// A request is offered, before the decision about it.
    pub fn on_offered(&mut self, policy: &AdmissionPolicy, load: &TargetLoad, now: Timestamp) {
        self.offered.on_request(now);
        self.brownout = next_brownout(policy, self.brownout, self.load_ratio(policy, load, now));
    }

    /// The request was admitted.
    pub fn on_admitted(&mut self, workspace: &WorkspaceName, now: Timestamp) {
        self.in_flight.on_start(now);
        if let Some(count) = self.by_workspace.get_mut(workspace) {
            *count += 1;
        } else {
            self.by_workspace.insert(workspace.clone(), 1);
        }
    }

    /// An admitted request ended, `elapsed_ms` after its admission. `completed` is false for errors
    /// and withdrawn requests, whose time says nothing about the endpoints' speed.
    pub fn on_end(
        &mut self,
        workspace: &WorkspaceName,
        admitted: &Admitted,
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
            average(&mut self.hold_ms, float_ms(elapsed_ms) / admitted.load_factor);
        }
    }

    /// The brownout step in force.
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

    /// Requests in the system now. Own requests are exact. A report is corrected by the change of
    /// own requests since about a second, since entries see the same peak; an old report gives way
    /// to own requests times the number of entries.
    fn estimated_load(&self, policy: &AdmissionPolicy, load: &TargetLoad, now: Timestamp) -> f64 {
        let own = f64::from(self.in_flight.count());
        let entries = f64::from(load.entries.max(1));
        let change = own - self.in_flight.mean(now);
        let reported = (f64::from(load.reported) + change * entries).max(own);
        let weight = decay(now.ms_since(load.reported_at), policy.report_decay_ms);
        weight * reported + (1.0 - weight) * own * entries
    }

    fn hold_ms(&self, policy: &AdmissionPolicy) -> f64 {
        if self.hold_ms > 0.0 { self.hold_ms } else { float_ms(policy.initial_hold_ms) }
    }

    fn of_workspace(&self, workspace: &WorkspaceName) -> f64 {
        f64::from(self.by_workspace.get(workspace).copied().unwrap_or(0))
    }
}

/// Decides whether a request is admitted.
///
/// # Errors
///
/// The refusal as not run, with the time after which the request would have been admitted.
pub fn admit(
    policy: &AdmissionPolicy,
    state: &Admission,
    load: &TargetLoad,
    request: &AdmissionRequest<'_>,
    now: Timestamp,
    random: u64,
) -> Result<Admitted, NotRun> {
    let refuse = |code, ms: f64| Err(NotRun { code, retry_after_ms: jittered_ms(ms, random) });
    let priority = aged_priority(policy, request, now);
    let capacity = f64::from(load.capacity.max(1));
    let hold_ms = state.hold_ms(policy);
    let in_system = state.estimated_load(policy, load, now);
    let wait_ms = (in_system + 1.0 - capacity).max(0.0) * hold_ms / capacity;
    let needed_ms = wait_ms * policy.margin + hold_ms * policy.hold_margin;
    let left_ms = float_ms(request.deadline.ms_since(now));
    if left_ms <= 0.0 || needed_ms > left_ms {
        return refuse(NotRunCode::DeadlineUnreachable, needed_ms - left_ms);
    }
    // One request of each workspace is exempt, or low priorities of small ones would never run.
    let idle = state.of_workspace(&request.workspace.name) < 1.0;
    if priority < state.brownout.min_priority() && !idle {
        let steps = state.brownout.min_priority() - priority;
        return refuse(NotRunCode::Overloaded, float_ms(policy.ageing_ms) * f64::from(steps));
    }
    if in_system >= capacity && !has_room(policy, state, load, request, priority, in_system) {
        return refuse(NotRunCode::Overloaded, wait_ms.max(hold_ms));
    }
    let load_factor = ((in_system + 1.0) / capacity).max(1.0);
    Ok(Admitted { priority, wait_ms: whole_ms(wait_ms), load_factor })
}

/// Priority raised by one for each `ageing_ms` since the caller first asked, up to 9.
#[must_use]
fn aged_priority(policy: &AdmissionPolicy, request: &AdmissionRequest<'_>, now: Timestamp) -> u8 {
    let steps = now.ms_since(request.first_asked) / policy.ageing_ms.max(1);
    request.priority.saturating_add(u8::try_from(steps).unwrap_or(9)).min(9)
}

/// Whether the workspace is below its threshold in this entry's part of the room.
fn has_room(
    policy: &AdmissionPolicy,
    state: &Admission,
    load: &TargetLoad,
    request: &AdmissionRequest<'_>,
    priority: u8,
    in_system: f64,
) -> bool {
    let capacity = f64::from(load.capacity.max(1));
    let room = capacity * (1.0 + float_ms(policy.queue_ms) / state.hold_ms(policy).max(1.0));
    let free = (room - in_system).max(0.0) / f64::from(load.entries.max(1));
    if free <= 0.0 {
        return false;
    }
    let weight = f64::from(request.workspace.weight) / request.mean_weight.max(f64::MIN_POSITIVE);
    // Two steps of priority double the threshold, so low priorities lose their place first.
    let by_priority = ((f64::from(priority) - 5.0) / 2.0).exp2();
    // One above the threshold is allowed: the part of a small workspace at one entry is below one.
    let threshold = policy.fair_multiple * weight * by_priority * free + 1.0;
    free > 0.0 && state.of_workspace(&request.workspace.name) < threshold
}

/// The brownout step for an offered load, with hysteresis downwards.
fn next_brownout(policy: &AdmissionPolicy, current: Brownout, ratio: f64) -> Brownout {
    let steps = [Brownout::NoRetries, Brownout::ShedLowest, Brownout::ShedLow];
    let mut step = Brownout::Off;
    for (candidate, begin) in steps.into_iter().zip(policy.brownout_at) {
        let bound = if candidate <= current { begin - BROWNOUT_HYSTERESIS } else { begin };
        if ratio >= bound {
            step = candidate;
        }
    }
    step
}

/// Spreads the callers that come again over half to one and a half times the wait.
fn jittered_ms(ms: f64, random: u64) -> u64 {
    whole_ms(ms * (0.5 + unit(random))).clamp(50, 60_000)
}

fn average(mean: &mut f64, sample: f64) {
    let weight = if *mean > 0.0 { SAMPLE_WEIGHT } else { 1.0 };
    *mean += weight * (sample.max(1.0) - *mean);
}
