//! The attempts controller of an endpoint daemon: what this process knows of each attempt.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::{mpsc, watch};

use crate::answer::AnswerBuffer;
use crate::clock::{Clock, Timestamp};
use crate::decisions::attempts::{
    EndpointView, Known, Occupancy, RecoverDecision, StartDecision, decide_ask, decide_recover,
    decide_start,
};
use crate::ids::{AttemptId, Incarnation, VersionName};
use crate::metrics::Metrics;
use crate::settings::Timing;
use crate::wire::message::{Ask, Frame, Hello, Load, Recover, RefusedReason, Start, Suspects};

/// The most promises that are remembered at once. A promise takes about 100 bytes.
const MAX_PROMISES: usize = 100_000;

/// What is known of one attempt.
struct Entry {
    known: Known,
    buffer: Option<Arc<AnswerBuffer>>,
    fingerprint: [u8; 16],
    alone: bool,
    /// When the entry may be dropped; not while the attempt runs.
    forget_at: Timestamp,
}

/// What a connection is to do with a `Start`, an `Ask` or a `Recover`.
#[derive(Debug, kameo::Reply)]
pub(crate) enum Verdict {
    /// Run the attempt and send its answer.
    Run(Arc<AnswerBuffer>),
    /// Send the answer of an attempt that runs or has ended.
    Attach(Arc<AnswerBuffer>),
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

/// Messages to the controller.
pub(crate) struct Begin(pub(crate) Box<Start>);
pub(crate) struct AskAfter(pub(crate) Ask);
pub(crate) struct RecoverAfter(pub(crate) Recover);
pub(crate) struct Ended {
    pub(crate) attempt: AttemptId,
    pub(crate) end: ExecutionEnd,
}
/// An entry has connected.
pub(crate) struct Attach {
    pub(crate) entry: Hello,
    pub(crate) frames: mpsc::Sender<Frame>,
}
/// The engine's load, or `None` when it does not respond.
pub(crate) struct Backend(pub(crate) Option<Load>);
pub(crate) struct Drain;

/// State of the endpoint as others see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndpointStatus {
    pub(crate) running: u32,
    pub(crate) draining: bool,
    pub(crate) engine_up: bool,
}

/// Owns what this process knows of attempts.
#[derive(Actor)]
pub(crate) struct AttemptsController {
    incarnation: Incarnation,
    version: Option<VersionName>,
    capacity: u32,
    timing: Timing,
    clock: Clock,
    metrics: Arc<Metrics>,
    attempts: HashMap<AttemptId, Entry>,
    running: u32,
    promises: usize,
    draining: bool,
    engine_up: bool,
    peers: Vec<Attach>,
    published_peers: Arc<ArcSwap<Vec<Hello>>>,
    status: watch::Sender<EndpointStatus>,
}

/// What the controller is started with.
pub(crate) struct AttemptsConfig {
    pub(crate) incarnation: Incarnation,
    pub(crate) version: Option<VersionName>,
    pub(crate) capacity: u32,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    /// Connected entries, as others see them.
    pub(crate) peers: Arc<ArcSwap<Vec<Hello>>>,
}

impl AttemptsController {
    /// Starts the controller on the present runtime.
    pub(crate) fn start(
        config: AttemptsConfig,
    ) -> (ActorRef<Self>, watch::Receiver<EndpointStatus>) {
        let (status, status_receiver) = watch::channel(EndpointStatus::default());
        let controller = Self {
            incarnation: config.incarnation,
            version: config.version,
            capacity: config.capacity,
            timing: config.timing,
            clock: config.clock,
            metrics: config.metrics,
            attempts: HashMap::new(),
            running: 0,
            promises: 0,
            draining: false,
            engine_up: false,
            peers: Vec::new(),
            published_peers: config.peers,
            status,
        };
        (Self::spawn_with_mailbox(controller, mailbox::unbounded()), status_receiver)
    }

    fn known(&self, attempt: AttemptId) -> Known {
        self.attempts.get(&attempt).map_or(Known::NeverSeen, |entry| entry.known)
    }

    fn view(&self) -> EndpointView<'_> {
        EndpointView {
            incarnation: self.incarnation,
            draining: self.draining,
            engine_up: self.engine_up,
            version: self.version.as_ref(),
            occupancy: Occupancy {
                running: self.running,
                capacity: self.capacity,
                runs_alone: self.attempts.values().any(|e| e.alone && e.known == Known::Running),
            },
            promises_full: self.promises >= MAX_PROMISES,
        }
    }

    fn attach(&self, attempt: AttemptId) -> Verdict {
        match self.attempts.get(&attempt).and_then(|entry| entry.buffer.clone()) {
            Some(buffer) => Verdict::Attach(buffer),
            None => Verdict::Fail,
        }
    }

    fn promise(&mut self, attempt: AttemptId, until: Timestamp) {
        self.promises += 1;
        let entry = Entry {
            known: Known::Promised,
            buffer: None,
            fingerprint: [0; 16],
            alone: false,
            forget_at: until,
        };
        self.attempts.insert(attempt, entry);
    }

    fn begin(&mut self, start: &Start) -> Verdict {
        let now = self.clock.now();
        match decide_start(&self.view(), self.known(start.attempt), start, now) {
            StartDecision::Run => self.run(start),
            StartDecision::Attach => self.attach(start.attempt),
            StartDecision::Refuse { reason, remember_until } => {
                if let Some(until) = remember_until {
                    self.promise(start.attempt, until);
                }
                Verdict::Refuse(reason)
            }
            StartDecision::Fail => Verdict::Fail,
        }
    }

    fn run(&mut self, start: &Start) -> Verdict {
        let buffer = Arc::new(AnswerBuffer::new(start));
        let entry = Entry {
            known: Known::Running,
            buffer: Some(Arc::clone(&buffer)),
            fingerprint: start.fingerprint,
            alone: start.run_alone,
            forget_at: start.deadline.plus_ms(self.timing.result_keep_ms),
        };
        self.attempts.insert(start.attempt, entry);
        self.running += 1;
        self.publish();
        Verdict::Run(buffer)
    }

    fn recover(&mut self, attempt: AttemptId, decision: RecoverDecision) -> Verdict {
        match decision {
            RecoverDecision::Promise { reason, remember_until } => {
                if let Some(until) = remember_until {
                    self.promise(attempt, until);
                }
                Verdict::Refuse(reason)
            }
            RecoverDecision::Attach => self.attach(attempt),
            RecoverDecision::Fail => Verdict::Fail,
            RecoverDecision::Silent => Verdict::Silent,
        }
    }

    fn ended(&mut self, attempt: AttemptId, end: ExecutionEnd) {
        if end == ExecutionEnd::EngineDied {
            self.report_suspects();
        }
        let forget_at = self.clock.now().plus_ms(self.timing.result_keep_ms);
        let Some(entry) = self.attempts.get_mut(&attempt) else { return };
        if entry.known != Known::Running {
            return;
        }
        entry.known = match end {
            ExecutionEnd::Answered => Known::Answered,
            ExecutionEnd::NotStarted => Known::Promised,
            ExecutionEnd::Failed | ExecutionEnd::EngineDied => Known::Lost,
        };
        entry.forget_at = entry.forget_at.max(forget_at);
        if end == ExecutionEnd::NotStarted {
            entry.buffer = None;
            self.promises += 1;
        }
        self.running -= 1;
        self.publish();
    }

    /// Tells all entries which requests were in flight when the engine died, once for each death.
    fn report_suspects(&mut self) {
        if !self.engine_up {
            return;
        }
        self.engine_up = false;
        log::warn!("engine died attempts_in_flight={}", self.running);
        let running: Vec<&Entry> =
            self.attempts.values().filter(|entry| entry.known == Known::Running).collect();
        let suspects = Suspects {
            ran_alone: running.len() == 1 && running[0].alone,
            fingerprints: running.iter().map(|entry| entry.fingerprint).collect(),
        };
        self.metrics.suspects_reported.inc_by(suspects.fingerprints.len() as u64);
        self.broadcast(&Frame::Suspects(suspects));
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
        self.published_peers.store(Arc::new(entries));
    }

    fn expire(&mut self) {
        let now = self.clock.now();
        self.attempts.retain(|_, entry| entry.known == Known::Running || entry.forget_at > now);
        self.promises =
            self.attempts.values().filter(|entry| entry.known == Known::Promised).count();
    }

    fn publish(&self) {
        self.status.send_replace(EndpointStatus {
            running: self.running,
            draining: self.draining,
            engine_up: self.engine_up,
        });
    }
}

impl Message<Begin> for AttemptsController {
    type Reply = Verdict;

    async fn handle(&mut self, Begin(start): Begin, _: &mut Context<Self, Verdict>) -> Verdict {
        self.begin(&start)
    }
}

impl Message<AskAfter> for AttemptsController {
    type Reply = Verdict;

    async fn handle(&mut self, AskAfter(ask): AskAfter, _: &mut Context<Self, Verdict>) -> Verdict {
        let keep_ms = self.timing.result_keep_ms;
        let decision = decide_ask(&self.view(), self.known(ask.attempt), keep_ms, self.clock.now());
        self.recover(ask.attempt, decision)
    }
}

impl Message<RecoverAfter> for AttemptsController {
    type Reply = Verdict;

    async fn handle(
        &mut self,
        RecoverAfter(recover): RecoverAfter,
        _: &mut Context<Self, Verdict>,
    ) -> Verdict {
        let known = self.known(recover.attempt);
        let meant = recover.endpoint_incarnation;
        let keep_ms = self.timing.result_keep_ms;
        let decision = decide_recover(&self.view(), known, meant, keep_ms, self.clock.now());
        self.recover(recover.attempt, decision)
    }
}

impl Message<Ended> for AttemptsController {
    type Reply = ();

    async fn handle(&mut self, ended: Ended, _: &mut Context<Self, ()>) {
        self.ended(ended.attempt, ended.end);
    }
}

impl Message<Attach> for AttemptsController {
    type Reply = ();

    async fn handle(&mut self, peer: Attach, _: &mut Context<Self, ()>) {
        if self.draining {
            let _ = peer.frames.try_send(Frame::Draining);
        }
        self.peers.retain(|known| !known.frames.is_closed());
        self.peers.push(peer);
        self.publish_peers();
    }
}

impl Message<Backend> for AttemptsController {
    type Reply = ();

    async fn handle(&mut self, Backend(load): Backend, _: &mut Context<Self, ()>) {
        self.expire();
        self.drop_closed_peers();
        if self.engine_up != load.is_some() {
            self.engine_up = load.is_some();
            log::info!("engine state changed up={}", self.engine_up);
        }
        if let Some(load) = load {
            self.broadcast(&Frame::Load(load));
        }
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
