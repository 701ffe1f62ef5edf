//! How a request ends without a result: not run, outcome unknown, or invalid.

use crate::ids::RequestKey;

/// Why a request was not run. Callers match on the codes, so they are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRunCode {
    /// This instance has no active document yet.
    NoDocument,
    /// The workspace is over its limit.
    OverLimit,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// The instance sheds load.
    Overloaded,
    /// No endpoint can take the request now.
    NoEndpoint,
    /// This instance is shutting down.
    Draining,
    /// The claim could not be recorded in time, or another attempt holds it.
    ClaimUnavailable,
    /// The endpoint refused the attempt before it started.
    EndpointRefused,
    /// The request is quarantined because it crashed endpoints.
    Quarantined,
    /// The body did not arrive in time.
    BodyLate,
}

impl NotRunCode {
    /// The code as it appears in the body of the reply.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoDocument => "no_document",
            Self::OverLimit => "over_limit",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::Overloaded => "overloaded",
            Self::NoEndpoint => "no_endpoint",
            Self::Draining => "draining",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::EndpointRefused => "endpoint_refused",
            Self::Quarantined => "quarantined",
            Self::BodyLate => "body_late",
        }
    }
}

/// This transmission of the request did not run and never will. It is safe to send the request again with
/// the same key.
///
/// This does not cover earlier transmissions with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    /// Why it did not run.
    pub code: NotRunCode,
    /// Time to wait before the request is sent again, in milliseconds.
    pub retry_after_ms: u64,
}

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownCode {
    /// The endpoint failed while it may have been running the request.
    EndpointLost,
    /// The endpoint did not answer within the deadline.
    DeadlinePassed,
    /// The key is older than the time for which the log keeps claims.
    KeyExpired,
    /// An earlier attempt holds the key, and its outcome cannot be determined.
    HolderLost,
    /// An earlier attempt with the same key is still running.
    StillRunning,
    /// This instance cannot look the key up now; another one may.
    LookupUnavailable,
}

impl UnknownCode {
    /// The code as it appears in the body of the reply.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::EndpointLost => "endpoint_lost",
            Self::DeadlinePassed => "deadline_passed",
            Self::KeyExpired => "key_expired",
            Self::HolderLost => "holder_lost",
            Self::StillRunning => "still_running",
            Self::LookupUnavailable => "lookup_unavailable",
        }
    }
}

/// The request may or may not have run. Callers must not assume either.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownOutcome {
    /// Why the outcome is unknown.
    pub code: UnknownCode,
    /// The key under which the caller can ask for the outcome, if it sent one.
    pub key: Option<RequestKey>,
}

/// The request is invalid and was rejected before it had any effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A field is missing or has an invalid value.
    #[error("{field}: {remedy}")]
    Field {
        /// The header or the path in the body.
        field: &'static str,
        /// What to send instead.
        remedy: String,
    },
    /// The token is missing or belongs to no workspace.
    #[error("authorization: send `Bearer` and a token that the document lists")]
    Unauthorized,
    /// The workspace lacks the permission.
    #[error("{field}: {remedy}")]
    Forbidden {
        /// The header or the path in the body.
        field: &'static str,
        /// What to ask the operator for.
        remedy: String,
    },
    /// The model or service is unknown.
    #[error("{field}: `{name}` is not in the document; use one of its models or services")]
    UnknownTarget {
        /// The header or the path in the body.
        field: &'static str,
        /// The unknown name.
        name: String,
    },
    /// No route matches the request.
    #[error("path: no route of this host begins the path; ask for a route or correct the path")]
    NoRoute,
    /// The body exceeds the size limit.
    #[error("body: send at most {max_bytes} bytes")]
    BodyTooLarge {
        /// The limit, in bytes.
        max_bytes: usize,
    },
}

/// How a request ends without a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request is invalid.
    Invalid(InvalidRequest),
    /// The request did not run.
    NotRun(NotRun),
    /// The outcome is unknown.
    Unknown(UnknownOutcome),
}

impl RequestError {
    /// The request did not run.
    #[must_use]
    pub const fn not_run(code: NotRunCode, retry_after_ms: u64) -> Self {
        Self::NotRun(NotRun { code, retry_after_ms })
    }

    /// The request has an invalid field.
    #[must_use]
    pub fn field(field: &'static str, remedy: impl Into<String>) -> Self {
        Self::Invalid(InvalidRequest::Field { field, remedy: remedy.into() })
    }
}
