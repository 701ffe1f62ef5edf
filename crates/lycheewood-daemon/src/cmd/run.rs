//! `lycheewoodd run`: runs the daemon until SIGTERM or SIGINT, then stops gracefully.

use clap::{ArgMatches, Command};
use lycheewood::{Endpoint, Entry, RoleSettings};

use crate::cmd::{DaemonError, read_settings, settings_arg};
use crate::signals::Signals;

pub(crate) fn make_subcommand() -> Command {
    Command::new("run")
        .about("Runs the daemon until SIGTERM, then stops gracefully")
        .arg(settings_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<(), DaemonError> {
    let signals = Signals::install().map_err(DaemonError::Signals)?;
    let settings = read_settings(matches)?;
    match settings.role {
        RoleSettings::Entry { .. } => {
            let entry = Entry::start(&settings)?;
            signals.block_until_stop();
            entry.shutdown();
        }
        RoleSettings::Endpoint { .. } => {
            let endpoint = Endpoint::start(&settings)?;
            signals.block_until_stop();
            endpoint.shutdown();
        }
    }
    Ok(())
}
