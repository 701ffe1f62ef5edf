//! Decisions on the order of waiting requests, and on the places that less urgent ones leave free.

use lycheewood::{
    CompetingRequests, GrantRate, PlaceClaims, PlaceRequest, PlaceTotals, Pressure, QueueDeadlines,
    Timestamp, WaitingCounts, begins_to_wait, cannot_be_served_in_time, first_look, lost_answer_ms,
    next_in_turn, reserved_limit, reserved_places, sends_early, spread_return_ms, waiting_priority,
};

const TARGET_MS: u64 = 400;
const DEADLINE_MS: u64 = 8_000;
/// Random words that are spread evenly.
const WORDS: std::ops::Range<u64> = 0..1_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

fn word(index: u64) -> u64 {
    index * (u64::MAX / 1_000)
}

/// A request that arrived at `received_ms`. It can be on time for 200 ms.
fn waiting(priority: u8, received_ms: u64) -> PlaceRequest {
    let received = at(received_ms);
    PlaceRequest {
        priority,
        received,
        deadlines: QueueDeadlines::new(received, TARGET_MS, received.plus_ms(DEADLINE_MS)),
        is_unrestricted: true,
    }
}

fn counts(pairs: &[(u8, u32)]) -> WaitingCounts {
    let mut counts = WaitingCounts::default();
    counts.add_pairs(pairs);
    counts
}

fn pressure_of(pairs: &[(u8, u32)], now: Timestamp) -> Pressure {
    let mut pressure = Pressure::default();
    pressure.observe(&counts(pairs), now);
    pressure
}

/// The order in which requests get places at `now`.
fn order(requests: &[PlaceRequest], now: Timestamp) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..requests.len()).collect();
    indices.sort_by_key(|index| requests[*index].order(now));
    indices
}

/// Guards against a request that is late already before one that can be on time, and against a less urgent request
/// before a more urgent one, as after a restart when all of them wait.
#[test]
fn requests_that_can_be_on_time_come_first_by_priority() {
    let requests = [waiting(0, 0), waiting(2, 290), waiting(1, 280), waiting(1, 250)];
    assert_eq!(order(&requests, at(300)), [3, 2, 1, 0]);
}

/// Guards against a late request of low priority that waits behind all later ones until it is refused.
#[test]
fn late_requests_rise_with_age() {
    let requests = [waiting(0, 1_500), waiting(2, 0)];
    assert_eq!(order(&requests, at(1_800)), [1, 0]);
    assert_eq!(order(&requests, at(1_000)).len(), 2);
}

/// Guards against waking all waiting requests at each change, which look at all endpoints in vain.
#[test]
fn one_request_looks_for_a_place_at_a_time() {
    let requests: Vec<PlaceRequest> = (0..50).map(|ms| waiting(1, ms)).collect();
    let turns = next_in_turn(&requests, &Pressure::default(), at(100));
    assert_eq!(turns, [0]);
    // Late requests leave a place free that the others may take.
    let requests = [waiting(1, 0), waiting(1, 1), waiting(1, 250), waiting(1, 260)];
    assert_eq!(next_in_turn(&requests, &Pressure::default(), at(300)), [2]);
}

/// Guards against a first request that may use only some of the endpoints and keeps the others from looking.
#[test]
fn a_restricted_request_does_not_hold_up_others() {
    let retried = PlaceRequest { is_unrestricted: false, ..waiting(0, 0) };
    let requests = [retried, waiting(0, 10), waiting(0, 20)];
    assert_eq!(next_in_turn(&requests, &Pressure::default(), at(50)), [0, 1]);
}

/// Guards against late requests that take places from those that can still be on time: in a burst above the capacity a
/// third of the streams began late. A late response is worth the same later, whatever its priority.
#[test]
fn late_requests_leave_places_free_for_all_that_can_be_on_time() {
    let (on_time, late) = (waiting(2, 250), waiting(0, 0));
    let pressure = pressure_of(&[(0, 5), (2, 3)], at(300));
    assert!((late.pressure(&pressure, at(300)) - 8.0).abs() < 1e-9);
    assert!((on_time.pressure(&pressure, at(300)) - 5.0).abs() < 1e-9);
    assert!(late.pressure(&pressure, at(100)).abs() < 1e-9, "on time, nothing is more urgent");
    assert_eq!(next_in_turn(&[on_time, late], &pressure, at(300)), [0]);
    // A request that may use only some of the endpoints keeps nobody from looking.
    let restricted = PlaceRequest { is_unrestricted: false, ..on_time };
    assert_eq!(next_in_turn(&[restricted, late], &pressure, at(300)), [0, 1]);
}

/// Guards against places that are given to less urgent requests while more urgent ones wait anywhere, and against
/// places left free when none waits.
#[test]
fn less_urgent_requests_leave_places_free_while_more_urgent_ones_wait() {
    let pressure = pressure_of(&[(0, 12), (1, 6)], at(0));
    assert!(pressure.above(0, at(0)).abs() < 1e-9);
    assert!((pressure.above(1, at(0)) - 12.0).abs() < 1e-9);
    assert!((pressure.above(2, at(0)) - 18.0).abs() < 1e-9);
    assert!(pressure.above(2, at(30_000)).abs() < 1e-9);
    let limits = |pressure: f64| {
        let reserved = reserved_places(pressure, 72, 10.0);
        WORDS.map(|index| reserved_limit(10, reserved, word(index))).collect::<Vec<u32>>()
    };
    assert!(limits(0.0).iter().all(|limit| *limit == 10));
    let mean = |limits: &[u32]| f64::from(limits.iter().sum::<u32>()) / 1_000.0;
    let (few, many) = (mean(&limits(3.0)), mean(&limits(12.0)));
    assert!(many < few && few < 10.0, "{many} {few}");
}

/// Guards against engines left idle by a wrong or old count: part of each batch stays for every priority.
#[test]
fn some_places_are_never_reserved() {
    let reserved = reserved_places(1e9, 72, 10.0);
    assert!(WORDS.map(word).all(|random| reserved_limit(10, reserved, random) >= 5));
    assert_eq!(reserved_limit(1, reserved_places(1e9, 1, 1.0), u64::MAX), 1);
}

/// Guards against a flood of urgent requests that starves a workspace, a route or a size: a share of each is treated
/// like the most urgent ones, and no request becomes less urgent.
#[test]
fn a_share_of_each_kind_waits_like_the_most_urgent() {
    let raised = WORDS.filter(|index| waiting_priority(7, 1, word(*index)) == 1).count();
    assert!((250..=400).contains(&raised), "{raised}");
    assert!(WORDS.map(word).all(|random| waiting_priority(1, 1, random) == 1));
    assert!(WORDS.map(word).all(|random| waiting_priority(0, 1, random) == 0));
}

/// Guards against requests that wait although those ahead of them take all places until their time is over, and against
/// refusals where that is not certain.
#[test]
fn a_request_without_a_chance_is_refused_at_once() {
    let mut rate = GrantRate::default();
    assert!(!cannot_be_served_in_time(1_000, &rate, at(2_000), at(0)), "no place was found yet");
    for ms in (0..4_000).step_by(500) {
        rate.record(at(ms));
    }
    // 2 places per second: 20 requests ahead take about 10 s.
    assert!(cannot_be_served_in_time(20, &rate, at(6_000), at(4_000)));
    assert!(!cannot_be_served_in_time(3, &rate, at(4_100), at(4_000)));
    assert!(!cannot_be_served_in_time(4, &rate, at(6_000), at(4_000)));
}

/// Guards against refused callers that return together, or later than callers wait.
#[test]
fn refused_callers_return_at_different_times() {
    let times: Vec<u64> =
        WORDS.step_by(100).map(|index| spread_return_ms(6_000, word(index))).collect();
    assert!(times.iter().all(|ms| (1_000..=2_000).contains(ms)), "{times:?}");
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert_eq!(spread_return_ms(500, u64::MAX), 1_000);
}

/// Guards against heartbeats for each request that waits.
#[test]
fn a_heartbeat_is_early_only_for_a_new_urgent_request() {
    assert!(sends_early(0, 2, &[], at(0), at(1_000)));
    assert!(sends_early(0, 2, &[(1, 3)], at(0), at(1_000)));
    // The others know already, were told just now, or have nobody to hold back.
    assert!(!sends_early(1, 2, &[(0, 1)], at(0), at(1_000)));
    assert!(!sends_early(0, 2, &[], at(900), at(1_000)));
    assert!(!sends_early(2, 2, &[], at(0), at(1_000)));
    assert!(begins_to_wait(&[], &[(2, 1)]) && !begins_to_wait(&[(2, 1)], &[]));
}

/// Guards against many gateways that all take the place that they see free: 72 gateways with a request each share one
/// free place.
#[test]
fn gateways_share_the_free_places_that_all_of_them_see() {
    let totals = PlaceTotals { limit: 100, in_flight: 149 };
    let competing = CompetingRequests::new(1, 72, 72, &GrantRate::default(), at(0));
    let taken = (0..72_000_u64)
        .filter(|seed| {
            PlaceClaims::default().may_take(totals, &competing, word(*seed % 1_000) + seed, at(0))
        })
        .count();
    assert!((500..=1_500).contains(&taken), "{taken} of 1,000 groups");
    // With more free places than requests, all take one.
    let free = PlaceTotals { limit: 100, in_flight: 10 };
    assert!((0..72).all(|seed| PlaceClaims::default().may_take(free, &competing, seed, at(0))));
}

/// Guards against a gateway that may not use the place that its own request has left.
#[test]
fn a_gateway_takes_the_places_that_its_own_requests_free() {
    let totals = PlaceTotals { limit: 100, in_flight: 150 };
    let competing = CompetingRequests::new(1, 72, 72, &GrantRate::default(), at(0));
    let mut claims = PlaceClaims::default();
    claims.record_freed(7, at(0));
    assert!(claims.may_take(totals, &competing, 7, at(0)));
    claims.record_taken(7, at(0));
    assert!(!claims.may_take(totals, &competing, 7, at(0)));
}

/// Guards against a start at which the request that passes the filters first gets a place before a more urgent one.
#[test]
fn requests_gather_when_an_instance_has_started() {
    assert_eq!(first_look(at(0), Some(at(900))), at(920));
    assert_eq!(first_look(at(1_000), Some(at(900))), at(1_000));
    assert_eq!(first_look(at(0), None), at(0));
}

/// Guards against a second attempt that begins when the caller of a plain service has left.
#[test]
fn a_lost_answer_leaves_time_for_another_attempt() {
    assert_eq!(lost_answer_ms(120, 800), 240);
    // Without a target, and with a long timeout.
    assert_eq!(lost_answer_ms(800, 800), 400);
    assert_eq!(lost_answer_ms(30_000, 30_000), 1_100);
}
