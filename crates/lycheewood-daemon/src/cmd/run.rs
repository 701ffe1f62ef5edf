//! `lycheewoodd run`: runs the daemon until SIGTERM or SIGINT, then stops gracefully.

use clap::{ArgMatches, Command};
use lycheewood::{Endpoint, Entry, RoleSettings};

use crate::cmd::{DaemonError, read_settings, settings_arg};
use crate::signals;

pub(crate) fn make_subcommand() -> Command {
    Command::new("run")
        .about("Runs the daemon until SIGTERM, then stops gracefully")
        .arg(settings_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<(), DaemonError> {
    let settings = read_settings(matches)?;
    match settings.role {
        RoleSettings::Entry { .. } => {
            let entry = Entry::start(&settings)?;
            signals::wait_for_stop().map_err(DaemonError::Signals)?;
            entry.shutdown();
        }
        RoleSettings::Endpoint { .. } => {
            let endpoint = Endpoint::start(&settings)?;
            signals::wait_for_stop().map_err(DaemonError::Signals)?;
            endpoint.shutdown();
        }
    }
    Ok(())
}
