//! Which connection is closed to make room for a new one.

use crate::clock::Timestamp;

/// A connection without a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleConnection {
    /// Number of the connection; later ones have higher numbers.
    pub id: u64,
    /// Since when it has no request in progress.
    pub since: Timestamp,
}

/// Whether a further connection can be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// There is room.
    Free,
    /// There is room once this connection is closed.
    AfterClosing(u64),
    /// All connections have a request in progress.
    Full,
}

/// Decides whether a further connection can be taken when `open` of at most `max` are open. The connection that has
/// been idle longest makes room; one with a request in progress is never closed.
#[must_use]
pub fn room_for_connection(
    open: usize,
    max: usize,
    idle: impl Iterator<Item = IdleConnection>,
) -> Room {
    if open < max {
        return Room::Free;
    }
    let longest_idle = idle.min_by_key(|connection| (connection.since, connection.id));
    longest_idle.map_or(Room::Full, |connection| Room::AfterClosing(connection.id))
}
