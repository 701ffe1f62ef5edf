//! `lycheewood log`: what the gateways' logs say of one request.

use std::io::{Read, stdin};
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::json;

use crate::cmd::required;
use crate::decisions::log_lines::{explain, lines_of};
use crate::error::CliError;
use crate::exit;
use crate::output::{Format, format_arg};

pub(crate) fn make_subcommand() -> Command {
    Command::new("log")
        .about("Prints what the logs of gateways say of one request, and why it ended as it did")
        .arg(Arg::new("id").value_name("ID").help("The request's id").required(true))
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Logs of gateways; standard input if none is named")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let id: String = required(matches, "id");
    let log = read(matches)?;
    let lines = lines_of(&log, &id);
    let cause = explain(&lines);
    Format::of(matches).print(
        || {
            let texts = lines.iter().map(|line| line.text);
            texts.chain([cause.as_str()]).collect::<Vec<_>>().join("\n")
        },
        || {
            let lines: Vec<_> = lines
                .iter()
                .map(|line| json!({"event": line.event, "fields": line.fields}))
                .collect();
            json!({"lines": lines, "cause": cause})
        },
    )?;
    Ok(if lines.is_empty() { exit::FAILED } else { exit::DONE })
}

fn read(matches: &ArgMatches) -> Result<String, CliError> {
    let mut log = String::new();
    let files: Vec<&PathBuf> = matches.get_many("files").into_iter().flatten().collect();
    if files.is_empty() {
        let path = || PathBuf::from("standard input");
        stdin()
            .read_to_string(&mut log)
            .map_err(|source| CliError::Read { path: path(), source })?;
    }
    for path in files {
        let text = std::fs::read_to_string(path)
            .map_err(|source| CliError::Read { path: path.clone(), source })?;
        log.push_str(&text);
        log.push('\n');
    }
    Ok(log)
}
