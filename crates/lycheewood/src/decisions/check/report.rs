//! The result of a check.

use std::fmt;

use serde::Serialize;

use crate::decisions::check::{Finding, Severity};
use crate::document::lines::SourceLines;
use crate::document::patch::Difference;

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CheckReport {
    /// The findings, errors first.
    pub findings: Vec<Finding>,
    /// The changed fields from another version, if the configuration was compared with one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub difference: Option<Vec<Difference>>,
}

impl CheckReport {
    /// A report of findings without a comparison.
    #[must_use]
    pub fn new(mut findings: Vec<Finding>) -> Self {
        findings.sort_by_key(|finding| finding.severity != Severity::Error);
        Self { findings, difference: None }
    }

    /// Adds the lines of findings that have none yet.
    #[must_use]
    pub fn with_lines(mut self, lines: &SourceLines) -> Self {
        for finding in &mut self.findings {
            finding.line = finding.line.or_else(|| lines.line(&finding.path));
        }
        self
    }

    /// Adds the difference from another version, and marks the findings that the other version does not have.
    #[must_use]
    pub fn compared(mut self, former: &[Finding], difference: Vec<Difference>) -> Self {
        for finding in &mut self.findings {
            finding.is_new = Some(!former.iter().any(|other| finding.is_same(other)));
        }
        self.difference = Some(difference);
        self
    }

    /// The number of findings of a severity.
    #[must_use]
    pub fn count(&self, severity: Severity) -> usize {
        self.findings.iter().filter(|finding| finding.severity == severity).count()
    }

    /// Whether the configuration should not be published.
    #[must_use]
    pub fn is_refused(&self, denies_warnings: bool) -> bool {
        self.count(Severity::Error) > 0 || (denies_warnings && !self.findings.is_empty())
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        let (errors, warnings) = (self.count(Severity::Error), self.count(Severity::Warning));
        write!(f, "errors: {errors}, warnings: {warnings}")?;
        let Some(difference) = &self.difference else { return Ok(()) };
        let new = self.findings.iter().filter(|finding| finding.is_new == Some(true)).count();
        write!(f, ", new: {new}")?;
        if difference.is_empty() {
            return write!(f, "\nno difference");
        }
        difference.iter().try_for_each(|changed| write!(f, "\n{changed}"))
    }
}
