//! A state machine over the real decision code: entries and endpoints with a simulated log and network.

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
/// Half of the allowed skew to either side of the true time, so that any two clocks differ by at most it.
const SKEWS_MS: [i64; 3] = [-500, 0, 500];

#[derive(Clone, Copy, Debug)]
pub(crate) enum Reply {
    Arrives,
    Lost,
    Delayed,
    Never,
}

#[derive(Clone, Copy, Debug)]
#[rustfmt::skip]
pub(crate) enum What {
    NewKey, Send, Work, Deliver, Recover, Finish, Advance, Append, Log, Drain, Restart, Replace,
}

/// One event. `entry` and `endpoint` are indexes, `key` counts back from the newest key; each event uses
/// the fields that it needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Op {
    pub(crate) what: What,
    pub(crate) entry: usize,
    pub(crate) key: usize,
    pub(crate) endpoint: usize,
    pub(crate) even: bool,
    pub(crate) likely: bool,
    pub(crate) reply: Reply,
    pub(crate) wait_ms: u64,
}

pub(crate) fn op() -> impl Strategy<Value = Op> {
    use Reply::{Arrives, Delayed, Lost, Never};
    use What::{Advance, Append, Deliver, Drain, Finish, Log, NewKey, Recover, Replace, Restart};
    use What::{Send, Work};
    let often = [Send, Send, Send, Work, Work, Work, Work, Deliver, Deliver, Recover, Recover];
    let seldom = [Advance, Append, Finish, NewKey, Restart, Advance, Append, Finish, NewKey];
    let whats = [&often[..], &often, &often, &often, &seldom, &[Log, Drain, Replace]].concat();
    let replies = vec![Arrives, Arrives, Arrives, Arrives, Lost, Lost, Delayed, Delayed, Never];
    let waits_ms = vec![20, 20, 20, 1_500, 1_500, 6_000, 29_000, 58_500];
    let flags = (any::<bool>(), prop::bool::weighted(0.75));
    let op =
        (select(whats), 0..3usize, 0..2usize, 0..2usize, flags, select(replies), select(waits_ms));
    op.prop_map(|(what, entry, key, endpoint, (even, likely), reply, wait_ms)| Op {
        what,
        entry,
        key,
        endpoint,
        even,
        likely,
        reply,
        wait_ms,
    })
}

enum Stage {
    Sent(Claim<ClaimSent>, Attempt<AttemptPlanned>),
    Granted(Claim<ClaimGranted>, Attempt<AttemptPlanned>),
    Held(ClaimHolder, RecoveryReply),
}

struct Flight {
    key: ClaimKey,
    deadline: Timestamp,
    stage: Stage,
}

struct Entry {
    incarnation: Incarnation,
    sequence: u64,
    table: ClaimTable,
    flights: Vec<Flight>,
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
    key_of: BTreeMap<AttemptId, ClaimKey>,
    /// One element for each run.
    pub(crate) ran: Vec<AttemptId>,
    not_run: BTreeSet<AttemptId>,
    /// Keys of which an earlier claim was recovered, and runs of them after that.
    recovered: BTreeSet<ClaimKey>,
    pub(crate) runs_after_recovery: usize,
}

/// A version 7 key created at `at`; `n` makes it unique.
pub(crate) fn key(at: Timestamp, n: usize) -> RequestKey {
    let time = format!("{:012x}", at.unix_ms());
    RequestKey::try_from(format!("{}-{}-7000-8000-{n:012x}", &time[..8], &time[8..])).unwrap()
}

pub(crate) fn claim_key(key: &RequestKey) -> ClaimKey {
    ClaimKey::new(&WorkspaceName::new("night"), key)
}

pub(crate) fn record(
    key: ClaimKey,
    attempt: AttemptId,
    target: Incarnation,
    on: usize,
) -> ClaimRecord {
    let (endpoint, fingerprint) = (InstanceId::new(&on.to_string()), Fingerprint::from([0; 16]));
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
        Entry { incarnation, sequence: 0, table, flights: Vec::new(), abandoned: Vec::new() }
    }

    fn new_endpoint(&mut self) -> Endpoint {
        let (incarnation, attempt_table) = (self.new_incarnation(), AttemptTable::new(6));
        Endpoint { incarnation, draining: false, running: Vec::new(), attempt_table }
    }

    fn clock(&self, which: usize) -> Timestamp {
        Timestamp::from_unix_ms(self.now_ms.saturating_add_signed(SKEWS_MS[which]))
    }

    fn arrive(&mut self, payload: String) -> Offset {
        self.log.push((self.clock(1), payload));
        Offset(self.log.len() as u64 - 1)
    }

    fn append(&mut self, entries: Vec<ClaimEntry>, reply: Reply) -> Option<Offset> {
        let payload = ClaimBatch::new(entries).to_json();
        match reply {
            Reply::Delayed => self.delayed.push(payload),
            Reply::Arrives if !self.log_down => return Some(self.arrive(payload)),
            Reply::Lost if !self.log_down => drop(self.arrive(payload)),
            _ => {}
        }
        None
    }

    /// Folds all readable records. Records expire as soon as the settings allow.
    fn read(&mut self, entry: usize) {
        let now = self.clock(1);
        for (index, (appended, payload)) in self.log.iter().enumerate() {
            if !self.log_down && now.ms_since(*appended) <= SETTINGS.min_retention_ms() {
                self.entries[entry].table.apply(Offset(index as u64), *appended, payload);
            }
        }
    }

    /// Claims a key for `count` attempts in one append, behind the entries of `batch`.
    fn claim(&mut self, at: Op, key: ClaimKey, count: usize, mut batch: Vec<ClaimEntry>) {
        let first = u32::try_from(batch.len()).unwrap();
        let planned: Vec<_> = (0..count).map(|_| self.plan(at, key)).collect();
        batch.extend(planned.iter().map(|(entry, _)| entry.clone()));
        let offset = self.append(batch, at.reply);
        let deadline = self.clock(at.entry).plus_ms(MAX_DEADLINE_MS);
        for ((_, mut claim), index) in planned.into_iter().zip(first..) {
            if let Some(offset) = offset {
                claim = claim.appended(ClaimPosition { offset, index });
            }
            let attempt = Attempt::plan(claim.record().attempt);
            let stage = Stage::Sent(claim, attempt);
            self.entries[at.entry].flights.push(Flight { key, deadline, stage });
        }
    }

    fn plan(&mut self, at: Op, key: ClaimKey) -> (ClaimEntry, Claim<ClaimSent>) {
        let e = &mut self.entries[at.entry];
        e.sequence += 1;
        let id = AttemptId { incarnation: e.incarnation, sequence: e.sequence };
        self.key_of.insert(id, key);
        let target = self.endpoints[at.endpoint].incarnation;
        Claim::new(record(key, id, target, at.endpoint)).send()
    }

    fn send(&mut self, at: Op) {
        let key = self.keys[self.keys.len() - 1 - at.key];
        if SETTINGS.check_key(&key, self.clock(at.entry)).is_ok() {
            self.claim(at, claim_key(&key), if at.likely { 1 } else { 2 }, Vec::new());
        }
    }

    /// Lets an entry act on what it has read. One that pauses does so between grant and dispatch.
    fn work(&mut self, entry: usize, pauses: bool) {
        for flight in std::mem::take(&mut self.entries[entry].flights) {
            if let Some(stage) = self.advance(entry, flight.stage, flight.deadline, pauses) {
                self.entries[entry].flights.push(Flight { stage, ..flight });
            }
        }
        let e = &self.entries[entry];
        let release: Vec<_> = e.abandoned.iter().filter_map(|a| a.release(&e.table)).collect();
        self.append(release, Reply::Arrives);
    }

    fn advance(
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
                self.not_run.insert(attempt.id());
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
                    self.not_run.insert(attempt.id());
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

    /// Delivers a `Start` in any order. A copy may stay in the network.
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
                self.ran.push(start.attempt);
                self.runs_after_recovery += usize::from(self.recovered.contains(&permit.key));
            }
            StartDecision::Refuse { reason, promise_until } => {
                e.attempt_table.record_promise(start.attempt, promise_until);
                // With a copy elsewhere, a refusal by another process is no evidence.
                if reason != RefusedReason::OtherIncarnation {
                    self.recovered.insert(permit.key);
                    self.not_run.insert(start.attempt);
                    self.append(vec![permit.recovered_entry()], Reply::Arrives);
                }
            }
            StartDecision::Attach | StartDecision::Fail => {}
        }
    }

    /// Asks the endpoint about the latest claim that blocks a request of this entry.
    fn recover(&mut self, at: Op) {
        let flights = &mut self.entries[at.entry].flights;
        let blocked = flights.iter().rposition(|f| matches!(f.stage, Stage::Held(..)));
        let Some(flight) = blocked.map(|index| flights.remove(index)) else { return };
        let Stage::Held(holder, reply) = flight.stage else { unreachable!() };
        let now = self.clock(at.entry);
        match recovery_step(&flight.key, &holder, reply, flight.deadline, now) {
            RecoveryStep::Ask | RecoveryStep::Wait => {
                let reply = if at.likely { self.ask(&holder) } else { RecoveryReply::NoAnswer };
                let stage = Stage::Held(holder, reply);
                self.entries[at.entry].flights.push(Flight { stage, ..flight });
                if reply == RecoveryReply::Promised {
                    self.recover(at);
                }
            }
            RecoveryStep::ClaimAgain(free) => {
                self.recovered.insert(flight.key);
                self.claim(Op { reply: Reply::Arrives, ..at }, flight.key, 1, vec![free]);
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
                self.not_run.insert(holder.attempt);
                RecoveryReply::Promised
            }
            RecoverDecision::Attach => RecoveryReply::Answer,
            RecoverDecision::Fail => RecoveryReply::Failed,
            RecoverDecision::Silent => RecoveryReply::NoAnswer,
        }
    }

    pub(crate) fn step(&mut self, op: Op) {
        match op.what {
            What::NewKey => self.keys.push(key(self.clock(self.keys.len() % 3), self.keys.len())),
            What::Send => self.send(op),
            What::Work => {
                if op.likely {
                    self.read(op.entry);
                }
                self.work(op.entry, op.even);
            }
            What::Deliver => self.deliver_start(op.entry, op.even),
            What::Recover => self.recover(op),
            What::Finish => {
                let Endpoint { running, attempt_table, .. } = &mut self.endpoints[op.endpoint];
                running.drain(..).for_each(|attempt| attempt_table.mark_ended(attempt, op.even));
            }
            What::Advance => self.now_ms += op.wait_ms,
            What::Append => {
                if let Some(payload) = self.delayed.pop() {
                    self.arrive(payload);
                }
            }
            What::Log => self.log_down = !op.likely,
            What::Drain => self.endpoints[op.endpoint].draining = !op.likely,
            What::Restart => self.endpoints[op.endpoint] = self.new_endpoint(),
            What::Replace => self.entries[op.entry] = self.new_entry(),
        }
    }

    pub(crate) fn check(&self) -> Result<(), TestCaseError> {
        let keys: BTreeSet<_> = self.ran.iter().map(|attempt| self.key_of[attempt]).collect();
        prop_assert_eq!(keys.len(), self.ran.len(), "a key ran more than once: {:?}", self.ran);
        let lie = self.ran.iter().find(|attempt| self.not_run.contains(attempt));
        prop_assert_eq!(lie, None, "answered as not run, but ran");
        Ok(())
    }
}
