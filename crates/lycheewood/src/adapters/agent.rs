//! Calls to ranks on behalf of another process.
//!
//! An agent makes them beside its rank, where reports are fresh and orders are free. A gateway relays
//! single orders to any rank, so that the machine that gives an order is not one that the next order needs.
//! Both refuse calls under an earlier term of the lease than they know of. [`client`] makes the calls to both.

pub(crate) mod client;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use prometheus::IntCounterVec;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};

use crate::adapters::agent::client::is_superseded_at;
use crate::adapters::gossip::{decode, encode};
use crate::adapters::instance_port::{InstanceLimits, refusal, serve_instances};
use crate::decisions::expert_groups::{OrderReply, RankCounts, RankOrder};
use crate::group_ports::{RankAddress, RankClient};
use crate::wire::rank_call::{PackedCounts, RankCall, RankReply, RankRequest, Reading};

const RANK_PATH: &str = "/rank";
/// The largest call, in bytes. A map of 32 ranks with 256 experts in 60 sets has about 100,000.
const MAX_CALL_BYTES: usize = 1024 * 1024;
/// Most connections at once. An agent is called by the holder of the lease and by relays of its orders, a relay by the
/// holder: one order at a time for each of up to 72 ranks of a group at most.
const MAX_CONNECTIONS: usize = 80;
/// The longest time that a call takes at its agent, in milliseconds.
const SERVE_MS: u64 = 2_000;
/// The longest wait for an agent, in milliseconds; longer than the agent's own wait for its rank.
const CALL_MS: u64 = 250;
/// The longest time that an agent takes to give an order and to read the rank's status, in milliseconds. Together with a
/// round trip to the agent it stays below [`CALL_MS`], after which the agent counts as silent.
const ORDER_AND_STATUS_MS: u64 = 150;
/// The longest wait for an agent that is sent a map, in milliseconds. All ranks of a group are sent it at once, which
/// takes a small machine with a slow link several hundred milliseconds for 64 ranks. The group is not held meanwhile.
const MAP_CALL_MS: u64 = 1_500;

/// The ranks for which calls are served.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ServedRanks {
    /// The rank that listens at this address, beside its agent.
    Beside(SocketAddr),
    /// Those that the calls name, for a relay. Their agents listen on `agent_port`.
    Named { agent_port: u16 },
}

/// Serves calls for ranks. `ended` counts the connections that are ended without an answer.
pub(crate) async fn serve(
    listener: TcpListener,
    ranks: Arc<dyn RankClient>,
    served: ServedRanks,
    ended: Option<IntCounterVec>,
) {
    let fence = Arc::new(AtomicU64::new(0));
    let last_reading = Arc::new(LastReading::new());
    let port = match served {
        ServedRanks::Beside(_) => "agent",
        ServedRanks::Named { .. } => "relay",
    };
    let limits = InstanceLimits {
        port,
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_CALL_BYTES,
        total_ms: SERVE_MS,
    };
    serve_instances(listener, limits, ended, move |call| {
        let (ranks, fence) = (Arc::clone(&ranks), Arc::clone(&fence));
        let last_reading = Arc::clone(&last_reading);
        async move { reply(ranks.as_ref(), served, &fence, &last_reading, &call.body).await }
    })
    .await;
}

async fn reply(
    ranks: &dyn RankClient,
    served: ServedRanks,
    highest: &AtomicU64,
    last_reading: &LastReading,
    body: &[u8],
) -> Response<Full<Bytes>> {
    let Some(RankRequest { endpoint, fence, address, call }) = decode(body) else {
        return refusal(StatusCode::BAD_REQUEST);
    };
    let superseded = || Response::new(Full::new(encode(&RankReply::Superseded)));
    let known = highest.fetch_max(fence, Ordering::Relaxed);
    if known > fence {
        log::info!("call refused server={endpoint} fence={fence} highest={known}");
        return superseded();
    }
    let address = match served {
        ServedRanks::Beside(own) => own,
        ServedRanks::Named { .. } => address,
    };
    let rank = RankAddress { endpoint, address };
    // A relay may not have been called in a later term, but the agent of each rank has: a holder reads the status of
    // all ranks before its first order.
    if let ServedRanks::Named { agent_port } = served
        && matches!(call, RankCall::Order { .. })
        && is_superseded_at(SocketAddr::new(rank.address.ip(), agent_port), &rank, fence).await
    {
        log::info!("relayed order refused server={} fence={fence}", rank.endpoint);
        return superseded();
    }
    let reply = match call {
        RankCall::Status => RankReply::Status(ranks.status(&rank).await),
        RankCall::Counts { experts, base } => {
            let counts = ranks.counts(&rank, experts).await;
            RankReply::Counts(counts.map(|counts| last_reading.pack(&counts, base)))
        }
        RankCall::HeldExperts => RankReply::HeldExperts(ranks.held_experts(&rank).await),
        RankCall::Order { epoch, order, reads_status: false } => {
            RankReply::Order(give_order(ranks, &rank, epoch, &order).await)
        }
        RankCall::Order { epoch, order, reads_status: true } => {
            let status_due = Instant::now() + Duration::from_millis(ORDER_AND_STATUS_MS);
            match give_order(ranks, &rank, epoch, &order).await {
                OrderReply::Done => {
                    let status = timeout_at(status_due, ranks.status(&rank)).await;
                    RankReply::OrderAndStatus(OrderReply::Done, status.ok().flatten())
                }
                reply => RankReply::Order(reply),
            }
        }
    };
    Response::new(Full::new(encode(&reply)))
}

/// The last reading of the counts that was sent, from which the next one tells the difference.
struct LastReading {
    /// Number of the next reading. Starts at random, so that no reading of another run has the same number.
    next: AtomicU64,
    reading: Mutex<Option<Reading>>,
}

impl LastReading {
    fn new() -> Self {
        // 0 stands for no reading.
        let next = AtomicU64::new(rand::random::<u64>().max(1));
        Self { next, reading: Mutex::default() }
    }

    /// Packs a reading for a caller that has the reading `base`.
    fn pack(&self, counts: &RankCounts, base: u64) -> PackedCounts {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let reading = Reading { id, counts: counts.counts.clone() };
        let mut last = self.reading.lock().unwrap_or_else(PoisonError::into_inner);
        let former = last.replace(reading).filter(|former| former.id == base);
        PackedCounts::pack(id, counts, former.as_ref())
    }
}

/// Times that an order without a reply is given. With one more, the agent itself replied after [`CALL_MS`] at times, and
/// was not called for seconds while its rank was fine.
const ORDER_TRIES: u32 = 5;

/// Gives an order until the rank replies. To give the same order twice is harmless, and beside the rank a
/// reply that does not come at once does not come.
async fn give_order(
    ranks: &dyn RankClient,
    rank: &RankAddress,
    epoch: u64,
    order: &RankOrder,
) -> OrderReply {
    let begun = Instant::now();
    for _ in 1..ORDER_TRIES {
        let reply = ranks.order(rank, epoch, order).await;
        if reply != OrderReply::Unknown || begun.elapsed() > Duration::from_millis(CALL_MS) {
            return reply;
        }
    }
    ranks.order(rank, epoch, order).await
}
