//! The lycheewood daemon: an entry or an endpoint process, by its settings.

mod cmd;
mod signals;

use std::process::ExitCode;

use clap::Command;
use log::LevelFilter;
use simplelog::{Config, SimpleLogger};

fn command() -> Command {
    Command::new("lycheewoodd")
        .about("Runs one lycheewood process, an entry or an endpoint daemon by its settings")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(cmd::run::make_subcommand())
        .subcommand(cmd::check::make_subcommand())
}

fn main() -> ExitCode {
    // Fails only when a logger is set already.
    let _ = SimpleLogger::init(LevelFilter::Info, Config::default());
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("run", matches)) => cmd::run::execute(matches),
        Some(("check", matches)) => cmd::check::execute(matches),
        _ => unreachable!("clap requires one of the subcommands above"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
