//! A restart of all gateways and of the ranks of a group, which stalls, refuses and forms.

use lycheewood::{
    GroupAvailability, GroupEntry, GroupMembership, GroupStatus, ListedFormation, Timestamp,
    forming_return_ms,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::SEEDS;

/// When gateways serve again, and when the group refuses and serves, in milliseconds from the loss.
const GATEWAYS_BACK_MS: u64 = 750;
const STALL_END_MS: u64 = 1_500;
const OPEN_MS: u64 = 2_100;
/// Time from a request to its first event while the group serves, in milliseconds.
const FIRST_EVENT_MS: u64 = 60;
/// Time in which a heartbeat arrives, in milliseconds.
const HEARTBEAT_MS: u64 = 5;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

fn listed(epoch: u64, is_open: bool) -> ListedFormation {
    ListedFormation::from(&GroupMembership {
        name: "g".to_owned(),
        epoch,
        rank: 0,
        size: 2,
        is_open,
    })
}

/// A group of which nothing is known.
fn unknown() -> GroupStatus {
    GroupStatus::new(listed(1, true))
}

/// Whether other gateways hear of a group that opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heartbeats {
    Arrive,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The decisions of the library.
    Present,
    /// A group is open until it refuses, as before.
    OpenAtStart,
}

/// What happened in a run.
#[derive(Debug, Default)]
struct Run {
    refusals: usize,
    /// When each gateway learned that the group serves, in milliseconds from the loss.
    opened_ms: Vec<u64>,
}

/// Plays a restart with gateways that each get a request every `interval_ms` on average. Requests that find the group
/// closed wait, so one is sent whenever the gateway allows it.
fn play(
    gateways: usize,
    interval_ms: u32,
    policy: Policy,
    heartbeats: Heartbeats,
    seed: u64,
) -> Run {
    let mut random = StdRng::seed_from_u64(seed);
    let fleet = if heartbeats == Heartbeats::Lost { 1 } else { u32::try_from(gateways).unwrap() };
    let mut statuses = vec![unknown(); gateways];
    let mut waiting = vec![0_u32; gateways];
    let mut stalled = vec![0_usize; gateways];
    let mut events: Vec<(u64, usize)> = Vec::new();
    let mut told = None;
    let mut run = Run { refusals: 0, opened_ms: vec![u64::MAX; gateways] };
    if policy == Policy::OpenAtStart {
        for status in &mut statuses {
            status.record_event(at(GATEWAYS_BACK_MS));
        }
    }
    for now_ms in GATEWAYS_BACK_MS..OPEN_MS + 5_000 {
        let now = at(now_ms);
        for gateway in 0..gateways {
            let status = &mut statuses[gateway];
            if now_ms == STALL_END_MS {
                for _ in 0..std::mem::take(&mut stalled[gateway]) {
                    status.record_refusal(listed(1, true), fleet, random.random(), now);
                    run.refusals += 1;
                    waiting[gateway] += 1;
                }
            }
            for _ in events.extract_if(.., |(due, of)| *due == now_ms && *of == gateway) {
                if status.record_event(now) && heartbeats == Heartbeats::Arrive {
                    told.get_or_insert(now_ms);
                }
            }
            if told.is_some_and(|told| now_ms >= told + HEARTBEAT_MS) {
                status.record_reported(at(told.unwrap()), now);
            }
            if random.random_ratio(1, interval_ms) {
                waiting[gateway] += 1;
            }
            while waiting[gateway] > 0
                && status.enter(fleet, random.random(), now) != GroupEntry::Closed
            {
                waiting[gateway] -= 1;
                if now_ms < STALL_END_MS {
                    stalled[gateway] += 1;
                } else if now_ms < OPEN_MS {
                    status.record_refusal(listed(1, true), fleet, random.random(), now);
                    run.refusals += 1;
                    waiting[gateway] += 1;
                } else {
                    events.push((now_ms + FIRST_EVENT_MS, gateway));
                }
            }
            if now_ms >= OPEN_MS && !status.is_closed() {
                let opened_ms = &mut run.opened_ms[gateway];
                *opened_ms = now_ms.min(*opened_ms);
            }
        }
    }
    run
}

/// One probe at once and one every 200 ms from each gateway, or, with many of them, one at once from each and then twice
/// the 4 that all together send in this time, as their phases are random.
fn most_refusals(gateways: usize) -> usize {
    let intervals = usize::try_from((OPEN_MS - GATEWAYS_BACK_MS).div_ceil(200)).unwrap();
    (gateways * (1 + intervals)).min(gateways + 2 * 4 * intervals)
}

/// Guards against gateways that send their load into a group that stalls. Each sends its first request and few others.
#[test]
fn few_requests_are_sent_into_a_group_that_stalls() {
    for (gateways, interval_ms) in [(1, 20), (4, 30), (30, 250), (72, 280)] {
        for seed in SEEDS {
            let run = play(gateways, interval_ms, Policy::Present, Heartbeats::Arrive, seed);
            let before = play(gateways, interval_ms, Policy::OpenAtStart, Heartbeats::Arrive, seed);
            println!("{gateways} gateways: {} refusals, before {}", run.refusals, before.refusals);
            let most = most_refusals(gateways);
            assert!(run.refusals <= most, "{gateways}: {run:?}");
            assert!(before.refusals > most, "{gateways}: the bound shows nothing: {before:?}");
        }
    }
}

/// Guards against gateways that learn late that the group serves: each knows within the time of two probes and a first
/// event.
#[test]
fn all_gateways_learn_soon_that_the_group_serves() {
    for (gateways, interval_ms) in [(1, 20), (4, 30), (30, 250), (72, 280)] {
        for heartbeats in [Heartbeats::Arrive, Heartbeats::Lost] {
            for seed in SEEDS {
                let run = play(gateways, interval_ms, Policy::Present, heartbeats, seed);
                let latest_ms = run.opened_ms.iter().max().unwrap() - OPEN_MS;
                println!("{gateways} gateways, {heartbeats:?}: open after {latest_ms} ms");
                assert!(latest_ms <= 2 * 250 + FIRST_EVENT_MS, "{gateways}, {heartbeats:?}");
            }
        }
    }
}

/// Guards against a first request that waits although the group serves.
#[test]
fn the_first_request_is_sent_at_once() {
    for gateways in [1, 72, 1_000] {
        assert_eq!(unknown().enter(gateways, u64::MAX, at(0)), GroupEntry::Probe);
    }
}

/// Guards against a gateway that waits for a lost probe.
#[test]
fn another_probe_follows_a_lost_one_within_250_ms() {
    let mut status = unknown();
    assert_eq!(status.enter(1, u64::MAX, at(0)), GroupEntry::Probe);
    assert_eq!(status.enter(1, u64::MAX, at(1)), GroupEntry::Closed);
    assert_eq!(status.enter(1, u64::MAX, at(250)), GroupEntry::Probe);
    // A connection that was not made says nothing of the group, and neither does one that has ended.
    status.record_unsent(at(260));
    assert_eq!(status.enter(1, u64::MAX, at(260)), GroupEntry::Probe);
    let mut one_of_many = unknown();
    one_of_many.enter(72, u64::MAX, at(0));
    assert_eq!(one_of_many.enter(72, u64::MAX, at(250)), GroupEntry::Closed, "others probe");
    one_of_many.record_lost(at(300));
    assert_eq!(one_of_many.enter(72, u64::MAX, at(301)), GroupEntry::Closed);
    assert_eq!(one_of_many.enter(72, u64::MAX, at(550)), GroupEntry::Probe);
}

/// Guards against a gateway that waits for the probes of others because one rank has refused its request while the group
/// serves: others have no reason to probe it, nor to tell of it.
#[test]
fn a_group_that_has_served_is_probed_by_each_gateway() {
    let mut status = unknown();
    status.record_event(at(0));
    status.record_refusal(listed(1, true), 72, u64::MAX, at(60_000));
    assert_eq!(status.enter(72, u64::MAX, at(60_000)), GroupEntry::Closed);
    assert_eq!(status.enter(72, u64::MAX, at(60_250)), GroupEntry::Probe);
    assert_eq!(status.enter(72, u64::MAX, at(60_500)), GroupEntry::Probe);
}

/// Guards against requests that wait while the group serves.
#[test]
fn an_event_or_a_later_formation_opens_a_group() {
    let mut by_event = unknown();
    assert!(by_event.record_event(at(0)));
    assert_eq!(by_event.enter(72, 0, at(0)), GroupEntry::Open);
    assert!(!by_event.record_event(at(1)), "it was open");

    let mut by_list = unknown();
    assert!(!by_list.record_listed(listed(1, true)), "the formation from before the restart");
    assert!(!by_list.record_listed(listed(2, false)), "a formation that is not complete");
    assert!(by_list.is_closed());
    assert!(by_list.record_listed(listed(2, true)));
    assert!(!by_list.is_closed());
    by_list.record_refusal(listed(2, true), 1, 0, at(10));
    assert!(!by_list.record_listed(listed(2, true)), "the formation that refuses");
    assert!(by_list.record_listed(listed(3, true)));
}

/// Guards against old news that opens a group which stalls or refuses, and against a single gateway that has restarted
/// and does not believe the others.
#[test]
fn an_event_that_others_tell_of_opens_a_group_if_it_is_recent() {
    assert!(unknown().record_reported(at(5_000), at(5_100)));
    assert!(!unknown().record_reported(at(5_000), at(6_500)), "the group may stall since");
    let mut refusing = unknown();
    refusing.record_refusal(listed(1, true), 1, 0, at(5_050));
    assert!(!refusing.record_reported(at(5_000), at(5_100)), "before the refusal");
    assert!(refusing.record_reported(at(5_060), at(5_100)));
}

/// Guards against news that circulates without end, and against bytes in the heartbeats of a calm fleet.
#[test]
fn others_are_told_of_own_events_while_that_is_news() {
    let mut by_report = unknown();
    by_report.record_reported(at(0), at(0));
    assert_eq!(by_report.reported_age_ms(true, at(0)), None, "it has received no event itself");
    let mut by_event = unknown();
    by_event.record_event(at(0));
    assert_eq!(by_event.reported_age_ms(false, at(300)), Some(300));
    assert_eq!(by_event.reported_age_ms(true, at(1_500)), None, "the group may stall since");
    by_event.record_event(at(60_000));
    assert_eq!(by_event.reported_age_ms(false, at(60_000)), None, "no other gateway needs it");
    assert_eq!(by_event.reported_age_ms(true, at(60_000)), Some(0));
}

/// Guards against refusals of requests that could be served: only a stall whose end was seen tells when the group can
/// serve at the earliest.
#[test]
fn only_a_stall_whose_end_was_seen_bounds_the_opening() {
    let mut stalled = unknown();
    assert_eq!(stalled.serves_from(at(0)), at(0));
    stalled.enter(1, 0, at(0));
    stalled.record_refusal(listed(1, true), 1, 0, at(700));
    let serves_from = stalled.serves_from(at(700));
    assert!(serves_from > at(700) && serves_from <= at(700 + OPEN_MS - STALL_END_MS));
    // Further refusals do not move it.
    stalled.record_refusal(listed(1, true), 1, 0, at(900));
    assert_eq!(stalled.serves_from(at(900)), serves_from);
    assert_eq!(stalled.serves_from(at(2_000)), at(2_000));

    let mut forming = unknown();
    forming.enter(1, 0, at(0));
    forming.record_refusal(listed(1, true), 1, 0, at(5));
    assert_eq!(forming.serves_from(at(5)), at(5), "it may have formed for long");
    let refused = GroupAvailability::Refusing { refused: at(5), forming_since: None };
    assert_eq!(forming.availability(), refused);
}

/// Guards against callers that come back before the group can serve, all at once, or after they have given up.
#[test]
fn refused_callers_come_back_spread_over_a_third_of_their_time() {
    let mut random = StdRng::seed_from_u64(1);
    let times: Vec<u64> =
        (0..1_000).map(|_| forming_return_ms(at(6_000), at(300), random.random(), at(0))).collect();
    assert!(times.iter().all(|ms| (300..=2_000).contains(ms)), "{times:?}");
    let early = times.iter().filter(|ms| **ms < 1_150).count();
    assert!((400..600).contains(&early), "{early} of 1,000 in the first half");
    let soon = forming_return_ms(at(600), at(300), u64::MAX, at(0));
    assert!(soon <= 200, "a third of the time that is left");
}
