//! Quarantine of requests that crash endpoints, by the records of log stream `quarantine`.
//!
//! A request that was in flight at a crash is a suspect. A suspect runs only as a trial: alone on its
//! endpoint, and in one place in the whole system. A trial is a record, so log order decides which one
//! runs. A request is quarantined when it crashes an endpoint alone, or when it was in flight at two
//! crashes, which happens if copies of it already ran elsewhere when the first report arrived. As a result:
//!
//! - Once its reports have arrived, a request that was in flight at two crashes starts nowhere, and one that
//!   was in flight at a single crash starts only alone. It crashes at most two endpoints.
//!   The endpoint queues its report to every entry before the failed answer, and an entry applies the
//!   report before it forwards the failure. Another entry may still start a copy until its own copy of
//!   the report arrives.
//! - When a quarantine expires, or on a version that it does not name, the request first runs as a trial.
//!   Each further quarantine period or version therefore crashes at most one endpoint.
//! - A suspect that completes its trial is cleared. Quarantine, trial and suspicion all expire, so no
//!   innocent request is refused permanently, even while the log is down.
//!
//! Requests may also share a part of their prompt that crashes endpoints. A part that was in flight at a crash, in
//! a request without output, is refused after the first crash already: each of the many requests with it would
//! be a suspect of its own. A part is no suspect while endpoints send output for other requests with it.
//!
//! Gateways have no log to order their entries. Each tells the others directly, and each applies the entries in
//! the order of arrival: two gateways that have not heard of each other may start a trial of the same request at
//! the same time, which costs one more crash. A gateway does not report a request that an endpoint has completed
//! lately, and says so when another one reports it.
//!
//! A request that crashes endpoints only at random and completes its trials becomes a suspect again at
//! each crash.

use std::collections::BTreeMap;

use crate::clock::Timestamp;
use crate::decisions::digest::Fingerprint;
use crate::ids::{AttemptId, Incarnation, Offset, VersionName};

pub(crate) mod completions;
pub(crate) mod record;

use record::{QUARANTINE_SCHEMA, QuarantineEntry, QuarantineRecord, ReportId, SuspectReport};

/// Limits of the table. All processes must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Maximum difference between two clocks, in milliseconds.
    pub clock_skew_ms: u64,
    /// Maximum duration of a trial, in milliseconds. Longer ones are capped at it.
    pub max_trial_ms: u64,
    /// Maximum duration of a quarantine, in milliseconds. Longer ones are capped at it.
    pub max_quarantine_ms: u64,
    /// Maximum number of suspects, and of reports, in the table. Those that expire first are evicted first.
    pub max_suspects: usize,
}

/// Decision whether and how a request may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// Run without restriction.
    Run,
    /// Run only as a trial: append a `Trial` record, apply the stream up to it and ask again.
    NeedsTrial,
    /// Run alone, as the trial of this attempt.
    RunAlone {
        /// Latest deadline that the attempt may have: the end of the trial, less the clock skew.
        latest_deadline: Timestamp,
    },
    /// Refuse until this time: the request is quarantined, another attempt runs its trial, or a report of it
    /// has not reached the log.
    RefuseUntil(Timestamp),
}

impl QuarantineDecision {
    /// The stricter of two decisions.
    fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::RefuseUntil(a), Self::RefuseUntil(b)) => Self::RefuseUntil(a.max(b)),
            (refusal @ Self::RefuseUntil(_), _) | (_, refusal @ Self::RefuseUntil(_)) => refusal,
            (Self::NeedsTrial, _) | (_, Self::NeedsTrial) => Self::NeedsTrial,
            (Self::RunAlone { latest_deadline: a }, Self::RunAlone { latest_deadline: b }) => {
                Self::RunAlone { latest_deadline: a.min(b) }
            }
            (alone @ Self::RunAlone { .. }, Self::Run)
            | (Self::Run, alone @ Self::RunAlone { .. }) => alone,
            (Self::Run, Self::Run) => Self::Run,
        }
    }
}

/// Divisor of the quarantine for which a prompt part is refused after its first crash. A sound part that was in flight
/// at an unrelated crash is tried again sooner than one that was at two.
const FIRST_PART_QUARANTINE_DIVISOR: u64 = 2;

/// What a fingerprint stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// A whole request. It may run again as a trial at once, because it comes back at most a few times.
    Request,
    /// A prompt part that requests share. Requests with it keep coming, so it is refused after the first crash.
    PromptPart,
}

#[derive(Clone, Debug)]
struct Trial {
    attempt: AttemptId,
    version: Option<VersionName>,
    until: Timestamp,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Number of crashes since the request was last cleared.
    crashes: u32,
    /// Versions that the request may have crashed.
    versions: Vec<Option<VersionName>>,
    /// Versions on which the request has completed a trial since their last crash.
    cleared: Vec<Option<VersionName>>,
    refused_until: Option<Timestamp>,
    trial: Option<Trial>,
    suspected_until: Timestamp,
}

/// Suspect and quarantined requests.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    settings: QuarantineSettings,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Reports that were applied, by request, with the time until which a copy is ignored. Several gateways may
    /// report the same crash, each with its own requests.
    reports: BTreeMap<(Fingerprint, ReportId), Timestamp>,
    /// Requests in reports that came directly from an endpoint and were not read from the log yet, with
    /// the time until which they are refused.
    direct_reports: BTreeMap<(Fingerprint, ReportId), Timestamp>,
    next: Offset,
    log_time: Timestamp,
}

impl QuarantineTable {
    /// Creates an empty table. Apply records from the log's first readable offset. The log must keep
    /// records for twice `max_quarantine_ms`, since a record has an effect for that long.
    #[must_use]
    pub const fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            suspects: BTreeMap::new(),
            reports: BTreeMap::new(),
            direct_reports: BTreeMap::new(),
            next: Offset(0),
            log_time: Timestamp::from_unix_ms(0),
        }
    }

    /// Offset of the next record to apply.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Number of suspects, including those in direct reports that were not read from the log yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len() + self.direct_reports.len()
    }

    /// Whether the table has no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies the record at `offset`, which the log appended at `appended` by its own clock. Returns
    /// whether the record had an effect.
    pub fn apply(&mut self, offset: Offset, appended: Timestamp, payload: &str) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset.next();
        self.log_time = self.log_time.max(appended);
        self.expire();
        let Ok(record) = serde_json::from_str::<QuarantineRecord>(payload) else {
            return false;
        };
        record.schema <= QUARANTINE_SCHEMA && self.apply_entry(record.entry)
    }

    /// Applies an entry that did not come from the log, in the order of arrival. Returns whether it had an effect.
    pub fn apply_unordered(&mut self, entry: QuarantineEntry, now: Timestamp) -> bool {
        self.expire_at(now);
        self.apply_entry(entry)
    }

    /// Whether a request is suspect or quarantined.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// Applies a report that came directly from the endpoint, before it is read from the log. Its requests
    /// are refused until the report is read from the log, or for `quarantine_ms` if it never is.
    pub fn add_direct_report(&mut self, report: &SuspectReport, now: Timestamp) {
        self.direct_reports.retain(|_, until| *until > now);
        let until = now.plus_ms(self.quarantine_ms(report));
        let is_new = |f: &&Fingerprint| !self.reports.contains_key(&(**f, report.report));
        for fingerprint in report.fingerprints.iter().filter(is_new) {
            self.direct_reports.insert((*fingerprint, report.report), until);
        }
        evict_earliest(&mut self.direct_reports, self.settings.max_suspects, |until| *until);
    }

    /// Decides whether `attempt` may run a request on `version` now.
    #[must_use]
    pub fn decide(
        &self,
        fingerprint: &Fingerprint,
        version: Option<&VersionName>,
        attempt: AttemptId,
        now: Timestamp,
    ) -> QuarantineDecision {
        if let Some(until) = self.direct_report_until(fingerprint).filter(|until| *until > now) {
            return QuarantineDecision::RefuseUntil(until);
        }
        let Some(suspect) = self.suspects.get(fingerprint).filter(|s| s.suspected_until > now)
        else {
            return QuarantineDecision::Run;
        };
        suspect.decide(version, attempt, now, self.settings.clock_skew_ms)
    }

    /// Decides whether `attempt` may run a request with these fingerprints, its own and those of its prompt parts.
    /// The strictest decision counts.
    #[must_use]
    pub fn decide_all(
        &self,
        fingerprints: &[Fingerprint],
        version: Option<&VersionName>,
        attempt: AttemptId,
        now: Timestamp,
    ) -> QuarantineDecision {
        let decisions = fingerprints.iter().map(|f| self.decide(f, version, attempt, now));
        decisions.fold(QuarantineDecision::Run, QuarantineDecision::stricter)
    }

    /// When the trials of other attempts end that alone keep `attempt` from running a request with these fingerprints.
    /// `None` if it may run, or if it is refused for another reason.
    #[must_use]
    pub fn trial_end(
        &self,
        fingerprints: &[Fingerprint],
        version: Option<&VersionName>,
        attempt: AttemptId,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let mut end = None;
        for fingerprint in fingerprints {
            let decision = self.decide(fingerprint, version, attempt, now);
            let QuarantineDecision::RefuseUntil(until) = decision else { continue };
            let is_reported =
                self.direct_report_until(fingerprint).is_some_and(|until| until > now);
            let suspect = self.suspects.get(fingerprint);
            if is_reported || suspect.is_none_or(|suspect| suspect.is_refused(version, now)) {
                return None;
            }
            end = end.max(Some(until));
        }
        end
    }

    fn direct_report_until(&self, fingerprint: &Fingerprint) -> Option<Timestamp> {
        let first = ReportId { incarnation: Incarnation(0), sequence: 0 };
        let reports = self.direct_reports.range((*fingerprint, first)..);
        reports.take_while(|((f, _), _)| f == fingerprint).map(|(_, until)| *until).max()
    }

    fn apply_entry(&mut self, entry: QuarantineEntry) -> bool {
        match entry {
            QuarantineEntry::Suspects(report) => self.apply_report(&report),
            QuarantineEntry::Trial { fingerprint, attempt, version, duration_ms } => {
                let duration_ms = duration_ms.min(self.settings.max_trial_ms);
                let trial = Trial { attempt, version, until: self.log_time.plus_ms(duration_ms) };
                self.start_trial(&fingerprint, trial)
            }
            QuarantineEntry::Cleared { fingerprint, attempt } => self.clear(fingerprint, attempt),
            QuarantineEntry::Withdrawn { fingerprint, attempt } => {
                self.withdraw(&fingerprint, attempt)
            }
            QuarantineEntry::Completed { fingerprint } => {
                self.suspects.remove(&fingerprint).is_some()
            }
            QuarantineEntry::Unknown => false,
        }
    }

    fn apply_report(&mut self, report: &SuspectReport) -> bool {
        let quarantine_ms = self.quarantine_ms(report);
        for fingerprint in &report.fingerprints {
            self.direct_reports.remove(&(*fingerprint, report.report));
        }
        // A copy of the report may arrive for as long as its requests stay suspects.
        let expires_at = self.log_time.plus_ms(quarantine_ms.saturating_mul(2));
        let mut is_new = false;
        let requests = report.fingerprints.iter().map(|fingerprint| (fingerprint, Scope::Request));
        let parts = report.prompt_parts.iter().map(|fingerprint| (fingerprint, Scope::PromptPart));
        for (fingerprint, scope) in requests.chain(parts) {
            if self.reports.insert((*fingerprint, report.report), expires_at).is_some() {
                continue;
            }
            is_new = true;
            let suspect = self.suspects.entry(*fingerprint).or_insert_with(Suspect::new);
            suspect.record_crash(report, scope, quarantine_ms, self.log_time);
        }
        evict_earliest(&mut self.suspects, self.settings.max_suspects, |s| s.suspected_until);
        evict_earliest(&mut self.reports, self.settings.max_suspects, |until| *until);
        is_new
    }

    fn start_trial(&mut self, fingerprint: &Fingerprint, trial: Trial) -> bool {
        let Some(suspect) = self.suspects.get_mut(fingerprint) else { return false };
        let decision = suspect.decide(trial.version.as_ref(), trial.attempt, self.log_time, 0);
        if decision != QuarantineDecision::NeedsTrial {
            return false;
        }
        suspect.trial = Some(trial);
        true
    }

    /// Clears the version of a trial. Only the latest trial of the request can be cleared, even after its end.
    fn clear(&mut self, fingerprint: Fingerprint, attempt: AttemptId) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        let Some(trial) = suspect.trial.take_if(|t| t.attempt == attempt) else { return false };
        if suspect.is_refused(trial.version.as_ref(), self.log_time) {
            return false;
        }
        suspect.crashes = 0;
        suspect.versions.retain(|version| *version != trial.version);
        suspect.cleared.push(trial.version);
        if suspect.versions.is_empty() {
            self.suspects.remove(&fingerprint);
        }
        true
    }

    /// Ends a trial that never ran. Otherwise a suspect whose endpoint was busy could not start the next
    /// trial until this one expires.
    fn withdraw(&mut self, fingerprint: &Fingerprint, attempt: AttemptId) -> bool {
        let suspect = self.suspects.get_mut(fingerprint);
        suspect.is_some_and(|suspect| suspect.trial.take_if(|t| t.attempt == attempt).is_some())
    }

    fn quarantine_ms(&self, report: &SuspectReport) -> u64 {
        report.quarantine_ms.min(self.settings.max_quarantine_ms)
    }

    /// Removes suspects whose time is over.
    pub fn expire_at(&mut self, now: Timestamp) {
        self.log_time = self.log_time.max(now);
        self.expire();
    }

    fn expire(&mut self) {
        let log_time = self.log_time;
        self.suspects.retain(|_, suspect| suspect.suspected_until > log_time);
        self.reports.retain(|_, until| *until > log_time);
    }
}

impl Suspect {
    const fn new() -> Self {
        Self {
            crashes: 0,
            versions: Vec::new(),
            cleared: Vec::new(),
            refused_until: None,
            trial: None,
            suspected_until: Timestamp::from_unix_ms(0),
        }
    }

    fn record_crash(
        &mut self,
        report: &SuspectReport,
        scope: Scope,
        quarantine_ms: u64,
        log_time: Timestamp,
    ) {
        self.crashes += 1;
        self.cleared.retain(|version| *version != report.version);
        if !self.versions.contains(&report.version) {
            self.versions.push(report.version.clone());
        }
        let alone = report.ran_alone && report.fingerprints.len() == 1;
        if alone || self.crashes >= 2 {
            self.refused_until = Some(log_time.plus_ms(quarantine_ms));
        } else if scope == Scope::PromptPart {
            self.refused_until =
                Some(log_time.plus_ms(quarantine_ms / FIRST_PART_QUARANTINE_DIVISOR));
        }
        // Suspicion outlasts the quarantine, so that the request must pass a trial afterwards.
        self.suspected_until = log_time.plus_ms(quarantine_ms.saturating_mul(2));
    }

    fn is_refused(&self, version: Option<&VersionName>, now: Timestamp) -> bool {
        self.refused_until > Some(now) && self.versions.iter().any(|v| v.as_ref() == version)
    }

    fn decide(
        &self,
        version: Option<&VersionName>,
        attempt: AttemptId,
        now: Timestamp,
        clock_skew_ms: u64,
    ) -> QuarantineDecision {
        if self.cleared.iter().any(|v| v.as_ref() == version) {
            return QuarantineDecision::Run;
        }
        if let Some(until) = self.refused_until.filter(|_| self.is_refused(version, now)) {
            return QuarantineDecision::RefuseUntil(until);
        }
        match self.trial.as_ref().filter(|trial| trial.until > now) {
            None => QuarantineDecision::NeedsTrial,
            Some(trial) if trial.attempt == attempt && trial.version.as_ref() == version => {
                let latest_ms = trial.until.unix_ms().saturating_sub(clock_skew_ms);
                QuarantineDecision::RunAlone { latest_deadline: Timestamp::from_unix_ms(latest_ms) }
            }
            Some(trial) => QuarantineDecision::RefuseUntil(trial.until),
        }
    }
}

/// Evicts the entries with the earliest end until at most `max` are left.
fn evict_earliest<K: Ord + Copy, V>(
    map: &mut BTreeMap<K, V>,
    max: usize,
    ends: impl Fn(&V) -> Timestamp,
) {
    while map.len() > max {
        let Some(first) = map.iter().min_by_key(|(_, v)| ends(v)).map(|(k, _)| *k) else { return };
        map.remove(&first);
    }
}
