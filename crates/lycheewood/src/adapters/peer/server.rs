//! The endpoint daemon's side of connections from entries.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;

use crate::adapters::forward::limited_read::LimitedRead;
use crate::adapters::instance_port::accept;
use crate::adapters::peer::connection::{
    Connection, ConnectionError, MAX_HELLO_BYTES, socket_config,
};
use crate::adapters::peer::documents;
use crate::connection_table::{ConnectionSlot, ConnectionTable};
use crate::controllers::attempts::{
    AttemptAction, EntryConnected, QueryAttempt, RecoverAttempt, StartAttempt,
};
use crate::controllers::rank::{AttachPeer, StageChange};
use crate::ids::AttemptId;
use crate::memory_budget::MemoryBudget;
use crate::response::{ResponseBuffer, is_final};
use crate::roles::endpoint::EndpointState;
use crate::roles::endpoint::execution;
use crate::runtime::stopped;
use crate::wire::message::{Failed, Frame, Refused};

/// Frames that wait for the socket before their senders wait.
const OUT_QUEUE: usize = 1_024;

/// Most connections at once, if the settings allow as many. 320 entries have one each, and a second one while the first
/// has gone silent.
const MAX_CONNECTIONS: usize = 1_024;

/// Accepts entries until `stop` is set, then waits until every connection has sent its answers.
pub(crate) async fn serve(
    listener: TcpListener,
    state: Arc<EndpointState>,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let bounds = &state.settings.bounds;
    let max = bounds.max_connections.min(MAX_CONNECTIONS);
    let memory = MemoryBudget::for_machine(bounds.memory_bytes);
    let table = ConnectionTable::new(max, memory, state.clock);
    loop {
        tokio::select! {
            (tcp, slot) = accept(&listener, &table, "entries") => {
                tokio::spawn(serve_connection(tcp, slot, Arc::clone(&state), stop.clone()));
            }
            () = stopped(&mut stop) => break,
        }
    }
    drop(listener);
    table.all_ended().await;
    Ok(())
}

/// Serves one connection. It counts as idle until its hello has arrived.
async fn serve_connection(
    tcp: TcpStream,
    slot: ConnectionSlot,
    state: Arc<EndpointState>,
    stop: watch::Receiver<bool>,
) {
    tokio::select! {
        biased;
        ended = connection(tcp, &slot, &state, stop) => {
            if let Err(ConnectionError::Silent { .. }) = ended {
                state.metrics.connections_silent.inc();
            }
        }
        () = slot.closed_to_make_room() => state.metrics.peers_closed.inc(),
    }
}

async fn connection(
    tcp: TcpStream,
    slot: &ConnectionSlot,
    state: &Arc<EndpointState>,
    stop: watch::Receiver<bool>,
) -> Result<(), ConnectionError> {
    let transport = |reason: String| ConnectionError::Transport { reason };
    tcp.set_nodelay(true).map_err(|e| transport(e.to_string()))?;
    let timing = state.settings.timing;
    let (tcp, hello_arrived) = LimitedRead::new(tcp, MAX_HELLO_BYTES);
    let establish = async {
        let socket = accept_async_with_config(tcp, Some(socket_config()))
            .await
            .map_err(|e| transport(e.to_string()))?;
        Connection::establish(socket, &hello_arrived, &state.hello(), &timing).await
    };
    let (connection, entry) =
        timeout(Duration::from_millis(timing.connect_ms), establish)
            .await
            .map_err(|_| transport("no hello within the connect timeout".into()))??;
    let _in_progress = slot.begin_request();
    let (out, frames) = mpsc::channel(OUT_QUEUE);
    if let Some(rank) = &state.rank {
        let peer = AttachPeer { entry: entry.incarnation, frames: out.clone() };
        let _ = rank.tell(peer).try_send();
    }
    let _ = state.attempts.tell(EntryConnected { entry, frames: out.clone() }).try_send();
    if let Some(question) = documents::question(&state.documents).await {
        let _ = out.try_send(question);
    }
    let session = Session {
        state: Arc::clone(state),
        out,
        forwarders: JoinSet::new(),
        by_attempt: HashMap::new(),
    };
    session.run(connection, frames, stop).await
}

/// One connection and the answers that are sent on it.
struct Session {
    state: Arc<EndpointState>,
    out: mpsc::Sender<Frame>,
    /// Tasks that send answers; they end with the session.
    forwarders: JoinSet<()>,
    by_attempt: HashMap<AttemptId, AbortHandle>,
}

impl Session {
    async fn run(
        mut self,
        mut connection: Connection,
        mut frames: mpsc::Receiver<Frame>,
        mut stop: watch::Receiver<bool>,
    ) -> Result<(), ConnectionError> {
        let mut stopping = false;
        loop {
            if stopping && self.forwarders.is_empty() && frames.is_empty() {
                return connection.close().await;
            }
            tokio::select! {
                frame = connection.receive() => self.handle(frame?).await,
                Some(frame) = frames.recv() => {
                    connection.feed(&frame).await?;
                    while let Ok(frame) = frames.try_recv() {
                        connection.feed(&frame).await?;
                    }
                    connection.flush().await?;
                }
                () = stopped(&mut stop), if !stopping => stopping = true,
                Some(_) = self.forwarders.join_next(), if !self.forwarders.is_empty() => {
                    self.by_attempt.retain(|_, forwarder| !forwarder.is_finished());
                }
            }
        }
    }

    async fn handle(&mut self, frame: Frame) {
        let attempts = &self.state.attempts;
        match frame {
            Frame::Start(start) => {
                let attempt = start.attempt;
                let action = attempts.ask(StartAttempt(start.clone())).await;
                let action = action.unwrap_or(AttemptAction::Silent);
                if let AttemptAction::Run(buffer) = &action {
                    execution::spawn(&self.state, start, Arc::clone(buffer));
                }
                self.answer(attempt, action, 0);
            }
            Frame::Ask(ask) => {
                let action = attempts.ask(QueryAttempt(ask)).await.unwrap_or(AttemptAction::Silent);
                self.answer(ask.attempt, action, ask.from_chunk);
            }
            Frame::Recover(recover) => {
                let action = attempts.ask(RecoverAttempt(recover)).await;
                self.answer(recover.attempt, action.unwrap_or(AttemptAction::Silent), 0);
            }
            Frame::Cancel(attempt) => {
                if let Some(forwarder) = self.by_attempt.remove(&attempt) {
                    forwarder.abort();
                }
                execution::cancel(&self.state, attempt);
            }
            Frame::DocumentAsk(ask) => {
                if let Some(reply) = documents::reply(&self.state.documents, ask).await {
                    self.send(reply);
                }
            }
            Frame::DocumentState(state) => documents::accept(&self.state.documents, &state),
            Frame::Stage(ask) => {
                if let Some(rank) = &self.state.rank {
                    let _ = rank
                        .tell(StageChange { request: ask, frames: self.out.clone() })
                        .try_send();
                }
            }
            // Frames that only entries receive.
            _ => {}
        }
    }

    fn answer(&mut self, attempt: AttemptId, action: AttemptAction, from: u64) {
        match action {
            AttemptAction::Run(buffer) | AttemptAction::Attach(buffer) => {
                self.forward(attempt, buffer, from);
            }
            AttemptAction::Refuse(reason) => {
                self.state.metrics.attempts.with_label_values(&["refused"]).inc();
                self.send(Frame::Refused(Refused { attempt, reason }));
            }
            AttemptAction::Fail => self.send(Frame::Failed(Failed { attempt, engine_died: false })),
            AttemptAction::Silent => {}
        }
    }

    /// Sends one frame after those that wait already.
    fn send(&mut self, frame: Frame) {
        if let Err(mpsc::error::TrySendError::Full(frame)) = self.out.try_send(frame) {
            let out = self.out.clone();
            tokio::spawn(async move { out.send(frame).await });
        }
    }

    /// Sends an answer as it grows. A later question after the same attempt replaces the first.
    fn forward(&mut self, attempt: AttemptId, buffer: Arc<ResponseBuffer>, from: u64) {
        let out = self.out.clone();
        let forwarder = self.forwarders.spawn(async move {
            // A connection that has ended needs no more frames.
            let _ = send_answer(&out, attempt, &buffer, from).await;
        });
        if let Some(former) = self.by_attempt.insert(attempt, forwarder) {
            former.abort();
        }
    }
}

async fn send_answer(
    out: &mpsc::Sender<Frame>,
    attempt: AttemptId,
    buffer: &ResponseBuffer,
    from: u64,
) -> Result<(), mpsc::error::SendError<Frame>> {
    out.send(Frame::Accepted(attempt)).await?;
    let mut reader = buffer.reader(from);
    while let Some(frames) = reader.frames(buffer).await {
        for frame in frames {
            let last = is_final(&frame);
            out.send(frame).await?;
            if last {
                return Ok(());
            }
        }
    }
    Ok(())
}
