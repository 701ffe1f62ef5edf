//! `lycheewood show`: the document in force, ready to be edited.

use clap::{ArgMatches, Command};
use lycheewood::RawDocument;
use lycheewood::publication::PublishedDocument;
use serde_json::json;

use crate::cmd::{log_arg, log_client, required, timeout_arg};
use crate::controllers::documents::DocumentController;
use crate::error::CliError;
use crate::exit;
use crate::output::{Format, format_arg, print};
use crate::traffic::{Deadline, Traffic};

pub(crate) fn make_subcommand() -> Command {
    Command::new("show")
        .about("Prints the document in force and its version, to be edited and published")
        .arg(log_arg().required(true))
        .arg(timeout_arg("10000"))
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let timeout_ms = required(matches, "timeout-ms");
    let traffic = Traffic::start()?;
    let client = log_client(matches, timeout_ms);
    let documents = DocumentController::open(&traffic, client, Deadline::after_ms(timeout_ms))?;
    let published = documents.state().published().ok_or(CliError::NoDocument)?;
    match Format::of(matches) {
        Format::Human => print(&yaml(published)?)?,
        format @ Format::Json => format.print(
            String::new,
            || json!({"version": published.version, "document": published.raw.as_ref()}),
        )?,
    }
    Ok(exit::DONE)
}

/// The document in the usual order of its fields. The comments keep it a valid document file.
fn yaml(published: &PublishedDocument) -> Result<String, CliError> {
    let version = published.version;
    let text = match RawDocument::from_value(&published.raw) {
        Ok(raw) => serde_saphyr::to_string(&raw),
        Err(_) => serde_saphyr::to_string(published.raw.as_ref()),
    };
    let text = text.map_err(CliError::Yaml)?;
    Ok(format!("# version: {version}\n# to publish an edit: --base {version}\n{text}"))
}
