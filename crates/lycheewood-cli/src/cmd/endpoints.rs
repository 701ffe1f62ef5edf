//! `lycheewood endpoints`: the endpoints that an entry is connected to.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use lycheewood::Role;
use serde_json::json;

use crate::adapters::http::HttpClient;
use crate::adapters::node::{EndpointRow, StateQuestion, StateReply, read_state};
use crate::cmd::{node_arg, required, timeout_arg};
use crate::error::CliError;
use crate::exit;
use crate::output::{Format, format_arg, or_dash, table};
use crate::traffic::{Deadline, Traffic};

pub(crate) fn make_subcommand() -> Command {
    Command::new("endpoints")
        .about("Lists the endpoints that an entry is connected to, with their load")
        .arg(node_arg().required(true))
        .arg(timeout_arg("10000"))
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let node = required::<SocketAddr>(matches, "node");
    let deadline = Deadline::after_ms(required(matches, "timeout-ms"));
    let traffic = Traffic::start()?;
    let mut state = ask(&traffic, node, deadline)?;
    if state.role == Role::Endpoint {
        // Endpoint daemons know entries only; any entry knows the endpoints.
        let entry = state.peers().next().ok_or(CliError::NoEntry(node))?;
        state = ask(&traffic, entry, deadline)?;
    }
    let endpoints = &state.endpoints;
    Format::of(matches)
        .print(|| text(endpoints), || json!({"entry": state.instance, "endpoints": endpoints}))?;
    Ok(exit::DONE)
}

fn ask(traffic: &Traffic, address: SocketAddr, deadline: Deadline) -> Result<StateReply, CliError> {
    let timeout_ms = deadline.remaining_ms();
    let question = StateQuestion { address, min_version: None, wait_ms: 0, timeout_ms };
    let http = HttpClient::new();
    traffic
        .call(async move { read_state(&http, question).await })?
        .map_err(|source| CliError::Node { address, source })
}

fn text(endpoints: &[EndpointRow]) -> String {
    let rows: Vec<_> = endpoints
        .iter()
        .map(|endpoint| {
            [
                endpoint.instance.to_string(),
                or_dash(endpoint.kind.as_ref()),
                or_dash(endpoint.version.as_ref()),
                endpoint.failure_domain.to_string(),
                endpoint.in_flight.to_string(),
                endpoint.running.to_string(),
                endpoint.queued.to_string(),
                endpoint.capacity.to_string(),
                endpoint.draining.to_string(),
            ]
        })
        .collect();
    let header = [
        "INSTANCE",
        "KIND",
        "VERSION",
        "FAILURE DOMAIN",
        "IN FLIGHT",
        "RUNNING",
        "QUEUED",
        "CAPACITY",
        "DRAINING",
    ];
    table(header, &rows)
}
