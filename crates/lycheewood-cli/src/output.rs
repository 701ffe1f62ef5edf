//! Results for people and for scripts.

use std::fmt::Display;
use std::io::{Write, stdout};

use clap::{Arg, ArgMatches};
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde_json::Value;

use crate::error::CliError;

/// Form of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text and tables.
    Human,
    /// One JSON value.
    Json,
}

/// The argument that chooses the form.
pub(crate) fn format_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .help("Form of the result; `json` is for scripts")
        .value_parser(["human", "json"])
        .default_value("human")
}

impl Format {
    pub(crate) fn of(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Human,
        }
    }

    /// Prints the text or the value; only the one that is wanted is made.
    pub(crate) fn print(
        self,
        human: impl FnOnce() -> String,
        json: impl FnOnce() -> Value,
    ) -> Result<(), CliError> {
        match self {
            Self::Human => print(&human()),
            Self::Json => print(&format!("{:#}", json())),
        }
    }
}

/// Writes a text and a line end to standard output.
pub(crate) fn print(text: &str) -> Result<(), CliError> {
    let mut out = stdout().lock();
    let text = text.trim_end_matches('\n');
    writeln!(out, "{text}").and_then(|()| out.flush()).map_err(CliError::Output)
}

/// Writes a part of a line to standard output at once.
pub(crate) fn print_part(text: &str) -> Result<(), CliError> {
    let mut out = stdout().lock();
    write!(out, "{text}").and_then(|()| out.flush()).map_err(CliError::Output)
}

/// A table without borders.
pub(crate) fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(header);
    for row in rows {
        table.add_row(row);
    }
    table.lines().map(|line| line.trim().to_owned()).collect::<Vec<_>>().join("\n")
}

/// A value, or `-` when there is none.
pub(crate) fn or_dash(value: Option<impl Display>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
