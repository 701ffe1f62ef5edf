//! Decisions about forwarded requests: routes, endpoint list, peers, load balancing, queueing and event framing.

use lycheewood::{
    About, BalancingCandidate, CountTracker, EndpointAvailability, EndpointChange, EndpointEntry,
    EndpointList, EndpointRecord, EngineProfile, EventSplitter, FailureDomain, Heartbeat,
    HeartbeatExtension, Incarnation, InstanceId, Offset, PeerTracker, QueueDeadlines, QueuePhase,
    RankCounts, RawRoute, RawRouteTable, RawRouteWorkspace, RawTrafficShare, RequestKind,
    RouteTable, RouteTableError, TargetName, Timestamp, choose_by_load, endpoint_tag, event_id,
    in_flight_limit, max_batch, queue_phase, switch_lead_ms, switch_step,
};
use proptest::prelude::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

fn route(name: &str, prefix: &str, split: &[(&str, u64)]) -> RawRoute {
    let share = |(service, weight): &(&str, u64)| RawTrafficShare {
        service: (*service).into(),
        weight: *weight,
    };
    RawRoute {
        name: name.into(),
        host: "One.example".into(),
        path_prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        target_ms: 100,
        priority: 1,
        split: split.iter().map(share).collect(),
        max_attempts: 2,
        allows_anonymous: false,
        is_resumable: false,
        target_gap_ms: None,
        allowed_regions: None,
    }
}

fn table(routes: Vec<RawRoute>) -> RawRouteTable {
    RawRouteTable { version: 1, routes, ..RawRouteTable::default() }
}

/// Guards against a shorter prefix that matches requests of a longer one, and against case-sensitive hosts.
#[test]
fn the_longest_prefix_wins() {
    let routes = vec![route("a", "/a/", &[("s", 1)]), route("ab", "/a/b/", &[("s", 1)])];
    let table = RouteTable::try_from(table(routes)).expect("a table");
    let name = |path: &str| table.route("one.EXAMPLE:8080", path).map(|route| route.name.as_str());
    assert_eq!(name("/a/b/c"), Some("ab"));
    assert_eq!(name("/a/bc"), Some("a"));
    assert_eq!(name("/b/"), None);
    assert!(table.route("two.example", "/a/b/c").is_none());
}

/// Guards against a traffic split that ignores weights or sends requests to a service of weight 0.
#[test]
fn a_split_follows_its_weights() {
    let split = [("x", 90), ("none", 0), ("y", 10)];
    let table = RouteTable::try_from(table(vec![route("a", "/", &split)])).expect("a table");
    let route = table.route("one.example", "/").expect("a route");
    let count = |name: &str| (0..100).filter(|n| route.service(*n).as_str() == name).count();
    assert_eq!((count("x"), count("y"), count("none")), (90, 10, 0));
}

/// Guards against accepting a route table in which a route has no service or two workspaces share a key.
#[test]
fn an_unusable_table_is_refused_as_a_whole() {
    let wrong = RouteTable::try_from(table(vec![route("a", "/a", &[("s", 1)])]));
    assert!(matches!(wrong, Err(RouteTableError::Prefix { .. })));
    let nowhere = RouteTable::try_from(table(vec![route("a", "/", &[("s", 0)])]));
    assert!(matches!(nowhere, Err(RouteTableError::NoService { .. })));
    let workspace = |name: &str| RawRouteWorkspace {
        name: name.into(),
        keys: vec!["k".into()],
        priority: None,
        allowed_regions: None,
    };
    let shared =
        RawRouteTable { workspaces: vec![workspace("a"), workspace("b")], ..table(Vec::new()) };
    assert!(matches!(RouteTable::try_from(shared), Err(RouteTableError::SharedKey { .. })));
}

fn entry(id: &str, state: EndpointAvailability) -> EndpointRecord {
    EndpointRecord::Entry(EndpointEntry {
        id: InstanceId::new(id),
        service: TargetName::new("s"),
        address: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: FailureDomain::new("a"),
        state,
        slots: 4,
        group: None,
        started_ms: 0,
        cold_left_ms: 0,
        write_count: 0,
    })
}

fn change(offset: u64, id: &str, record: EndpointRecord) -> EndpointChange {
    EndpointChange { offset: Offset(offset), id: InstanceId::new(id), record }
}

fn ready(list: &EndpointList) -> usize {
    list.index().len()
}

/// Guards against requests to a draining endpoint because an older record is read again.
#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let mut list = EndpointList::default();
    list.apply(change(5, "a", entry("a", EndpointAvailability::Draining)), at(0));
    assert!(!list.apply(change(3, "a", entry("a", EndpointAvailability::Ready)), at(1)));
    assert!(!list.replace(
        vec![change(3, "a", entry("a", EndpointAvailability::Ready))],
        Offset(4),
        at(2)
    ));
    assert_eq!(ready(&list), 0);
}

/// Guards against using the old entry of an endpoint that restarted at the same address under a new name, until
/// that entry expires.
#[test]
fn only_the_newest_entry_of_an_address_is_used() {
    let mut list = EndpointList::default();
    let entry_at = |id: &str, port: u16| {
        let EndpointRecord::Entry(entry) = entry(id, EndpointAvailability::Ready) else {
            unreachable!()
        };
        EndpointRecord::Entry(EndpointEntry { address: ([127, 0, 0, 1], port).into(), ..entry })
    };
    list.apply(change(0, "old", entry_at("old", 1)), at(0));
    list.apply(change(1, "other", entry_at("other", 2)), at(0));
    list.apply(change(2, "new", entry_at("new", 1)), at(0));
    let ids = |list: &EndpointList| {
        list.index().all().map(|entry| entry.id.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(ids(&list), ["new", "other"]);
    // The entry that was written last belongs to the live endpoint.
    list.apply(change(3, "old", entry_at("old", 1)), at(0));
    assert_eq!(ids(&list), ["old", "other"]);
}

/// Guards against using an endpoint whose record cannot be decoded, and against side effects on other endpoints.
#[test]
fn an_unreadable_entry_names_no_server_and_leaves_the_others() {
    let mut list = EndpointList::default();
    list.apply(change(0, "a", entry("a", EndpointAvailability::Ready)), at(0));
    list.apply(change(1, "b", EndpointRecord::Unreadable), at(0));
    assert_eq!(ready(&list), 1);
    list.apply(change(2, "a", EndpointRecord::Unreadable), at(0));
    assert_eq!(ready(&list), 0);
}

/// Guards against losing all endpoints whose entries expired during an outage of the list, and against using
/// such an endpoint for longer than a draining one.
#[test]
fn lapsed_entries_count_for_a_short_time_after_an_outage() {
    let mut list = EndpointList::default();
    list.apply(change(0, "a", entry("a", EndpointAvailability::Ready)), at(0));
    list.apply(change(1, "b", entry("b", EndpointAvailability::Ready)), at(0));
    list.on_list_recovered(at(10_000));
    list.replace(Vec::new(), Offset(4), at(10_001));
    assert_eq!(ready(&list), 2);
    list.apply(change(4, "a", entry("a", EndpointAvailability::Ready)), at(10_500));
    assert!(list.expire(at(12_000)));
    assert_eq!(ready(&list), 1);
    // Without an outage, removal takes effect immediately.
    list.apply(change(5, "a", EndpointRecord::Removed), at(20_000));
    assert_eq!(ready(&list), 0);
}

fn heartbeat(incarnation: u64, sequence: u64, is_ready: bool) -> Heartbeat {
    Heartbeat {
        about: Some(About {
            instance: InstanceId::new("g"),
            failure_domain: FailureDomain::new("a"),
            caller_address: "127.0.0.1:9".parse().expect("an address"),
            processor_millicores: 0,
        }),
        incarnation: Incarnation(incarnation),
        sequence,
        is_ready,
        leading: None,
        route_version: Some(3),
        endpoints_next: Offset(7),
        reads: false,
        in_flight: Vec::new(),
        extension: HeartbeatExtension::default(),
    }
}

/// Guards against advertising a stopping instance again because of a late datagram, and against advertising an
/// instance that failed without notice.
#[test]
fn a_leaving_or_silent_instance_is_told_to_nobody() {
    let from = "127.0.0.1:5".parse().expect("an address");
    let mut tracker = PeerTracker::default();
    tracker.apply(from, heartbeat(1, 1, true), at(0));
    let is_advertised =
        |peers: &PeerTracker, now| peers.table(now).peers.values().any(|p| p.is_advertisable(now));
    assert!(is_advertised(&tracker, at(100)));
    assert!(!is_advertised(&tracker, at(1_600)));
    tracker.apply(from, heartbeat(1, 3, false), at(200));
    assert!(!tracker.apply(from, heartbeat(1, 2, true), at(210)));
    assert!(!is_advertised(&tracker, at(220)));
    // A new incarnation at the same address replaces the first one permanently.
    tracker.apply(from, heartbeat(2, 1, true), at(300));
    assert!(!tracker.apply(from, heartbeat(1, 4, false), at(310)));
    assert!(is_advertised(&tracker, at(320)));
}

/// Guards against holding back less urgent requests for urgent ones that an instance told of before it fell silent.
#[test]
fn waiting_requests_of_all_instances_with_recent_heartbeats_count() {
    let mut tracker = PeerTracker::default();
    for (port, received_ms) in [(5, 0), (6, 1_000)] {
        let mut heartbeat = heartbeat(1, 1, true);
        heartbeat.extension.waiting = vec![(0, 2), (200, 1)];
        tracker.apply(([127, 0, 0, 1], port).into(), heartbeat, at(received_ms));
    }
    assert_eq!(tracker.table(at(1_000)).waiting().pairs(), [(0, 4), (9, 2)]);
    assert_eq!(tracker.table(at(2_000)).waiting().pairs(), [(0, 2), (9, 1)]);
}

/// Guards against late stream events because an endpoint runs too many requests concurrently.
#[test]
fn a_batch_keeps_the_pace() {
    let engine = EngineProfile {
        slots: 12,
        step_ms: 4.55,
        per_request_ms: 0.905,
        tokens_per_event: 4,
        prefill_tokens_per_s: 61_400.0,
        typical_prompt_tokens: 835.0,
        expert_share: 0.85,
        cost: None,
    };
    assert_eq!(max_batch(&engine, 10_000), 12);
    assert_eq!(max_batch(&engine, 1), 1);
    let batch = max_batch(&engine, 120);
    assert!((5..12).contains(&batch), "{batch}");
    assert!(max_batch(&engine, 100) <= batch);
}

/// Guards against queueing a request until its response is useless.
#[test]
fn a_request_waits_in_turn_and_not_for_ever() {
    let deadlines = QueueDeadlines::new(at(0), 500, at(8_000));
    assert_eq!(queue_phase(&deadlines, at(249)), QueuePhase::OnTime);
    assert_eq!(queue_phase(&deadlines, at(250)), QueuePhase::Late);
    assert_eq!(queue_phase(&deadlines, at(2_000)), QueuePhase::Expired);
    assert_eq!(deadlines.phase_end(at(0)), at(250));
    assert_eq!(deadlines.phase_end(at(250)), at(2_000));
    assert_eq!(
        (in_flight_limit(7, QueuePhase::OnTime), in_flight_limit(7, QueuePhase::Late)),
        (7, 6)
    );
    assert_eq!(in_flight_limit(1, QueuePhase::Late), 1);
}

/// Guards against interpreting the counters of a restarted rank as new expert selections.
#[test]
fn counts_of_a_new_formation_start_anew() {
    let mut tracker = CountTracker::default();
    let counts =
        |epoch, a, b| RankCounts { epoch, counts: vec![vec![a, b]], ..RankCounts::default() };
    assert_eq!(tracker.record(0, &counts(1, 10, 20)), None);
    assert_eq!(tracker.record(0, &counts(1, 15, 20)), Some(vec![vec![5, 0]]));
    assert_eq!(tracker.record(0, &counts(1, 3, 30)), None);
    assert_eq!(tracker.record(0, &counts(2, 50, 60)), None);
    assert_eq!(tracker.record(0, &counts(2, 51, 62)), Some(vec![vec![1, 2]]));
}

/// Guards against a group that is blocked while lost orders to arm its ranks are retried. With a lead of 60 ms
/// and half of the orders lost, streams stalled until callers gave up, and a lease holder that hung left the
/// group held.
#[test]
fn lost_orders_make_the_lead_of_a_switch_longer() {
    // Agents retry an order every 35 ms.
    let retries_ms = 5 * 35;
    assert!(switch_lead_ms(0) < 100);
    assert!(switch_lead_ms(1) > retries_ms);
    // The held step is at least the lead time ahead.
    assert!((switch_step(10, 50, switch_lead_ms(1)) - 10) * 50 > retries_ms);
}

/// Guards against a group that stands still at each switch although every order gets a reply: ranks are armed and
/// confirmed within some 30 ms, also where passes are short.
#[test]
fn the_held_pass_begins_after_the_ranks_are_armed() {
    for pass_ms in [5, 30, 70] {
        // The pass after the current one may begin at once.
        let passes = switch_step(10, pass_ms, switch_lead_ms(0)) - 11;
        assert!(passes * pass_ms >= 30, "{passes} passes of {pass_ms} ms");
    }
}

/// Guards against a herd effect: all instances send to the few least loaded endpoints until the next heartbeats.
/// With 61 instances and 72 endpoints (the grown sites), some endpoints had 18 requests in flight at a mean of 5.
#[test]
fn choices_from_one_view_do_not_gather_on_a_few_servers() {
    let domain = FailureDomain::new("a");
    let ids: Vec<_> = (0..72).map(|n| InstanceId::new(&n.to_string())).collect();
    let endpoints: Vec<_> = (0..)
        .zip(&ids)
        .map(|(n, id)| BalancingCandidate {
            id,
            failure_domain: &domain,
            slots: 10,
            in_flight: n / 8,
            failures: 0.0,
            is_slow: false,
        })
        .collect();
    let mut chosen = vec![0_u32; endpoints.len()];
    // As many requests as arrive within one heartbeat interval.
    for seed in 0..54 {
        let index = choose_by_load(&endpoints, &domain, &[], seed).expect("an endpoint");
        chosen[index] += 1;
    }
    let most = chosen.iter().max().copied().unwrap_or(0);
    assert!(most <= 8, "{most} of 54 requests went to one endpoint");
    let light: u32 = chosen.iter().take(36).sum();
    assert!(light >= 40, "only {light} of 54 requests went to the less loaded half");
}

/// Guards against requests that cross failure domains unnecessarily, and against a domain whose endpoints are
/// overloaded while others have capacity.
#[test]
fn servers_of_the_own_domain_are_preferred_up_to_a_bound() {
    let (local, remote) = (FailureDomain::new("a"), FailureDomain::new("b"));
    let ids: Vec<_> = (0..8).map(|n| InstanceId::new(&n.to_string())).collect();
    let choose = |local_in_flight, remote_in_flight, seed| {
        let view = |(n, id)| BalancingCandidate {
            id,
            failure_domain: if n < 4 { &local } else { &remote },
            slots: 10,
            in_flight: if n < 4 { local_in_flight } else { remote_in_flight },
            failures: 0.0,
            is_slow: false,
        };
        let endpoints: Vec<_> = (0..).zip(&ids).map(view).collect();
        choose_by_load(&endpoints, &local, &[], seed).expect("an endpoint") < 4
    };
    for seed in 0..16 {
        assert!(
            choose(5, 4, seed),
            "a difference of one request must not select a remote endpoint"
        );
        assert!(!choose(5, 3, seed), "a difference of two requests must select a remote endpoint");
    }
}

/// Guards against sending every heartbeat to every instance: the traffic between failure domains would grow with
/// the square of the number of instances.
#[test]
fn heartbeats_go_to_one_domain_or_to_all() {
    let [first, second, unconfirmed]: [std::net::SocketAddr; 3] =
        ["127.0.0.1:5", "127.0.0.1:6", "127.0.0.1:7"].map(|a| a.parse().expect("an address"));
    let mut tracker = PeerTracker::default();
    tracker.apply(first, heartbeat(1, 1, true), at(0));
    let mut remote = heartbeat(2, 1, true);
    remote.about.as_mut().expect("the heartbeat has `about`").failure_domain =
        FailureDomain::new("b");
    tracker.apply(second, remote, at(0));
    tracker.add_address(unconfirmed, at(0));
    let local: Vec<_> = tracker.addresses(Some(&FailureDomain::new("a"))).collect();
    assert_eq!(local, [first, unconfirmed], "the domain of an unconfirmed address is unknown");
    assert_eq!(tracker.addresses(None).count(), 3);
}

proptest! {
    /// Guards against framing that depends on how the stream is divided into reads.
    #[test]
    fn events_do_not_depend_on_reads(
        ids in prop::collection::vec(0_u64..1_000, 0..20),
        cuts in prop::collection::vec(1_usize..40, 1..60),
        crlf in any::<bool>(),
    ) {
        let line = if crlf { "\r\n" } else { "\n" };
        let expected: Vec<String> =
            ids.iter().map(|id| format!("id: {id}{line}data: x{line}{line}")).collect();
        let text = expected.concat() + "id: 7";
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        let (mut rest, mut cuts) = (text.as_bytes(), cuts.iter().cycle());
        while !rest.is_empty() {
            let (part, left) = rest.split_at((*cuts.next().expect("endless")).min(rest.len()));
            splitter.push(part).expect("short events");
            rest = left;
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let texts: Vec<_> = events.iter().map(|e| String::from_utf8_lossy(e).into_owned()).collect();
        prop_assert_eq!(texts, expected);
        let parsed_ids: Vec<_> = events.iter().filter_map(|event| event_id(event)).collect();
        prop_assert_eq!(parsed_ids, ids);
        prop_assert!(splitter.has_partial());
    }

    /// Guards against choosing an endpoint that must be avoided, and against choosing none while one is left.
    #[test]
    fn a_choice_is_made_among_those_that_are_left(
        loads in prop::collection::vec((0_u32..20, 0.0_f64..3.0), 0..12),
        avoided in prop::collection::vec(0_usize..12, 0..12),
        random in any::<u64>(),
    ) {
        let domain = FailureDomain::new("a");
        let ids: Vec<_> = (0..loads.len()).map(|n| InstanceId::new(&n.to_string())).collect();
        let endpoints: Vec<_> = ids.iter().zip(&loads).map(|(id, (in_flight, failures))| BalancingCandidate {
            id, failure_domain: &domain, slots: 4, in_flight: *in_flight, failures: *failures, is_slow: false,
        }).collect();
        let avoid: Vec<_> = avoided.iter().map(|n| InstanceId::new(&n.to_string())).collect();
        let left = ids.iter().filter(|id| !avoid.contains(id)).count();
        let choice = choose_by_load(&endpoints, &domain, &avoid, random);
        prop_assert_eq!(choice.is_some(), left > 0);
        if let Some(index) = choice {
            prop_assert!(!avoid.contains(&ids[index]));
        }
    }
}

/// Guards against each instance finding out for itself that an endpoint hangs: with 72 instances and a few endpoints that
/// answered nothing for 7 s, 150 requests waited 1.1 s each.
#[test]
fn failures_of_an_endpoint_are_shared() {
    let hung = InstanceId::new("hung");
    let (tag, known) = (0x0102_0304, endpoint_tag(&hung));
    let report = |sequence, failures| {
        let extension = HeartbeatExtension { failures, ..HeartbeatExtension::default() };
        Heartbeat { extension, ..heartbeat(1, sequence, true) }
    };
    let from = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let mut tracker = PeerTracker::default();
    assert!(tracker.table(at(0)).failures(&hung).abs() < 1e-9);
    tracker.apply(from(1), report(1, vec![(tag, 100)]), at(0));
    tracker.apply(from(2), report(1, vec![(known, 100), (tag, 100)]), at(0));
    let shared = tracker.table(at(100)).failures(&hung);
    assert!(shared > 0.0, "the report of one instance counts");
    for port in 3..40 {
        tracker.apply(from(port), report(1, vec![(known, 300)]), at(0));
    }
    let bounded = tracker.table(at(100)).failures(&hung);
    assert!(bounded > shared && bounded <= 3.0, "{bounded}");
    // Reports of instances that are no longer heard expire.
    assert!(tracker.table(at(5_000)).failures(&hung).abs() < 1e-9);
}
