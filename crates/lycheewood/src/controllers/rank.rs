//! The rank controller of an endpoint daemon: what one rank stages and which steps its engine may run.

use std::collections::HashMap;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::adapters::log::LogClient;
use crate::adapters::ranks::RankClient;
use crate::clock::{Clock, Timestamp};
use crate::controllers::leases::{LEASES, LeaseFeed};
use crate::decisions::groups::{GroupState, group_scope};
use crate::decisions::leases::{FencingGate, OrderRefusal, encode_record};
use crate::decisions::map_change::{
    EngineOrder, EngineRankState, GroupMaps, MapRecord, RankGate, StageOrder, StageStatus,
    can_stage, map_version, next_engine_order,
};
use crate::ids::{FencingNumber, Incarnation, ScopeName};
use crate::settings::{RankSettings, Timing};
use crate::wire::message::{Frame, RankReport, StageAsk, StageDone, StageRefused};

/// Steps that an engine may run before it needs another grant. A change of the map has to be proposed
/// later than these; fewer of them let a slow reply of the daemon hold up the group.
pub(crate) const GRANT_AHEAD: u64 = 16;
/// The most orders in a row after one look at the engine. Four bring a restarted engine to two maps.
const MAX_ORDERS: usize = 8;

/// A connection to an entry is open.
pub(crate) struct AttachPeer {
    pub(crate) entry: Incarnation,
    pub(crate) frames: mpsc::Sender<Frame>,
}

/// The holder of a lease orders to stage a change.
pub(crate) struct StageOn {
    pub(crate) ask: StageAsk,
    pub(crate) frames: mpsc::Sender<Frame>,
}

/// The stream has been read, or the engine has run steps. The reply is the step to wait for next.
struct Wake {
    read_engine: bool,
}

/// What the controller needs.
pub(crate) struct RankConfig {
    pub(crate) rank: RankSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: LogClient,
    pub(crate) engine: RankClient,
    pub(crate) feed: LeaseFeed,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
}

/// Owns the state of one rank.
#[derive(Actor)]
pub(crate) struct RankController {
    config: RankConfig,
    scope: ScopeName,
    gate: RankGate,
    fence: FencingGate,
    /// The highest number that the fence has passed, for orders to the engine.
    fencing: FencingNumber,
    engine: Option<EngineRankState>,
    /// The process that the last join names, and whether the log has taken that record.
    join: Option<(Option<Incarnation>, bool)>,
    has_joined: bool,
    waiting: Option<StageOn>,
    peers: HashMap<Incarnation, mpsc::Sender<Frame>>,
    reported: Option<Timestamp>,
}

impl RankController {
    /// Starts the controller and the tasks that wake it on the present runtime.
    pub(crate) fn start(config: RankConfig) -> ActorRef<Self> {
        let (feed, engine, timing) = (config.feed.clone(), config.engine.clone(), config.timing);
        let controller = Self {
            scope: group_scope(&config.rank.group, config.rank.ranks),
            gate: RankGate::new(config.rank.index, config.incarnation),
            fence: FencingGate::new(),
            fencing: FencingNumber(0),
            engine: None,
            join: None,
            has_joined: false,
            waiting: None,
            peers: HashMap::new(),
            reported: None,
            config,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(follow_stream(feed, actor.clone()));
        tokio::spawn(follow_engine(engine, actor.clone(), timing));
        actor
    }

    /// Does all that the stream and the engine allow now.
    async fn advance(&mut self, read_engine: bool) {
        let state = self.config.feed.load();
        if state.replay_error().is_some() {
            return;
        }
        let current = state.leases().current(&self.scope);
        if self.config.feed.is_read() {
            self.fence.update(current, state.next_offset(), state.end_offset());
        }
        self.fencing = self.fencing.max(current.map_or(self.fencing, |lease| lease.fencing));
        if !self.join(&state).await {
            return;
        }
        let Some(maps) = state.maps(&self.scope) else { return };
        if (read_engine || self.engine.is_none()) && !self.read_engine(0).await {
            return;
        }
        self.stage_waiting(maps).await;
        self.give_orders(maps).await;
    }

    /// Takes the rank over in the log. Gives whether the stream names this process.
    async fn join(&mut self, state: &GroupState) -> bool {
        let rank = self.config.rank.index;
        let present = state.maps(&self.scope).and_then(|maps| maps.process(rank));
        if present == Some(self.config.incarnation) {
            if !std::mem::replace(&mut self.has_joined, true) {
                log::info!("rank joined scope={} rank={rank}", self.scope);
            }
            return true;
        }
        let is_caught_up = self.config.feed.is_read() && state.next_offset() >= state.end_offset();
        // A process that was replaced never takes its rank back: its successor may have granted steps.
        if self.has_joined || !is_caught_up || self.join == Some((present, true)) {
            return false;
        }
        let record = MapRecord::Join {
            scope: self.scope.clone(),
            rank,
            incarnation: self.config.incarnation,
            replaces: present,
        };
        let Ok(payload) = encode_record(&record) else { return false };
        let payload = String::from_utf8_lossy(&payload).into_owned();
        let appended = self.config.log.append(LEASES, payload).await.is_ok();
        self.join = Some((present, appended));
        false
    }

    /// Looks at the engine's rank.
    async fn read_engine(&mut self, wait_ms: u64) -> bool {
        let Ok(engine) = self.config.engine.read(0, wait_ms).await else { return false };
        self.gate.raise_granted_end(engine.granted_until.max(engine.next_step));
        self.engine = Some(engine);
        true
    }

    /// Stages the change that the holder ordered, and answers once the engine holds it.
    async fn stage_waiting(&mut self, maps: &GroupMaps) {
        let Some(StageOn { ask, frames }) = self.waiting.take() else { return };
        let order = StageOrder { change: ask.change, step: ask.step, fencing: ask.fencing };
        match self.stage(maps, &order).await {
            StageStatus::Staged(incarnation) => {
                let (scope, rank) = (ask.scope, self.config.rank.index);
                let done = StageDone { scope, rank, incarnation, change: ask.change };
                let _ = frames.try_send(Frame::Staged(done));
            }
            StageStatus::Refused => self.refuse(StageOn { ask, frames }),
            StageStatus::Pending => self.waiting = Some(StageOn { ask, frames }),
        }
    }

    fn refuse(&self, order: StageOn) {
        let StageOn { ask, frames } = order;
        let (scope, rank) = (ask.scope, self.config.rank.index);
        let incarnation = self.config.incarnation;
        let refused = StageRefused { scope, rank, incarnation, change: ask.change };
        let _ = frames.try_send(Frame::StageRefused(refused));
    }

    async fn stage(&mut self, maps: &GroupMaps, order: &StageOrder) -> StageStatus {
        match self.fence.admit(order.fencing) {
            Ok(()) => self.fencing = self.fencing.max(order.fencing),
            Err(OrderRefusal::CatchingUp) => return StageStatus::Pending,
            Err(OrderRefusal::Superseded { .. }) => return StageStatus::Refused,
        }
        // The engine has room for one map beside the one in use.
        if !self.engine.is_some_and(|engine| can_stage(&engine, maps)) {
            return StageStatus::Pending;
        }
        if let Err(refusal) = self.gate.stage(maps, order) {
            return refusal.stage_status();
        }
        self.give_orders(maps).await;
        let version = map_version(order.change);
        let holds =
            |engine: EngineRankState| engine.staged_map.is_some_and(|s| s.version == version);
        if self.engine.is_some_and(holds) {
            return StageStatus::Staged(self.config.incarnation);
        }
        StageStatus::Pending
    }

    /// Gives the engine what it lacks, one order after the other.
    async fn give_orders(&mut self, maps: &GroupMaps) {
        for _ in 0..MAX_ORDERS {
            let Some(engine) = self.engine else { return };
            let wanted_end = engine.next_step.saturating_add(GRANT_AHEAD);
            let limit = self.gate.grant(maps, wanted_end).map(|end| end.min(wanted_end));
            let staged = self.gate.staged_change(maps);
            let Some(order) = next_engine_order(&engine, maps, staged, limit) else { return };
            if self.config.engine.order(order, self.fencing).await.is_err() {
                self.engine = None;
                return;
            }
            let is_grant = matches!(order, EngineOrder::Grant { .. });
            if !self.read_engine(0).await || is_grant {
                return;
            }
        }
    }

    /// Sends what the engine measured to the holder of the lease, at each interval.
    async fn report(&mut self) {
        let now = self.config.clock.now();
        let interval_ms = self.config.timing.rank_report_ms;
        if self.reported.is_some_and(|reported| now.ms_since(reported) < interval_ms) {
            return;
        }
        self.peers.retain(|_, frames| !frames.is_closed());
        let holder = self.config.feed.load().leases().current(&self.scope);
        let Some(frames) = holder.and_then(|lease| self.peers.get(&lease.holder)).cloned() else {
            return;
        };
        let (Some(engine), Ok(load)) = (self.engine, self.config.engine.load().await) else {
            return;
        };
        let rank = self.config.rank.index;
        let report = RankReport {
            scope: self.scope.clone(),
            rank,
            incarnation: self.config.incarnation,
            next_step: engine.next_step,
            step_ms: load.step_ms.get(rank).copied().unwrap_or(0.0),
            speed: load.speeds.get(rank).copied().unwrap_or(1.0),
            slots: load.slots,
            tokens: if rank == 0 { load.tokens } else { Vec::new() },
            ended: load.ended,
        };
        if frames.try_send(Frame::RankReport(Box::new(report))).is_ok() {
            self.reported = Some(now);
        }
    }

    /// The step at which the engine needs another grant.
    fn wake_step(&self) -> u64 {
        self.engine.map_or(0, |engine| engine.next_step.saturating_add(GRANT_AHEAD / 2))
    }
}

impl Message<Wake> for RankController {
    type Reply = u64;

    async fn handle(&mut self, wake: Wake, _: &mut Context<Self, u64>) -> u64 {
        self.advance(wake.read_engine).await;
        if wake.read_engine {
            self.report().await;
        }
        self.wake_step()
    }
}

impl Message<AttachPeer> for RankController {
    type Reply = ();

    async fn handle(&mut self, peer: AttachPeer, _: &mut Context<Self, ()>) {
        self.peers.insert(peer.entry, peer.frames);
    }
}

impl Message<StageOn> for RankController {
    type Reply = ();

    async fn handle(&mut self, order: StageOn, _: &mut Context<Self, ()>) {
        if order.ask.scope != self.scope {
            return;
        }
        // Of two holders' orders only the later one's waits; the other holder must hear of it.
        match self.waiting.take() {
            Some(waiting) if waiting.ask.fencing > order.ask.fencing => {
                self.refuse(order);
                self.waiting = Some(waiting);
            }
            former => {
                if let Some(former) = former.filter(|f| f.ask.fencing < order.ask.fencing) {
                    self.refuse(former);
                }
                self.waiting = Some(order);
            }
        }
        self.advance(true).await;
    }
}

/// Wakes the controller after each read of the stream.
async fn follow_stream(feed: LeaseFeed, actor: ActorRef<RankController>) {
    let mut reads = feed.reads();
    while reads.changed().await.is_ok() {
        if actor.ask(Wake { read_engine: false }).await.is_err() {
            return;
        }
    }
}

/// Wakes the controller when the engine has run half of what it was granted, and at each load report.
async fn follow_engine(engine: RankClient, actor: ActorRef<RankController>, timing: Timing) {
    let mut step = 0;
    loop {
        if engine.read(step, timing.load_report_ms).await.is_err() {
            let bound_ms = timing.reconnect_max_ms.max(2);
            sleep(Duration::from_millis(rand::random_range(bound_ms / 2..=bound_ms))).await;
        }
        match actor.ask(Wake { read_engine: true }).await {
            Ok(next) => step = next,
            Err(_) => return,
        }
    }
}
