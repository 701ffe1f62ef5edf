//! Demand of all entries, from log stream `demand`, and the shares of a rate limit that follow from it.
//!
//! Each entry appends the request rate of its callers by workspace. All entries read the same reports and
//! compute the same shares, so they need no further coordination. While entries have read different reports,
//! for one report interval, their shares may add up to more than the limit. Without the log, the last shares expire, and each
//! entry uses the limit divided by the number of entries.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::limits::RateGrant;
use crate::decisions::shares::{EntryDemand, SharePolicy, allocate_shares};
use crate::ids::{Incarnation, WorkspaceName};

/// Schema of the records that this build reads and writes.
const SCHEMA: u32 = 1;

/// The request rate of one entry's callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    schema: u32,
    /// Incarnation of the entry that reports.
    pub entry: Incarnation,
    /// Requests per second by workspace, including refused ones.
    pub offered_per_s: BTreeMap<WorkspaceName, f64>,
}

impl DemandReport {
    /// Creates a report with the schema of this build.
    #[must_use]
    pub const fn new(entry: Incarnation, offered_per_s: BTreeMap<WorkspaceName, f64>) -> Self {
        Self { schema: SCHEMA, entry, offered_per_s }
    }

    /// The payload for the log.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Serialization fails only if a `Serialize` implementation does, and those of the fields do not.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The latest report of each entry.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    reports: BTreeMap<Incarnation, (Timestamp, DemandReport)>,
}

impl DemandTable {
    /// Applies a record that was read at `now`, and discards reports read `keep_ms` ago or earlier. Records
    /// that cannot be decoded or have another schema are ignored.
    pub fn apply(&mut self, payload: &str, keep_ms: u64, now: Timestamp) {
        self.reports.retain(|_, (read, _)| now.ms_since(*read) < keep_ms);
        let Ok(report) = serde_json::from_str::<DemandReport>(payload) else { return };
        if report.schema == SCHEMA {
            self.reports.insert(report.entry, (now, report));
        }
    }

    /// The share of `limit_per_s` that the entry `own` may use, or `None` if this table has no fresh report of
    /// that entry.
    #[must_use]
    pub fn share(
        &self,
        policy: &SharePolicy,
        workspace: &WorkspaceName,
        limit_per_s: f64,
        own: Incarnation,
        now: Timestamp,
    ) -> Option<RateGrant> {
        let is_fresh = |read: Timestamp| now.ms_since(read) < policy.grant_ms;
        let fresh_reports: Vec<(&Incarnation, &(Timestamp, DemandReport))> =
            self.reports.iter().filter(|(_, (read, _))| is_fresh(*read)).collect();
        let index = fresh_reports.iter().position(|(entry, _)| **entry == own)?;
        let entries: Vec<EntryDemand> = fresh_reports
            .iter()
            .map(|(_, (_, report))| EntryDemand {
                demand_per_s: report.offered_per_s.get(workspace).copied().unwrap_or(0.0),
                last_grant: None,
                reachable: true,
            })
            .collect();
        // A share expires with the report of its entry.
        let (read, _) = fresh_reports[index].1;
        let grant = allocate_shares(policy, limit_per_s, &entries, now)[index]?;
        Some(RateGrant { per_s: grant.per_s, expires: read.plus_ms(policy.grant_ms) })
    }
}
