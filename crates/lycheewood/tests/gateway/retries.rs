//! What is sent again, and what a refusal promises.

use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};

use lycheewood::EndpointAvailability;

use crate::world::{Act, World, answer, field, good, request, routes};

/// Guards against a request that may not repeat running twice, and against a refusal that says it has
/// not run when it may have.
#[test]
fn a_request_that_may_have_run_is_sent_again_only_if_it_may_repeat() {
    for (path, sent, status) in [("/once/x", 1, 502), ("/read/x", 2, 502)] {
        let mut world = World::with_routes();
        world.endpoint("s1", |_| Act::Write(Vec::new()));
        world.endpoint("s2", |_| Act::Write(Vec::new()));
        let reply = world.call(&request(path, "id-1"));
        assert_eq!((world.seen().len(), reply.status), (sent, status), "{path}");
    }
}

/// Guards against giving up when an endpoint says that it has not run the request.
#[test]
fn a_server_that_has_not_run_the_request_is_followed_by_another() {
    for path in ["/once/x", "/read/x"] {
        let mut world = World::with_routes();
        for id in ["s1", "s2"] {
            world.endpoint(id, |seen| {
                if seen.endpoint == "s1" {
                    Act::Write(answer(seen, "503 Service Unavailable", "X-Not-Run: 1\r\n", ""))
                } else {
                    Act::Write(good(seen, "ok"))
                }
            });
        }
        for id in ["id-1", "id-2", "id-3"] {
            assert_eq!(world.call(&request(path, id)).status, 200, "{path}");
        }
    }
}

/// Guards against passing on a refusal of an endpoint as an own answer, and against sending the caller back
/// at once.
#[test]
fn a_refusal_of_all_servers_is_passed_on_with_a_time_to_come_back() {
    let mut world = World::with_routes();
    world.endpoint("s1", |seen| {
        Act::Write(answer(seen, "503 Service Unavailable", "X-Not-Run: 1\r\n", "full"))
    });
    let reply = world.call(&request("/once/x", "id-1"));
    assert_eq!((reply.status, reply.body.as_str()), (503, "full"));
    assert_eq!(field(&reply.head, "retry-after").as_deref(), Some("1"));
}

/// Guards against a 503 after a first attempt that may have run.
#[test]
fn a_refusal_after_an_attempt_that_may_have_run_is_not_passed_on() {
    static FIRST: OnceLock<Option<String>> = OnceLock::new();
    let mut world = World::with_routes();
    let script = |seen: &crate::world::Seen| {
        let first = field(&seen.head, "x-expect");
        // Whichever endpoint comes first breaks off; the other one refuses.
        if FIRST.get_or_init(|| first.clone()) == &first {
            Act::Write(Vec::new())
        } else {
            Act::Write(answer(seen, "503 Service Unavailable", "X-Not-Run: 1\r\n", "full"))
        }
    };
    world.endpoint("s1", script);
    world.endpoint("s2", script);
    let reply = world.call(&request("/read/x", "id-1"));
    assert_eq!((world.seen().len(), reply.status), (2, 502));
}

/// Guards against an endpoint's own failure being kept from the caller when no other attempt is left.
#[test]
fn a_server_error_is_tried_elsewhere_only_if_the_request_may_repeat() {
    for (path, sent) in [("/once/x", 1), ("/read/x", 2)] {
        let mut world = World::with_routes();
        for id in ["s1", "s2"] {
            world.endpoint(id, |seen| {
                Act::Write(answer(seen, "500 Internal Server Error", "X-Seal: s\r\n", "bad"))
            });
        }
        let reply = world.call(&request(path, "id-1"));
        assert_eq!((world.seen().len(), reply.status, reply.body.as_str()), (sent, 500, "bad"));
    }
}

/// Guards against a request lost because one endpoint cannot be reached.
#[test]
fn a_server_that_cannot_be_reached_does_not_count_as_an_attempt() {
    let mut world = World::with_routes();
    world.endpoint("s1", |seen| Act::Write(good(seen, "ok")));
    let unused = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    world.list("s2", unused, EndpointAvailability::Ready);
    for id in ["id-1", "id-2", "id-3", "id-4", "id-5"] {
        assert_eq!(world.call(&request("/once/x", id)).status, 200);
    }
}

/// Guards against requests that keep being sent to an address that belongs to another endpoint: after
/// all processes lost power, one answer 421 for each request used the whole retry budget up.
#[test]
fn a_server_that_is_not_at_its_address_gets_no_further_request() {
    let mut world = World::with_routes();
    let other =
        |seen: &crate::world::Seen| Act::Write(answer(seen, "421 Misdirected Request", "", ""));
    world.endpoint("s1", other);
    world.endpoint("s2", |seen| Act::Write(good(seen, "ok")));
    for id in 0..20 {
        assert_eq!(world.call(&request("/once/x", &format!("id-{id}"))).status, 200);
    }
    let misdirected = world.seen().iter().filter(|seen| seen.endpoint == "s1").count();
    assert!(misdirected <= 1, "{misdirected} requests went to the address of another endpoint");
}

/// Guards against an endpoint list that is read 1,500 ms later although requests show that endpoints have been
/// started anew under other names.
#[test]
fn a_server_that_is_not_at_its_address_makes_the_list_doubted() {
    let mut world = World::with_routes();
    world.endpoint("s1", |seen| Act::Write(answer(seen, "421 Misdirected Request", "", "")));
    assert_eq!(world.call(&request("/once/x", "id-1")).status, 503);
    assert!(world.is_list_doubted());
    assert!(!world.is_list_doubted(), "one request makes the list be read once");
}

/// Guards against a caller that is told 421 although other endpoints are there: after a loss of power,
/// requests went to two endpoints that had been started anew and were then refused.
#[test]
fn servers_that_are_not_at_their_addresses_do_not_use_up_the_attempts() {
    // The choice is random: about half of the first requests meet two wrong endpoints in a row.
    for _ in 0..16 {
        let mut world = World::with_routes();
        for id in ["s1", "s2", "s3"] {
            world.endpoint(id, |seen| Act::Write(answer(seen, "421 Misdirected Request", "", "")));
        }
        world.endpoint("s4", |seen| Act::Write(good(seen, "ok")));
        assert_eq!(world.call(&request("/once/x", "id-1")).status, 200);
    }
}

/// Guards against a refusal of another endpoint being passed on as the caller's own.
#[test]
fn a_caller_is_not_told_of_misdirected_requests() {
    let mut world = World::with_routes();
    world.endpoint("s1", |seen| Act::Write(answer(seen, "421 Misdirected Request", "", "")));
    let reply = world.call(&request("/once/x", "id-1"));
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(field(&reply.head, "retry-after").is_some());
}

/// Guards against work on a draining endpoint.
#[test]
fn a_draining_server_gets_no_request() {
    let mut world = World::with_routes();
    let leaving = world.endpoint("s1", |seen| Act::Write(good(seen, "ok")));
    world.endpoint("s2", |seen| Act::Write(good(seen, "ok")));
    world.list("s1", leaving, EndpointAvailability::Draining);
    for id in ["id-1", "id-2", "id-3", "id-4", "id-5", "id-6"] {
        assert_eq!(world.call(&request("/read/x", id)).status, 200);
    }
    assert!(world.seen().iter().all(|seen| seen.endpoint == "s2"));
}

fn refusal(seen: &crate::world::Seen) -> Act {
    Act::Write(answer(seen, "503 Service Unavailable", "X-Not-Run: 1\r\n", ""))
}

/// Guards against callers that get the refusal of a group that forms anew, come back once, and are refused
/// again: after a loss of power 140 requests ended like this (trouble-1 of tread-coop, seed 1).
#[test]
fn requests_wait_while_a_whole_group_refuses() {
    let mut world = World::start();
    let mut table = routes(1);
    for route in &mut table.routes {
        route.timeout_ms = 20_000;
    }
    world.offer(table);
    let arrivals = Arc::new(AtomicUsize::new(0));
    for (rank, id) in ["s1", "s2"].into_iter().enumerate() {
        let arrivals = Arc::clone(&arrivals);
        world.rank(id, rank, move |seen| match arrivals.fetch_add(1, Ordering::Relaxed) {
            0..3 => refusal(seen),
            _ => Act::Write(good(seen, "ok")),
        });
    }
    // More refusals than the route allows attempts; none of them ran the request.
    let patient = request("/once/x", "id-1").replace("X-Deadline: 3000", "X-Deadline: 20000");
    assert_eq!(world.call(&patient).status, 200);
    assert_eq!(arrivals.load(Ordering::Relaxed), 4);
}

/// Guards against a whole group that gets no request because one of its endpoints refuses some.
#[test]
fn a_group_is_open_while_another_of_its_servers_answers() {
    let mut world = World::with_routes();
    world.rank("s1", 0, refusal);
    world.rank("s2", 1, |seen| Act::Write(good(seen, "ok")));
    for id in 0..10 {
        assert_eq!(world.call(&request("/once/x", &format!("id-{id}"))).status, 200);
    }
    // At most the first refusal came before any sign of life; the endpoint was then avoided as failing.
    let to_refusing = world.seen().iter().filter(|seen| seen.endpoint == "s1").count();
    assert!(to_refusing <= 5, "{to_refusing} requests went to the endpoint that refuses");
}

/// Guards against a request that is sent to the same rank again and again while another one would answer:
/// the choice among idle ranks is random, and one request in eight met the refusing rank until its time was over.
#[test]
fn a_request_refused_by_one_rank_tries_another_rank_next() {
    // Half of the first choices fall on the refusing rank.
    for _ in 0..16 {
        let mut world = World::with_routes();
        world.rank("s1", 0, refusal);
        world.rank("s2", 1, |seen| Act::Write(good(seen, "ok")));
        assert_eq!(world.call(&request("/once/x", "id-1")).status, 200);
        let refused = world.seen().iter().filter(|seen| seen.endpoint == "s1").count();
        assert!(refused <= 1, "the refusing rank got the request {refused} times");
    }
}

/// Guards against a request that waits because a group of another service refuses: its own service has no
/// endpoints, and waiting brings none.
#[test]
fn a_refusing_group_holds_up_its_own_service_only() {
    let mut world = World::start();
    let mut table = routes(1);
    for route in &mut table.routes {
        // A wait would be longer than callers here read.
        route.timeout_ms = 80_000;
        if route.name == "read" {
            route.split[0].service = "elsewhere".to_owned();
        }
    }
    world.offer(table);
    world.rank("s1", 0, refusal);
    world.rank("s2", 1, refusal);
    let patient =
        |path: &str, id: &str| request(path, id).replace("X-Deadline: 3000", "X-Deadline: 80000");
    world.wait_until_ready();
    let mut waiting = world.connect();
    waiting.write_all(patient("/once/x", "id-1").as_bytes()).expect("sent");
    while world.seen().len() < 2 {
        std::thread::park_timeout(std::time::Duration::from_millis(5));
    }
    assert_eq!(world.call(&patient("/read/x", "id-2")).status, 503);
}
