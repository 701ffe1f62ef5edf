//! The versioned message set between the system's own processes, as CBOR in WebSocket frames.
//!
//! A frame is the array `[kind, body]`. Cold bodies are maps, so that fields can be added; hot bodies
//! are arrays with visitors written by hand, to which elements can be appended. A receiver ignores
//! kinds, fields and elements that it does not know.

pub(crate) mod codec;
pub(crate) mod heartbeat;
pub(crate) mod message;
pub(crate) mod permit_message;
pub(crate) mod quarantine_notice;
pub(crate) mod rank_call;
mod visitors;

/// The oldest protocol version that this build speaks.
pub const PROTOCOL_MIN: u16 = 1;
/// The newest protocol version that this build speaks.
pub const PROTOCOL_MAX: u16 = 1;

/// The highest version that both sides speak, or `None` when the ranges do not meet.
#[must_use]
pub fn common_version(ours: (u16, u16), theirs: (u16, u16)) -> Option<u16> {
    let version = ours.1.min(theirs.1);
    (version >= ours.0 && version >= theirs.0).then_some(version)
}
