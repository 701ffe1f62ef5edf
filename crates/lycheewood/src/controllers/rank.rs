//! The rank controller of an endpoint daemon: stages map changes for one rank and grants steps to its engine.

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
    EngineOrder, EngineRankState, GRANT_AHEAD_STEPS, GroupMaps, MapRecord, RankGate, StageOrder,
    StageStatus, can_stage, map_version, next_engine_order,
};
use crate::ids::{FencingNumber, Incarnation, ScopeName};
use crate::settings::{RankSettings, Timing};
use crate::wire::message::{Frame, RankReport, StageAsk, StageDone, StageRefused};

/// Maximum number of orders sent to the engine in a row. A restarted engine needs four to reach its two maps.
const MAX_CONSECUTIVE_ORDERS: usize = 8;

/// Registers the connection to an entry, for reports to a lease holder.
pub(crate) struct AttachPeer {
    pub(crate) entry: Incarnation,
    pub(crate) frames: mpsc::Sender<Frame>,
}

/// An order from a lease holder to stage a map change. The reply goes to `frames`.
pub(crate) struct StageChange {
    pub(crate) request: StageAsk,
    pub(crate) frames: mpsc::Sender<Frame>,
}

/// Asks the controller to continue: sent after each read of the stream, and, with `read_engine`, after engine
/// steps or the load report interval. The reply is the step at which to wake it next.
struct Wake {
    read_engine: bool,
}

/// Configuration and dependencies of the controller.
pub(crate) struct RankConfig {
    pub(crate) rank: RankSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: LogClient,
    pub(crate) engine: RankClient,
    pub(crate) feed: LeaseFeed,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
}

/// Owns the staging and grant state of one rank.
#[derive(Actor)]
pub(crate) struct RankController {
    config: RankConfig,
    scope: ScopeName,
    rank_gate: RankGate,
    fencing_gate: FencingGate,
    /// The highest known fencing number, sent with orders to the engine.
    highest_fencing: FencingNumber,
    engine: Option<EngineRankState>,
    /// The process that the last join record replaces, and whether the append succeeded.
    last_join: Option<(Option<Incarnation>, bool)>,
    has_joined: bool,
    pending_stage: Option<StageChange>,
    peers: HashMap<Incarnation, mpsc::Sender<Frame>>,
    last_reported: Option<Timestamp>,
}

impl RankController {
    /// Starts the controller and the tasks that wake it on the current Tokio runtime.
    pub(crate) fn start(config: RankConfig) -> ActorRef<Self> {
        let (feed, engine, timing) = (config.feed.clone(), config.engine.clone(), config.timing);
        let controller = Self {
            scope: group_scope(&config.rank.group, config.rank.ranks),
            rank_gate: RankGate::new(config.rank.index, config.incarnation),
            fencing_gate: FencingGate::new(),
            highest_fencing: FencingNumber(0),
            engine: None,
            last_join: None,
            has_joined: false,
            pending_stage: None,
            peers: HashMap::new(),
            last_reported: None,
            config,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(wake_on_stream_reads(feed, actor.clone()));
        tokio::spawn(wake_on_engine_steps(engine, actor.clone(), timing));
        actor
    }

    /// Joins, stages and grants as far as the stream and the engine allow now.
    async fn advance(&mut self, read_engine: bool) {
        let state = self.config.feed.load();
        if state.replay_error().is_some() {
            return;
        }
        let current = state.leases().current(&self.scope);
        if self.config.feed.is_read() {
            self.fencing_gate.update(current, state.next_offset(), state.end_offset());
        }
        self.highest_fencing =
            self.highest_fencing.max(current.map_or(self.highest_fencing, |lease| lease.fencing));
        if !self.join(&state).await {
            return;
        }
        let Some(maps) = state.maps(&self.scope) else { return };
        if (read_engine || self.engine.is_none()) && !self.read_engine(0).await {
            return;
        }
        self.stage_pending(maps).await;
        self.send_engine_orders(maps).await;
    }

    /// Takes over the rank with a join record. Returns whether the stream names this process for the rank.
    async fn join(&mut self, state: &GroupState) -> bool {
        let rank = self.config.rank.index;
        let current_process = state.maps(&self.scope).and_then(|maps| maps.process(rank));
        if current_process == Some(self.config.incarnation) {
            if !std::mem::replace(&mut self.has_joined, true) {
                log::info!("rank joined scope={} rank={rank}", self.scope);
            }
            return true;
        }
        let is_caught_up = self.config.feed.is_read() && state.next_offset() >= state.end_offset();
        // A replaced process never takes its rank back, because its successor may have granted steps.
        if self.has_joined || !is_caught_up || self.last_join == Some((current_process, true)) {
            return false;
        }
        let record = MapRecord::Join {
            scope: self.scope.clone(),
            rank,
            incarnation: self.config.incarnation,
            replaces: current_process,
        };
        let Ok(payload) = encode_record(&record) else { return false };
        let payload = String::from_utf8_lossy(&payload).into_owned();
        let appended = self.config.log.append(LEASES, payload).await.is_ok();
        self.last_join = Some((current_process, appended));
        false
    }

    /// Reads the state of the rank from the engine. Returns whether the engine replied.
    async fn read_engine(&mut self, wait_ms: u64) -> bool {
        let Ok(engine) = self.config.engine.read(0, wait_ms).await else { return false };
        self.rank_gate.raise_granted_end(engine.granted_until.max(engine.next_step));
        self.engine = Some(engine);
        true
    }

    /// Stages the ordered change, and replies once the engine has staged it or the order is refused.
    async fn stage_pending(&mut self, maps: &GroupMaps) {
        let Some(StageChange { request, frames }) = self.pending_stage.take() else { return };
        let order =
            StageOrder { change: request.change, step: request.step, fencing: request.fencing };
        match self.stage(maps, &order).await {
            StageStatus::Staged(incarnation) => {
                let (scope, rank) = (request.scope, self.config.rank.index);
                let done = StageDone { scope, rank, incarnation, change: request.change };
                let _ = frames.try_send(Frame::Staged(done));
            }
            StageStatus::Refused => self.refuse(StageChange { request, frames }),
            StageStatus::Pending => self.pending_stage = Some(StageChange { request, frames }),
        }
    }

    fn refuse(&self, order: StageChange) {
        let StageChange { request, frames } = order;
        let (scope, rank) = (request.scope, self.config.rank.index);
        let incarnation = self.config.incarnation;
        let refused = StageRefused { scope, rank, incarnation, change: request.change };
        let _ = frames.try_send(Frame::StageRefused(refused));
    }

    async fn stage(&mut self, maps: &GroupMaps, order: &StageOrder) -> StageStatus {
        match self.fencing_gate.admit(order.fencing) {
            Ok(()) => self.highest_fencing = self.highest_fencing.max(order.fencing),
            Err(OrderRefusal::CatchingUp) => return StageStatus::Pending,
            Err(OrderRefusal::Superseded { .. }) => return StageStatus::Refused,
        }
        // The engine holds at most one staged map beside the map in use.
        if !self.engine.is_some_and(|engine| can_stage(&engine, maps)) {
            return StageStatus::Pending;
        }
        if let Err(refusal) = self.rank_gate.stage(maps, order) {
            return refusal.stage_status();
        }
        self.send_engine_orders(maps).await;
        let version = map_version(order.change);
        let is_staged =
            |engine: EngineRankState| engine.staged_map.is_some_and(|s| s.version == version);
        if self.engine.is_some_and(is_staged) {
            return StageStatus::Staged(self.config.incarnation);
        }
        StageStatus::Pending
    }

    /// Sends the orders that the engine needs and reads its state after each one, until none is needed, a grant was
    /// sent or [`MAX_CONSECUTIVE_ORDERS`] were sent.
    async fn send_engine_orders(&mut self, maps: &GroupMaps) {
        for _ in 0..MAX_CONSECUTIVE_ORDERS {
            let Some(engine) = self.engine else { return };
            let wanted_end = engine.next_step.saturating_add(GRANT_AHEAD_STEPS);
            let limit = self.rank_gate.grant(maps, wanted_end).map(|end| end.min(wanted_end));
            let staged = self.rank_gate.staged_change(maps);
            let Some(order) = next_engine_order(&engine, maps, staged, limit) else { return };
            if self.config.engine.order(order, self.highest_fencing).await.is_err() {
                self.engine = None;
                return;
            }
            let is_grant = matches!(order, EngineOrder::Grant { .. });
            if !self.read_engine(0).await || is_grant {
                return;
            }
        }
    }

    /// Sends the measurements of the engine to the lease holder, at most once per report interval.
    async fn report(&mut self) {
        let now = self.config.clock.now();
        let interval_ms = self.config.timing.rank_report_ms;
        if self.last_reported.is_some_and(|at| now.ms_since(at) < interval_ms) {
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
            self.last_reported = Some(now);
        }
    }

    /// The step at which the controller grants again, when half of the granted steps have run; 0 if the state of
    /// the engine is unknown.
    fn next_wake_step(&self) -> u64 {
        self.engine.map_or(0, |engine| engine.next_step.saturating_add(GRANT_AHEAD_STEPS / 2))
    }
}

impl Message<Wake> for RankController {
    type Reply = u64;

    async fn handle(&mut self, wake: Wake, _: &mut Context<Self, u64>) -> u64 {
        self.advance(wake.read_engine).await;
        if wake.read_engine {
            self.report().await;
        }
        self.next_wake_step()
    }
}

impl Message<AttachPeer> for RankController {
    type Reply = ();

    async fn handle(&mut self, peer: AttachPeer, _: &mut Context<Self, ()>) {
        self.peers.insert(peer.entry, peer.frames);
    }
}

impl Message<StageChange> for RankController {
    type Reply = ();

    async fn handle(&mut self, order: StageChange, _: &mut Context<Self, ()>) {
        if order.request.scope != self.scope {
            return;
        }
        // Keeps the order with the higher fencing number and refuses the other. With equal numbers the newer
        // order replaces the older one, which gets no reply.
        match self.pending_stage.take() {
            Some(pending) if pending.request.fencing > order.request.fencing => {
                self.refuse(order);
                self.pending_stage = Some(pending);
            }
            former => {
                if let Some(former) = former.filter(|f| f.request.fencing < order.request.fencing) {
                    self.refuse(former);
                }
                self.pending_stage = Some(order);
            }
        }
        self.advance(true).await;
    }
}

/// Wakes the controller after each read of the stream.
async fn wake_on_stream_reads(feed: LeaseFeed, actor: ActorRef<RankController>) {
    let mut reads = feed.reads();
    while reads.changed().await.is_ok() {
        if actor.ask(Wake { read_engine: false }).await.is_err() {
            return;
        }
    }
}

/// Wakes the controller when the engine has run half of its granted steps, and at each load report interval.
async fn wake_on_engine_steps(engine: RankClient, actor: ActorRef<RankController>, timing: Timing) {
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
