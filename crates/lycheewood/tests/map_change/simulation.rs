//! Simulation of a group of ranks, two controllers and a log, driven by a sequence of operations.

use std::collections::BTreeMap;

use lycheewood::{
    ExpertMap, GroupMaps, Incarnation, Lease, LeaseHeld, LeaseRecord, LeaseRequested, LeaseTable,
    LeaseWatch, MapChange, MapRecord, Offset, RankGate, Resolution, ScopeName, StageOrder,
    StageStatus, Timestamp, resolve_change,
};

pub(crate) const RANKS: usize = 3;
const LEASE_MS: u64 = 1_000;

/// One operation. Indices are taken modulo the number of elements.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// Time passes.
    Tick(u16),
    /// The log becomes available or unavailable.
    SetLogUp(bool),
    /// A rank reads up to this many records. A rank that does not read has stalled or missed a decision.
    ReadRank(u8, u8),
    /// A rank grants its engine this many more steps.
    Grant(u8, u8),
    /// A new process takes over a rank. The old process keeps running.
    Replace(u8),
    /// A controller reads the log. A controller that acts without reading has just resumed after a pause.
    ReadController(u8),
    Request(u8),
    Renew(u8),
    Propose(u8, u8),
    SendStage(u8),
    Decide(u8),
    Abort(u8),
    /// The first operations, up to this many, of a whole change from lease to decision.
    RunChange(u8, u8),
    /// The message or append of this index arrives; with `true` it arrives again later.
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
    /// Order to the process of this rank and incarnation, with the sending controller.
    Stage(usize, Incarnation, StageOrder, usize),
    /// Reply to this controller: rank, status and change.
    Staged(usize, usize, StageStatus, Offset),
}

/// The state that a reader has replayed from the log.
#[derive(Clone, Debug)]
struct Replay {
    next: usize,
    leases: LeaseTable,
    maps: GroupMaps,
}

struct Rank {
    index: usize,
    gate: RankGate,
    replay: Replay,
    /// Changes that the process has staged, with their steps.
    staged: Vec<(Offset, u64)>,
}

struct Controller {
    incarnation: Incarnation,
    replay: Replay,
    watch: LeaseWatch,
    requests: u64,
    requested: Option<Lease<LeaseRequested>>,
    held: Option<Lease<LeaseHeld>>,
    statuses: BTreeMap<(Offset, usize), StageStatus>,
}

pub(crate) struct Simulation {
    now: Timestamp,
    is_log_up: bool,
    log: Vec<(Timestamp, Record)>,
    ranks: Vec<Rank>,
    replaced_processes: Vec<Rank>,
    controllers: Vec<Controller>,
    in_transit: Vec<Message>,
    last_incarnation: u64,
    /// Map of each granted step, by rank and then by step.
    engines: Vec<Vec<Offset>>,
    /// The state of the whole log.
    reference: Replay,
    /// Steps below this one have been checked.
    checked_end: usize,
    pub(crate) commits: usize,
}

fn scope() -> ScopeName {
    ScopeName::new("group")
}

impl Replay {
    fn new() -> Self {
        Self { next: 0, leases: LeaseTable::new(), maps: GroupMaps::new(scope(), RANKS) }
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

impl Simulation {
    /// A group whose ranks have joined and whose first map applies from step 0.
    pub(crate) fn new() -> Self {
        let controller = |number| Controller {
            incarnation: Incarnation(number),
            replay: Replay::new(),
            watch: LeaseWatch::new(),
            requests: 0,
            requested: None,
            held: None,
            statuses: BTreeMap::new(),
        };
        let rank = |rank: usize| Rank {
            index: rank,
            gate: RankGate::new(rank, Incarnation(10 + rank as u64)),
            replay: Replay::new(),
            staged: Vec::new(),
        };
        let mut simulation = Self {
            now: Timestamp::from_unix_ms(1_000_000),
            is_log_up: true,
            log: Vec::new(),
            ranks: (0..RANKS).map(rank).collect(),
            replaced_processes: Vec::new(),
            controllers: vec![controller(1), controller(2)],
            in_transit: Vec::new(),
            last_incarnation: 100,
            engines: vec![Vec::new(); RANKS],
            reference: Replay::new(),
            checked_end: 0,
            commits: 0,
        };
        for rank in 0..RANKS {
            let incarnation = Incarnation(10 + rank as u64);
            simulation.append(Record::Map(MapRecord::Join {
                scope: scope(),
                rank,
                incarnation,
                replaces: None,
            }));
            simulation.ranks[rank].gate.raise_granted_end(0);
        }
        simulation.run_change(0, 0, usize::MAX);
        simulation
    }

    fn run_change(&mut self, controller: u8, ahead: u8, cut: usize) {
        let deliver = [Op::DeliverLast; 10];
        let mut script = vec![Op::Request(controller)];
        script.extend(deliver);
        script.extend([Op::ReadController(controller), Op::Propose(controller, ahead)]);
        script.extend(deliver);
        script.push(Op::ReadController(controller));
        let ranks = 0..3_u8;
        script.extend(ranks.clone().map(|rank| Op::ReadRank(rank, u8::MAX)));
        script.push(Op::SendStage(controller));
        script.extend([deliver, deliver].concat());
        script.push(Op::Decide(controller));
        script.extend(deliver);
        script.extend(ranks.clone().map(|rank| Op::ReadRank(rank, u8::MAX)));
        script.extend(ranks.map(|rank| Op::Grant(rank, 7)));
        for op in script.into_iter().take(cut) {
            self.apply(op);
        }
    }

    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Tick(ms) => self.now = self.now.plus_ms(u64::from(ms)),
            Op::SetLogUp(is_available) => self.is_log_up = is_available,
            Op::ReadRank(rank, records) if self.is_log_up => {
                let rank = usize::from(rank) % RANKS;
                self.ranks[rank].replay.read(&self.log, usize::from(records));
            }
            Op::ReadController(controller) if self.is_log_up => self.read_controller(controller),
            Op::Grant(rank, steps) => self.grant(usize::from(rank) % RANKS, u64::from(steps % 4)),
            Op::Replace(rank) if self.is_log_up => self.replace(usize::from(rank) % RANKS),
            Op::Request(controller) => self.request(controller),
            Op::Renew(controller) => self.renew(controller),
            Op::Propose(controller, ahead) => self.propose(controller, u64::from(ahead % 8)),
            Op::SendStage(controller) => self.send_stage(controller),
            Op::Decide(controller) => self.decide(controller),
            Op::Abort(controller) => self.abort(controller),
            Op::RunChange(controller, cut) => self.run_change(controller, 6, usize::from(cut)),
            Op::Deliver(index, is_repeated) if !self.in_transit.is_empty() => {
                let index = usize::from(index) % self.in_transit.len();
                let message = self.in_transit[index].clone();
                if !is_repeated {
                    self.in_transit.remove(index);
                }
                self.deliver(message, index);
            }
            Op::DeliverLast => {
                if let Some(message) = self.in_transit.pop() {
                    self.deliver(message, usize::MAX);
                }
            }
            Op::ReadRank(..) | Op::ReadController(_) | Op::Replace(_) | Op::Deliver(..) => {}
        }
        self.in_transit.drain(..self.in_transit.len().saturating_sub(24));
    }

    fn append(&mut self, record: Record) {
        self.log.push((self.now, record));
        let newest = |replay: &Replay| replay.maps.newest().map(|map| map.change);
        let before = newest(&self.reference);
        self.reference.read(&self.log, usize::MAX);
        self.commits += usize::from(newest(&self.reference) != before);
    }

    fn deliver(&mut self, message: Message, index: usize) {
        match message {
            Message::Append(record) if self.is_log_up => self.append(record),
            // The log refuses the append, and the sender retries it.
            Message::Append(record) => {
                self.in_transit.insert(index.min(self.in_transit.len()), Message::Append(record));
            }
            Message::Stage(rank, incarnation, order, controller) => {
                let process = self.ranks.iter_mut().chain(&mut self.replaced_processes);
                let at = |p: &&mut Rank| p.index == rank && p.gate.incarnation() == incarnation;
                let Some(process) = process.into_iter().find(at) else { return };
                let status = match process.gate.stage(&process.replay.maps, &order) {
                    Ok(()) => {
                        process.staged.push((order.change, order.step));
                        StageStatus::Staged(incarnation)
                    }
                    Err(refusal) => refusal.stage_status(),
                };
                self.in_transit.push(Message::Staged(controller, rank, status, order.change));
            }
            Message::Staged(controller, rank, status, change) => {
                self.controllers[controller].statuses.insert((change, rank), status);
            }
        }
    }

    fn grant(&mut self, rank: usize, steps: u64) {
        let engine = &mut self.engines[rank];
        let process = &mut self.ranks[rank];
        let Some(end) = process.gate.grant(&process.replay.maps, engine.len() as u64 + steps)
        else {
            return;
        };
        for step in engine.len() as u64..end {
            let map = process.replay.maps.map_of_step(step);
            engine.push(map.expect("a rank granted a step without a map").change);
            check_decided(process, step);
        }
    }

    fn replace(&mut self, rank: usize) {
        self.last_incarnation += 1;
        let incarnation = Incarnation(self.last_incarnation);
        let mut replay = Replay::new();
        // A new process has not read the newest records.
        replay.read(&self.log, self.log.len().saturating_sub(6));
        let replaces = self.reference.maps.process(rank);
        let mut gate = RankGate::new(rank, incarnation);
        gate.raise_granted_end(self.engines[rank].len() as u64);
        let process = Rank { index: rank, gate, replay, staged: Vec::new() };
        self.replaced_processes.push(std::mem::replace(&mut self.ranks[rank], process));
        let join = MapRecord::Join { scope: scope(), rank, incarnation, replaces };
        self.append(Record::Map(join.clone()));
        // The reply may be lost, in which case the record is appended again.
        self.in_transit.push(Message::Append(Record::Map(join)));
    }

    /// Checks each step that all engines were granted: all ranks use the same map for it, and it is the map
    /// that the whole log defines, if that map is still kept.
    pub(crate) fn check(&mut self) {
        let granted_end = self.engines.iter().map(Vec::len).min().unwrap_or(0);
        for step in self.checked_end..granted_end {
            let maps = self.engines.iter().map(|engine| engine[step]).collect::<Vec<_>>();
            assert!(maps.iter().all(|map| *map == maps[0]), "step {step} ran with maps {maps:?}");
            let decided = self.reference.maps.map_of_step(step as u64).map(|map| map.change);
            assert!(
                decided.is_none_or(|decided| decided == maps[0]),
                "step {step} ran with the map of {}, but the log defines {decided:?}",
                maps[0]
            );
        }
        self.checked_end = granted_end;
    }
}

/// Checks that a granted step at or past a staged change has a decision that the process has read.
fn check_decided(process: &Rank, step: u64) {
    let pending = process.replay.maps.pending().map(|pending| pending.change);
    for &(change, from) in &process.staged {
        let is_undecided = pending == Some(change) && step >= from;
        assert!(!is_undecided, "step {step} granted past the undecided change {change}");
    }
}

/// Operations of the controllers.
impl Simulation {
    fn controller(&mut self, index: u8) -> &mut Controller {
        let count = self.controllers.len();
        &mut self.controllers[usize::from(index) % count]
    }

    fn read_controller(&mut self, index: u8) {
        let index = usize::from(index) % self.controllers.len();
        let controller = &mut self.controllers[index];
        controller.replay.read(&self.log, usize::MAX);
        let current = controller.replay.leases.current(&scope());
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
        let current = controller.replay.leases.current(&scope());
        let Ok(supersedes) = controller.watch.check(current, now) else { return };
        let (holder, request) = (controller.incarnation, controller.requests);
        let lease = Lease::request(scope(), holder, request, supersedes, LEASE_MS, now);
        let record = lease.record();
        controller.requested = Some(lease);
        self.in_transit.push(Message::Append(Record::Lease(record)));
    }

    fn renew(&mut self, index: u8) {
        let now = self.now;
        if let Some(Ok(record)) =
            self.controller(index).held.as_mut().map(|held| held.request_renewal(now))
        {
            self.in_transit.push(Message::Append(Record::Lease(record)));
        }
    }

    fn propose(&mut self, index: u8, ahead: u64) {
        let now = self.now;
        let reached = self.engines.iter().map(Vec::len).max().unwrap_or(0) as u64;
        let Some(held) = &self.controller(index).held else { return };
        let map = ExpertMap::round_robin(RANKS, 2, 4, 1);
        if let Ok(record) = MapChange::propose(held, reached + ahead, map, now) {
            self.in_transit.push(Message::Append(Record::Map(record)));
        }
    }

    fn send_stage(&mut self, index: u8) {
        let now = self.now;
        let number = usize::from(index) % self.controllers.len();
        let controller = &self.controllers[number];
        let change = MapChange::from_pending(&scope(), &controller.replay.maps, RANKS);
        let (Some(held), Some(change)) = (&controller.held, change) else { return };
        let Ok(order) = change.stage_order(held, now) else { return };
        for process in self.replaced_processes.iter().rev().take(2).chain(&self.ranks) {
            let to = process.gate.incarnation();
            self.in_transit.push(Message::Stage(process.index, to, order, number));
        }
    }

    fn decide(&mut self, index: u8) {
        let now = self.now;
        let controller = self.controller(index);
        let maps = &controller.replay.maps;
        let change = MapChange::from_pending(&scope(), maps, RANKS);
        let (Some(held), Some(mut change)) = (&controller.held, change) else { return };
        let status = |rank| controller.statuses.get(&(change.change(), rank)).copied();
        let statuses =
            (0..RANKS).map(|rank| status(rank).unwrap_or(StageStatus::Pending)).collect::<Vec<_>>();
        let record = match resolve_change(maps, &statuses, false) {
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
            self.in_transit.push(Message::Append(Record::Map(record)));
        }
    }

    fn abort(&mut self, index: u8) {
        let now = self.now;
        let controller = self.controller(index);
        let change = MapChange::from_pending(&scope(), &controller.replay.maps, RANKS);
        if let (Some(held), Some(change)) = (&controller.held, change)
            && let Ok(record) = change.abort(held, now)
        {
            self.in_transit.push(Message::Append(Record::Map(record)));
        }
    }
}
