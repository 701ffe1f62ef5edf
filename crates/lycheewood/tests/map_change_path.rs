//! Changes of a group's expert map over the real path: log, entries, ranks' daemons and an engine.

#[path = "support/deployment.rs"]
mod deployment;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use deployment::{DOCUMENT, Deployment, send};
use futures_util::{SinkExt, StreamExt};
use http_body_util::Full;
use hyper::Request;
use lycheewood::{
    CurrentLease, Endpoint, Entry, Frame, GroupMaps, GroupState, Hello, Incarnation, InstanceId,
    LogClient, Offset, PROTOCOL_MAX, PROTOCOL_MIN, ScopeName, StageAsk, Timestamp, decode, encode,
    group_scope, map_version,
};
use stand_ins::engine::{Engine, EngineFaults, Rank};
use stand_ins::faults::Outage;
use stand_ins::forwarder::Forwarder;
use stand_ins::instance_list::{Instance, InstanceState, Role};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

const RANKS: usize = 4;
const EXPERTS: usize = 8;
const SLOTS: usize = 4;
const LAYERS: usize = 2;
/// The bound of every wait. A group that makes no progress fails the test after it.
const WAIT_MS: u64 = 30_000;

/// Short timings, so that leases change hands and changes are decided within seconds. A change is
/// proposed further ahead than a silent connection takes to be replaced.
const TIMING: &str = "\
timing: {heartbeat_ms: 50, silence_ms: 200, long_poll_ms: 200, platform_reply_ms: 500, \
reconnect_max_ms: 50, load_report_ms: 20, lease_ms: 3000, rank_report_ms: 20, stage_wait_ms: 2000, \
map_lead_ms: 1000}
";

/// Tokens with one popular expert in each layer.
fn popular(expert: usize) -> Vec<Vec<u64>> {
    let tokens = |index| if index == expert % EXPERTS { 4_000 } else { 100 };
    vec![(0..EXPERTS).map(tokens).collect(); LAYERS]
}

/// A group behind one engine, a daemon for each rank behind a forwarder, and entries.
struct World {
    deployment: Deployment,
    engine: Engine,
    daemons: Vec<Option<Endpoint>>,
    forwarders: Vec<Forwarder>,
    scope: ScopeName,
}

impl World {
    fn start(entries: usize, checks_fencing_numbers: bool) -> Self {
        let mut deployment = Deployment::platform(TIMING);
        deployment.publish(
            &DOCUMENT.replace("objective: skew", "objective: skew, min_interval_ms: 1"),
            None,
        );
        let faults = EngineFaults {
            step_ms: 2,
            load_lag_ms: 5,
            expert_tokens: popular(0),
            expert_noise_percent: 5,
            expert_slots: SLOTS,
            ..EngineFaults::default()
        };
        let engine = deployment.rank_engine(RANKS, checks_fencing_numbers, faults);
        let daemons: Vec<_> = (0..RANKS)
            .map(|rank| Some(deployment.rank_daemon(engine.address(), "g", rank, RANKS)))
            .collect();
        let forwarders = daemons
            .iter()
            .flatten()
            .map(|daemon: &Endpoint| deployment.forwarder(daemon.peer_address()))
            .collect();
        for _ in 0..entries {
            deployment.add_entry();
        }
        let scope = group_scope("g", RANKS);
        let world = Self { deployment, engine, daemons, forwarders, scope };
        world.announce();
        world
    }

    fn announce(&self) {
        let instance = |id: String, role, address: SocketAddr| Instance {
            id,
            role,
            address: address.to_string(),
            failure_domain: "fd-1".into(),
            state: InstanceState::Live,
        };
        let ranks = self.forwarders.iter().enumerate().map(|(rank, forwarder)| {
            instance(format!("g-{rank}"), Role::Endpoint, forwarder.address())
        });
        let entries = self.deployment.entries.iter().enumerate().map(|(index, entry)| {
            instance(format!("entry-{index}"), Role::Entry, entry.caller_address())
        });
        let all = ranks.chain(entries).collect();
        self.deployment.runtime.block_on(self.deployment.list.set(all));
    }

    /// Ends the daemon of a rank without notice and starts another in its place.
    fn replace_daemon(&mut self, rank: usize) {
        self.daemons[rank] = None;
        let daemon = self.deployment.rank_daemon(self.engine.address(), "g", rank, RANKS);
        self.forwarders[rank] = self.deployment.forwarder(daemon.peer_address());
        self.daemons[rank] = Some(daemon);
        self.announce();
    }

    /// Ends the entry that holds the lease without notice.
    fn drop_holder(&mut self) {
        let holder = self.lease().holder.to_string();
        let is_holder = |entry: &Entry| self.incarnation_of(entry) == holder;
        let index = self.deployment.entries.iter().position(is_holder).expect("the holder runs");
        drop(self.deployment.entries.remove(index));
        self.announce();
    }

    /// The lease in force, by the whole stream.
    fn lease(&self) -> CurrentLease {
        let log = self.log();
        let page = self.deployment.runtime.block_on(log.read("leases", Offset(0), 0));
        let page = page.expect("the log answers");
        let mut state = GroupState::default();
        state.observe_bounds(page.first_offset, page.end_offset);
        for record in &page.records {
            state.apply(record.offset, record.appended, record.payload.as_bytes());
        }
        state.leases().current(&self.scope).expect("a lease")
    }

    /// What a node shows to operators.
    fn shown(&self, admin: SocketAddr, path: &str) -> String {
        let uri = format!("http://{admin}{path}");
        let request = Request::get(uri).body(Full::new(Bytes::new())).expect("a valid request");
        self.deployment.runtime.block_on(send(request)).1
    }

    fn incarnation_of(&self, entry: &Entry) -> String {
        let state = self.shown(entry.admin_address(), "/state");
        let state: serde_json::Value = serde_json::from_str(&state).expect("a JSON state");
        state["incarnation"].as_str().unwrap_or_default().to_owned()
    }

    fn log(&self) -> LogClient {
        self.deployment.log_client()
    }

    /// Replays the stream until `holds` is true of the group's maps, and returns the state.
    fn wait_for(&self, what: &str, holds: impl Fn(&GroupMaps) -> bool) -> GroupState {
        let follow = async {
            let (log, mut state, mut from) = (self.log(), GroupState::default(), Offset(0));
            loop {
                let Ok(page) = log.read("leases", from, 200).await else {
                    // The log is down; a refused read returns at once.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                };
                state.observe_bounds(page.first_offset, page.end_offset);
                for record in &page.records {
                    state.apply(record.offset, record.appended, record.payload.as_bytes());
                    if state.maps(&self.scope).is_some_and(&holds) {
                        return state;
                    }
                }
                from = state.next_offset();
            }
        };
        let state = self
            .deployment
            .runtime
            .block_on(async { timeout(Duration::from_millis(WAIT_MS), follow).await });
        state.unwrap_or_else(|_| panic!("waited in vain for {what}: {}", self.describe()))
    }

    /// Waits for a committed map later than `change`.
    fn wait_for_commit_after(&self, change: Option<Offset>) -> Offset {
        let is_later = |maps: &GroupMaps| maps.newest().map(|map| map.change) > change;
        let state = self.wait_for("a commit", is_later);
        state.maps(&self.scope).and_then(GroupMaps::newest).expect("a map").change
    }

    /// Waits for a proposal after `change` that is not decided, and gives its step.
    fn wait_for_proposal_after(&self, change: Offset) -> u64 {
        let is_later = |maps: &GroupMaps| maps.pending().is_some_and(|p| p.change > change);
        let state = self.wait_for("a proposal", is_later);
        state.maps(&self.scope).and_then(GroupMaps::pending).expect("a proposal").step
    }

    /// The end of the stream and the engine's ranks, for the message of a failure.
    fn describe(&self) -> String {
        let records = self.deployment.log.records("leases");
        let tail = records.iter().rev().take(12).map(|r| r.payload.chars().take(140).collect());
        let tail: Vec<String> = tail.collect();
        let uri = format!("http://{}/ranks", self.engine.address());
        let request = Request::get(uri).body(Full::new(Bytes::new())).expect("a valid request");
        let (_, ranks) = self.deployment.runtime.block_on(send(request));
        format!("{ranks}; newest records first: {tail:#?}")
    }

    /// Makes another expert popular, so that the map has to change.
    fn shift(&self, expert: usize) {
        self.engine.set_faults(move |faults| faults.expert_tokens = popular(expert));
    }

    fn wait_for_step(&self, step: u64) {
        let run = async {
            timeout(Duration::from_millis(WAIT_MS), self.engine.wait_for_step(step)).await
        };
        let run = self.deployment.runtime.block_on(run);
        assert!(run.is_ok(), "the group has not run step {step}: {}", self.describe());
    }

    /// The committed changes by the step from which their map counts, by the whole stream.
    fn committed(&self) -> BTreeMap<u64, u64> {
        let (mut state, mut committed) = (GroupState::default(), BTreeMap::new());
        for record in self.deployment.log.records("leases") {
            let appended = Timestamp::from_unix_ms(record.appended_unix_ms);
            state.apply(Offset(record.offset), appended, record.payload.as_bytes());
            if let Some(newest) = state.maps(&self.scope).and_then(GroupMaps::newest) {
                committed.insert(newest.step, map_version(newest.change));
            }
        }
        committed
    }

    /// Checks that all ranks ran each step with the map that the stream gives it, and gives the number
    /// of maps used.
    fn check_steps(&self, case: &str) -> usize {
        let committed = self.committed();
        let mut by_step: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        for event in self.engine.steps() {
            by_step.entry(event.step).or_default().push(event.map_version);
        }
        let mut versions: Vec<u64> = Vec::new();
        for (step, maps) in &by_step {
            assert!(
                maps.iter().all(|map| *map == maps[0]),
                "{case}: step {step} ran with {maps:?}"
            );
            let wanted = committed.range(..=step).next_back().map(|(_, version)| *version);
            assert_eq!(Some(maps[0]), wanted, "{case}: step {step} ran with another map");
            versions.push(maps[0]);
        }
        versions.dedup();
        versions.len()
    }

    /// Waits until `count` ranks of the engine have staged a map.
    fn wait_until_staged(&self, count: usize) {
        let staged = move |ranks: &[Rank]| {
            ranks.iter().filter(|rank| rank.staged.is_some()).count() >= count
        };
        let wait = async {
            timeout(Duration::from_millis(WAIT_MS), self.engine.wait_for_ranks(staged)).await
        };
        let wait = self.deployment.runtime.block_on(wait);
        assert!(wait.is_ok(), "{count} ranks have not staged a map: {}", self.describe());
    }

    /// Waits until the group has run steps with the map of `change`.
    fn run_past(&self, change: Offset) {
        let step = self
            .wait_for("the commit", |maps| maps.newest().is_some_and(|map| map.change >= change))
            .maps(&self.scope)
            .and_then(GroupMaps::newest)
            .expect("a map")
            .step;
        self.wait_for_step(step + 5);
    }
}

/// Guards against ranks that use different maps in one step while maps change under load.
#[test]
fn maps_change_while_steps_run() {
    let world = World::start(2, true);
    let mut change = world.wait_for_commit_after(None);
    for expert in 1..4 {
        world.shift(expert);
        change = world.wait_for_commit_after(Some(change));
    }
    world.run_past(change);
    assert!(world.check_steps("no fault") >= 4, "fewer maps were used than were committed");
    // A rank has run the last map, so its daemon has read that commit.
    let admin = world.daemons[0].as_ref().expect("rank 0 runs").admin_address();
    let state: serde_json::Value =
        serde_json::from_str(&world.shown(admin, "/state")).expect("a JSON state");
    let group = &state["groups"]["groups"][0];
    assert_eq!(group["scope"], world.scope.as_str());
    assert!(group["map"]["change"].as_u64() >= Some(change.0), "an old map is shown: {group}");
    let metrics = world.shown(admin, "/metrics");
    for name in [
        "map_changes_total{decision=\"committed\"}",
        "weights_moved_total",
        "lease_changes_total{change=\"granted\"}",
    ] {
        let value = metrics.lines().find_map(|l| l.strip_prefix("lycheewood_")?.strip_prefix(name));
        assert!(value.is_some_and(|v| v.trim() != "0"), "{name} does not count: {value:?}");
    }
}

/// What goes wrong while a change is pending.
#[derive(Clone, Copy, Debug)]
enum Fault {
    DaemonReplaced,
    ConnectionSilent,
    LogDown,
    HolderDropped,
    EngineIgnoresFencing,
}

const FAULTS: [Fault; 5] = [
    Fault::DaemonReplaced,
    Fault::ConnectionSilent,
    Fault::LogDown,
    Fault::HolderDropped,
    Fault::EngineIgnoresFencing,
];

impl Fault {
    /// What has to be so before the change is proposed.
    fn prepare(self, world: &World) {
        if matches!(self, Self::LogDown) {
            world.forwarders[RANKS - 1].silence();
        }
    }

    /// Strikes while a change for `step` is proposed and not decided, as far as the test has read.
    fn strike(self, world: &mut World, step: u64) {
        match self {
            Self::DaemonReplaced => world.replace_daemon(2),
            Self::ConnectionSilent => world.forwarders[1].silence(),
            Self::LogDown => {
                // The last rank's connection is silent, so nothing can be decided before the outage.
                world.wait_until_staged(RANKS - 1);
                world.deployment.log.set_faults(|f| f.common.outage = Outage::Unavailable);
                // Staging needs no log: the last rank stages on its new connection, and the holder
                // would commit. All ranks have to wait at the step.
                world.wait_until_staged(RANKS);
                world.wait_for_step(step - 1);
                world.deployment.log.set_faults(|f| f.common.outage = Outage::None);
            }
            Self::HolderDropped | Self::EngineIgnoresFencing => world.drop_holder(),
        }
    }
}

/// Guards against two maps in one step, and against a group that stays stuck, when a process, a
/// connection or the log fails between the proposal of a change and its decision.
#[test]
fn a_fault_between_proposal_and_decision_never_splits_a_step() {
    for fault in FAULTS {
        let mut world = World::start(2, !matches!(fault, Fault::EngineIgnoresFencing));
        let first = world.wait_for_commit_after(None);
        world.run_past(first);
        // Slow appends keep a change pending long enough for the fault to come in between.
        world.deployment.log.set_faults(|faults| faults.common.delay_ms = 40);
        fault.prepare(&world);
        world.shift(1);
        let step = world.wait_for_proposal_after(first);
        fault.strike(&mut world, step);
        world.deployment.log.set_faults(|faults| faults.common.delay_ms = 0);
        let change = world.wait_for_commit_after(Some(first));
        world.shift(2);
        let change = world.wait_for_commit_after(Some(change));
        world.run_past(change);
        let case = format!("{fault:?}");
        assert!(world.check_steps(&case) >= 2, "{case}: the map did not change");
    }
}

/// Sends orders over a connection of its own, as an entry that was paused would, and gives the rank's
/// answer to the last one.
async fn order_as_entry(address: SocketAddr, asks: &[StageAsk]) -> Frame {
    let hello = Hello {
        protocol_min: PROTOCOL_MIN,
        protocol_max: PROTOCOL_MAX,
        incarnation: Incarnation::random(),
        instance: InstanceId::new("paused-entry"),
        role: lycheewood::Role::Entry,
        endpoint_kind: None,
        version: None,
        admin_address: None,
    };
    let tcp = TcpStream::connect(address).await.expect("connect to the daemon");
    let (mut socket, _) =
        client_async(format!("ws://{address}/"), tcp).await.expect("open a connection");
    let orders = asks.iter().map(|ask| Frame::Stage(ask.clone()));
    for frame in std::iter::once(Frame::Hello(hello)).chain(orders) {
        socket.send(Message::Binary(encode(&frame))).await.expect("send a frame");
    }
    let last = asks.last().map(|ask| ask.change);
    loop {
        let message = socket.next().await.expect("the connection stays").expect("a message");
        let Message::Binary(bytes) = message else { continue };
        match decode(&bytes).expect("a frame") {
            Frame::Staged(done) if Some(done.change) == last => return Frame::Staged(done),
            Frame::StageRefused(no) if Some(no.change) == last => return Frame::StageRefused(no),
            _ => socket
                .send(Message::Binary(encode(&Frame::Heartbeat(1))))
                .await
                .expect("send a heartbeat"),
        }
    }
}

/// Guards against an order of a holder that was paused while its lease passed on, at an engine that
/// ignores fencing numbers.
#[test]
fn an_order_of_a_superseded_lease_is_refused_by_the_daemon() {
    let mut world = World::start(2, false);
    let first = world.wait_for_commit_after(None);
    let former = world.lease();
    world.drop_holder();
    world.shift(1);
    let change = world.wait_for_commit_after(Some(first));
    world.run_past(change);
    assert!(world.lease().fencing > former.fencing, "the lease did not pass on");
    let ask =
        |change, fencing| StageAsk { scope: world.scope.clone(), change, step: u64::MAX, fencing };
    let daemon = world.daemons[0].as_ref().expect("rank 0 runs").peer_address();
    // An order of the present holder that cannot be carried out yet must not hide the old one.
    let pending = ask(Offset(change.0 + 1_000), world.lease().fencing);
    let old = ask(change, former.fencing);
    for asks in [vec![old.clone()], vec![pending, old]] {
        let order = order_as_entry(daemon, &asks);
        let reply = async { timeout(Duration::from_millis(WAIT_MS), order).await };
        let reply = world.deployment.runtime.block_on(reply).expect("the daemon answers");
        assert!(matches!(reply, Frame::StageRefused(_)), "obeyed after {asks:?}: {reply:?}");
    }
    world.check_steps("superseded lease");
}
