//! A model engine: batched completions with priorities, and its load.

mod completion;
mod runs;
mod tokens;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::clock::unix_ms;
use crate::control::Controller;
use crate::faults::CommonFaults;
use crate::filters::{Fake, State};
use crate::http::{self, Call, Reply};
use crate::server::{Power, Server, Switch};

use completion::CompletionRequest;
use runs::{Runs, Ticket};

pub use runs::Load;
pub use tokens::token;

/// Faults and speeds of an engine; all may change while it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Faults that every fake has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Requests that run at once; more wait by priority.
    pub capacity: u64,
    /// Time from the start of a run to its first interval.
    pub prefill_ms: u64,
    /// Time before each token.
    pub token_interval_ms: u64,
    /// A prompt that holds this text kills the engine once it runs. Empty is off.
    pub crash_on: String,
    /// The killing prompt's tokens that are sent before the crash.
    pub crash_after_tokens: u64,
    /// Restarts this long after a crash; 0 is never.
    pub restart_after_ms: u64,
    /// Streams send no token from this index on and stay open, until this is unset.
    pub stall_after_tokens: Option<u64>,
    /// Streams are closed before the token of this index, without their end.
    pub cut_after_tokens: Option<u64>,
    /// Age of the load that the engine reports.
    pub load_lag_ms: u64,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            common: CommonFaults::default(),
            capacity: 8,
            prefill_ms: 0,
            token_interval_ms: 0,
            crash_on: String::new(),
            crash_after_tokens: 0,
            restart_after_ms: 0,
            stall_after_tokens: None,
            cut_after_tokens: None,
            load_lag_ms: 0,
        }
    }
}

impl EngineFaults {
    fn stalls(&self, index: u64) -> bool {
        self.stall_after_tokens.is_some_and(|tokens| index >= tokens)
    }
}

/// What an engine starts with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// The version that it has loaded, also after a crash.
    pub version: String,
    /// The first faults and speeds.
    pub faults: EngineFaults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self { version: "v1".to_owned(), faults: EngineFaults::default() }
    }
}

/// A running engine. Dropping it stops it.
pub struct Engine {
    server: Server,
    control: Controller<EngineState>,
}

impl Engine {
    /// Starts on a free loopback port, in the caller's tokio runtime.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        Self::start_on((Ipv4Addr::LOCALHOST, 0).into(), settings)
    }

    /// Starts on the given address, in the caller's tokio runtime.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start_on(address: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let control = Controller::start(EngineState::new(settings));
        let fake =
            |switch: &Switch| EngineFake { control: control.clone(), switch: switch.clone() };
        let server = Server::start(address, fake)?;
        Ok(Self { server, control })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults; later requests and tokens see the change.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults) + Send + 'static) {
        self.control.post(move |state| {
            change(&mut state.faults);
            state.faults_changed();
        });
    }

    /// How often a request has started to run, over all crashes.
    #[must_use]
    pub fn runs_of(&self, request_id: &str) -> u64 {
        let request_id = request_id.to_owned();
        self.control.read_blocking(move |state| state.runs.starts(&request_id))
    }

    /// The present load, without the lag.
    #[must_use]
    pub fn load(&self) -> Load {
        self.control.read_blocking(|state| state.runs.load(u64::MAX))
    }

    /// Waits until the present load satisfies `condition`.
    pub async fn wait_for_load(&self, condition: impl Fn(&Load) -> bool + Clone + Send + 'static) {
        let holds = move |state: &EngineState| condition(&state.runs.load(u64::MAX)).then_some(());
        self.control.wait(holds).await;
    }

    /// Drops every connection and refuses new ones; returns once that is so.
    pub async fn crash(&self) {
        self.server.switch().set(Power::Down).await;
    }

    /// Waits until the engine is down.
    pub async fn wait_for_crash(&self) {
        self.server.switch().reached(Power::Down).await;
    }

    /// Listens again at the same address, with nothing but its settings.
    pub async fn restart(&self) {
        self.server.switch().set(Power::Up).await;
    }

    /// Stops and drops every connection.
    pub async fn stop(self) {
        self.server.switch().set(Power::Stopped).await;
    }
}

struct EngineState {
    faults: EngineFaults,
    first_version: String,
    version: String,
    runs: Runs,
}

impl EngineState {
    fn new(settings: EngineSettings) -> Self {
        let EngineSettings { version, faults } = settings;
        let first_version = version.clone();
        let mut state = Self { faults, first_version, version, runs: Runs::default() };
        state.admit();
        state
    }

    /// Queues a request; the error is the loaded version if the request needs another one.
    fn enqueue(&mut self, request: &CompletionRequest) -> Result<(Ticket, String), String> {
        if request.version.as_ref().is_some_and(|version| *version != self.version) {
            return Err(self.version.clone());
        }
        let ticket = self.runs.enqueue(&request.request_id, request.priority);
        self.admit();
        Ok((ticket, self.version.clone()))
    }

    fn release(&mut self, number: u64) {
        self.runs.release(number);
        self.admit();
    }

    fn cancel(&mut self, request_id: &str) -> usize {
        let cancelled = self.runs.cancel(request_id);
        self.admit();
        cancelled
    }

    fn admit(&mut self) {
        self.runs.admit(self.faults.capacity);
        self.runs.sample(self.faults.capacity, &self.version, unix_ms());
    }

    fn crash(&mut self) {
        self.version.clone_from(&self.first_version);
        self.runs.clear();
        self.admit();
    }

    fn reported_load(&self) -> Load {
        self.runs.load(unix_ms().saturating_sub(self.faults.load_lag_ms))
    }
}

impl State for EngineState {
    type Faults = EngineFaults;

    fn faults(&self) -> &EngineFaults {
        &self.faults
    }

    fn faults_mut(&mut self) -> &mut EngineFaults {
        &mut self.faults
    }

    /// A larger capacity starts waiting requests.
    fn faults_changed(&mut self) {
        self.admit();
    }

    fn common(&self) -> &CommonFaults {
        &self.faults.common
    }

    fn common_mut(&mut self) -> &mut CommonFaults {
        &mut self.faults.common
    }
}

struct EngineFake {
    control: Controller<EngineState>,
    switch: Switch,
}

impl EngineFake {
    async fn cancel(&self, request_id: &str) -> Reply {
        let request_id = request_id.to_owned();
        let cancelled = self.control.change(move |state| state.cancel(&request_id)).await;
        http::ok(&json!({ "cancelled": cancelled }))
    }

    async fn load(&self) -> Reply {
        http::ok(&self.control.read(EngineState::reported_load).await)
    }
}

impl Fake for EngineFake {
    type State = EngineState;

    fn control(&self) -> &Controller<EngineState> {
        &self.control
    }

    async fn handle(&self, call: &Call) -> Reply {
        let (method, path) = call.route();
        match (method, &path[..]) {
            ("POST", ["v1", "completions"]) => completion::complete(self, call).await,
            ("DELETE", ["v1", "requests", request_id]) => self.cancel(request_id).await,
            ("GET", ["load"]) => self.load().await,
            _ => http::not_found(),
        }
    }

    fn has_effect(&self, call: &Call) -> bool {
        call.method != "GET"
    }

    async fn crashed(&self) {
        self.control.change(EngineState::crash).await;
    }
}
