//! Controllers: each owns one kind of state as one actor on the control thread.
//!
//! A controller is the only writer of its state and publishes immutable snapshots that the traffic
//! threads read without locks.

pub(crate) mod admission;
pub(crate) mod attempts;
pub(crate) mod claims;
pub(crate) mod document;
pub(crate) mod load;
pub(crate) mod membership;
pub(crate) mod tail;

use crate::ids::Offset;

/// How far an entry has come; waited for by operators and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Version of the document in force.
    pub(crate) version: Option<Offset>,
    /// Endpoints with a working connection.
    pub(crate) endpoints: usize,
}
