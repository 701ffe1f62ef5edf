//! Findings of a document.

use crate::decisions::check::place::Place;
use crate::decisions::check::{CheckReport, Finding, FindingKind, decode_text};
use crate::document::checked::{CallPattern, Document, EndpointKind, EndpointRole, Model};
use crate::document::lines::SourceLines;
use crate::document::raw::RawDocument;

/// The findings of a document in YAML, and the document if it is valid.
#[must_use]
pub fn check_yaml(bytes: &[u8]) -> (CheckReport, Option<RawDocument>) {
    let text = match decode_text(bytes) {
        Ok(text) => text,
        Err(finding) => return (CheckReport::new(vec![finding]), None),
    };
    match RawDocument::from_yaml(text) {
        Ok((raw, document)) => {
            let report = CheckReport::new(check_document(&document));
            (report.with_lines(&SourceLines::of(text)), Some(raw))
        }
        Err(invalid) => {
            (CheckReport::new(invalid.errors.iter().map(Finding::from).collect()), None)
        }
    }
}

/// The warnings of a valid document, in the order of its fields.
#[must_use]
pub fn check_document(document: &Document) -> Vec<Finding> {
    let root = Place::root();
    let mut findings = Vec::new();
    for (index, model) in document.models.iter().enumerate() {
        let place = root.element("models", index, model.name.as_str());
        check_versions(&place, model, &mut findings);
    }
    for (index, kind) in document.endpoints.iter().enumerate() {
        let place = root.element("endpoints", index, kind.name.as_str());
        check_patterns(&place, kind, &mut findings);
    }
    findings
}

fn check_versions(model_place: &Place, model: &Model, findings: &mut Vec<Finding>) {
    let unweighted = model.versions.iter().enumerate().filter(|(_, version)| version.weight == 0);
    for (index, version) in unweighted {
        let name = version.name.as_str();
        let place = model_place.element("versions", index, name).field("weight");
        findings.push(Finding::warning(place, &FindingKind::VersionWithoutWeight(name.to_owned())));
    }
}

fn check_patterns(kind_place: &Place, kind: &EndpointKind, findings: &mut Vec<Finding>) {
    let EndpointRole::Service { non_idempotent: patterns, .. } = &kind.role else { return };
    for (index, pattern) in patterns.iter().enumerate() {
        // A valid document has no pattern twice, so no two cover each other.
        let covering = patterns.iter().find(|other| *other != pattern && covers(other, pattern));
        if let Some(by) = covering {
            let name = show(pattern);
            let place = kind_place.element("non_idempotent", index, &name);
            let kind = FindingKind::CoveredPattern { covered: name, by: show(by) };
            findings.push(Finding::warning(place, &kind));
        }
    }
}

/// Prefixes compare text, as in `EndpointKind::is_non_idempotent`.
fn covers(pattern: &CallPattern, other: &CallPattern) -> bool {
    pattern.method == other.method && other.path_prefix.starts_with(&pattern.path_prefix)
}

fn show(pattern: &CallPattern) -> String {
    format!("{} {}", pattern.method, pattern.path_prefix)
}
