//! HTTP adapters of forwarded requests: connections of callers, and connections to endpoints.

pub(crate) mod caller;
pub(crate) mod headers;
pub(crate) mod limited_read;

pub(crate) mod upstream;
