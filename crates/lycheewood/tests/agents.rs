//! Orders to ranks through agents and relays, including agents that are missing or unresponsive.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_trait::async_trait;
use lycheewood::{
    Agent, AgentRanks, Clock, InstanceId, OrderReply, RankAddress, RankClient, RankCounts,
    RankOrder, RankStatus,
};

/// A rank client that counts orders and gives no reply to the first `unanswered` ones.
#[derive(Default)]
struct CountingRankClient {
    orders: AtomicUsize,
    statuses: AtomicUsize,
    unanswered: usize,
}

#[async_trait]
impl RankClient for CountingRankClient {
    async fn status(&self, _: &RankAddress) -> Option<RankStatus> {
        self.statuses.fetch_add(1, Ordering::Relaxed);
        let step = self.orders.load(Ordering::Relaxed) as u64;
        Some(RankStatus { step, ..RankStatus::default() })
    }

    async fn counts(&self, _: &RankAddress, _: usize) -> Option<RankCounts> {
        None
    }

    async fn held_experts(&self, _: &RankAddress) -> Option<Vec<Vec<usize>>> {
        None
    }

    async fn order(&self, _: &RankAddress, _: u64, _: &RankOrder) -> OrderReply {
        match self.orders.fetch_add(1, Ordering::Relaxed) {
            count if count < self.unanswered => OrderReply::Unknown,
            _ => OrderReply::Done,
        }
    }
}

fn rank() -> RankAddress {
    RankAddress { endpoint: InstanceId::new("s"), address: (Ipv4Addr::LOCALHOST, 1).into() }
}

/// Starts a relay that reaches ranks through `ranks`, whose agents listen on `agent_port`.
fn start_relay(agent_port: u16, ranks: &Arc<CountingRankClient>) -> Agent {
    let ranks = Arc::clone(ranks) as Arc<dyn RankClient>;
    Agent::relay((Ipv4Addr::LOCALHOST, 0).into(), agent_port, ranks).expect("a relay")
}

/// A client under the term `fence`, whose direct orders count for nothing.
fn holder(fence: u64, agent_port: u16) -> AgentRanks {
    let direct = Arc::new(CountingRankClient::default());
    let ranks = AgentRanks::new(direct, agent_port, Clock::system());
    ranks.set_fence(fence);
    ranks
}

/// Sends an order twice through the agent at `port`. Returns both replies and the number of orders that were
/// sent directly.
fn send_order_twice(port: u16) -> (OrderReply, OrderReply, usize) {
    let direct = Arc::new(CountingRankClient::default());
    let ranks = AgentRanks::new(Arc::clone(&direct) as Arc<dyn RankClient>, port, Clock::system());
    let order = RankOrder::Hold { step: 5 };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let first = ranks.order(&rank(), 1, &order).await;
        let second = ranks.order(&rank(), 1, &order).await;
        (first, second, direct.orders.load(Ordering::Relaxed))
    })
}

/// Guards against a group that is held for seconds because repeated orders to arm one rank go to an agent on
/// a frozen machine (trouble-2 of tread-coop, seed 392278877294).
#[test]
fn a_silent_agent_is_passed_over_when_an_order_is_given_again() {
    let unresponsive = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let port = unresponsive.local_addr().expect("an address").port();
    assert_eq!(send_order_twice(port), (OrderReply::Unknown, OrderReply::Done, 1));
}

/// Guards against ranks that receive no orders because no agent runs on their machine.
#[test]
fn a_rank_without_an_agent_is_ordered_directly() {
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let port = closed.local_addr().expect("an address").port();
    drop(closed);
    assert_eq!(send_order_twice(port), (OrderReply::Done, OrderReply::Done, 2));
}

/// Guards against a held group that depends on the machine that sent the hold. A relayed order reaches its
/// rank without the rank's agent, which does not respond.
#[test]
fn an_order_reaches_its_rank_through_a_relay() {
    let unresponsive = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let port = unresponsive.local_addr().expect("an address").port();
    let relayed = Arc::new(CountingRankClient::default());
    let relay = start_relay(port, &relayed);
    let direct = Arc::new(CountingRankClient::default());
    let ranks = AgentRanks::new(Arc::clone(&direct) as Arc<dyn RankClient>, port, Clock::system());
    let order = RankOrder::Hold { step: 5 };
    let reply = relay.run_until(ranks.order_through(relay.address(), &rank(), 1, &order));
    assert_eq!(reply, OrderReply::Done);
    let count = |ranks: &CountingRankClient| ranks.orders.load(Ordering::Relaxed);
    assert_eq!((count(&relayed), count(&direct)), (1, 0));
}

/// Guards against a group that stalls for several round trips between machines because orders to some of its
/// ranks get no reply (kind `applied_late`).
#[test]
fn an_agent_gives_an_order_again_until_its_rank_replies() {
    let rank_client =
        Arc::new(CountingRankClient { unanswered: 3, ..CountingRankClient::default() });
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let agent = Agent::start(address, rank().address, rank_client.clone()).expect("an agent");
    let direct = Arc::new(CountingRankClient::default());
    let ranks = AgentRanks::new(direct, agent.address().port(), Clock::system());
    let order = RankOrder::Arm { version: 1, step: 5 };
    let reply = agent.run_until(ranks.order(&rank(), 1, &order));
    assert_eq!(reply, OrderReply::Done);
    assert_eq!(rank_client.orders.load(Ordering::Relaxed), 4);
}

/// Guards against a held group that waits for a second call to each agent, which reads whether the rank is armed.
#[test]
fn an_agent_tells_the_status_after_an_order_with_its_reply() {
    let rank_client = Arc::new(CountingRankClient { unanswered: 1, ..Default::default() });
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let agent = Agent::start(address, rank().address, rank_client.clone()).expect("an agent");
    let direct = Arc::new(CountingRankClient::default());
    let ranks = AgentRanks::new(direct, agent.address().port(), Clock::system());
    let order = RankOrder::Arm { version: 1, step: 5 };
    let (reply, status) = agent.run_until(ranks.order_and_status(&rank(), 1, &order));
    assert_eq!(reply, OrderReply::Done);
    // The rank reports the orders so far as its step.
    assert_eq!(status.map(|status| status.step), Some(2));
    assert_eq!(rank_client.statuses.load(Ordering::Relaxed), 1);
}

/// Guards against orders from a holder that was replaced while it could not reach the log.
#[test]
fn an_agent_refuses_orders_under_an_earlier_lease() {
    let rank_client = Arc::new(CountingRankClient::default());
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let agent = Agent::start(address, rank().address, rank_client.clone()).expect("an agent");
    let port = agent.address().port();
    let (previous, current) = (holder(4, port), holder(6, port));
    let order = RankOrder::Arm { version: 1, step: 5 };
    agent.run_until(async {
        assert_eq!(previous.order(&rank(), 1, &order).await, OrderReply::Done);
        // A new holder reads the status of each rank before it sends orders.
        assert!(current.status(&rank()).await.is_some());
        assert_eq!(previous.order(&rank(), 1, &order).await, OrderReply::Unknown);
        assert!(previous.is_superseded() && !current.is_superseded());
        assert_eq!(current.order(&rank(), 1, &order).await, OrderReply::Done);
    });
    assert_eq!(rank_client.orders.load(Ordering::Relaxed), 2);
}

/// Guards against a hold that a former holder of the lease sends through a relay after its successor has used that
/// relay.
#[test]
fn a_relay_refuses_orders_under_an_earlier_lease() {
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let port = closed.local_addr().expect("an address").port();
    drop(closed);
    let relayed = Arc::new(CountingRankClient::default());
    let relay = start_relay(port, &relayed);
    let (previous, current) = (holder(4, port), holder(6, port));
    let order = RankOrder::Hold { step: 5 };
    relay.run_until(async {
        for (ranks, expected) in [
            (&previous, OrderReply::Done),
            (&current, OrderReply::Done),
            (&previous, OrderReply::Unknown),
        ] {
            let reply = ranks.order_through(relay.address(), &rank(), 1, &order).await;
            assert_eq!(reply, expected);
        }
        assert!(previous.is_superseded() && !current.is_superseded());
    });
    assert_eq!(relayed.orders.load(Ordering::Relaxed), 2);
}

/// Guards against a hold that a former holder of the lease sends through a relay that its successor has not used. The
/// successor has called the agent of each rank.
#[test]
fn a_relay_refuses_orders_that_the_agent_of_the_rank_would_refuse() {
    let beside = Arc::new(CountingRankClient::default());
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let agent = Agent::start(address, rank().address, beside.clone()).expect("an agent");
    let port = agent.address().port();
    std::thread::spawn(move || agent.run_until(std::future::pending::<()>()));
    let relayed = Arc::new(CountingRankClient::default());
    let relay = start_relay(port, &relayed);
    let (previous, current) = (holder(4, port), holder(6, port));
    let order = RankOrder::Hold { step: 5 };
    relay.run_until(async {
        assert!(current.status(&rank()).await.is_some());
        let reply = previous.order_through(relay.address(), &rank(), 1, &order).await;
        assert_eq!(reply, OrderReply::Unknown);
        assert!(previous.is_superseded());
        let reply = current.order_through(relay.address(), &rank(), 1, &order).await;
        assert_eq!(reply, OrderReply::Done);
    });
    assert_eq!(relayed.orders.load(Ordering::Relaxed), 1);
    // The relayed order itself does not pass through the machine of the rank.
    assert_eq!(beside.orders.load(Ordering::Relaxed), 0);
}

/// Guards against an order that bypasses the agents, from a holder that cannot reach the log and may have
/// been replaced. Only agents refuse such an order.
#[test]
fn no_order_goes_past_a_missing_agent_while_the_log_is_away() {
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let port = closed.local_addr().expect("an address").port();
    drop(closed);
    let direct = Arc::new(CountingRankClient::default());
    let ranks = AgentRanks::new(Arc::clone(&direct) as Arc<dyn RankClient>, port, Clock::system());
    ranks.allow_direct_orders(false);
    let order = RankOrder::Arm { version: 1, step: 5 };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    assert_eq!(runtime.block_on(ranks.order(&rank(), 1, &order)), OrderReply::Unknown);
    assert_eq!(direct.orders.load(Ordering::Relaxed), 0);
}

/// A rank whose requests select experts between two readings, and that starts again after the third.
#[derive(Default)]
struct SelectingRankClient {
    readings: AtomicUsize,
}

fn selected(reading: usize) -> Vec<Vec<u64>> {
    let high = u64::from(u32::MAX);
    match reading {
        0 => vec![vec![0, 127, 128], vec![high, 300, 16_384]],
        1 => vec![vec![5, 127, 4_000], vec![high + 200, 301, 16_384]],
        2 => vec![vec![6, 130, 4_001], vec![high * 8, 302, 16_385]],
        // The rank has started again.
        _ => vec![vec![1, 0, 2], vec![0, 0, 3]],
    }
}

#[async_trait]
impl RankClient for SelectingRankClient {
    async fn status(&self, _: &RankAddress) -> Option<RankStatus> {
        None
    }

    async fn counts(&self, _: &RankAddress, _: usize) -> Option<RankCounts> {
        let counts = selected(self.readings.fetch_add(1, Ordering::Relaxed));
        Some(RankCounts { epoch: 3, slowdown_percent: 120, held_step: Some(9), counts })
    }

    async fn held_experts(&self, _: &RankAddress) -> Option<Vec<Vec<usize>>> {
        None
    }

    async fn order(&self, _: &RankAddress, _: u64, _: &RankOrder) -> OrderReply {
        OrderReply::Unknown
    }
}

/// Guards against demand that is wrong because an agent tells only what has changed since a reading: the caller may
/// have another one, the rank may have started again, and two callers may read in turns around a hand-over.
#[test]
fn counts_arrive_as_the_rank_has_counted_them() {
    let agent = Agent::start(
        (Ipv4Addr::LOCALHOST, 0).into(),
        rank().address,
        Arc::new(SelectingRankClient::default()),
    )
    .expect("an agent");
    let caller = || {
        let direct = Arc::new(CountingRankClient::default());
        AgentRanks::new(direct, agent.address().port(), Clock::system())
    };
    let (first, second) = (caller(), caller());
    agent.run_until(async {
        for (reading, ranks) in [&first, &first, &second, &second, &first].into_iter().enumerate() {
            let counts = ranks.counts(&rank(), 3).await.expect("counts");
            let expected = RankCounts {
                epoch: 3,
                slowdown_percent: 120,
                held_step: Some(9),
                counts: selected(reading),
            };
            assert_eq!(counts, expected, "reading {reading}");
        }
    });
}
