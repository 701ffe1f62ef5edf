//! `lycheewood completions`: completions for a shell.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

use crate::cmd::{command, required};
use crate::error::CliError;
use crate::exit;
use crate::output::print;

pub(crate) fn make_subcommand() -> Command {
    Command::new("completions").about("Prints completions for a shell").arg(
        Arg::new("shell").value_name("SHELL").value_parser(value_parser!(Shell)).required(true),
    )
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let mut script = Vec::new();
    generate(required::<Shell>(matches, "shell"), &mut command(), "lycheewood", &mut script);
    print(&String::from_utf8_lossy(&script))?;
    Ok(exit::DONE)
}
