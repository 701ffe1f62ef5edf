//! `lycheewood diff`: the changed fields between two documents.

use std::path::PathBuf;

use clap::{ArgMatches, Command};
use lycheewood::difference;
use serde_json::json;

use crate::cmd::{
    difference_json, difference_text, file_arg, log_arg, log_client, read_document, required,
    timeout_arg,
};
use crate::controllers::documents::DocumentController;
use crate::error::CliError;
use crate::exit;
use crate::output::{Format, format_arg};
use crate::traffic::{Deadline, Traffic};

pub(crate) fn make_subcommand() -> Command {
    Command::new("diff")
        .about(
            "Shows the changed fields between two files, or from the document in force to a file",
        )
        .arg(file_arg("file", "Document in YAML; the older one of two").required(true))
        .arg(
            file_arg("new", "The newer document in YAML")
                .required_unless_present("log")
                .conflicts_with("log"),
        )
        .arg(log_arg())
        .arg(timeout_arg("10000"))
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let first = read_document(&required::<PathBuf>(matches, "file"))?.to_value();
    let found = if let Some(new) = matches.get_one::<PathBuf>("new") {
        difference(&first, &read_document(new)?.to_value())
    } else {
        let timeout_ms = required(matches, "timeout-ms");
        let traffic = Traffic::start()?;
        let client = log_client(matches, timeout_ms);
        let deadline = Deadline::after_ms(timeout_ms);
        let documents = DocumentController::open(&traffic, client, deadline)?;
        let published = documents.state().published().ok_or(CliError::NoDocument)?;
        difference(&published.raw, &first)
    };
    Format::of(matches)
        .print(|| difference_text(&found), || json!({"difference": difference_json(&found)}))?;
    Ok(exit::DONE)
}
