//! Orders to ranks through agents that are missing or silent.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_trait::async_trait;
use lycheewood::{
    Agent, AgentRanks, Clock, InstanceId, OrderReply, RankAddress, RankClient, RankCounts,
    RankOrder, RankStatus,
};

/// A rank that counts orders, and carries all but the first ones out.
#[derive(Default)]
struct Obedient {
    orders: AtomicUsize,
    unanswered: usize,
}

#[async_trait]
impl RankClient for Obedient {
    async fn status(&self, _: &RankAddress) -> Option<RankStatus> {
        Some(RankStatus::default())
    }

    async fn counts(&self, _: &RankAddress, _: usize) -> Option<RankCounts> {
        None
    }

    async fn held_experts(&self, _: &RankAddress) -> Option<Vec<Vec<usize>>> {
        None
    }

    async fn order(&self, _: &RankAddress, _: u64, _: &RankOrder) -> OrderReply {
        match self.orders.fetch_add(1, Ordering::Relaxed) {
            given if given < self.unanswered => OrderReply::Unknown,
            _ => OrderReply::Done,
        }
    }
}

fn rank() -> RankAddress {
    RankAddress { endpoint: InstanceId::new("s"), address: (Ipv4Addr::LOCALHOST, 1).into() }
}

fn order_twice(port: u16) -> (OrderReply, OrderReply, usize) {
    let direct = Arc::new(Obedient::default());
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

/// Guards against a group that is held for seconds because the orders to arm one rank go to the frozen
/// machine of its agent again and again (trouble-2 of tread-coop, seed 392278877294).
#[test]
fn a_silent_agent_is_passed_over_when_an_order_is_given_again() {
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let port = silent.local_addr().expect("an address").port();
    assert_eq!(order_twice(port), (OrderReply::Unknown, OrderReply::Done, 1));
}

/// Guards against ranks that get no order because no agent runs beside them.
#[test]
fn a_rank_without_an_agent_is_ordered_directly() {
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let port = closed.local_addr().expect("an address").port();
    drop(closed);
    assert_eq!(order_twice(port), (OrderReply::Done, OrderReply::Done, 2));
}

/// Guards against a held group that waits for the machine that gave the order to hold: an order through
/// another process reaches the rank although the agent beside it is silent, and without that agent.
#[test]
fn an_order_reaches_its_rank_through_a_relay() {
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let port = silent.local_addr().expect("an address").port();
    let relayed = Arc::new(Obedient::default());
    let relay =
        Agent::relay((Ipv4Addr::LOCALHOST, 0).into(), Arc::clone(&relayed) as Arc<dyn RankClient>)
            .expect("a relay");
    let direct = Arc::new(Obedient::default());
    let ranks = AgentRanks::new(Arc::clone(&direct) as Arc<dyn RankClient>, port, Clock::system());
    let order = RankOrder::Hold { step: 5 };
    let reply = relay.run_until(ranks.order_through(relay.address(), &rank(), 1, &order));
    assert_eq!(reply, OrderReply::Done);
    let count = |ranks: &Obedient| ranks.orders.load(Ordering::Relaxed);
    assert_eq!((count(&relayed), count(&direct)), (1, 0));
}

/// Guards against a group that stands still for rounds of calls between machines, because orders to some
/// of its ranks get no reply (kind `applied_late`).
#[test]
fn an_agent_gives_an_order_again_until_its_rank_replies() {
    let rank_client = Arc::new(Obedient { unanswered: 3, ..Obedient::default() });
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let agent = Agent::start(address, rank().address, rank_client.clone()).expect("an agent");
    let direct = Arc::new(Obedient::default());
    let ranks = AgentRanks::new(direct, agent.address().port(), Clock::system());
    let order = RankOrder::Arm { version: 1, step: 5 };
    let reply = agent.run_until(ranks.order(&rank(), 1, &order));
    assert_eq!(reply, OrderReply::Done);
    assert_eq!(rank_client.orders.load(Ordering::Relaxed), 4);
}

/// Guards against orders of a holder whose lease passed on while it could not reach the log.
#[test]
fn an_agent_refuses_orders_under_an_earlier_lease() {
    let rank_client = Arc::new(Obedient::default());
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let agent = Agent::start(address, rank().address, rank_client.clone()).expect("an agent");
    let holder = |fence| {
        let direct = Arc::new(Obedient::default());
        let ranks = AgentRanks::new(direct, agent.address().port(), Clock::system());
        ranks.set_fence(fence);
        ranks
    };
    let (former, present) = (holder(4), holder(6));
    let order = RankOrder::Arm { version: 1, step: 5 };
    agent.run_until(async {
        assert_eq!(former.order(&rank(), 1, &order).await, OrderReply::Done);
        // The present holder looks at the rank before it gives orders.
        assert!(present.status(&rank()).await.is_some());
        assert_eq!(former.order(&rank(), 1, &order).await, OrderReply::Unknown);
        assert!(former.is_superseded() && !present.is_superseded());
        assert_eq!(present.order(&rank(), 1, &order).await, OrderReply::Done);
    });
    assert_eq!(rank_client.orders.load(Ordering::Relaxed), 2);
}

/// Guards against an order past the agents that would refuse it, from a holder that cannot reach the log and
/// may have been replaced.
#[test]
fn no_order_goes_past_a_missing_agent_while_the_log_is_away() {
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let port = closed.local_addr().expect("an address").port();
    drop(closed);
    let direct = Arc::new(Obedient::default());
    let ranks = AgentRanks::new(Arc::clone(&direct) as Arc<dyn RankClient>, port, Clock::system());
    ranks.allow_direct_orders(false);
    let order = RankOrder::Arm { version: 1, step: 5 };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    assert_eq!(runtime.block_on(ranks.order(&rank(), 1, &order)), OrderReply::Unknown);
    assert_eq!(direct.orders.load(Ordering::Relaxed), 0);
}
