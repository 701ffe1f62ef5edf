//! Status of a publication, for its publisher.

use crate::decisions::publication::record::AcceptedPublication;
use crate::decisions::publication::{PublicationState, RecordEffect, RefusalReason};
use crate::ids::{Offset, PublicationId};

/// A publication as its publisher knows it.
#[derive(Clone, Copy, Debug)]
pub struct PublisherView<'a> {
    /// Id of the publication.
    pub id: &'a PublicationId,
    /// Version that the publication edits.
    pub base: Option<Offset>,
    /// Effect of a record with this id, if the publisher applied one itself.
    pub effect: Option<&'a RecordEffect>,
}

/// Status of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublicationStatus {
    /// The publication is or was in force as this version.
    Accepted {
        /// Offset of the accepted record.
        version: Offset,
    },
    /// The publication is refused permanently, however often its record is appended.
    Refused(RefusalReason),
    /// The base is in force or its record is not applied yet. The publication may be appended again under
    /// the same id.
    Pending,
    /// The base was replaced before the oldest publication that the state keeps. The publication has no
    /// effect any more, and the state does not show whether it was accepted.
    Indeterminate,
}

/// Returns the status of a publication. It does not depend on how often the record was appended, because
/// only one publication of each base is accepted.
#[must_use]
pub fn publication_status(
    state: &PublicationState,
    publisher: &PublisherView<'_>,
) -> PublicationStatus {
    if let Some(accepted) = state.accepted.iter().find(|accepted| &accepted.id == publisher.id) {
        return PublicationStatus::Accepted { version: accepted.version };
    }
    if let Some(effect) = publisher.effect {
        match effect {
            RecordEffect::Accepted(AcceptedPublication { version, .. })
            | RecordEffect::Refused { reason: RefusalReason::IdUsed(version), .. } => {
                return PublicationStatus::Accepted { version: *version };
            }
            RecordEffect::Refused {
                reason: reason @ (RefusalReason::BaseReplaced(_) | RefusalReason::Invalid(_)),
                ..
            } => return PublicationStatus::Refused(reason.clone()),
            // An earlier record with this id may have been accepted on a base that the state no longer keeps.
            _ => {}
        }
    }
    let (base, version) = (publisher.base, state.version());
    if let Some(accepted) = state.accepted.iter().find(|accepted| accepted.base == base) {
        PublicationStatus::Refused(RefusalReason::BaseReplaced(accepted.clone()))
    } else if base == version || base.is_some_and(|base| base >= state.next) {
        PublicationStatus::Pending
    } else if base > version || state.accepted.first().is_some_and(|oldest| oldest.base < base) {
        PublicationStatus::Refused(RefusalReason::BaseNotInForce)
    } else {
        PublicationStatus::Indeterminate
    }
}
