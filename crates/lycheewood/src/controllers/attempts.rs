//! The attempts controller of an endpoint daemon: the attempts of this process and their buffered answers.

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

/// Maximum number of attempts in the table, of about 100 bytes each. Far more than arrive within one
/// deadline.
const MAX_REMEMBERED: usize = 100_000;
/// Maximum deadline while no document is in force. Promises are kept at least that long.
const FALLBACK_MAX_DEADLINE_MS: u64 = 3_600_000;
/// Duration of a quarantine while no document is in force.
const FALLBACK_QUARANTINE_MS: u64 = 3_600_000;

/// An attempt that is running, or whose answer is still buffered.
struct BufferedAttempt {
    buffer: Arc<ResponseBuffer>,
    fingerprint: [u8; 16],
    run_alone: bool,
    running: bool,
    /// Whether a crash report has listed it.
    reported: bool,
    /// Time after which the answer is dropped, unless the attempt is still running.
    drop_at: Timestamp,
}

/// How a connection handles a `Start`, an `Ask` or a `Recover`.
#[derive(Debug, kameo::Reply)]
pub(crate) enum AttemptAction {
    /// Run the attempt and send its answer.
    Run(Arc<ResponseBuffer>),
    /// Send the answer of an attempt that is running or has ended.
    Attach(Arc<ResponseBuffer>),
    /// Reply `Refused`.
    Refuse(RefusedReason),
    /// Reply `Failed`: the attempt may have run.
    Fail,
    /// Send nothing.
    Silent,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExecutionEnd {
    /// The answer is complete.
    Answered,
    /// Nothing was sent to the engine or service.
    NotStarted,
    /// The attempt may have run.
    Failed,
    /// The engine or service process died during the execution.
    EngineDied,
}

/// An entry asks to run an attempt.
pub(crate) struct StartAttempt(pub(crate) Box<Start>);
/// An entry asks for the outcome of its own attempt.
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
/// The load that the backend reports, or `None` when it does not respond.
pub(crate) struct BackendLoad(pub(crate) Option<Load>);
/// The process is shutting down and accepts no more attempts.
pub(crate) struct Drain;

/// State of the endpoint that the daemon publishes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndpointStatus {
    pub(crate) running: u32,
    pub(crate) draining: bool,
    pub(crate) engine_up: bool,
}

/// Settings and dependencies of the controller.
pub(crate) struct AttemptsConfig {
    pub(crate) incarnation: Incarnation,
    pub(crate) version: Option<VersionName>,
    pub(crate) capacity: u32,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) document: Arc<ArcSwapOption<CurrentDocument>>,
    pub(crate) log: LogClient,
    /// Connected entries, published for readers outside the controller.
    pub(crate) peers: Arc<ArcSwap<Vec<Hello>>>,
}

/// Owns the attempts of this process.
#[derive(Actor)]
pub(crate) struct AttemptsController {
    config: AttemptsConfig,
    attempt_table: AttemptTable,
    attempts: HashMap<AttemptId, BufferedAttempt>,
    running: u32,
    draining: bool,
    engine_up: bool,
    crashes: u64,
    load: Load,
    peers: Vec<EntryConnected>,
    status: watch::Sender<EndpointStatus>,
}

impl AttemptsController {
    /// Starts the controller on the current runtime.
    pub(crate) fn start(
        config: AttemptsConfig,
    ) -> (ActorRef<Self>, watch::Receiver<EndpointStatus>) {
        let (status, status_receiver) = watch::channel(EndpointStatus::default());
        let controller = Self {
            config,
            attempt_table: AttemptTable::new(MAX_REMEMBERED),
            attempts: HashMap::new(),
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
                runs_alone: self
                    .attempts
                    .values()
                    .any(|attempt| attempt.run_alone && attempt.running),
            },
            attempt_table_full: self.attempt_table.is_full(),
        }
    }

    fn attach(&self, attempt: AttemptId) -> AttemptAction {
        match self.attempts.get(&attempt) {
            Some(buffered) => AttemptAction::Attach(Arc::clone(&buffered.buffer)),
            None => AttemptAction::Fail,
        }
    }

    fn start_attempt(&mut self, start: &Start) -> AttemptAction {
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
        let buffered = BufferedAttempt {
            buffer: Arc::clone(&buffer),
            fingerprint: start.fingerprint,
            run_alone: start.run_alone,
            running: true,
            reported: false,
            drop_at: start.deadline.plus_ms(self.config.timing.result_keep_ms),
        };
        self.attempts.insert(start.attempt, buffered);
        self.attempt_table.mark_running(start.attempt);
        self.running += 1;
        self.publish();
        AttemptAction::Run(buffer)
    }

    /// The maximum deadline that an entry may set, plus the clock skew.
    fn max_deadline_ms(&self) -> u64 {
        let document = self.config.document.load();
        let max_ms = document
            .as_ref()
            .map_or(FALLBACK_MAX_DEADLINE_MS, |document| document.document.deadlines.max_ms);
        max_ms.saturating_add(self.config.timing.clock_skew_ms)
    }

    fn apply_recover_decision(
        &mut self,
        attempt: AttemptId,
        decision: RecoverDecision,
    ) -> AttemptAction {
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

    fn end_execution(&mut self, attempt: AttemptId, end: ExecutionEnd) {
        if end == ExecutionEnd::EngineDied {
            self.report_crash(attempt);
        }
        let drop_at = self.now().plus_ms(self.config.timing.result_keep_ms);
        let Some(buffered) = self.attempts.get_mut(&attempt).filter(|buffered| buffered.running)
        else {
            return;
        };
        buffered.running = false;
        buffered.drop_at = buffered.drop_at.max(drop_at);
        self.running -= 1;
        // An attempt of which nothing was sent to the backend is marked as ended without an answer. Its entry
        // receives the proof that it never ran; a later `Ask` or `Recover` gets only that it may have run.
        self.attempt_table.mark_ended(attempt, end == ExecutionEnd::Answered);
        self.publish();
    }

    /// Reports the requests in flight to all entries and to the log, once for each crash of the engine.
    /// Does not depend on `engine_up`: the load report may have shown the engine down earlier, or up again
    /// since.
    fn report_crash(&mut self, attempt: AttemptId) {
        if self.attempts.get(&attempt).is_none_or(|buffered| !buffered.running || buffered.reported)
        {
            return;
        }
        self.engine_up = false;
        self.crashes += 1;
        log::warn!("engine died attempts_in_flight={}", self.running);
        let mut in_flight: Vec<&mut BufferedAttempt> = self
            .attempts
            .values_mut()
            .filter(|buffered| buffered.running && !buffered.reported)
            .collect();
        for buffered in &mut in_flight {
            buffered.reported = true;
        }
        let document = self.config.document.load();
        let report = SuspectReport {
            report: ReportId { incarnation: self.config.incarnation, sequence: self.crashes },
            ran_alone: in_flight.len() == 1 && in_flight[0].run_alone,
            fingerprints: in_flight.iter().map(|buffered| buffered.fingerprint.into()).collect(),
            // Endpoint daemons do not know which parts of a prompt are shared.
            prompt_parts: Vec::new(),
            version: self.config.version.clone(),
            quarantine_ms: document
                .as_ref()
                .map_or(FALLBACK_QUARANTINE_MS, |document| document.document.quarantine_ms),
        };
        self.config.metrics.suspects_reported.inc_by(report.fingerprints.len() as u64);
        self.broadcast(&Frame::Suspects(Suspects::from(&report)));
        append_suspect_report(self.config.log.clone(), report, self.config.timing);
    }

    /// Sends a frame to every connected entry. An entry whose queue is full does not get the frame.
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

    /// Drops answers past their retention and expired promises.
    fn expire(&mut self) {
        let now = self.now();
        let attempt_table = &mut self.attempt_table;
        self.attempts.retain(|attempt, buffered| {
            let keep = buffered.running || buffered.drop_at > now;
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
        self.start_attempt(&start)
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
        self.apply_recover_decision(ask.attempt, decision)
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
        self.apply_recover_decision(recover.attempt, decision)
    }
}

impl Message<ExecutionEnded> for AttemptsController {
    type Reply = ();

    async fn handle(&mut self, ended: ExecutionEnded, _: &mut Context<Self, ()>) {
        self.end_execution(ended.attempt, ended.end);
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
        // A backend that does not respond reports no free capacity, so that entries choose another endpoint.
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
