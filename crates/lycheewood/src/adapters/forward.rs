//! Forwarded HTTP requests: callers on one side, servers on the other.

pub(crate) mod caller;
pub(crate) mod headers;
pub(crate) mod upstream;
