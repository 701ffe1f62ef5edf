//! A group on one engine, with one daemon behind a forwarder for each rank, and entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use lycheewood::{
    CurrentLease, Endpoint, Entry, GroupMaps, GroupState, LogClient, Offset, ScopeName, Timestamp,
    group_scope, map_version,
};
use stand_ins::engine::{Engine, EngineFaults, Rank};
use stand_ins::forwarder::Forwarder;
use stand_ins::instance_list::{Instance, InstanceState, Role};
use tokio::time::timeout;

use crate::deployment::{DOCUMENT, Deployment, send};

pub(crate) const RANKS: usize = 4;
const EXPERTS: usize = 8;
const SLOTS: usize = 4;
const LAYERS: usize = 2;
/// Timeout of every wait. A group without progress fails the test after it.
pub(crate) const WAIT_MS: u64 = 30_000;

/// Short timings, so that leases pass to another holder and changes are decided within seconds. The lead of a
/// proposal exceeds the time in which a silent connection is replaced.
const TIMING: &str = "\
timing: {heartbeat_ms: 50, silence_ms: 200, long_poll_ms: 200, platform_reply_ms: 500, \
reconnect_max_ms: 50, load_report_ms: 20, lease_ms: 3000, rank_report_ms: 20, stage_wait_ms: 2000, \
map_lead_ms: 1000}
";

/// Token counts by layer and expert, with one popular expert in each layer.
fn tokens_with_popular_expert(expert: usize) -> Vec<Vec<u64>> {
    let tokens = |index| if index == expert % EXPERTS { 4_000 } else { 100 };
    vec![(0..EXPERTS).map(tokens).collect(); LAYERS]
}

/// A group on one engine, with one daemon behind a forwarder for each rank, and entries.
pub(crate) struct Cluster {
    pub(crate) deployment: Deployment,
    engine: Engine,
    pub(crate) daemons: Vec<Option<Endpoint>>,
    pub(crate) forwarders: Vec<Forwarder>,
    pub(crate) scope: ScopeName,
}

impl Cluster {
    pub(crate) fn start(entries: usize, checks_fencing_numbers: bool) -> Self {
        let mut deployment = Deployment::platform(TIMING);
        deployment.publish(
            &DOCUMENT.replace("objective: skew", "objective: skew, min_interval_ms: 1"),
            None,
        );
        let faults = EngineFaults {
            step_ms: 2,
            load_lag_ms: 5,
            expert_tokens: tokens_with_popular_expert(0),
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
        let cluster = Self { deployment, engine, daemons, forwarders, scope };
        cluster.publish_instances();
        cluster
    }

    fn publish_instances(&self) {
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

    /// Stops the daemon of a rank without a drain, and starts a replacement.
    pub(crate) fn replace_daemon(&mut self, rank: usize) {
        self.daemons[rank] = None;
        let daemon = self.deployment.rank_daemon(self.engine.address(), "g", rank, RANKS);
        self.forwarders[rank] = self.deployment.forwarder(daemon.peer_address());
        self.daemons[rank] = Some(daemon);
        self.publish_instances();
    }

    /// Stops the entry that holds the lease, without a drain.
    pub(crate) fn stop_holder(&mut self) {
        let holder = self.lease().holder.to_string();
        let is_holder = |entry: &Entry| self.incarnation_of(entry) == holder;
        let index = self.deployment.entries.iter().position(is_holder).expect("the holder runs");
        drop(self.deployment.entries.remove(index));
        self.publish_instances();
    }

    /// The current lease by the whole stream.
    pub(crate) fn lease(&self) -> CurrentLease {
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

    /// The body of a page of the admin interface of a node.
    pub(crate) fn read_admin(&self, admin: SocketAddr, path: &str) -> String {
        let uri = format!("http://{admin}{path}");
        let request = Request::get(uri).body(Full::new(Bytes::new())).expect("a valid request");
        self.deployment.runtime.block_on(send(request)).1
    }

    fn incarnation_of(&self, entry: &Entry) -> String {
        let state = self.read_admin(entry.admin_address(), "/state");
        let state: serde_json::Value = serde_json::from_str(&state).expect("a JSON state");
        state["incarnation"].as_str().unwrap_or_default().to_owned()
    }

    fn log(&self) -> LogClient {
        self.deployment.log_client()
    }

    /// Replays the stream until `condition` is true of the group's maps, and returns the state.
    fn wait_for(&self, what: &str, condition: impl Fn(&GroupMaps) -> bool) -> GroupState {
        let follow = async {
            let (log, mut state, mut from) = (self.log(), GroupState::default(), Offset(0));
            loop {
                let Ok(page) = log.read("leases", from, 200).await else {
                    // The log is unavailable, and a refused read returns immediately.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                };
                state.observe_bounds(page.first_offset, page.end_offset);
                for record in &page.records {
                    state.apply(record.offset, record.appended, record.payload.as_bytes());
                    if state.maps(&self.scope).is_some_and(&condition) {
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
        state.unwrap_or_else(|_| panic!("timed out waiting for {what}: {}", self.failure_context()))
    }

    /// Waits for a committed map later than `change`.
    pub(crate) fn wait_for_commit_after(&self, change: Option<Offset>) -> Offset {
        let is_later = |maps: &GroupMaps| maps.newest().map(|map| map.change) > change;
        let state = self.wait_for("a commit", is_later);
        state.maps(&self.scope).and_then(GroupMaps::newest).expect("a map").change
    }

    /// Waits for an undecided proposal after `change`, and returns its step.
    pub(crate) fn wait_for_proposal_after(&self, change: Offset) -> u64 {
        let is_later = |maps: &GroupMaps| maps.pending().is_some_and(|p| p.change > change);
        let state = self.wait_for("a proposal", is_later);
        state.maps(&self.scope).and_then(GroupMaps::pending).expect("a proposal").step
    }

    /// The newest records and the rank states of the engine, for failure messages.
    fn failure_context(&self) -> String {
        let records = self.deployment.log.records("leases");
        let tail = records.iter().rev().take(12).map(|r| r.payload.chars().take(140).collect());
        let tail: Vec<String> = tail.collect();
        let uri = format!("http://{}/ranks", self.engine.address());
        let request = Request::get(uri).body(Full::new(Bytes::new())).expect("a valid request");
        let (_, ranks) = self.deployment.runtime.block_on(send(request));
        format!("{ranks}; newest records first: {tail:#?}")
    }

    /// Makes another expert popular, so that a new map is proposed.
    pub(crate) fn make_popular(&self, expert: usize) {
        self.engine
            .set_faults(move |faults| faults.expert_tokens = tokens_with_popular_expert(expert));
    }

    pub(crate) fn wait_for_step(&self, step: u64) {
        let run = async {
            timeout(Duration::from_millis(WAIT_MS), self.engine.wait_for_step(step)).await
        };
        let run = self.deployment.runtime.block_on(run);
        assert!(run.is_ok(), "the group did not reach step {step}: {}", self.failure_context());
    }

    /// The versions of all committed maps, by the first step that uses them.
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

    /// Checks that all ranks ran each step with the map that the stream states for it, and returns the number
    /// of maps used.
    pub(crate) fn check_maps_of_steps(&self, case: &str) -> usize {
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
            let expected = committed.range(..=step).next_back().map(|(_, version)| *version);
            assert_eq!(Some(maps[0]), expected, "{case}: step {step} ran with another map");
            versions.push(maps[0]);
        }
        versions.dedup();
        versions.len()
    }

    /// Waits until at least `count` ranks of the engine have staged a map.
    pub(crate) fn wait_until_staged(&self, count: usize) {
        let staged = move |ranks: &[Rank]| {
            ranks.iter().filter(|rank| rank.staged.is_some()).count() >= count
        };
        let wait = async {
            timeout(Duration::from_millis(WAIT_MS), self.engine.wait_for_ranks(staged)).await
        };
        let wait = self.deployment.runtime.block_on(wait);
        assert!(wait.is_ok(), "{count} ranks have not staged a map: {}", self.failure_context());
    }

    /// Waits until the group has run steps with the map of `change` or a later one.
    pub(crate) fn wait_until_used(&self, change: Offset) {
        let step = self
            .wait_for("the commit", |maps| maps.newest().is_some_and(|map| map.change >= change))
            .maps(&self.scope)
            .and_then(GroupMaps::newest)
            .expect("a map")
            .step;
        self.wait_for_step(step + 5);
    }
}
