//! The validated document. Values of these types satisfy every rule of the schema.

use crate::ids::{EndpointKindName, TargetName, VersionName, WorkspaceName};

/// A document that satisfies every rule of the schema.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Name of the service.
    pub service: TargetName,
    /// Models and the versions that serve them.
    pub models: Vec<Model>,
    /// Kinds of endpoints.
    pub endpoints: Vec<EndpointKind>,
    /// Workspaces of callers.
    pub workspaces: Vec<Workspace>,
    /// Bounds and defaults for deadlines.
    pub deadlines: Deadlines,
    /// Policy for the placement of experts.
    pub placement: PlacementPolicy,
    /// How long a quarantined request stays refused, in milliseconds.
    pub quarantine_ms: u64,
}

/// A model and its versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name, as callers send it.
    pub name: TargetName,
    /// Versions; at least one has a positive weight.
    pub versions: Vec<ModelVersion>,
    /// Priority of its requests when the caller sends none, 0 to 9.
    pub priority: u8,
}

/// A version of a model and its share of new requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelVersion {
    /// Name of the version.
    pub name: VersionName,
    /// Share of new requests, relative to the other versions.
    pub weight: u32,
}

/// What endpoints of one kind serve.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointRole {
    /// Model engines that serve these models.
    Model {
        /// Names of models in the same document.
        models: Vec<TargetName>,
    },
    /// A plain service under its own name.
    Service {
        /// Name, as callers address it.
        service: TargetName,
        /// Calls that must not run more than once.
        non_idempotent: Vec<CallPattern>,
        /// Priority of its requests when the caller sends none, 0 to 9.
        priority: u8,
    },
}

/// A method and a path prefix of calls to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPattern {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the path, starting with a slash.
    pub path_prefix: String,
}

/// A kind of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointKind {
    /// Name, as endpoint daemons state it in their settings.
    pub name: EndpointKindName,
    /// What these endpoints serve.
    pub role: EndpointRole,
    /// Whether these endpoints themselves refuse orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// A workspace of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceName,
    /// SHA-256 digests of its bearer tokens.
    pub token_digests: Vec<[u8; 32]>,
    /// Rate limit over all entries, in requests per second.
    pub rate_per_s: f64,
    /// Burst size of the rate limit over all entries, in requests.
    pub burst: u32,
    /// Share of capacity under overload, relative to other workspaces.
    pub weight: u32,
    /// Highest priority that its callers may ask for, 0 to 9.
    pub max_priority: u8,
}

/// Bounds and defaults for deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// Deadline of requests whose caller sends none, in milliseconds.
    pub default_ms: u64,
    /// The longest that a caller may ask for, in milliseconds.
    pub max_ms: u64,
}

/// Which measure has priority in the placement of experts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Objective {
    /// The skew of step times across ranks.
    Skew,
    /// The cost of moving experts.
    Cost,
}

/// Policy for the placement of experts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// Which measure has priority.
    pub objective: Objective,
    /// The most experts moved in one change.
    pub max_moves: u32,
    /// The least time between two changes of a group's map, in milliseconds.
    pub min_interval_ms: u64,
}

impl Document {
    /// The workspace that lists the token digest `digest`. Digests are compared in constant time.
    #[must_use]
    pub fn workspace_of_token(&self, digest: &[u8; 32]) -> Option<&Workspace> {
        use subtle::ConstantTimeEq;
        // Compares with every digest, so that the duration does not reveal which one matched.
        let mut matching = None;
        for workspace in &self.workspaces {
            for token in &workspace.token_digests {
                if bool::from(token[..].ct_eq(&digest[..])) {
                    matching = Some(workspace);
                }
            }
        }
        matching
    }

    /// The model called `name`.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| m.name.as_str() == name)
    }

    /// The kind of endpoints called `name`.
    #[must_use]
    pub fn endpoint_kind(&self, name: &EndpointKindName) -> Option<&EndpointKind> {
        self.endpoints.iter().find(|e| &e.name == name)
    }

    /// The kind of endpoints behind the plain service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&EndpointKind> {
        self.endpoints.iter().find(
            |e| matches!(&e.role, EndpointRole::Service { service, .. } if service.as_str() == name),
        )
    }
}

impl EndpointKind {
    /// Whether a call must not run more than once. Calls to models may.
    #[must_use]
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        match &self.role {
            EndpointRole::Model { .. } => false,
            EndpointRole::Service { non_idempotent, .. } => non_idempotent
                .iter()
                .any(|call| call.method == method && path.starts_with(&call.path_prefix)),
        }
    }
}
