//! Changes of a document as JSON merge patches (RFC 7396), and differences for operators.
//!
//! A merge patch replaces an array as a whole, so a change of one workspace would carry all of them.
//! Patches therefore apply to the keyed form of a document, in which a list of named elements is an
//! object from name to element: `{"workspaces": {"desk": {"weight": 2}}}`.

use std::fmt;

use serde_json::{Map, Value};

/// Lists of named elements, and such lists inside their elements.
const KEYED: [(&str, Option<&str>); 3] =
    [("models", Some("versions")), ("endpoints", None), ("workspaces", None)];

/// Why a patch yields no document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// The patch is not an object.
    #[error("the patch is not an object; write an object with the fields that change")]
    NotObject,
    /// An element is not an object.
    #[error("`{0}` is not an object after the patch; write an object with the fields that change")]
    Element(String),
    /// An element holds a name beside its key.
    #[error("`{0}` has a `name`; the key is the name, so remove the old key and add a new one")]
    Renamed(String),
}

/// Applies a merge patch to the list form of a valid document and returns the list form of the
/// result, with named elements sorted by name. The result is not checked.
///
/// # Errors
///
/// When the patch leaves no well-formed element where one is needed.
pub fn apply_patch(document: &Value, patch: &Value) -> Result<Value, PatchError> {
    if !patch.is_object() {
        return Err(PatchError::NotObject);
    }
    let mut keyed = keyed(document);
    json_patch::merge(&mut keyed, patch);
    listed(keyed)
}

/// The merge patch that turns one valid document into another, both in list form.
#[must_use]
pub fn patch_between(old: &Value, new: &Value) -> Value {
    between(&keyed(old), &keyed(new))
}

fn between(old: &Value, new: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (old, new) else { return new.clone() };
    let removed = old.keys().filter(|key| !new.contains_key(*key));
    let mut patch: Map<String, Value> = removed.map(|key| (key.clone(), Value::Null)).collect();
    for (key, value) in new {
        match old.get(key) {
            Some(former) if former == value => {}
            Some(former) => {
                patch.insert(key.clone(), between(former, value));
            }
            None => {
                patch.insert(key.clone(), value.clone());
            }
        }
    }
    Value::Object(patch)
}

fn keyed(document: &Value) -> Value {
    let mut document = document.clone();
    for (list, inner) in KEYED {
        key_list(&mut document, list);
        if let (Some(inner), Some(Value::Object(elements))) = (inner, document.get_mut(list)) {
            elements.values_mut().for_each(|element| key_list(element, inner));
        }
    }
    document
}

fn key_list(parent: &mut Value, list: &str) {
    let Some(value) = parent.get_mut(list) else { return };
    let Value::Array(elements) = value else { return };
    let mut by_name = Map::new();
    for element in elements.iter_mut() {
        let Value::Object(fields) = element else { return };
        let Some(Value::String(name)) = fields.get("name").cloned() else { return };
        let mut fields = fields.clone();
        fields.remove("name");
        by_name.insert(name, Value::Object(fields));
    }
    *value = Value::Object(by_name);
}

fn listed(mut document: Value) -> Result<Value, PatchError> {
    for (list, inner) in KEYED {
        unkey_list(&mut document, list, list)?;
        if let (Some(inner), Some(Value::Array(elements))) = (inner, document.get_mut(list)) {
            for (index, element) in elements.iter_mut().enumerate() {
                unkey_list(element, inner, &format!("{list}[{index}].{inner}"))?;
            }
        }
    }
    Ok(document)
}

fn unkey_list(parent: &mut Value, list: &str, path: &str) -> Result<(), PatchError> {
    let Some(value) = parent.get_mut(list) else { return Ok(()) };
    // A patch may also replace the whole list by an array.
    let Value::Object(by_name) = value else { return Ok(()) };
    // Sorts here, since the order of serde_json's map depends on a feature of the build.
    let mut entries: Vec<(String, Value)> = std::mem::take(by_name).into_iter().collect();
    entries.sort_by(|(left, _), (right, _)| left.cmp(right));
    let mut elements = Vec::with_capacity(entries.len());
    for (name, element) in entries {
        let Value::Object(mut fields) = element else {
            return Err(PatchError::Element(format!("{path}.{name}")));
        };
        if fields.insert("name".to_owned(), Value::String(name.clone())).is_some() {
            return Err(PatchError::Renamed(format!("{path}.{name}")));
        }
        elements.push(Value::Object(fields));
    }
    *value = Value::Array(elements);
    Ok(())
}

/// One changed field between two documents.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Path by names, such as `workspaces.desk.weight`.
    pub path: String,
    /// The former value, unless the field was absent.
    pub old: Option<Value>,
    /// The new value, unless the field is absent now.
    pub new: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.path),
            (None, Some(new)) => write!(f, "+ {}: {new}", self.path),
            (Some(old), None) => write!(f, "- {}: {old}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// The changed fields between two valid documents in list form, by path. The order of named
/// elements has no meaning and makes no difference.
#[must_use]
pub fn difference(old: &Value, new: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    collect(String::new(), Some(&keyed(old)), Some(&keyed(new)), &mut found);
    found.sort_by(|left, right| left.path.cmp(&right.path));
    found
}

fn collect(path: String, old: Option<&Value>, new: Option<&Value>, found: &mut Vec<Difference>) {
    match (old, new) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let added = new.keys().filter(|key| !old.contains_key(*key));
            for key in old.keys().chain(added) {
                let dot = if path.is_empty() { "" } else { "." };
                collect(format!("{path}{dot}{key}"), old.get(key), new.get(key), found);
            }
        }
        (old, new) if old == new => {}
        (old, new) => found.push(Difference { path, old: old.cloned(), new: new.cloned() }),
    }
}
