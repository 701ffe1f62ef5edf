//! Life cycles as types: a transition that must not happen does not compile.

pub(crate) mod attempt;
pub(crate) mod claim;
pub(crate) mod lease;
pub(crate) mod map_change;
pub(crate) mod map_switch;
pub(crate) mod shutdown;
