//! The life cycle of a claim, which permits dispatching an attempt that must run at most once.

use crate::decisions::claims::record::{ClaimEntry, ClaimKey, ClaimPosition, ClaimRecord};
use crate::decisions::claims::{ClaimTable, ClaimVerdict, Holder, OwnClaim};
use crate::ids::{AttemptId, Incarnation, InstanceId};
use crate::lifecycle::attempt::{Attempt, Dispatched, Planned};

/// A claim that has not been sent to the log.
#[derive(Debug)]
pub struct Needed(());

/// A claim that may be in the log. Its position is known once the log replies.
#[derive(Debug)]
pub struct Sent {
    position: Option<ClaimPosition>,
}

/// A claim that holds its key: the stream was read up to it and no earlier one counts.
#[derive(Debug)]
pub struct Granted {
    position: ClaimPosition,
}

/// A claim that does not hold its key.
#[derive(Debug)]
pub struct Lost {
    reason: LostReason,
}

/// Why a claim does not hold its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LostReason {
    /// Another attempt holds it.
    HeldBy(Holder),
    /// Nobody holds it: claim anew with a new attempt.
    Superseded,
    /// The key was used for another request.
    DifferentRequest,
    /// The key's window has passed: outcome unknown.
    KeyExpired,
}

/// What became of a claim that was sent.
#[derive(Debug)]
pub enum Judged {
    /// The stream has not been read far enough.
    Waiting(Claim<Sent>),
    /// The claim holds its key.
    Granted(Claim<Granted>),
    /// The claim does not hold its key.
    Lost(Claim<Lost>),
}

/// A claim that its holder gave up. Only claims whose attempt was never dispatched become one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Abandoned {
    key: ClaimKey,
    attempt: AttemptId,
}

/// Where a granted attempt may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The instance.
    pub endpoint: InstanceId,
    /// The process there; `Start` must name it.
    pub endpoint_incarnation: Incarnation,
    /// The key.
    pub key: ClaimKey,
    /// The claim; `Start` carries its offset.
    pub claim: ClaimPosition,
}

impl Permit {
    /// The entry that frees the key after the endpoint has refused the `Start` that was sent once.
    #[must_use]
    pub const fn recovered(&self) -> ClaimEntry {
        ClaimEntry::Recovered { key: self.key, claim: self.claim }
    }
}

/// One claim, in the stage `S`.
///
/// Only a granted claim permits a dispatch:
///
/// ```
/// use lycheewood::{Attempt, Claim, Granted, Planned};
///
/// fn dispatch(claim: Claim<Granted>, attempt: Attempt<Planned>) {
///     let _ = claim.dispatch(attempt);
/// }
/// ```
///
/// A claim that was sent but not read back does not:
///
/// ```compile_fail
/// use lycheewood::{Attempt, Claim, Planned, Sent};
///
/// fn dispatch(claim: Claim<Sent>, attempt: Attempt<Planned>) {
///     let _ = claim.dispatch(attempt);
/// }
/// ```
///
/// Neither does a lost one:
///
/// ```compile_fail
/// use lycheewood::{Attempt, Claim, Lost, Planned};
///
/// fn dispatch(claim: Claim<Lost>, attempt: Attempt<Planned>) {
///     let _ = claim.dispatch(attempt);
/// }
/// ```
///
/// A claim that permitted a dispatch cannot be given up:
///
/// ```compile_fail
/// use lycheewood::{Attempt, Claim, Granted, Planned};
///
/// fn dispatch_and_abandon(claim: Claim<Granted>, attempt: Attempt<Planned>) {
///     let _ = claim.dispatch(attempt);
///     let _ = claim.abandon();
/// }
/// ```
#[derive(Debug)]
pub struct Claim<S> {
    record: ClaimRecord,
    stage: S,
}

impl<S> Claim<S> {
    /// The claim as the log has it.
    #[must_use]
    pub const fn record(&self) -> &ClaimRecord {
        &self.record
    }

    const fn abandoned(&self) -> Abandoned {
        Abandoned { key: self.record.key, attempt: self.record.attempt }
    }
}

impl Claim<Needed> {
    /// A claim that is about to be sent.
    #[must_use]
    pub const fn new(record: ClaimRecord) -> Self {
        Self { record, stage: Needed(()) }
    }

    /// The entry for the log, and the claim as sent. Call this before the append starts.
    #[must_use]
    pub fn send(self) -> (ClaimEntry, Claim<Sent>) {
        let Needed(()) = self.stage;
        let entry = ClaimEntry::Claim(self.record.clone());
        (entry, Claim { record: self.record, stage: Sent { position: None } })
    }
}

impl Claim<Sent> {
    /// Notes the position from the log's reply.
    #[must_use]
    pub const fn appended(mut self, position: ClaimPosition) -> Self {
        self.stage.position = Some(position);
        self
    }

    /// Decides by what has been read of the stream. A claim whose reply was lost is found by its attempt.
    #[must_use]
    pub fn judge(self, table: &ClaimTable) -> Judged {
        let own = OwnClaim { record: &self.record, position: self.stage.position };
        let reason = match table.verdict(&own) {
            ClaimVerdict::Unread => return Judged::Waiting(self),
            ClaimVerdict::Granted(position) => {
                return Judged::Granted(Claim { record: self.record, stage: Granted { position } });
            }
            ClaimVerdict::HeldBy(holder) => LostReason::HeldBy(holder.clone()),
            ClaimVerdict::Superseded => LostReason::Superseded,
            ClaimVerdict::DifferentRequest => LostReason::DifferentRequest,
            ClaimVerdict::KeyExpired => LostReason::KeyExpired,
        };
        Judged::Lost(Claim { record: self.record, stage: Lost { reason } })
    }

    /// Gives the claim up, for instance at the deadline. It may still appear in the log.
    #[must_use]
    pub fn abandon(self) -> Abandoned {
        self.abandoned()
    }
}

impl Claim<Granted> {
    /// Where the claim stands in the log.
    #[must_use]
    pub const fn position(&self) -> ClaimPosition {
        self.stage.position
    }

    /// Marks the attempt as sent, to the endpoint process that the claim names.
    ///
    /// # Errors
    ///
    /// Gives both back when the attempt is not the one that holds the key.
    pub fn dispatch(
        self,
        attempt: Attempt<Planned>,
    ) -> Result<(Attempt<Dispatched>, Permit), (Self, Attempt<Planned>)> {
        if attempt.id() != self.record.attempt {
            return Err((self, attempt));
        }
        let permit = Permit {
            endpoint: self.record.endpoint,
            endpoint_incarnation: self.record.endpoint_incarnation,
            key: self.record.key,
            claim: self.stage.position,
        };
        Ok((attempt.dispatch(), permit))
    }

    /// Gives the claim up before its attempt is dispatched.
    #[must_use]
    pub fn abandon(self) -> Abandoned {
        self.abandoned()
    }
}

impl Claim<Lost> {
    /// Why the claim does not hold its key.
    #[must_use]
    pub const fn reason(&self) -> &LostReason {
        &self.stage.reason
    }

    /// Gives the claim up. It can still come to hold the key if it was not read yet.
    #[must_use]
    pub fn abandon(self) -> Abandoned {
        self.abandoned()
    }
}

impl Abandoned {
    /// The attempt, which is never dispatched.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// The entry that frees the key, if this claim holds it.
    #[must_use]
    pub fn release(&self, table: &ClaimTable) -> Option<ClaimEntry> {
        let holder = table.holder(&self.key).filter(|h| h.attempt == self.attempt)?;
        let by = self.attempt.incarnation;
        Some(ClaimEntry::Released { key: self.key, claim: holder.claim, by })
    }

    /// Whether this claim can never hold its key any more and may be forgotten.
    #[must_use]
    pub fn is_over(&self, table: &ClaimTable) -> bool {
        table.is_past_window(&self.key)
    }
}
