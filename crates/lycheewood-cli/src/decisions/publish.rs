//! How a publication states its change, what follows an append, and who won.

use lycheewood::publication::{
    Change, PublicationState, PublicationStatus, PublisherView, RefusalReason, publication_status,
};
use lycheewood::{Difference, Offset, PublicationId, apply_patch, difference, patch_between};
use serde_json::Value;

/// States a change as a merge patch when that is smaller than the whole document.
pub(crate) fn choose_change(in_force: Option<&Value>, new: &Value) -> Change {
    if let Some(old) = in_force {
        let patch = patch_between(old, new);
        let exact = apply_patch(old, &patch).is_ok_and(|made| difference(&made, new).is_empty());
        if exact && patch.to_string().len() < new.to_string().len() {
            return Change::Patch(patch);
        }
    }
    Change::Document(new.clone())
}

/// Whether a new publication on `base` is refused before anything is sent.
pub(crate) fn refused_at_once(
    state: &PublicationState,
    id: &PublicationId,
    base: Option<Offset>,
) -> Option<RefusalReason> {
    match publication_status(state, &PublisherView { id, base, effect: None }) {
        PublicationStatus::Refused(reason) => Some(reason),
        PublicationStatus::Indeterminate => Some(RefusalReason::BaseNotInForce),
        // The base is no version so far; a patch would be made on another document.
        PublicationStatus::Pending if base != state.version() => {
            Some(RefusalReason::BaseNotInForce)
        }
        PublicationStatus::Pending | PublicationStatus::Accepted { .. } => None,
    }
}

/// What is known after an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Appended {
    /// The log named an offset.
    Confirmed,
    /// The record may stand in the log.
    Unconfirmed,
    /// The log cannot have the record.
    NotSent,
}

impl Appended {
    /// What is known after one more append. An earlier append that may have taken effect still may.
    pub(crate) const fn and_then(self, later: Self) -> Self {
        match (self, later) {
            (Self::Confirmed, _) | (_, Self::Confirmed) => Self::Confirmed,
            (Self::NotSent, Self::NotSent) => Self::NotSent,
            _ => Self::Unconfirmed,
        }
    }
}

/// The most appends of one publication. Each is harmless, but a log that loses every reply would
/// collect them until the deadline.
const MAX_APPENDS: u32 = 5;

/// Whether to append again under the same id: the reply was lost and the stream, read to its end, has
/// no record of the id.
pub(crate) fn append_again(appended: Appended, appends: u32, read_to_end: bool) -> bool {
    appended == Appended::Unconfirmed && read_to_end && appends < MAX_APPENDS
}

/// A refusal with what the operator needs to edit again.
pub(crate) struct Conflict<'a> {
    pub(crate) reason: &'a RefusalReason,
    /// Version and id of the publication that replaced the base.
    pub(crate) winner: Option<(Offset, &'a PublicationId)>,
    /// The version in force.
    pub(crate) in_force: Option<Offset>,
    /// From the document in force to the refused one.
    pub(crate) difference: Vec<Difference>,
}

/// Explains a refusal.
pub(crate) fn explain<'a>(
    state: &PublicationState,
    reason: &'a RefusalReason,
    new: &Value,
) -> Conflict<'a> {
    let winner = match reason {
        RefusalReason::BaseReplaced(winner) => Some((winner.version, &winner.id)),
        _ => None,
    };
    let difference =
        state.published().map(|published| difference(&published.raw, new)).unwrap_or_default();
    Conflict { reason, winner, in_force: state.version(), difference }
}
