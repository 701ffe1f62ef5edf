//! Demand of all entries, folded from log stream `demand`, and the share of a limit that follows.
//!
//! Each entry appends what its callers offer for each workspace. All entries fold the same reports and
//! compute the same shares, so none asks another one. Entries that have folded different reports may
//! hold shares that overlap for one report interval; without the log, shares fall back to the limit
//! divided by the number of entries when the last ones expire.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::decisions::limits::Grant;
use crate::decisions::shares::{EntryDemand, SharePolicy, allocate_shares};
use crate::ids::{Incarnation, WorkspaceName};

/// Schema of the records that this build reads and writes.
const SCHEMA: u32 = 1;

/// What one entry's callers offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    schema: u32,
    /// The entry's process.
    pub entry: Incarnation,
    /// Requests a second by workspace, including refused ones.
    pub offered_per_s: BTreeMap<WorkspaceName, f64>,
}

impl DemandReport {
    /// A report of this build's schema.
    #[must_use]
    pub const fn new(entry: Incarnation, offered_per_s: BTreeMap<WorkspaceName, f64>) -> Self {
        Self { schema: SCHEMA, entry, offered_per_s }
    }

    /// The payload for the log.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Serialising to a string fails only when a type's `Serialize` does, and none of these can.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The latest reports of all entries.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    reports: BTreeMap<Incarnation, (Timestamp, DemandReport)>,
}

impl DemandTable {
    /// Folds a record that was read at `now`. Reports older than `keep_ms` are forgotten.
    pub fn apply(&mut self, payload: &str, keep_ms: u64, now: Timestamp) {
        self.reports.retain(|_, (read, _)| now.ms_since(*read) < keep_ms);
        let Ok(report) = serde_json::from_str::<DemandReport>(payload) else { return };
        if report.schema == SCHEMA {
            self.reports.insert(report.entry, (now, report));
        }
    }

    /// The share of `limit_per_s` that the entry `own` may use, or `None` when its own report has not
    /// come back from the log lately.
    #[must_use]
    pub fn share(
        &self,
        policy: &SharePolicy,
        workspace: &WorkspaceName,
        limit_per_s: f64,
        own: Incarnation,
        now: Timestamp,
    ) -> Option<Grant> {
        let fresh = |read: Timestamp| now.ms_since(read) < policy.grant_ms;
        let present: Vec<(&Incarnation, &(Timestamp, DemandReport))> =
            self.reports.iter().filter(|(_, (read, _))| fresh(*read)).collect();
        let index = present.iter().position(|(entry, _)| **entry == own)?;
        let entries: Vec<EntryDemand> = present
            .iter()
            .map(|(_, (_, report))| EntryDemand {
                demand_per_s: report.offered_per_s.get(workspace).copied().unwrap_or(0.0),
                last_grant: None,
                reachable: true,
            })
            .collect();
        // A share ends with the report that it stands on.
        let (read, _) = present[index].1;
        let grant = allocate_shares(policy, limit_per_s, &entries, now)[index]?;
        Some(Grant { per_s: grant.per_s, expires: read.plus_ms(policy.grant_ms) })
    }
}
