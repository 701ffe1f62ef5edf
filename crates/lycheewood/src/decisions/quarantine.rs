//! Requests that crash endpoints, folded from log stream `quarantine`.
//!
//! A request that was in flight at a crash is a suspect. A suspect runs only alone, and only one trial of
//! it at a time in the whole system: the trial is a record, and log order decides. A request is
//! quarantined when it crashes an endpoint alone, or when it was in flight at two crashes, which happens
//! when copies of it already ran elsewhere as the first report came. Hence:
//!
//! - After its reports are seen, a request starts nowhere if it was in flight at two crashes, and only
//!   alone if at one. It takes down at most two endpoints.
//!   The endpoint queues its report for every entry before the failed answer, and an entry counts the
//!   report before it passes the failure on. Another entry may still start a copy until its own copy of
//!   the report arrives.
//! - Once a quarantine ends by time, or on a version that it does not name, the request runs as a
//!   trial first. Each further period or version thus costs one endpoint at most.
//! - A suspect that completes its trial is cleared. Quarantine, trial and suspicion all end by time, so
//!   no innocent request is refused permanently, also while the log is down.
//!
//! A request that completes alone and crashes only at random is suspected afresh at each crash.

use std::collections::BTreeMap;

use crate::clock::Timestamp;
use crate::decisions::digest::Fingerprint;
use crate::ids::{AttemptId, Incarnation, Offset, VersionName};

pub(crate) mod record;

use record::{QUARANTINE_SCHEMA, QuarantineEntry, QuarantineRecord, ReportId, SuspectReport};

/// Bounds of the table. All processes must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// The most that two clocks differ, in milliseconds.
    pub clock_skew_ms: u64,
    /// The longest trial that counts, in milliseconds.
    pub max_trial_ms: u64,
    /// The longest quarantine that counts, in milliseconds.
    pub max_quarantine_ms: u64,
    /// The most suspects kept, and the most reports remembered. The ones that end first go first.
    pub max_cases: usize,
}

/// Whether and how a request may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// As usual.
    Run,
    /// Only as a trial: append a `Trial` record, fold up to it and ask again.
    NeedsTrial,
    /// Alone, as the trial that this attempt holds, with a deadline no later than this.
    RunAlone {
        /// The end of the trial, less the clock skew.
        latest_deadline: Timestamp,
    },
    /// Not now: it is quarantined, another attempt tries it, or its report has not reached the log.
    RefuseUntil(Timestamp),
}

#[derive(Clone, Debug)]
struct Trial {
    attempt: AttemptId,
    version: Option<VersionName>,
    until: Timestamp,
}

#[derive(Clone, Debug)]
struct Case {
    /// Crashes since the request was last cleared.
    crashes: u32,
    /// The versions that it may have crashed.
    versions: Vec<Option<VersionName>>,
    /// The versions on which it has completed alone since.
    cleared: Vec<Option<VersionName>>,
    refused_until: Option<Timestamp>,
    trial: Option<Trial>,
    /// When suspicion ends.
    ends: Timestamp,
}

/// Suspect and quarantined requests.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    settings: QuarantineSettings,
    cases: BTreeMap<Fingerprint, Case>,
    /// Reports that were counted, with the time until which a repetition is ignored.
    reports: BTreeMap<ReportId, Timestamp>,
    /// Requests named by an endpoint whose report has not been read from the log.
    warned: BTreeMap<(Fingerprint, ReportId), Timestamp>,
    next: Offset,
    log_time: Timestamp,
}

impl QuarantineTable {
    /// An empty table, to be folded from the log's first readable offset. The log must keep records for
    /// twice `max_quarantine_ms`, which is as long as a record has an effect.
    #[must_use]
    pub const fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            cases: BTreeMap::new(),
            reports: BTreeMap::new(),
            warned: BTreeMap::new(),
            next: Offset(0),
            log_time: Timestamp::from_unix_ms(0),
        }
    }

    /// The next offset to fold.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Number of suspects in the table, including those that endpoints named outside the log.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cases.len() + self.warned.len()
    }

    /// Whether the table has no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Folds the record at `offset`, which the log appended at `appended` by its own clock. Returns
    /// whether the record counted.
    pub fn fold(&mut self, offset: Offset, appended: Timestamp, payload: &str) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset.next();
        self.log_time = self.log_time.max(appended);
        self.expire();
        let Ok(record) = serde_json::from_str::<QuarantineRecord>(payload) else {
            return false;
        };
        record.schema <= QUARANTINE_SCHEMA && self.apply(record.entry)
    }

    /// Notes a report that came from the endpoint itself, before the log shows it. The requests are
    /// refused until the report is read from the log, or for `quarantine_ms` if it never gets there.
    pub fn warn(&mut self, report: &SuspectReport, now: Timestamp) {
        self.warned.retain(|_, until| *until > now);
        if self.reports.contains_key(&report.report) {
            return;
        }
        let until = now.plus_ms(self.quarantine_ms(report));
        for fingerprint in &report.fingerprints {
            self.warned.insert((*fingerprint, report.report), until);
        }
        shrink(&mut self.warned, self.settings.max_cases, |until| *until);
    }

    /// Whether a request may run on `version` now, as `attempt`.
    #[must_use]
    pub fn verdict(
        &self,
        fingerprint: &Fingerprint,
        version: Option<&VersionName>,
        attempt: AttemptId,
        now: Timestamp,
    ) -> QuarantineVerdict {
        if let Some(until) = self.warned_until(fingerprint).filter(|until| *until > now) {
            return QuarantineVerdict::RefuseUntil(until);
        }
        let Some(case) = self.cases.get(fingerprint).filter(|case| case.ends > now) else {
            return QuarantineVerdict::Run;
        };
        case.verdict(version, attempt, now, self.settings.clock_skew_ms)
    }

    fn warned_until(&self, fingerprint: &Fingerprint) -> Option<Timestamp> {
        let first = ReportId { incarnation: Incarnation(0), sequence: 0 };
        let reports = self.warned.range((*fingerprint, first)..);
        reports.take_while(|((f, _), _)| f == fingerprint).map(|(_, until)| *until).max()
    }

    fn apply(&mut self, entry: QuarantineEntry) -> bool {
        match entry {
            QuarantineEntry::Suspects(report) => self.suspect(&report),
            QuarantineEntry::Trial { fingerprint, attempt, version, duration_ms } => {
                let duration_ms = duration_ms.min(self.settings.max_trial_ms);
                let trial = Trial { attempt, version, until: self.log_time.plus_ms(duration_ms) };
                self.start_trial(&fingerprint, trial)
            }
            QuarantineEntry::Cleared { fingerprint, attempt } => self.clear(fingerprint, attempt),
            QuarantineEntry::Withdrawn { fingerprint, attempt } => {
                self.withdraw(&fingerprint, attempt)
            }
            QuarantineEntry::Unknown => false,
        }
    }

    fn suspect(&mut self, report: &SuspectReport) -> bool {
        let quarantine_ms = self.quarantine_ms(report);
        for fingerprint in &report.fingerprints {
            self.warned.remove(&(*fingerprint, report.report));
        }
        // A repetition may come as late as the case lasts.
        let remembered = self.log_time.plus_ms(quarantine_ms.saturating_mul(2));
        if self.reports.insert(report.report, remembered).is_some() {
            return false;
        }
        for fingerprint in &report.fingerprints {
            let case = self.cases.entry(*fingerprint).or_insert_with(Case::new);
            case.crash(report, quarantine_ms, self.log_time);
        }
        shrink(&mut self.cases, self.settings.max_cases, |case| case.ends);
        shrink(&mut self.reports, self.settings.max_cases, |until| *until);
        true
    }

    fn start_trial(&mut self, fingerprint: &Fingerprint, trial: Trial) -> bool {
        let Some(case) = self.cases.get_mut(fingerprint) else { return false };
        let verdict = case.verdict(trial.version.as_ref(), trial.attempt, self.log_time, 0);
        if verdict != QuarantineVerdict::NeedsTrial {
            return false;
        }
        case.trial = Some(trial);
        true
    }

    /// Clears the version of a trial. It counts only for the trial that is in force, or was last.
    fn clear(&mut self, fingerprint: Fingerprint, attempt: AttemptId) -> bool {
        let Some(case) = self.cases.get_mut(&fingerprint) else { return false };
        let Some(trial) = case.trial.take_if(|t| t.attempt == attempt) else { return false };
        if case.is_refused(trial.version.as_ref(), self.log_time) {
            return false;
        }
        case.crashes = 0;
        case.versions.retain(|version| *version != trial.version);
        case.cleared.push(trial.version);
        if case.versions.is_empty() {
            self.cases.remove(&fingerprint);
        }
        true
    }

    /// Ends a trial that never ran. Otherwise a suspect whose endpoint was busy waits for the trial's
    /// whole duration before the next one.
    fn withdraw(&mut self, fingerprint: &Fingerprint, attempt: AttemptId) -> bool {
        let case = self.cases.get_mut(fingerprint);
        case.is_some_and(|case| case.trial.take_if(|t| t.attempt == attempt).is_some())
    }

    fn quarantine_ms(&self, report: &SuspectReport) -> u64 {
        report.quarantine_ms.min(self.settings.max_quarantine_ms)
    }

    fn expire(&mut self) {
        let log_time = self.log_time;
        self.cases.retain(|_, case| case.ends > log_time);
        self.reports.retain(|_, until| *until > log_time);
    }
}

impl Case {
    const fn new() -> Self {
        Self {
            crashes: 0,
            versions: Vec::new(),
            cleared: Vec::new(),
            refused_until: None,
            trial: None,
            ends: Timestamp::from_unix_ms(0),
        }
    }

    fn crash(&mut self, report: &SuspectReport, quarantine_ms: u64, log_time: Timestamp) {
        self.crashes += 1;
        self.cleared.retain(|version| *version != report.version);
        if !self.versions.contains(&report.version) {
            self.versions.push(report.version.clone());
        }
        let alone = report.ran_alone && report.fingerprints.len() == 1;
        if alone || self.crashes >= 2 {
            self.refused_until = Some(log_time.plus_ms(quarantine_ms));
        }
        // Suspicion outlasts the quarantine, so that the request first runs as a trial afterwards.
        self.ends = log_time.plus_ms(quarantine_ms.saturating_mul(2));
    }

    fn is_refused(&self, version: Option<&VersionName>, now: Timestamp) -> bool {
        self.refused_until > Some(now) && self.versions.iter().any(|v| v.as_ref() == version)
    }

    fn verdict(
        &self,
        version: Option<&VersionName>,
        attempt: AttemptId,
        now: Timestamp,
        clock_skew_ms: u64,
    ) -> QuarantineVerdict {
        if self.cleared.iter().any(|v| v.as_ref() == version) {
            return QuarantineVerdict::Run;
        }
        if let Some(until) = self.refused_until.filter(|_| self.is_refused(version, now)) {
            return QuarantineVerdict::RefuseUntil(until);
        }
        match self.trial.as_ref().filter(|trial| trial.until > now) {
            None => QuarantineVerdict::NeedsTrial,
            Some(trial) if trial.attempt == attempt && trial.version.as_ref() == version => {
                let latest_ms = trial.until.unix_ms().saturating_sub(clock_skew_ms);
                QuarantineVerdict::RunAlone { latest_deadline: Timestamp::from_unix_ms(latest_ms) }
            }
            Some(trial) => QuarantineVerdict::RefuseUntil(trial.until),
        }
    }
}

/// Removes the entries that end first until at most `max` are left.
fn shrink<K: Ord + Copy, V>(map: &mut BTreeMap<K, V>, max: usize, ends: impl Fn(&V) -> Timestamp) {
    while map.len() > max {
        let Some(first) = map.iter().min_by_key(|(_, v)| ends(v)).map(|(k, _)| *k) else { return };
        map.remove(&first);
    }
}
