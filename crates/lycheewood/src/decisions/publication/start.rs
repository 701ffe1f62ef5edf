//! Where a fold starts, and which states of peers and replies of the log it takes.

use crate::decisions::publication::record::{Record, Snapshot, decode_record};
use crate::decisions::publication::{FoldState, Page};
use crate::ids::Offset;

/// The state that a snapshot record describes. A snapshot at or before its own `upto` claims
/// records that its writer cannot have read.
pub(super) fn state_of(snapshot: &Snapshot, offset: Offset) -> Option<FoldState> {
    if snapshot.upto < offset { FoldState::from_snapshot(snapshot) } else { None }
}

/// Where a fold starts.
#[derive(Clone, Debug, PartialEq)]
pub enum Start {
    /// Continue the present state with the record at its `next`.
    Continue,
    /// Replace the present state by this one and read from its `next`.
    Replace(FoldState),
    /// The readable records do not lead to a state. Keep the present document, ask peers for
    /// a state with a higher `upto`, and wait for a snapshot.
    Unavailable,
}

/// Chooses the start of a fold from all readable records, or from all snapshots among them, given the
/// state so far. A node whose next record is still readable continues; snapshots are then ignored.
///
/// A new node first asks a peer for its state, because it cannot tell a log that lost its records from
/// a new one; with a peer's state, [`is_faulty`] can.
///
/// The log's start may move after the choice. The fold then reports a [`Gap`], and the choice is
/// made again.
#[must_use]
pub fn choose_start(current: Option<&FoldState>, page: &Page<'_>) -> Start {
    if current.is_some_and(|state| page.first_offset <= state.next) {
        return Start::Continue;
    }
    if current.is_none() && page.first_offset == Offset(0) {
        return Start::Replace(FoldState::default());
    }
    page.records
        .iter()
        .filter_map(|record| match decode_record(record.payload)? {
            Record::Snapshot(snapshot) => state_of(&snapshot, record.offset),
            Record::Publication(_) => None,
        })
        // Records between an older snapshot and the log's start are missing.
        .filter(|state| page.first_offset <= state.next)
        .filter(|state| current.is_none_or(|current| state.next > current.next))
        .max_by_key(FoldState::next)
        .map_or(Start::Unavailable, Start::Replace)
}

/// What to do with a state that a peer offers.
#[derive(Clone, Debug, PartialEq)]
pub enum Merge {
    /// The offer is not ahead, or it contradicts the present state. Nothing changes.
    Keep,
    /// Take this state, then pass it to [`choose_start`] with the log's next reply. When the log no
    /// longer has the record at its `next`, the document stays in force and the fold needs a snapshot
    /// or another offer.
    Take(FoldState),
}

/// Decides on a state that a peer offers. Only a higher `upto` replaces the present state, and
/// never with an older version.
#[must_use]
pub fn merge(current: Option<&FoldState>, offered: &Snapshot) -> Merge {
    if current.is_some_and(|state| offered.upto < state.next || offered.version < state.version()) {
        return Merge::Keep;
    }
    FoldState::from_snapshot(offered).map_or(Merge::Keep, Merge::Take)
}

/// Whether a reply of the log contradicts what was seen: its end went back, or its offsets are out
/// of order. Such a reply is not applied. `seen_end` is the highest end offset seen.
#[must_use]
pub fn is_faulty(current: Option<&FoldState>, seen_end: Offset, page: &Page<'_>) -> bool {
    let known_end = current.map_or(seen_end, |state| seen_end.max(state.next));
    let (first, end) = (page.first_offset, page.end_offset);
    let contiguous = page.records.windows(2).all(|pair| pair[0].offset.next() == pair[1].offset);
    let inside = page.records.iter().all(|record| first <= record.offset && record.offset < end);
    end < known_end || first > end || !contiguous || !inside
}
