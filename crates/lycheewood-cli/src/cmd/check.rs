//! `lycheewood check`: checks a document file before it is published.

use std::path::PathBuf;

use clap::builder::PossibleValue;
use clap::{Arg, ArgAction, ArgMatches, Command};
use lycheewood::{
    Finding, RawDocument, check_document, check_yaml, difference, read_configuration,
};
use serde_json::{Value, json};

use crate::cmd::{file_arg, log_arg, log_client, read_file, required, timeout_arg};
use crate::controllers::documents::DocumentController;
use crate::error::CliError;
use crate::exit;
use crate::output::{Format, format_arg};
use crate::traffic::{Deadline, Traffic};

pub(crate) fn make_subcommand() -> Command {
    Command::new("check")
        .about("Checks a document file before it is published: faults, entries without effect, contradictory limits")
        .arg(file_arg("file", "Document in YAML").required(true))
        .arg(
            file_arg("against", "Document in YAML to compare with")
                .long("against")
                .conflicts_with("log"),
        )
        .arg(log_arg().help("IP address and port of the log, to compare with the document in force"))
        .arg(
            Arg::new("deny-warnings")
                .long("deny-warnings")
                .help("Exit with 3 for warnings too")
                .action(ArgAction::SetTrue),
        )
        .arg(timeout_arg("10000"))
        .arg(format_arg().long("format").alias("output").value_parser([PossibleValue::new("text").alias("human"), PossibleValue::new("json")]).default_value("text"))
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let path: PathBuf = required(matches, "file");
    let bytes = read_configuration(&path).map_err(|source| CliError::Read { path, source })?;
    let (mut report, document) = check_yaml(&bytes);
    // Without a valid document there is nothing to compare.
    let former = document.as_ref().and_then(|_| former(matches).transpose());
    let failure = match (former, document) {
        (Some(Ok(former)), Some(document)) => {
            let changed = difference(&former.value, &document.to_value());
            report = report.compared(&former.findings, changed);
            None
        }
        (Some(Err(error)), _) => Some(error),
        _ => None,
    };
    Format::of(matches).print(|| report.to_string(), || json!(report))?;
    // What was found offline is printed before the reason why nothing was compared.
    if let Some(error) = failure {
        return Err(error);
    }
    let is_refused = report.is_refused(matches.get_flag("deny-warnings"));
    Ok(if is_refused { exit::REFUSED } else { exit::DONE })
}

/// The version that the file is compared with.
struct Former {
    value: Value,
    findings: Vec<Finding>,
}

/// Reads the version to compare with, if the command line names one.
fn former(matches: &ArgMatches) -> Result<Option<Former>, CliError> {
    if let Some(path) = matches.get_one::<PathBuf>("against") {
        let (raw, document) = RawDocument::from_yaml(&read_file(path)?)
            .map_err(|source| CliError::Invalid { path: path.clone(), source })?;
        return Ok(Some(Former { value: raw.to_value(), findings: check_document(&document) }));
    }
    if !matches.contains_id("log") {
        return Ok(None);
    }
    let timeout_ms = required(matches, "timeout-ms");
    let traffic = Traffic::start()?;
    let client = log_client(matches, timeout_ms);
    let documents = DocumentController::open(&traffic, client, Deadline::after_ms(timeout_ms))?;
    let published = documents.state().published().ok_or(CliError::NoDocument)?;
    let findings = check_document(&published.document);
    Ok(Some(Former { value: Value::clone(&published.raw), findings }))
}
