//! A deployment of separate `lycheewoodd` processes, with the platform's fakes in the test's own.

#![allow(dead_code, reason = "each test file uses a part")]

#[path = "processes/process.rs"]
mod process;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lycheewood::publication::{Change, Publication, Record, encode_record};
use lycheewood::{LogClient, PublicationId, RawDocument};
use serde_json::Value;
use stand_ins::engine::{Engine, EngineFaults, EngineSettings};
use stand_ins::instance_list::{Instance, InstanceList, InstanceState, Role};
use stand_ins::log::Log;
use stand_ins::service::Service;
use tokio::runtime::{Builder, Runtime};

use crate::caller::{Call, DEADLINE};

pub(crate) use process::Process;

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

/// Long enough for a process that waits for a processor, and shorter than the default.
const SILENCE_MS: u64 = 1_000;

/// Shorter than the defaults, so that tests wait less.
const SETTINGS: &str = "
bounds:
  max_body_bytes: 65536
timing:
  heartbeat_ms: 100
  reconnect_max_ms: 200
  load_report_ms: 100
  entries_valid_ms: 300
  entry_linger_ms: 500
  entry_refuse_ms: 300
  drain_notice_ms: 400
  claim_wait_ms: 3000
";

/// The settings of each daemon beside its role and addresses, with connections that count as silent after `silence_ms`.
pub(crate) fn settings(silence_ms: u64) -> String {
    format!("{SETTINGS}  silence_ms: {silence_ms}\n")
}

/// An engine or service and the daemon beside it.
pub(crate) struct Slot<Backend> {
    pub(crate) backend: Backend,
    pub(crate) daemon: Process,
}

/// A deployment. Dropping it ends its processes and removes its files.
pub(crate) struct Deployment {
    pub(crate) entries: Vec<Process>,
    pub(crate) engines: Vec<Slot<Engine>>,
    pub(crate) services: Vec<Slot<Arc<Service>>>,
    pub(crate) log: Log,
    pub(crate) list: InstanceList,
    pub(crate) runtime: Runtime,
    /// Settings of each daemon beside its role and addresses.
    pub(crate) settings: String,
    /// Addresses that daemons use in place of the fakes' own.
    pub(crate) log_address: SocketAddr,
    pub(crate) list_address: SocketAddr,
    /// Holds the settings of the processes.
    pub(crate) directory: PathBuf,
    /// Whether the processes write log files into the directory, which then stays.
    pub(crate) keeps_logs: bool,
    started: u64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !self.keeps_logs {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Deployment {
    /// Starts the platform, publishes [`DOCUMENT`], starts the daemons and waits until the entries
    /// have the document and all endpoints.
    pub(crate) fn start(entries: usize, engines: usize, services: usize) -> Self {
        let deployment = Self::start_without_document(entries, engines, services);
        deployment.publish();
        deployment.wait_until_ready();
        deployment
    }

    /// Starts the platform only.
    pub(crate) fn platform() -> Self {
        static DEPLOYMENTS: AtomicU64 = AtomicU64::new(0);
        let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        let name = format!("lycheewood-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("create a directory for settings");
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
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            log,
            list,
            runtime,
            settings: settings(SILENCE_MS),
            log_address,
            list_address,
            directory,
            keeps_logs: false,
            started: 0,
        }
    }

    /// Like [`Deployment::start`], with two entries, one service, and connections
    /// that count as silent after `silence_ms`.
    pub(crate) fn start_with_silence(silence_ms: u64) -> Self {
        let deployment = Self::start_with_settings(&settings(silence_ms), 2, 0, 1);
        deployment.publish();
        deployment.wait_until_ready();
        deployment
    }

    /// Starts the platform and the daemons, and publishes nothing.
    pub(crate) fn start_without_document(entries: usize, engines: usize, services: usize) -> Self {
        Self::start_with_settings(&settings(SILENCE_MS), entries, engines, services)
    }

    /// Like [`Deployment::start_without_document`], with `settings` in place of the tests' own.
    pub(crate) fn start_with_settings(
        settings: &str,
        entries: usize,
        engines: usize,
        services: usize,
    ) -> Self {
        let mut deployment = Self::platform();
        settings.clone_into(&mut deployment.settings);
        for _ in 0..engines {
            deployment.add_engine(EngineFaults::default());
        }
        for _ in 0..services {
            deployment.add_service();
        }
        for _ in 0..entries {
            deployment.add_entry();
        }
        deployment.announce();
        deployment
    }

    /// Publishes [`DOCUMENT`].
    pub(crate) fn publish(&self) {
        self.publish_first(DOCUMENT);
    }

    /// Publishes the first document.
    pub(crate) fn publish_first(&self, document: &str) {
        let (raw, _) = RawDocument::from_yaml(document).expect("the document is valid");
        let record = Record::Publication(Publication {
            id: PublicationId::new("first"),
            base: None,
            change: Change::Document(raw.to_value()),
        });
        let client = LogClient::new(self.log.address(), 1_000, 2_000);
        self.runtime
            .block_on(client.append("documents", encode_record(&record)))
            .expect("append the publication");
    }

    fn start_process(&mut self, role: Role, instance: &str, more: &str) -> Process {
        let name = match role {
            Role::Entry => "entry",
            Role::Endpoint => "endpoint",
        };
        let (log, list) = (self.log_address, self.list_address);
        let settings = format!(
            "role: {name}\ninstance: {instance}\nfailure_domain: fd-1\nadmin_address: 127.0.0.1:0\nlog_address: {log}\ninstance_list_address: {list}\n{more}{}",
            self.settings
        );
        let file = self.directory.join(format!("{instance}.yaml"));
        fs::write(&file, settings).expect("write the settings");
        let log = self.directory.join(format!("{instance}.log"));
        Process::start(instance, role, &file, self.keeps_logs.then_some(&*log))
    }

    pub(crate) fn next_instance(&mut self, kind: &str) -> String {
        self.started += 1;
        format!("{kind}-{}", self.started)
    }

    /// Starts a daemon beside an engine.
    pub(crate) fn start_engine_daemon(&mut self, instance: &str, backend: SocketAddr) -> Process {
        self.start_engine_daemon_of("v1", instance, backend)
    }

    /// Starts a daemon beside an engine of a version.
    pub(crate) fn start_engine_daemon_of(
        &mut self,
        version: &str,
        instance: &str,
        backend: SocketAddr,
    ) -> Process {
        let more = format!(
            "peer_address: 127.0.0.1:0\nbackend_address: {backend}\nendpoint_kind: engines\nversion: {version}\n"
        );
        self.start_process(Role::Endpoint, instance, &more)
    }

    /// Starts a daemon beside a service.
    pub(crate) fn start_service_daemon(&mut self, instance: &str, backend: SocketAddr) -> Process {
        let more =
            format!("peer_address: 127.0.0.1:0\nbackend_address: {backend}\nendpoint_kind: jobs\n");
        self.start_process(Role::Endpoint, instance, &more)
    }

    /// Adds an engine and its daemon.
    pub(crate) fn add_engine(&mut self, faults: EngineFaults) {
        self.add_engine_of("v1", faults);
    }

    /// Adds an engine of a version and its daemon.
    pub(crate) fn add_engine_of(&mut self, version: &str, faults: EngineFaults) {
        let settings =
            EngineSettings { version: version.to_owned(), faults, ..EngineSettings::default() };
        let backend = {
            let _runtime = self.runtime.enter();
            Engine::start(settings).expect("start an engine")
        };
        let instance = self.next_instance("engine");
        let daemon = self.start_engine_daemon_of(version, &instance, backend.address());
        self.engines.push(Slot { backend, daemon });
    }

    /// Adds a service and its daemon.
    pub(crate) fn add_service(&mut self) {
        let backend = {
            let _runtime = self.runtime.enter();
            Arc::new(Service::start().expect("start a service"))
        };
        let instance = self.next_instance("service");
        let daemon = self.start_service_daemon(&instance, backend.address());
        self.services.push(Slot { backend, daemon });
    }

    /// Adds an entry.
    pub(crate) fn add_entry(&mut self) {
        let instance = self.next_instance("entry");
        let entry = self.start_entry(&instance);
        self.entries.push(entry);
    }

    /// Starts an entry.
    pub(crate) fn start_entry(&mut self, instance: &str) -> Process {
        self.start_process(Role::Entry, instance, "caller_address: 127.0.0.1:0\n")
    }

    /// Lets a process that has been replaced leave: the entries know its replacement, then it stops.
    /// The list is late and shows both until then.
    pub(crate) fn leave(&self, mut old: Process) {
        self.set_list([&old]);
        if old.role == Role::Endpoint {
            for entry in &self.entries {
                self.wait_for_endpoints(entry, self.endpoint_daemons().count() + 1);
            }
        }
        old.terminate();
        assert!(old.wait_for_end().success(), "{} failed", old.instance);
        self.announce();
    }

    fn endpoint_daemons(&self) -> impl Iterator<Item = &Process> {
        let engines = self.engines.iter().map(|slot| &slot.daemon);
        engines.chain(self.services.iter().map(|slot| &slot.daemon))
    }

    /// Puts all processes on the instance list as live.
    pub(crate) fn announce(&self) {
        self.set_list([]);
    }

    fn set_list<const N: usize>(&self, more: [&Process; N]) {
        let instance = |process: &Process| Instance {
            id: process.instance.clone(),
            role: process.role,
            address: process.address.to_string(),
            failure_domain: "fd-1".into(),
            state: InstanceState::Live,
        };
        let all = self.endpoint_daemons().chain(&self.entries).chain(more).map(instance).collect();
        self.runtime.block_on(self.list.set(all));
    }

    /// Waits until every entry has a document and all endpoints.
    pub(crate) fn wait_until_ready(&self) {
        let endpoints = self.endpoint_daemons().count();
        for entry in &self.entries {
            self.wait_for_endpoints(entry, endpoints);
        }
    }

    /// Waits until an entry has a document and this many endpoints.
    pub(crate) fn wait_for_endpoints(&self, entry: &Process, endpoints: usize) {
        let wait_ms = DEADLINE.as_millis();
        let path = format!("/state?min_version=0&min_endpoints={endpoints}&wait_ms={wait_ms}");
        let state = self.state(entry, &path);
        let connected = state["endpoints"].as_array().map_or(0, Vec::len);
        assert!(
            connected >= endpoints && !state["document"].is_null(),
            "{} is not ready: {state}",
            entry.instance
        );
    }

    fn state(&self, process: &Process, path: &str) -> Value {
        let reply = self.runtime.block_on(Call::new("GET", path, "").send(process.admin_address));
        reply.expect("the admin interface replies").json()
    }

    /// Where the entry with this index serves callers.
    pub(crate) fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index].address
    }

    /// How often a call's body was executed by any service.
    pub(crate) fn executions_of(&self, body: &str) -> u64 {
        self.services.iter().map(|slot| slot.backend.executions_of(body.as_bytes())).sum()
    }

    /// Changes the faults of every engine.
    pub(crate) fn set_engine_faults(
        &self,
        change: impl Fn(&mut EngineFaults) + Clone + Send + 'static,
    ) {
        for slot in &self.engines {
            slot.backend.set_faults(change.clone());
        }
    }
}
