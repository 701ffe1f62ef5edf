//! Checks a configuration before it is published: what is refused, what can never take effect, which limits contradict
//! each other, and which of these findings another version does not have.
//!
//! A warning is given only where the configuration alone proves it. The number of endpoints and their regions are not
//! part of a configuration, so nothing is concluded from them.

mod document;
mod place;
mod report;
mod routes;

pub use document::{check_document, check_yaml};
pub use report::CheckReport;
pub use routes::check_routes;

use std::fmt;

use serde::Serialize;

use crate::decisions::check::place::Place;
use crate::document::error::{DocumentError, DocumentErrorKind};
use crate::routes::checked::RouteTableError;

/// Largest configuration that is read, in bytes. One with 3,100 workspaces has less than 1 MiB.
pub const MAX_CONFIGURATION_BYTES: usize = 16 * 1024 * 1024;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The configuration is refused.
    Error,
    /// The configuration is accepted, and a part of it has no effect or contradicts another.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// One finding of a check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// Path of the field, such as `models[0].versions[1].weight`; empty for the whole text.
    pub path: String,
    /// Line in the text, from 1, if known.
    pub line: Option<u64>,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// Whether the version that the configuration was compared with does not have the finding.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub is_new: Option<bool>,
    /// The path with names in place of indices, which is the same wherever an element stands.
    #[serde(skip)]
    key: String,
}

impl Finding {
    fn new(place: Place, line: Option<u64>, kind: &FindingKind) -> Self {
        let text = kind.to_string();
        // The messages of all kinds, and those of the library's errors, end with `; ` and the remedy.
        let (message, remedy) = text.rsplit_once("; ").unwrap_or((&text, ""));
        Self {
            severity: kind.severity(),
            path: place.path,
            line,
            message: message.to_owned(),
            remedy: remedy.to_owned(),
            is_new: None,
            key: place.key,
        }
    }

    fn warning(place: Place, kind: &FindingKind) -> Self {
        Self::new(place, None, kind)
    }

    fn is_same(&self, other: &Self) -> bool {
        (self.severity, &self.key, &self.message) == (other.severity, &other.key, &other.message)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let new = if self.is_new == Some(true) { "new " } else { "" };
        let path = if self.path.is_empty() { "document" } else { &self.path };
        write!(f, "{new}{}: {path}", self.severity)?;
        if let Some(line) = self.line {
            write!(f, " (line {line})")?;
        }
        write!(f, ": {}; {}", self.message, self.remedy)
    }
}

impl From<&DocumentError> for Finding {
    fn from(error: &DocumentError) -> Self {
        let place = Place { path: error.path.clone(), key: error.path.clone() };
        Self::new(place, error.line, &FindingKind::Document(error.kind.clone()))
    }
}

/// What is wrong. Field names are left to the path, since each front end has its own.
#[derive(Clone, Debug, thiserror::Error)]
enum FindingKind {
    #[error(transparent)]
    Document(DocumentErrorKind),
    #[error(transparent)]
    Routes(RouteTableError),
    #[error("the text has more than {MAX_CONFIGURATION_BYTES} bytes; remove what is not needed")]
    TooLarge,
    #[error("the text is not valid UTF-8 in this line; save the file as UTF-8")]
    NotUtf8,
    #[error("the configuration cannot be decoded: {0}; correct it there")]
    Undecodable(String),
    #[error(
        "the version `{0}` has weight 0 and receives no requests; give it a weight or remove it"
    )]
    VersionWithoutWeight(String),
    #[error("`{covered}` matches only calls that `{by}` matches too; remove it")]
    CoveredPattern { covered: String, by: String },
    #[error(
        "the route `{hidden}` never matches: `{by}` stands before it with the same host and prefix; remove one of them \
         or give it another prefix"
    )]
    HiddenRoute { hidden: String, by: String },
    #[error(
        "the prefix `{0}` never matches: paths are compared without query and fragment and have no spaces; write the \
         path alone"
    )]
    PrefixNeverMatches(String),
    #[error(
        "the service `{0}` has weight 0 and receives no requests; give it a weight or remove it"
    )]
    ServiceWithoutWeight(String),
    #[error("no route names the service `{0}`; name it in a route or remove it")]
    UnusedService(String),
    #[error("the service `{0}` is listed before; merge the two entries")]
    RepeatedService(String),
    #[error(
        "the workspace `{0}` has no key, so no request belongs to it; give it a key or remove it"
    )]
    WorkspaceWithoutKeys(String),
    #[error("the key is listed before in the same workspace; remove it")]
    RepeatedKey,
    #[error("no region is allowed; name a region, or remove the list to allow all")]
    NoRegion,
    #[error(
        "no region is allowed by both the route and the workspace `{0}`, so its requests get 503 here; add a common \
         region to the lists"
    )]
    NoCommonRegion(String),
    #[error("a timeout of 0 ms refuses every request; write the time that callers may wait")]
    NoTime,
    #[error(
        "the target of {target_ms} ms is above the timeout of {timeout_ms} ms; lower the target or raise the timeout"
    )]
    TargetAboveTimeout { target_ms: u64, timeout_ms: u64 },
    #[error(
        "the interval of {gap_ms} ms between events is above the timeout of {timeout_ms} ms; lower the interval or \
         raise the timeout"
    )]
    GapAboveTimeout { gap_ms: u64, timeout_ms: u64 },
    #[error("0 attempts count as 1; write the number of endpoints that may get a request")]
    NoAttempts,
    #[error(
        "only streams are resumed, and the route has another kind; remove it or correct the kind"
    )]
    ResumableWithoutStream,
    #[error("priority {0} counts as 9, the least urgent one; write a number from 0 to 9")]
    PriorityOutOfRange(u8),
    #[error(
        "{cold_per_s} requests/s to a cold endpoint are more than the {warm_per_s:.1} that a warm one begins in any \
         second by its profile; lower the limit or correct the profile"
    )]
    ColdAboveWarm { cold_per_s: f64, warm_per_s: f64 },
    #[error(
        "{new} new experts per change are more than the {slots} that a rank holds; lower the number to at most {slots}"
    )]
    NewExpertsAboveSlots { new: usize, slots: usize },
    #[error(
        "a head may have {header_bytes} bytes and a body only {body_bytes}; lower the former or raise the latter"
    )]
    HeaderAboveBody { header_bytes: usize, body_bytes: usize },
}

impl FindingKind {
    const fn severity(&self) -> Severity {
        match self {
            Self::Document(_)
            | Self::Routes(_)
            | Self::TooLarge
            | Self::NotUtf8
            | Self::Undecodable(_) => Severity::Error,
            _ => Severity::Warning,
        }
    }
}

/// The text of a configuration file, which may have been read up to one byte beyond the largest size.
///
/// # Errors
///
/// When the bytes are too many or not valid UTF-8.
pub fn decode_text(bytes: &[u8]) -> Result<&str, Finding> {
    if bytes.len() > MAX_CONFIGURATION_BYTES {
        return Err(Finding::new(Place::root(), None, &FindingKind::TooLarge));
    }
    std::str::from_utf8(bytes).map_err(|error| {
        let before = &bytes[..error.valid_up_to()];
        let ended = before.split(|byte| *byte == b'\n').count();
        let line = u64::try_from(ended).ok();
        Finding::new(Place::root(), line, &FindingKind::NotUtf8)
    })
}

/// The finding for a text that cannot be decoded. `reason` is the message of the decoder.
#[must_use]
pub fn undecodable(reason: &str, line: Option<u64>) -> Finding {
    Finding::new(Place::root(), line, &FindingKind::Undecodable(reason.to_owned()))
}
