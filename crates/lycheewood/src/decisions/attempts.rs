//! At-most-once execution on the endpoint daemon.
//!
//! A `Refused` reply proves to the entry that the attempt never ran and never will. If a delayed copy of
//! the same `Start` could contradict a refusal, the daemon stores the refusal as a promise at least until
//! the deadline of that `Start`.

use crate::clock::Timestamp;
use crate::ids::{Incarnation, VersionName};
use crate::wire::message::{RefusedReason, Start, Work};

pub(crate) mod table;

/// State of an attempt at this endpoint process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt has not started in this process, and no record of it was evicted.
    NeverSeen,
    /// The attempt was refused and must never run.
    Promised,
    /// The attempt is running; its answer so far is buffered.
    Running,
    /// The attempt ended with a complete answer, which is buffered.
    Answered,
    /// The attempt may have run and has no answer: it failed, its answer was dropped, or its record was
    /// evicted.
    Lost,
}

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Number of running attempts.
    pub running: u32,
    /// Maximum number of concurrent attempts.
    pub capacity: u32,
    /// Whether the running attempt excludes others.
    pub runs_alone: bool,
}

impl Occupancy {
    /// Whether one more attempt may start; `run_alone` if it must run without others.
    #[must_use]
    pub const fn has_room(&self, run_alone: bool) -> bool {
        self.running < self.capacity && !self.runs_alone && !(run_alone && self.running > 0)
    }
}

/// State of the endpoint process and its engine or service.
#[derive(Clone, Copy, Debug)]
pub struct EndpointView<'e> {
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Whether this process is draining before a stop.
    pub draining: bool,
    /// Whether the engine or service responds.
    pub engine_up: bool,
    /// Model version that the engine has loaded; `None` for a service.
    pub version: Option<&'e VersionName>,
    /// Attempts running at this endpoint.
    pub occupancy: Occupancy,
    /// Whether no further promise can be stored; see [`crate::AttemptTable::is_full`].
    pub attempt_table_full: bool,
}

/// Reply to `Start`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Run the attempt and reply `Accepted`.
    Run,
    /// Send the answer of an attempt that is running or has ended to this connection too.
    Attach,
    /// Store the promise, then reply `Refused`.
    Refuse {
        /// Reason for the refusal.
        reason: RefusedReason,
        /// Time until which the attempt stays [`AttemptState::Promised`]; `None` stores no promise.
        promise_until: Option<Timestamp>,
    },
    /// Reply `Failed`: the attempt may have run, or may run when another copy of `Start` arrives.
    Fail,
}

/// Reply to `Recover` or `Ask`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoverDecision {
    /// Store the promise, then reply `Refused`.
    Promise {
        /// Reason for the refusal.
        reason: RefusedReason,
        /// Time until which the attempt stays [`AttemptState::Promised`]; `None` if it already is.
        promise_until: Option<Timestamp>,
    },
    /// Send the buffered answer and what the attempt still produces.
    Attach,
    /// Reply `Failed`: the attempt may have run.
    Fail,
    /// Send nothing, because no promise can be stored now. The entry gets no proof and asks again later.
    Silent,
}

/// Decides the reply to `Start`.
///
/// `OtherIncarnation` proves that the attempt never ran only if the entry sent this `Start` once: the
/// target process may have received another copy.
#[must_use]
pub fn decide_start(
    endpoint: &EndpointView<'_>,
    state: AttemptState,
    start: &Start,
    now: Timestamp,
) -> StartDecision {
    if start.endpoint_incarnation != endpoint.incarnation {
        return refuse(RefusedReason::OtherIncarnation, None);
    }
    match state {
        AttemptState::Promised => refuse(RefusedReason::Promised, None),
        AttemptState::Running | AttemptState::Answered => StartDecision::Attach,
        AttemptState::Lost => StartDecision::Fail,
        // The clock is monotonic, so a later copy is refused too, without a stored promise.
        AttemptState::NeverSeen if now >= start.deadline => {
            refuse(RefusedReason::DeadlinePassed, None)
        }
        AttemptState::NeverSeen => match refusal_reason(endpoint, start) {
            // Without a stored promise, a later copy could run after the refusal.
            Some(_) if endpoint.attempt_table_full => StartDecision::Fail,
            Some(reason) => refuse(reason, Some(start.deadline)),
            None => StartDecision::Run,
        },
    }
}

const fn refuse(reason: RefusedReason, promise_until: Option<Timestamp>) -> StartDecision {
    StartDecision::Refuse { reason, promise_until }
}

fn refusal_reason(endpoint: &EndpointView<'_>, start: &Start) -> Option<RefusedReason> {
    if endpoint.draining {
        return Some(RefusedReason::Draining);
    }
    if !endpoint.engine_up {
        return Some(RefusedReason::EngineDown);
    }
    if !has_version(endpoint, &start.work) {
        return Some(RefusedReason::OtherVersion);
    }
    (!endpoint.occupancy.has_room(start.run_alone)).then_some(RefusedReason::Full)
}

fn has_version(endpoint: &EndpointView<'_>, work: &Work) -> bool {
    match work {
        Work::Model { version, .. } => endpoint.version == Some(version),
        Work::Service { .. } => true,
    }
}

/// Decides the reply to `Recover`, which names the process `target`.
///
/// `max_deadline_ms` is the longest deadline that an entry may give a request, plus the clock skew. The
/// attempt's deadline was set before its claim was appended, so a promise of this duration outlasts it.
#[must_use]
pub fn decide_recover(
    endpoint: &EndpointView<'_>,
    state: AttemptState,
    target: Incarnation,
    max_deadline_ms: u64,
    now: Timestamp,
) -> RecoverDecision {
    // This process has no record of what an earlier process ran.
    if target != endpoint.incarnation {
        return RecoverDecision::Fail;
    }
    match state {
        AttemptState::NeverSeen if endpoint.attempt_table_full => RecoverDecision::Silent,
        AttemptState::NeverSeen => RecoverDecision::Promise {
            reason: RefusedReason::NeverSeen,
            promise_until: Some(now.plus_ms(max_deadline_ms)),
        },
        AttemptState::Promised => {
            RecoverDecision::Promise { reason: RefusedReason::Promised, promise_until: None }
        }
        AttemptState::Running | AttemptState::Answered => RecoverDecision::Attach,
        AttemptState::Lost => RecoverDecision::Fail,
    }
}

/// Decides the reply to `Ask`, which an entry sends for its own attempt on a new connection.
///
/// `Ask` names no process. An entry sends it only if the `Hello` of the new connection shows the
/// incarnation that its `Start` named; otherwise the outcome is unknown. An attempt that was never seen
/// gets a promise, because its `Start` may still be unread on the old connection.
#[must_use]
pub fn decide_ask(
    endpoint: &EndpointView<'_>,
    state: AttemptState,
    max_deadline_ms: u64,
    now: Timestamp,
) -> RecoverDecision {
    decide_recover(endpoint, state, endpoint.incarnation, max_deadline_ms, now)
}
