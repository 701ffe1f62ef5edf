//! A collector of trace spans that takes OTLP over HTTP as JSON.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::control::Controller;
use crate::faults::CommonFaults;
use crate::filters::{Fake, State};
use crate::http::{self, Call, Reply};
use crate::server::{Power, Server};

/// A span that a process has exported.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CollectedSpan {
    /// Trace, as 32 hexadecimal digits.
    pub trace_id: String,
    /// The span, as 16 hexadecimal digits.
    pub span_id: String,
    /// The span above, empty at the top.
    #[serde(default)]
    pub parent_span_id: String,
    /// Name of the hop.
    pub name: String,
    /// The instance that exported it.
    #[serde(skip)]
    pub instance: String,
}

/// Faults of the collector.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CollectorFaults {
    /// Faults that every fake has.
    #[serde(flatten)]
    pub common: CommonFaults,
}

/// A running collector. Dropping it stops it.
pub struct Collector {
    server: Server,
    control: Controller<CollectorState>,
}

impl Collector {
    /// Starts on a free loopback port, in the caller's tokio runtime.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub fn start() -> io::Result<Self> {
        let control = Controller::start(CollectorState::default());
        let fake = CollectorFake { control: control.clone() };
        let server = Server::start((Ipv4Addr::LOCALHOST, 0).into(), |_| fake)?;
        Ok(Self { server, control })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults; later requests see the change.
    pub fn set_faults(&self, change: impl FnOnce(&mut CollectorFaults) + Send + 'static) {
        self.control.post(move |state| change(&mut state.faults));
    }

    /// The spans received so far.
    #[must_use]
    pub fn spans(&self) -> Vec<CollectedSpan> {
        self.control.read_blocking(|state| state.spans.clone())
    }

    /// Stops and drops every connection.
    pub async fn stop(self) {
        self.server.switch().set(Power::Stopped).await;
    }
}

#[derive(Default)]
struct CollectorState {
    faults: CollectorFaults,
    spans: Vec<CollectedSpan>,
}

impl State for CollectorState {
    type Faults = CollectorFaults;

    fn faults(&self) -> &CollectorFaults {
        &self.faults
    }

    fn faults_mut(&mut self) -> &mut CollectorFaults {
        &mut self.faults
    }

    fn common(&self) -> &CommonFaults {
        &self.faults.common
    }

    fn common_mut(&mut self) -> &mut CommonFaults {
        &mut self.faults.common
    }
}

struct CollectorFake {
    control: Controller<CollectorState>,
}

impl Fake for CollectorFake {
    type State = CollectorState;

    fn control(&self) -> &Controller<CollectorState> {
        &self.control
    }

    async fn handle(&self, call: &Call) -> Reply {
        let (method, path) = call.route();
        match (method, &path[..]) {
            ("POST", ["v1", "traces"]) => {}
            _ => return http::not_found(),
        }
        match call.json::<Value>() {
            Ok(export) => {
                let spans = spans_of(&export);
                self.control.change(move |state| state.spans.extend(spans)).await;
                http::ok(&json!({}))
            }
            Err(message) => http::bad_request(&message),
        }
    }

    fn has_effect(&self, _: &Call) -> bool {
        true
    }
}

/// The spans of one export request, with the instance of its resource.
fn spans_of(export: &Value) -> Vec<CollectedSpan> {
    let mut spans = Vec::new();
    for resource in elements(export, "resourceSpans") {
        let instance = instance_of(resource);
        for scope in elements(resource, "scopeSpans") {
            for span in elements(scope, "spans") {
                if let Ok(span) = CollectedSpan::deserialize(span) {
                    spans.push(CollectedSpan { instance: instance.clone(), ..span });
                }
            }
        }
    }
    spans
}

fn instance_of(resource: &Value) -> String {
    elements(&resource["resource"], "attributes")
        .iter()
        .find(|attribute| attribute["key"] == "service.instance.id")
        .and_then(|attribute| attribute["value"]["stringValue"].as_str())
        .unwrap_or_default()
        .to_owned()
}

fn elements<'v>(value: &'v Value, name: &str) -> &'v [Value] {
    value[name].as_array().map_or(&[], Vec::as_slice)
}
