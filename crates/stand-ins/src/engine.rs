//! A model engine: batched completions with priorities, its load, orders and ranks.

mod cache_events;
mod completion;
mod fence;
mod orders;
mod ranks;
mod runs;
mod tokens;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::task::JoinHandle;

use crate::clock::unix_ms;
use crate::control::Controller;
use crate::faults::CommonFaults;
use crate::filters::{Fake, State};
use crate::http::{self, Call, Reply};
use crate::server::{Power, Server, Switch};

use cache_events::{Cache, Prefix};
use completion::CompletionRequest;
use fence::Fence;
use orders::Orders;
use ranks::Ranks;
use runs::{Runs, Ticket};

pub use cache_events::{CacheChange, CacheEvent};
pub use orders::Order;
pub use ranks::{Rank, StagedMap, StepEvent};
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
    /// Time from the start of a run to its first interval; a cached prefix saves it.
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
    /// Prompt prefixes that the cache holds.
    pub cache_entries: u64,
    /// Cache events show this long after they happened.
    pub cache_lag_ms: u64,
    /// Every event whose number is a multiple of this is never published; 0 is off.
    pub cache_gap_every: u64,
    /// Time that a rank needs for a step.
    pub step_ms: u64,
    /// The rank that is slower than the others, if any.
    pub straggler_rank: Option<usize>,
    /// The straggler's step time as a percentage of the others'.
    pub straggler_percent: u64,
    /// The rank that runs no step and so holds back the group, if any.
    pub stalled_rank: Option<usize>,
    /// Tokens of one step by layer and expert. The age of what is reported is `load_lag_ms`.
    pub expert_tokens: Vec<Vec<u64>>,
    /// Reported tokens are off by up to this share, in percent.
    pub expert_noise_percent: u64,
    /// Experts that one rank holds in one layer.
    pub expert_slots: usize,
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
            cache_entries: 16,
            cache_lag_ms: 0,
            cache_gap_every: 0,
            step_ms: 1,
            straggler_rank: None,
            straggler_percent: 100,
            stalled_rank: None,
            expert_tokens: Vec::new(),
            expert_noise_percent: 0,
            expert_slots: 0,
        }
    }
}

impl EngineFaults {
    fn step_duration_ms(&self, rank: usize) -> u64 {
        let straggles = self.straggler_rank == Some(rank);
        self.step_ms * if straggles { self.straggler_percent } else { 100 } / 100
    }

    /// Speed of a rank; 1 is that of all but the straggler.
    #[allow(clippy::cast_precision_loss, reason = "percentages are small")]
    fn speed(&self, rank: usize) -> f64 {
        let straggles = self.straggler_rank == Some(rank);
        if straggles { 100.0 / self.straggler_percent.max(1) as f64 } else { 1.0 }
    }

    fn stalls(&self, index: u64) -> bool {
        self.stall_after_tokens.is_some_and(|tokens| index >= tokens)
    }
}

/// What an engine starts with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// The version that it has loaded, also after a crash.
    pub version: String,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing_numbers: bool,
    /// Ranks of the group that it runs; 0 is none.
    pub ranks: usize,
    /// The first faults and speeds.
    pub faults: EngineFaults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            version: "v1".to_owned(),
            checks_fencing_numbers: true,
            ranks: 0,
            faults: EngineFaults::default(),
        }
    }
}

/// A running engine. Dropping it stops it.
pub struct Engine {
    server: Server,
    control: Controller<EngineState>,
    steps: JoinHandle<()>,
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.steps.abort();
    }
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
        let steps = tokio::spawn(ranks::run_steps(control.clone()));
        Ok(Self { server, control, steps })
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

    /// How often any request has started to run, over all crashes.
    #[must_use]
    pub fn runs(&self) -> u64 {
        self.control.read_blocking(|state| state.runs.all_starts())
    }

    /// The orders that it has taken, over all crashes.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.control.read_blocking(|state| state.orders.taken.clone())
    }

    /// The latest steps of the group, over all crashes.
    #[must_use]
    pub fn steps(&self) -> Vec<StepEvent> {
        self.control.read_blocking(|state| state.ranks.events())
    }

    /// Waits until the group has run `step`.
    pub async fn wait_for_step(&self, step: u64) {
        let run = move |state: &EngineState| state.ranks.has_run(step).then_some(());
        self.control.wait(run).await;
    }

    /// Waits until the ranks satisfy `condition`.
    pub async fn wait_for_ranks(
        &self,
        condition: impl Fn(&[Rank]) -> bool + Clone + Send + 'static,
    ) {
        let holds = move |state: &EngineState| condition(state.ranks.members()).then_some(());
        self.control.wait(holds).await;
    }

    /// Puts a rank without any state in a rank's place.
    pub fn replace_rank(&self, rank: usize) {
        self.control.post(move |state| state.ranks.replace(rank));
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

    /// Waits until the engine has come up again this often after crashes.
    pub async fn wait_for_restarts(&self, restarts: u64) {
        self.server.switch().restarted(restarts).await;
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
    checks_fencing_numbers: bool,
    runs: Runs,
    cache: Cache,
    orders: Orders,
    ranks: Ranks,
}

impl EngineState {
    fn new(settings: EngineSettings) -> Self {
        let mut state = Self {
            faults: settings.faults,
            first_version: settings.version.clone(),
            version: settings.version,
            checks_fencing_numbers: settings.checks_fencing_numbers,
            runs: Runs::default(),
            cache: Cache::default(),
            orders: Orders::default(),
            ranks: Ranks::new(settings.ranks),
        };
        state.admit();
        state
    }

    /// Queues a request; the error is the loaded version if the request needs another one.
    fn enqueue(&mut self, request: &CompletionRequest) -> Result<(Ticket, String), String> {
        if request.version.as_ref().is_some_and(|version| *version != self.version) {
            return Err(self.version.clone());
        }
        let prefix = Prefix::of(&request.prompt, &request.request_id);
        let ticket = self.runs.enqueue(prefix, request.priority);
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
        let now_unix_ms = unix_ms();
        let (cache, entries) = (&mut self.cache, self.faults.cache_entries);
        let cached = |prefix: &Prefix| cache.touch(prefix, entries, now_unix_ms);
        self.runs.admit(self.faults.capacity, cached);
        self.runs.sample(self.faults.capacity, &self.version, now_unix_ms);
    }

    fn crash(&mut self) {
        self.version.clone_from(&self.first_version);
        self.runs.clear();
        self.cache.clear();
        self.orders.fence = Fence::default();
        self.ranks.clear();
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
            ("GET", ["cache-events"]) => cache_events::read(self, call).await,
            ("POST", ["orders"]) => orders::take(self, call).await,
            ("GET", ["orders"]) => orders::list(self).await,
            ("GET", ["ranks"]) => ranks::list(self, call).await,
            ("GET", ["ranks", "load"]) => ranks::load(self).await,
            ("GET", ["steps"]) => ranks::steps(self, call).await,
            ("POST", ["ranks", rank, action]) => ranks::order(self, rank, action, call).await,
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
