//! Why a subcommand fails.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use lycheewood::{HttpError, InvalidDocument, RequestKeyError};

use crate::exit;

/// Why a subcommand fails. Each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    #[error("cannot read {path}; name a readable file", path = path.display())]
    Read { path: PathBuf, source: io::Error },
    #[error("{path} is not a valid document; correct each fault", path = path.display())]
    Invalid { path: PathBuf, source: InvalidDocument },
    #[error("the log gave no state of the documents; check `--log` and try again")]
    Log(#[source] LogError),
    #[error("no document is in force; publish the first one with `--base none`")]
    NoDocument,
    #[error("the node {address} gave no reply; name the admin address of a running node")]
    Node { address: SocketAddr, source: HttpError },
    #[error("the instance list gave no reply; check `--list` and try again")]
    List(#[source] HttpError),
    #[error("no entry is known to the node {0}; name the admin address of an entry")]
    NoEntry(SocketAddr),
    #[error("the token file {path} holds no token; write one line of visible ASCII", path = path.display())]
    Token { path: PathBuf },
    #[error("`--key` is not a request key")]
    Key(#[source] RequestKeyError),
    #[error("the request cannot be written as HTTP; correct `--method` and `--path`")]
    Request(#[source] hyper::http::Error),
    #[error("the document cannot be written as YAML; use `--output json`")]
    Yaml(#[source] serde_saphyr::SerializeError),
    #[error("cannot write the result; check where standard output leads")]
    Output(#[source] io::Error),
    #[error("cannot start a runtime; check the limits on threads and open files")]
    Runtime(#[source] io::Error),
    #[error("a worker thread failed; report this with the command line")]
    Worker,
}

impl CliError {
    /// The exit code that tells the kind of the failure.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::Invalid { .. } => exit::REFUSED,
            Self::Log(LogError::TimedOut | LogError::Http(HttpError::Timeout { .. }))
            | Self::Node { source: HttpError::Timeout { .. }, .. }
            | Self::List(HttpError::Timeout { .. }) => exit::TIMED_OUT,
            _ => exit::FAILED,
        }
    }
}

/// Why the stream of documents cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LogError {
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("the log's reply contradicts an earlier one; check that `--log` names one log")]
    Faulty,
    #[error(
        "the readable records do not lead to a document; wait until an entry writes a snapshot"
    )]
    NoStart,
    #[error("the deadline passed; raise `--timeout-ms`")]
    TimedOut,
    #[error("records expired while they were read; try again")]
    Expired,
}

/// Reports an error and its causes.
pub(crate) fn report(error: &CliError) {
    log::error!("{error}");
    let mut cause = error.source();
    while let Some(source) = cause {
        for line in source.to_string().lines() {
            log::error!("caused by: {line}");
        }
        cause = source.source();
    }
}
