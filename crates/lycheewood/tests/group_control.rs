//! Who controls the groups of engines: a gateway with a log of leases and ranks in memory.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use lycheewood::{
    AppendOutcome, EndpointAvailability, EndpointChange, EndpointEntry, EndpointRecord,
    ExpertShape, FailureDomain, Gateway, GatewaySettings, GroupMembership, GroupRecord,
    HeaderNames, Incarnation, InstanceId, LeaseLog, Offset, OrderReply, RankAddress, RankClient,
    RankCounts, RankOrder, RankStatus, RawRouteTable, RawService, RetryLimits, ShutdownSettings,
    TargetName,
};

const RANKS: usize = 2;

/// A log in memory, which answers or does not.
#[derive(Default)]
struct Log {
    records: Mutex<Vec<Bytes>>,
    reads: AtomicUsize,
    is_away: AtomicBool,
}

#[async_trait]
impl LeaseLog for Log {
    async fn append_at(&self, end: u64, record: Bytes) -> AppendOutcome {
        if self.is_away.load(Ordering::Relaxed) {
            return AppendOutcome::Unknown;
        }
        let mut records = self.records.lock().expect("no panic");
        if records.len() as u64 != end {
            return AppendOutcome::EndMismatch;
        }
        records.push(record);
        AppendOutcome::Written(end)
    }

    async fn read(&self, from: u64) -> Option<(u64, Vec<Bytes>)> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        if self.is_away.load(Ordering::Relaxed) {
            return None;
        }
        let records = self.records.lock().expect("no panic");
        let from = usize::try_from(from).expect("an index");
        Some((from as u64, records[from..].to_vec()))
    }
}

/// An endpoint whose name begins like this gives no reply for a long time.
const HANGING: &str = "hanging";

/// Ranks that never say how they are, so that whoever controls them asks again at each look.
#[derive(Default)]
struct Ranks {
    looks: AtomicUsize,
}

#[async_trait]
impl RankClient for Ranks {
    async fn status(&self, rank: &RankAddress) -> Option<RankStatus> {
        if rank.endpoint.as_str().starts_with(HANGING) {
            return std::future::pending().await;
        }
        self.looks.fetch_add(1, Ordering::Relaxed);
        None
    }

    async fn counts(&self, _: &RankAddress, _: usize) -> Option<RankCounts> {
        None
    }

    async fn held_experts(&self, _: &RankAddress) -> Option<Vec<Vec<usize>>> {
        None
    }

    async fn order(&self, _: &RankAddress, _: u64, _: &RankOrder) -> OrderReply {
        OrderReply::Unknown
    }
}

struct World {
    gateway: Gateway,
    log: Arc<Log>,
    ranks: Arc<Ranks>,
}

impl World {
    /// A gateway that knows one group, and finds `records` in the log.
    fn start(records: &[GroupRecord]) -> Self {
        let header = |name: &'static str| name.parse().expect("a header name");
        let any = "127.0.0.1:0".parse().expect("an address");
        let settings = GatewaySettings {
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
                signature: header("x-seal"),
                not_run: header("x-not-run"),
                failed_endpoint: header("x-failed"),
            },
            retry_limits: RetryLimits { ratio: 0.2, slack: 1_000.0 },
            shutdown: ShutdownSettings { linger_ms: 100, min_refusing_ms: 0 },
            shutdown_timeout_ms: 2_000,
            heartbeat_ms: 50,
            max_callers: 10,
        };
        let gateway = Gateway::start(settings).expect("a gateway");
        let log = Log::default();
        let encode = |record: &GroupRecord| serde_json::to_vec(record).expect("JSON").into();
        log.records.lock().expect("no panic").extend(records.iter().map(encode));
        let (log, ranks) = (Arc::new(log), Arc::new(Ranks::default()));
        gateway.control_groups(ranks.clone(), log.clone()).expect("the relay listens");
        gateway.handle().offer_routes(routes());
        let endpoints = (0..RANKS).map(|rank| endpoint("s", "g", rank)).collect();
        gateway.handle().apply_endpoints(endpoints, Offset(RANKS as u64));
        Self { gateway, log, ranks }
    }

    fn looks(&self) -> usize {
        self.ranks.looks.load(Ordering::Relaxed)
    }

    /// Waits for some further looks at the ranks; far longer than they take, so that a fault shows as a
    /// failure.
    fn wait_for_looks(&self, more: usize) {
        let wanted = self.looks() + more;
        for _ in 0..3_000 {
            if self.looks() >= wanted {
                return;
            }
            thread::park_timeout(Duration::from_millis(10));
        }
        panic!("nobody controls the group");
    }
}

fn routes() -> RawRouteTable {
    let experts = ExpertShape {
        sets: 1,
        experts: 4,
        slots: 3,
        max_new_experts: 1,
        expert_mb: 1.0,
        link_mbps: 1.0,
    };
    let service = RawService {
        name: "engines".to_owned(),
        max_connections: 10,
        experts: Some(experts),
        engine_profile: None,
    };
    RawRouteTable { version: 1, services: vec![service], ..RawRouteTable::default() }
}

fn endpoint(prefix: &str, group: &str, rank: usize) -> EndpointChange {
    let id = InstanceId::new(&format!("{prefix}{rank}"));
    let place =
        GroupMembership { name: group.to_owned(), epoch: 1, rank, size: RANKS, is_open: true };
    let entry = EndpointEntry {
        id: id.clone(),
        service: TargetName::new("engines"),
        // No agent listens at this address. An endpoint stands alone at its own.
        address: ([127, 0, u8::from(group != "g"), 2], if rank == 0 { 9 } else { 10 }).into(),
        failure_domain: FailureDomain::new("a"),
        state: EndpointAvailability::Ready,
        slots: 4,
        group: Some(place),
    };
    EndpointChange { offset: Offset(rank as u64), id, record: EndpointRecord::Entry(entry) }
}

fn of_another(is_release: bool) -> GroupRecord {
    GroupRecord { holder: Incarnation(1), address: None, is_release }
}

/// Guards against groups that nobody controls while the log does not answer: the lease ended 1 s after the
/// last renewal (inc-4706 of tread-coop).
#[test]
fn the_holder_goes_on_while_the_log_is_away() {
    let world = World::start(&[]);
    world.wait_for_looks(1);
    world.log.is_away.store(true, Ordering::Relaxed);
    // Two ranks and a look every 100 ms: these take longer than the lease lasts without a renewal.
    world.wait_for_looks(60);
    world.gateway.shutdown();
}

/// Guards against a process that reads the log again and again until the lease of another one is over: each
/// read has a price, and after a loss of power all instances wait at once.
#[test]
fn waiting_for_the_lease_costs_few_reads() {
    let world = World::start(&[of_another(false)]);
    world.wait_for_looks(1);
    let reads = world.log.reads.load(Ordering::Relaxed);
    assert!(reads <= 3, "{reads} reads");
    world.gateway.shutdown();
}

/// Guards against a lease that is left to end although its holder has given it up, and against a leaving
/// holder that keeps it.
#[test]
fn a_leaving_holder_gives_the_lease_up() {
    let world = World::start(&[of_another(true)]);
    world.wait_for_looks(1);
    let World { gateway, log, .. } = world;
    gateway.shutdown();
    let records = log.records.lock().expect("no panic");
    let last: GroupRecord =
        serde_json::from_slice(records.last().expect("records")).expect("a record");
    assert!(last.is_release && last.holder != Incarnation(1), "{last:?}");
}

/// Guards against groups that wait for each other: a switch of one of three groups kept the others on an uneven
/// map, and filling the slots of the first one while idle did so for 9.5 s (tread-coop-grown).
#[test]
fn groups_do_not_wait_for_each_other() {
    let world = World::start(&[]);
    world.wait_for_looks(1);
    // The group's name comes first, and its ranks give no reply.
    let hanging = (0..RANKS).map(|rank| {
        let change = endpoint(HANGING, "a", rank);
        EndpointChange { offset: Offset(change.offset.0 + 10), ..change }
    });
    world.gateway.handle().apply_endpoints(hanging.collect(), Offset(20));
    world.wait_for_looks(30);
}
