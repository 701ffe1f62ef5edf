//! Messages by which gateways ask each other for permits to send requests to limited endpoints, in datagrams.

use serde::{Deserialize, Serialize};

use crate::decisions::endpoint_limits::RequestRate;

/// A message about permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PermitMessage {
    /// Asks the gateway that allots the permits of an endpoint.
    #[serde(rename = "permit_request")]
    Request(PermitRequest),
    /// Answers such a request.
    #[serde(rename = "permit_reply")]
    Reply(PermitReply),
}

/// A request for one permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    /// Tag of the endpoint.
    pub(crate) tag: u32,
    /// Names the request in its reply.
    pub(crate) sequence: u64,
    /// How long the sender can use the permit, in milliseconds.
    pub(crate) within_ms: u64,
    /// The limit that the sender knows. The receiver may not have heard of it.
    pub(crate) limit: RequestRate,
}

/// The reply to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitReply {
    pub(crate) tag: u32,
    pub(crate) sequence: u64,
    /// When the sender may ask again, in milliseconds from now on, or `None` if the permit is granted.
    pub(crate) retry_after_ms: Option<u64>,
}
