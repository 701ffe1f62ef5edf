//! The task of a link: opens connections, sends commands and passes frames on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::client_async_with_config;

use crate::adapters::forward::limited_read::LimitedRead;
use crate::adapters::peer::connection::{
    Connection, ConnectionError, MAX_HELLO_BYTES, socket_config,
};
use crate::adapters::peer::documents;
use crate::adapters::peer::link::{AttemptEvent, Command, Link, LinkConfig};
use crate::controllers::load::{LinkEvent, LinkEventKind};
use crate::controllers::placement::RankMessage;
use crate::controllers::quarantine::RecordSuspects;
use crate::ids::{AttemptId, Incarnation};
use crate::lifecycle::attempt::NotRunProof;
use crate::wire::message::{Ask, End, Frame, Hello, Recover};

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

/// Keeps one link.
pub(super) struct LinkTask {
    link: Arc<Link>,
    address: SocketAddr,
    config: LinkConfig,
    routes: HashMap<AttemptId, Route>,
    commands: mpsc::Receiver<Command>,
}

impl LinkTask {
    pub(super) fn new(
        link: Arc<Link>,
        address: SocketAddr,
        config: LinkConfig,
        commands: mpsc::Receiver<Command>,
    ) -> Self {
        Self { link, address, config, routes: HashMap::new(), commands }
    }

    /// Runs until it is told to stop and no attempt is in flight.
    pub(super) async fn run(mut self, mut stop: watch::Receiver<bool>) {
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
            let (tcp, hello_arrived) = LimitedRead::new(tcp, MAX_HELLO_BYTES);
            let open = client_async_with_config(url, tcp, Some(socket_config()));
            let (socket, _) = open.await.map_err(|e| transport(e.to_string()))?;
            let LinkConfig { hello, timing, .. } = &self.config;
            Connection::establish(socket, &hello_arrived, hello, timing).await
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
                        let _ = self.config.quarantine.ask(RecordSuspects(suspects.into())).await;
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
                let proof = NotRunProof::from_endpoint(refused.attempt);
                self.finish(refused.attempt, AttemptEvent::Refused(proof, refused.reason));
            }
            Frame::Load(load) => {
                self.tell(LinkEventKind::Load(load));
            }
            Frame::Draining => {
                self.tell(LinkEventKind::Draining);
            }
            Frame::DocumentState(state) => documents::accept(&self.config.documents, &state),
            Frame::Staged(staged) => self.tell_placement(RankMessage::Staged(staged)),
            Frame::StageRefused(refused) => self.tell_placement(RankMessage::Refused(refused)),
            Frame::RankReport(report) => self.tell_placement(RankMessage::Report(report)),
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

    fn tell_placement(&self, message: RankMessage) {
        if let Some(placement) = &self.config.placement {
            let _ = placement.tell(message).try_send();
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
