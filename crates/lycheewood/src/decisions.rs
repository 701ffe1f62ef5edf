//! Decisions: plain functions over borrowed views with the present time as an argument.
//!
//! Nothing here reads a clock, opens a socket, talks to an actor or takes a lock.

pub(crate) mod attempts;
pub(crate) mod claims;
pub(crate) mod digest;
pub(crate) mod entries;
pub(crate) mod membership;
pub(crate) mod quarantine;
