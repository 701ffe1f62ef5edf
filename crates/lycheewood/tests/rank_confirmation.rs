//! Switches of a group's map by a gateway whose ranks say that they are armed although they are not.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use lycheewood::{
    Agent, AppendOutcome, EndpointAvailability, EndpointChange, EndpointEntry, EndpointRecord,
    ExpertShape, FailureDomain, Gateway, GatewaySettings, GroupMembership, HeaderNames, InstanceId,
    LeaseLog, Offset, OrderReply, RankAddress, RankClient, RankCounts, RankOrder, RankStatus,
    RawRouteTable, RawService, RetryLimits, ShutdownSettings, TargetName, may_release_hold,
};

const RANKS: usize = 2;
const EXPERTS: usize = 4;
/// The rank that replies to orders to arm without carrying them out.
const FAULTY_RANK: usize = 1;
const STEP: u64 = 10;

#[derive(Default)]
struct MemoryLog(Mutex<Vec<Bytes>>);

#[async_trait]
impl LeaseLog for MemoryLog {
    async fn append_at(&self, end: u64, record: Bytes) -> AppendOutcome {
        let mut records = self.0.lock().expect("no panic");
        if records.len() as u64 != end {
            return AppendOutcome::EndMismatch;
        }
        records.push(record);
        AppendOutcome::Written(end)
    }

    async fn read(&self, from: u64) -> Option<(u64, Vec<Bytes>)> {
        let records = self.0.lock().expect("no panic");
        let first = usize::try_from(from).expect("an index");
        Some((from, records[first..].to_vec()))
    }
}

/// An idle group of ranks that begins one pass when it is released.
#[derive(Default)]
struct GroupState {
    ranks: [RankStatus; RANKS],
    /// Orders to arm that the faulty rank received.
    faulty_arms: usize,
    /// Versions and passes for which the ranks were armed at each release.
    releases: Vec<[Option<(u64, u64)>; RANKS]>,
    /// Readings of a rank.
    polls: usize,
}

struct SimulatedGroup {
    state: Mutex<GroupState>,
    /// Orders to arm that the faulty rank confirms without carrying them out.
    false_replies: usize,
}

fn rank_index(rank: &RankAddress) -> usize {
    rank.endpoint.as_str().trim_start_matches('s').parse().expect("a rank")
}

#[async_trait]
impl RankClient for SimulatedGroup {
    async fn status(&self, rank: &RankAddress) -> Option<RankStatus> {
        let mut state = self.state.lock().expect("no panic");
        state.polls += 1;
        Some(RankStatus { step: STEP, ..state.ranks[rank_index(rank)].clone() })
    }

    async fn counts(&self, rank: &RankAddress, experts: usize) -> Option<RankCounts> {
        let counts = vec![vec![0; experts]];
        let mut state = self.state.lock().expect("no panic");
        state.polls += 1;
        let held_step = state.ranks[rank_index(rank)].held_step;
        Some(RankCounts { epoch: 1, slowdown_percent: 100, held_step, counts })
    }

    async fn held_experts(&self, _: &RankAddress) -> Option<Vec<Vec<usize>>> {
        None
    }

    async fn order(&self, rank: &RankAddress, _: u64, order: &RankOrder) -> OrderReply {
        let mut state = self.state.lock().expect("no panic");
        let index = rank_index(rank);
        match order {
            RankOrder::Prepare { version, .. } => {
                state.ranks[index].prepared_versions = vec![*version];
            }
            RankOrder::Hold { step } => state.ranks[index].held_step = Some(*step),
            RankOrder::Arm { version, step } => {
                if index == FAULTY_RANK {
                    state.faulty_arms += 1;
                    if state.faulty_arms <= self.false_replies {
                        return OrderReply::Done;
                    }
                }
                state.ranks[index].armed_switch = Some((*version, *step));
            }
            RankOrder::Release { .. } => {
                let armed = [0, 1].map(|rank| state.ranks[rank].armed_switch);
                state.releases.push(armed);
                for rank in &mut state.ranks {
                    if let Some((version, _)) = rank.armed_switch.take() {
                        rank.map_version = version;
                    }
                    rank.held_step = None;
                }
            }
        }
        OrderReply::Done
    }
}

fn settings() -> GatewaySettings {
    let header = |name: &'static str| name.parse().expect("a header name");
    let any = "127.0.0.1:0".parse().expect("an address");
    GatewaySettings {
        instance: InstanceId::new("gateway"),
        failure_domain: FailureDomain::new("a"),
        caller_address: any,
        peer_address: any,
        relay_address: any,
        seeds: Vec::new(),
        metrics_address: None,
        headers: HeaderNames {
            request_id: header("x-id"),
            deadline_ms: header("x-deadline"),
            workspace: header("x-workspace"),
            expected_endpoint: header("x-expect"),
            expected_version: header("x-version"),
            signature: header("x-seal"),
            not_run: header("x-not-run"),
            leaving: header("x-leaving"),
            request_limit: header("x-limit"),
            prompt_parts: header("x-parts"),
            failed_endpoint: header("x-failed"),
            priority: header("x-priority"),
            token_usage: header("x-usage"),
            length_hint: header("x-hint"),
        },
        retry_limits: RetryLimits { ratio: 0.2, slack: 1_000.0 },
        shutdown: ShutdownSettings { linger_ms: 100, min_refusing_ms: 0 },
        shutdown_timeout_ms: 2_000,
        heartbeat_ms: 50,
        max_callers: 10,
        memory_bytes: 0,
        cold_bounds: lycheewood::ColdBounds::default(),
        regions: lycheewood::RegionMap::default(),
        processor_millicores: 0,
    }
}

fn routes() -> RawRouteTable {
    let experts = ExpertShape {
        sets: 1,
        experts: EXPERTS,
        slots: 3,
        max_new_experts: 1,
        expert_mb: 1.0,
        link_mbps: 10_000.0,
    };
    let service = RawService {
        cold_per_s: 0.0,
        name: "engines".to_owned(),
        max_connections: 10,
        experts: Some(experts),
        engine_profile: None,
    };
    RawRouteTable { version: 1, services: vec![service], ..RawRouteTable::default() }
}

fn rank_address(rank: usize, port: u16) -> SocketAddr {
    let host = u8::try_from(rank + 2).expect("a small group");
    (Ipv4Addr::new(127, 0, 0, host), port).into()
}

fn endpoint(rank: usize) -> EndpointChange {
    let id = InstanceId::new(&format!("s{rank}"));
    let group =
        GroupMembership { name: "g".to_owned(), epoch: 1, rank, size: RANKS, is_open: true };
    let entry = EndpointEntry {
        cold_left_ms: 0,
        write_count: 0,
        id: id.clone(),
        service: TargetName::new("engines"),
        address: rank_address(rank, 9),
        failure_domain: FailureDomain::new("a"),
        state: EndpointAvailability::Ready,
        slots: 4,
        group: Some(group),
        started_ms: 0,
    };
    EndpointChange { offset: Offset(rank as u64), id, record: EndpointRecord::Entry(entry) }
}

/// Starts a gateway that controls an idle group, whose free slots it fills by a switch of the map.
fn start(false_replies: usize) -> (Gateway, Arc<SimulatedGroup>) {
    let group = Arc::new(SimulatedGroup { state: Mutex::default(), false_replies });
    let gateway = Gateway::start(settings()).expect("a gateway");
    let port = gateway.peer_address().port();
    for rank in 0..RANKS {
        let agent = Agent::start(rank_address(rank, port), rank_address(rank, 9), group.clone());
        let agent = agent.expect("an agent");
        thread::spawn(move || agent.run_until(std::future::pending::<()>()));
    }
    let log = Arc::new(MemoryLog::default());
    gateway.control_groups(group.clone(), log).expect("the relay listens");
    gateway.handle().offer_routes(routes());
    let endpoints = (0..RANKS).map(endpoint).collect();
    gateway.handle().apply_endpoints(endpoints, Offset(RANKS as u64));
    (gateway, group)
}

/// Waits until the group is in a state. Fails after 30 s, far longer than a switch takes.
fn wait_for(group: &SimulatedGroup, is_reached: impl Fn(&GroupState) -> bool) {
    for _ in 0..3_000 {
        if is_reached(&group.state.lock().expect("no panic")) {
            return;
        }
        thread::park_timeout(Duration::from_millis(10));
    }
    panic!("the switch does not get that far");
}

/// Guards against a release of the group because a rank has replied to the order to arm with success, although the
/// reply belongs to another call or the order is carried out later: a pass then begins with two maps (review/1).
#[test]
fn a_group_is_released_when_the_status_of_every_rank_shows_it_armed() {
    let (gateway, group) = start(2);
    wait_for(&group, |state| !state.releases.is_empty());
    let state = group.state.lock().expect("no panic");
    let armed = state.releases[0];
    assert!(armed[0].is_some() && armed[0] == armed[1], "released while armed for {armed:?}");
    assert_eq!(state.faulty_arms, 3);
    drop(state);
    gateway.shutdown();
}

/// Guards against a release that a rank gets although no order to arm has reached it.
#[test]
fn a_group_whose_rank_is_never_armed_is_not_released() {
    let (gateway, group) = start(usize::MAX);
    wait_for(&group, |state| state.faulty_arms >= 5 || !state.releases.is_empty());
    assert!(group.state.lock().expect("no panic").releases.is_empty());
    gateway.shutdown();
}

/// Guards against a release of a late hold while some ranks are armed for the held pass and others are not.
#[test]
fn a_hold_is_not_released_while_only_some_ranks_are_armed() {
    let (gateway, group) = start(0);
    // The switch that fills free slots is over.
    wait_for(&group, |state| state.releases.len() == 1);
    let polls = {
        let mut state = group.state.lock().expect("no panic");
        state.ranks[0].held_step = Some(STEP + 5);
        state.ranks[1].armed_switch = Some((u64::MAX, STEP + 5));
        state.polls
    };
    wait_for(&group, |state| state.polls > polls + 20);
    assert_eq!(group.state.lock().expect("no panic").releases.len(), 1);
    gateway.shutdown();
}

/// Guards against a group that stays held, and against one that is released into a pass with two maps.
#[test]
fn a_hold_may_be_released_when_all_ranks_switch_or_none() {
    let rank = |map_version, armed_switch| RankStatus {
        map_version,
        armed_switch,
        ..RankStatus::default()
    };
    for (ranks, expected) in [
        ([rank(1, None), rank(1, None)], true),
        ([rank(1, Some((2, 7))), rank(1, Some((2, 7)))], true),
        ([rank(1, Some((2, 7))), rank(2, None)], true),
        ([rank(1, Some((2, 9))), rank(1, None)], true),
        ([rank(1, Some((2, 7))), rank(1, None)], false),
        ([rank(1, Some((2, 7))), rank(1, Some((2, 8)))], false),
        ([rank(1, Some((2, 7))), rank(1, Some((3, 7)))], false),
    ] {
        assert_eq!(may_release_hold(&ranks, 7), expected, "{ranks:?}");
    }
}
