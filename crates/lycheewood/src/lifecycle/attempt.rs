//! The life cycle of one attempt to run a request at an endpoint.

use crate::ids::{AttemptId, RequestKey};
use crate::outcome::{NotRun, NotRunCode, UnknownCode, UnknownOutcome};

/// An attempt that has not been sent: nothing has reached an endpoint.
#[derive(Debug)]
pub struct Planned(());

/// An attempt that has been sent: some of it may have reached an endpoint.
#[derive(Debug)]
pub struct Dispatched(());

/// Proof from an endpoint daemon that an attempt never started there and never will.
///
/// Only the decoder of endpoint replies creates one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof {
    attempt: AttemptId,
}

impl NotRunProof {
    /// Proof for `attempt`, from the reply of the endpoint daemon that was asked to run it.
    #[must_use]
    pub const fn from_endpoint(attempt: AttemptId) -> Self {
        Self { attempt }
    }
}

/// One attempt to run a request, in the state `S`.
///
/// A dispatched attempt cannot end as not run without a [`NotRunProof`]:
///
/// ```compile_fail
/// use lycheewood::{Attempt, AttemptDispatched, AttemptId, NotRunCode};
///
/// fn refuse(attempt: Attempt<AttemptDispatched>) {
///     attempt.not_run(NotRunCode::NoEndpoint, 0);
/// }
/// ```
#[derive(Debug)]
pub struct Attempt<S> {
    id: AttemptId,
    state: S,
}

impl<S> Attempt<S> {
    /// The attempt's identifier.
    #[must_use]
    pub const fn id(&self) -> AttemptId {
        self.id
    }
}

impl Attempt<Planned> {
    /// Creates an attempt that has not been sent.
    #[must_use]
    pub const fn plan(id: AttemptId) -> Self {
        Self { id, state: Planned(()) }
    }

    /// Ends the attempt before anything was sent.
    #[must_use]
    pub const fn not_run(self, code: NotRunCode, retry_after_ms: u64) -> NotRun {
        let Planned(()) = self.state;
        NotRun { code, retry_after_ms }
    }

    /// Marks the attempt as sent. Call this before the first byte is written.
    #[must_use]
    pub const fn dispatch(self) -> Attempt<Dispatched> {
        let Planned(()) = self.state;
        Attempt { id: self.id, state: Dispatched(()) }
    }
}

impl Attempt<Dispatched> {
    /// Ends the attempt as not run, with the endpoint's proof.
    ///
    /// # Errors
    ///
    /// Returns the attempt when the proof is for another attempt.
    pub fn not_run_with_proof(self, proof: NotRunProof, code: NotRunCode) -> Result<NotRun, Self> {
        if proof.attempt == self.id { Ok(NotRun { code, retry_after_ms: 0 }) } else { Err(self) }
    }

    /// Ends the attempt with an unknown outcome.
    #[must_use]
    pub const fn unknown(self, code: UnknownCode, key: Option<RequestKey>) -> UnknownOutcome {
        let Dispatched(()) = self.state;
        UnknownOutcome { code, key }
    }
}
