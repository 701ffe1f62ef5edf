//! The validated route table, indexed for matching.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::decisions::digest::digest;
use crate::ids::{RegionName, TargetName, WorkspaceName};
use crate::routes::raw::{
    CallerLimits, EngineProfile, ExpertShape, RawRoute, RawRouteTable, RawRouteWorkspace,
    RawTrafficShare, RequestKind,
};

/// Why a route table is rejected as a whole. The active one stays in use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteTableError {
    /// A prefix does not start and end with a slash.
    #[error(
        "route `{route}`: the path prefix `{prefix}` does not begin and end with `/`; write one that does"
    )]
    Prefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// A route names no service with a positive weight.
    #[error("route `{route}`: no service has a weight; give at least one a positive weight")]
    NoService {
        /// The route.
        route: String,
    },
    /// Two workspaces share an API key.
    #[error("workspaces `{first}` and `{second}` have a key in common; give each its own")]
    SharedKey {
        /// One workspace.
        first: String,
        /// The other.
        second: String,
    },
}

/// The priorities of requests to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorityRange {
    /// The priority that is served first.
    pub most_urgent: u8,
    /// The priority that is served last.
    pub least_urgent: u8,
}

/// The priority that is served last.
pub(crate) const MAX_PRIORITY: u8 = 9;

/// One validated route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Prefix of the path.
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RequestKind,
    /// The longest time that a caller waits, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of a response, in milliseconds.
    pub target_ms: u64,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
    /// Whether a broken stream may continue at another endpoint.
    pub is_resumable: bool,
    /// Target interval between the events of a stream, in milliseconds.
    pub target_gap_ms: Option<u64>,
    /// Regions whose endpoints may get its requests, or `None` for all.
    pub allowed_regions: Option<Arc<[RegionName]>>,
    split: Vec<(TargetName, u64)>,
    weight_sum: u64,
}

impl Route {
    /// The priority of a request of a workspace: that of the workspace if it sets one.
    #[must_use]
    pub fn effective_priority(&self, workspace: Option<&RouteWorkspace>) -> u8 {
        let own = workspace.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.priority).min(MAX_PRIORITY)
    }

    /// Whether a request may run more than once.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.is_resumable,
        }
    }

    /// The service for one request: `random` selects it in proportion to the weights of the split.
    #[must_use]
    pub fn service(&self, random: u64) -> &TargetName {
        let mut point = random % self.weight_sum;
        for (service, weight) in &self.split {
            if point < *weight {
                return service;
            }
            point -= weight;
        }
        // Unreachable: `point` is below the sum of the weights, so the loop has returned.
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
        let split: Vec<_> = raw.split.iter().filter_map(nonzero_share).collect();
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
            allows_anonymous: raw.allows_anonymous,
            is_resumable: raw.is_resumable,
            target_gap_ms: raw.target_gap_ms,
            allowed_regions: raw.allowed_regions.map(Arc::from),
            split,
            weight_sum,
        })
    }
}

fn nonzero_share(raw: &RawTrafficShare) -> Option<(TargetName, u64)> {
    (raw.weight > 0).then(|| (TargetName::new(&raw.service), raw.weight))
}

/// A workspace, as requests are attributed to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteWorkspace {
    /// Name that endpoints receive.
    pub name: WorkspaceName,
    /// Overrides the priority of the route, if set.
    pub priority: Option<u8>,
    /// Regions whose endpoints may get its requests, or `None` for all.
    pub allowed_regions: Option<Arc<[RegionName]>>,
}

/// One validated version of the route table.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Increases with every publication.
    pub version: u64,
    /// Size and time limits of requests.
    pub caller_limits: CallerLimits,
    /// Performance profiles of engines by service.
    pub engine_profiles: HashMap<TargetName, EngineProfile>,
    /// Shapes of the expert groups by service.
    pub expert_shapes: HashMap<TargetName, ExpertShape>,
    /// Priorities of requests to services of engines, where requests differ in priority.
    priorities: HashMap<TargetName, PriorityRange>,
    /// Requests that a cold endpoint takes in a second, by service. Only of services with a limit.
    pub cold_per_s: HashMap<TargetName, f64>,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Route>>,
    /// Index into `workspaces` by the digest of the key, so that keys are not compared byte by byte.
    keys: HashMap<[u8; 16], usize>,
    workspaces: Vec<RouteWorkspace>,
}

impl RouteTable {
    /// The route of a request, or `None` if no route matches. `host` is the host of the request, in any
    /// case and with or without a port. `path` excludes the query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(&normalize_host(host))?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests need a key, except on routes that allow anonymous requests.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// The workspace that an API key belongs to.
    #[must_use]
    pub fn workspace_of_key(&self, key: &str) -> Option<&RouteWorkspace> {
        let index = self.keys.get(&key_digest(key))?;
        self.workspaces.get(*index)
    }

    /// The priorities of requests to a service, if there is more than one and its endpoints are engines.
    #[must_use]
    pub fn priorities(&self, service: &TargetName) -> Option<PriorityRange> {
        self.priorities.get(service).copied()
    }

    /// The number of routes.
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

/// A label that tells an API key from others without revealing it, for output of tools.
#[must_use]
pub fn key_label(key: &str) -> String {
    // The first 48 of 128 bits are enough to tell the keys of one table apart.
    format!("key-{:012x}", u128::from_be_bytes(key_digest(key)) >> 80)
}

/// The host in lower case, without the port and a trailing dot.
pub(crate) fn normalize_host(host: &str) -> String {
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
            let host = normalize_host(&route.host);
            hosts.entry(host).or_default().push(Route::try_from(route)?);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let keys = index_keys(&raw.workspaces)?;
        let workspaces = raw.workspaces.iter().map(|workspace| RouteWorkspace {
            name: WorkspaceName::new(&workspace.name),
            priority: workspace.priority,
            allowed_regions: workspace.allowed_regions.clone().map(Arc::from),
        });
        let workspaces: Vec<RouteWorkspace> = workspaces.collect();
        let shapes = raw.services.iter();
        let shapes = shapes.filter_map(|s| Some((TargetName::new(&s.name), s.experts?)));
        let engine_profiles = raw.services.iter();
        let engine_profiles =
            engine_profiles.filter_map(|s| Some((TargetName::new(&s.name), s.engine_profile?)));
        let engine_profiles: HashMap<TargetName, EngineProfile> = engine_profiles.collect();
        let priorities = priorities_by_service(hosts.values().flatten(), &workspaces);
        let ranges = priorities.into_iter().filter_map(|(service, priorities)| {
            let range = PriorityRange {
                most_urgent: *priorities.first()?,
                least_urgent: *priorities.last()?,
            };
            let differ = range.most_urgent < range.least_urgent;
            (differ && engine_profiles.contains_key(service)).then(|| (service.clone(), range))
        });
        let limited =
            raw.services.iter().filter(|s| s.cold_per_s.is_finite() && s.cold_per_s > 0.0);
        Ok(Self {
            cold_per_s: limited.map(|s| (TargetName::new(&s.name), s.cold_per_s)).collect(),
            priorities: ranges.collect(),
            engine_profiles,
            version: raw.version,
            caller_limits: raw.caller_limits,
            expert_shapes: shapes.collect(),
            hosts,
            keys,
            workspaces,
        })
    }
}

/// The priorities that requests to each service may have.
fn priorities_by_service<'a>(
    routes: impl Iterator<Item = &'a Route>,
    workspaces: &[RouteWorkspace],
) -> HashMap<&'a TargetName, BTreeSet<u8>> {
    let mut priorities: HashMap<&TargetName, BTreeSet<u8>> = HashMap::new();
    for route in routes {
        let mut callers: Vec<Option<&RouteWorkspace>> = workspaces.iter().map(Some).collect();
        if callers.is_empty() || route.allows_anonymous {
            callers.push(None);
        }
        let of_route = callers.into_iter().map(|caller| route.effective_priority(caller));
        let of_route: BTreeSet<u8> = of_route.collect();
        for (service, _) in &route.split {
            priorities.entry(service).or_default().extend(&of_route);
        }
    }
    priorities
}

fn index_keys(
    workspaces: &[RawRouteWorkspace],
) -> Result<HashMap<[u8; 16], usize>, RouteTableError> {
    let mut keys = HashMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        for key in &workspace.keys {
            let other_index = keys.insert(key_digest(key), index);
            if let Some(other_index) = other_index.filter(|other_index| *other_index != index) {
                return Err(RouteTableError::SharedKey {
                    first: workspaces[other_index].name.clone(),
                    second: workspace.name.clone(),
                });
            }
        }
    }
    Ok(keys)
}
