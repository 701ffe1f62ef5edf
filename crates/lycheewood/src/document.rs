//! The document that drives the system: what a service serves, to whom, and in which order.

mod check;
pub(crate) mod checked;
pub(crate) mod error;
pub(crate) mod patch;
pub(crate) mod raw;
