//! Leases under faults: at most one holder can sign orders, and orders of a superseded lease are refused.

use lycheewood::{
    CurrentLease, FencingGate, FencingNumber, Incarnation, Lease, LeaseEffect, LeaseHeld,
    LeaseRecord, LeaseRequested, LeaseTable, LeaseWatch, Offset, OrderRefusal, ScopeName,
    Timestamp,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Copy, Debug)]
enum Op {
    AdvanceClock(u16),
    /// Sets the log's clock back by so many milliseconds; 0 sets it right.
    SetLogClockBehind(u16),
    Request(usize),
    Renew(usize),
    Release(usize),
    /// Appends a record that was sent; with `true` it may be appended again later.
    Append(u8, bool),
    /// A process reads the log. A process without reads simulates a pause.
    Read(usize),
}

struct Process {
    incarnation: Incarnation,
    /// Lease as the process last read it.
    current: Option<CurrentLease>,
    watch: LeaseWatch,
    requests: u64,
    requested: Option<Lease<LeaseRequested>>,
    held: Option<Lease<LeaseHeld>>,
}

struct World {
    now: Timestamp,
    log_clock_behind_ms: u64,
    next: u64,
    leases: LeaseTable,
    processes: Vec<Process>,
    in_flight: Vec<LeaseRecord>,
    granted: usize,
}

fn scope() -> ScopeName {
    ScopeName::new("group")
}

impl World {
    fn new() -> Self {
        let holder = |number| Process {
            incarnation: Incarnation(number),
            current: None,
            watch: LeaseWatch::new(),
            requests: 0,
            requested: None,
            held: None,
        };
        Self {
            now: Timestamp::from_unix_ms(1_000_000),
            log_clock_behind_ms: 0,
            next: 0,
            leases: LeaseTable::new(),
            processes: (1..4).map(holder).collect(),
            in_flight: Vec::new(),
            granted: 0,
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::AdvanceClock(ms) => self.now = self.now.plus_ms(u64::from(ms)),
            Op::SetLogClockBehind(behind_ms) => self.log_clock_behind_ms = u64::from(behind_ms),
            Op::Request(holder) => {
                let now = self.clock(holder);
                let holder = &mut self.processes[holder];
                holder.requests += 1;
                let Ok(supersedes) = holder.watch.check(holder.current, now) else { return };
                let (incarnation, number) = (holder.incarnation, holder.requests);
                let lease = Lease::request(scope(), incarnation, number, supersedes, 1_000, now);
                self.in_flight.push(lease.record());
                holder.requested = Some(lease);
            }
            Op::Renew(holder) => {
                let now = self.clock(holder);
                let renewal =
                    self.processes[holder].held.as_mut().map(|held| held.request_renewal(now));
                self.in_flight.extend(renewal.and_then(Result::ok));
            }
            Op::Release(holder) => {
                self.in_flight.extend(self.processes[holder].held.take().map(Lease::release));
            }
            Op::Append(index, again) if !self.in_flight.is_empty() => {
                let index = usize::from(index) % self.in_flight.len();
                let record = self.in_flight[index].clone();
                if !again {
                    self.in_flight.remove(index);
                }
                let at = Timestamp::from_unix_ms(self.now.unix_ms() - self.log_clock_behind_ms);
                let effect = self.leases.apply(Offset(self.next), at, &record);
                self.granted += usize::from(matches!(effect, LeaseEffect::Granted(_)));
                self.next += 1;
            }
            Op::Append(..) => {}
            Op::Read(holder) => self.read(holder),
        }
    }

    /// Clock of a process: the first is exact, the second slow, the third fast.
    fn clock(&self, holder: usize) -> Timestamp {
        let elapsed_ms = self.now.ms_since(Timestamp::from_unix_ms(1_000_000));
        Timestamp::from_unix_ms(1_000_000 + elapsed_ms * [1_000, 975, 1_020][holder] / 1_000)
    }

    fn read(&mut self, holder: usize) {
        let current = self.leases.current(&scope());
        let now = self.clock(holder);
        let holder = &mut self.processes[holder];
        holder.current = current;
        let _ = holder.watch.check(current, now);
        if let Some(held) = &mut holder.held {
            held.confirm_renewal(current);
        }
        match holder.requested.take().map(|requested| requested.confirm_grant(current)) {
            Some(Ok(held)) => holder.held = Some(held),
            Some(Err(requested)) => holder.requested = Some(requested),
            None => {}
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0..400_u16).prop_map(Op::AdvanceClock),
        1 => (0..3_000_u16).prop_map(Op::SetLogClockBehind),
        3 => (0..3_usize).prop_map(Op::Request),
        3 => (0..3_usize).prop_map(Op::Renew),
        1 => (0..3_usize).prop_map(Op::Release),
        6 => (any::<u8>(), 0..4_u8).prop_map(|(index, again)| Op::Append(index, again == 0)),
        6 => (0..3_usize).prop_map(Op::Read),
    ]
}

/// Guards against two processes that can sign at the same time, under lost replies, late and repeated
/// records, pauses, clocks of different rates and a log clock that is set back and forward again.
#[test]
fn at_most_one_holder_can_sign() {
    let granted = std::cell::Cell::new(0);
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(config, random)
        .run(&proptest::collection::vec(op(), 150..300), |ops| {
            let mut world = World::new();
            for op in ops {
                world.apply(op);
                let can_sign = |holder: &usize| {
                    let held = world.processes[*holder].held.as_ref();
                    held.is_some_and(|held| held.fencing_token(world.clock(*holder)).is_ok())
                };
                let signing = (0..3).filter(can_sign).count();
                prop_assert!(signing <= 1, "{signing} holders can sign");
            }
            granted.set(granted.get() + world.granted);
            Ok(())
        })
        .unwrap();
    assert!(granted.get() > 2 * 500, "only {} grants", granted.get());
}

fn granted(leases: &mut LeaseTable, offset: u64, unix_ms: u64) -> LeaseEffect {
    let holder = Incarnation(offset + 1);
    let supersedes = leases.current(&scope()).map(|lease| lease.version());
    let (scope, duration_ms) = (scope(), 1_000);
    let record = LeaseRecord::Grant { scope, holder, request: 1, supersedes, duration_ms };
    leases.apply(Offset(offset), Timestamp::from_unix_ms(unix_ms), &record)
}

/// Guards against a lease that ends early because the log's clock was set back before its grant.
#[test]
fn the_time_of_the_fold_never_goes_back() {
    let mut leases = LeaseTable::new();
    assert_eq!(granted(&mut leases, 0, 5_000), LeaseEffect::Granted(FencingNumber(0)));
    assert_eq!(granted(&mut leases, 1, 6_000), LeaseEffect::Granted(FencingNumber(1)));
    let release = LeaseRecord::Release(lycheewood::ReleaseRecord {
        scope: scope(),
        fencing: FencingNumber(1),
    });
    leases.apply(Offset(2), Timestamp::from_unix_ms(1_000), &release);
    // The log's clock is set back to 2 000, but the latest append time is 6 000, so the lease ends at 7 000.
    assert_eq!(granted(&mut leases, 3, 2_000), LeaseEffect::Granted(FencingNumber(3)));
    assert_eq!(granted(&mut leases, 4, 3_500), LeaseEffect::None);
    assert_eq!(granted(&mut leases, 5, 7_000), LeaseEffect::Granted(FencingNumber(5)));
}

/// Guards against orders of a superseded lease that reach an engine which does not check fencing numbers,
/// also right after a restart of its daemon.
#[test]
fn an_endpoint_refuses_superseded_orders() {
    let mut leases = LeaseTable::new();
    granted(&mut leases, 4, 0);
    let current = leases.current(&scope());
    let mut gate = FencingGate::new();
    gate.update(None, Offset(3), Offset(5));
    assert_eq!(gate.admit(FencingNumber(2)), Err(OrderRefusal::CatchingUp));
    gate.update(current, Offset(5), Offset(5));
    let superseded = Err(OrderRefusal::Superseded { highest: FencingNumber(4) });
    assert_eq!(gate.admit(FencingNumber(2)), superseded);
    assert_eq!(gate.admit(FencingNumber(4)), Ok(()));
    assert_eq!(gate.admit(FencingNumber(9)), Ok(()), "a number that was not read yet is newer");
    assert!(gate.admit(FencingNumber(4)).is_err());
}

/// Guards against a holder that signs after the end of its lease because its clock runs slow. The drift of
/// 4% is far above that of real instances.
#[test]
fn a_slow_clock_stops_before_the_lease_ends() {
    let mut leases = LeaseTable::new();
    let asked = Timestamp::from_unix_ms(0);
    let request = Lease::request(scope(), Incarnation(1), 1, None, 1_000, asked);
    leases.apply(Offset(0), asked, &request.record());
    let held = request.confirm_grant(leases.current(&scope())).expect("the lease is granted");
    let ends = leases.current(&scope()).unwrap().ends;
    let slow = Timestamp::from_unix_ms(ends.unix_ms() * 96 / 100);
    assert!(held.fencing_token(slow).is_err());
}
