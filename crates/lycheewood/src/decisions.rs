//! Decisions: plain functions over borrowed views with the present time as an argument.
//!
//! Nothing here reads a clock, opens a socket, talks to an actor or takes a lock.

pub(crate) mod leases;
pub(crate) mod map_change;
pub(crate) mod placement;
