//! The document as deserialized, before validation.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::checked::Document;
use super::error::{DocumentErrorKind, InvalidDocument, closest};
use super::lines::SourceLines;

/// A document before validation. Absent fields stay absent.
///
/// Numbers are `u64` and enumerations are strings, so that validation can name the allowed values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDocument {
    /// Version of the schema; 1.
    pub schema: u64,
    /// Name of the service.
    pub service: String,
    /// Models.
    #[serde(default)]
    pub models: Vec<RawModel>,
    /// Kinds of endpoints.
    pub endpoints: Vec<RawEndpointKind>,
    /// Workspaces of callers.
    pub workspaces: Vec<RawWorkspace>,
    /// Bounds and defaults for deadlines.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadlines: Option<RawDeadlines>,
    /// Policy for the placement of experts.
    pub placement: RawPlacement,
    /// How long a quarantined request stays refused, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quarantine_ms: Option<u64>,
}

/// A model before validation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawModel {
    /// Name, as callers send it.
    pub name: String,
    /// Versions.
    pub versions: Vec<RawModelVersion>,
    /// Default priority of its requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u64>,
}

/// A model version before validation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawModelVersion {
    /// Name of the version.
    pub name: String,
    /// Share of new requests, relative to the other versions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u64>,
}

/// A kind of endpoints before validation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEndpointKind {
    /// Name.
    pub name: String,
    /// Models that it serves.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<String>>,
    /// The plain service that it runs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Calls to the plain service that must not run more than once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub non_idempotent: Option<Vec<RawCallPattern>>,
    /// Default priority of calls to the plain service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u64>,
    /// Whether it refuses orders with an outdated fencing number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub checks_fencing: Option<bool>,
}

/// A call pattern before validation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCallPattern {
    /// HTTP method.
    pub method: String,
    /// Prefix of the path.
    pub path_prefix: String,
}

/// A workspace before validation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWorkspace {
    /// Name.
    pub name: String,
    /// SHA-256 digests of its bearer tokens, in hexadecimal digits.
    pub token_sha256: Vec<String>,
    /// Rate limit in requests per second.
    pub rate_per_s: f64,
    /// Burst size of the rate limit, in requests.
    pub burst: u64,
    /// Share of capacity under overload, relative to other workspaces.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u64>,
    /// Highest priority that callers may ask for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_priority: Option<u64>,
}

/// Deadlines before validation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDeadlines {
    /// Default, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub default_ms: Option<u64>,
    /// Longest that a caller may ask for, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_ms: Option<u64>,
}

/// The placement policy before validation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlacement {
    /// `skew` or `cost`.
    pub objective: String,
    /// Most experts moved in one change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_moves: Option<u64>,
    /// Least time between two changes, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_interval_ms: Option<u64>,
}

impl RawDocument {
    /// Parses a document from YAML and validates it.
    ///
    /// # Errors
    ///
    /// Every violated rule with its path and line, or the first error that prevents parsing.
    pub fn from_yaml(text: &str) -> Result<(Self, Document), InvalidDocument> {
        let value: Value = serde_saphyr::from_str(text).map_err(|error| {
            let line = error.location().map(|location| location.line());
            let message = error.to_string();
            let first = message.lines().next().unwrap_or_default();
            // Keeps only the cause: `line` holds the position already, and operators cannot set the
            // parser options that the message suggests.
            let cause = first.splitn(3, ": ").last().unwrap_or(first);
            let cause = cause.split(", set ").next().unwrap_or(cause).to_owned();
            InvalidDocument::one("", line, DocumentErrorKind::Syntax(cause))
        })?;
        Self::from_value(&value)
            .and_then(|raw| Document::try_from(&raw).map(|document| (raw, document)))
            .map_err(|mut invalid| {
                let lines = SourceLines::of(text);
                for error in &mut invalid.errors {
                    error.line = lines.line(&error.path);
                }
                invalid
            })
    }

    /// Deserializes a document from a JSON value, without validating it.
    ///
    /// # Errors
    ///
    /// The first field that is unknown, missing or of the wrong type.
    pub fn from_value(value: &Value) -> Result<Self, InvalidDocument> {
        // serde would also accept an array, as the fields in declaration order.
        if !value.is_object() {
            return Err(InvalidDocument::one("", None, DocumentErrorKind::NotAnObject));
        }
        serde_path_to_error::deserialize(value).map_err(|error| {
            let path = error.path().to_string();
            let path = if path == "." { "" } else { &path };
            InvalidDocument::one(path, None, classify(&error.into_inner().to_string()))
        })
    }

    /// The document as a JSON value, with absent fields left out.
    #[must_use]
    pub fn to_value(&self) -> Value {
        serde_json::to_value(self).unwrap_or(Value::Null)
    }
}

/// Classifies an error message of serde, which names fields only inside the message, in backticks.
fn classify(message: &str) -> DocumentErrorKind {
    let mut quoted = message.split('`').skip(1).step_by(2).map(str::to_owned);
    if message.starts_with("unknown field") {
        let field = quoted.next().unwrap_or_default();
        let known: Vec<String> = quoted.collect();
        let closest = closest(&field, known.iter().map(String::as_str));
        DocumentErrorKind::UnknownField { field, closest, known }
    } else if message.starts_with("missing field") {
        DocumentErrorKind::MissingField(quoted.next().unwrap_or_default())
    } else {
        DocumentErrorKind::WrongType(message.to_owned())
    }
}
