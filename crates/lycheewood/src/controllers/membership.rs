//! The membership controller: instances of the platform's list, and the links to endpoints.

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
use crate::ids::InstanceId;
use crate::metrics::Metrics;
use crate::settings::Timing;
use crate::wire::message::Role;

/// Instances as the list last showed them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members {
    pub(crate) list: ListPage,
}

impl Members {
    /// Entries that the list shows as live.
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
}

impl MembershipController {
    /// Starts the controller and its reader on the present runtime; links run on `traffic`.
    pub(crate) fn start(
        client: ListClient,
        published: Arc<ArcSwap<Members>>,
        link_config: LinkConfig,
        traffic: Handle,
        metrics: Arc<Metrics>,
    ) {
        let timing = link_config.timing;
        let controller = Self { links: HashMap::new(), published, link_config, traffic };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(read_list(client, actor, timing, metrics));
    }

    /// Starts links to new endpoints and stops links to those that left or moved.
    fn update_links(&mut self, page: &ListPage) {
        let wanted: HashMap<&InstanceId, &ListedInstance> = page
            .instances
            .iter()
            .filter(|i| i.role == Role::Endpoint)
            .map(|i| (&i.id, i))
            .collect();
        self.links.retain(|id, (listed, _)| {
            wanted.get(id).is_some_and(|now| now.address == listed.address)
        });
        for (id, listed) in wanted {
            if self.links.contains_key(id) {
                continue;
            }
            let (stop, stopped) = watch::channel(false);
            let _traffic = self.traffic.enter();
            spawn_link(
                id.clone(),
                listed.failure_domain.clone(),
                listed.address,
                self.link_config.clone(),
                stopped,
            );
            self.links.insert(id.clone(), (listed.clone(), stop));
        }
    }
}

impl Message<ListPage> for MembershipController {
    type Reply = ();

    async fn handle(&mut self, page: ListPage, _: &mut Context<Self, ()>) {
        self.update_links(&page);
        self.published.store(Arc::new(Members { list: page }));
    }
}

/// Reads the list by long poll for as long as the controller runs.
async fn read_list(
    client: ListClient,
    actor: ActorRef<MembershipController>,
    timing: Timing,
    metrics: Arc<Metrics>,
) {
    let mut version = 0;
    while actor.is_alive() {
        match client.read(version, timing.long_poll_ms).await {
            Ok(page) if page.version > version => {
                version = page.version;
                let _ = actor.tell(page).try_send();
            }
            Ok(_) => {}
            Err(_) => {
                metrics.list_errors.inc();
                let bound_ms = timing.reconnect_max_ms.max(2);
                sleep(Duration::from_millis(rand::random_range(bound_ms / 2..=bound_ms))).await;
            }
        }
    }
}
