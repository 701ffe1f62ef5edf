//! Controllers: each owns one kind of state as one actor on the control thread.
//!
//! A controller is the only writer of its state and publishes immutable snapshots that the traffic
//! threads read without locks.

pub(crate) mod admission;
pub(crate) mod attempts;
pub(crate) mod claims;
pub(crate) mod document;
pub(crate) mod endpoint_list;
pub(crate) mod expert_groups;
pub(crate) mod leases;
pub(crate) mod load;
pub(crate) mod membership;
pub(crate) mod peers;
pub(crate) mod placement;
pub(crate) mod quarantine;
pub(crate) mod rank;
pub(crate) mod routes;
pub(crate) mod tail;

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::ids::Offset;

/// How far a node has come; operators and tests wait for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Version of the document in force.
    pub(crate) version: Option<Offset>,
    /// Endpoints with a working connection and room for requests.
    pub(crate) endpoints: usize,
}

/// Waits until a node has come at least as far as `wanted`.
pub(crate) async fn wait_for_progress(
    progress: &watch::Sender<Progress>,
    wanted: Progress,
    timeout_ms: u64,
) -> bool {
    let mut progress = progress.subscribe();
    let reached =
        progress.wait_for(|now| now.version >= wanted.version && now.endpoints >= wanted.endpoints);
    timeout(Duration::from_millis(timeout_ms), reached).await.is_ok_and(|reached| reached.is_ok())
}
