//! `lycheewood follow`: waits until every live node has a version in force.

use std::io::{IsTerminal, stderr};
use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use indicatif::{ProgressBar, ProgressStyle};
use lycheewood::{ListClient, ListPage, ListedInstance, Offset};
use serde_json::{Value, json};

use crate::cmd::{CONNECT_MS, address_arg, node_arg, nodes, required, timeout_arg};
use crate::controllers::nodes::explore;
use crate::decisions::node_set::{NodeSet, NodeView};
use crate::error::CliError;
use crate::exit;
use crate::output::{Format, format_arg};
use crate::traffic::{Deadline, Traffic};

/// The list is small and answers at once.
const LIST_REPLY_MS: u64 = 2_000;

pub(crate) fn make_subcommand() -> Command {
    Command::new("follow")
        .about("Waits until every live node has a version in force")
        .arg(
            Arg::new("version")
                .value_name("VERSION")
                .help("The version to wait for; a later one also counts")
                .value_parser(value_parser!(u64))
                .required(true),
        )
        .arg(node_arg().required(true))
        .arg(address_arg("list", "Instance list; live instances not reached are reported"))
        .arg(timeout_arg("20000"))
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let version = Offset(required(matches, "version"));
    let node = required::<SocketAddr>(matches, "node");
    let deadline = Deadline::after_ms(required(matches, "timeout-ms"));
    let traffic = Traffic::start()?;
    let node_set = wait_for_version(&traffic, node, version, deadline)?;
    let list = match matches.get_one::<SocketAddr>("list") {
        Some(address) => {
            let client = ListClient::new(*address, CONNECT_MS, LIST_REPLY_MS);
            Some(traffic.call(async move { client.read(0, 0).await })?.map_err(CliError::List)?)
        }
        None => None,
    };
    traffic.stop();
    let report = FollowReport::of(&node_set, version, list.as_ref());
    Format::of(matches).print(|| report.text(), || report.json())?;
    Ok(report.exit_code())
}

/// Waits until every node reachable from `node` has the version, with a progress line on a terminal.
pub(crate) fn wait_for_version(
    traffic: &Traffic,
    node: SocketAddr,
    version: Offset,
    deadline: Deadline,
) -> Result<NodeSet, CliError> {
    let bar = if stderr().is_terminal() { ProgressBar::new(0) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{msg} {pos}/{len} nodes {wide_bar}") {
        bar.set_style(style);
    }
    bar.set_message(format!("version {version}:"));
    let node_set = explore(traffic, node, Some(version), deadline, &mut |node_set| {
        let (reached, known) = node_set.counts();
        bar.set_length(known as u64);
        bar.set_position(reached as u64);
    });
    bar.finish_and_clear();
    node_set
}

/// Where a version is in force.
pub(crate) struct FollowReport<'a> {
    version: Offset,
    reached: usize,
    known: usize,
    missing: Vec<NodeView<'a>>,
    not_reached: Vec<&'a ListedInstance>,
}

impl<'a> FollowReport<'a> {
    pub(crate) fn of(node_set: &'a NodeSet, version: Offset, list: Option<&'a ListPage>) -> Self {
        let (reached, known) = node_set.counts();
        let missing = node_set.nodes().filter(|node| !node.has_version).collect();
        let not_reached = list.map(|list| node_set.not_reached(list)).unwrap_or_default();
        Self { version, reached, known, missing, not_reached }
    }

    pub(crate) fn text(&self) -> String {
        let Self { version, reached, known, .. } = self;
        let mut lines =
            vec![format!("version {version} is in force on {reached} of {known} nodes")];
        if !self.missing.is_empty() {
            lines.push(nodes::text(&self.missing));
        }
        let not_reached = self.not_reached.iter();
        lines.extend(
            not_reached.map(|listed| format!("not reached: {} at {}", listed.id, listed.address)),
        );
        lines.join("\n")
    }

    pub(crate) fn json(&self) -> Value {
        let missing: Vec<Value> = self.missing.iter().map(nodes::json).collect();
        json!({
            "version": self.version, "reached": self.reached, "known": self.known,
            "missing": missing, "not_reached": self.not_reached,
        })
    }

    /// Done only when every node, listed or found, is known to have the version.
    pub(crate) fn exit_code(&self) -> u8 {
        let complete = self.missing.is_empty() && self.not_reached.is_empty();
        if complete { exit::DONE } else { exit::TIMED_OUT }
    }
}
