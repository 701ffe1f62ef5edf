//! Validation of a raw document, which reports all errors at once.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};

use super::checked::{
    CallPattern, Deadlines, Document, EndpointKind, EndpointRole, Model, ModelVersion, Objective,
    PlacementPolicy, Workspace,
};
use super::error::{DocumentError, DocumentErrorKind as Kind, InvalidDocument, closest};
use super::raw::{RawDocument, RawEndpointKind, RawModel, RawPlacement};
use crate::ids::{EndpointKindName, TargetName, VersionName, WorkspaceName};

/// Priority of requests whose model or service sets none.
const DEFAULT_PRIORITY: u64 = 5;
const DEFAULT_DEADLINE_MS: u64 = 30_000;
const DEFAULT_MAX_DEADLINE_MS: u64 = 600_000;
const DEFAULT_MAX_MOVES: u64 = 8;
const DEFAULT_MIN_INTERVAL_MS: u64 = 60_000;
const DEFAULT_QUARANTINE_MS: u64 = 3_600_000;
/// One week. A longer time is most likely given in the wrong unit.
const MAX_TIME_MS: u64 = 604_800_000;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

impl TryFrom<&RawDocument> for Document {
    type Error = InvalidDocument;

    fn try_from(raw: &RawDocument) -> Result<Self, InvalidDocument> {
        let mut validator = Validator::default();
        if raw.schema != 1 {
            // Other schema versions have other rules, so further errors would be misleading.
            return Err(InvalidDocument::one("schema", None, Kind::UnknownSchema(raw.schema)));
        }
        validator.check_name("service", &raw.service);
        let models = validator.models(raw);
        let endpoints = validator.endpoints(raw);
        let workspaces = validator.workspaces(raw);
        let deadlines = validator.deadlines(raw);
        let placement = validator.placement(&raw.placement);
        let quarantine_ms = validator
            .check_time_ms("quarantine_ms", raw.quarantine_ms.unwrap_or(DEFAULT_QUARANTINE_MS));
        if !validator.errors.is_empty() {
            return Err(InvalidDocument { errors: validator.errors });
        }
        Ok(Self {
            service: TargetName::new(&raw.service),
            models,
            endpoints,
            workspaces,
            deadlines,
            placement,
            quarantine_ms,
        })
    }
}

/// Collects all errors, so that an operator sees them at once. A check that fails returns a placeholder
/// value, which is dropped with the rejected document.
#[derive(Default)]
struct Validator {
    errors: Vec<DocumentError>,
}

impl Validator {
    fn report(&mut self, path: impl Into<String>, kind: Kind) {
        self.errors.push(DocumentError { path: path.into(), line: None, kind });
    }

    fn check_name(&mut self, path: &str, name: &str) {
        let allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit();
        let valid = name.len() <= 64
            && name.bytes().next().is_some_and(allowed)
            && name.bytes().all(|c| allowed(c) || b"._-".contains(&c));
        if !valid {
            self.report(path, Kind::InvalidName(name.to_owned()));
        }
    }

    /// Checks the form of each name and that no name occurs twice. `names` are pairs of path and name.
    fn check_unique_names(&mut self, names: impl Iterator<Item = (String, String)>) {
        let mut first_use = HashMap::new();
        for (path, name) in names {
            self.check_name(&path, &name);
            match first_use.entry(name) {
                Entry::Vacant(entry) => {
                    entry.insert(path);
                }
                Entry::Occupied(entry) => {
                    let (name, first) = (entry.key().clone(), entry.get().clone());
                    self.report(path, Kind::Duplicate { name, first });
                }
            }
        }
    }

    fn check_range(&mut self, path: &str, value: u64, min: u64, max: u64) -> u64 {
        if !(min..=max).contains(&value) {
            self.report(path, Kind::OutOfRange { value: value.to_string(), min, max });
        }
        value
    }

    fn check_time_ms(&mut self, path: &str, value: u64) -> u64 {
        self.check_range(path, value, 1, MAX_TIME_MS)
    }

    fn check_u32(&mut self, path: &str, value: u64, min: u32) -> u32 {
        let value = self.check_range(path, value, u64::from(min), u64::from(u32::MAX));
        u32::try_from(value).unwrap_or(u32::MAX)
    }

    fn check_priority(&mut self, path: &str, value: Option<u64>) -> u8 {
        let value = self.check_range(path, value.unwrap_or(DEFAULT_PRIORITY), 0, 9);
        u8::try_from(value).unwrap_or(u8::MAX)
    }

    fn models(&mut self, raw: &RawDocument) -> Vec<Model> {
        let names = raw.models.iter().enumerate();
        self.check_unique_names(
            names.map(|(i, model)| (format!("models[{i}].name"), model.name.clone())),
        );
        let served: HashSet<&str> = raw
            .endpoints
            .iter()
            .flat_map(|e| e.models.iter().flatten())
            .map(String::as_str)
            .collect();
        let mut models = Vec::with_capacity(raw.models.len());
        for (i, model) in raw.models.iter().enumerate() {
            let path = format!("models[{i}]");
            if !served.contains(model.name.as_str()) {
                self.report(format!("{path}.name"), Kind::NotServed(model.name.clone()));
            }
            models.push(Model {
                name: TargetName::new(&model.name),
                versions: self.versions(&format!("{path}.versions"), model),
                priority: self.check_priority(&format!("{path}.priority"), model.priority),
            });
        }
        models
    }

    fn versions(&mut self, path: &str, model: &RawModel) -> Vec<ModelVersion> {
        if model.versions.is_empty() {
            self.report(path, Kind::EmptyList("version"));
        } else if model.versions.iter().all(|version| version.weight == Some(0)) {
            self.report(path, Kind::WeightsAllZero);
        }
        let names = model.versions.iter().enumerate();
        self.check_unique_names(names.map(|(i, v)| (format!("{path}[{i}].name"), v.name.clone())));
        let mut versions = Vec::with_capacity(model.versions.len());
        for (i, version) in model.versions.iter().enumerate() {
            versions.push(ModelVersion {
                name: VersionName::new(&version.name),
                weight: self.check_u32(
                    &format!("{path}[{i}].weight"),
                    version.weight.unwrap_or(1),
                    0,
                ),
            });
        }
        versions
    }

    fn endpoints(&mut self, raw: &RawDocument) -> Vec<EndpointKind> {
        if raw.endpoints.is_empty() {
            self.report("endpoints", Kind::EmptyList("endpoint kind"));
        }
        let names = raw.endpoints.iter().enumerate();
        self.check_unique_names(
            names.map(|(i, kind)| (format!("endpoints[{i}].name"), kind.name.clone())),
        );
        // Callers address models and plain services under separate paths, but quarantine and routing
        // identify a target by its name alone, so a service may not share the name of a model.
        let models = raw.models.iter().enumerate();
        let models = models.map(|(i, model)| (model.name.as_str(), format!("models[{i}].name")));
        let mut targets: HashMap<&str, String> = models.collect();
        let mut kinds = Vec::with_capacity(raw.endpoints.len());
        for (i, kind) in raw.endpoints.iter().enumerate() {
            let path = format!("endpoints[{i}]");
            let role = match (&kind.models, &kind.service) {
                (Some(models), None) => self.model_role(&path, kind, models, raw),
                (None, Some(service)) => {
                    let service_path = format!("{path}.service");
                    self.check_name(&service_path, service);
                    if let Some(first) = targets.insert(service, service_path.clone()) {
                        self.report(service_path, Kind::Duplicate { name: service.clone(), first });
                    }
                    self.service_role(&path, kind, service)
                }
                _ => {
                    self.report(path, Kind::ModelsOrService);
                    continue;
                }
            };
            kinds.push(EndpointKind {
                name: EndpointKindName::new(&kind.name),
                role,
                checks_fencing: kind.checks_fencing.unwrap_or(false),
            });
        }
        kinds
    }

    fn model_role(
        &mut self,
        path: &str,
        kind: &RawEndpointKind,
        models: &[String],
        raw: &RawDocument,
    ) -> EndpointRole {
        if kind.non_idempotent.is_some() {
            self.report(format!("{path}.non_idempotent"), Kind::ServiceOnly("non_idempotent"));
        }
        if kind.priority.is_some() {
            self.report(format!("{path}.priority"), Kind::ServiceOnly("priority"));
        }
        if models.is_empty() {
            self.report(format!("{path}.models"), Kind::EmptyList("model"));
        }
        let names = models.iter().enumerate();
        self.check_unique_names(
            names.map(|(i, name)| (format!("{path}.models[{i}]"), name.clone())),
        );
        for (i, name) in models.iter().enumerate() {
            if raw.models.iter().all(|model| &model.name != name) {
                let closest = closest(name, raw.models.iter().map(|model| model.name.as_str()));
                let kind = Kind::UnknownModel { name: name.clone(), closest };
                self.report(format!("{path}.models[{i}]"), kind);
            }
        }
        EndpointRole::Model { models: models.iter().map(|name| TargetName::new(name)).collect() }
    }

    fn service_role(
        &mut self,
        kind_path: &str,
        kind: &RawEndpointKind,
        service: &str,
    ) -> EndpointRole {
        let mut calls: Vec<CallPattern> = Vec::new();
        for (i, call) in kind.non_idempotent.iter().flatten().enumerate() {
            let path = format!("{kind_path}.non_idempotent[{i}]");
            if !METHODS.contains(&call.method.as_str()) {
                self.report(format!("{path}.method"), Kind::InvalidMethod(call.method.clone()));
            }
            let prefix = &call.path_prefix;
            let forbidden = |c: char| c == '?' || c == '#' || c.is_whitespace() || c.is_control();
            if !prefix.starts_with('/') || prefix.contains(forbidden) {
                self.report(format!("{path}.path_prefix"), Kind::InvalidPathPrefix(prefix.clone()));
            }
            let call = CallPattern { method: call.method.clone(), path_prefix: prefix.clone() };
            if let Some(first) = calls.iter().position(|known| known == &call) {
                let name = format!("{} {}", call.method, call.path_prefix);
                let first = format!("{kind_path}.non_idempotent[{first}]");
                self.report(path, Kind::Duplicate { name, first });
            }
            calls.push(call);
        }
        EndpointRole::Service {
            service: TargetName::new(service),
            non_idempotent: calls,
            priority: self.check_priority(&format!("{kind_path}.priority"), kind.priority),
        }
    }

    fn workspaces(&mut self, raw: &RawDocument) -> Vec<Workspace> {
        if raw.workspaces.is_empty() {
            self.report("workspaces", Kind::EmptyList("workspace"));
        }
        let names = raw.workspaces.iter().enumerate();
        self.check_unique_names(
            names.map(|(i, w)| (format!("workspaces[{i}].name"), w.name.clone())),
        );
        let mut tokens = HashMap::new();
        let mut workspaces = Vec::with_capacity(raw.workspaces.len());
        for (i, workspace) in raw.workspaces.iter().enumerate() {
            let path = format!("workspaces[{i}]");
            if workspace.token_sha256.is_empty() {
                self.report(format!("{path}.token_sha256"), Kind::EmptyList("digest"));
            }
            let mut token_digests = Vec::with_capacity(workspace.token_sha256.len());
            for (j, text) in workspace.token_sha256.iter().enumerate() {
                let path = format!("{path}.token_sha256[{j}]");
                let Some(digest) = digest_from_hex(text) else {
                    self.report(path, Kind::InvalidTokenDigest);
                    continue;
                };
                if let Some(first) = tokens.get(&digest) {
                    self.report(path, Kind::DuplicateToken(String::clone(first)));
                } else {
                    tokens.insert(digest, path);
                }
                token_digests.push(digest);
            }
            let rate = workspace.rate_per_s;
            if !(rate.is_finite() && rate > 0.0) {
                self.report(format!("{path}.rate_per_s"), Kind::InvalidRate(rate.to_string()));
            }
            workspaces.push(Workspace {
                name: WorkspaceName::new(&workspace.name),
                token_digests,
                rate_per_s: rate,
                burst: self.check_u32(&format!("{path}.burst"), workspace.burst, 1),
                weight: self.check_u32(&format!("{path}.weight"), workspace.weight.unwrap_or(1), 1),
                max_priority: self
                    .check_priority(&format!("{path}.max_priority"), workspace.max_priority),
            });
        }
        workspaces
    }

    fn deadlines(&mut self, raw: &RawDocument) -> Deadlines {
        let raw_deadlines = raw.deadlines.clone().unwrap_or_default();
        let max_ms = self.check_time_ms(
            "deadlines.max_ms",
            raw_deadlines.max_ms.unwrap_or(DEFAULT_MAX_DEADLINE_MS),
        );
        let default_ms = raw_deadlines.default_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let default_ms = self.check_time_ms("deadlines.default_ms", default_ms);
        if default_ms > max_ms {
            self.report("deadlines.default_ms", Kind::DefaultAboveMax { default_ms, max_ms });
        }
        Deadlines { default_ms, max_ms }
    }

    fn placement(&mut self, raw: &RawPlacement) -> PlacementPolicy {
        let objective = match raw.objective.as_str() {
            "skew" => Objective::Skew,
            "cost" => Objective::Cost,
            other => {
                self.report("placement.objective", Kind::UnknownObjective(other.to_owned()));
                Objective::Skew
            }
        };
        let max_moves = raw.max_moves.unwrap_or(DEFAULT_MAX_MOVES);
        let min_interval_ms = raw.min_interval_ms.unwrap_or(DEFAULT_MIN_INTERVAL_MS);
        PlacementPolicy {
            objective,
            max_moves: self.check_u32("placement.max_moves", max_moves, 1),
            min_interval_ms: self.check_time_ms("placement.min_interval_ms", min_interval_ms),
        }
    }
}

fn digest_from_hex(text: &str) -> Option<[u8; 32]> {
    let digits: Vec<u8> = text
        .chars()
        .map(|c| c.to_digit(16).and_then(|d| u8::try_from(d).ok()))
        .collect::<Option<_>>()?;
    let (pairs, rest) = digits.as_chunks::<2>();
    let bytes: Vec<u8> = pairs.iter().map(|[high, low]| high << 4 | low).collect();
    if rest.is_empty() { bytes.try_into().ok() } else { None }
}
