//! Recovery of a key that another attempt holds.

use crate::clock::Timestamp;
use crate::decisions::claims::ClaimHolder;
use crate::decisions::claims::record::{ClaimEntry, ClaimKey};
use crate::outcome::UnknownCode;

/// Reply of the endpoint process that another attempt's claim names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryReply {
    /// The process has not been asked yet.
    NotAsked,
    /// The process is unreachable or has not replied yet.
    NoAnswer,
    /// The process promised that the attempt never ran and never will (`Refused`).
    Promised,
    /// The process sends the answer, stored or as it is produced.
    Answer,
    /// The process reports that the attempt may have run and has no answer (`Failed`).
    Failed,
    /// Another process has replaced the one that the claim names.
    IncarnationGone,
}

/// Next step for a request whose key another attempt holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// Send `Recover` to the endpoint process that the claim names.
    Ask,
    /// Wait for the reply to `Recover`.
    Wait,
    /// Append this entry, followed by a new claim of the key in the same batch.
    ClaimAgain(ClaimEntry),
    /// Relay the answer to the caller.
    Relay,
    /// Refuse the request with an unknown outcome. Only `StillRunning` may change on a later request.
    Unknown(UnknownCode),
}

/// Decides the next step for a request whose `key` is held by `holder`, given the latest `reply`.
#[must_use]
pub fn recovery_step(
    key: &ClaimKey,
    holder: &ClaimHolder,
    reply: RecoveryReply,
    deadline: Timestamp,
    now: Timestamp,
) -> RecoveryStep {
    match reply {
        RecoveryReply::Promised => {
            RecoveryStep::ClaimAgain(ClaimEntry::Recovered { key: *key, claim: holder.claim })
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
