//! A deployment in one process: fakes of the platform, endpoint daemons and entries on loopback.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lycheewood::publication::{Change, Publication, Record, encode_record};
use lycheewood::{
    Endpoint, Entry, LogClient, Offset, PublicationId, RawDocument, RequestKey, Settings,
};
use stand_ins::engine::{Engine, EngineFaults, EngineSettings};
use stand_ins::forwarder::Forwarder;
use stand_ins::instance_list::{Instance, InstanceList, InstanceState, Role};
use stand_ins::log::Log;
use stand_ins::service::Service;
use tokio::runtime::{Builder, Runtime};

/// Token of the workspace `north` in [`DOCUMENT`].
pub(crate) const TOKEN: &str = "north-token";

/// A document with a model and a service whose `POST /jobs` may not repeat.
pub(crate) const DOCUMENT: &str = r"
schema: 1
service: jobs
models:
  - name: draft
    versions: [{name: v1}]
endpoints:
  - {name: engines, models: [draft]}
  - name: jobs
    service: jobs
    non_idempotent: [{method: POST, path_prefix: /jobs}]
workspaces:
  - name: north
    token_sha256: [836cfa606b46bcc7e646421dd3bf83a1a787fde882184d875f8e2028216d7f0d]
    rate_per_s: 1000000
    burst: 1000000
    max_priority: 9
deadlines: {default_ms: 20000, max_ms: 600000}
placement: {objective: skew}
";

/// A document for which the cost of rebalancing weighs more, whose `POST /blocks` may not repeat.
pub(crate) const COST_DOCUMENT: &str = r"
schema: 1
service: serials
models:
  - name: draft
    versions: [{name: v1}]
endpoints:
  - {name: engines, models: [draft]}
  - name: jobs
    service: jobs
    non_idempotent: [{method: POST, path_prefix: /blocks}]
workspaces:
  - name: north
    token_sha256: [836cfa606b46bcc7e646421dd3bf83a1a787fde882184d875f8e2028216d7f0d]
    rate_per_s: 20
    burst: 40
placement: {objective: cost, max_moves: 2, min_interval_ms: 600000}
";

/// What stands beside an endpoint daemon.
pub(crate) enum Backend {
    Engine(Engine),
    Service(Service),
}

/// An endpoint daemon and what stands beside it.
pub(crate) struct Slot {
    pub(crate) id: String,
    pub(crate) backend: Backend,
    pub(crate) daemon: Endpoint,
}

/// A deployment in one process.
pub(crate) struct Deployment {
    pub(crate) runtime: Runtime,
    pub(crate) log: Log,
    pub(crate) list: InstanceList,
    pub(crate) slots: Vec<Slot>,
    pub(crate) entries: Vec<Entry>,
    /// More lines of settings for each daemon.
    pub(crate) extra: String,
    /// Addresses that daemons use in place of the fakes' own.
    pub(crate) log_address: SocketAddr,
    pub(crate) list_address: SocketAddr,
}

impl Deployment {
    /// Starts the platform only.
    pub(crate) fn platform(extra: &str) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("start the runtime of the fakes");
        let (log, list) = runtime.block_on(async {
            (Log::start().expect("start the log"), InstanceList::start().expect("start the list"))
        });
        let (log_address, list_address) = (log.address(), list.address());
        Self {
            runtime,
            log,
            list,
            slots: Vec::new(),
            entries: Vec::new(),
            extra: extra.to_owned(),
            log_address,
            list_address,
        }
    }

    /// Starts the platform, `engines` engines, one service and `entries` entries, publishes
    /// `document` and waits until all entries are ready.
    pub(crate) fn start(document: &str, engines: usize, entries: usize) -> Self {
        let mut deployment = Self::platform("");
        deployment.publish(document, None);
        for _ in 0..engines {
            deployment.add_engine(EngineFaults::default());
        }
        deployment.add_service();
        for _ in 0..entries {
            deployment.add_entry();
        }
        deployment.announce();
        deployment.wait_until_ready();
        deployment
    }

    /// A client of the log.
    pub(crate) fn log_client(&self) -> LogClient {
        LogClient::new(self.log.address(), 1_000, 2_000)
    }

    /// Publishes a whole document on `base` and gives the offset of its record.
    pub(crate) fn publish(&self, document: &str, base: Option<Offset>) -> Offset {
        let (raw, _) = RawDocument::from_yaml(document).expect("the document is valid");
        let record = Record::Publication(Publication {
            id: PublicationId::new(&format!("test-{base:?}")),
            base,
            change: Change::Document(raw.to_value()),
        });
        let append = self.log_client();
        self.runtime
            .block_on(async { append.append("documents", encode_record(&record)).await })
            .expect("append the publication")
    }

    fn settings(&self, role: &str, id: &str, more: &str) -> Settings {
        let yaml = format!(
            "role: {role}\ninstance: {id}\nfailure_domain: fd-1\nadmin_address: 127.0.0.1:0\nlog_address: {}\ninstance_list_address: {}\n{more}{}",
            self.log_address, self.list_address, self.extra,
        );
        Settings::from_yaml(&yaml).expect("the settings are valid")
    }

    /// Adds a daemon of the endpoint kind `kind` beside `backend`, which it reaches at `address`.
    pub(crate) fn add_slot(
        &mut self,
        kind: &str,
        version: &str,
        address: SocketAddr,
        backend: Backend,
    ) {
        let id = format!("{kind}-{}", self.slots.len());
        let more = format!(
            "peer_address: 127.0.0.1:0\nbackend_address: {address}\nendpoint_kind: {kind}\n{version}"
        );
        let settings = self.settings("endpoint", &id, &more);
        let daemon = Endpoint::start(&settings).expect("start an endpoint daemon");
        self.slots.push(Slot { id, backend, daemon });
    }

    /// Starts an engine without a daemon.
    pub(crate) fn engine(&self, faults: EngineFaults) -> Engine {
        let settings = EngineSettings { faults, ..EngineSettings::default() };
        let _runtime = self.runtime.enter();
        Engine::start(settings).expect("start an engine")
    }

    /// Starts a forwarder to `target`.
    pub(crate) fn forwarder(&self, target: SocketAddr) -> Forwarder {
        let _runtime = self.runtime.enter();
        Forwarder::start(target).expect("start a forwarder")
    }

    /// Adds an engine and its daemon.
    pub(crate) fn add_engine(&mut self, faults: EngineFaults) {
        let engine = self.engine(faults);
        let address = engine.address();
        self.add_slot("engines", "version: v1\n", address, Backend::Engine(engine));
    }

    /// Starts an engine with `ranks` ranks, without daemons.
    pub(crate) fn rank_engine(
        &self,
        ranks: usize,
        checks_fencing_numbers: bool,
        faults: EngineFaults,
    ) -> Engine {
        let settings =
            EngineSettings { ranks, checks_fencing_numbers, faults, ..EngineSettings::default() };
        let _runtime = self.runtime.enter();
        Engine::start(settings).expect("start an engine")
    }

    /// Starts the daemon of one rank of a group. Each call gives another process.
    pub(crate) fn rank_daemon(
        &self,
        engine: SocketAddr,
        group: &str,
        index: usize,
        ranks: usize,
    ) -> Endpoint {
        let id = format!("{group}-{index}");
        let more = format!(
            "peer_address: 127.0.0.1:0\nbackend_address: {engine}\nendpoint_kind: engines\nversion: v1\nrank: {{group: {group}, index: {index}, ranks: {ranks}}}\n"
        );
        Endpoint::start(&self.settings("endpoint", &id, &more)).expect("start a rank's daemon")
    }

    /// Adds a service and its daemon.
    pub(crate) fn add_service(&mut self) {
        let service = {
            let _runtime = self.runtime.enter();
            Service::start().expect("start a service")
        };
        let address = service.address();
        self.add_slot("jobs", "", address, Backend::Service(service));
    }

    /// Adds an entry.
    pub(crate) fn add_entry(&mut self) {
        let id = format!("entry-{}", self.entries.len());
        let settings = self.settings("entry", &id, "caller_address: 127.0.0.1:0\n");
        self.entries.push(Entry::start(&settings).expect("start an entry"));
    }

    /// Stops all daemons gracefully, entries first.
    pub(crate) fn shutdown(&mut self) {
        for entry in self.entries.drain(..) {
            entry.shutdown();
        }
        for slot in self.slots.drain(..) {
            slot.daemon.shutdown();
        }
    }

    /// Adds `count` engines and their daemons.
    pub(crate) fn add_engines(&mut self, count: usize, faults: &EngineFaults) {
        for _ in 0..count {
            self.add_engine(faults.clone());
        }
    }

    /// Adds `count` entries, announces all daemons and waits until the entries are ready.
    pub(crate) fn serve_with(&mut self, count: usize) {
        for _ in 0..count {
            self.add_entry();
        }
        self.announce();
        self.wait_until_ready();
    }

    /// The engines, in the order of their slots.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.slots.iter().filter_map(|slot| match &slot.backend {
            Backend::Engine(engine) => Some(engine),
            Backend::Service(_) => None,
        })
    }

    /// How often any engine has started to run a request.
    pub(crate) fn engine_runs(&self) -> u64 {
        self.engines().map(Engine::runs).sum()
    }

    /// Puts all daemons on the instance list as live.
    pub(crate) fn announce(&self) {
        self.announce_at(|_, address| address);
    }

    /// The same, with the address of each endpoint daemon changed by `change`.
    pub(crate) fn announce_at(&self, change: impl Fn(usize, SocketAddr) -> SocketAddr) {
        let instance = |id: &str, role, address: SocketAddr| Instance {
            id: id.to_owned(),
            role,
            address: address.to_string(),
            failure_domain: "fd-1".into(),
            state: InstanceState::Live,
        };
        let endpoints = self.slots.iter().enumerate().map(|(index, slot)| {
            instance(&slot.id, Role::Endpoint, change(index, slot.daemon.peer_address()))
        });
        let entries = self.entries.iter().enumerate().map(|(index, entry)| {
            instance(&format!("entry-{index}"), Role::Entry, entry.caller_address())
        });
        let all = endpoints.chain(entries).collect();
        self.runtime.block_on(self.list.set(all));
    }

    /// Waits until every entry has a document and all endpoints.
    pub(crate) fn wait_until_ready(&self) {
        for entry in &self.entries {
            assert!(entry.wait_until_ready(self.slots.len(), 20_000), "an entry is not ready");
        }
    }
}

/// A request of the workspace `north`.
pub(crate) fn request(
    address: SocketAddr,
    path: &str,
    key: Option<RequestKey>,
    body: &str,
) -> Request<Full<Bytes>> {
    let mut request = Request::post(format!("http://{address}{path}"))
        .header(header::AUTHORIZATION, format!("Bearer {TOKEN}"));
    if let Some(key) = key {
        request = request.header("idempotency-key", key.to_string());
    }
    request.body(Full::new(Bytes::from(body.to_owned()))).expect("a valid request")
}

/// A client that callers use.
pub(crate) fn client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Sends a request and reads the whole reply.
pub(crate) async fn send(request: Request<Full<Bytes>>) -> (u16, String) {
    let response = client().request(request).await.expect("a reply");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("a whole body").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// Body of a whole completion.
pub(crate) fn completion(prompt: &str, max_tokens: u32) -> String {
    format!(r#"{{"model": "draft", "prompt": "{prompt}", "max_tokens": {max_tokens}}}"#)
}

/// The text that an engine with version v1 answers to a prompt.
pub(crate) fn expected_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| stand_ins::engine::token("v1", prompt, index)).collect()
}

/// The code of a refusal, or an empty text.
pub(crate) fn code_of(body: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    body["error"]["code"].as_str().unwrap_or_default().to_owned()
}

/// When a refused caller may come back.
pub(crate) fn retry_after_ms(body: &str) -> u64 {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    body["error"]["retry_after_ms"].as_u64().unwrap_or_default()
}

/// The text of a whole completion.
pub(crate) fn text_of(body: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(body).expect("a JSON answer");
    body["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
}
