//! The checked route table, indexed for matching.

use std::collections::HashMap;

use crate::decisions::digest::digest;
use crate::ids::{TargetName, WorkspaceName};
use crate::routes::raw::{
    CallerLimits, EnginePace, ExpertShape, RawKeyHolder, RawRoute, RawRouteTable, RawShare,
    RequestKind,
};

/// Why a route table is refused as a whole. The one in force stays.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteTableError {
    /// A prefix does not begin and end with a slash.
    #[error("route `{route}`: path_prefix `{prefix}` must begin and end with `/`")]
    Prefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// A route names no service with a positive weight.
    #[error("route `{route}`: give at least one service a positive weight")]
    NoService {
        /// The route.
        route: String,
    },
    /// Two workspaces have the same key.
    #[error("workspaces `{first}` and `{second}` have a key in common; give each its own")]
    SharedKey {
        /// One workspace.
        first: String,
        /// The other.
        second: String,
    },
}

/// One checked route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Start of the path.
    pub path_prefix: String,
    /// Which repeats are allowed.
    pub kind: RequestKind,
    /// The longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer has its full worth, in milliseconds.
    pub target_ms: u64,
    /// Rank; 0 is served first.
    pub priority: u8,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Whether a broken stream may continue at another endpoint.
    pub is_resumable: bool,
    /// The longest pause between events that is on time, in milliseconds.
    pub target_gap_ms: Option<u64>,
    split: Vec<(TargetName, u64)>,
    weight_sum: u64,
}

impl Route {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.is_resumable,
        }
    }

    /// The service for one request, by the weights of the split.
    #[must_use]
    pub fn service(&self, random: u64) -> &TargetName {
        let mut point = random % self.weight_sum;
        for (service, weight) in &self.split {
            if point < *weight {
                return service;
            }
            point -= weight;
        }
        // The check refuses a route whose weights are all 0, so the loop has returned.
        &self.split[0].0
    }
}

impl TryFrom<RawRoute> for Route {
    type Error = RouteTableError;

    fn try_from(raw: RawRoute) -> Result<Self, RouteTableError> {
        let prefix = raw.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(RouteTableError::Prefix { route: raw.name, prefix });
        }
        let split: Vec<_> = raw.split.iter().filter_map(share).collect();
        let weight_sum = split.iter().map(|(_, weight)| weight).sum();
        if split.is_empty() {
            return Err(RouteTableError::NoService { route: raw.name });
        }
        Ok(Self {
            name: raw.name,
            path_prefix: prefix,
            kind: raw.kind,
            timeout_ms: raw.timeout_ms,
            target_ms: raw.target_ms,
            priority: raw.priority,
            max_attempts: raw.max_attempts.max(1),
            is_open: raw.is_open,
            is_resumable: raw.is_resumable,
            target_gap_ms: raw.target_gap_ms,
            split,
            weight_sum,
        })
    }
}

fn share(raw: &RawShare) -> Option<(TargetName, u64)> {
    (raw.weight > 0).then(|| (TargetName::new(&raw.service), raw.weight))
}

/// A workspace as requests carry it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Name, as endpoints see it.
    pub name: WorkspaceName,
    /// Replaces the priority of the route, if set.
    pub priority: Option<u8>,
}

/// One checked version of the route table.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Rises with every publication.
    pub version: u64,
    /// What callers may send.
    pub caller_limits: CallerLimits,
    /// Paces of engines by service.
    pub paces: HashMap<TargetName, EnginePace>,
    /// Expert groups by service.
    pub expert_shapes: HashMap<TargetName, ExpertShape>,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<Route>>,
    /// Index into `holders` by digest of the key, so that no key is compared byte by byte.
    keys: HashMap<[u8; 16], usize>,
    holders: Vec<KeyHolder>,
}

impl RouteTable {
    /// The route of a request, or `None` when there is none. `host` is what the request names, in any
    /// case and with or without a port; `path` is without the query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(&normal_host(host))?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests need a key at all.
    #[must_use]
    pub fn has_keys(&self) -> bool {
        !self.holders.is_empty()
    }

    /// The workspace that holds a key.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        let index = self.keys.get(&key_digest(key))?;
        self.holders.get(*index)
    }

    /// How many routes there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

fn key_digest(key: &str) -> [u8; 16] {
    digest(&[b"key", key.as_bytes()])
}

/// Hosts are compared without case and port.
fn normal_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    name.trim_end_matches('.').to_ascii_lowercase()
}

impl TryFrom<RawRouteTable> for RouteTable {
    type Error = RouteTableError;

    fn try_from(raw: RawRouteTable) -> Result<Self, RouteTableError> {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in raw.routes {
            let host = normal_host(&route.host);
            hosts.entry(host).or_default().push(Route::try_from(route)?);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let keys = index_keys(&raw.workspaces)?;
        let holders = raw.workspaces.iter().map(|holder| KeyHolder {
            name: WorkspaceName::new(&holder.name),
            priority: holder.priority,
        });
        let shapes = raw.services.iter();
        let shapes = shapes.filter_map(|s| Some((TargetName::new(&s.name), s.experts?)));
        let paces = raw.services.iter();
        let paces = paces.filter_map(|s| Some((TargetName::new(&s.name), s.pace?)));
        Ok(Self {
            paces: paces.collect(),
            version: raw.version,
            caller_limits: raw.caller_limits,
            expert_shapes: shapes.collect(),
            hosts,
            keys,
            holders: holders.collect(),
        })
    }
}

fn index_keys(holders: &[RawKeyHolder]) -> Result<HashMap<[u8; 16], usize>, RouteTableError> {
    let mut keys = HashMap::new();
    for (index, holder) in holders.iter().enumerate() {
        for key in &holder.keys {
            let former = keys.insert(key_digest(key), index);
            if let Some(former) = former.filter(|former| *former != index) {
                return Err(RouteTableError::SharedKey {
                    first: holders[former].name.clone(),
                    second: holder.name.clone(),
                });
            }
        }
    }
    Ok(keys)
}
