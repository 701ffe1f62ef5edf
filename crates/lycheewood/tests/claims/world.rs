//! A state machine over the real decision code: entries and endpoints with a simulated log and network.

use std::collections::{BTreeMap, BTreeSet};

use lycheewood::{
    Abandoned, Attempt, AttemptId, Claim, ClaimBatch, ClaimEntry, ClaimKey, ClaimPosition,
    ClaimRecord, ClaimSettings, ClaimTable, EndpointView, Fingerprint, Granted, Holder,
    Incarnation, InstanceId, Judged, Known, LostReason, Occupancy, Offset, Permit, Planned,
    RecoverDecision, RecoveryReply, RecoveryStep, RefusedReason, RequestKey, Sent, Start,
    StartDecision, TargetName, Timestamp, Work, WorkspaceName, decide_recover, decide_start,
    recovery_step,
};
use proptest::prelude::*;

use crate::op::{Op, Reply};

pub(crate) const SETTINGS: ClaimSettings =
    ClaimSettings { key_window_ms: 60_000, clock_skew_ms: 1_000, max_keys: 64 };
const MAX_DEADLINE_MS: u64 = 5_000;
/// Half of the allowed skew to either side of the true time, so that any two clocks differ by at most it.
const SKEWS_MS: [i64; 3] = [-500, 0, 500];

enum Stage {
    Sent(Claim<Sent>, Attempt<Planned>),
    Granted(Claim<Granted>, Attempt<Planned>),
    Held(Holder, RecoveryReply),
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
    abandoned: Vec<Abandoned>,
}

struct Endpoint {
    incarnation: Incarnation,
    draining: bool,
    known: BTreeMap<AttemptId, (Known, Timestamp)>,
}

#[derive(Default)]
pub(crate) struct World {
    now_ms: u64,
    processes: u64,
    log: Vec<(Timestamp, String)>,
    log_up: bool,
    delayed: Vec<String>,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    starts: Vec<(usize, Start, Permit)>,
    keys: Vec<RequestKey>,
    key_of: BTreeMap<AttemptId, ClaimKey>,
    /// One element for each run.
    pub(crate) ran: Vec<AttemptId>,
    not_run: BTreeSet<AttemptId>,
    /// Runs of a key after an earlier claim of it was recovered.
    pub(crate) runs_after_recovery: u32,
    recovered: BTreeSet<ClaimKey>,
}

const FOREVER: Timestamp = Timestamp::from_unix_ms(u64::MAX);

/// A version 7 key created at `at`; `n` makes it unique.
pub(crate) fn key(at: Timestamp, n: usize) -> RequestKey {
    let time = format!("{:012x}", at.unix_ms());
    RequestKey::try_from(format!("{}-{}-7000-8000-{n:012x}", &time[..8], &time[8..])).unwrap()
}

pub(crate) fn workspace() -> WorkspaceName {
    WorkspaceName::new("night")
}

pub(crate) fn endpoint_name(endpoint: usize) -> InstanceId {
    InstanceId::new(&endpoint.to_string())
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self { now_ms: 1_000_000, log_up: true, ..Self::default() };
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
        Entry {
            incarnation: self.new_incarnation(),
            sequence: 0,
            table: ClaimTable::new(SETTINGS),
            flights: Vec::new(),
            abandoned: Vec::new(),
        }
    }

    fn new_endpoint(&mut self) -> Endpoint {
        Endpoint { incarnation: self.new_incarnation(), draining: false, known: BTreeMap::new() }
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
            Reply::Arrives if self.log_up => return Some(self.arrive(payload)),
            Reply::Lost if self.log_up => drop(self.arrive(payload)),
            _ => {}
        }
        None
    }

    /// Folds all readable records. Records expire as soon as the settings allow.
    fn read(&mut self, entry: usize) {
        if !self.log_up {
            return;
        }
        let now = self.clock(1);
        let table = &mut self.entries[entry].table;
        for (index, (appended, payload)) in self.log.iter().enumerate() {
            if now.ms_since(*appended) <= SETTINGS.min_retention_ms() {
                table.fold(Offset(index as u64), *appended, payload);
            }
        }
    }

    fn plan(&mut self, entry: usize, key: ClaimKey, endpoint: usize) -> ClaimEntry {
        let e = &mut self.entries[entry];
        e.sequence += 1;
        let id = AttemptId { incarnation: e.incarnation, sequence: e.sequence };
        self.key_of.insert(id, key);
        let deadline = self.clock(entry).plus_ms(MAX_DEADLINE_MS);
        let claim = Claim::new(ClaimRecord {
            key,
            attempt: id,
            endpoint: endpoint_name(endpoint),
            endpoint_incarnation: self.endpoints[endpoint].incarnation,
            fingerprint: Fingerprint::from([0; 16]),
        });
        let (record, claim) = claim.send();
        let stage = Stage::Sent(claim, Attempt::plan(id));
        self.entries[entry].flights.push(Flight { key, deadline, stage });
        record
    }

    /// Claims for `count` attempts in one append, behind the entries of `batch`.
    fn claim(
        &mut self,
        entry: usize,
        key: ClaimKey,
        endpoint: usize,
        count: usize,
        reply: Reply,
        mut batch: Vec<ClaimEntry>,
    ) {
        let (begin, first) = (self.entries[entry].flights.len(), batch.len());
        batch.extend((0..count).map(|_| self.plan(entry, key, endpoint)));
        let Some(offset) = self.append(batch, reply) else { return };
        let planned = self.entries[entry].flights.split_off(begin);
        for (flight, index) in planned.into_iter().zip(u32::try_from(first).unwrap()..) {
            let Stage::Sent(claim, attempt) = flight.stage else { unreachable!() };
            let stage = Stage::Sent(claim.appended(ClaimPosition { offset, index }), attempt);
            self.entries[entry].flights.push(Flight { stage, ..flight });
        }
    }

    fn send(&mut self, entry: usize, key: usize, endpoint: usize, twice: bool, reply: Reply) {
        let key = self.keys[self.keys.len() - 1 - key];
        if SETTINGS.check_key(&key, self.clock(entry)).is_ok() {
            let key = ClaimKey::new(&workspace(), &key);
            self.claim(entry, key, endpoint, 1 + usize::from(twice), reply, Vec::new());
        }
    }

    /// Lets an entry act on what it has read. One that pauses does so between grant and dispatch.
    fn work(&mut self, entry: usize, pauses: bool) {
        let now = self.clock(entry);
        for mut flight in std::mem::take(&mut self.entries[entry].flights) {
            let table = &self.entries[entry].table;
            flight.stage = match flight.stage {
                Stage::Sent(claim, attempt) if now >= flight.deadline => {
                    self.entries[entry].abandoned.push(claim.abandon());
                    self.not_run.insert(attempt.id());
                    continue;
                }
                Stage::Sent(claim, attempt) => match claim.judge(table) {
                    Judged::Waiting(claim) => Stage::Sent(claim, attempt),
                    Judged::Granted(claim) if pauses => Stage::Granted(claim, attempt),
                    Judged::Granted(claim) => {
                        self.dispatch(claim, attempt, flight.deadline);
                        continue;
                    }
                    Judged::Lost(claim) => {
                        let reason = claim.reason().clone();
                        self.entries[entry].abandoned.push(claim.abandon());
                        self.not_run.insert(attempt.id());
                        let LostReason::HeldBy(holder) = reason else { continue };
                        Stage::Held(holder, RecoveryReply::NotAsked)
                    }
                },
                Stage::Granted(claim, attempt) => {
                    self.dispatch(claim, attempt, flight.deadline);
                    continue;
                }
                held @ Stage::Held(..) => held,
            };
            self.entries[entry].flights.push(flight);
        }
        let e = &self.entries[entry];
        let release: Vec<_> = e.abandoned.iter().filter_map(|a| a.release(&e.table)).collect();
        if !release.is_empty() {
            self.append(release, Reply::Arrives);
        }
    }

    fn dispatch(&mut self, claim: Claim<Granted>, attempt: Attempt<Planned>, deadline: Timestamp) {
        let (attempt, permit) = claim.dispatch(attempt).unwrap();
        let start = Start {
            attempt: attempt.id(),
            endpoint_incarnation: permit.endpoint_incarnation,
            fingerprint: [0; 16],
            key: None,
            claim_offset: Some(permit.claim.offset),
            deadline,
            priority: 0,
            run_alone: false,
            work: Work::Service {
                service: TargetName::new("serials"),
                method: "POST".into(),
                path: "/next".into(),
                content_type: String::new(),
                body: Vec::new(),
            },
            traceparent: None,
        };
        let endpoint = permit.endpoint.as_str().parse().unwrap();
        self.starts.push((endpoint, start, permit));
    }

    fn known(&self, endpoint: usize, attempt: AttemptId) -> Known {
        let now = self.clock(2 - endpoint);
        let known = self.endpoints[endpoint].known.get(&attempt);
        known.filter(|(_, until)| *until > now).map_or(Known::NeverSeen, |(known, _)| *known)
    }

    fn view(&self, endpoint: usize) -> EndpointView<'static> {
        let e = &self.endpoints[endpoint];
        let running = e.known.values().filter(|(known, _)| *known == Known::Running).count();
        let running = u32::try_from(running).unwrap();
        EndpointView {
            incarnation: e.incarnation,
            draining: e.draining,
            engine_up: true,
            version: None,
            occupancy: Occupancy { running, capacity: 2, runs_alone: false },
            promises_full: false,
        }
    }

    /// Delivers a `Start` in any order. A copy may stay in the network.
    fn deliver_start(&mut self, which: usize, again: bool) {
        if self.starts.is_empty() {
            return;
        }
        let which = which % self.starts.len();
        let (endpoint, start, permit) = self.starts[which].clone();
        if !again {
            self.starts.remove(which);
        }
        let (known, now) = (self.known(endpoint, start.attempt), self.clock(2 - endpoint));
        match decide_start(&self.view(endpoint), known, &start, now) {
            StartDecision::Run => self.run(endpoint, start.attempt),
            StartDecision::Refuse { reason, remember_until } => {
                self.remember(endpoint, start.attempt, Known::Promised, remember_until);
                // With a copy elsewhere, a refusal by another process is no evidence.
                if reason != RefusedReason::OtherIncarnation {
                    self.recovered.insert(permit.key);
                    self.not_run.insert(start.attempt);
                    self.append(vec![permit.recovered()], Reply::Arrives);
                }
            }
            StartDecision::Attach | StartDecision::Fail => {}
        }
    }

    fn remember(&mut self, on: usize, attempt: AttemptId, known: Known, until: Option<Timestamp>) {
        let known = until.map(|until| (attempt, (known, until)));
        self.endpoints[on].known.extend(known);
    }

    fn run(&mut self, endpoint: usize, attempt: AttemptId) {
        self.remember(endpoint, attempt, Known::Running, Some(FOREVER));
        self.ran.push(attempt);
        self.runs_after_recovery += u32::from(self.recovered.contains(&self.key_of[&attempt]));
    }

    /// Asks the endpoint about the latest claim that blocks a request of this entry.
    fn recover(&mut self, entry: usize, reaches: bool) {
        let flights = &self.entries[entry].flights;
        let Some(at) = flights.iter().rposition(|f| matches!(f.stage, Stage::Held(..))) else {
            return;
        };
        let flight = self.entries[entry].flights.remove(at);
        let Stage::Held(holder, reply) = flight.stage else { unreachable!() };
        let now = self.clock(entry);
        match recovery_step(&flight.key, &holder, reply, flight.deadline, now) {
            RecoveryStep::Ask | RecoveryStep::Wait => {
                let reply = if reaches { self.ask(&holder) } else { RecoveryReply::NoAnswer };
                let stage = Stage::Held(holder, reply);
                self.entries[entry].flights.push(Flight { stage, ..flight });
                if reply == RecoveryReply::Promised {
                    self.recover(entry, reaches);
                }
            }
            RecoveryStep::ClaimAnew(free) => {
                self.recovered.insert(flight.key);
                let endpoint = holder.endpoint.as_str().parse().unwrap();
                self.claim(entry, flight.key, endpoint, 1, Reply::Arrives, vec![free]);
            }
            RecoveryStep::Relay | RecoveryStep::Unknown(_) => {}
        }
    }

    fn ask(&mut self, holder: &Holder) -> RecoveryReply {
        let endpoint: usize = holder.endpoint.as_str().parse().unwrap();
        let (known, now) = (self.known(endpoint, holder.attempt), self.clock(2 - endpoint));
        let max_ms = MAX_DEADLINE_MS + SETTINGS.clock_skew_ms;
        let meant = holder.endpoint_incarnation;
        match decide_recover(&self.view(endpoint), known, meant, max_ms, now) {
            RecoverDecision::Promise { remember_until, .. } => {
                self.remember(endpoint, holder.attempt, Known::Promised, remember_until);
                self.not_run.insert(holder.attempt);
                RecoveryReply::Promised
            }
            RecoverDecision::Attach => RecoveryReply::Answer,
            RecoverDecision::Fail => RecoveryReply::Failed,
            RecoverDecision::Silent => RecoveryReply::NoAnswer,
        }
    }

    pub(crate) fn step(&mut self, op: &Op) {
        match *op {
            Op::NewKey => {
                let next = key(self.clock(self.keys.len() % 3), self.keys.len());
                self.keys.push(next);
            }
            Op::Send { entry, key, endpoint, twice, reply } => {
                self.send(entry, key, endpoint, twice, reply);
            }
            Op::Work { entry, reads, pauses } => {
                if reads {
                    self.read(entry);
                }
                self.work(entry, pauses);
            }
            Op::DeliverStart { which, again } => self.deliver_start(which, again),
            Op::Recover { entry, reaches } => self.recover(entry, reaches),
            Op::FinishRun { endpoint, lost } => {
                let known = self.endpoints[endpoint].known.values_mut();
                for (known, _) in known.filter(|(known, _)| *known == Known::Running) {
                    *known = if lost { Known::Lost } else { Known::Answered };
                }
            }
            Op::Advance { ms } => self.now_ms += ms,
            Op::DelayedAppend => {
                if let Some(payload) = self.delayed.pop() {
                    self.arrive(payload);
                }
            }
            Op::LogUp(up) => self.log_up = up,
            Op::Drain { endpoint, on } => self.endpoints[endpoint].draining = on,
            Op::RestartEndpoint { endpoint } => self.endpoints[endpoint] = self.new_endpoint(),
            Op::RestartEntry { entry } => self.entries[entry] = self.new_entry(),
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
