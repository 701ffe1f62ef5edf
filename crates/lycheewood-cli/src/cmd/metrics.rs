//! `lycheewood metrics`: the metrics of a node.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command};
use serde_json::{Value, json};

use crate::adapters::http::HttpClient;
use crate::cmd::{node_arg, required, timeout_arg};
use crate::error::CliError;
use crate::exit;
use crate::output::{Format, format_arg};
use crate::traffic::Traffic;

pub(crate) fn make_subcommand() -> Command {
    Command::new("metrics")
        .about("Prints the metrics of a node")
        .arg(node_arg().required(true))
        .arg(
            Arg::new("filter")
                .long("filter")
                .value_name("TEXT")
                .help("Prints only metrics whose name or labels contain the text"),
        )
        .arg(timeout_arg("10000"))
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let address = required::<SocketAddr>(matches, "node");
    let timeout_ms = required(matches, "timeout-ms");
    let traffic = Traffic::start()?;
    let http = HttpClient::new();
    let body = traffic
        .call(async move { http.get(address, "/metrics", timeout_ms).await })?
        .map_err(|source| CliError::Node { address, source })?;
    let text = String::from_utf8_lossy(&body);
    let filter = matches.get_one::<String>("filter").map_or("", String::as_str);
    let samples: Vec<(&str, &str)> = samples(&text, filter).collect();
    Format::of(matches).print(
        || {
            let lines: Vec<_> =
                samples.iter().map(|(name, value)| format!("{name} {value}")).collect();
            lines.join("\n")
        },
        || {
            samples
                .iter()
                .map(|(name, value)| json!({"metric": name, "value": number(value)}))
                .collect()
        },
    )?;
    Ok(exit::DONE)
}

/// Samples of the text format: name with labels, and value.
fn samples<'a>(text: &'a str, filter: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.rsplit_once(' '))
        .filter(move |(name, _)| name.contains(filter))
}

/// A value as JSON, or as text when JSON has no such number (`NaN`, `+Inf`).
fn number(value: &str) -> Value {
    match value.parse::<f64>() {
        Ok(parsed) if parsed.is_finite() => parsed.into(),
        _ => value.into(),
    }
}
