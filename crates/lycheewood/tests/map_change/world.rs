//! A group of ranks, two controllers and a log, driven by a schedule of operations.

use std::collections::BTreeMap;

use lycheewood::{
    ExpertMap, GroupMaps, Held, Incarnation, Lease, LeaseRecord, LeaseWatch, Leases, MapChange,
    MapRecord, Offset, RankGate, Requested, Resolution, ScopeName, StageOrder, StageStatus,
    Timestamp, resolve_change,
};

pub(crate) const RANKS: usize = 3;
const LEASE_MS: u64 = 1_000;

/// One operation; indices are taken modulo what there is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// Time passes.
    Tick(u16),
    /// The log goes down, or comes back.
    LogUp(bool),
    /// A rank reads up to so many records. One that reads none has stalled or missed a decision.
    RankReads(u8, u8),
    /// A rank grants its engine so many more steps.
    Grant(u8, u8),
    /// A new process takes a rank over; the old one goes on as a zombie.
    Replace(u8),
    /// A controller reads the log. One that acts without reading has just woken up.
    ControllerReads(u8),
    Request(u8),
    Renew(u8),
    Propose(u8, u8),
    SendStage(u8),
    Decide(u8),
    Abort(u8),
    /// The first so many operations of a change from lease to decision.
    Round(u8, u8),
    /// The message or append of this index arrives; with `true` it stays and arrives again later.
    Deliver(u8, bool),
    /// The newest message or append arrives.
    DeliverLast,
}

#[derive(Clone, Debug)]
enum Record {
    Lease(LeaseRecord),
    Map(MapRecord),
}

#[derive(Clone, Debug)]
enum Message {
    Append(Record),
    /// To the process of this incarnation, or its successor.
    Stage(usize, Incarnation, StageOrder, usize),
    Staged(usize, usize, StageStatus, Offset),
}

/// A reader's fold of the log.
#[derive(Clone, Debug)]
struct Fold {
    next: usize,
    leases: Leases,
    maps: GroupMaps,
}

struct Rank {
    index: usize,
    gate: RankGate,
    fold: Fold,
    /// Changes that the process staged, with their steps.
    staged: Vec<(Offset, u64)>,
}

struct Controller {
    incarnation: Incarnation,
    fold: Fold,
    watch: LeaseWatch,
    requests: u64,
    requested: Option<Lease<Requested>>,
    held: Option<Lease<Held>>,
    evidence: BTreeMap<(Offset, usize), StageStatus>,
}

pub(crate) struct World {
    now: Timestamp,
    log_up: bool,
    log: Vec<(Timestamp, Record)>,
    ranks: Vec<Rank>,
    zombies: Vec<Rank>,
    controllers: Vec<Controller>,
    inbox: Vec<Message>,
    incarnations: u64,
    /// Map of each granted step, by rank.
    engines: Vec<Vec<Offset>>,
    /// The fold of the whole log.
    truth: Fold,
    /// Steps before this one have been checked.
    checked: usize,
    pub(crate) commits: usize,
}

fn scope() -> ScopeName {
    ScopeName::new("group")
}

impl Fold {
    fn new() -> Self {
        Self { next: 0, leases: Leases::new(), maps: GroupMaps::new(scope(), RANKS) }
    }

    fn read(&mut self, log: &[(Timestamp, Record)], records: usize) {
        for (appended, record) in log.iter().skip(self.next).take(records) {
            let offset = Offset(self.next as u64);
            match record {
                Record::Lease(record) => {
                    self.leases.apply(offset, *appended, record);
                }
                Record::Map(record) => {
                    self.maps.apply(offset, record, &self.leases);
                }
            }
            self.next += 1;
        }
    }
}

impl World {
    /// A group whose ranks have joined and whose first map is in force from step 0.
    pub(crate) fn new() -> Self {
        let controller = |number| Controller {
            incarnation: Incarnation(number),
            fold: Fold::new(),
            watch: LeaseWatch::new(),
            requests: 0,
            requested: None,
            held: None,
            evidence: BTreeMap::new(),
        };
        let rank = |rank: usize| Rank {
            index: rank,
            gate: RankGate::new(rank, Incarnation(10 + rank as u64)),
            fold: Fold::new(),
            staged: Vec::new(),
        };
        let mut world = Self {
            now: Timestamp::from_unix_ms(1_000_000),
            log_up: true,
            log: Vec::new(),
            ranks: (0..RANKS).map(rank).collect(),
            zombies: Vec::new(),
            controllers: vec![controller(1), controller(2)],
            inbox: Vec::new(),
            incarnations: 100,
            engines: vec![Vec::new(); RANKS],
            truth: Fold::new(),
            checked: 0,
            commits: 0,
        };
        for rank in 0..RANKS {
            let incarnation = Incarnation(10 + rank as u64);
            world.append(Record::Map(MapRecord::Join {
                scope: scope(),
                rank,
                incarnation,
                replaces: None,
            }));
            world.ranks[rank].gate.raise_granted_end(0);
        }
        world.round(0, 0, usize::MAX);
        world
    }

    fn round(&mut self, controller: u8, ahead: u8, cut: usize) {
        let deliver = [Op::DeliverLast; 10];
        let mut script = vec![Op::Request(controller)];
        script.extend(deliver);
        script.extend([Op::ControllerReads(controller), Op::Propose(controller, ahead)]);
        script.extend(deliver);
        script.push(Op::ControllerReads(controller));
        let ranks = 0..3_u8;
        script.extend(ranks.clone().map(|rank| Op::RankReads(rank, u8::MAX)));
        script.push(Op::SendStage(controller));
        script.extend([deliver, deliver].concat());
        script.push(Op::Decide(controller));
        script.extend(deliver);
        script.extend(ranks.clone().map(|rank| Op::RankReads(rank, u8::MAX)));
        script.extend(ranks.map(|rank| Op::Grant(rank, 7)));
        for op in script.into_iter().take(cut) {
            self.apply(op);
        }
    }

    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Tick(ms) => self.now = self.now.plus_ms(u64::from(ms)),
            Op::LogUp(up) => self.log_up = up,
            Op::RankReads(rank, records) if self.log_up => {
                let rank = usize::from(rank) % RANKS;
                self.ranks[rank].fold.read(&self.log, usize::from(records));
            }
            Op::ControllerReads(controller) if self.log_up => self.controller_reads(controller),
            Op::Grant(rank, steps) => self.grant(usize::from(rank) % RANKS, u64::from(steps % 4)),
            Op::Replace(rank) if self.log_up => self.replace(usize::from(rank) % RANKS),
            Op::Request(controller) => self.request(controller),
            Op::Renew(controller) => self.renew(controller),
            Op::Propose(controller, ahead) => self.propose(controller, u64::from(ahead % 8)),
            Op::SendStage(controller) => self.send_stage(controller),
            Op::Decide(controller) => self.decide(controller),
            Op::Abort(controller) => self.abort(controller),
            Op::Round(controller, cut) => self.round(controller, 6, usize::from(cut)),
            Op::Deliver(index, again) if !self.inbox.is_empty() => {
                let index = usize::from(index) % self.inbox.len();
                let message = self.inbox[index].clone();
                if !again {
                    self.inbox.remove(index);
                }
                self.deliver(message, index);
            }
            Op::DeliverLast => {
                if let Some(message) = self.inbox.pop() {
                    self.deliver(message, usize::MAX);
                }
            }
            Op::RankReads(..) | Op::ControllerReads(_) | Op::Replace(_) | Op::Deliver(..) => {}
        }
        self.inbox.drain(..self.inbox.len().saturating_sub(24));
    }

    fn append(&mut self, record: Record) {
        self.log.push((self.now, record));
        let newest = |fold: &Fold| fold.maps.newest().map(|map| map.change);
        let before = newest(&self.truth);
        self.truth.read(&self.log, usize::MAX);
        self.commits += usize::from(newest(&self.truth) != before);
    }

    fn deliver(&mut self, message: Message, index: usize) {
        match message {
            Message::Append(record) if self.log_up => self.append(record),
            // The log refuses; the sender tries again.
            Message::Append(record) => {
                self.inbox.insert(index.min(self.inbox.len()), Message::Append(record));
            }
            Message::Stage(rank, incarnation, order, controller) => {
                let process = self.ranks.iter_mut().chain(&mut self.zombies);
                let at = |p: &&mut Rank| p.index == rank && p.gate.incarnation() == incarnation;
                let Some(process) = process.into_iter().find(at) else { return };
                let answer = match process.gate.stage(&process.fold.maps, &order) {
                    Ok(()) => {
                        process.staged.push((order.change, order.step));
                        StageStatus::Staged(incarnation)
                    }
                    Err(refusal) => refusal.stage_status(),
                };
                self.inbox.push(Message::Staged(controller, rank, answer, order.change));
            }
            Message::Staged(controller, rank, answer, change) => {
                self.controllers[controller].evidence.insert((change, rank), answer);
            }
        }
    }

    fn grant(&mut self, rank: usize, steps: u64) {
        let engine = &mut self.engines[rank];
        let process = &mut self.ranks[rank];
        let Some(end) = process.gate.grant(&process.fold.maps, engine.len() as u64 + steps) else {
            return;
        };
        for step in engine.len() as u64..end {
            let map = process.fold.maps.map_of_step(step);
            engine.push(map.expect("a rank granted a step without a map").change);
            check_decided(process, step);
        }
    }

    fn replace(&mut self, rank: usize) {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let mut fold = Fold::new();
        // It has not read the newest records when it starts.
        fold.read(&self.log, self.log.len().saturating_sub(6));
        let replaces = self.truth.maps.process(rank);
        let mut gate = RankGate::new(rank, incarnation);
        gate.raise_granted_end(self.engines[rank].len() as u64);
        let process = Rank { index: rank, gate, fold, staged: Vec::new() };
        self.zombies.push(std::mem::replace(&mut self.ranks[rank], process));
        let join = MapRecord::Join { scope: scope(), rank, incarnation, replaces };
        self.append(Record::Map(join.clone()));
        // The reply was lost, and the record may come again.
        self.inbox.push(Message::Append(Record::Map(join)));
    }

    /// Steps that every engine was granted have been run. All ranks must have run them with the same
    /// map, and with the one that the whole log gives them.
    pub(crate) fn check(&mut self) {
        let run = self.engines.iter().map(Vec::len).min().unwrap_or(0);
        for step in self.checked..run {
            let maps = self.engines.iter().map(|engine| engine[step]).collect::<Vec<_>>();
            assert!(maps.iter().all(|map| *map == maps[0]), "step {step} ran with maps {maps:?}");
            let decided = self.truth.maps.map_of_step(step as u64).map(|map| map.change);
            assert!(
                decided.is_none_or(|decided| decided == maps[0]),
                "step {step} ran with the map of {}, decided is {decided:?}",
                maps[0]
            );
        }
        self.checked = run;
    }
}

/// A step at or past a staged change needs a decision in what the process has read.
fn check_decided(process: &Rank, step: u64) {
    let pending = process.fold.maps.pending().map(|pending| pending.change);
    for &(change, from) in &process.staged {
        let undecided = pending == Some(change) && step >= from;
        assert!(!undecided, "step {step} granted past the undecided change {change}");
    }
}

/// The controllers' side.
impl World {
    fn controller(&mut self, index: u8) -> &mut Controller {
        let count = self.controllers.len();
        &mut self.controllers[usize::from(index) % count]
    }

    fn controller_reads(&mut self, index: u8) {
        let index = usize::from(index) % self.controllers.len();
        let controller = &mut self.controllers[index];
        controller.fold.read(&self.log, usize::MAX);
        let current = controller.fold.leases.current(&scope());
        let _ = controller.watch.check(current, self.now);
        if let Some(requested) = controller.requested.take() {
            match requested.confirm_grant(current) {
                Ok(held) => controller.held = Some(held),
                Err(requested) => controller.requested = Some(requested),
            }
        }
        if let Some(held) = &mut controller.held {
            held.confirm_renewal(current);
        }
    }

    fn request(&mut self, index: u8) {
        let now = self.now;
        let controller = self.controller(index);
        controller.requests += 1;
        let current = controller.fold.leases.current(&scope());
        let Ok(supersedes) = controller.watch.check(current, now) else { return };
        let (holder, request) = (controller.incarnation, controller.requests);
        let lease = Lease::request(scope(), holder, request, supersedes, LEASE_MS, now);
        let record = lease.record();
        controller.requested = Some(lease);
        self.inbox.push(Message::Append(Record::Lease(record)));
    }

    fn renew(&mut self, index: u8) {
        let now = self.now;
        if let Some(Ok(record)) =
            self.controller(index).held.as_mut().map(|held| held.request_renewal(now))
        {
            self.inbox.push(Message::Append(Record::Lease(record)));
        }
    }

    fn propose(&mut self, index: u8, ahead: u64) {
        let now = self.now;
        let reached = self.engines.iter().map(Vec::len).max().unwrap_or(0) as u64;
        let Some(held) = &self.controller(index).held else { return };
        let map = ExpertMap::round_robin(RANKS, 2, 4, 1);
        if let Ok(record) = MapChange::propose(held, reached + ahead, map, now) {
            self.inbox.push(Message::Append(Record::Map(record)));
        }
    }

    fn send_stage(&mut self, index: u8) {
        let now = self.now;
        let number = usize::from(index) % self.controllers.len();
        let controller = &self.controllers[number];
        let change = MapChange::from_pending(&scope(), &controller.fold.maps, RANKS);
        let (Some(held), Some(change)) = (&controller.held, change) else { return };
        let Ok(order) = change.stage_order(held, now) else { return };
        for process in self.zombies.iter().rev().take(2).chain(&self.ranks) {
            let to = process.gate.incarnation();
            self.inbox.push(Message::Stage(process.index, to, order, number));
        }
    }

    fn decide(&mut self, index: u8) {
        let now = self.now;
        let controller = self.controller(index);
        let maps = &controller.fold.maps;
        let change = MapChange::from_pending(&scope(), maps, RANKS);
        let (Some(held), Some(mut change)) = (&controller.held, change) else { return };
        let evidence = |rank| controller.evidence.get(&(change.change(), rank)).copied();
        let evidence = (0..RANKS)
            .map(|rank| evidence(rank).unwrap_or(StageStatus::Pending))
            .collect::<Vec<_>>();
        let record = match resolve_change(maps, &evidence, false) {
            Resolution::Wait => return,
            Resolution::Abort => change.abort(held, now),
            Resolution::Commit(processes) => {
                for (rank, process) in processes.into_iter().enumerate() {
                    change.record_staged(rank, process, change.change());
                }
                change.complete().expect("every rank has staged").commit(held, now)
            }
        };
        if let Ok(record) = record {
            self.inbox.push(Message::Append(Record::Map(record)));
        }
    }

    fn abort(&mut self, index: u8) {
        let now = self.now;
        let controller = self.controller(index);
        let change = MapChange::from_pending(&scope(), &controller.fold.maps, RANKS);
        if let (Some(held), Some(change)) = (&controller.held, change)
            && let Ok(record) = change.abort(held, now)
        {
            self.inbox.push(Message::Append(Record::Map(record)));
        }
    }
}
