//! A TCP forwarder whose open connections can go silent, with no reset and no end, while new ones work, and that can be
//! cut.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A running forwarder. Dropping it stops it.
pub struct Forwarder {
    address: SocketAddr,
    silenced: watch::Sender<u64>,
    is_cut: watch::Sender<bool>,
    opened: watch::Receiver<u64>,
    task: JoinHandle<()>,
}

impl Forwarder {
    /// Starts on a free loopback port, in the caller's tokio runtime, and forwards to `target`.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let (silenced, receiver) = watch::channel(0);
        let (is_cut, cut_receiver) = watch::channel(false);
        let (opened_sender, opened) = watch::channel(0);
        let task = tokio::spawn(accept(listener, target, receiver, cut_receiver, opened_sender));
        Ok(Self { address, silenced, is_cut, opened, task })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all open connections silent. New ones work.
    pub fn silence(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }

    /// Closes all connections, and new ones at once, until [`Forwarder::restore`].
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    /// Forwards new connections again.
    pub fn restore(&self) {
        self.is_cut.send_replace(false);
    }

    /// Connections that were ever opened.
    #[must_use]
    pub fn opened(&self) -> u64 {
        *self.opened.borrow()
    }

    /// Waits until more than `count` connections were opened.
    pub async fn wait_for_opened_above(&self, count: u64) {
        let mut opened = self.opened.clone();
        // The task holds the sender for as long as this handle lives.
        let _ = opened.wait_for(|opened| *opened > count).await;
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    silences: watch::Receiver<u64>,
    cuts: watch::Receiver<bool>,
    opened: watch::Sender<u64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        opened.send_modify(|count| *count += 1);
        let (silences, mut cuts) = (silences.clone(), cuts.clone());
        tokio::spawn(async move {
            tokio::select! {
                biased;
                _ = cuts.wait_for(|is_cut| *is_cut) => {}
                () = forward(near, target, silences) => {}
            }
        });
    }
}

async fn forward(mut near: TcpStream, target: SocketAddr, mut silences: watch::Receiver<u64>) {
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    silences.mark_unchanged();
    let silent = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => false,
        changed = silences.changed() => changed.is_ok(),
    };
    if silent {
        // Holds both sockets open without reading, until the forwarder is dropped.
        while silences.changed().await.is_ok() {}
    }
}
