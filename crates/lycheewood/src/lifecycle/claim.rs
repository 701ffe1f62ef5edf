//! The life cycle of a claim, which permits the dispatch of an attempt that must run at most once.

use crate::decisions::claims::record::{ClaimEntry, ClaimKey, ClaimPosition, ClaimRecord};
use crate::decisions::claims::{ClaimHolder, ClaimStatus, ClaimTable, SubmittedClaim};
use crate::ids::{AttemptId, Incarnation, InstanceId};
use crate::lifecycle::attempt::{Attempt, Dispatched, Planned};

/// A claim that has not been sent to the log.
#[derive(Debug)]
pub struct Unsent(());

/// A claim that may have been appended to the log. Its position is known once the log replies.
#[derive(Debug)]
pub struct Sent {
    position: Option<ClaimPosition>,
}

/// A claim that holds its key: the stream was read up to it, and no earlier claim holds the key.
#[derive(Debug)]
pub struct Granted {
    position: ClaimPosition,
}

/// A claim that does not hold its key.
#[derive(Debug)]
pub struct Denied {
    reason: DenialReason,
}

/// Why a claim does not hold its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// Another attempt holds the key.
    HeldBy(ClaimHolder),
    /// No attempt holds the key: claim it again with a new attempt.
    Superseded,
    /// The key was used for another request.
    DifferentRequest,
    /// The key's window has passed, so the outcome is unknown.
    KeyExpired,
}

/// The state of a sent claim after the stream has been read further.
#[derive(Debug)]
pub enum ClaimResolution {
    /// The stream has not been read far enough to decide.
    Pending(Claim<Sent>),
    /// The claim holds its key.
    Granted(Claim<Granted>),
    /// The claim does not hold its key.
    Denied(Claim<Denied>),
}

/// A claim that its owner gave up. Its attempt was never dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedClaim {
    key: ClaimKey,
    attempt: AttemptId,
}

/// Permission to send a granted attempt to one endpoint process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchPermit {
    /// The instance to send the attempt to.
    pub endpoint: InstanceId,
    /// The process on that instance. The `Start` message must name it.
    pub endpoint_incarnation: Incarnation,
    /// The key that the claim holds.
    pub key: ClaimKey,
    /// Position of the claim. The `Start` message contains its offset.
    pub claim: ClaimPosition,
}

impl DispatchPermit {
    /// The log entry that frees the key after the endpoint has refused the `Start` message, which was
    /// sent once.
    #[must_use]
    pub const fn recovered_entry(&self) -> ClaimEntry {
        ClaimEntry::Recovered { key: self.key, claim: self.claim }
    }
}

/// One claim, in the state `S`.
///
/// Only a granted claim permits a dispatch:
///
/// ```
/// use lycheewood::{Attempt, AttemptPlanned, Claim, ClaimGranted};
///
/// fn dispatch(claim: Claim<ClaimGranted>, attempt: Attempt<AttemptPlanned>) {
///     let _ = claim.dispatch(attempt);
/// }
/// ```
///
/// A claim that was sent but not yet read back from the log does not:
///
/// ```compile_fail
/// use lycheewood::{Attempt, AttemptPlanned, Claim, ClaimSent};
///
/// fn dispatch(claim: Claim<ClaimSent>, attempt: Attempt<AttemptPlanned>) {
///     let _ = claim.dispatch(attempt);
/// }
/// ```
///
/// Neither does a denied one:
///
/// ```compile_fail
/// use lycheewood::{Attempt, AttemptPlanned, Claim, ClaimDenied};
///
/// fn dispatch(claim: Claim<ClaimDenied>, attempt: Attempt<AttemptPlanned>) {
///     let _ = claim.dispatch(attempt);
/// }
/// ```
///
/// A claim that permitted a dispatch cannot be abandoned:
///
/// ```compile_fail
/// use lycheewood::{Attempt, AttemptPlanned, Claim, ClaimGranted};
///
/// fn dispatch_and_abandon(claim: Claim<ClaimGranted>, attempt: Attempt<AttemptPlanned>) {
///     let _ = claim.dispatch(attempt);
///     let _ = claim.abandon();
/// }
/// ```
#[derive(Debug)]
pub struct Claim<S> {
    record: ClaimRecord,
    state: S,
}

impl<S> Claim<S> {
    /// The claim's record, as it is written to the log.
    #[must_use]
    pub const fn record(&self) -> &ClaimRecord {
        &self.record
    }

    const fn to_abandoned(&self) -> AbandonedClaim {
        AbandonedClaim { key: self.record.key, attempt: self.record.attempt }
    }
}

impl Claim<Unsent> {
    /// Creates a claim that has not been sent.
    #[must_use]
    pub const fn new(record: ClaimRecord) -> Self {
        Self { record, state: Unsent(()) }
    }

    /// The entry for the log, and the claim as sent. Call this before the append starts.
    #[must_use]
    pub fn send(self) -> (ClaimEntry, Claim<Sent>) {
        let Unsent(()) = self.state;
        let entry = ClaimEntry::Claim(self.record.clone());
        (entry, Claim { record: self.record, state: Sent { position: None } })
    }
}

impl Claim<Sent> {
    /// Sets the position that the log's reply states.
    #[must_use]
    pub const fn appended(mut self, position: ClaimPosition) -> Self {
        self.state.position = Some(position);
        self
    }

    /// Resolves the claim by the part of the stream that `table` has applied. A claim whose append reply
    /// was lost is identified by its attempt.
    #[must_use]
    pub fn resolve(self, table: &ClaimTable) -> ClaimResolution {
        let submitted = SubmittedClaim { record: &self.record, position: self.state.position };
        let reason = match table.claim_status(&submitted) {
            ClaimStatus::Pending => return ClaimResolution::Pending(self),
            ClaimStatus::Granted(position) => {
                return ClaimResolution::Granted(Claim {
                    record: self.record,
                    state: Granted { position },
                });
            }
            ClaimStatus::HeldBy(holder) => DenialReason::HeldBy(holder.clone()),
            ClaimStatus::Superseded => DenialReason::Superseded,
            ClaimStatus::DifferentRequest => DenialReason::DifferentRequest,
            ClaimStatus::KeyExpired => DenialReason::KeyExpired,
        };
        ClaimResolution::Denied(Claim { record: self.record, state: Denied { reason } })
    }

    /// Gives up the claim, for instance at the deadline. It may still appear in the log.
    #[must_use]
    pub fn abandon(self) -> AbandonedClaim {
        self.to_abandoned()
    }
}

impl Claim<Granted> {
    /// Position of the claim in the log.
    #[must_use]
    pub const fn position(&self) -> ClaimPosition {
        self.state.position
    }

    /// Marks the attempt as sent, and permits sending it to the endpoint process that the claim names.
    ///
    /// # Errors
    ///
    /// Returns the claim and the attempt when the attempt is not the one that holds the key.
    pub fn dispatch(
        self,
        attempt: Attempt<Planned>,
    ) -> Result<(Attempt<Dispatched>, DispatchPermit), (Self, Attempt<Planned>)> {
        if attempt.id() != self.record.attempt {
            return Err((self, attempt));
        }
        let permit = DispatchPermit {
            endpoint: self.record.endpoint,
            endpoint_incarnation: self.record.endpoint_incarnation,
            key: self.record.key,
            claim: self.state.position,
        };
        Ok((attempt.dispatch(), permit))
    }

    /// Gives up the claim before its attempt is dispatched.
    #[must_use]
    pub fn abandon(self) -> AbandonedClaim {
        self.to_abandoned()
    }
}

impl Claim<Denied> {
    /// Why the claim does not hold its key.
    #[must_use]
    pub const fn reason(&self) -> &DenialReason {
        &self.state.reason
    }

    /// Gives up the claim. If it was not read from the log yet, it may still come to hold the key.
    #[must_use]
    pub fn abandon(self) -> AbandonedClaim {
        self.to_abandoned()
    }
}

impl AbandonedClaim {
    /// The attempt, which is never dispatched.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// The log entry that frees the key, if this claim holds it.
    #[must_use]
    pub fn release(&self, table: &ClaimTable) -> Option<ClaimEntry> {
        let holder = table.holder(&self.key).filter(|h| h.attempt == self.attempt)?;
        let by = self.attempt.incarnation;
        Some(ClaimEntry::Released { key: self.key, claim: holder.claim, by })
    }

    /// Whether the key's window has passed, so that this claim can no longer hold its key and may be
    /// dropped.
    #[must_use]
    pub fn is_expired(&self, table: &ClaimTable) -> bool {
        table.is_past_window(&self.key)
    }
}
