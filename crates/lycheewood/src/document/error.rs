//! Validation errors of a document. Each message states where the error is and what to write instead.

use std::fmt;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// Path of the invalid field, such as `workspaces[2].token_sha256[0]`; empty for the whole text.
    pub path: String,
    /// Line in the text, from 1, when the document was read from text.
    pub line: Option<u64>,
    /// What is wrong.
    pub kind: DocumentErrorKind,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.path.is_empty() { "document" } else { &self.path })?;
        if let Some(line) = self.line {
            write!(f, " (line {line})")?;
        }
        write!(f, ": {}", self.kind)
    }
}

impl std::error::Error for DocumentError {}

/// All errors of a document; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct InvalidDocument {
    /// The errors, in the order of the document's sections.
    pub errors: Vec<DocumentError>,
}

impl InvalidDocument {
    pub(crate) fn one(path: &str, line: Option<u64>, kind: DocumentErrorKind) -> Self {
        Self { errors: vec![DocumentError { path: path.to_owned(), line, kind }] }
    }
}

/// What is wrong with a field of a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentErrorKind {
    /// The text is not YAML.
    #[error("the text is not valid YAML: {0}; correct it there")]
    Syntax(String),
    /// The document is empty, a list or a single value.
    #[error("the document has no fields; write fields such as `schema: 1`")]
    NotAnObject,
    /// No field has this name.
    #[error("unknown field `{field}`; {}", remedy_for_field(.closest.as_deref(), .known))]
    UnknownField {
        /// The name in the document.
        field: String,
        /// The known name that is closest in spelling.
        closest: Option<String>,
        /// All field names that are valid at this place.
        known: Vec<String>,
    },
    /// A required field is absent.
    #[error("the field `{0}` is missing; add it")]
    MissingField(String),
    /// The value has the wrong type.
    #[error("{0}; write a value of that type, and put quotes around text that looks like a number")]
    WrongType(String),
    /// The schema version is unknown.
    #[error("schema {0} is not known; write `schema: 1`")]
    UnknownSchema(u64),
    /// The list is empty but needs at least one element.
    #[error("the list is empty; write at least one {0}")]
    EmptyList(&'static str),
    /// The name has the wrong form.
    #[error(
        "`{0}` is not a name; write 1 to 64 lower-case letters, digits, `.`, `_` or `-`, \
         starting with a letter or a digit"
    )]
    InvalidName(String),
    /// Two elements have the same name.
    #[error("`{name}` is already used at {first}; use another name or remove one of the two")]
    Duplicate {
        /// The repeated name or value.
        name: String,
        /// Path of the first use.
        first: String,
    },
    /// No version of a model has a positive weight.
    #[error("every weight is 0; give at least one version a weight of 1 or more")]
    WeightsAllZero,
    /// No kind of endpoints serves the model.
    #[error(
        "no endpoint kind serves the model `{0}`; add it to `models` of an element of `endpoints`"
    )]
    NotServed(String),
    /// The model is not in the document.
    #[error("the model `{name}` is not in `models`; {}", remedy_for_model(.closest.as_deref()))]
    UnknownModel {
        /// The name in the document.
        name: String,
        /// The known model that is closest in spelling.
        closest: Option<String>,
    },
    /// A token digest has the wrong form.
    #[error("not a SHA-256 digest; write the digest of the token as 64 hexadecimal digits")]
    InvalidTokenDigest,
    /// A token digest is listed twice.
    #[error("the token is already listed at {0}; each token belongs to one workspace, once")]
    DuplicateToken(String),
    /// The number is outside its range.
    #[error("{value} is out of range; write a number from {min} to {max}")]
    OutOfRange {
        /// The value in the document.
        value: String,
        /// The least allowed value.
        min: u64,
        /// The greatest allowed value.
        max: u64,
    },
    /// The default deadline exceeds the longest one.
    #[error(
        "the default of {default_ms} ms is above max_ms; write at most {max_ms}, or raise max_ms"
    )]
    DefaultAboveMax {
        /// The default in the document, in milliseconds.
        default_ms: u64,
        /// The longest deadline in the document, in milliseconds.
        max_ms: u64,
    },
    /// The rate is not a positive finite number.
    #[error("{0} is not a rate; write a number of requests a second above 0, such as 12.5")]
    InvalidRate(String),
    /// The method is not an HTTP method in upper case.
    #[error("`{0}` is not a method; write one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS")]
    InvalidMethod(String),
    /// The prefix has the wrong form.
    #[error(
        "`{0}` is not a path prefix; write a path that starts with `/`, without query or spaces"
    )]
    InvalidPathPrefix(String),
    /// The objective is unknown.
    #[error("`{0}` is not an objective; write `skew` or `cost`")]
    UnknownObjective(String),
    /// A kind of endpoints has both `models` and `service`, or neither.
    #[error("an endpoint kind has either `models` or `service`; keep exactly one of them")]
    ModelsOrService,
    /// The field applies to plain services only.
    #[error("`{0}` applies to plain services only; remove it, or replace `models` by `service`")]
    ServiceOnly(&'static str),
}

fn remedy_for_field(closest: Option<&str>, known: &[String]) -> String {
    match closest {
        Some(name) => format!("did you mean `{name}`?"),
        None if known.is_empty() => "remove it".to_owned(),
        None => format!("write one of {}", known.join(", ")),
    }
}

fn remedy_for_model(closest: Option<&str>) -> String {
    match closest {
        Some(name) => format!("did you mean `{name}`?"),
        None => "add it there or remove it here".to_owned(),
    }
}

/// The candidate with the smallest edit distance to `name`. Candidates are ignored if the distance is
/// above a third of their length, or above 2 for short names.
pub(crate) fn closest<'a>(name: &str, candidates: impl Iterator<Item = &'a str>) -> Option<String> {
    candidates
        .map(|candidate| (strsim::damerau_levenshtein(name, candidate), candidate))
        .filter(|(distance, candidate)| *distance <= (candidate.len() / 3).max(2))
        .min()
        .map(|(_, candidate)| candidate.to_owned())
}
