//! Random simulation of entries and endpoints that run the library's decisions on a simulated log and
//! network.

use std::collections::{BTreeMap, BTreeSet};

use lycheewood::{
    AbandonedClaim, Attempt, AttemptId, AttemptPlanned, AttemptTable, Claim, ClaimBatch,
    ClaimEntry, ClaimGranted, ClaimHolder, ClaimKey, ClaimPosition, ClaimRecord, ClaimResolution,
    ClaimSent, ClaimSettings, ClaimTable, DenialReason, DispatchPermit, EndpointView, Fingerprint,
    Incarnation, InstanceId, Occupancy, Offset, RecoverDecision, RecoveryReply, RecoveryStep,
    RefusedReason, RequestKey, Start, StartDecision, TargetName, Timestamp, Work, WorkspaceName,
    decide_recover, decide_start, recovery_step,
};
use proptest::prelude::*;
use proptest::sample::select;

pub(crate) const SETTINGS: ClaimSettings =
    ClaimSettings { key_window_ms: 60_000, clock_skew_ms: 1_000, max_keys: 64 };
const MAX_DEADLINE_MS: u64 = 5_000;
/// At most half of the allowed skew to either side of the true time, so that two clocks differ by no more
/// than the allowed skew.
const SKEWS_MS: [i64; 3] = [-500, 0, 500];

#[derive(Clone, Copy, Debug)]
pub(crate) enum AppendOutcome {
    Arrives,
    ReplyLost,
    Delayed,
    Dropped,
}

#[derive(Clone, Copy, Debug)]
#[rustfmt::skip]
pub(crate) enum Action {
    NewKey, SendClaim, Process, DeliverStart, Recover, FinishAttempts, AdvanceClock, DeliverAppend,
    SetLogState, SetDraining, RestartEndpoint, ReplaceEntry,
}

/// One event. `entry` and `endpoint` are indexes, `key` counts back from the newest key. `even` is true in
/// half of the events and `likely` in three quarters. Each action uses only some of the fields.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Op {
    pub(crate) action: Action,
    pub(crate) entry: usize,
    pub(crate) key: usize,
    pub(crate) endpoint: usize,
    pub(crate) even: bool,
    pub(crate) likely: bool,
    pub(crate) append: AppendOutcome,
    pub(crate) wait_ms: u64,
}

pub(crate) fn op() -> impl Strategy<Value = Op> {
    use Action::{AdvanceClock, DeliverAppend, DeliverStart, FinishAttempts, NewKey, Process};
    use Action::{Recover, ReplaceEntry, RestartEndpoint, SendClaim, SetDraining, SetLogState};
    use AppendOutcome::{Arrives, Delayed, Dropped, ReplyLost};
    let often = [
        SendClaim,
        SendClaim,
        SendClaim,
        Process,
        Process,
        Process,
        Process,
        DeliverStart,
        DeliverStart,
        Recover,
        Recover,
    ];
    let seldom = [
        AdvanceClock,
        DeliverAppend,
        FinishAttempts,
        NewKey,
        RestartEndpoint,
        AdvanceClock,
        DeliverAppend,
        FinishAttempts,
        NewKey,
    ];
    let actions =
        [&often[..], &often, &often, &often, &seldom, &[SetLogState, SetDraining, ReplaceEntry]]
            .concat();
    let appends =
        vec![Arrives, Arrives, Arrives, Arrives, ReplyLost, ReplyLost, Delayed, Delayed, Dropped];
    let waits_ms = vec![20, 20, 20, 1_500, 1_500, 6_000, 29_000, 58_500];
    let flags = (any::<bool>(), prop::bool::weighted(0.75));
    let op = (
        select(actions),
        0..3usize,
        0..2usize,
        0..2usize,
        flags,
        select(appends),
        select(waits_ms),
    );
    op.prop_map(|(action, entry, key, endpoint, (even, likely), append, wait_ms)| Op {
        action,
        entry,
        key,
        endpoint,
        even,
        likely,
        append,
        wait_ms,
    })
}

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

/// Version 7 UUID as a key created at `created`; `n` makes it unique.
pub(crate) fn key(created: Timestamp, n: usize) -> RequestKey {
    let time = format!("{:012x}", created.unix_ms());
    RequestKey::try_from(format!("{}-{}-7000-8000-{n:012x}", &time[..8], &time[8..])).unwrap()
}

pub(crate) fn claim_key(key: &RequestKey) -> ClaimKey {
    ClaimKey::new(&WorkspaceName::new("night"), key)
}

pub(crate) fn record(
    key: ClaimKey,
    attempt: AttemptId,
    target: Incarnation,
    endpoint_index: usize,
) -> ClaimRecord {
    let (endpoint, fingerprint) =
        (InstanceId::new(&endpoint_index.to_string()), Fingerprint::from([0; 16]));
    ClaimRecord { key, attempt, endpoint, endpoint_incarnation: target, fingerprint }
}

pub(crate) fn start(attempt: AttemptId, target: Incarnation, deadline: Timestamp) -> Start {
    let (method, path) = ("POST".into(), "/next".into());
    let (content_type, body) = (String::new(), Vec::new());
    let service = TargetName::new("serials");
    Start {
        attempt,
        endpoint_incarnation: target,
        fingerprint: [0; 16],
        key: None,
        claim_offset: None,
        deadline,
        priority: 0,
        run_alone: false,
        work: Work::Service { service, method, path, content_type, body },
        traceparent: None,
    }
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

    /// Claims a key for `count` attempts in one append, after the entries of `batch`.
    fn claim(&mut self, op: Op, key: ClaimKey, count: usize, mut batch: Vec<ClaimEntry>) {
        let first = u32::try_from(batch.len()).unwrap();
        let planned: Vec<_> = (0..count).map(|_| self.plan_claim(op, key)).collect();
        batch.extend(planned.iter().map(|(entry, _)| entry.clone()));
        let offset = self.append(batch, op.append);
        let deadline = self.clock(op.entry).plus_ms(MAX_DEADLINE_MS);
        for ((_, mut claim), index) in planned.into_iter().zip(first..) {
            if let Some(offset) = offset {
                claim = claim.appended(ClaimPosition { offset, index });
            }
            let attempt = Attempt::plan(claim.record().attempt);
            let stage = Stage::Sent(claim, attempt);
            self.entries[op.entry].pending_requests.push(PendingRequest { key, deadline, stage });
        }
    }

    fn plan_claim(&mut self, op: Op, key: ClaimKey) -> (ClaimEntry, Claim<ClaimSent>) {
        let e = &mut self.entries[op.entry];
        e.sequence += 1;
        let id = AttemptId { incarnation: e.incarnation, sequence: e.sequence };
        self.key_by_attempt.insert(id, key);
        let target = self.endpoints[op.endpoint].incarnation;
        Claim::new(record(key, id, target, op.endpoint)).send()
    }

    fn send_claim(&mut self, op: Op) {
        let key = self.keys[self.keys.len() - 1 - op.key];
        if SETTINGS.check_key(&key, self.clock(op.entry)).is_ok() {
            self.claim(op, claim_key(&key), if op.likely { 1 } else { 2 }, Vec::new());
        }
    }

    /// Lets an entry act on the records that it has read; with `pauses` it stops between grant and dispatch.
    fn process(&mut self, entry: usize, pauses: bool) {
        for pending in std::mem::take(&mut self.entries[entry].pending_requests) {
            if let Some(stage) = self.advance_stage(entry, pending.stage, pending.deadline, pauses)
            {
                self.entries[entry].pending_requests.push(PendingRequest { stage, ..pending });
            }
        }
        let e = &self.entries[entry];
        let release: Vec<_> = e.abandoned.iter().filter_map(|a| a.release(&e.table)).collect();
        self.append(release, AppendOutcome::Arrives);
    }

    fn advance_stage(
        &mut self,
        entry: usize,
        stage: Stage,
        deadline: Timestamp,
        pauses: bool,
    ) -> Option<Stage> {
        let late = self.clock(entry) >= deadline;
        let e = &mut self.entries[entry];
        match stage {
            Stage::Sent(claim, attempt) if late => {
                e.abandoned.push(claim.abandon());
                self.reported_not_run.insert(attempt.id());
            }
            Stage::Sent(claim, attempt) => match claim.resolve(&e.table) {
                ClaimResolution::Pending(claim) => return Some(Stage::Sent(claim, attempt)),
                ClaimResolution::Granted(claim) if pauses => {
                    return Some(Stage::Granted(claim, attempt));
                }
                ClaimResolution::Granted(claim) => self.dispatch(claim, attempt, deadline),
                ClaimResolution::Denied(claim) => {
                    let reason = claim.reason().clone();
                    e.abandoned.push(claim.abandon());
                    self.reported_not_run.insert(attempt.id());
                    let DenialReason::HeldBy(holder) = reason else { return None };
                    return Some(Stage::Held(holder, RecoveryReply::NotAsked));
                }
            },
            Stage::Granted(claim, attempt) => self.dispatch(claim, attempt, deadline),
            held @ Stage::Held(..) => return Some(held),
        }
        None
    }

    fn dispatch(
        &mut self,
        claim: Claim<ClaimGranted>,
        attempt: Attempt<AttemptPlanned>,
        deadline: Timestamp,
    ) {
        let (attempt, permit) = claim.dispatch(attempt).unwrap();
        let start = start(attempt.id(), permit.endpoint_incarnation, deadline);
        self.starts.push((permit.endpoint.as_str().parse().unwrap(), start, permit));
    }

    fn view(&self, endpoint: usize) -> EndpointView<'static> {
        let e = &self.endpoints[endpoint];
        let running = u32::try_from(e.running.len()).unwrap();
        EndpointView {
            incarnation: e.incarnation,
            draining: e.draining,
            engine_up: true,
            version: None,
            occupancy: Occupancy { running, capacity: 2, runs_alone: false },
            attempt_table_full: e.attempt_table.is_full(),
        }
    }

    /// Delivers any `Start` in flight. With `again` a copy of it stays in flight.
    fn deliver_start(&mut self, which: usize, again: bool) {
        let Some(which) = which.checked_rem(self.starts.len()) else { return };
        let (endpoint, start, permit) = self.starts[which].clone();
        if !again {
            self.starts.remove(which);
        }
        let (view, now) = (self.view(endpoint), self.clock(2 - endpoint));
        let e = &mut self.endpoints[endpoint];
        match decide_start(&view, e.attempt_table.state(start.attempt, now), &start, now) {
            StartDecision::Run => {
                e.attempt_table.mark_running(start.attempt);
                e.running.push(start.attempt);
                self.executed.push(start.attempt);
                self.runs_after_recovery += usize::from(self.recovered.contains(&permit.key));
            }
            StartDecision::Refuse { reason, promise_until } => {
                e.attempt_table.record_promise(start.attempt, promise_until);
                // Another copy may reach the right process, so this refusal does not prove that the
                // attempt never runs.
                if reason != RefusedReason::OtherIncarnation {
                    self.recovered.insert(permit.key);
                    self.reported_not_run.insert(start.attempt);
                    self.append(vec![permit.recovered_entry()], AppendOutcome::Arrives);
                }
            }
            StartDecision::Attach | StartDecision::Fail => {}
        }
    }

    /// Asks the endpoint named in the latest claim that blocks a request of this entry.
    fn recover(&mut self, op: Op) {
        let pending_requests = &mut self.entries[op.entry].pending_requests;
        let blocked = pending_requests.iter().rposition(|p| matches!(p.stage, Stage::Held(..)));
        let Some(pending) = blocked.map(|index| pending_requests.remove(index)) else { return };
        let Stage::Held(holder, reply) = pending.stage else { unreachable!() };
        let now = self.clock(op.entry);
        match recovery_step(&pending.key, &holder, reply, pending.deadline, now) {
            RecoveryStep::Ask | RecoveryStep::Wait => {
                let reply = if op.likely { self.ask(&holder) } else { RecoveryReply::NoAnswer };
                let stage = Stage::Held(holder, reply);
                self.entries[op.entry].pending_requests.push(PendingRequest { stage, ..pending });
                if reply == RecoveryReply::Promised {
                    self.recover(op);
                }
            }
            RecoveryStep::ClaimAgain(free) => {
                self.recovered.insert(pending.key);
                self.claim(Op { append: AppendOutcome::Arrives, ..op }, pending.key, 1, vec![free]);
            }
            RecoveryStep::Relay | RecoveryStep::Unknown(_) => {}
        }
    }

    fn ask(&mut self, holder: &ClaimHolder) -> RecoveryReply {
        let endpoint: usize = holder.endpoint.as_str().parse().unwrap();
        let (view, now) = (self.view(endpoint), self.clock(2 - endpoint));
        let max_ms = MAX_DEADLINE_MS + SETTINGS.clock_skew_ms;
        let attempt_table = &mut self.endpoints[endpoint].attempt_table;
        let state = attempt_table.state(holder.attempt, now);
        match decide_recover(&view, state, holder.endpoint_incarnation, max_ms, now) {
            RecoverDecision::Promise { promise_until, .. } => {
                attempt_table.record_promise(holder.attempt, promise_until);
                self.reported_not_run.insert(holder.attempt);
                RecoveryReply::Promised
            }
            RecoverDecision::Attach => RecoveryReply::Answer,
            RecoverDecision::Fail => RecoveryReply::Failed,
            RecoverDecision::Silent => RecoveryReply::NoAnswer,
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
