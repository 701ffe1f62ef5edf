//! Controllers: actors on the control thread, each of which owns one kind of state.
//!
//! A controller is the only writer of its state and publishes immutable snapshots that the traffic
//! threads read without locks.

pub(crate) mod admission;
pub(crate) mod attempts;
pub(crate) mod claims;
pub(crate) mod document;
pub(crate) mod endpoint_list;
pub(crate) mod expert_groups;
pub(crate) mod gateway_quarantine;
pub(crate) mod leases;
pub(crate) mod load;
pub(crate) mod membership;
pub(crate) mod peers;
pub(crate) mod permits;
pub(crate) mod placement;
pub(crate) mod quarantine;
pub(crate) mod rank;
pub(crate) mod routes;
pub(crate) mod tail;

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::ids::Offset;

/// What a node has reached since its start; operators and tests wait for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Version of the document in force.
    pub(crate) version: Option<Offset>,
    /// Number of endpoints with a working connection and free capacity.
    pub(crate) endpoints: usize,
}

/// Waits until a node has reached at least `target`. Returns false after `timeout_ms`.
pub(crate) async fn wait_for_progress(
    progress: &watch::Sender<Progress>,
    target: Progress,
    timeout_ms: u64,
) -> bool {
    let mut progress = progress.subscribe();
    let reached =
        progress.wait_for(|now| now.version >= target.version && now.endpoints >= target.endpoints);
    timeout(Duration::from_millis(timeout_ms), reached).await.is_ok_and(|reached| reached.is_ok())
}
