//! The listening side of a fake, with planned crashes and restarts.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::net::{Shutdown, shutdown};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::filters::{self, Fake};
use crate::http::Call;

/// A port that accepts connections.
struct Listening(TcpListener);

/// A port that is held but refuses connections, so that no other process takes it while the fake
/// is down.
struct Reserved(TcpSocket);

/// One port in one stage of its life.
struct Port<Stage> {
    address: SocketAddr,
    stage: Stage,
}

impl Port<Reserved> {
    fn reserve(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self { address: socket.local_addr()?, stage: Reserved(socket) })
    }

    fn listen(self) -> io::Result<Port<Listening>> {
        // Large enough for the connections of a whole test at once.
        let listener = self.stage.0.listen(1024)?;
        Ok(Port { address: self.address, stage: Listening(listener) })
    }
}

impl Port<Listening> {
    fn close(self) -> io::Result<Port<Reserved>> {
        // A child process that this one is starting may still hold the listener, which would keep the
        // port in use. Shutting down ends listening for every holder.
        let _ = shutdown(&self.stage.0, Shutdown::Both);
        drop(self.stage);
        Port::reserve(self.address)
    }
}

/// Whether the fake's process counts as running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Power {
    Up,
    Down,
    Stopped,
}

/// Turns a server on and off.
#[derive(Clone)]
pub(crate) struct Switch {
    wanted: watch::Sender<Power>,
    actual: watch::Receiver<Power>,
    restarts: watch::Receiver<u64>,
}

impl Switch {
    /// Asks for a state without waiting for it.
    pub(crate) fn request(&self, power: Power) {
        self.wanted.send_replace(power);
    }

    /// Asks for a state and waits until it is reached.
    pub(crate) async fn set(&self, power: Power) {
        self.request(power);
        self.reached(power).await;
    }

    /// Waits until a state is reached.
    pub(crate) async fn reached(&self, power: Power) {
        let mut actual = self.actual.clone();
        drop(actual.wait_for(|now| *now == power || *now == Power::Stopped).await);
    }

    /// Waits until the server has come up again this often.
    pub(crate) async fn restarted(&self, restarts: u64) {
        let mut counted = self.restarts.clone();
        drop(counted.wait_for(|count| *count >= restarts).await);
    }

    /// Crashes from inside a request and never returns, because the crash ends the request.
    /// Restarts `restart_after_ms` later, or never if that is 0.
    pub(crate) async fn crash(&self, restart_after_ms: u64) -> Infallible {
        self.request(Power::Down);
        if restart_after_ms > 0 {
            tokio::spawn(restart(self.clone(), Duration::from_millis(restart_after_ms)));
        }
        std::future::pending().await
    }
}

/// Restarts a server that is still down after `delay`.
async fn restart(switch: Switch, delay: Duration) {
    tokio::time::sleep(delay).await;
    let mut actual = switch.actual.clone();
    if actual.wait_for(|power| *power != Power::Up).await.is_ok() {
        let still_down = |wanted: &mut Power| {
            let down = *wanted == Power::Down;
            if down {
                *wanted = Power::Up;
            }
            down
        };
        switch.wanted.send_if_modified(still_down);
    }
}

/// A running server. Dropping it stops the server.
pub(crate) struct Server {
    address: SocketAddr,
    switch: Switch,
}

impl Server {
    /// Listens on `address`, in the caller's tokio runtime; `make` gets the switch, for fakes that crash on their own.
    pub(crate) fn start<F: Fake>(
        address: SocketAddr,
        make: impl FnOnce(&Switch) -> F,
    ) -> io::Result<Self> {
        let port = Port::reserve(address)?.listen()?;
        let address = port.address;
        let (wanted, orders) = watch::channel(Power::Up);
        let (reached, actual) = watch::channel(Power::Up);
        let (restarted, restarts) = watch::channel(0);
        let switch = Switch { wanted, actual, restarts };
        let progress = Progress { reached, restarted };
        let fake = Arc::new(make(&switch));
        tokio::spawn(run(port, orders, progress, fake));
        Ok(Self { address, switch })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn switch(&self) -> &Switch {
        &self.switch
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.switch.request(Power::Stopped);
    }
}

/// What the server has done, for those who wait for it.
struct Progress {
    reached: watch::Sender<Power>,
    restarted: watch::Sender<u64>,
}

async fn run<F: Fake>(
    mut port: Port<Listening>,
    mut orders: watch::Receiver<Power>,
    progress: Progress,
    fake: Arc<F>,
) {
    loop {
        serve(&port, &mut orders, &fake).await;
        let Ok(reserved) = port.close() else { break };
        fake.crashed().await;
        progress.reached.send_replace(Power::Down);
        let next = orders.wait_for(|power| *power != Power::Down).await.map(|power| *power);
        if !matches!(next, Ok(Power::Up)) {
            break;
        }
        let Ok(listening) = reserved.listen() else { break };
        port = listening;
        progress.reached.send_replace(Power::Up);
        progress.restarted.send_modify(|count| *count += 1);
    }
    progress.reached.send_replace(Power::Stopped);
}

/// Serves until the power goes off, then drops every connection.
async fn serve<F: Fake>(
    port: &Port<Listening>,
    orders: &mut watch::Receiver<Power>,
    fake: &Arc<F>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = orders.wait_for(|power| *power != Power::Up) => break,
            Ok((stream, _)) = port.stage.0.accept() => {
                connections.spawn(connection(stream, Arc::clone(fake)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}

async fn connection<F: Fake>(stream: TcpStream, fake: Arc<F>) -> Result<(), Infallible> {
    // Without this, small events wait for the client's delayed acknowledgement.
    drop(stream.set_nodelay(true));
    let service = service_fn(|request| {
        let fake = Arc::clone(&fake);
        async move { filters::chain(&*fake, &Call::read(request).await?).await }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    // An error here is a fault that the test asked for or a client that left.
    drop(builder.serve_connection(TokioIo::new(stream), service).await);
    Ok(())
}
