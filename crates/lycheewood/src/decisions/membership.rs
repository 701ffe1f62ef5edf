//! Which instances may receive new work, based on the instance list, their own announcements and the state of
//! their connections. The list lags behind the other two.

use crate::clock::Timestamp;

/// Status of an instance in the last received instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ListStatus {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
    /// Not in the list.
    Absent,
}

/// State of the connection to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No connection has ever been open.
    NeverOpened,
    /// Open, and its `Hello` was received.
    Open {
        /// When the connection was opened.
        opened: Timestamp,
        /// When the last frame was received.
        last_frame: Timestamp,
    },
    /// The last connection was closed or timed out, and no new one is open.
    Closed,
}

/// State of one instance that its eligibility depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceView {
    /// Status in the instance list.
    pub list_status: ListStatus,
    /// Whether the current incarnation of the instance has sent `Draining`.
    pub draining: bool,
    /// State of the connection.
    pub connection: ConnectionState,
}

/// Membership settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time without a frame after which a connection counts as silent, in milliseconds.
    pub silent_after_ms: u64,
    /// Maximum time from the start of an instance until the list contains it, in milliseconds.
    pub list_lag_ms: u64,
    /// Age from which a received list counts as stale, in milliseconds.
    pub list_stale_after_ms: u64,
}

/// Whether an instance may receive new work, or the reason why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Eligibility {
    /// The instance may receive new work.
    Eligible,
    /// The instance announced that it is draining.
    Draining,
    /// The list shows the instance as leaving.
    ListedLeaving,
    /// The list no longer contains the instance.
    Removed,
    /// No connection to the instance is open.
    NotConnected,
    /// The connection to the instance is silent.
    Silent,
}

/// Decides whether an instance may receive new work over its connection. `list_received` is the time at which
/// the last list was received, if any.
///
/// The instance's own announcement and its connection take precedence because the list lags. `Leaving` counts
/// even in a stale list, because an instance never leaves that state. `Absent` counts only in a fresh list and
/// only after the time within which a connected instance must have been listed; a stale list removes no
/// instance.
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
    if instance.list_status == ListStatus::Leaving {
        return Eligibility::ListedLeaving;
    }
    let opened = match instance.connection {
        ConnectionState::NeverOpened | ConnectionState::Closed => return Eligibility::NotConnected,
        ConnectionState::Open { last_frame, .. } if is_silent(last_frame, settings, now) => {
            return Eligibility::Silent;
        }
        ConnectionState::Open { opened, .. } => opened,
    };
    let is_new = now.ms_since(opened) <= settings.list_lag_ms;
    if instance.list_status == ListStatus::Absent
        && !is_new
        && is_fresh(list_received, settings, now)
    {
        return Eligibility::Removed;
    }
    Eligibility::Eligible
}

/// Whether the address of an entry may be advertised to callers.
///
/// An entry to which no connection was ever opened is advertised if it is listed as live. An entry whose
/// connection has failed is not.
#[must_use]
pub fn is_advertisable(
    entry: &InstanceView,
    list_received: Option<Timestamp>,
    settings: &MembershipSettings,
    now: Timestamp,
) -> bool {
    let is_untested = entry.connection == ConnectionState::NeverOpened && !entry.draining;
    (is_untested && entry.list_status == ListStatus::Live)
        || eligibility(entry, list_received, settings, now) == Eligibility::Eligible
}

const fn is_silent(last_frame: Timestamp, settings: &MembershipSettings, now: Timestamp) -> bool {
    now.ms_since(last_frame) >= settings.silent_after_ms
}

fn is_fresh(received: Option<Timestamp>, settings: &MembershipSettings, now: Timestamp) -> bool {
    received.is_some_and(|at| now.ms_since(at) < settings.list_stale_after_ms)
}
