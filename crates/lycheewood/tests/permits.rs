//! Tests of the limits that endpoints name: the sum over all gateways, and how much of a limit they use.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use lycheewood::{
    FleetEstimate, FleetView, LimitBook, LimitReport, Permit, PermitAllotment, PermitGranted,
    PermitRequested, QueuedPermit, RequestRate, Timestamp, permit_source,
};

const START: Timestamp = Timestamp::from_unix_ms(1_000_000_000);
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 40_000;
/// Gateways exchange heartbeats from the start, and requests come from here on.
const CALM_FROM_MS: u64 = 5_000;
const HEARTBEAT_MS: u64 = 200;
const SILENT_MS: u64 = 1_500;
const WITHIN_MS: u64 = 300;
const TAG: u32 = 7;
/// Span in which the rule of the platform counts, in milliseconds.
const SPAN_MS: u64 = 4_000;

/// Reproducible random words (xorshift).
struct Words(u64);

impl Words {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) % bound
    }
}

/// What happens to a gateway for some time.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// Its process stands still, and then goes on with what it knew.
    Freeze,
    /// Its process is killed, and starts anew.
    Restart,
    /// It is in a part of the fleet that the others do not hear.
    Part,
}

struct SimulatedGateway {
    address: SocketAddr,
    fault: Option<(Fault, u64, u64)>,
    heard: BTreeMap<SocketAddr, Timestamp>,
    fleet: FleetEstimate,
    allotment: Option<PermitAllotment>,
    requested: Option<(Permit<PermitRequested>, u64)>,
    granted: Vec<Permit<PermitGranted>>,
}

impl SimulatedGateway {
    fn new(index: u64) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, u8::try_from(index).expect("few gateways")));
        Self {
            address: SocketAddr::new(ip, 7_340),
            fault: None,
            heard: BTreeMap::new(),
            fleet: FleetEstimate::new(START),
            allotment: None,
            requested: None,
            granted: Vec::new(),
        }
    }

    fn has(&self, fault: Fault, elapsed_ms: u64) -> bool {
        self.fault.is_some_and(|(kind, from, to)| kind == fault && (from..to).contains(&elapsed_ms))
    }

    fn is_running(&self, elapsed_ms: u64) -> bool {
        !self.has(Fault::Freeze, elapsed_ms) && !self.has(Fault::Restart, elapsed_ms)
    }

    fn others(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> {
        let heard = self.heard.iter().filter(move |(_, heard)| now.ms_since(**heard) < SILENT_MS);
        heard.map(|(address, _)| *address)
    }

    fn source(&self, now: Timestamp) -> SocketAddr {
        let candidates = self.others(now).chain([self.address]);
        permit_source(TAG, candidates).expect("a candidate")
    }

    fn interval_ms(&mut self, rate: RequestRate, now: Timestamp) -> u64 {
        let heard = u32::try_from(self.others(now).count()).expect("few gateways");
        let known = u32::try_from(self.heard.len()).expect("few gateways");
        let fleet = self.fleet.update(&FleetView { heard, known, unconfirmed: 0 }, now);
        rate.interval_ms(heard + 1, fleet)
    }
}

enum SimulatedMessage {
    Ask(QueuedPermit),
    Reply { sequence: u64, is_granted: bool },
}

struct Outcome {
    /// The most requests in any span of 4 s.
    peak: usize,
    /// Requests per second once all is calm.
    mean_per_s: f64,
}

fn plan_faults(fleet: &mut [SimulatedGateway], faults: &[Fault], words: &mut Words) {
    for gateway in fleet {
        if !faults.is_empty() && words.below(3) == 0 {
            let fault = faults[usize::try_from(words.below(faults.len() as u64)).expect("small")];
            // Parts begin and end for all at once.
            let from = if fault == Fault::Part { 15_000 } else { 10_000 + words.below(20_000) };
            let length_ms = if fault == Fault::Part { 6_000 } else { 500 + words.below(6_000) };
            gateway.fault = Some((fault, from, from + length_ms));
        }
    }
}

/// Whether two gateways are in the same part of the fleet.
fn hears(fleet: &[SimulatedGateway], a: usize, b: usize, elapsed_ms: u64) -> bool {
    fleet[a].has(Fault::Part, elapsed_ms) == fleet[b].has(Fault::Part, elapsed_ms)
}

/// Starts the gateways anew whose restart is over, and sends the heartbeats that are due.
fn exchange_heartbeats(fleet: &mut [SimulatedGateway], elapsed_ms: u64) {
    let now = START.plus_ms(elapsed_ms);
    for index in 0..fleet.len() {
        if fleet[index].fault.is_some_and(|(kind, _, to)| {
            kind == Fault::Restart && (to..to + STEP_MS).contains(&elapsed_ms)
        }) {
            let fault = fleet[index].fault;
            let number = u64::try_from(index).expect("small");
            let restarted = SimulatedGateway { fault, ..SimulatedGateway::new(number) };
            fleet[index] = SimulatedGateway { fleet: FleetEstimate::new(now), ..restarted };
        }
        if elapsed_ms.is_multiple_of(HEARTBEAT_MS) && fleet[index].is_running(elapsed_ms) {
            let from = fleet[index].address;
            for other in (0..fleet.len()).filter(|other| *other != index) {
                if hears(fleet, index, other, elapsed_ms) && fleet[other].is_running(elapsed_ms) {
                    fleet[other].heard.insert(from, now);
                }
            }
        }
    }
}

/// Every gateway always has a request that waits for the endpoint.
fn simulate(gateways: u64, rate: RequestRate, faults: &[Fault], seed: u64) -> Outcome {
    let mut words = Words(seed);
    let mut fleet: Vec<SimulatedGateway> = (0..gateways).map(SimulatedGateway::new).collect();
    plan_faults(&mut fleet, faults, &mut words);
    let index_of: HashMap<SocketAddr, usize> =
        fleet.iter().enumerate().map(|(index, gateway)| (gateway.address, index)).collect();
    let mut messages: VecDeque<(u64, SocketAddr, SocketAddr, SimulatedMessage)> = VecDeque::new();
    let (mut sent, mut sequence) = (Vec::new(), 0);
    for elapsed_ms in (0..LENGTH_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
        let now = START.plus_ms(elapsed_ms);
        exchange_heartbeats(&mut fleet, elapsed_ms);
        let (due, later): (VecDeque<_>, VecDeque<_>) =
            messages.drain(..).partition(|(at, ..)| *at <= elapsed_ms);
        messages = later;
        for (_, from, to, message) in due {
            let (sender, index) = (index_of[&from], index_of[&to]);
            if !hears(&fleet, sender, index, elapsed_ms) || !fleet[index].is_running(elapsed_ms) {
                continue;
            }
            let gateway = &mut fleet[index];
            match message {
                SimulatedMessage::Ask(queued) if gateway.source(now) == to => {
                    let interval_ms = gateway.interval_ms(rate, now);
                    let allotment =
                        gateway.allotment.get_or_insert_with(|| PermitAllotment::begin(now));
                    if allotment.enqueue(queued, interval_ms, now).is_err() {
                        let reply = SimulatedMessage::Reply {
                            sequence: queued.sequence,
                            is_granted: false,
                        };
                        messages.push_back((elapsed_ms + 1, to, from, reply));
                    }
                }
                SimulatedMessage::Ask(_) => {}
                SimulatedMessage::Reply { sequence, is_granted } => {
                    let answered = gateway.requested.take_if(|(requested, number)| {
                        *number == sequence && requested.is_answered_by(from, sequence, now)
                    });
                    if let Some((requested, _)) = answered.filter(|_| is_granted) {
                        gateway.granted.push(requested.grant(now));
                    }
                }
            }
        }
        for gateway in fleet.iter_mut().filter(|gateway| gateway.is_running(elapsed_ms)) {
            let own = gateway.address;
            let source = gateway.source(now);
            let interval_ms = gateway.interval_ms(rate, now);
            if source != own {
                gateway.allotment = None;
            }
            let granted = gateway.allotment.as_mut().map(|a| a.grant_due(interval_ms, now));
            for queued in granted.into_iter().flatten() {
                let reply = SimulatedMessage::Reply { sequence: queued.sequence, is_granted: true };
                messages.push_back((elapsed_ms + 1 + words.below(24), own, queued.from, reply));
            }
            gateway.granted.retain(|permit| !permit.has_lapsed(now));
            if let Some(permit) = gateway.granted.pop() {
                permit.redeem(now).expect("a valid permit");
                sent.push(elapsed_ms);
            }
            gateway.requested =
                gateway.requested.filter(|(requested, _)| requested.is_awaited(now));
            if gateway.requested.is_none() && elapsed_ms >= CALM_FROM_MS {
                sequence += 1;
                let requested = Permit::request(source, sequence, WITHIN_MS, now);
                gateway.requested = Some((requested, sequence));
                let until = now.plus_ms(WITHIN_MS);
                let ask = SimulatedMessage::Ask(QueuedPermit { from: own, sequence, until });
                messages.push_back((elapsed_ms + 1 + words.below(24), own, source, ask));
            }
        }
    }
    let within = |at: &u64| sent.iter().filter(|t| (*at..*at + SPAN_MS).contains(*t)).count();
    let calm = sent.iter().filter(|at| (CALM_FROM_MS + 1_000..LENGTH_MS).contains(*at)).count();
    let calm_s = (LENGTH_MS - CALM_FROM_MS - 1_000) / 1_000;
    Outcome {
        peak: sent.iter().map(within).max().unwrap_or(0),
        mean_per_s: count(calm) / count(usize::try_from(calm_s).expect("small")),
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("few requests"))
}

fn rate(text: &str) -> RequestRate {
    RequestRate::try_from(text).expect("a rate")
}

/// Guards against a sum over all gateways that exceeds a limit while some of them freeze, restart or are cut off.
#[test]
fn the_sum_of_all_gateways_keeps_to_the_limit() {
    let faults = [Fault::Freeze, Fault::Restart, Fault::Part];
    for seed in 1..=4 {
        for (gateways, limit) in [(1, "2"), (3, "1"), (13, "1.2"), (13, "8"), (30, "30")] {
            let most = 1.5 * rate(limit).per_s() * 4.0 + 5.0;
            let Outcome { peak, .. } = simulate(gateways, rate(limit), &faults, seed);
            assert!(count(peak) <= most, "seed {seed}, {gateways} x {limit}: {peak} of {most}");
        }
    }
}

/// Guards against gateways that leave a large part of a limit unused although requests wait.
#[test]
fn gateways_use_what_a_limit_allows() {
    for (gateways, limit) in [(1, "4"), (3, "4"), (13, "4"), (13, "20")] {
        let Outcome { mean_per_s, .. } = simulate(gateways, rate(limit), &[], 1);
        let least = 0.9 * rate(limit).per_s();
        assert!(mean_per_s >= least, "{gateways} x {limit}: {mean_per_s} of {least}");
    }
}

/// Guards against values that are no limit, and against an endpoint that is never asked again because it takes nothing.
#[test]
fn a_limit_is_a_decimal_number() {
    for text in ["", "x", "-1", "NaN", "inf", "1,5", "0x2", "2 per second"] {
        assert!(RequestRate::try_from(text).is_err(), "{text}");
    }
    assert_eq!(rate("2.5").interval_ms(1, 1), 400);
    assert_eq!(rate("2.5").interval_ms(1, 2), 800);
    assert_eq!(rate("0").interval_ms(1, 1), 10_000);
    assert_eq!(rate("1e30").interval_ms(1, 1), 0);
}

/// Guards against an older report of another gateway that takes the place of a newer response.
#[test]
fn the_newest_response_decides_on_a_limit() {
    let mut book = LimitBook::default();
    let report = |limit, age_ms| LimitReport { tag: TAG, limit, age_ms };
    assert!(book.observe(TAG, Some(rate("2")), START));
    let now = START.plus_ms(1_000);
    assert!(!book.adopt(&report(None, 1_500), now));
    assert_eq!(book.limit(TAG), Some(rate("2")));
    assert!(book.adopt(&report(None, 500), now));
    assert_eq!(book.limit(TAG), None);
    assert!(book.reports(now).is_empty(), "only own responses are reported");
    assert!(book.observe(TAG, Some(rate("1")), now));
    assert_eq!(book.reports(now.plus_ms(5)), [report(Some(rate("1")), 5)]);
}
