//! `lycheewoodd check`: checks a settings file without starting anything.

use clap::{ArgMatches, Command};

use crate::cmd::{DaemonError, read_settings, settings_arg};

pub(crate) fn make_subcommand() -> Command {
    Command::new("check")
        .about("Checks a settings file without starting anything")
        .arg(settings_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<(), DaemonError> {
    let settings = read_settings(matches)?;
    println!("settings of instance {} are valid", settings.instance);
    Ok(())
}
