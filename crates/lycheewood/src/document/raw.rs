//! The document as written: types without rules, and the place of each field in the text.

use std::fmt;

use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_saphyr::Spanned;

use super::checked::Document;
use super::error::{DocumentErrorKind, InvalidDocument, closest};

/// A document as written, with absent fields kept absent.
///
/// Numbers are wide and choices are text, so that the check can name the allowed range.
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
    /// How expert maps are decided.
    pub placement: RawPlacement,
    /// How long a quarantined request stays refused, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quarantine_ms: Option<u64>,
}

/// A model as written.
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

/// A version of a model as written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawModelVersion {
    /// Name of the version.
    pub name: String,
    /// Share of new requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u64>,
}

/// A kind of endpoints as written.
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
    /// Calls to the plain service that may not repeat.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub non_idempotent: Option<Vec<RawCallPattern>>,
    /// Default priority of calls to the plain service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u64>,
    /// Whether it refuses old fencing numbers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub checks_fencing: Option<bool>,
}

/// A call pattern as written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCallPattern {
    /// HTTP method.
    pub method: String,
    /// Prefix of the path.
    pub path_prefix: String,
}

/// A workspace as written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWorkspace {
    /// Name.
    pub name: String,
    /// SHA-256 digests of its bearer tokens, in hexadecimal digits.
    pub token_sha256: Vec<String>,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once.
    pub burst: u64,
    /// Share under overload.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u64>,
    /// Highest priority that callers may ask for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_priority: Option<u64>,
}

/// Deadlines as written.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDeadlines {
    /// Default, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub default_ms: Option<u64>,
    /// Longest, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_ms: Option<u64>,
}

/// The placement policy as written.
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
    /// Reads a document from YAML and checks it.
    ///
    /// # Errors
    ///
    /// Every broken rule with its path and line, or the first fault that prevents reading.
    pub fn from_yaml(text: &str) -> Result<(Self, Document), InvalidDocument> {
        let value: Value = serde_saphyr::from_str(text).map_err(|error| {
            let line = error.location().map(|location| location.line());
            let message = error.to_string();
            let first = message.lines().next().unwrap_or_default();
            // Keeps the cause only: the line is stated before it, and the library's options are not
            // the operator's.
            let cause = first.splitn(3, ": ").last().unwrap_or(first);
            let cause = cause.split(", set ").next().unwrap_or(cause).to_owned();
            InvalidDocument::one("", line, DocumentErrorKind::Syntax(cause))
        })?;
        Self::from_value(&value)
            .and_then(|raw| Document::try_from(&raw).map(|document| (raw, document)))
            .map_err(|mut invalid| {
                if let Ok(tree) = serde_saphyr::from_str::<Spanned<Node>>(text) {
                    for fault in &mut invalid.faults {
                        fault.line = Some(line_of(&tree, &fault.path));
                    }
                }
                invalid
            })
    }

    /// Reads a document from a JSON value, without checking its rules.
    ///
    /// # Errors
    ///
    /// The first field that is unknown, missing or of another type.
    pub fn from_value(value: &Value) -> Result<Self, InvalidDocument> {
        // serde would also read a list as the fields in their order.
        if !value.is_object() {
            return Err(InvalidDocument::one("", None, DocumentErrorKind::NotFields));
        }
        serde_path_to_error::deserialize(value).map_err(|error| {
            let path = error.path().to_string();
            let path = if path == "." { "" } else { &path };
            InvalidDocument::one(path, None, kind_of(&error.into_inner().to_string()))
        })
    }

    /// The document as a JSON value, with absent fields left out.
    #[must_use]
    pub fn to_value(&self) -> Value {
        serde_json::to_value(self).unwrap_or(Value::Null)
    }
}

/// Sorts a message of serde into a kind. Serde states names only inside the message, in backticks.
fn kind_of(message: &str) -> DocumentErrorKind {
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

/// Any YAML value with the lines of its parts.
enum Node {
    Scalar,
    List(Vec<Spanned<Node>>),
    Map(Vec<(Spanned<String>, Spanned<Node>)>),
}

/// The line of the field at `path`, or of the closest part around it that the text contains.
fn line_of(tree: &Spanned<Node>, path: &str) -> u64 {
    let mut line = tree.referenced.line();
    let mut node = &tree.value;
    for step in path.split(['.', '[']).filter(|step| !step.is_empty()) {
        match node {
            Node::List(items) => {
                let index = step.trim_end_matches(']').parse::<usize>().ok();
                let Some(item) = index.and_then(|index| items.get(index)) else { break };
                line = item.referenced.line();
                node = &item.value;
            }
            Node::Map(fields) => {
                let Some((key, value)) = fields.iter().find(|(key, _)| key.value == step) else {
                    break;
                };
                line = key.referenced.line();
                node = &value.value;
            }
            Node::Scalar => break,
        }
    }
    line
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<Node, E> {
        Ok(Node::Scalar)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Node, E> {
        Ok(Node::Scalar)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Node, E> {
        Ok(Node::Scalar)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Node, E> {
        Ok(Node::Scalar)
    }

    fn visit_str<E>(self, _: &str) -> Result<Node, E> {
        Ok(Node::Scalar)
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Scalar)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(Node::Map(fields))
    }
}
