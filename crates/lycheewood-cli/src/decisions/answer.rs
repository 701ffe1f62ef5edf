//! How a test request ended.

/// How the reply to a test request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReplyEnd {
    /// The whole answer arrived.
    Whole,
    /// An error took the place of the answer or of its rest.
    Error {
        /// The type in the error object, if it has one of ours.
        kind: Option<String>,
        /// Whether a part of the answer was sent before.
        cut: bool,
    },
    /// No connection could be made.
    NotSent,
    /// The reply stopped before its end.
    Lost,
}

/// What the operator is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole answer arrived.
    Done,
    /// The service itself answered with an error status.
    ServiceError,
    /// It did not run; sending it again is safe.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// The request is wrong.
    Invalid,
}

impl Outcome {
    /// The outcome as scripts see it.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::ServiceError => "service_error",
            Self::NotRun => "not_run",
            Self::Unknown => "outcome_unknown",
            Self::Invalid => "invalid_request",
        }
    }
}

/// Sorts the end of a reply. A service's own error has no type of ours.
pub(crate) fn outcome_of(end: &ReplyEnd) -> Outcome {
    match end {
        ReplyEnd::Whole => Outcome::Done,
        ReplyEnd::NotSent => Outcome::NotRun,
        ReplyEnd::Lost => Outcome::Unknown,
        ReplyEnd::Error { kind, cut } => match kind.as_deref() {
            Some("not_run") => Outcome::NotRun,
            Some("invalid_request") => Outcome::Invalid,
            Some("outcome_unknown") => Outcome::Unknown,
            _ if *cut => Outcome::Unknown,
            _ => Outcome::ServiceError,
        },
    }
}
