//! The platform's list of instances, which lags behind the instances themselves.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::control::Controller;
use crate::faults::CommonFaults;
use crate::filters::{Fake, State};
use crate::http::{self, Call, Reply};
use crate::server::{Power, Server};

/// Faults of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ListFaults {
    /// Faults that every fake has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// A new list shows this long after it was set.
    pub lag_ms: u64,
}

/// The role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts callers' requests.
    Entry,
    /// Stands beside a model engine or a plain service.
    Endpoint,
}

/// What the platform does with an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In use.
    Live,
    /// Will be stopped.
    Leaving,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub id: String,
    /// Its role.
    pub role: Role,
    /// IP address and port of our process on it.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it is about to leave.
    pub state: InstanceState,
}

/// The list at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Grows by one with every change that shows.
    pub version: u64,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// A running instance list. Dropping it stops it.
pub struct InstanceList {
    server: Server,
    control: Controller<ListState>,
}

impl InstanceList {
    /// Starts with an empty list on a free loopback port, in the caller's tokio runtime.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub fn start() -> io::Result<Self> {
        Self::start_on((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// Starts with an empty list on the given address, in the caller's tokio runtime.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start_on(address: SocketAddr) -> io::Result<Self> {
        let control = Controller::start(ListState::default());
        let fake = ListFake { control: control.clone() };
        let server = Server::start(address, |_| fake)?;
        Ok(Self { server, control })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults; later requests see the change.
    pub fn set_faults(&self, change: impl FnOnce(&mut ListFaults) + Send + 'static) {
        self.control.post(move |state| change(&mut state.faults));
    }

    /// Replaces the list; it shows after the lag.
    pub async fn set(&self, instances: Vec<Instance>) {
        set(&self.control, instances).await;
    }

    /// Stops and drops every connection.
    pub async fn stop(self) {
        self.server.switch().set(Power::Stopped).await;
    }
}

/// Replaces the list now, or after the lag in a task of its own.
async fn set(control: &Controller<ListState>, instances: Vec<Instance>) {
    let lag_ms = control.read(|state| state.faults.lag_ms).await;
    if lag_ms == 0 {
        return control.change(move |state| state.show(instances)).await;
    }
    let control = control.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(lag_ms)).await;
        control.post(move |state| state.show(instances));
    });
}

#[derive(Default)]
struct ListState {
    faults: ListFaults,
    listing: Listing,
}

impl ListState {
    fn show(&mut self, instances: Vec<Instance>) {
        self.listing = Listing { version: self.listing.version + 1, instances };
    }
}

impl State for ListState {
    type Faults = ListFaults;

    fn faults(&self) -> &ListFaults {
        &self.faults
    }

    fn faults_mut(&mut self) -> &mut ListFaults {
        &mut self.faults
    }

    fn common(&self) -> &CommonFaults {
        &self.faults.common
    }

    fn common_mut(&mut self) -> &mut CommonFaults {
        &mut self.faults.common
    }
}

struct ListFake {
    control: Controller<ListState>,
}

impl ListFake {
    /// Without `after`, replies at once.
    async fn read(&self, call: &Call) -> Reply {
        if let Some(after) = call.optional_number("after") {
            let wait = Duration::from_millis(call.number("wait_ms", 0));
            let newer = move |state: &ListState| (state.listing.version > after).then_some(());
            self.control.wait_for(wait, newer).await;
        }
        http::ok(&self.control.read(|state| state.listing.clone()).await)
    }

    async fn replace(&self, call: &Call) -> Reply {
        match call.json::<NewList>() {
            Ok(list) => set(&self.control, list.instances).await,
            Err(message) => return http::bad_request(&message),
        }
        http::ok(&serde_json::json!({}))
    }
}

#[derive(Deserialize)]
struct NewList {
    instances: Vec<Instance>,
}

impl Fake for ListFake {
    type State = ListState;

    fn control(&self) -> &Controller<ListState> {
        &self.control
    }

    async fn handle(&self, call: &Call) -> Reply {
        match (call.method.as_str(), call.path()) {
            ("GET", "/instances") => self.read(call).await,
            ("PUT", "/instances") => self.replace(call).await,
            _ => http::not_found(),
        }
    }

    fn has_effect(&self, call: &Call) -> bool {
        call.method == "PUT"
    }
}
