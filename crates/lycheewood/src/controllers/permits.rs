//! The permits controller: allots the permits of limited endpoints to all gateways, and asks others for those that they
//! allot.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::adapters::gossip;
use crate::clock::Timestamp;
use crate::decisions::endpoint_limits::RequestRate;
use crate::decisions::permits::{PermitAllotment, QueuedPermit, permit_source};
use crate::gateway::GatewayState;
use crate::wire::permit_message::{PermitMessage, PermitReply, PermitRequest};

/// Longest time for which a request waits for a permit, in milliseconds. A gateway that allots permits may end
/// meanwhile, so others ask again.
const MAX_WITHIN_MS: u64 = 1_000;
/// Time after its last permit for which an allotment is kept, in milliseconds.
const ALLOTMENT_MEMORY_MS: u64 = 60_000;
/// When an instance that was asked by mistake may be asked again, in milliseconds. By then both have heard the same
/// heartbeats.
const OTHER_SOURCE_RETRY_MS: u64 = 200;

/// A request of this instance needs a permit for an endpoint.
pub(crate) struct NeedPermit {
    /// Tag of the endpoint.
    pub(crate) tag: u32,
    /// How long the request can wait for it, in milliseconds.
    pub(crate) within_ms: u64,
}

/// A message has arrived from another instance.
pub(crate) struct PermitMessageReceived {
    pub(crate) from: SocketAddr,
    pub(crate) message: PermitMessage,
}

/// The next permit of an endpoint is due.
struct GrantDue {
    /// Tag of the endpoint.
    tag: u32,
}

/// Owns the allotments of the limited endpoints whose permits this instance allots.
#[derive(Actor)]
pub(crate) struct PermitsController {
    state: Arc<GatewayState>,
    /// By tag of the endpoint.
    allotments: HashMap<u32, PermitAllotment>,
    /// Endpoints for which a [`GrantDue`] is on its way.
    scheduled: HashSet<u32>,
    socket: Arc<UdpSocket>,
}

impl PermitsController {
    /// Starts the controller on the current runtime.
    pub(crate) fn start(state: &Arc<GatewayState>, socket: Arc<UdpSocket>) -> ActorRef<Self> {
        let controller = Self {
            state: Arc::clone(state),
            allotments: HashMap::new(),
            scheduled: HashSet::new(),
            socket,
        };
        Self::spawn_with_mailbox(controller, mailbox::unbounded())
    }

    /// The instance that allots the permits of an endpoint.
    fn source(&self, tag: u32, now: Timestamp) -> SocketAddr {
        let own = self.state.settings.peer_address;
        let peers = self.state.peers.load();
        let ready = peers.peers.iter().filter(|(_, peer)| peer.is_advertisable(now));
        let candidates = ready.map(|(address, _)| *address);
        let candidates = candidates.chain(self.state.is_ready().then_some(own));
        permit_source(tag, candidates).unwrap_or(own)
    }

    /// Time between two permits of an endpoint, in milliseconds.
    fn interval_ms(&self, limit: RequestRate, now: Timestamp) -> u64 {
        let heard = self.state.peers.load().heard(now);
        limit.interval_ms(heard.saturating_add(1), self.state.cold.fleet())
    }

    /// Adds the request of an instance to the queue of its endpoint.
    fn enqueue(
        &mut self,
        actor: &ActorRef<Self>,
        from: SocketAddr,
        request: &PermitRequest,
        now: Timestamp,
    ) {
        let &PermitRequest { tag, sequence, within_ms, limit } = request;
        // The sender may know of a limit that this instance has not heard of.
        let limit = self.state.limits.limit(tag).unwrap_or(limit);
        let interval_ms = self.interval_ms(limit, now);
        self.allotments.retain(|_, allotment| allotment.is_in_use(ALLOTMENT_MEMORY_MS, now));
        let allotment = self.allotments.entry(tag).or_insert_with(|| PermitAllotment::begin(now));
        let until = now.plus_ms(within_ms.min(MAX_WITHIN_MS));
        match allotment.enqueue(QueuedPermit { from, sequence, until }, interval_ms, now) {
            Ok(()) => self.grant_due(actor, tag, limit, now),
            Err(retry_after_ms) => {
                let retry_after_ms = Some(retry_after_ms);
                self.answer(from, PermitReply { tag, sequence, retry_after_ms }, now);
            }
        }
    }

    /// Grants the permits of an endpoint that are due, and looks again when the next one is.
    fn grant_due(&mut self, actor: &ActorRef<Self>, tag: u32, limit: RequestRate, now: Timestamp) {
        let interval_ms = self.interval_ms(limit, now);
        let Some(allotment) = self.allotments.get_mut(&tag) else { return };
        let granted = allotment.grant_due(interval_ms, now);
        let next_grant = allotment.next_grant(interval_ms, now);
        for QueuedPermit { from, sequence, .. } in granted {
            self.answer(from, PermitReply { tag, sequence, retry_after_ms: None }, now);
        }
        if let Some(next_grant) = next_grant
            && self.scheduled.insert(tag)
        {
            let (actor, wait_ms) = (actor.clone(), next_grant.ms_since(now).max(1));
            tokio::spawn(async move {
                sleep(Duration::from_millis(wait_ms)).await;
                let _ = actor.tell(GrantDue { tag }).await;
            });
        }
    }

    fn answer(&self, to: SocketAddr, reply: PermitReply, now: Timestamp) {
        if to == self.state.settings.peer_address {
            self.apply(to, reply, now);
        } else {
            gossip::send_permit_message(&self.socket, &PermitMessage::Reply(reply), to);
        }
    }

    fn apply(&self, from: SocketAddr, reply: PermitReply, now: Timestamp) {
        if self.state.limits.apply(from, reply, now) {
            let result = if reply.retry_after_ms.is_some() { "refused" } else { "granted" };
            self.state.metrics.routing.permit_replies.with_label_values(&[result]).inc();
            self.state.waiting_room.wake();
        }
    }
}

impl Message<NeedPermit> for PermitsController {
    type Reply = ();

    async fn handle(&mut self, need: NeedPermit, context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        let own = self.state.settings.peer_address;
        let source = self.source(need.tag, now);
        let within_ms = need.within_ms.min(MAX_WITHIN_MS);
        let request = self.state.limits.request(need.tag, source, within_ms, now);
        let Some(request) = request else { return };
        if source == own {
            self.enqueue(context.actor_ref(), own, &request, now);
        } else {
            gossip::send_permit_message(&self.socket, &PermitMessage::Request(request), source);
        }
    }
}

impl Message<GrantDue> for PermitsController {
    type Reply = ();

    async fn handle(&mut self, GrantDue { tag }: GrantDue, context: &mut Context<Self, ()>) {
        self.scheduled.remove(&tag);
        let now = self.state.clock.now();
        let is_source = self.source(tag, now) == self.state.settings.peer_address;
        match self.state.limits.limit(tag) {
            Some(limit) if is_source => self.grant_due(context.actor_ref(), tag, limit, now),
            _ => {
                let Some(mut allotment) = self.allotments.remove(&tag) else { return };
                let retry_after_ms = Some(OTHER_SOURCE_RETRY_MS);
                for QueuedPermit { from, sequence, .. } in allotment.hand_over() {
                    self.answer(from, PermitReply { tag, sequence, retry_after_ms }, now);
                }
            }
        }
    }
}

impl Message<PermitMessageReceived> for PermitsController {
    type Reply = ();

    async fn handle(&mut self, received: PermitMessageReceived, context: &mut Context<Self, ()>) {
        let PermitMessageReceived { from, message } = received;
        let now = self.state.clock.now();
        match message {
            PermitMessage::Reply(reply) => self.apply(from, reply, now),
            // Other clients that find the port must not use the permits up.
            PermitMessage::Request(_) if !self.state.peers.load().peers.contains_key(&from) => {}
            PermitMessage::Request(request)
                if self.source(request.tag, now) == self.state.settings.peer_address =>
            {
                self.enqueue(context.actor_ref(), from, &request, now);
            }
            PermitMessage::Request(PermitRequest { tag, sequence, .. }) => {
                let retry_after_ms = Some(OTHER_SOURCE_RETRY_MS);
                self.answer(from, PermitReply { tag, sequence, retry_after_ms }, now);
            }
        }
    }
}
