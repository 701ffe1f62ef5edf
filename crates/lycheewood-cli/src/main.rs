//! The lycheewood command-line tool: publishes documents and shows the state of the nodes.

mod adapters;
mod cmd;
mod controllers;
mod decisions;
mod error;
mod exit;
mod filters;
mod lifecycle;
mod output;
mod traffic;

use std::io::stderr;
use std::process::ExitCode;

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

fn main() -> ExitCode {
    let config = ConfigBuilder::new().set_time_level(LevelFilter::Off).build();
    // Fails only when a logger is set already. Standard output carries results only.
    let _ = WriteLogger::init(LevelFilter::Info, config, stderr());
    let matches = cmd::command().get_matches();
    let result = match matches.subcommand() {
        Some(("validate", matches)) => cmd::validate::execute(matches),
        Some(("check", matches)) => cmd::check::execute(matches),
        Some(("diff", matches)) => cmd::diff::execute(matches),
        Some(("show", matches)) => cmd::show::execute(matches),
        Some(("publish", matches)) => cmd::publish::execute(matches),
        Some(("ask", matches)) => cmd::ask::execute(matches),
        Some(("follow", matches)) => cmd::follow::execute(matches),
        Some(("nodes", matches)) => cmd::nodes::execute(matches),
        Some(("endpoints", matches)) => cmd::endpoints::execute(matches),
        Some(("groups", matches)) => cmd::groups::execute(matches),
        Some(("metrics", matches)) => cmd::metrics::execute(matches),
        Some(("log", matches)) => cmd::log::execute(matches),
        Some(("send", matches)) => cmd::send::execute(matches),
        Some(("completions", matches)) => cmd::completions::execute(matches),
        _ => unreachable!("clap requires one of the subcommands above"),
    };
    let code = result.unwrap_or_else(|error| {
        error::report(&error);
        error.exit_code()
    });
    ExitCode::from(code)
}
