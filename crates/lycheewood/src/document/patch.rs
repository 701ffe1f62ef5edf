//! Changes of a document as JSON merge patches (RFC 7396), and differences to show to operators.
//!
//! A merge patch replaces an array as a whole, so a change of one workspace would contain all of them.
//! Patches therefore apply to the keyed form of a document, in which a list of named elements is an
//! object from name to element: `{"workspaces": {"desk": {"weight": 2}}}`.

use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

/// A list of named elements, and the list of named elements that its elements contain, if any.
pub type KeyedList<'a> = (&'a str, Option<&'a str>);

const KEYED_LISTS: [KeyedList<'static>; 3] =
    [("models", Some("versions")), ("endpoints", None), ("workspaces", None)];

/// Why a patch cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// The patch is not an object.
    #[error("the patch is not an object; write an object with the fields that change")]
    NotObject,
    /// An element is not an object after the patch.
    #[error("`{0}` is not an object after the patch; write an object with the fields that change")]
    ElementNotObject(String),
    /// An element has a `name` field in addition to its key.
    #[error("`{0}` has a `name`; the key is the name, so remove the old key and add a new one")]
    NameInElement(String),
}

/// Applies a merge patch to the list form of a valid document and returns the list form of the
/// result, with named elements sorted by name. The result is not validated.
///
/// # Errors
///
/// When the patch is not an object, or leaves a named element that is not an object or has a `name`.
pub fn apply_patch(document: &Value, patch: &Value) -> Result<Value, PatchError> {
    if !patch.is_object() {
        return Err(PatchError::NotObject);
    }
    let mut keyed = to_keyed_form(document, &KEYED_LISTS);
    json_patch::merge(&mut keyed, patch);
    to_list_form(keyed)
}

/// The merge patch that turns one valid document into another, both in list form.
#[must_use]
pub fn patch_between(old: &Value, new: &Value) -> Value {
    merge_patch(&to_keyed_form(old, &KEYED_LISTS), &to_keyed_form(new, &KEYED_LISTS))
}

fn merge_patch(old: &Value, new: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (old, new) else { return new.clone() };
    let removed = old.keys().filter(|key| !new.contains_key(*key));
    let mut patch: Map<String, Value> = removed.map(|key| (key.clone(), Value::Null)).collect();
    for (key, value) in new {
        match old.get(key) {
            Some(former) if former == value => {}
            Some(former) => {
                patch.insert(key.clone(), merge_patch(former, value));
            }
            None => {
                patch.insert(key.clone(), value.clone());
            }
        }
    }
    Value::Object(patch)
}

fn to_keyed_form(document: &Value, lists: &[KeyedList<'_>]) -> Value {
    let mut document = document.clone();
    for &(list, inner) in lists {
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
        // A repeated name would hide an element; such a list stays a list.
        if by_name.insert(name, Value::Object(fields)).is_some() {
            return;
        }
    }
    *value = Value::Object(by_name);
}

fn to_list_form(mut document: Value) -> Result<Value, PatchError> {
    for (list, inner) in KEYED_LISTS {
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
    // A patch may replace the whole list with an array, which is in list form already.
    let Value::Object(by_name) = value else { return Ok(()) };
    // Sorted explicitly: the order of a serde_json map depends on its cargo feature `preserve_order`.
    let mut entries: Vec<(String, Value)> = std::mem::take(by_name).into_iter().collect();
    entries.sort_by(|(left, _), (right, _)| left.cmp(right));
    let mut elements = Vec::with_capacity(entries.len());
    for (name, element) in entries {
        let Value::Object(mut fields) = element else {
            return Err(PatchError::ElementNotObject(format!("{path}.{name}")));
        };
        if fields.insert("name".to_owned(), Value::String(name.clone())).is_some() {
            return Err(PatchError::NameInElement(format!("{path}.{name}")));
        }
        elements.push(Value::Object(fields));
    }
    *value = Value::Array(elements);
    Ok(())
}

/// One changed field between two documents.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path in the keyed form, such as `workspaces.desk.weight`.
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

/// The changed fields between two valid documents in list form, sorted by path. The order of named
/// elements is ignored.
#[must_use]
pub fn difference(old: &Value, new: &Value) -> Vec<Difference> {
    difference_of(old, new, &KEYED_LISTS)
}

/// The changed fields between two values, sorted by path. The order of the elements of `lists` is ignored where all of
/// them have a name and no two have the same.
#[must_use]
pub fn difference_of(old: &Value, new: &Value, lists: &[KeyedList<'_>]) -> Vec<Difference> {
    let (old, new) = (to_keyed_form(old, lists), to_keyed_form(new, lists));
    let mut differences = Vec::new();
    collect_differences(String::new(), Some(&old), Some(&new), &mut differences);
    differences.sort_by(|left, right| left.path.cmp(&right.path));
    differences
}

fn collect_differences(
    path: String,
    old: Option<&Value>,
    new: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    match (old, new) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let added = new.keys().filter(|key| !old.contains_key(*key));
            for key in old.keys().chain(added) {
                let dot = if path.is_empty() { "" } else { "." };
                collect_differences(
                    format!("{path}{dot}{key}"),
                    old.get(key),
                    new.get(key),
                    differences,
                );
            }
        }
        (old, new) if old == new => {}
        (old, new) => differences.push(Difference { path, old: old.cloned(), new: new.cloned() }),
    }
}
