//! Applies the schedule to a deployment, from the one thread that owns it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use lycheewood::publication::{Change, Publication, Record, encode_record};
use lycheewood::{LogClient, Offset, PublicationId};
use serde_json::{Value, json};
use stand_ins::engine::EngineFaults;
use stand_ins::faults::Outage;
use stand_ins::forwarder::Forwarder;
use stand_ins::instance_list::Role;
use tokio::sync::watch;

use crate::callers::{CRASH_MARK, Caller, Kind, VERSIONS, World};
use crate::processes::{Deployment, Process};
use crate::schedule::{Action, Connections, ENGINES, ENTRIES, SERVICES, Target};

const DOCUMENT: &str = r"
schema: 1
service: jobs
models:
  - name: draft
    versions: [{name: v1}, {name: v2}]
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
deadlines: {default_ms: 5000, max_ms: 600000}
placement: {objective: skew}
quarantine_ms: 10000
";

/// Short, so that a run of a minute sees each limit pass many times. The silence is long enough for a
/// process that waits for a processor.
const SETTINGS: &str = "
timing:
  heartbeat_ms: 100
  silence_ms: 1000
  connect_ms: 500
  reconnect_max_ms: 200
  long_poll_ms: 1000
  platform_reply_ms: 1000
  load_report_ms: 100
  backend_idle_ms: 1000
  list_lag_ms: 3000
  entries_valid_ms: 300
  entry_linger_ms: 1000
  entry_refuse_ms: 500
  drain_notice_ms: 400
  claim_wait_ms: 1500
bounds:
  max_body_bytes: 65536
";

/// Other callers have lower numbers.
const CRASHING_CALLER: u8 = 100;

const TOKEN_INTERVAL_MS: u64 = 4;
/// An engine that a request crashed is back after this time.
const ENGINE_RESTART_MS: u64 = 300;

/// A node as those see it who watch its document.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) instance: String,
    pub(crate) admin_address: SocketAddr,
}

/// The deployment and what the schedule has done to it.
pub(crate) struct Faults {
    pub(crate) deployment: Deployment,
    /// Stand before the endpoint daemons, by instance.
    forwarders: HashMap<String, Forwarder>,
    log_forwarder: Forwarder,
    list_forwarder: Forwarder,
    /// Told to stop; their forwarders live on because they still serve.
    leaving: Vec<(Process, Option<Forwarder>)>,
    entries: watch::Sender<Vec<SocketAddr>>,
    nodes: watch::Sender<Vec<Node>>,
    /// Crashes of each engine that the schedule asked for; others come from crashing requests.
    engine_crashes: [u64; ENGINES],
    publications: u64,
    crashing_requests: u64,
    newest_version: Arc<AtomicU64>,
}

impl Faults {
    /// Starts the deployment and waits until it is ready.
    pub(crate) fn start() -> Self {
        let mut deployment = Deployment::platform();
        deployment.keeps_logs = true;
        SETTINGS.clone_into(&mut deployment.settings);
        let (log_forwarder, list_forwarder) = {
            let _runtime = deployment.runtime.enter();
            let start = |address| Forwarder::start(address).expect("start a forwarder");
            (start(deployment.log.address()), start(deployment.list.address()))
        };
        deployment.log_address = log_forwarder.address();
        deployment.list_address = list_forwarder.address();
        deployment.publish_first(DOCUMENT);
        for engine in 0..ENGINES {
            let faults = EngineFaults {
                token_interval_ms: TOKEN_INTERVAL_MS,
                crash_on: CRASH_MARK.to_owned(),
                crash_after_tokens: 2,
                restart_after_ms: ENGINE_RESTART_MS,
                ..EngineFaults::default()
            };
            deployment.add_engine_of(version_of(engine), faults);
        }
        for _ in 0..SERVICES {
            deployment.add_service();
        }
        for _ in 0..ENTRIES {
            deployment.add_entry();
        }
        let mut faults = Self {
            deployment,
            forwarders: HashMap::new(),
            log_forwarder,
            list_forwarder,
            leaving: Vec::new(),
            entries: watch::channel(Vec::new()).0,
            nodes: watch::channel(Vec::new()).0,
            engine_crashes: [0; ENGINES],
            publications: 0,
            crashing_requests: 0,
            newest_version: Arc::default(),
        };
        for target in (0..ENGINES).map(Target::Engine).chain((0..SERVICES).map(Target::Service)) {
            faults.forward(target);
        }
        faults.deployment.announce();
        faults.deployment.wait_until_ready();
        faults.show();
        faults
    }

    pub(crate) fn entries(&self) -> watch::Receiver<Vec<SocketAddr>> {
        self.entries.subscribe()
    }

    pub(crate) fn nodes(&self) -> watch::Receiver<Vec<Node>> {
        self.nodes.subscribe()
    }

    /// The newest version that any node has shown.
    pub(crate) fn newest_version(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.newest_version)
    }

    pub(crate) fn crashing_requests(&self) -> u64 {
        self.crashing_requests
    }

    /// Crashes of engines that the schedule did not ask for.
    pub(crate) fn taken_down(&self) -> u64 {
        let mut taken_down = 0;
        for (slot, own) in self.deployment.engines.iter().zip(self.engine_crashes) {
            let mut restarts = 0_u64;
            self.deployment.runtime.block_on(async {
                let wait = Duration::from_millis(20);
                let next = |restarts| slot.backend.wait_for_restarts(restarts + 1);
                while tokio::time::timeout(wait, next(restarts)).await.is_ok() {
                    restarts += 1;
                }
            });
            taken_down += restarts.saturating_sub(own);
        }
        taken_down
    }

    /// Waits until every process that was told to stop has ended. Gives those that failed.
    pub(crate) fn wait_for_leaving(&mut self) -> Vec<String> {
        let mut failed = Vec::new();
        for (mut process, forwarder) in self.leaving.drain(..) {
            let status = process.wait_for_end();
            if !status.success() {
                failed.push(format!("{} ended with {status}", process.instance));
            }
            drop(forwarder);
        }
        failed
    }

    fn process(&mut self, target: Target) -> &mut Process {
        match target {
            Target::Entry(index) => &mut self.deployment.entries[index],
            Target::Engine(index) => &mut self.deployment.engines[index].daemon,
            Target::Service(index) => &mut self.deployment.services[index].daemon,
        }
    }

    fn start_process(&mut self, target: Target, instance: &str) -> Process {
        match target {
            Target::Entry(_) => self.deployment.start_entry(instance),
            Target::Engine(index) => {
                let backend = self.deployment.engines[index].backend.address();
                self.deployment.start_engine_daemon_of(version_of(index), instance, backend)
            }
            Target::Service(index) => {
                let backend = self.deployment.services[index].backend.address();
                self.deployment.start_service_daemon(instance, backend)
            }
        }
    }

    /// Puts a forwarder before an endpoint daemon.
    fn forward(&mut self, target: Target) {
        let address = self.process(target).address;
        let forwarder = {
            let _runtime = self.deployment.runtime.enter();
            Forwarder::start(address).expect("start a forwarder")
        };
        let process = self.process(target);
        process.address = forwarder.address();
        let instance = process.instance.clone();
        self.forwarders.insert(instance, forwarder);
    }

    /// Starts a process in the place of another one and gives that.
    fn put_in_place(&mut self, target: Target, instance: &str) -> Process {
        let process = self.start_process(target, instance);
        let old = std::mem::replace(self.process(target), process);
        if old.role == Role::Endpoint {
            self.forward(target);
        }
        self.show();
        old
    }

    /// Shows callers the entries, and watchers the nodes.
    fn show(&self) {
        let deployment = &self.deployment;
        let entries = deployment.entries.iter().map(|entry| entry.address).collect();
        self.entries.send_replace(entries);
        let engines = deployment.engines.iter().map(|slot| &slot.daemon);
        let services = deployment.services.iter().map(|slot| &slot.daemon);
        let all = engines.chain(services).chain(&deployment.entries);
        let node = |process: &Process| Node {
            instance: process.instance.clone(),
            admin_address: process.admin_address,
        };
        self.nodes.send_replace(all.map(node).collect());
    }

    pub(crate) fn apply(&mut self, action: Action, world: &World) {
        match action {
            Action::Kill(target) => self.kill(target, world),
            Action::Start(target) => {
                let instance = self.process(target).instance.clone();
                drop(self.put_in_place(target, &instance));
            }
            Action::Announce => self.deployment.announce(),
            Action::Freeze(target) => self.process(target).freeze(),
            Action::Resume(target) => self.process(target).resume(),
            Action::Replace(target) => self.replace(target),
            Action::Silence(connections) => self.silence(connections),
            Action::CrashBackend(target) => self.set_backend_up(target, false),
            Action::RestartBackend(target) => self.set_backend_up(target, true),
            Action::CutStreams(engine, after) => {
                let engine = &self.deployment.engines[engine].backend;
                engine.set_faults(move |faults| faults.cut_after_tokens = after);
            }
            Action::StallStreams(engine, after) => {
                let engine = &self.deployment.engines[engine].backend;
                engine.set_faults(move |faults| faults.stall_after_tokens = after);
            }
            Action::LogOutage(outage) => self.set_log(move |faults| faults.outage = outage),
            Action::LogStall(stall) => self.set_log(move |faults| faults.stall = stall),
            Action::LogDelay(delay_ms) => self.set_log(move |faults| faults.delay_ms = delay_ms),
            Action::LoseLogReplies(replies) => {
                self.set_log(move |faults| faults.lose_next_replies = replies);
            }
            Action::ListOutage(outage) => self.set_list_outage(outage),
            Action::ListLag(lag_ms) => {
                self.deployment.list.set_faults(move |faults| faults.lag_ms = lag_ms);
            }
            Action::CrashingRequest => self.send_crashing_request(world),
            Action::Publish => self.publish(),
        }
    }

    fn kill(&mut self, target: Target, world: &World) {
        let address = self.process(target).address;
        if matches!(target, Target::Entry(_)) {
            let mut killed = world.killed.lock().unwrap_or_else(PoisonError::into_inner);
            killed.insert(address);
        }
        let process = self.process(target);
        process.kill();
        let instance = process.instance.clone();
        // New connections are refused, as at the killed process itself.
        self.forwarders.remove(&instance);
    }

    fn replace(&mut self, target: Target) {
        let kind = match target {
            Target::Entry(_) => "entry",
            Target::Engine(_) => "engine",
            Target::Service(_) => "service",
        };
        let instance = self.deployment.next_instance(kind);
        let old = self.put_in_place(target, &instance);
        old.terminate();
        let forwarder = self.forwarders.remove(&old.instance);
        self.leaving.push((old, forwarder));
    }

    fn silence(&mut self, connections: Connections) {
        match connections {
            Connections::Endpoint(target) => {
                let instance = self.process(target).instance.clone();
                if let Some(forwarder) = self.forwarders.get(&instance) {
                    forwarder.silence();
                }
            }
            Connections::Log => self.log_forwarder.silence(),
            Connections::List => self.list_forwarder.silence(),
        }
    }

    fn set_backend_up(&mut self, target: Target, up: bool) {
        let deployment = &self.deployment;
        deployment.runtime.block_on(async {
            match (target, up) {
                (Target::Entry(_), _) => {}
                (Target::Engine(index), true) => deployment.engines[index].backend.restart().await,
                (Target::Engine(index), false) => deployment.engines[index].backend.crash().await,
                (Target::Service(index), true) => {
                    deployment.services[index].backend.restart().await;
                }
                (Target::Service(index), false) => {
                    deployment.services[index].backend.crash().await;
                }
            }
        });
        if let (Target::Engine(index), true) = (target, up) {
            self.engine_crashes[index] += 1;
        }
    }

    fn set_log(&self, change: impl FnOnce(&mut stand_ins::faults::CommonFaults) + Send + 'static) {
        self.deployment.log.set_faults(move |faults| change(&mut faults.common));
    }

    fn set_list_outage(&self, outage: Outage) {
        self.deployment.list.set_faults(move |faults| faults.common.outage = outage);
    }

    fn send_crashing_request(&mut self, world: &World) {
        self.crashing_requests += 1;
        let text = format!("{CRASH_MARK}-{}", self.crashing_requests);
        let mut caller = Caller::new(world.clone(), text.clone(), CRASHING_CALLER);
        self.deployment.runtime.spawn(async move { caller.send(Kind::Crashing, text).await });
    }

    /// Two operators edit the same version, and each third time one edits an old version.
    fn publish(&mut self) {
        self.publications += 1;
        let number = self.publications;
        let base = Offset(self.newest_version.load(Ordering::Relaxed));
        let weight = 1 + number % 3;
        let burst = json!({"workspaces": {"north": {"burst": 1_000_000 + number}}});
        let version = json!({"models": {"draft": {"versions": {"v2": {"weight": weight}}}}});
        self.append(&format!("burst-{number}"), base, burst.clone());
        self.append(&format!("version-{number}"), base, version);
        if number.is_multiple_of(3) {
            self.append(&format!("old-{number}"), Offset(0), burst);
        }
    }

    fn append(&self, id: &str, base: Offset, patch: Value) {
        let record = Record::Publication(Publication {
            id: PublicationId::new(id),
            base: Some(base),
            change: Change::Patch(patch),
        });
        let client = LogClient::new(self.deployment.log.address(), 500, 1_000);
        self.deployment.runtime.spawn(async move {
            // A lost reply leaves the publication as it is; the nodes decide by the log alone.
            let _ = client.append("documents", encode_record(&record)).await;
        });
    }
}

/// Half of the engines of each sequence of faults has each version.
fn version_of(engine: usize) -> &'static str {
    VERSIONS[usize::from(engine >= ENGINES / 2)]
}
