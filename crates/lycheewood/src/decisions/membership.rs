//! Which instances may receive new work, by the lagging list, their own word and their connections.

use crate::clock::Timestamp;

/// What the last list that arrived says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Listed {
    /// Live.
    Live,
    /// Leaving.
    Leaving,
    /// Not in the list.
    Absent,
}

/// The connection to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// None was ever opened.
    NeverOpened,
    /// Open, with its `Hello` received.
    Open {
        /// When it was opened.
        opened: Timestamp,
        /// When the last frame arrived.
        last_frame: Timestamp,
    },
    /// The last one was closed, or ended in silence, and no new one has opened.
    Closed,
}

/// What is known of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceView {
    /// What the list says.
    pub listed: Listed,
    /// Whether this run of the instance sent `Draining`.
    pub draining: bool,
    /// The connection to it.
    pub connection: Connection,
}

/// Settings for membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// A connection without a frame for this long is silent, in milliseconds.
    pub silent_after_ms: u64,
    /// The list shows an instance at most this long after it starts, in milliseconds.
    pub list_lag_ms: u64,
    /// A list older than this is stale, in milliseconds.
    pub list_stale_after_ms: u64,
}

/// Whether an instance may receive new work, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Eligibility {
    /// It may.
    Eligible,
    /// It said that it is leaving.
    Draining,
    /// The list says that it is leaving.
    ListedLeaving,
    /// The list has dropped it.
    Removed,
    /// No connection to it is open.
    NotConnected,
    /// Its connection is silent.
    Silent,
}

/// Whether an instance may receive new work over its connection. `list_received` is when the last list
/// arrived, if any did.
///
/// The instance's own word and the connection come first, since the list lags. `Leaving` counts even in a
/// stale list, since an instance does not return from it. `Absent` counts only in a fresh list, and only
/// once an instance that is connected must have been listed; a stale list removes nobody.
#[must_use]
pub fn eligibility(
    instance: &InstanceView,
    list_received: Option<Timestamp>,
    settings: &MembershipSettings,
    now: Timestamp,
) -> Eligibility {
    if instance.draining {
        return Eligibility::Draining;
    }
    if instance.listed == Listed::Leaving {
        return Eligibility::ListedLeaving;
    }
    let opened = match instance.connection {
        Connection::NeverOpened | Connection::Closed => return Eligibility::NotConnected,
        Connection::Open { last_frame, .. } if is_silent(last_frame, settings, now) => {
            return Eligibility::Silent;
        }
        Connection::Open { opened, .. } => opened,
    };
    let is_new = now.ms_since(opened) <= settings.list_lag_ms;
    if instance.listed == Listed::Absent && !is_new && is_fresh(list_received, settings, now) {
        return Eligibility::Removed;
    }
    Eligibility::Eligible
}

/// Whether callers may be told an entry's address.
///
/// An entry to which no connection was ever opened is told if the list has it as live. One whose
/// connection has failed is not.
#[must_use]
pub fn may_be_told(
    entry: &InstanceView,
    list_received: Option<Timestamp>,
    settings: &MembershipSettings,
    now: Timestamp,
) -> bool {
    let unseen = entry.connection == Connection::NeverOpened && !entry.draining;
    (unseen && entry.listed == Listed::Live)
        || eligibility(entry, list_received, settings, now) == Eligibility::Eligible
}

const fn is_silent(last_frame: Timestamp, settings: &MembershipSettings, now: Timestamp) -> bool {
    now.ms_since(last_frame) >= settings.silent_after_ms
}

fn is_fresh(received: Option<Timestamp>, settings: &MembershipSettings, now: Timestamp) -> bool {
    received.is_some_and(|at| now.ms_since(at) < settings.list_stale_after_ms)
}
