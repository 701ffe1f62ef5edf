//! The endpoint daemon's side of at-most-once execution.
//!
//! An answer `Refused` is evidence that the attempt never ran and never will. Every refusal that a
//! delayed copy of the same `Start` could contradict is therefore remembered until the deadline of that
//! `Start` has certainly passed.

use crate::clock::Timestamp;
use crate::ids::{Incarnation, VersionName};
use crate::wire::message::{RefusedReason, Start, Work};

pub(crate) mod memory;

/// What this endpoint process knows of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// Nothing, and nothing was forgotten: the attempt has not started in this process.
    NeverSeen,
    /// It was refused, and must never run.
    Promised,
    /// It is running; its answer so far is buffered.
    Running,
    /// It ended with a whole answer, which is buffered.
    Answered,
    /// It started and has no answer: it failed, or its answer or the memory of it was dropped.
    Lost,
}

/// What runs at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Attempts running.
    pub running: u32,
    /// The most attempts that may run at once.
    pub capacity: u32,
    /// Whether the running attempt must stay alone.
    pub runs_alone: bool,
}

impl Occupancy {
    /// Whether one more attempt may start.
    #[must_use]
    pub const fn has_room(&self, run_alone: bool) -> bool {
        self.running < self.capacity && !self.runs_alone && !(run_alone && self.running > 0)
    }
}

/// The endpoint process and what stands beside it.
#[derive(Clone, Copy, Debug)]
pub struct EndpointView<'e> {
    /// This process.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether the engine or service responds.
    pub engine_up: bool,
    /// The version that the engine has loaded, if it serves a model.
    pub version: Option<&'e VersionName>,
    /// What runs there.
    pub occupancy: Occupancy,
    /// Whether no further promise can be remembered; see [`crate::AttemptMemory::is_full`].
    pub promises_full: bool,
}

/// The reply to `Start`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Run it and reply `Accepted`.
    Run,
    /// It is running or has ended: send its answer to this connection too.
    Attach,
    /// Reply `Refused`, after storing the promise.
    Refuse {
        /// Why.
        reason: RefusedReason,
        /// Until when to remember the attempt as [`Known::Promised`], if at all.
        remember_until: Option<Timestamp>,
    },
    /// Reply `Failed`: the attempt may have run, or may still run when a copy of `Start` arrives.
    Fail,
}

/// The reply to `Recover` or `Ask`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoverDecision {
    /// Reply `Refused`, after storing the promise.
    Promise {
        /// Why.
        reason: RefusedReason,
        /// Until when to remember the attempt as [`Known::Promised`], if it is not yet.
        remember_until: Option<Timestamp>,
    },
    /// Send the answer, stored or as it is produced.
    Attach,
    /// Reply `Failed`: the attempt may have run.
    Fail,
    /// Send nothing: a promise cannot be stored now. The asker stays in doubt and asks later.
    Silent,
}

/// Decides on `Start`.
///
/// `OtherIncarnation` is evidence only for an entry that sent this `Start` once, since the process that
/// was meant can have received another copy.
#[must_use]
pub fn decide_start(
    endpoint: &EndpointView<'_>,
    known: Known,
    start: &Start,
    now: Timestamp,
) -> StartDecision {
    if start.endpoint_incarnation != endpoint.incarnation {
        return refuse(RefusedReason::OtherIncarnation, None);
    }
    match known {
        Known::Promised => refuse(RefusedReason::Promised, None),
        Known::Running | Known::Answered => StartDecision::Attach,
        Known::Lost => StartDecision::Fail,
        // The clock does not go back, so a later copy is refused without memory.
        Known::NeverSeen if now >= start.deadline => refuse(RefusedReason::DeadlinePassed, None),
        Known::NeverSeen => match obstacle(endpoint, start) {
            // A refusal that cannot be remembered must not be evidence.
            Some(_) if endpoint.promises_full => StartDecision::Fail,
            Some(reason) => refuse(reason, Some(start.deadline)),
            None => StartDecision::Run,
        },
    }
}

const fn refuse(reason: RefusedReason, remember_until: Option<Timestamp>) -> StartDecision {
    StartDecision::Refuse { reason, remember_until }
}

fn obstacle(endpoint: &EndpointView<'_>, start: &Start) -> Option<RefusedReason> {
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

/// Decides on `Recover`, which names the process `meant`.
///
/// `max_deadline_ms` is the longest deadline that an entry may give a request, plus the clock skew. The
/// deadline of the attempt was set before its claim was written, so it has passed by then.
#[must_use]
pub fn decide_recover(
    endpoint: &EndpointView<'_>,
    known: Known,
    meant: Incarnation,
    max_deadline_ms: u64,
    now: Timestamp,
) -> RecoverDecision {
    // This process cannot know what its predecessor ran.
    if meant != endpoint.incarnation {
        return RecoverDecision::Fail;
    }
    match known {
        Known::NeverSeen if endpoint.promises_full => RecoverDecision::Silent,
        Known::NeverSeen => RecoverDecision::Promise {
            reason: RefusedReason::NeverSeen,
            remember_until: Some(now.plus_ms(max_deadline_ms)),
        },
        Known::Promised => {
            RecoverDecision::Promise { reason: RefusedReason::Promised, remember_until: None }
        }
        Known::Running | Known::Answered => RecoverDecision::Attach,
        Known::Lost => RecoverDecision::Fail,
    }
}

/// Decides on `Ask`, which an entry sends for its own attempt on a new connection.
///
/// `Ask` names no process. An entry sends it only when the `Hello` of the new connection shows the
/// incarnation that its `Start` was meant for; otherwise the outcome is unknown. An attempt that was
/// never seen gets a promise, because its `Start` may still be unread on the old connection.
#[must_use]
pub fn decide_ask(
    endpoint: &EndpointView<'_>,
    known: Known,
    max_deadline_ms: u64,
    now: Timestamp,
) -> RecoverDecision {
    decide_recover(endpoint, known, endpoint.incarnation, max_deadline_ms, now)
}
