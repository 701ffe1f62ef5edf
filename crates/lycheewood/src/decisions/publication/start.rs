//! Choice of the state to start from, and checks of peers' states and of replies of the log.

use crate::decisions::publication::record::{Record, Snapshot, decode_record};
use crate::decisions::publication::{PageView, PublicationState};
use crate::ids::Offset;

/// Restores the state from the snapshot record at `offset`. A snapshot at or before its own `upto` is
/// invalid, because its writer cannot have read the records that it claims to include.
pub(super) fn state_from_snapshot(snapshot: &Snapshot, offset: Offset) -> Option<PublicationState> {
    if snapshot.upto < offset { PublicationState::from_snapshot(snapshot) } else { None }
}

/// State and offset from which a node applies records.
#[derive(Clone, Debug, PartialEq)]
pub enum StartPoint {
    /// Keep the current state and apply the record at its next offset.
    Continue,
    /// Replace the current state by this one and read from its next offset.
    Replace(PublicationState),
    /// The readable records do not include a usable start. Keep the current document, ask peers for a state
    /// with a higher `upto`, and wait for a snapshot.
    Unavailable,
}

/// Chooses the start from all readable records, or from all snapshots among them, and the current state.
/// A node whose next record is still readable continues and ignores snapshots.
///
/// A new node asks a peer for its state first, because an empty log may be new or may have lost its
/// records. With a peer's state, [`is_inconsistent_page`] distinguishes the two.
///
/// Further records may expire after the choice. Applying a record then fails with
/// [`OffsetGap`](crate::publication::OffsetGap), and the start must be chosen again.
#[must_use]
pub fn choose_start(current: Option<&PublicationState>, page: &PageView<'_>) -> StartPoint {
    if current.is_some_and(|state| page.first_offset <= state.next) {
        return StartPoint::Continue;
    }
    if current.is_none() && page.first_offset == Offset(0) {
        return StartPoint::Replace(PublicationState::default());
    }
    page.records
        .iter()
        .filter_map(|record| match decode_record(record.payload)? {
            Record::Snapshot(snapshot) => state_from_snapshot(&snapshot, record.offset),
            Record::Publication(_) => None,
        })
        // Records between an older snapshot and the oldest readable record have expired.
        .filter(|state| page.first_offset <= state.next)
        .filter(|state| current.is_none_or(|current| state.next > current.next))
        .max_by_key(PublicationState::next_offset)
        .map_or(StartPoint::Unavailable, StartPoint::Replace)
}

/// Decision on a state that a peer offers.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferDecision {
    /// Keep the current state: the offer is not ahead of it, or contradicts it.
    Keep,
    /// Replace the current state by this one and pass it to [`choose_start`] with the log's next reply. If
    /// the record at its next offset has expired, the document stays in force, and the node needs a
    /// snapshot or another offer.
    Adopt(PublicationState),
}

/// Decides on a state that a peer offers. It replaces the current state only if its `upto` is higher and
/// its version is not older.
#[must_use]
pub fn decide_offer(current: Option<&PublicationState>, offered: &Snapshot) -> OfferDecision {
    if current.is_some_and(|state| offered.upto < state.next || offered.version < state.version()) {
        return OfferDecision::Keep;
    }
    PublicationState::from_snapshot(offered).map_or(OfferDecision::Keep, OfferDecision::Adopt)
}

/// Whether a reply of the log contradicts earlier replies or itself: its end went back, or its offsets are
/// out of order. Such a reply must not be applied. `seen_end` is the highest end offset seen.
#[must_use]
pub fn is_inconsistent_page(
    current: Option<&PublicationState>,
    seen_end: Offset,
    page: &PageView<'_>,
) -> bool {
    let known_end = current.map_or(seen_end, |state| seen_end.max(state.next));
    let (first, end) = (page.first_offset, page.end_offset);
    let contiguous = page.records.windows(2).all(|pair| pair[0].offset.next() == pair[1].offset);
    let inside = page.records.iter().all(|record| first <= record.offset && record.offset < end);
    end < known_end || first > end || !contiguous || !inside
}
