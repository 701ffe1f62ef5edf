//! Random simulation of entries and endpoints that run the library's decisions on a simulated log and
//! network.

mod endpoints;
mod entries;
mod ops;
mod values;

use std::collections::{BTreeMap, BTreeSet};

use lycheewood::{
    AbandonedClaim, Attempt, AttemptId, AttemptPlanned, AttemptTable, Claim, ClaimBatch,
    ClaimEntry, ClaimGranted, ClaimHolder, ClaimKey, ClaimSent, ClaimSettings, ClaimTable,
    DispatchPermit, Incarnation, Offset, RecoveryReply, RequestKey, Start, Timestamp,
};
use proptest::prelude::*;

pub(crate) use ops::{Action, AppendOutcome, Op, op};
pub(crate) use values::{claim_key, key, record, start};

pub(crate) const SETTINGS: ClaimSettings =
    ClaimSettings { key_window_ms: 60_000, clock_skew_ms: 1_000, max_keys: 64 };
const MAX_DEADLINE_MS: u64 = 5_000;
/// At most half of the allowed skew to either side of the true time, so that two clocks differ by no more
/// than the allowed skew.
const SKEWS_MS: [i64; 3] = [-500, 0, 500];

enum Stage {
    Sent(Claim<ClaimSent>, Attempt<AttemptPlanned>),
    Granted(Claim<ClaimGranted>, Attempt<AttemptPlanned>),
    Held(ClaimHolder, RecoveryReply),
}

struct PendingRequest {
    key: ClaimKey,
    deadline: Timestamp,
    stage: Stage,
}

struct Entry {
    incarnation: Incarnation,
    sequence: u64,
    table: ClaimTable,
    pending_requests: Vec<PendingRequest>,
    abandoned: Vec<AbandonedClaim>,
}

struct Endpoint {
    incarnation: Incarnation,
    draining: bool,
    running: Vec<AttemptId>,
    attempt_table: AttemptTable,
}

#[derive(Default)]
pub(crate) struct World {
    now_ms: u64,
    processes: u64,
    log: Vec<(Timestamp, String)>,
    log_down: bool,
    delayed: Vec<String>,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    starts: Vec<(usize, Start, DispatchPermit)>,
    keys: Vec<RequestKey>,
    key_by_attempt: BTreeMap<AttemptId, ClaimKey>,
    /// One element for each time an endpoint ran an attempt.
    pub(crate) executed: Vec<AttemptId>,
    /// Attempts that an endpoint or entry reported as not run.
    reported_not_run: BTreeSet<AttemptId>,
    /// Keys of which an earlier claim was recovered.
    recovered: BTreeSet<ClaimKey>,
    /// Number of attempts that ran for a recovered key.
    pub(crate) runs_after_recovery: usize,
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self { now_ms: 1_000_000, ..Self::default() };
        world.entries = (0..3).map(|_| world.new_entry()).collect();
        world.endpoints = (0..2).map(|_| world.new_endpoint()).collect();
        world.keys = vec![key(world.clock(2), 0), key(world.clock(0), 1)];
        world
    }

    fn new_incarnation(&mut self) -> Incarnation {
        self.processes += 1;
        Incarnation(self.processes)
    }

    fn new_entry(&mut self) -> Entry {
        let (incarnation, table) = (self.new_incarnation(), ClaimTable::new(SETTINGS));
        Entry {
            incarnation,
            sequence: 0,
            table,
            pending_requests: Vec::new(),
            abandoned: Vec::new(),
        }
    }

    fn new_endpoint(&mut self) -> Endpoint {
        let (incarnation, attempt_table) = (self.new_incarnation(), AttemptTable::new(6));
        Endpoint { incarnation, draining: false, running: Vec::new(), attempt_table }
    }

    fn clock(&self, which: usize) -> Timestamp {
        Timestamp::from_unix_ms(self.now_ms.saturating_add_signed(SKEWS_MS[which]))
    }

    fn append_record(&mut self, payload: String) -> Offset {
        self.log.push((self.clock(1), payload));
        Offset(self.log.len() as u64 - 1)
    }

    fn append(&mut self, entries: Vec<ClaimEntry>, outcome: AppendOutcome) -> Option<Offset> {
        let payload = ClaimBatch::new(entries).to_json();
        match outcome {
            AppendOutcome::Delayed => self.delayed.push(payload),
            AppendOutcome::Arrives if !self.log_down => return Some(self.append_record(payload)),
            AppendOutcome::ReplyLost if !self.log_down => drop(self.append_record(payload)),
            _ => {}
        }
        None
    }

    /// Applies all readable records. Records expire as soon as the settings allow.
    fn read_log(&mut self, entry: usize) {
        let now = self.clock(1);
        for (index, (appended, payload)) in self.log.iter().enumerate() {
            if !self.log_down && now.ms_since(*appended) <= SETTINGS.min_retention_ms() {
                self.entries[entry].table.apply(Offset(index as u64), *appended, payload);
            }
        }
    }

    pub(crate) fn step(&mut self, op: Op) {
        match op.action {
            Action::NewKey => self.keys.push(key(self.clock(self.keys.len() % 3), self.keys.len())),
            Action::SendClaim => self.send_claim(op),
            Action::Process => {
                if op.likely {
                    self.read_log(op.entry);
                }
                self.process(op.entry, op.even);
            }
            Action::DeliverStart => self.deliver_start(op.entry, op.even),
            Action::Recover => self.recover(op),
            Action::FinishAttempts => {
                let Endpoint { running, attempt_table, .. } = &mut self.endpoints[op.endpoint];
                running.drain(..).for_each(|attempt| attempt_table.mark_ended(attempt, op.even));
            }
            Action::AdvanceClock => self.now_ms += op.wait_ms,
            Action::DeliverAppend => {
                if let Some(payload) = self.delayed.pop() {
                    self.append_record(payload);
                }
            }
            Action::SetLogState => self.log_down = !op.likely,
            Action::SetDraining => self.endpoints[op.endpoint].draining = !op.likely,
            Action::RestartEndpoint => self.endpoints[op.endpoint] = self.new_endpoint(),
            Action::ReplaceEntry => self.entries[op.entry] = self.new_entry(),
        }
    }

    pub(crate) fn check(&self) -> Result<(), TestCaseError> {
        let keys: BTreeSet<_> =
            self.executed.iter().map(|attempt| self.key_by_attempt[attempt]).collect();
        prop_assert_eq!(
            keys.len(),
            self.executed.len(),
            "a key ran more than once: {:?}",
            self.executed
        );
        let wrongly_reported =
            self.executed.iter().find(|attempt| self.reported_not_run.contains(attempt));
        prop_assert_eq!(wrongly_reported, None, "reported as not run, but ran");
        Ok(())
    }
}
