//! The entry's side of a connection to one endpoint daemon.
//!
//! A link outlives its connections. When one goes silent or breaks, the link opens another and asks
//! after every attempt in flight; it never sends a `Start` twice.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use kameo::actor::ActorRef;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::client_async_with_config;

use crate::adapters::peer::connection::{Connection, ConnectionError, socket_config};
use crate::adapters::peer::documents;
use crate::clock::{Clock, Timestamp};
use crate::controllers::document::DocumentController;
use crate::controllers::load::{LinkEvent, LinkEventKind, LoadHandle};
use crate::controllers::placement::{PlacementController, RankNews};
use crate::controllers::quarantine::{QuarantineController, Warn};
use crate::decisions::estimate::Estimate;
use crate::ids::{AttemptId, FailureDomain, Incarnation, InstanceId, Offset};
use crate::lifecycle::attempt::{Attempt, Dispatched, Planned, Vouch};
use crate::lifecycle::claim::{Claim, Granted};
use crate::settings::Timing;
use crate::wire::message::{Ask, End, Frame, Head, Hello, Recover, RefusedReason, StageAsk, Start};

/// Pieces of an answer that wait for a slow caller before the rest is left at the endpoint.
const EVENT_QUEUE: usize = 256;
/// Commands that wait for the link's task.
const COMMAND_QUEUE: usize = 1_024;

/// What happens to an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The endpoint has taken it.
    Accepted,
    /// The endpoint vouches that it never ran.
    Refused(Vouch, RefusedReason),
    /// Status of the answer.
    Head(Head),
    /// The piece with this index.
    Chunk(u64, Bytes),
    /// The answer is whole; the index after the last piece.
    End(u64),
    /// It may have run and has failed.
    Failed,
    /// The endpoint process that ran it is gone.
    Lost,
    /// The connection is lost and no other could be opened so far; the link goes on trying.
    Unreachable,
}

/// Events of one attempt. When the channel closes without an end, ask for the rest.
pub(crate) type AttemptEvents = mpsc::Receiver<AttemptEvent>;

/// What permits an attempt to be sent.
#[derive(Debug)]
pub(crate) enum Ticket {
    /// The request may repeat.
    Repeatable(Attempt<Planned>),
    /// The request may not repeat, and this attempt holds its key.
    Claimed(Claim<Granted>, Attempt<Planned>),
}

impl Ticket {
    pub(crate) fn attempt(&self) -> AttemptId {
        match self {
            Self::Repeatable(attempt) | Self::Claimed(_, attempt) => attempt.id(),
        }
    }

    /// Offset of the claim, if there is one.
    pub(crate) fn claim_offset(&self) -> Option<Offset> {
        match self {
            Self::Repeatable(_) => None,
            Self::Claimed(claim, _) => Some(claim.position().offset),
        }
    }

    /// Marks the attempt as sent, when it is meant for this endpoint process.
    fn dispatch(self, endpoint: Incarnation) -> Result<Attempt<Dispatched>, Self> {
        match self {
            Self::Repeatable(attempt) => Ok(attempt.dispatch()),
            Self::Claimed(claim, attempt) if claim.record().endpoint_incarnation == endpoint => {
                match claim.dispatch(attempt) {
                    Ok((attempt, _permit)) => Ok(attempt),
                    Err((claim, attempt)) => Err(Self::Claimed(claim, attempt)),
                }
            }
            Self::Claimed(..) => Err(self),
        }
    }
}

enum Command {
    Open {
        ticket: Box<Ticket>,
        start: Box<Start>,
        events: mpsc::Sender<AttemptEvent>,
        sent: oneshot::Sender<Result<Attempt<Dispatched>, Box<Ticket>>>,
    },
    Ask {
        ask: Ask,
        endpoint: Incarnation,
        events: mpsc::Sender<AttemptEvent>,
    },
    Recover {
        recover: Recover,
        events: mpsc::Sender<AttemptEvent>,
    },
    Cancel(AttemptId),
    Stage(StageAsk),
}

/// A handle on the link to one endpoint daemon.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) instance: InstanceId,
    pub(crate) failure_domain: FailureDomain,
    /// What this entry's own requests show. Traffic threads keep it, because the next choice must see
    /// the last one; the lock is held for a copy only.
    estimate: Mutex<Estimate>,
    commands: mpsc::Sender<Command>,
}

/// Counts one attempt in the link's estimate until it ends.
#[derive(Debug)]
pub(crate) struct Flight {
    link: Arc<Link>,
    clock: Clock,
    started: Timestamp,
    answered: bool,
    ended: bool,
}

impl Flight {
    /// The head of the answer has come.
    pub(crate) fn answered(&mut self) {
        if !std::mem::replace(&mut self.answered, true) {
            let now = self.clock.now();
            self.link.estimate().on_first_token(now, now.ms_since(self.started));
        }
    }

    /// The answer is whole.
    pub(crate) fn completed(&mut self) {
        self.answered();
        if !std::mem::replace(&mut self.ended, true) {
            self.link.estimate().on_end(self.clock.now());
        }
    }

    /// The attempt failed; it counts as at least `penalty_ms` long.
    pub(crate) fn failed(&mut self, penalty_ms: u64) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.clock.now();
            let elapsed_ms = now.ms_since(self.started);
            self.link.estimate().on_error(now, elapsed_ms, penalty_ms, self.answered);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.clock.now();
        let mut estimate = self.link.estimate();
        if self.answered { estimate.on_end(now) } else { estimate.on_withdrawn(now) }
    }
}

impl Link {
    /// What this entry's own requests show.
    pub(crate) fn estimate(&self) -> MutexGuard<'_, Estimate> {
        self.estimate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an attempt as started.
    pub(crate) fn start(self: &Arc<Self>, clock: Clock) -> Flight {
        let started = clock.now();
        self.estimate().on_start(started);
        Flight { link: Arc::clone(self), clock, started, answered: false, ended: false }
    }

    /// Sends an attempt. Gives its ticket back when nothing was sent, or nothing when the link ended
    /// while it held the ticket, which it does only before it sends.
    pub(crate) async fn open(
        &self,
        ticket: Ticket,
        start: Box<Start>,
    ) -> Result<(Attempt<Dispatched>, AttemptEvents), Option<Ticket>> {
        let (events, receiver) = mpsc::channel(EVENT_QUEUE);
        let (sent, reply) = oneshot::channel();
        let command = Command::Open { ticket: Box::new(ticket), start, events, sent };
        if let Err(error) = self.commands.try_send(command) {
            return match error.into_inner() {
                Command::Open { ticket, .. } => Err(Some(*ticket)),
                _ => Err(None),
            };
        }
        match reply.await {
            Ok(Ok(attempt)) => Ok((attempt, receiver)),
            Ok(Err(ticket)) => Err(Some(*ticket)),
            Err(_) => Err(None),
        }
    }

    /// Asks for the answer of an attempt from a piece on.
    pub(crate) async fn ask(&self, ask: Ask, endpoint: Incarnation) -> AttemptEvents {
        let (events, receiver) = mpsc::channel(EVENT_QUEUE);
        // A closed link drops the sender, and the caller sees the channel closed.
        let _ = self.commands.send(Command::Ask { ask, endpoint, events }).await;
        receiver
    }

    /// Asks for the result of an attempt or a promise that it never runs.
    pub(crate) async fn recover(&self, recover: Recover) -> AttemptEvents {
        let (events, receiver) = mpsc::channel(EVENT_QUEUE);
        let _ = self.commands.send(Command::Recover { recover, events }).await;
        receiver
    }

    /// Tells the endpoint that the answer is no longer wanted.
    pub(crate) fn cancel(&self, attempt: AttemptId) {
        // A full queue loses the cancellation; the deadline ends the attempt then.
        let _ = self.commands.try_send(Command::Cancel(attempt));
    }
}

/// Orders of the holder of a group's lease.
impl Link {
    /// Asks the rank to stage a change. What is lost is asked again.
    pub(crate) fn stage(&self, ask: StageAsk) {
        let _ = self.commands.try_send(Command::Stage(ask));
    }
}

/// What a link needs to run.
#[derive(Clone)]
pub(crate) struct LinkConfig {
    pub(crate) hello: Hello,
    pub(crate) timing: Timing,
    pub(crate) load: LoadHandle,
    pub(crate) documents: ActorRef<DocumentController>,
    pub(crate) quarantine: ActorRef<QuarantineController>,
    pub(crate) placement: Option<ActorRef<PlacementController>>,
}

/// Starts a link on the present runtime; it ends when `stop` closes.
pub(crate) fn spawn_link(
    instance: InstanceId,
    failure_domain: FailureDomain,
    address: SocketAddr,
    config: LinkConfig,
    stop: watch::Receiver<bool>,
) -> Arc<Link> {
    let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
    let link = Arc::new(Link { instance, failure_domain, estimate: Mutex::default(), commands });
    let task = LinkTask {
        link: Arc::clone(&link),
        address,
        config,
        routes: HashMap::new(),
        commands: receiver,
    };
    tokio::spawn(task.run(stop));
    link
}

/// Where the events of an attempt go.
struct Route {
    events: mpsc::Sender<AttemptEvent>,
    endpoint: Incarnation,
    next_chunk: u64,
    head_seen: bool,
    recovering: bool,
}

async fn send(connection: &mut Connection, frame: &Frame) -> Result<(), ConnectionError> {
    connection.feed(frame).await?;
    connection.flush().await
}

struct LinkTask {
    link: Arc<Link>,
    address: SocketAddr,
    config: LinkConfig,
    routes: HashMap<AttemptId, Route>,
    commands: mpsc::Receiver<Command>,
}

impl LinkTask {
    /// Runs until it is told to stop and no attempt is in flight.
    async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut failures = 0;
        while !self.may_end(&stop) {
            if let Ok((connection, hello)) = self.connect().await {
                failures = 0;
                let end = self.serve(connection, hello, &mut stop).await;
                self.disconnected(&end);
            } else {
                failures += 1;
                self.tell_unreachable();
                self.wait_to_reconnect(failures, &mut stop).await;
            }
        }
        self.tell(LinkEventKind::Removed);
    }

    /// Lets requests that may repeat go elsewhere. The others keep waiting for their endpoint.
    fn tell_unreachable(&mut self) {
        self.routes.retain(|_, route| route.events.try_send(AttemptEvent::Unreachable).is_ok());
    }

    fn tell(&self, kind: LinkEventKind) {
        self.config.load.send(LinkEvent { link: Arc::clone(&self.link), kind });
    }

    /// A closed channel counts as told to stop.
    fn may_end(&self, stop: &watch::Receiver<bool>) -> bool {
        (*stop.borrow() || stop.has_changed().is_err()) && self.routes.is_empty()
    }

    async fn wait_to_reconnect(&mut self, failures: u32, stop: &mut watch::Receiver<bool>) {
        let pause = sleep(self.reconnect_pause(failures));
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return,
                command = self.commands.recv() => match command {
                    Some(command) => self.reject(command),
                    None => return,
                },
                _ = stop.changed(), if stop.has_changed().is_ok() => {
                    if self.may_end(stop) {
                        return;
                    }
                }
            }
        }
    }

    /// Doubles from 50 ms up to the setting, with jitter so that entries do not return together.
    fn reconnect_pause(&self, failures: u32) -> Duration {
        let base_ms = 50_u64 << failures.min(10);
        let bound_ms = base_ms.min(self.config.timing.reconnect_max_ms).max(2);
        Duration::from_millis(rand::random_range(bound_ms / 2..=bound_ms))
    }

    async fn connect(&self) -> Result<(Connection, Hello), ConnectionError> {
        let transport = |reason: String| ConnectionError::Transport { reason };
        let open = async {
            let tcp =
                TcpStream::connect(self.address).await.map_err(|e| transport(e.to_string()))?;
            tcp.set_nodelay(true).map_err(|e| transport(e.to_string()))?;
            let url = format!("ws://{}/", self.address);
            let open = client_async_with_config(url, tcp, Some(socket_config()));
            let (socket, _) = open.await.map_err(|e| transport(e.to_string()))?;
            Connection::establish(socket, &self.config.hello, &self.config.timing).await
        };
        match timeout(Duration::from_millis(self.config.timing.connect_ms), open).await {
            Ok(result) => result,
            Err(_) => Err(transport("no answer within the connect timeout".into())),
        }
    }

    async fn serve(
        &mut self,
        mut connection: Connection,
        hello: Hello,
        stop: &mut watch::Receiver<bool>,
    ) -> ConnectionError {
        let endpoint = hello.incarnation;
        self.tell(LinkEventKind::Connected(Box::new(hello)));
        if let Err(end) = self.greet(&mut connection, endpoint).await {
            return end;
        }
        let mut stopping = false;
        loop {
            if stopping && self.routes.is_empty() {
                return ConnectionError::Closed;
            }
            tokio::select! {
                frame = connection.receive() => match frame {
                    Ok(Frame::DocumentAsk(ask)) => {
                        if let Some(reply) = documents::reply(&self.config.documents, ask).await
                            && let Err(end) = send(&mut connection, &reply).await
                        {
                            return end;
                        }
                    }
                    // A failed answer may follow. The table holds its request before a retry
                    // looks there, so the link waits until the report counts.
                    Ok(Frame::Suspects(suspects)) => {
                        let _ = self.config.quarantine.ask(Warn(suspects.into())).await;
                    }
                    Ok(frame) => self.dispatch_frame(frame),
                    Err(end) => return end,
                },
                command = self.commands.recv() => {
                    let Some(command) = command else { return ConnectionError::Closed };
                    if let Err(end) = self.send_commands(&mut connection, command, endpoint).await {
                        return end;
                    }
                }
                // The sender is dropped when the instance has left the list.
                _ = stop.changed(), if !stopping => {
                    stopping = true;
                    self.tell(LinkEventKind::Removed);
                }
            }
        }
    }

    /// Sends what a new connection starts with.
    async fn greet(
        &mut self,
        connection: &mut Connection,
        endpoint: Incarnation,
    ) -> Result<(), ConnectionError> {
        if let Some(question) = documents::question(&self.config.documents).await {
            connection.feed(&question).await?;
        }
        self.ask_after_routes(connection, endpoint).await
    }

    /// Asks after the attempts that were in flight on the former connection.
    async fn ask_after_routes(
        &mut self,
        connection: &mut Connection,
        endpoint: Incarnation,
    ) -> Result<(), ConnectionError> {
        let gone: Vec<AttemptId> = self
            .routes
            .iter()
            .filter(|(_, route)| route.endpoint != endpoint)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in gone {
            self.finish(attempt, AttemptEvent::Lost);
        }
        for (&attempt, route) in &mut self.routes {
            route.head_seen = false;
            let frame = if route.recovering {
                Frame::Recover(Recover { attempt, endpoint_incarnation: route.endpoint })
            } else {
                Frame::Ask(Ask { attempt, from_chunk: route.next_chunk })
            };
            connection.feed(&frame).await?;
        }
        connection.flush().await
    }

    /// Sends a command and those that wait behind it, with one flush.
    async fn send_commands(
        &mut self,
        connection: &mut Connection,
        first: Command,
        endpoint: Incarnation,
    ) -> Result<(), ConnectionError> {
        self.send_command(connection, first, endpoint).await?;
        while let Ok(command) = self.commands.try_recv() {
            self.send_command(connection, command, endpoint).await?;
        }
        connection.flush().await
    }

    async fn send_command(
        &mut self,
        connection: &mut Connection,
        command: Command,
        endpoint: Incarnation,
    ) -> Result<(), ConnectionError> {
        match command {
            Command::Open { ticket, start, events, sent } => {
                if start.endpoint_incarnation != endpoint {
                    let _ = sent.send(Err(ticket));
                    return Ok(());
                }
                // From here on a byte may reach the endpoint.
                let attempt = match ticket.dispatch(endpoint) {
                    Ok(attempt) => attempt,
                    Err(ticket) => {
                        let _ = sent.send(Err(Box::new(ticket)));
                        return Ok(());
                    }
                };
                self.add_route(attempt.id(), events, endpoint, start.work.first_piece(), false);
                let _ = sent.send(Ok(attempt));
                connection.feed(&Frame::Start(start)).await
            }
            Command::Ask { ask, endpoint: meant, events } => {
                self.add_route(ask.attempt, events, meant, ask.from_chunk, false);
                if meant != endpoint {
                    self.finish(ask.attempt, AttemptEvent::Lost);
                    return Ok(());
                }
                connection.feed(&Frame::Ask(ask)).await
            }
            Command::Recover { recover, events } => {
                self.add_route(recover.attempt, events, recover.endpoint_incarnation, 0, true);
                if recover.endpoint_incarnation != endpoint {
                    self.finish(recover.attempt, AttemptEvent::Lost);
                    return Ok(());
                }
                connection.feed(&Frame::Recover(recover)).await
            }
            Command::Cancel(attempt) => {
                self.routes.remove(&attempt);
                connection.feed(&Frame::Cancel(attempt)).await
            }
            Command::Stage(ask) => connection.feed(&Frame::Stage(ask)).await,
        }
    }

    fn add_route(
        &mut self,
        attempt: AttemptId,
        events: mpsc::Sender<AttemptEvent>,
        endpoint: Incarnation,
        next_chunk: u64,
        recovering: bool,
    ) {
        let route = Route { events, endpoint, next_chunk, head_seen: false, recovering };
        self.routes.insert(attempt, route);
    }

    /// Answers a command that arrives while there is no connection.
    fn reject(&mut self, command: Command) {
        match command {
            Command::Open { ticket, sent, .. } => {
                let _ = sent.send(Err(ticket));
            }
            Command::Ask { ask, endpoint, events } => {
                self.add_route(ask.attempt, events, endpoint, ask.from_chunk, false);
            }
            Command::Recover { recover, events } => {
                self.add_route(recover.attempt, events, recover.endpoint_incarnation, 0, true);
            }
            Command::Cancel(attempt) => {
                self.routes.remove(&attempt);
            }
            Command::Stage(_) => {}
        }
    }

    fn dispatch_frame(&mut self, frame: Frame) {
        match frame {
            Frame::Accepted(attempt) => self.forward(attempt, AttemptEvent::Accepted),
            Frame::Head(head) => {
                if let Some(route) = self.routes.get_mut(&head.attempt) {
                    route.head_seen = true;
                }
                self.forward(head.attempt, AttemptEvent::Head(head));
            }
            Frame::Chunk(chunk) => {
                let Some(route) = self.routes.get_mut(&chunk.attempt) else { return };
                // Repeated pieces, and pieces sent for an earlier question, which come again after
                // a head.
                if !route.head_seen || chunk.index != route.next_chunk {
                    return;
                }
                route.next_chunk = chunk.index + 1;
                self.forward(chunk.attempt, AttemptEvent::Chunk(chunk.index, chunk.bytes));
            }
            Frame::End(end) => self.end(end),
            Frame::Failed(failed) => self.finish(failed.attempt, AttemptEvent::Failed),
            Frame::Refused(refused) => {
                let vouch = Vouch::from_endpoint(refused.attempt);
                self.finish(refused.attempt, AttemptEvent::Refused(vouch, refused.reason));
            }
            Frame::Load(load) => {
                self.tell(LinkEventKind::Load(load));
            }
            Frame::Draining => {
                self.tell(LinkEventKind::Draining);
            }
            Frame::DocumentState(state) => documents::accept(&self.config.documents, &state),
            Frame::Staged(staged) => self.tell_placement(RankNews::Staged(staged)),
            Frame::StageRefused(refused) => self.tell_placement(RankNews::Refused(refused)),
            Frame::RankReport(report) => self.tell_placement(RankNews::Report(report)),
            // Frames that only endpoints receive, or that are handled before.
            Frame::DocumentAsk(_)
            | Frame::Suspects(_)
            | Frame::Hello(_)
            | Frame::Heartbeat(_)
            | Frame::Start(_)
            | Frame::Cancel(_)
            | Frame::Ask(_)
            | Frame::Recover(_)
            | Frame::Stage(_)
            | Frame::Unknown(_) => {}
        }
    }

    fn tell_placement(&self, news: RankNews) {
        if let Some(placement) = &self.config.placement {
            let _ = placement.tell(news).try_send();
        }
    }

    /// Passes an event on. A full queue ends the route; the reader asks for the rest when it is ready.
    fn forward(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let Some(route) = self.routes.get(&attempt) else { return };
        if route.events.try_send(event).is_err() {
            self.routes.remove(&attempt);
        }
    }

    /// Ends an answer. When pieces are missing, the route closes without an end and the reader asks.
    fn end(&mut self, end: End) {
        let Some(route) = self.routes.get(&end.attempt) else { return };
        if route.head_seen && route.next_chunk == end.chunks {
            self.finish(end.attempt, AttemptEvent::End(end.chunks));
        } else {
            self.routes.remove(&end.attempt);
        }
    }

    fn finish(&mut self, attempt: AttemptId, event: AttemptEvent) {
        if let Some(route) = self.routes.remove(&attempt) {
            let _ = route.events.try_send(event);
        }
    }

    fn disconnected(&self, end: &ConnectionError) {
        let silent = matches!(end, ConnectionError::Silent { .. });
        self.tell(LinkEventKind::Disconnected { silent });
    }
}
