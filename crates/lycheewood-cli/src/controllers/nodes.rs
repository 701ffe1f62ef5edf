//! Owns the set of known nodes while they are asked.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use lycheewood::{HttpError, Offset};

use crate::adapters::http::HttpClient;
use crate::adapters::node::{StateQuestion, read_state};
use crate::decisions::node_set::{Due, NodeSet, NodeState};
use crate::error::CliError;
use crate::traffic::{Deadline, Traffic};

/// Questions under way at once. Each takes a connection, and processes usually may open 1 024 files.
const MAX_ASKED: usize = 256;
/// One question waits this long on the node, so that slow nodes don't hold all places.
const WAIT_MS: u64 = 5_000;
/// A reply crosses the network within this time.
const REPLY_MS: u64 = 2_000;
/// Pause before a node is asked again after a failure; peers notice a silent node after 2 s.
const PAUSE_MS: u64 = 500;

struct Reply {
    address: SocketAddr,
    state: Result<NodeState, HttpError>,
}

/// Asks a node and all nodes known through it, until all have `wanted` or the deadline passes.
///
/// # Errors
///
/// When the first node gives no reply at all.
pub(crate) fn explore(
    traffic: &Traffic,
    start: SocketAddr,
    wanted: Option<Offset>,
    deadline: Deadline,
    progress: &mut dyn FnMut(&NodeSet),
) -> Result<NodeSet, CliError> {
    let mut node_set = NodeSet::new(start, wanted);
    let http = HttpClient::new();
    let (sender, replies) = mpsc::channel();
    let mut first = true;
    loop {
        for due in node_set.take_due(MAX_ASKED) {
            ask(traffic, &http, due, wanted, deadline, sender.clone());
        }
        progress(&node_set);
        if node_set.is_complete() {
            return Ok(node_set);
        }
        // The sender is kept here, so only the deadline ends the wait.
        let Ok(reply) = replies.recv_timeout(deadline.remaining()) else { return Ok(node_set) };
        match reply.state {
            Err(source) if first => return Err(CliError::Node { address: start, source }),
            state => node_set.answered(reply.address, state.map_err(|error| error.to_string())),
        }
        first = false;
    }
}

fn ask(
    traffic: &Traffic,
    http: &HttpClient,
    due: Due,
    min_version: Option<Offset>,
    deadline: Deadline,
    replies: mpsc::Sender<Reply>,
) {
    let http = http.clone();
    traffic.spawn(async move {
        if due.after_failure {
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        let wait_ms = if due.may_wait { WAIT_MS.min(deadline.remaining_ms()) } else { 0 };
        let address = due.address;
        let timeout_ms = wait_ms + REPLY_MS;
        let question = StateQuestion { address, min_version, wait_ms, timeout_ms };
        let state = read_state(&http, question).await.map(NodeState::from);
        // Nobody receives once the deadline has passed.
        let _ = replies.send(Reply { address, state });
    });
}
