//! Which nodes exist and which of them have a version, from the nodes' own states.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use lycheewood::{FailureDomain, InstanceId, ListPage, ListedInstance, ListedState, Offset, Role};

/// What a node tells of itself.
#[derive(Clone, Debug)]
pub(crate) struct NodeState {
    pub(crate) instance: InstanceId,
    pub(crate) role: Role,
    pub(crate) failure_domain: FailureDomain,
    /// The version in force.
    pub(crate) version: Option<Offset>,
    pub(crate) draining: bool,
    /// Whether the engine or service beside an endpoint daemon responds.
    pub(crate) backend_up: bool,
    /// Admin addresses of the nodes that it is connected to.
    pub(crate) peers: Vec<SocketAddr>,
}

/// How far a node has been asked.
#[derive(Debug)]
enum Contact {
    /// To be asked; after a pause when an earlier question failed.
    Due { after_failure: bool },
    /// The question is under way.
    Asked,
    /// It has what was waited for.
    Settled,
    /// It gave no reply and is not asked again.
    Failed,
}

#[derive(Debug)]
struct Node {
    contact: Contact,
    state: Option<NodeState>,
    error: Option<String>,
}

/// A question to put to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Due {
    pub(crate) address: SocketAddr,
    pub(crate) after_failure: bool,
    /// Whether the node may wait for the version. The first question is answered at once, so that
    /// its peers are known before the wait.
    pub(crate) may_wait: bool,
}

/// A node as it was last seen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeView<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) state: Option<&'a NodeState>,
    pub(crate) error: Option<&'a str>,
    pub(crate) has_version: bool,
}

/// The nodes reachable from one admin address. Entries name endpoints and endpoints name entries, so
/// all nodes are found once one entry has an endpoint.
#[derive(Debug)]
pub(crate) struct NodeSet {
    start: SocketAddr,
    /// The version to wait for, or `None` to ask every node once.
    wanted: Option<Offset>,
    nodes: BTreeMap<SocketAddr, Node>,
}

impl NodeSet {
    pub(crate) fn new(start: SocketAddr, wanted: Option<Offset>) -> Self {
        let mut node_set = Self { start, wanted, nodes: BTreeMap::new() };
        node_set.add(start);
        node_set
    }

    fn add(&mut self, address: SocketAddr) {
        self.nodes.entry(address).or_insert(Node {
            contact: Contact::Due { after_failure: false },
            state: None,
            error: None,
        });
    }

    /// Takes questions to ask, so that at most `limit` are under way.
    pub(crate) fn take_due(&mut self, limit: usize) -> Vec<Due> {
        let asked = self.nodes.values().filter(|n| matches!(n.contact, Contact::Asked)).count();
        let mut due = Vec::new();
        for (address, node) in &mut self.nodes {
            if let Contact::Due { after_failure } = node.contact
                && due.len() + asked < limit
            {
                node.contact = Contact::Asked;
                let may_wait = node.state.is_some();
                due.push(Due { address: *address, after_failure, may_wait });
            }
        }
        due
    }

    /// Takes a node's reply.
    pub(crate) fn answered(&mut self, address: SocketAddr, reply: Result<NodeState, String>) {
        match reply {
            Ok(state) => self.replied(address, state),
            Err(error) => self.failed(address, &error),
        }
        self.forget_unnamed();
    }

    fn replied(&mut self, address: SocketAddr, state: NodeState) {
        state.peers.iter().for_each(|peer| self.add(*peer));
        let settled = self.wanted.is_none_or(|wanted| state.version >= Some(wanted));
        if let Some(node) = self.nodes.get_mut(&address) {
            let due = Contact::Due { after_failure: false };
            node.contact = if settled { Contact::Settled } else { due };
            node.state = Some(state);
            node.error = None;
        }
    }

    /// A node without a reply may have left. It is asked again together with the nodes that name it,
    /// until it replies or none of them does.
    fn failed(&mut self, address: SocketAddr, error: &str) {
        let again = self.wanted.is_some();
        for (at, node) in &mut self.nodes {
            let names = node.state.as_ref().is_some_and(|s| s.peers.contains(&address));
            if *at == address {
                node.contact =
                    if again { Contact::Due { after_failure: true } } else { Contact::Failed };
                node.error = Some(error.to_owned());
            } else if again && names && matches!(node.contact, Contact::Settled) {
                node.contact = Contact::Due { after_failure: true };
            }
        }
    }

    /// Forgets nodes that no node reachable from the start names any more.
    fn forget_unnamed(&mut self) {
        let mut named = BTreeSet::from([self.start]);
        let mut open = vec![self.start];
        while let Some(address) = open.pop() {
            let state = self.nodes.get(&address).and_then(|node| node.state.as_ref());
            for peer in state.into_iter().flat_map(|state| &state.peers) {
                if named.insert(*peer) {
                    open.push(*peer);
                }
            }
        }
        self.nodes.retain(|address, _| named.contains(address));
    }

    /// Whether nothing remains to be asked or waited for.
    pub(crate) fn is_complete(&self) -> bool {
        self.nodes.values().all(|n| matches!(n.contact, Contact::Settled | Contact::Failed))
    }

    /// All nodes known, by address.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = NodeView<'_>> {
        self.nodes.iter().map(|(address, node)| {
            let version = node.state.as_ref().and_then(|state| state.version);
            NodeView {
                address: *address,
                state: node.state.as_ref(),
                error: node.error.as_deref(),
                has_version: version.is_some() && version >= self.wanted && node.error.is_none(),
            }
        })
    }

    /// Nodes with the version, and nodes known.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.nodes().filter(|node| node.has_version).count(), self.nodes.len())
    }

    /// Live listed instances that are no node known here.
    pub(crate) fn not_reached<'l>(&self, list: &'l ListPage) -> Vec<&'l ListedInstance> {
        let reached: BTreeSet<&str> = self
            .nodes
            .values()
            .filter_map(|n| n.state.as_ref())
            .map(|s| s.instance.as_str())
            .collect();
        list.instances
            .iter()
            .filter(|listed| listed.state == ListedState::Live)
            .filter(|listed| !reached.contains(listed.id.as_str()))
            .collect()
    }
}
