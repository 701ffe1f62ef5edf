//! The roles that a process can play.

pub(crate) mod agent;
pub(crate) mod endpoint;
pub(crate) mod entry;
pub(crate) mod gateway;

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

/// Why a node does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener cannot be opened.
    #[error(
        "cannot listen on {address} (`{field}`): {source}; choose a free address of this instance"
    )]
    Listen {
        /// The setting.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A thread or runtime cannot be started.
    #[error("cannot start a runtime: {source}; check the limits on threads and open files")]
    Runtime {
        /// What the system says.
        source: io::Error,
    },
    /// The metrics registry refuses a metric.
    #[error("cannot register metrics: {reason}")]
    Metrics {
        /// What the registry says.
        reason: String,
    },
    /// The settings are for another role.
    #[error("the settings are for another role; set `role` to {wanted}")]
    Role {
        /// The role that was wanted.
        wanted: &'static str,
    },
}

/// Opens the listener of a setting and gives the address that it got.
async fn listen(
    field: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |source| StartError::Listen { field, address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
