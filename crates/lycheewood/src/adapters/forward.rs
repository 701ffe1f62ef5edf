//! Forwarded HTTP requests: callers on one side, endpoints on the other.

pub(crate) mod caller;
pub(crate) mod headers;
pub(crate) mod upstream;
