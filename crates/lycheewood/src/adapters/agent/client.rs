//! Client of agents and relays.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use hyper::Method;

use crate::adapters::agent::{CALL_MS, MAP_CALL_MS, RANK_PATH};
use crate::adapters::gossip::{decode, encode};
use crate::adapters::http::{HttpClient, HttpError};
use crate::clock::{Clock, Timestamp};
use crate::decisions::expert_groups::{OrderReply, RankCounts, RankOrder, RankStatus};
use crate::group_ports::{RankAddress, RankClient};
use crate::wire::rank_call::{RankCall, RankReply, RankRequest, Reading};

/// Time for which an agent that gave no reply is not called, in milliseconds; it doubles with each further call without
/// a reply up to [`MAX_SILENT_MS`]. A rank is read directly meanwhile, whose status is then some 200 ms old, so a group
/// was held 230 ms for each switch when a single lost reply excluded an agent for 5 s.
const FIRST_SILENT_MS: u64 = 500;
/// Longest time for which an agent is not called, in milliseconds. A group may be held while an order is repeated, and
/// the machine of the agent may be frozen.
const MAX_SILENT_MS: u64 = 5_000;

/// The longest wait of a relay for the agent of a rank, in milliseconds. Together with an order to the rank it stays
/// below [`CALL_MS`], the wait of the holder for the relay.
const FENCE_CHECK_MS: u64 = 60;

/// Whether the agent at `address` refuses calls under the term `fence`, because it has been called under a later one.
/// `false` if it gives no reply: an order of the holder itself also passes over an agent that is missing.
pub(super) async fn is_superseded_at(address: SocketAddr, rank: &RankAddress, fence: u64) -> bool {
    let (endpoint, to) = (rank.endpoint.clone(), rank.address);
    let request = RankRequest { endpoint, fence, address: to, call: RankCall::Status };
    let client = HttpClient::new(address, FENCE_CHECK_MS);
    let reply = client.call(Method::POST, RANK_PATH, encode(&request), FENCE_CHECK_MS).await;
    let reply = reply.ok().and_then(|bytes| decode::<RankReply>(&bytes));
    matches!(reply, Some(RankReply::Superseded))
}

/// Speaks to ranks through their agents, and directly to those whose agent is missing or silent.
pub struct AgentRanks {
    direct: Arc<dyn RankClient>,
    port: u16,
    clock: Clock,
    /// Agents that gave no reply, and since when.
    silent: Mutex<HashMap<SocketAddr, Silence>>,
    /// The last reading of the counts of each rank.
    readings: Mutex<HashMap<SocketAddr, Reading>>,
    /// The number of the own term, which each call carries.
    fence: AtomicU64,
    /// Whether an agent has refused that number.
    is_superseded: AtomicBool,
    is_direct_allowed: AtomicBool,
}

/// Calls without a reply to one agent.
#[derive(Clone, Copy)]
struct Silence {
    since: Timestamp,
    pause_ms: u64,
}

/// A call that gives an order to a rank.
fn order_call(epoch: u64, order: &RankOrder, reads_status: bool) -> RankCall {
    RankCall::Order { epoch, order: order.clone(), reads_status }
}

/// What became of a call.
enum Called {
    Reply(RankReply),
    /// The agent cannot be reached; the call was not made.
    NoAgent,
    /// No reply: the call may have been made.
    Unknown,
}

impl AgentRanks {
    /// Agents listen on `port` of the machines of their ranks; `direct` speaks to ranks without them.
    #[must_use]
    pub fn new(direct: Arc<dyn RankClient>, port: u16, clock: Clock) -> Self {
        Self {
            direct,
            port,
            clock,
            silent: Mutex::default(),
            readings: Mutex::default(),
            fence: AtomicU64::new(0),
            is_superseded: AtomicBool::new(false),
            is_direct_allowed: AtomicBool::new(true),
        }
    }

    /// Calls under a term of the lease from now on. Numbers begin with 1.
    pub fn set_fence(&self, fence: u64) {
        if self.fence.swap(fence, Ordering::Relaxed) != fence {
            self.is_superseded.store(false, Ordering::Relaxed);
        }
    }

    /// Whether orders may go directly to a rank whose agent is missing. Only agents refuse the orders of a
    /// holder that was replaced, so one that cannot reach the log must not pass them over.
    pub fn allow_direct_orders(&self, is_allowed: bool) {
        self.is_direct_allowed.store(is_allowed, Ordering::Relaxed);
    }

    /// Whether an agent has been called under a later lease since the present number was set.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded.load(Ordering::Relaxed)
    }

    fn lock_readings(&self) -> MutexGuard<'_, HashMap<SocketAddr, Reading>> {
        self.readings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_silent(&self, address: SocketAddr) -> bool {
        let silent = self.silent.lock().unwrap_or_else(PoisonError::into_inner);
        let silence = silent.get(&address).copied();
        silence.is_some_and(|silence| self.clock.now().ms_since(silence.since) < silence.pause_ms)
    }

    fn note_silent(&self, address: SocketAddr) {
        let mut silent = self.silent.lock().unwrap_or_else(PoisonError::into_inner);
        let former = silent.get(&address).map_or(0, |silence| silence.pause_ms);
        let pause_ms = (former * 2).clamp(FIRST_SILENT_MS, MAX_SILENT_MS);
        silent.insert(address, Silence { since: self.clock.now(), pause_ms });
    }

    fn note_reply(&self, address: SocketAddr) {
        let mut silent = self.silent.lock().unwrap_or_else(PoisonError::into_inner);
        silent.remove(&address);
    }

    /// Gives an order through a relay, the process at `relay` that serves calls for any rank.
    pub async fn order_through(
        &self,
        relay: SocketAddr,
        rank: &RankAddress,
        epoch: u64,
        order: &RankOrder,
    ) -> OrderReply {
        match self.call_at(relay, rank, order_call(epoch, order, false)).await {
            Called::Reply(RankReply::Order(reply)) => reply,
            Called::NoAgent => self.order(rank, epoch, order).await,
            Called::Reply(_) | Called::Unknown => OrderReply::Unknown,
        }
    }

    async fn call(&self, rank: &RankAddress, call: RankCall) -> Called {
        self.call_at(SocketAddr::new(rank.address.ip(), self.port), rank, call).await
    }

    async fn call_at(&self, address: SocketAddr, rank: &RankAddress, call: RankCall) -> Called {
        if self.is_silent(address) {
            return Called::NoAgent;
        }
        let carries_map = matches!(call, RankCall::Order { order: RankOrder::Prepare { .. }, .. });
        let wait_ms = if carries_map { MAP_CALL_MS } else { CALL_MS };
        let client = HttpClient::new(address, CALL_MS);
        let fence = self.fence.load(Ordering::Relaxed);
        let (endpoint, to) = (rank.endpoint.clone(), rank.address);
        let request = RankRequest { endpoint, fence, address: to, call };
        match client.call(Method::POST, RANK_PATH, encode(&request), wait_ms).await {
            Ok(bytes) => {
                self.note_reply(address);
                match decode(&bytes) {
                    Some(RankReply::Superseded) => {
                        self.is_superseded.store(true, Ordering::Relaxed);
                        Called::Unknown
                    }
                    reply => reply.map_or(Called::Unknown, Called::Reply),
                }
            }
            Err(HttpError::Connect { .. }) => Called::NoAgent,
            Err(error) => {
                log::info!(
                    "agent silent address={address} server={} reason=\"{error}\"",
                    rank.endpoint
                );
                self.note_silent(address);
                Called::Unknown
            }
        }
    }
}

#[async_trait]
impl RankClient for AgentRanks {
    async fn status(&self, rank: &RankAddress) -> Option<RankStatus> {
        match self.call(rank, RankCall::Status).await {
            Called::Reply(RankReply::Status(status)) => status,
            Called::NoAgent => self.direct.status(rank).await,
            Called::Reply(_) | Called::Unknown => None,
        }
    }

    async fn counts(&self, rank: &RankAddress, experts: usize) -> Option<RankCounts> {
        // Taken out, so that a reply that is lost leaves no base that the agent has already replaced.
        let base = self.lock_readings().remove(&rank.address);
        let call = RankCall::Counts { experts, base: base.as_ref().map_or(0, |base| base.id) };
        match self.call(rank, call).await {
            Called::Reply(RankReply::Counts(Some(packed))) => {
                let id = packed.reading;
                let counts = packed.unpack(base.as_ref())?;
                let reading = Reading { id, counts: counts.counts.clone() };
                self.lock_readings().insert(rank.address, reading);
                Some(counts)
            }
            // Counts read from another machine have a price, and other ranks speak for this one.
            Called::NoAgent | Called::Reply(_) | Called::Unknown => None,
        }
    }

    async fn held_experts(&self, rank: &RankAddress) -> Option<Vec<Vec<usize>>> {
        match self.call(rank, RankCall::HeldExperts).await {
            Called::Reply(RankReply::HeldExperts(held)) => held,
            Called::NoAgent => self.direct.held_experts(rank).await,
            Called::Reply(_) | Called::Unknown => None,
        }
    }

    async fn order(&self, rank: &RankAddress, epoch: u64, order: &RankOrder) -> OrderReply {
        match self.call(rank, order_call(epoch, order, false)).await {
            Called::Reply(RankReply::Order(reply)) => reply,
            Called::NoAgent if self.is_direct_allowed.load(Ordering::Relaxed) => {
                self.direct.order(rank, epoch, order).await
            }
            Called::NoAgent | Called::Reply(_) | Called::Unknown => OrderReply::Unknown,
        }
    }

    /// Asks the agent for both with one call, since a group that is held waits for the replies.
    async fn order_and_status(
        &self,
        rank: &RankAddress,
        epoch: u64,
        order: &RankOrder,
    ) -> (OrderReply, Option<RankStatus>) {
        match self.call(rank, order_call(epoch, order, true)).await {
            Called::Reply(RankReply::OrderAndStatus(reply, status)) => (reply, status),
            // From an agent of an earlier build.
            Called::Reply(RankReply::Order(OrderReply::Done)) => {
                (OrderReply::Done, self.status(rank).await)
            }
            Called::Reply(RankReply::Order(reply)) => (reply, None),
            Called::NoAgent if self.is_direct_allowed.load(Ordering::Relaxed) => {
                self.direct.order_and_status(rank, epoch, order).await
            }
            Called::NoAgent | Called::Reply(_) | Called::Unknown => (OrderReply::Unknown, None),
        }
    }
}
