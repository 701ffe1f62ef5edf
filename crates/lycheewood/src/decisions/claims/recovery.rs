//! What to do about a key that another attempt holds.

use crate::clock::Timestamp;
use crate::decisions::claims::Holder;
use crate::decisions::claims::record::{ClaimEntry, ClaimKey};
use crate::outcome::UnknownCode;

/// What an entry learned of the endpoint process that a claim of another attempt names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryReply {
    /// The process has not been asked yet.
    NotAsked,
    /// The process cannot be reached or has not answered yet.
    NoAnswer,
    /// The process promised that the attempt never ran and never will (`Refused`).
    Promised,
    /// The process gives the answer, stored or as it is produced.
    Answer,
    /// The attempt may have run and has no answer (`Failed`).
    Failed,
    /// Another process has taken the place of the one that the claim names.
    IncarnationGone,
}

/// What to do about a key that another attempt holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// Send `Recover` to the endpoint process that the claim names.
    Ask,
    /// Wait for its reply.
    Wait,
    /// Append this entry, and behind it in the same batch a new claim of the key.
    ClaimAnew(ClaimEntry),
    /// Relay the answer.
    Relay,
    /// Refuse with an unknown outcome. Unless the code is `StillRunning`, it stays unknown.
    Unknown(UnknownCode),
}

/// What to do about `key`, which `holder` holds, after `reply`.
#[must_use]
pub fn recovery_step(
    key: &ClaimKey,
    holder: &Holder,
    reply: RecoveryReply,
    deadline: Timestamp,
    now: Timestamp,
) -> RecoveryStep {
    match reply {
        RecoveryReply::Promised => {
            RecoveryStep::ClaimAnew(ClaimEntry::Recovered { key: *key, claim: holder.claim })
        }
        RecoveryReply::Answer => RecoveryStep::Relay,
        RecoveryReply::Failed | RecoveryReply::IncarnationGone => {
            RecoveryStep::Unknown(UnknownCode::HolderLost)
        }
        RecoveryReply::NotAsked | RecoveryReply::NoAnswer if now >= deadline => {
            RecoveryStep::Unknown(UnknownCode::StillRunning)
        }
        RecoveryReply::NotAsked => RecoveryStep::Ask,
        RecoveryReply::NoAnswer => RecoveryStep::Wait,
    }
}
