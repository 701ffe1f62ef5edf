//! The agent role: a small process beside a rank that carries the lease holder's calls out.
//!
//! Beside the rank its reports are fresh, and reading counts and giving orders costs nothing.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::runtime::{Builder, Runtime};

use crate::adapters::agent::{self, ServedRanks};
use crate::group_ports::RankClient;
use crate::roles::{StartError, listen};

/// A running agent. It has one thread, which also runs whatever it waits for.
pub struct Agent {
    runtime: Runtime,
    address: SocketAddr,
}

impl Agent {
    /// Starts an agent that listens at `address` for calls to the rank at `endpoint`.
    ///
    /// Must not be called from async code, because it blocks.
    ///
    /// # Errors
    ///
    /// When the listener or the runtime cannot be started.
    pub fn start(
        address: SocketAddr,
        endpoint: SocketAddr,
        ranks: Arc<dyn RankClient>,
    ) -> Result<Self, StartError> {
        Self::open(address, ServedRanks::Beside(endpoint), ranks)
    }

    /// Starts a relay that listens at `address` for calls to any rank. The agents beside the ranks listen on
    /// `agent_port`; a relay asks them whether the term of an order has ended.
    ///
    /// Must not be called from async code, because it blocks.
    ///
    /// # Errors
    ///
    /// When the listener or the runtime cannot be started.
    pub fn relay(
        address: SocketAddr,
        agent_port: u16,
        ranks: Arc<dyn RankClient>,
    ) -> Result<Self, StartError> {
        Self::open(address, ServedRanks::Named { agent_port }, ranks)
    }

    fn open(
        address: SocketAddr,
        served: ServedRanks,
        ranks: Arc<dyn RankClient>,
    ) -> Result<Self, StartError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| StartError::Runtime { source })?;
        let (listener, address) = runtime.block_on(listen("peer_address", address))?;
        runtime.spawn(agent::serve(listener, ranks, served, None));
        log::info!("agent started address={address} serves={served:?}");
        Ok(Self { runtime, address })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves calls until `stop` is over.
    pub fn run_until<T>(&self, stop: impl Future<Output = T>) -> T {
        self.runtime.block_on(stop)
    }
}
