//! Subcommands, a file each.

pub(crate) mod ask;
pub(crate) mod check;
pub(crate) mod completions;
pub(crate) mod diff;
pub(crate) mod endpoints;
pub(crate) mod follow;
pub(crate) mod groups;
pub(crate) mod log;
pub(crate) mod metrics;
pub(crate) mod nodes;
pub(crate) mod publish;
pub(crate) mod send;
pub(crate) mod show;
pub(crate) mod validate;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use lycheewood::{Difference, LogClient, RawDocument};
use serde_json::{Value, json};

use crate::error::CliError;
use crate::exit;

/// A connection takes a few milliseconds between failure domains; a second covers a lost packet.
pub(crate) const CONNECT_MS: u64 = 1_000;

/// The command line of the tool.
pub(crate) fn command() -> Command {
    Command::new("lycheewood")
        .about("Publishes documents and shows the state of the nodes")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(exit::HELP)
        .subcommand(validate::make_subcommand())
        .subcommand(check::make_subcommand())
        .subcommand(diff::make_subcommand())
        .subcommand(show::make_subcommand())
        .subcommand(publish::make_subcommand())
        .subcommand(ask::make_subcommand())
        .subcommand(follow::make_subcommand())
        .subcommand(nodes::make_subcommand())
        .subcommand(endpoints::make_subcommand())
        .subcommand(groups::make_subcommand())
        .subcommand(metrics::make_subcommand())
        .subcommand(log::make_subcommand())
        .subcommand(send::make_subcommand())
        .subcommand(completions::make_subcommand())
}

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("ADDR").help(help).value_parser(value_parser!(SocketAddr))
}

fn log_arg() -> Arg {
    address_arg("log", "IP address and port of the log")
}

fn node_arg() -> Arg {
    address_arg("node", "Admin address of any running node")
}

fn timeout_arg(default_ms: &'static str) -> Arg {
    Arg::new("timeout-ms")
        .long("timeout-ms")
        .value_name("MS")
        .help("Longest time to wait, in milliseconds")
        .value_parser(value_parser!(u64).range(1..=86_400_000))
        .default_value(default_ms)
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name("FILE").help(help).value_parser(value_parser!(PathBuf))
}

/// The value of an argument that clap requires or defaults.
fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().expect("clap refuses the command line without it")
}

fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| CliError::Read { path: path.to_owned(), source })
}

/// Reads and checks a document file.
fn read_document(path: &Path) -> Result<RawDocument, CliError> {
    RawDocument::from_yaml(&read_file(path)?)
        .map(|(raw, _)| raw)
        .map_err(|source| CliError::Invalid { path: path.to_owned(), source })
}

/// A client of the log whose single replies never outlast the whole deadline.
fn log_client(matches: &ArgMatches, timeout_ms: u64) -> LogClient {
    // A busy log answers within 2 s; a longer wait for one reply would use up the retries.
    const REPLY_MS: u64 = 2_000;
    let address = required::<SocketAddr>(matches, "log");
    LogClient::new(address, CONNECT_MS.min(timeout_ms), REPLY_MS.min(timeout_ms))
}

fn difference_text(differences: &[Difference]) -> String {
    if differences.is_empty() {
        return "no difference".to_owned();
    }
    differences.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

fn difference_json(differences: &[Difference]) -> Value {
    differences.iter().map(|d| json!({"path": d.path, "old": d.old, "new": d.new})).collect()
}
