//! `lycheewood validate`: checks a document file offline.

use std::path::PathBuf;

use clap::{ArgMatches, Command};
use lycheewood::RawDocument;
use serde_json::{Value, json};

use crate::cmd::{file_arg, read_file, required};
use crate::error::CliError;
use crate::exit;
use crate::output::{Format, format_arg};

pub(crate) fn make_subcommand() -> Command {
    Command::new("validate")
        .about("Checks a document file and prints every fault with its path and line")
        .arg(file_arg("file", "Document in YAML").required(true))
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let path: PathBuf = required(matches, "file");
    let checked = RawDocument::from_yaml(&read_file(&path)?);
    let faults = checked.err().map(|invalid| invalid.errors).unwrap_or_default();
    Format::of(matches).print(
        || {
            if faults.is_empty() {
                return format!("{} is valid", path.display());
            }
            faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
        },
        || {
            let listed: Vec<Value> = faults
                .iter()
                .map(|f| json!({"path": f.path, "line": f.line, "message": f.kind.to_string()}))
                .collect();
            json!({"valid": faults.is_empty(), "faults": listed})
        },
    )?;
    Ok(if faults.is_empty() { exit::DONE } else { exit::REFUSED })
}
