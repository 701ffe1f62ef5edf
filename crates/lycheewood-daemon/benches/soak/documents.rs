//! Watches the version of the document in force on each node.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::caller::Call;
use crate::faults::Node;

/// Between two looks at all nodes.
const INTERVAL: Duration = Duration::from_millis(100);
/// A frozen node does not reply.
const REPLY: Duration = Duration::from_secs(1);
/// In which an accepted document is in force everywhere: invariant 7.
const IN_FORCE_MS: u64 = 9_000;

/// What one look at one node showed.
struct Look {
    instance: String,
    incarnation: String,
    version: Option<u64>,
}

async fn look(node: Node, path: String, wait: Duration) -> Option<Look> {
    let question = Call::new("GET", &path, "");
    let reply = question.send(node.admin_address);
    let state = timeout(wait, reply).await.ok()?.ok()?.json();
    let incarnation = state["incarnation"].as_str()?.to_owned();
    let version = state["document"]["version"].as_u64();
    Some(Look { instance: node.instance, incarnation, version })
}

/// Looks at all nodes until `reverts` is closed, and sends each step back.
pub(crate) async fn watch(
    nodes: watch::Receiver<Vec<Node>>,
    newest: Arc<AtomicU64>,
    reverts: mpsc::UnboundedSender<String>,
) {
    let mut last: HashMap<String, Option<u64>> = HashMap::new();
    while !reverts.is_closed() {
        let mut looks = JoinSet::new();
        for node in nodes.borrow().iter() {
            looks.spawn(look(node.clone(), "/state".to_owned(), REPLY));
        }
        while let Some(result) = looks.join_next().await {
            let Ok(Some(look)) = result else { continue };
            newest.fetch_max(look.version.unwrap_or(0), Ordering::Relaxed);
            let Look { instance, incarnation, version } = look;
            let former = last.insert(incarnation.clone(), version).flatten();
            if version < former {
                let what = format!("{instance} {incarnation}: {former:?} to {version:?}");
                let _ = reverts.send(what);
            }
        }
        sleep(INTERVAL).await;
    }
}

/// Nodes that do not show the newest version in time.
pub(crate) async fn behind(nodes: Vec<Node>, newest: u64) -> Vec<String> {
    let path = format!("/state?min_version={newest}&wait_ms={IN_FORCE_MS}");
    let wait = Duration::from_millis(IN_FORCE_MS) + REPLY;
    let mut behind = Vec::new();
    for node in nodes {
        let instance = node.instance.clone();
        let version = look(node, path.clone(), wait).await.and_then(|look| look.version);
        if version != Some(newest) {
            behind.push(format!("{instance} has {}, not {newest}", Value::from(version)));
        }
    }
    behind
}
