//! Faults that every fake has.

use serde::{Deserialize, Serialize};

/// How an outage shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Every request is answered with 503.
    Unavailable,
    /// Every connection is closed without a reply.
    Dropped,
}

/// Faults that every fake has. `POST /faults` sets the fields that it names and keeps the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CommonFaults {
    /// Refuses requests before they take effect.
    pub outage: Outage,
    /// Waits this long before a request takes effect.
    pub delay_ms: u64,
    /// Never answers new requests and keeps their connections open; they take no effect.
    pub stall: bool,
    /// Answers with this status before the request takes effect; 0 is off.
    pub error_status: u16,
    /// The next requests with an effect take it, and their connections close without a reply.
    pub lose_next_replies: u64,
}
