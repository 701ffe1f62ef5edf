//! `lycheewood send`: sends one test request to an entry.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use lycheewood::{Clock, RequestKey};
use serde_json::{Value, json};

use crate::adapters::caller::{self, LastPart, ReplyPart};
use crate::cmd::{address_arg, file_arg, read_file, required, timeout_arg};
use crate::decisions::answer::{Outcome, ReplyEnd, outcome_of};
use crate::error::CliError;
use crate::exit;
use crate::filters::{self, RequestSpec};
use crate::output::{Format, format_arg, print, print_part};
use crate::traffic::{Deadline, Traffic};

pub(crate) fn make_subcommand() -> Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    Command::new("send")
        .about("Sends one test request with a fresh trace and prints its answer and outcome")
        .arg(address_arg("entry", "Address of an entry for callers").required(true))
        .arg(file_arg("token-file", "File with the bearer token").long("token-file").required(true))
        .arg(
            text("model", "NAME", "Model to ask")
                .requires("prompt")
                .required_unless_present("service"),
        )
        .arg(text("prompt", "TEXT", "Prompt for the model").requires("model"))
        .arg(
            text("max-tokens", "COUNT", "Most tokens of the answer")
                .value_parser(value_parser!(u32))
                .default_value("32"),
        )
        .arg(
            Arg::new("stream")
                .long("stream")
                .action(ArgAction::SetTrue)
                .requires("model")
                .help("Prints the answer as it arrives"),
        )
        .arg(
            text("service", "NAME", "Plain service to call")
                .requires("path")
                .conflicts_with("model"),
        )
        .arg(text("method", "METHOD", "HTTP method of the call").default_value("POST"))
        .arg(text("path", "PATH", "Path within the service, such as /jobs").requires("service"))
        .arg(text("body", "TEXT", "Body of the call, usually JSON").default_value(""))
        .arg(text("key", "KEY", "Request key, a UUID version 7; a fresh one by default"))
        .arg(
            text("deadline-ms", "MS", "Deadline for the request; the document's default if absent")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(timeout_arg("30000"))
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let address = required::<SocketAddr>(matches, "entry");
    let timeout_ms = required(matches, "timeout-ms");
    let token = read_token(&required::<PathBuf>(matches, "token-file"))?;
    let key = matches
        .get_one::<String>("key")
        .map(|text| RequestKey::try_from(text.as_str()))
        .transpose()
        .map_err(CliError::Key)?;
    let streams = matches.get_flag("stream");
    let (method, path, body) = target(matches, streams);
    let url = format!("http://{address}{path}");
    let spec = RequestSpec {
        url: &url,
        method: &method,
        body: &body,
        token: &token,
        key,
        deadline_ms: matches.get_one("deadline-ms").copied(),
    };
    let exchange = filters::run(spec, Clock::system().now());
    let request = exchange.to_http()?;
    let (key, trace_id) = (exchange.stage.key, exchange.stage.trace_id.as_str());
    // Printed before the request is sent, so that the outcome can be asked for whatever happens.
    log::info!("key: {key}");
    log::info!("trace id: {trace_id}");
    let format = Format::of(matches);
    let traffic = Traffic::start()?;
    let deadline = Deadline::after_ms(timeout_ms);
    let (sender, parts) = mpsc::channel();
    traffic.spawn(caller::send(address, request, streams, deadline, sender));
    let (answer, last) = receive(&parts, streams && format == Format::Human)?;
    traffic.stop();
    let outcome = outcome_of(&last.end);
    match format {
        Format::Human => {
            // The parts of a stream were printed as they arrived; only the line end is missing.
            print(if streams { "" } else { &answer })?;
            log::info!("outcome: {}", outcome.as_str());
            if let Some(detail) = &last.detail {
                log::warn!("{detail}");
            }
        }
        Format::Json => format.print(String::new, || {
            json!({
                "outcome": outcome.as_str(), "status": last.status, "answer": answer,
                "detail": last.detail, "key": key, "trace_id": trace_id,
            })
        })?,
    }
    Ok(exit_code(outcome))
}

const fn exit_code(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::Done => exit::DONE,
        Outcome::ServiceError => exit::FAILED,
        Outcome::Invalid => exit::REFUSED,
        Outcome::Unknown => exit::UNKNOWN,
        Outcome::NotRun => exit::NOT_RUN,
    }
}

fn read_token(path: &Path) -> Result<String, CliError> {
    let token = read_file(path)?.trim().to_owned();
    let visible = !token.is_empty() && token.bytes().all(|byte| byte.is_ascii_graphic());
    if visible { Ok(token) } else { Err(CliError::Token { path: path.to_owned() }) }
}

/// Method, path and body of the request.
fn target(matches: &ArgMatches, stream: bool) -> (String, String, String) {
    if let Some(model) = matches.get_one::<String>("model") {
        let prompt: String = required(matches, "prompt");
        let max_tokens: u32 = required(matches, "max-tokens");
        let body: Value =
            json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream});
        return ("POST".to_owned(), "/v1/completions".to_owned(), body.to_string());
    }
    let (service, path): (String, String) =
        (required(matches, "service"), required(matches, "path"));
    let path = path.trim_start_matches('/');
    (
        required(matches, "method"),
        format!("/v1/services/{service}/{path}"),
        required(matches, "body"),
    )
}

/// Takes the reply and prints its parts at once when `prints` is set.
fn receive(
    parts: &mpsc::Receiver<ReplyPart>,
    prints: bool,
) -> Result<(String, LastPart), CliError> {
    let mut answer = String::new();
    for part in parts {
        match part {
            ReplyPart::Text(part) => {
                if prints {
                    print_part(&part)?;
                }
                answer.push_str(&part);
            }
            ReplyPart::Last(last) => return Ok((answer, last)),
        }
    }
    // The sender always sends a last part, unless its thread failed. The request may have run.
    let detail = Some(CliError::Worker.to_string());
    Ok((answer, LastPart { end: ReplyEnd::Lost, status: None, detail }))
}
