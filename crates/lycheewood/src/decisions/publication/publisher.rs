//! What became of a publication, for its publisher.

use crate::decisions::publication::record::Win;
use crate::decisions::publication::{FoldState, Folded, RefusedBecause};
use crate::ids::{Offset, PublicationId};

/// What a publisher knows of its publication.
#[derive(Clone, Copy, Debug)]
pub struct PublisherView<'a> {
    /// Its id.
    pub id: &'a PublicationId,
    /// Its base.
    pub base: Option<Offset>,
    /// What a record with its id did, when the publisher folded one itself.
    pub folded: Option<&'a Folded>,
}

/// What became of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is or was in force as this version.
    Accepted {
        /// Offset of its accepted record.
        version: Offset,
    },
    /// It is not in force and never will be, however often its record is appended.
    Refused(RefusedBecause),
    /// Its base is in force, or not folded yet. The record may be appended again under the same id.
    NotYetKnown,
    /// Its base was replaced before the oldest remembered publication. It has no effect any more,
    /// but the state no longer tells whether it was accepted then.
    Forgotten,
}

/// The verdict on a publication. It does not depend on how often its record was appended, because
/// each base has one winner.
#[must_use]
pub fn verdict(state: &FoldState, publisher: &PublisherView<'_>) -> Verdict {
    if let Some(win) = state.wins.iter().find(|win| &win.id == publisher.id) {
        return Verdict::Accepted { version: win.version };
    }
    if let Some(folded) = publisher.folded {
        match folded {
            Folded::Accepted(Win { version, .. })
            | Folded::Refused { because: RefusedBecause::IdUsed(version), .. } => {
                return Verdict::Accepted { version: *version };
            }
            Folded::Refused {
                because: because @ (RefusedBecause::Lost(_) | RefusedBecause::Invalid(_)),
                ..
            } => return Verdict::Refused(because.clone()),
            // An earlier record with the id may have been accepted on a base since forgotten.
            _ => {}
        }
    }
    let (base, version) = (publisher.base, state.version());
    if let Some(win) = state.wins.iter().find(|win| win.base == base) {
        Verdict::Refused(RefusedBecause::Lost(win.clone()))
    } else if base == version || base.is_some_and(|base| base >= state.next) {
        Verdict::NotYetKnown
    } else if base > version || state.wins.first().is_some_and(|oldest| oldest.base < base) {
        Verdict::Refused(RefusedBecause::Base)
    } else {
        Verdict::Forgotten
    }
}
