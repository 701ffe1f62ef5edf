//! Life cycles in the typestate pattern: a transition that is not allowed does not compile.

pub(crate) mod attempt;
pub(crate) mod claim;
pub(crate) mod lease;
pub(crate) mod map_change;
pub(crate) mod map_switch;
pub(crate) mod permit;
pub(crate) mod place_wait;
pub(crate) mod shutdown;
