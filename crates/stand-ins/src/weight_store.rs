//! The platform's rate-limited store of model weights.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::control::Controller;
use crate::faults::CommonFaults;
use crate::filters::{Fake, State};
use crate::http::{self, Call, Reply};
use crate::server::{Power, Server};

/// Bytes sent at once; the rate is kept between parts.
const PART_BYTES: u64 = 64 * 1024;

/// Faults and limits of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Faults that every fake has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Size of every body.
    pub size_bytes: u64,
    /// Rate of a body. While it uses up the rate, further requests get 429. 0 is unlimited.
    pub rate_bytes_per_s: u64,
}

impl Default for StoreFaults {
    fn default() -> Self {
        let size_bytes = 1024 * 1024;
        Self { common: CommonFaults::default(), size_bytes, rate_bytes_per_s: 0 }
    }
}

impl StoreFaults {
    /// How long the rate makes this many bytes take.
    fn duration(&self, bytes: u64) -> Duration {
        if self.rate_bytes_per_s == 0 {
            return Duration::ZERO;
        }
        Duration::from_millis(bytes.saturating_mul(1_000).div_ceil(self.rate_bytes_per_s))
    }
}

/// A running store. Dropping it stops it.
pub struct WeightStore {
    server: Server,
    control: Controller<StoreState>,
}

impl WeightStore {
    /// Starts on a free loopback port, in the caller's tokio runtime.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub fn start() -> io::Result<Self> {
        Self::start_on((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// Starts on the given address, in the caller's tokio runtime.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start_on(address: SocketAddr) -> io::Result<Self> {
        let control = Controller::start(StoreState::default());
        let fake = StoreFake { control: control.clone() };
        let server = Server::start(address, |_| fake)?;
        Ok(Self { server, control })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults; later requests see the change.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults) + Send + 'static) {
        self.control.post(move |state| change(&mut state.faults));
    }

    /// The names of the weights that have been sent, in order.
    #[must_use]
    pub fn fetched(&self) -> Vec<String> {
        self.control.read_blocking(|state| state.fetched.clone())
    }

    /// Stops and drops every connection.
    pub async fn stop(self) {
        self.server.switch().set(Power::Stopped).await;
    }
}

#[derive(Default)]
struct StoreState {
    faults: StoreFaults,
    /// When the bodies sent so far have used up their time under the rate.
    free_at: Option<Instant>,
    fetched: Vec<String>,
}

impl StoreState {
    /// Reserves the rate for one body; the error is the time until it is free.
    fn reserve(&mut self, name: String, now: Instant) -> Result<StoreFaults, Duration> {
        let wait = self.free_at.map_or(Duration::ZERO, |free| free.saturating_duration_since(now));
        if self.faults.rate_bytes_per_s > 0 && !wait.is_zero() {
            return Err(wait);
        }
        self.free_at = Some(now + self.faults.duration(self.faults.size_bytes));
        self.fetched.push(name);
        Ok(self.faults.clone())
    }
}

impl State for StoreState {
    type Faults = StoreFaults;

    fn faults(&self) -> &StoreFaults {
        &self.faults
    }

    fn faults_mut(&mut self) -> &mut StoreFaults {
        &mut self.faults
    }

    fn common(&self) -> &CommonFaults {
        &self.faults.common
    }

    fn common_mut(&mut self) -> &mut CommonFaults {
        &mut self.faults.common
    }
}

struct StoreFake {
    control: Controller<StoreState>,
}

impl StoreFake {
    async fn fetch(&self, name: &str) -> Reply {
        let name = name.to_owned();
        let now = Instant::now();
        match self.control.change(move |state| state.reserve(name, now)).await {
            Ok(faults) => body(faults),
            Err(wait) => too_many(wait),
        }
    }
}

fn body(faults: StoreFaults) -> Reply {
    let (sender, parts) = mpsc::channel(1);
    let builder = Response::builder().header(CONTENT_LENGTH, faults.size_bytes);
    tokio::spawn(send_parts(faults, sender));
    builder.body(http::streamed(parts)).map_err(io::Error::other)
}

/// Sends the body at its rate, until its end or the reader's leaving.
async fn send_parts(faults: StoreFaults, parts: mpsc::Sender<io::Result<Bytes>>) {
    let start = Instant::now();
    let mut sent = 0;
    while sent < faults.size_bytes {
        let size = PART_BYTES.min(faults.size_bytes - sent);
        sent += size;
        tokio::select! {
            () = tokio::time::sleep_until(start + faults.duration(sent)) => {}
            () = parts.closed() => return,
        }
        let part = vec![0; usize::try_from(size).unwrap_or(0)];
        if parts.send(Ok(part.into())).await.is_err() {
            return;
        }
    }
}

fn too_many(wait: Duration) -> Reply {
    let seconds = u64::try_from(wait.as_millis().div_ceil(1_000)).unwrap_or(u64::MAX);
    let mut reply = http::fault(StatusCode::TOO_MANY_REQUESTS, "over the rate")?;
    reply.headers_mut().insert(RETRY_AFTER, seconds.into());
    Ok(reply)
}

impl Fake for StoreFake {
    type State = StoreState;

    fn control(&self) -> &Controller<StoreState> {
        &self.control
    }

    async fn handle(&self, call: &Call) -> Reply {
        let (method, path) = call.route();
        match (method, &path[..]) {
            ("GET", ["weights", name]) => self.fetch(name).await,
            _ => http::not_found(),
        }
    }

    fn has_effect(&self, _: &Call) -> bool {
        true
    }
}
