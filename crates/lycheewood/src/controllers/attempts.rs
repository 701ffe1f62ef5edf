//! The attempts controller of an endpoint daemon: what this process knows of each attempt.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::{mpsc, watch};

use crate::adapters::log::LogClient;
use crate::clock::{Clock, Timestamp};
use crate::controllers::document::CurrentDocument;
use crate::controllers::quarantine::append_suspect_report;
use crate::decisions::attempts::table::AttemptTable;
use crate::decisions::attempts::{
    EndpointView, Occupancy, RecoverDecision, StartDecision, decide_ask, decide_recover,
    decide_start,
};
use crate::decisions::quarantine::record::{ReportId, SuspectReport};
use crate::ids::{AttemptId, Incarnation, VersionName};
use crate::metrics::Metrics;
use crate::response::ResponseBuffer;
use crate::settings::Timing;
use crate::wire::message::{Ask, Frame, Hello, Load, Recover, RefusedReason, Start, Suspects};

/// Attempts that are remembered; about 100 bytes each. Well above what comes within one deadline.
const MAX_REMEMBERED: usize = 100_000;
/// The longest deadline while no document is in force. Promises are kept at least that long.
const FALLBACK_MAX_DEADLINE_MS: u64 = 3_600_000;
/// Quarantine while no document is in force.
const FALLBACK_QUARANTINE_MS: u64 = 3_600_000;

/// An attempt that runs, or whose answer is still buffered.
struct BufferedAttempt {
    buffer: Arc<ResponseBuffer>,
    fingerprint: [u8; 16],
    alone: bool,
    running: bool,
    /// A report of a crash has named it.
    reported: bool,
    /// When the answer may be dropped; not while the attempt runs.
    drop_at: Timestamp,
}

/// What a connection is to do with a `Start`, an `Ask` or a `Recover`.
#[derive(Debug, kameo::Reply)]
pub(crate) enum AttemptAction {
    /// Run the attempt and send its answer.
    Run(Arc<ResponseBuffer>),
    /// Send the answer of an attempt that runs or has ended.
    Attach(Arc<ResponseBuffer>),
    /// Send the refusal.
    Refuse(RefusedReason),
    /// Send that it may have run.
    Fail,
    /// Send nothing.
    Silent,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExecutionEnd {
    /// The answer is whole.
    Answered,
    /// Nothing was sent to the engine or service.
    NotStarted,
    /// It may have run.
    Failed,
    /// The engine or service process died under it.
    EngineDied,
}

/// An entry asks for an attempt to be run.
pub(crate) struct StartAttempt(pub(crate) Box<Start>);
/// An entry asks after its attempt.
pub(crate) struct QueryAttempt(pub(crate) Ask);
/// An entry asks for the result of another entry's attempt, or a promise.
pub(crate) struct RecoverAttempt(pub(crate) Recover);
/// An execution has ended.
pub(crate) struct ExecutionEnded {
    pub(crate) attempt: AttemptId,
    pub(crate) end: ExecutionEnd,
}
/// An entry has connected.
pub(crate) struct EntryConnected {
    pub(crate) entry: Hello,
    pub(crate) frames: mpsc::Sender<Frame>,
}
/// The engine's load, or `None` when it does not respond.
pub(crate) struct BackendLoad(pub(crate) Option<Load>);
/// The process is leaving.
pub(crate) struct Drain;

/// State of the endpoint as others see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndpointStatus {
    pub(crate) running: u32,
    pub(crate) draining: bool,
    pub(crate) engine_up: bool,
}

/// What the controller is started with.
pub(crate) struct AttemptsConfig {
    pub(crate) incarnation: Incarnation,
    pub(crate) version: Option<VersionName>,
    pub(crate) capacity: u32,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) document: Arc<ArcSwapOption<CurrentDocument>>,
    pub(crate) log: LogClient,
    /// Connected entries, as others see them.
    pub(crate) peers: Arc<ArcSwap<Vec<Hello>>>,
}

/// Owns what this process knows of attempts.
#[derive(Actor)]
pub(crate) struct AttemptsController {
    config: AttemptsConfig,
    attempt_table: AttemptTable,
    entries: HashMap<AttemptId, BufferedAttempt>,
    running: u32,
    draining: bool,
    engine_up: bool,
    crashes: u64,
    load: Load,
    peers: Vec<EntryConnected>,
    status: watch::Sender<EndpointStatus>,
}

impl AttemptsController {
    /// Starts the controller on the present runtime.
    pub(crate) fn start(
        config: AttemptsConfig,
    ) -> (ActorRef<Self>, watch::Receiver<EndpointStatus>) {
        let (status, status_receiver) = watch::channel(EndpointStatus::default());
        let controller = Self {
            config,
            attempt_table: AttemptTable::new(MAX_REMEMBERED),
            entries: HashMap::new(),
            running: 0,
            draining: false,
            engine_up: false,
            crashes: 0,
            load: Load::default(),
            peers: Vec::new(),
            status,
        };
        (Self::spawn_with_mailbox(controller, mailbox::unbounded()), status_receiver)
    }

    fn now(&self) -> Timestamp {
        self.config.clock.now()
    }

    fn view(&self) -> EndpointView<'_> {
        EndpointView {
            incarnation: self.config.incarnation,
            draining: self.draining,
            engine_up: self.engine_up,
            version: self.config.version.as_ref(),
            occupancy: Occupancy {
                running: self.running,
                capacity: self.config.capacity,
                runs_alone: self.entries.values().any(|entry| entry.alone && entry.running),
            },
            attempt_table_full: self.attempt_table.is_full(),
        }
    }

    fn attach(&self, attempt: AttemptId) -> AttemptAction {
        match self.entries.get(&attempt) {
            Some(entry) => AttemptAction::Attach(Arc::clone(&entry.buffer)),
            None => AttemptAction::Fail,
        }
    }

    fn begin(&mut self, start: &Start) -> AttemptAction {
        let now = self.now();
        let state = self.attempt_table.state(start.attempt, now);
        match decide_start(&self.view(), state, start, now) {
            StartDecision::Run => self.run(start),
            StartDecision::Attach => self.attach(start.attempt),
            StartDecision::Refuse { reason, promise_until } => {
                self.attempt_table.record_promise(start.attempt, promise_until);
                AttemptAction::Refuse(reason)
            }
            StartDecision::Fail => AttemptAction::Fail,
        }
    }

    fn run(&mut self, start: &Start) -> AttemptAction {
        let buffer = Arc::new(ResponseBuffer::new(start));
        let entry = BufferedAttempt {
            buffer: Arc::clone(&buffer),
            fingerprint: start.fingerprint,
            alone: start.run_alone,
            running: true,
            reported: false,
            drop_at: start.deadline.plus_ms(self.config.timing.result_keep_ms),
        };
        self.entries.insert(start.attempt, entry);
        self.attempt_table.mark_running(start.attempt);
        self.running += 1;
        self.publish();
        AttemptAction::Run(buffer)
    }

    /// The longest deadline that an entry may give, plus the clock skew.
    fn max_deadline_ms(&self) -> u64 {
        let document = self.config.document.load();
        let max_ms = document
            .as_ref()
            .map_or(FALLBACK_MAX_DEADLINE_MS, |document| document.document.deadlines.max_ms);
        max_ms.saturating_add(self.config.timing.clock_skew_ms)
    }

    fn recover(&mut self, attempt: AttemptId, decision: RecoverDecision) -> AttemptAction {
        match decision {
            RecoverDecision::Promise { reason, promise_until } => {
                self.attempt_table.record_promise(attempt, promise_until);
                AttemptAction::Refuse(reason)
            }
            RecoverDecision::Attach => self.attach(attempt),
            RecoverDecision::Fail => AttemptAction::Fail,
            RecoverDecision::Silent => AttemptAction::Silent,
        }
    }

    fn ended(&mut self, attempt: AttemptId, end: ExecutionEnd) {
        if end == ExecutionEnd::EngineDied {
            self.report_crash(attempt);
        }
        let drop_at = self.now().plus_ms(self.config.timing.result_keep_ms);
        let Some(entry) = self.entries.get_mut(&attempt).filter(|entry| entry.running) else {
            return;
        };
        entry.running = false;
        entry.drop_at = entry.drop_at.max(drop_at);
        self.running -= 1;
        // An attempt of which nothing was sent counts as ended without an answer. Its entry is told that
        // it never ran; who asks later learns only that it may have.
        self.attempt_table.mark_ended(attempt, end == ExecutionEnd::Answered);
        self.publish();
    }

    /// Tells all entries and the log which requests were in flight, once for each death of the engine.
    /// The load report may have shown the engine down before, or up again since.
    fn report_crash(&mut self, attempt: AttemptId) {
        if self.entries.get(&attempt).is_none_or(|entry| !entry.running || entry.reported) {
            return;
        }
        self.engine_up = false;
        self.crashes += 1;
        log::warn!("engine died attempts_in_flight={}", self.running);
        let mut in_flight: Vec<&mut BufferedAttempt> =
            self.entries.values_mut().filter(|entry| entry.running && !entry.reported).collect();
        for entry in &mut in_flight {
            entry.reported = true;
        }
        let document = self.config.document.load();
        let report = SuspectReport {
            report: ReportId { incarnation: self.config.incarnation, sequence: self.crashes },
            ran_alone: in_flight.len() == 1 && in_flight[0].alone,
            fingerprints: in_flight.iter().map(|entry| entry.fingerprint.into()).collect(),
            version: self.config.version.clone(),
            quarantine_ms: document
                .as_ref()
                .map_or(FALLBACK_QUARANTINE_MS, |document| document.document.quarantine_ms),
        };
        self.config.metrics.suspects_reported.inc_by(report.fingerprints.len() as u64);
        self.broadcast(&Frame::Suspects(Suspects::from(&report)));
        append_suspect_report(self.config.log.clone(), report, self.config.timing);
    }

    /// Sends a frame to every connected entry. One whose queue is full is behind and loses it.
    fn broadcast(&mut self, frame: &Frame) {
        self.drop_closed_peers();
        for peer in &self.peers {
            let _ = peer.frames.try_send(frame.clone());
        }
    }

    fn drop_closed_peers(&mut self) {
        let before = self.peers.len();
        self.peers.retain(|peer| !peer.frames.is_closed());
        if self.peers.len() != before {
            self.publish_peers();
        }
    }

    fn publish_peers(&self) {
        let entries = self.peers.iter().map(|peer| peer.entry.clone()).collect();
        self.config.peers.store(Arc::new(entries));
    }

    /// Drops answers that nobody will ask for and promises that nobody needs.
    fn expire(&mut self) {
        let now = self.now();
        let attempt_table = &mut self.attempt_table;
        self.entries.retain(|attempt, entry| {
            let keep = entry.running || entry.drop_at > now;
            if !keep {
                attempt_table.mark_answer_dropped(*attempt);
            }
            keep
        });
        attempt_table.remove_expired_promises(now);
    }

    fn publish(&self) {
        self.status.send_replace(EndpointStatus {
            running: self.running,
            draining: self.draining,
            engine_up: self.engine_up,
        });
    }
}

impl Message<StartAttempt> for AttemptsController {
    type Reply = AttemptAction;

    async fn handle(
        &mut self,
        StartAttempt(start): StartAttempt,
        _: &mut Context<Self, AttemptAction>,
    ) -> AttemptAction {
        self.begin(&start)
    }
}

impl Message<QueryAttempt> for AttemptsController {
    type Reply = AttemptAction;

    async fn handle(
        &mut self,
        QueryAttempt(ask): QueryAttempt,
        _: &mut Context<Self, AttemptAction>,
    ) -> AttemptAction {
        let now = self.now();
        let state = self.attempt_table.state(ask.attempt, now);
        let decision = decide_ask(&self.view(), state, self.max_deadline_ms(), now);
        self.recover(ask.attempt, decision)
    }
}

impl Message<RecoverAttempt> for AttemptsController {
    type Reply = AttemptAction;

    async fn handle(
        &mut self,
        RecoverAttempt(recover): RecoverAttempt,
        _: &mut Context<Self, AttemptAction>,
    ) -> AttemptAction {
        let now = self.now();
        let state = self.attempt_table.state(recover.attempt, now);
        let target = recover.endpoint_incarnation;
        let decision = decide_recover(&self.view(), state, target, self.max_deadline_ms(), now);
        self.recover(recover.attempt, decision)
    }
}

impl Message<ExecutionEnded> for AttemptsController {
    type Reply = ();

    async fn handle(&mut self, ended: ExecutionEnded, _: &mut Context<Self, ()>) {
        self.ended(ended.attempt, ended.end);
    }
}

impl Message<EntryConnected> for AttemptsController {
    type Reply = ();

    async fn handle(&mut self, peer: EntryConnected, _: &mut Context<Self, ()>) {
        if self.draining {
            let _ = peer.frames.try_send(Frame::Draining);
        }
        let _ = peer.frames.try_send(Frame::Load(self.load));
        self.peers.retain(|peer| !peer.frames.is_closed());
        self.peers.push(peer);
        self.publish_peers();
    }
}

impl Message<BackendLoad> for AttemptsController {
    type Reply = ();

    async fn handle(&mut self, BackendLoad(load): BackendLoad, _: &mut Context<Self, ()>) {
        self.expire();
        self.drop_closed_peers();
        if self.engine_up != load.is_some() {
            self.engine_up = load.is_some();
            log::info!("engine state changed up={}", self.engine_up);
        }
        // A backend that does not respond has no room, so that entries choose another endpoint.
        self.load = load.unwrap_or_default();
        self.broadcast(&Frame::Load(self.load));
        self.publish();
    }
}

impl Message<Drain> for AttemptsController {
    type Reply = ();

    async fn handle(&mut self, _: Drain, _: &mut Context<Self, ()>) {
        if !self.draining {
            self.draining = true;
            log::info!("draining attempts_in_flight={}", self.running);
            self.broadcast(&Frame::Draining);
        }
        self.publish();
    }
}
