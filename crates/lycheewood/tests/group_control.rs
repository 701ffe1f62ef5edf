//! Control of expert groups by a gateway, with an in-memory lease log and stub ranks.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use lycheewood::{
    AppendOutcome, EndpointAvailability, EndpointChange, EndpointEntry, EndpointRecord,
    ExpertShape, FailureDomain, Gateway, GatewaySettings, GroupLeaseRecord, GroupMembership,
    HeaderNames, Incarnation, InstanceId, LeaseLog, Offset, OrderReply, RankAddress, RankClient,
    RankCounts, RankOrder, RankStatus, RawRouteTable, RawService, RetryLimits, ShutdownSettings,
    TargetName,
};

const RANKS: usize = 2;

/// An in-memory log that can be made unreachable and go back.
#[derive(Default)]
struct MemoryLog {
    records: Mutex<Vec<Bytes>>,
    era: AtomicU64,
    reads: AtomicUsize,
    is_unreachable: AtomicBool,
}

#[async_trait]
impl LeaseLog for MemoryLog {
    async fn append_at(&self, end: u64, record: Bytes) -> AppendOutcome {
        if self.is_unreachable.load(Ordering::Relaxed) {
            return AppendOutcome::Unknown;
        }
        let mut records = self.records.lock().expect("no panic");
        if self.offset(records.len()).0 != end {
            return AppendOutcome::EndMismatch;
        }
        records.push(record);
        AppendOutcome::Written(end)
    }

    async fn read(&self, from: u64) -> Option<(u64, Vec<Bytes>)> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        if self.is_unreachable.load(Ordering::Relaxed) {
            return None;
        }
        let records = self.records.lock().expect("no panic");
        let is_later_era = Offset(from).era() < self.era.load(Ordering::Relaxed);
        let index = if is_later_era { 0 } else { Offset(from).index() };
        let index = usize::try_from(index).expect("an index");
        Some((self.offset(index).0, records[index..].to_vec()))
    }
}

impl MemoryLog {
    fn offset(&self, index: usize) -> Offset {
        Offset::in_era(self.era.load(Ordering::Relaxed), index as u64)
    }

    /// Loses all but the first `kept` records, and begins a new era. Returns how many there were.
    fn go_back(&self, kept: usize) -> usize {
        let mut records = self.records.lock().expect("no panic");
        let length = records.len();
        records.truncate(kept);
        self.era.fetch_add(1, Ordering::Relaxed);
        length
    }
}

/// Status reads of endpoints whose identifier starts with this never return.
const HANGING_PREFIX: &str = "hanging";

/// Ranks without a status, so that the controller reads their status in each poll.
#[derive(Default)]
struct UnresponsiveRanks {
    status_reads: AtomicUsize,
}

#[async_trait]
impl RankClient for UnresponsiveRanks {
    async fn status(&self, rank: &RankAddress) -> Option<RankStatus> {
        if rank.endpoint.as_str().starts_with(HANGING_PREFIX) {
            return std::future::pending().await;
        }
        self.status_reads.fetch_add(1, Ordering::Relaxed);
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

/// A gateway that controls groups, with its log and ranks.
struct TestGateway {
    gateway: Gateway,
    log: Arc<MemoryLog>,
    ranks: Arc<UnresponsiveRanks>,
}

impl TestGateway {
    /// Starts a gateway with one group in its endpoint list and `records` in the log.
    fn start(records: &[GroupLeaseRecord]) -> Self {
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
            processor_millicores: 0,
            memory_bytes: 0,
            cold_bounds: lycheewood::ColdBounds::default(),
            regions: lycheewood::RegionMap::default(),
        };
        let gateway = Gateway::start(settings).expect("a gateway");
        let log = MemoryLog::default();
        let encode = |record: &GroupLeaseRecord| serde_json::to_vec(record).expect("JSON").into();
        log.records.lock().expect("no panic").extend(records.iter().map(encode));
        let (log, ranks) = (Arc::new(log), Arc::new(UnresponsiveRanks::default()));
        gateway.control_groups(ranks.clone(), log.clone()).expect("the relay listens");
        gateway.handle().offer_routes(routes());
        let endpoints = (0..RANKS).map(|rank| endpoint("s", "g", rank)).collect();
        gateway.handle().apply_endpoints(endpoints, Offset(RANKS as u64));
        Self { gateway, log, ranks }
    }

    fn status_reads(&self) -> usize {
        self.ranks.status_reads.load(Ordering::Relaxed)
    }

    /// Waits until the log has at least `count` records, for 10 s at least.
    fn wait_for_records(&self, count: usize) {
        for _ in 0..2_000 {
            if self.log.records.lock().expect("no panic").len() >= count {
                return;
            }
            thread::park_timeout(Duration::from_millis(5));
        }
        panic!("the log has fewer than {count} records");
    }

    /// Waits for `more` further status reads. Fails after 30 s, far longer than they take.
    fn wait_for_status_reads(&self, more: usize) {
        let target = self.status_reads() + more;
        for _ in 0..3_000 {
            if self.status_reads() >= target {
                return;
            }
            thread::park_timeout(Duration::from_millis(10));
        }
        panic!("no controller reads the status of the group");
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
        cold_per_s: 0.0,
        experts: Some(experts),
        engine_profile: None,
    };
    RawRouteTable { version: 1, services: vec![service], ..RawRouteTable::default() }
}

fn endpoint(prefix: &str, group: &str, rank: usize) -> EndpointChange {
    let id = InstanceId::new(&format!("{prefix}{rank}"));
    let membership =
        GroupMembership { name: group.to_owned(), epoch: 1, rank, size: RANKS, is_open: true };
    let entry = EndpointEntry {
        id: id.clone(),
        service: TargetName::new("engines"),
        // No agent listens at this address. No two endpoints share an address.
        address: ([127, 0, u8::from(group != "g"), 2], if rank == 0 { 9 } else { 10 }).into(),
        failure_domain: FailureDomain::new("a"),
        state: EndpointAvailability::Ready,
        slots: 4,
        group: Some(membership),
        started_ms: 0,
        cold_left_ms: 0,
        write_count: 0,
    };
    EndpointChange { offset: Offset(rank as u64), id, record: EndpointRecord::Entry(entry) }
}

fn record_of_other_holder(is_release: bool) -> GroupLeaseRecord {
    GroupLeaseRecord { holder: Incarnation(1), address: None, is_release }
}

/// Guards against groups without a controller while the log does not respond, because the lease expired 1 s
/// after the last renewal (inc-4706 of tread-coop).
#[test]
fn the_holder_goes_on_while_the_log_is_away() {
    let harness = TestGateway::start(&[]);
    harness.wait_for_status_reads(1);
    harness.log.is_unreachable.store(true, Ordering::Relaxed);
    // Two ranks are read every 100 ms, so these reads take longer than a lease lasts without a renewal.
    harness.wait_for_status_reads(60);
    harness.gateway.shutdown();
}

/// Guards against a lease that is neither renewed nor taken until its log is as long as it was before it went back, or
/// until the holder has waited for 20 s. The kept records end with one of the holder, or of a process before it.
#[test]
fn the_lease_goes_on_after_the_log_went_back() {
    for kept in [2, 1] {
        let harness = TestGateway::start(&[record_of_other_holder(true)]);
        harness.wait_for_records(6);
        let length = harness.log.go_back(kept);
        assert!(length >= 6);
        let reads = harness.log.reads.load(Ordering::Relaxed);
        harness.wait_for_records(kept + 1);
        // A holder whose record is the last one renews it, and reads no more than after any refused append.
        let reads = harness.log.reads.load(Ordering::Relaxed) - reads;
        assert!(kept == 1 || reads <= 2, "the term was given up: {reads} reads");
        harness.wait_for_records(kept + 2);
        let records = harness.log.records.lock().expect("no panic").clone();
        let holder = |bytes: &Bytes| {
            serde_json::from_slice::<GroupLeaseRecord>(bytes).expect("a record").holder
        };
        assert!(records[kept..].iter().all(|record| holder(record) != Incarnation(1)));
        harness.gateway.shutdown();
    }
}

/// Guards against a process that polls the log until the lease of another process expires. Each read is
/// billed, and after a power failure all instances wait at once.
#[test]
fn waiting_for_the_lease_costs_few_reads() {
    let harness = TestGateway::start(&[record_of_other_holder(false)]);
    harness.wait_for_status_reads(1);
    let reads = harness.log.reads.load(Ordering::Relaxed);
    assert!(reads <= 3, "{reads} reads");
    harness.gateway.shutdown();
}

/// Guards against waiting for a released lease to expire, and against a holder that does not release its
/// lease when it shuts down.
#[test]
fn a_leaving_holder_gives_the_lease_up() {
    let harness = TestGateway::start(&[record_of_other_holder(true)]);
    harness.wait_for_status_reads(1);
    let TestGateway { gateway, log, .. } = harness;
    gateway.shutdown();
    let records = log.records.lock().expect("no panic");
    let last: GroupLeaseRecord =
        serde_json::from_slice(records.last().expect("records")).expect("a record");
    assert!(last.is_release && last.holder != Incarnation(1), "{last:?}");
}

/// Guards against groups that wait for each other. A switch of one of three groups left the others on an
/// imbalanced map, for 9.5 s when the first group filled its slots while idle (tread-coop-grown).
#[test]
fn groups_do_not_wait_for_each_other() {
    let harness = TestGateway::start(&[]);
    harness.wait_for_status_reads(1);
    // This group sorts before the other one, and its ranks never reply.
    let hanging = (0..RANKS).map(|rank| {
        let change = endpoint(HANGING_PREFIX, "a", rank);
        EndpointChange { offset: Offset(change.offset.0 + 10), ..change }
    });
    harness.gateway.handle().apply_endpoints(hanging.collect(), Offset(20));
    harness.wait_for_status_reads(30);
}

/// Guards against a process that ends, or groups that nobody controls, because of one entry whose group has an
/// absurd size. Another writer may have left it, and another instance may pass it on.
#[test]
fn an_entry_of_an_absurd_group_stops_no_other_group() {
    for (size, rank) in [(usize::MAX, 0), (1 << 40, 1 << 39), (0, 0), (1, 7)] {
        let harness = TestGateway::start(&[]);
        harness.wait_for_status_reads(1);
        let mut odd = endpoint("odd", "a", 0);
        odd.offset = Offset(10);
        let EndpointRecord::Entry(entry) = &mut odd.record else { unreachable!() };
        let group = entry.group.as_mut().expect("a group");
        (group.size, group.rank) = (size, rank);
        harness.gateway.handle().apply_endpoints(vec![odd], Offset(11));
        harness.wait_for_status_reads(10);
        harness.gateway.shutdown();
    }
}
