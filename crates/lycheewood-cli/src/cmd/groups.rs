//! `lycheewood groups`: groups of ranks with their leases and expert maps.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use serde_json::json;

use crate::adapters::http::HttpClient;
use crate::adapters::node::{GroupRow, GroupsState, MapState, StateQuestion, read_state};
use crate::cmd::{node_arg, required, timeout_arg};
use crate::error::CliError;
use crate::exit;
use crate::output::{Format, format_arg, or_dash, table};
use crate::traffic::{Deadline, Traffic};

pub(crate) fn make_subcommand() -> Command {
    Command::new("groups")
        .about("Lists the groups of ranks that a node knows, with their leases and expert maps")
        .arg(node_arg().required(true))
        .arg(timeout_arg("10000"))
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let address = required::<SocketAddr>(matches, "node");
    let timeout_ms = Deadline::after_ms(required(matches, "timeout-ms")).remaining_ms();
    let question = StateQuestion { address, min_version: None, wait_ms: 0, timeout_ms };
    let http = HttpClient::new();
    let state = Traffic::start()?
        .call(async move { read_state(&http, question).await })?
        .map_err(|source| CliError::Node { address, source })?;
    let groups = &state.groups;
    Format::of(matches).print(
        || text(groups),
        || json!({"node": state.instance, "groups": groups.groups, "stopped": groups.stopped}),
    )?;
    Ok(exit::DONE)
}

fn text(state: &GroupsState) -> String {
    let header =
        ["GROUP", "LEASE HOLDER", "FENCING", "RANKS", "MAP FROM STEP", "PROPOSED FOR STEP"];
    let rows: Vec<_> = state.groups.iter().map(row).collect();
    let listed = table(header, &rows);
    match &state.stopped {
        Some(reason) => format!("{listed}\nThis node reads leases no further: {reason}"),
        None => listed,
    }
}

fn row(group: &GroupRow) -> [String; 6] {
    let step = |map: &Option<MapState>| or_dash(map.as_ref().map(|map| map.step).as_ref());
    [
        group.scope.to_string(),
        or_dash(group.lease.as_ref().map(|lease| &lease.holder)),
        or_dash(group.lease.as_ref().map(|lease| lease.fencing).as_ref()),
        or_dash(group.ranks.as_ref().map(Vec::len).as_ref()),
        step(&group.map),
        step(&group.pending),
    ]
}
