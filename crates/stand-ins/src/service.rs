//! A plain service, some of whose calls must not be repeated.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::control::Controller;
use crate::faults::CommonFaults;
use crate::filters::{Fake, State};
use crate::http::{self, Call, Reply};
use crate::server::{Power, Server, Switch};

/// Faults of the service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Faults that every fake has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// A request whose body holds this text kills the process after it took effect. Empty is off.
    pub crash_on: String,
    /// Restarts this long after a crash; 0 is never.
    pub restart_after_ms: u64,
    /// Requests take effect, and their replies wait until this is unset.
    pub hold_replies: bool,
}

/// One request that the service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body as received.
    pub body: Bytes,
}

/// The reply to an executed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Grows by one with every execution.
    pub serial: u64,
    /// How often this body has been executed, this time included.
    pub executions: u64,
}

/// A running service. Dropping it stops it.
pub struct Service {
    server: Server,
    control: Controller<ServiceState>,
}

impl Service {
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
        let control = Controller::start(ServiceState::default());
        let fake =
            |switch: &Switch| ServiceFake { control: control.clone(), switch: switch.clone() };
        let server = Server::start(address, fake)?;
        Ok(Self { server, control })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults; later requests see the change.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults) + Send + 'static) {
        self.control.post(move |state| change(&mut state.faults));
    }

    /// Every execution, in order. Executions survive a crash.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.control.read_blocking(|state| state.executions.clone())
    }

    /// How often a body was executed.
    #[must_use]
    pub fn executions_of(&self, body: &[u8]) -> u64 {
        let body = Bytes::copy_from_slice(body);
        self.control.read_blocking(move |state| state.counts.get(&body).copied().unwrap_or(0))
    }

    /// Waits until a body has been executed this often.
    pub async fn wait_for_executions_of(&self, body: &[u8], executions: u64) {
        let body = Bytes::copy_from_slice(body);
        let count = move |state: &ServiceState| {
            let count = state.counts.get(&body).copied().unwrap_or(0);
            (count >= executions).then_some(())
        };
        self.control.wait(count).await;
    }

    /// Drops every connection and refuses new ones; returns once that is so.
    pub async fn crash(&self) {
        self.server.switch().set(Power::Down).await;
    }

    /// Listens again at the same address.
    pub async fn restart(&self) {
        self.server.switch().set(Power::Up).await;
    }

    /// Stops and drops every connection.
    pub async fn stop(self) {
        self.server.switch().set(Power::Stopped).await;
    }
}

#[derive(Default)]
struct ServiceState {
    faults: ServiceFaults,
    executions: Vec<Execution>,
    counts: HashMap<Bytes, u64>,
}

impl ServiceState {
    fn execute(&mut self, execution: Execution) -> Receipt {
        let executions = self.counts.entry(execution.body.clone()).or_default();
        *executions += 1;
        let executions = *executions;
        self.executions.push(execution);
        Receipt { serial: self.executions.len() as u64, executions }
    }
}

impl State for ServiceState {
    type Faults = ServiceFaults;

    fn faults(&self) -> &ServiceFaults {
        &self.faults
    }

    fn faults_mut(&mut self) -> &mut ServiceFaults {
        &mut self.faults
    }

    fn common(&self) -> &CommonFaults {
        &self.faults.common
    }

    fn common_mut(&mut self) -> &mut CommonFaults {
        &mut self.faults.common
    }
}

struct ServiceFake {
    control: Controller<ServiceState>,
    switch: Switch,
}

impl ServiceFake {
    async fn crash_if_marked(&self, call: &Call) {
        let faults = self.control.read(|state| state.faults.clone()).await;
        if http::holds(&call.body, &faults.crash_on) {
            self.switch.crash(faults.restart_after_ms).await;
        }
    }

    async fn hold_reply(&self) {
        let released = |state: &ServiceState| (!state.faults.hold_replies).then_some(());
        self.control.wait(released).await;
    }
}

impl Fake for ServiceFake {
    type State = ServiceState;

    fn control(&self) -> &Controller<ServiceState> {
        &self.control
    }

    async fn handle(&self, call: &Call) -> Reply {
        if call.method != "POST" && call.method != "GET" {
            return http::not_found();
        }
        let execution = Execution {
            method: call.method.to_string(),
            path: call.path().to_owned(),
            body: call.body.clone(),
        };
        let receipt = self.control.change(move |state| state.execute(execution)).await;
        self.crash_if_marked(call).await;
        self.hold_reply().await;
        http::ok(&receipt)
    }

    fn has_effect(&self, _: &Call) -> bool {
        true
    }
}
