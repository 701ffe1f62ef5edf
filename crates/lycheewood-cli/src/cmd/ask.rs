//! `lycheewood ask`: what became of a publication.

use clap::{Arg, ArgMatches, Command};
use lycheewood::PublicationId;
use lycheewood::publication::{
    PublicationStatus, PublisherView, Record, RecordEffect, RefusalReason, decode_record,
    publication_status,
};
use serde_json::json;

use crate::cmd::{log_arg, log_client, required, timeout_arg};
use crate::controllers::documents::DocumentController;
use crate::error::CliError;
use crate::exit;
use crate::lifecycle::publication::publication_id;
use crate::output::{Format, format_arg};
use crate::traffic::{Deadline, Traffic};

pub(crate) fn make_subcommand() -> Command {
    Command::new("ask")
        .about("Tells what became of a publication")
        .arg(Arg::new("id").value_name("ID").required(true).help("Id of the publication"))
        .arg(log_arg().required(true))
        .arg(timeout_arg("10000"))
        .arg(format_arg())
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<u8, CliError> {
    let id = PublicationId::new(&required::<String>(matches, "id"));
    let timeout_ms = required(matches, "timeout-ms");
    let traffic = Traffic::start()?;
    let client = log_client(matches, timeout_ms);
    let mut own: Option<RecordEffect> = None;
    let mut note = |effect: &RecordEffect| {
        if publication_id(effect) == Some(&id) {
            own.get_or_insert_with(|| effect.clone());
        }
    };
    let deadline = Deadline::after_ms(timeout_ms);
    let documents = DocumentController::open_with(&traffic, client, deadline, &mut note)?;
    let state = documents.state();
    let record =
        documents.records().iter().find_map(|record| match decode_record(&record.payload) {
            Some(Record::Publication(publication)) if publication.id == id => Some(publication),
            _ => None,
        });
    let base = record.as_ref().and_then(|publication| publication.base);
    let answer =
        match publication_status(state, &PublisherView { id: &id, base, effect: own.as_ref() }) {
            // Without a record the base is unknown, so only `Accepted` refers to this publication.
            PublicationStatus::Refused(_)
            | PublicationStatus::Pending
            | PublicationStatus::Indeterminate
                if record.is_none() =>
            {
                None
            }
            answer => Some(answer),
        };
    let (result, text, code) = match &answer {
        Some(PublicationStatus::Accepted { version }) => {
            ("accepted", format!("accepted as version {version}"), exit::DONE)
        }
        Some(PublicationStatus::Refused(reason)) => {
            ("refused", format!("refused: {reason}"), exit::REFUSED)
        }
        Some(PublicationStatus::Pending) => {
            ("open", "open: its base is not in the log yet; ask again".to_owned(), exit::UNKNOWN)
        }
        Some(PublicationStatus::Indeterminate) => (
            "forgotten",
            "unknown: it is too old to tell; it has no effect any more".to_owned(),
            exit::UNKNOWN,
        ),
        None => (
            "not_found",
            "unknown: no readable record has this id; ask again, or check the id".to_owned(),
            exit::UNKNOWN,
        ),
    };
    let version = if let Some(PublicationStatus::Accepted { version }) = &answer {
        Some(version)
    } else {
        None
    };
    let winner = match &answer {
        Some(PublicationStatus::Refused(RefusalReason::BaseReplaced(winner))) => Some(winner),
        _ => None,
    };
    Format::of(matches).print(
        || text.clone(),
        || json!({"id": id, "result": result, "version": version, "winner": winner, "message": text}),
    )?;
    Ok(code)
}
