//! What permits an attempt to be sent over a link.

use crate::ids::{AttemptId, Incarnation, Offset};
use crate::lifecycle::attempt::{Attempt, Dispatched, Planned};
use crate::lifecycle::claim::{Claim, Granted};

/// What permits an attempt to be sent.
#[derive(Debug)]
pub(crate) enum Ticket {
    /// The request may repeat.
    Repeatable(Attempt<Planned>),
    /// The request may not repeat, and this attempt holds its key.
    Claimed(Claim<Granted>, Attempt<Planned>),
}

impl Ticket {
    pub(crate) fn attempt(&self) -> AttemptId {
        match self {
            Self::Repeatable(attempt) | Self::Claimed(_, attempt) => attempt.id(),
        }
    }

    /// Offset of the claim, if there is one.
    pub(crate) fn claim_offset(&self) -> Option<Offset> {
        match self {
            Self::Repeatable(_) => None,
            Self::Claimed(claim, _) => Some(claim.position().offset),
        }
    }

    /// Marks the attempt as sent, when it is meant for this endpoint process.
    pub(super) fn dispatch(self, endpoint: Incarnation) -> Result<Attempt<Dispatched>, Self> {
        match self {
            Self::Repeatable(attempt) => Ok(attempt.dispatch()),
            Self::Claimed(claim, attempt) if claim.record().endpoint_incarnation == endpoint => {
                match claim.dispatch(attempt) {
                    Ok((attempt, _permit)) => Ok(attempt),
                    Err((claim, attempt)) => Err(Self::Claimed(claim, attempt)),
                }
            }
            Self::Claimed(..) => Err(self),
        }
    }
}
