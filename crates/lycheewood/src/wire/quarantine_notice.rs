//! What gateways tell each other about requests that crash endpoints.

use serde::{Deserialize, Serialize};

use crate::decisions::quarantine::record::QuarantineEntry;

/// Entries of the quarantine, in a datagram of their own. They are rare, and heartbeats are billed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantineNotice {
    /// Entries in the order in which they were made.
    pub(crate) quarantine: Vec<QuarantineEntry>,
}
