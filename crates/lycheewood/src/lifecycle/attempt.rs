//! The life cycle of one attempt to run a request at an endpoint.

use crate::ids::{AttemptId, RequestKey};
use crate::outcome::{NotRun, NotRunCode, Unknown, UnknownCode};

/// An attempt that has not been sent: nothing has reached an endpoint.
#[derive(Debug)]
pub struct Planned(());

/// An attempt of which a byte may have reached an endpoint.
#[derive(Debug)]
pub struct Dispatched(());

/// Evidence from an endpoint daemon that an attempt never started there and never will.
///
/// Only the decoder of endpoint replies makes one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vouch {
    attempt: AttemptId,
}

impl Vouch {
    /// Evidence for `attempt`, taken from a reply of the endpoint daemon that was asked to run it.
    #[must_use]
    pub const fn from_endpoint(attempt: AttemptId) -> Self {
        Self { attempt }
    }
}

/// One attempt to run a request, in the stage `S`.
///
/// A dispatched attempt cannot be refused as not run without a [`Vouch`]:
///
/// ```compile_fail
/// use lycheewood::{Attempt, AttemptId, Dispatched, NotRunCode};
///
/// fn refuse(attempt: Attempt<Dispatched>) {
///     attempt.not_run(NotRunCode::NoEndpoint, 0);
/// }
/// ```
#[derive(Debug)]
pub struct Attempt<S> {
    id: AttemptId,
    stage: S,
}

impl<S> Attempt<S> {
    /// The attempt's identifier.
    #[must_use]
    pub const fn id(&self) -> AttemptId {
        self.id
    }
}

impl Attempt<Planned> {
    /// An attempt that is about to be made.
    #[must_use]
    pub const fn plan(id: AttemptId) -> Self {
        Self { id, stage: Planned(()) }
    }

    /// Ends the attempt before anything was sent.
    #[must_use]
    pub const fn not_run(self, code: NotRunCode, retry_after_ms: u64) -> NotRun {
        let Planned(()) = self.stage;
        NotRun { code, retry_after_ms }
    }

    /// Marks the attempt as sent. Call this before the first byte is written.
    #[must_use]
    pub const fn dispatch(self) -> Attempt<Dispatched> {
        let Planned(()) = self.stage;
        Attempt { id: self.id, stage: Dispatched(()) }
    }
}

impl Attempt<Dispatched> {
    /// Ends the attempt as not run, on the endpoint's evidence.
    ///
    /// # Errors
    ///
    /// Gives the attempt back when the evidence speaks of another attempt.
    pub fn not_run_on_evidence(self, vouch: Vouch, code: NotRunCode) -> Result<NotRun, Self> {
        if vouch.attempt == self.id { Ok(NotRun { code, retry_after_ms: 0 }) } else { Err(self) }
    }

    /// Ends the attempt with an unknown outcome.
    #[must_use]
    pub const fn unknown(self, code: UnknownCode, key: Option<RequestKey>) -> Unknown {
        let Dispatched(()) = self.stage;
        Unknown { code, key }
    }
}
