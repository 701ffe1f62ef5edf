//! Translation to and from HTTP; nothing is decided here.

pub(crate) mod caller;
pub(crate) mod http;
pub(crate) mod node;
