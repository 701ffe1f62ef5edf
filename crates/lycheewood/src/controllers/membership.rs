//! The membership controller: the instance list of the platform, and the links to endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::adapters::instance_list::{ListClient, ListPage, ListedInstance, ListedState};
use crate::adapters::peer::link::{LinkConfig, spawn_link};
use crate::clock::{Clock, Timestamp};
use crate::decisions::membership::{ListStatus, MembershipSettings};
use crate::ids::InstanceId;
use crate::metrics::Metrics;
use crate::settings::Timing;
use crate::wire::message::Role;

/// The last received instance list.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    pub(crate) list: ListPage,
    /// When the last list was received, or `None` before the first one.
    pub(crate) received: Option<Timestamp>,
    pub(crate) settings: MembershipSettings,
    by_id: HashMap<InstanceId, ListedState>,
}

impl Members {
    /// The state before the first list was received.
    pub(crate) fn empty(timing: &Timing) -> Self {
        let settings = MembershipSettings {
            silent_after_ms: timing.silence_ms,
            list_lag_ms: timing.list_lag_ms,
            list_stale_after_ms: 2 * timing.long_poll_ms,
        };
        Self { list: ListPage::default(), received: None, settings, by_id: HashMap::new() }
    }

    /// Status of an instance in the last received list.
    pub(crate) fn list_status(&self, instance: &InstanceId) -> ListStatus {
        match self.by_id.get(instance) {
            Some(ListedState::Live) => ListStatus::Live,
            Some(ListedState::Leaving) => ListStatus::Leaving,
            None => ListStatus::Absent,
        }
    }

    /// Live entries in the last received list.
    pub(crate) fn live_entries(&self) -> impl Iterator<Item = &ListedInstance> {
        self.list.instances.iter().filter(|i| i.role == Role::Entry && i.state == ListedState::Live)
    }
}

/// Owns the list of instances and starts and stops links.
#[derive(Actor)]
pub(crate) struct MembershipController {
    links: HashMap<InstanceId, (ListedInstance, watch::Sender<bool>)>,
    published: Arc<ArcSwap<Members>>,
    link_config: LinkConfig,
    traffic: Handle,
    clock: Clock,
    version: u64,
}

impl MembershipController {
    /// Starts the controller and its list reader on the current Tokio runtime; links run on `traffic`.
    pub(crate) fn start(
        client: ListClient,
        published: Arc<ArcSwap<Members>>,
        link_config: LinkConfig,
        traffic: Handle,
        clock: Clock,
        metrics: Arc<Metrics>,
    ) {
        let timing = link_config.timing;
        let controller =
            Self { links: HashMap::new(), published, link_config, traffic, clock, version: 0 };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(read_list(client, actor, timing, metrics));
    }

    /// Starts links to new endpoints. Stops links to endpoints that were removed or changed their address.
    fn update_links(&mut self, page: &ListPage) {
        let listed_endpoints: HashMap<&InstanceId, &ListedInstance> = page
            .instances
            .iter()
            .filter(|i| i.role == Role::Endpoint)
            .map(|i| (&i.id, i))
            .collect();
        self.links.retain(|id, (listed, _)| {
            listed_endpoints.get(id).is_some_and(|current| current.address == listed.address)
        });
        for (id, listed) in listed_endpoints {
            if self.links.contains_key(id) {
                continue;
            }
            let (stop_sender, stop_receiver) = watch::channel(false);
            let _traffic = self.traffic.enter();
            spawn_link(
                id.clone(),
                listed.failure_domain.clone(),
                listed.address,
                self.link_config.clone(),
                stop_receiver,
            );
            self.links.insert(id.clone(), (listed.clone(), stop_sender));
        }
    }
}

impl Message<ListPage> for MembershipController {
    type Reply = ();

    async fn handle(&mut self, page: ListPage, _: &mut Context<Self, ()>) {
        if page.version > self.version {
            self.version = page.version;
            self.update_links(&page);
        }
        let by_id = page.instances.iter().map(|i| (i.id.clone(), i.state)).collect();
        let settings = self.published.load().settings;
        let received = Some(self.clock.now());
        self.published.store(Arc::new(Members { list: page, received, settings, by_id }));
    }
}

/// Reads the instance list by long poll while the controller runs.
async fn read_list(
    client: ListClient,
    actor: ActorRef<MembershipController>,
    timing: Timing,
    metrics: Arc<Metrics>,
) {
    let mut version = 0;
    while actor.is_alive() {
        match client.read(version, timing.long_poll_ms).await {
            // A lower version than the last one is outdated; it is discarded and the list read again.
            Ok(page) if page.version >= version => {
                version = page.version;
                let _ = actor.tell(page).try_send();
            }
            Ok(_) => metrics.list_errors.inc(),
            Err(_) => {
                metrics.list_errors.inc();
                let bound_ms = timing.reconnect_max_ms.max(2);
                sleep(Duration::from_millis(rand::random_range(bound_ms / 2..=bound_ms))).await;
            }
        }
    }
}
