//! Subcommands, a file each.

pub(crate) mod check;
pub(crate) mod run;

use std::path::PathBuf;

use clap::{Arg, ArgMatches, value_parser};
use lycheewood::{Settings, SettingsError, StartError};

/// Why a subcommand fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DaemonError {
    #[error("cannot read {path}: {source}; name a readable settings file", path = path.display())]
    Read { path: PathBuf, source: std::io::Error },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("cannot listen for signals: {0}")]
    Signals(std::io::Error),
}

/// The argument that names the settings file.
fn settings_arg() -> Arg {
    Arg::new("settings")
        .help("Settings file in YAML")
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

fn read_settings(matches: &ArgMatches) -> Result<Settings, DaemonError> {
    // clap refuses the command line without the argument.
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let text =
        std::fs::read_to_string(&path).map_err(|source| DaemonError::Read { path, source })?;
    Ok(Settings::from_yaml(&text)?)
}
