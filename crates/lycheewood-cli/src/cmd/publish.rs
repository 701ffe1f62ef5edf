//! `lycheewood publish`: proposes a document and waits for the log's verdict.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use lycheewood::publication::{RecordEffect, RefusalReason};
use lycheewood::{Clock, Offset, PublicationId, RequestKey};
use serde_json::{Value, json};

use crate::cmd::follow::FollowReport;
use crate::cmd::{
    difference_json, difference_text, file_arg, follow, log_arg, log_client, node_arg,
    read_document, required, timeout_arg,
};
use crate::controllers::documents::DocumentController;
use crate::decisions::node_set::NodeSet;
use crate::decisions::publish::{
    Appended, Conflict, append_again, choose_change, explain, refused_at_once,
};
use crate::error::{CliError, LogError, report};
use crate::exit;
use crate::lifecycle::publication::{Prepared, Progress, Publishing};
use crate::output::{Format, format_arg};
use crate::traffic::{Deadline, Traffic};

/// How long one read waits for a record before the append is repeated.
const POLL_MS: u64 = 500;

pub(crate) fn make_subcommand() -> Command {
    Command::new("publish")
        .about("Publishes a document as an edit of the given version")
        .arg(file_arg("file", "Document in YAML").required(true))
        .arg(log_arg().required(true))
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .help("Version that the document edits, or `none` for the first one")
                .value_parser(parse_base)
                .required(true),
        )
        .arg(
            Arg::new("follow")
                .long("follow")
                .action(ArgAction::SetTrue)
                .requires("node")
                .help("Waits until every live node has the document in force"),
        )
        .arg(node_arg())
        .arg(timeout_arg("20000"))
        .arg(format_arg())
}

/// A base as written on the command line.
#[derive(Clone, Copy, Debug)]
struct Base(Option<Offset>);

fn parse_base(text: &str) -> Result<Base, String> {
    if text == "none" {
        return Ok(Base(None));
    }
    let version =
        text.parse().map_err(|_| "write the number of a version, or `none`".to_owned())?;
    Ok(Base(Some(Offset(version))))
}

/// How the publication ended.
enum PublishResult {
    Accepted(Offset),
    Refused(RefusalReason),
    Unknown,
    NotSent,
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let new = read_document(&required::<PathBuf>(matches, "file"))?.to_value();
    let Base(base) = required(matches, "base");
    let timeout_ms = required(matches, "timeout-ms");
    let deadline = Deadline::after_ms(timeout_ms);
    let id = PublicationId::new(&RequestKey::generate(Clock::system().now()).to_string());
    let traffic = Traffic::start()?;
    let client = log_client(matches, timeout_ms);
    let mut documents = match DocumentController::open(&traffic, client, deadline) {
        Ok(documents) => documents,
        Err(error @ CliError::Log(_)) => {
            report(&error);
            return conclude(matches, &id, &PublishResult::NotSent, None, None);
        }
        Err(error) => return Err(error),
    };
    let result = if let Some(reason) = refused_at_once(documents.state(), &id, base) {
        PublishResult::Refused(reason)
    } else {
        let in_force = documents.state().published().map(|published| published.raw.as_ref());
        let publishing = Publishing::prepare(id.clone(), base, choose_change(in_force, &new));
        // Printed before the append, so that the id is known whatever happens next.
        log::info!("publication id: {}", publishing.id());
        publish(&mut documents, publishing, deadline)
    };
    let conflict = match &result {
        PublishResult::Refused(reason) => Some(explain(documents.state(), reason, &new)),
        _ => None,
    };
    let PublishResult::Accepted(version) = result else {
        return conclude(matches, &id, &result, conflict.as_ref(), None);
    };
    if !matches.get_flag("follow") {
        return conclude(matches, &id, &result, None, None);
    }
    log::info!("accepted as version {version}");
    let node = required::<SocketAddr>(matches, "node");
    let followed = follow::wait_for_version(&traffic, node, version, deadline);
    let code = conclude(matches, &id, &result, None, followed.as_ref().ok())?;
    followed.map(|_| code)
}

/// Sends the publication and reads the stream until it is decided or the deadline passes.
fn publish(
    documents: &mut DocumentController<'_>,
    publishing: Publishing<Prepared>,
    deadline: Deadline,
) -> PublishResult {
    let mut sent = publishing.send();
    let mut appended = documents.append(sent.payload());
    let mut appends = 1;
    while appended != Appended::NotSent {
        let read = documents.read_on(POLL_MS, &mut |effect: &RecordEffect| sent.note(effect));
        sent = match sent.decide(documents.state()) {
            Progress::Open(sent) => sent,
            Progress::Forgotten => return PublishResult::Unknown,
            Progress::Decided(decided) => {
                return match decided.result() {
                    Ok(version) => PublishResult::Accepted(*version),
                    Err(reason) => PublishResult::Refused(reason.clone()),
                };
            }
        };
        match read {
            Ok(at_end) if append_again(appended, appends, at_end) => {
                appends += 1;
                appended = appended.and_then(documents.append(sent.payload()));
            }
            Ok(_) => {}
            Err(CliError::Log(LogError::TimedOut)) => return PublishResult::Unknown,
            // The log may refuse at once, so the next read needs a pause.
            Err(CliError::Log(_)) => std::thread::sleep(
                Duration::from_millis(rand::random_range(POLL_MS / 4..=POLL_MS / 2))
                    .min(deadline.remaining()),
            ),
            // The record may stand in the log, so no failure from here on is a plain one.
            Err(error) => {
                report(&error);
                return PublishResult::Unknown;
            }
        }
    }
    PublishResult::NotSent
}

/// Prints how the publication ended and, if it was followed, where it is in force.
fn conclude(
    matches: &ArgMatches,
    id: &PublicationId,
    result: &PublishResult,
    conflict: Option<&Conflict<'_>>,
    node_set: Option<&NodeSet>,
) -> Result<u8, CliError> {
    let (word, text, code) = match result {
        PublishResult::Accepted(version) => {
            ("accepted", format!("accepted as version {version}"), exit::DONE)
        }
        PublishResult::Refused(reason) => ("refused", format!("refused: {reason}"), exit::REFUSED),
        PublishResult::Unknown => (
            "unknown",
            format!("unknown: the log gave no verdict; ask with `lycheewood ask {id} --log ADDR`"),
            exit::UNKNOWN,
        ),
        PublishResult::NotSent => (
            "not_sent",
            "not accepted: nothing was sent; publish again when the log responds".to_owned(),
            exit::NOT_RUN,
        ),
    };
    let version = if let PublishResult::Accepted(version) = result { Some(*version) } else { None };
    let report =
        version.zip(node_set).map(|(version, node_set)| FollowReport::of(node_set, version, None));
    Format::of(matches).print(
        || {
            let conflict = conflict.map(conflict_text);
            let report = report.as_ref().map(FollowReport::text);
            [Some(text), conflict, report].into_iter().flatten().collect::<Vec<_>>().join("\n")
        },
        || {
            let conflict = conflict.map_or(Value::Null, conflict_json);
            let nodes = report.as_ref().map(FollowReport::json);
            json!({
                "id": id, "result": word, "version": version, "conflict": conflict, "nodes": nodes,
            })
        },
    )?;
    Ok(report.map_or(code, |report| report.exit_code()))
}

fn conflict_text(conflict: &Conflict<'_>) -> String {
    let mut lines = Vec::new();
    if let Some((version, id)) = conflict.winner {
        lines.push(format!("winner: version {version}, publication {id}"));
    }
    if let Some(version) = conflict.in_force {
        lines.push(format!("from version {version}, in force, to the refused document:"));
        lines.push(difference_text(&conflict.difference));
    }
    lines.join("\n")
}

fn conflict_json(conflict: &Conflict<'_>) -> Value {
    json!({
        "reason": conflict.reason.to_string(),
        "winner": conflict.winner.map(|(version, id)| json!({"version": version, "id": id})),
        "in_force": conflict.in_force,
        "difference": difference_json(&conflict.difference),
    })
}
