//! Connections between the system's own processes: WebSocket frames that carry CBOR.

pub(crate) mod connection;
pub(crate) mod documents;
pub(crate) mod link;
pub(crate) mod server;
