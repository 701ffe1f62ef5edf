//! The entry's side of a connection to one endpoint daemon.
//!
//! A link outlives its connections. When one goes silent or breaks, the link opens another and asks
//! after every attempt in flight; it never sends a `Start` twice.

mod flight;
mod task;
mod ticket;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use kameo::actor::ActorRef;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::Clock;
use crate::controllers::document::DocumentController;
use crate::controllers::load::LoadHandle;
use crate::controllers::placement::PlacementController;
use crate::controllers::quarantine::QuarantineController;
use crate::decisions::estimate::EndpointEstimate;
use crate::ids::{AttemptId, FailureDomain, Incarnation, InstanceId};
use crate::lifecycle::attempt::{Attempt, Dispatched, NotRunProof};
use crate::settings::Timing;
use crate::wire::message::{Ask, Head, Hello, Recover, RefusedReason, StageAsk, Start};

pub(crate) use flight::Flight;
use task::LinkTask;
pub(crate) use ticket::Ticket;

/// Pieces of an answer that wait for a slow caller before the rest is left at the endpoint.
const EVENT_QUEUE: usize = 256;
/// Commands that wait for the link's task.
const COMMAND_QUEUE: usize = 1_024;

/// What happens to an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The endpoint has taken it.
    Accepted,
    /// The endpoint refused the attempt, with proof that it never ran.
    Refused(NotRunProof, RefusedReason),
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
    estimate: Mutex<EndpointEstimate>,
    commands: mpsc::Sender<Command>,
}

impl Link {
    /// What this entry's own requests show.
    pub(crate) fn estimate(&self) -> MutexGuard<'_, EndpointEstimate> {
        self.estimate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an attempt as started.
    pub(crate) fn start(self: &Arc<Self>, clock: Clock) -> Flight {
        Flight::start(Arc::clone(self), clock)
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
    let task = LinkTask::new(Arc::clone(&link), address, config, receiver);
    tokio::spawn(task.run(stop));
    link
}
