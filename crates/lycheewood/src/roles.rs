//! The roles that a process can play.

pub(crate) mod agent;
pub(crate) mod endpoint;
pub(crate) mod entry;
pub(crate) mod gateway;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::clock::{Clock, Timestamp};
use crate::lifecycle::shutdown::{Phase, Shutdown, ShutdownSettings};

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

/// Goes through the life cycle of a planned stop. `enter` tells of each phase; `in_flight` counts requests.
async fn leave(
    settings: ShutdownSettings,
    clock: Clock,
    in_flight: &watch::Sender<usize>,
    enter: impl Fn(Phase),
) {
    enter(Phase::Lingering);
    let mut lingering = Shutdown::serving(settings).announce(clock.now());
    let mut refusing = loop {
        sleep_until(clock, lingering.refuses_from()).await;
        match lingering.refuse(clock.now()) {
            Ok(refusing) => break refusing,
            Err(early) => lingering = early,
        }
    };
    enter(Phase::Refusing);
    let mut count = in_flight.subscribe();
    loop {
        sleep_until(clock, refusing.earliest_stop()).await;
        // The caller holds the sender, so the channel stays open.
        let _ = count.wait_for(|count| *count == 0).await;
        match refusing.stop(clock.now(), *in_flight.borrow()) {
            Ok(_stopped) => return,
            Err(busy) => refusing = busy,
        }
    }
}

async fn sleep_until(clock: Clock, until: Timestamp) {
    let left_ms = until.ms_since(clock.now());
    tokio::time::sleep(Duration::from_millis(left_ms)).await;
}
