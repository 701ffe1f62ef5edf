//! `lycheewood nodes`: all nodes with the version in force on each.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use serde_json::{Value, json};

use crate::cmd::{node_arg, required, timeout_arg};
use crate::controllers::nodes::explore;
use crate::decisions::node_set::NodeView;
use crate::error::CliError;
use crate::exit;
use crate::output::{Format, format_arg, or_dash, table};
use crate::traffic::{Deadline, Traffic};

pub(crate) fn make_subcommand() -> Command {
    Command::new("nodes")
        .about("Lists all nodes with the version in force on each")
        .arg(node_arg().required(true))
        .arg(timeout_arg("10000"))
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let node = required::<SocketAddr>(matches, "node");
    let deadline = Deadline::after_ms(required(matches, "timeout-ms"));
    let traffic = Traffic::start()?;
    let node_set = explore(&traffic, node, None, deadline, &mut |_| {})?;
    traffic.stop();
    let nodes: Vec<NodeView<'_>> = node_set.nodes().collect();
    Format::of(matches).print(|| text(&nodes), || nodes.iter().map(self::json).collect())?;
    Ok(if node_set.is_complete() { exit::DONE } else { exit::TIMED_OUT })
}

/// The condition of a node in a word.
fn condition(node: &NodeView<'_>) -> &'static str {
    match (node.error, node.state) {
        (Some(_), _) => "unreachable",
        (None, None) => "not asked",
        (None, Some(state)) if state.draining => "draining",
        (None, Some(state)) if !state.backend_up => "backend down",
        (None, Some(state)) if state.version.is_none() => "no document",
        (None, Some(_)) => "ready",
    }
}

/// A table of nodes.
pub(crate) fn text(nodes: &[NodeView<'_>]) -> String {
    let rows: Vec<_> = nodes
        .iter()
        .map(|node| {
            let state = node.state;
            [
                or_dash(state.map(|s| &s.instance)),
                or_dash(state.map(|s| format!("{:?}", s.role).to_lowercase())),
                or_dash(state.map(|s| &s.failure_domain)),
                or_dash(state.and_then(|s| s.version)),
                condition(node).to_owned(),
                node.address.to_string(),
            ]
        })
        .collect();
    table(["INSTANCE", "ROLE", "FAILURE DOMAIN", "VERSION", "CONDITION", "ADMIN"], &rows)
}

/// A node as JSON.
pub(crate) fn json(node: &NodeView<'_>) -> Value {
    json!({
        "instance": node.state.map(|s| &s.instance),
        "role": node.state.map(|s| s.role),
        "failure_domain": node.state.map(|s| &s.failure_domain),
        "version": node.state.and_then(|s| s.version),
        "condition": condition(node),
        "admin_address": node.address,
        "error": node.error,
    })
}
