//! Findings of a route table.

use std::collections::{HashMap, HashSet};

use crate::decisions::check::place::Place;
use crate::decisions::check::{Finding, FindingKind};
use crate::decisions::units::float_ms;
use crate::ids::RegionName;
use crate::routes::checked::{MAX_PRIORITY, Route, RouteTableError, normalize_host};
use crate::routes::raw::{
    EngineProfile, RawRoute, RawRouteTable, RawRouteWorkspace, RawService, RequestKind,
};

/// The findings of a route table: an error for each reason to refuse it, and warnings.
#[must_use]
pub fn check_routes(table: &RawRouteTable) -> Vec<Finding> {
    let mut checker = Checker { table, findings: Vec::new() };
    checker.routes();
    checker.services();
    checker.workspaces();
    checker.caller_limits();
    checker.findings
}

struct Checker<'a> {
    table: &'a RawRouteTable,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn report(&mut self, place: Place, kind: &FindingKind) {
        self.findings.push(Finding::new(place, None, kind));
    }

    fn routes(&mut self) {
        let mut first_by_target: HashMap<(String, &str), usize> = HashMap::new();
        for (index, route) in self.table.routes.iter().enumerate() {
            let place = Place::root().element("routes", index, &route_name(route, index));
            if let Err(error) = Route::try_from(route.clone()) {
                let field = match error {
                    RouteTableError::Prefix { .. } => "path_prefix",
                    _ => "split",
                };
                self.report(place.field(field), &FindingKind::Routes(error));
                continue;
            }
            let target = (normalize_host(&route.host), route.path_prefix.as_str());
            let first = *first_by_target.entry(target).or_insert(index);
            if first != index {
                let kind = FindingKind::HiddenRoute {
                    hidden: route_name(route, index),
                    by: route_name(&self.table.routes[first], first),
                };
                self.report(place.field("path_prefix"), &kind);
            }
            if route.path_prefix.contains(['?', '#', ' ']) {
                let kind = FindingKind::PrefixNeverMatches(route.path_prefix.clone());
                self.report(place.field("path_prefix"), &kind);
            }
            self.shares(&place, route);
            self.route_limits(&place, route);
            self.regions(&place, route);
        }
    }

    fn shares(&mut self, route_place: &Place, route: &RawRoute) {
        for (index, share) in route.split.iter().enumerate().filter(|(_, share)| share.weight == 0)
        {
            let place = route_place.element("split", index, &share.service).field("weight");
            self.report(place, &FindingKind::ServiceWithoutWeight(share.service.clone()));
        }
    }

    fn route_limits(&mut self, place: &Place, route: &RawRoute) {
        let RawRoute { timeout_ms, target_ms, .. } = *route;
        if timeout_ms == 0 {
            self.report(place.field("timeout_ms"), &FindingKind::NoTime);
        } else if target_ms > timeout_ms {
            let kind = FindingKind::TargetAboveTimeout { target_ms, timeout_ms };
            self.report(place.field("target_ms"), &kind);
        }
        if let Some(gap_ms) = route.target_gap_ms.filter(|gap_ms| *gap_ms > timeout_ms.max(1)) {
            let kind = FindingKind::GapAboveTimeout { gap_ms, timeout_ms };
            self.report(place.field("target_gap_ms"), &kind);
        }
        if route.priority > MAX_PRIORITY {
            let kind = FindingKind::PriorityOutOfRange(route.priority);
            self.report(place.field("priority"), &kind);
        }
        // A request that may not repeat still goes to another endpoint after one that has proved not to have run it,
        // so no number of attempts is too high for a kind.
        if route.max_attempts == 0 {
            self.report(place.field("max_attempts"), &FindingKind::NoAttempts);
        }
        if route.is_resumable && route.kind != RequestKind::Streaming {
            self.report(place.field("is_resumable"), &FindingKind::ResumableWithoutStream);
        }
    }

    fn regions(&mut self, route_place: &Place, route: &RawRoute) {
        let Some(allowed) = &route.allowed_regions else { return };
        let place = route_place.field("allowed_regions");
        if allowed.is_empty() {
            self.report(place, &FindingKind::NoRegion);
            return;
        }
        let allowed: HashSet<&RegionName> = allowed.iter().collect();
        for workspace in self.table.workspaces.iter().filter(|workspace| !workspace.keys.is_empty())
        {
            let own = workspace.allowed_regions.as_deref().unwrap_or_default();
            // An empty list is reported at the workspace itself.
            if !own.is_empty() && !own.iter().any(|region| allowed.contains(region)) {
                let kind = FindingKind::NoCommonRegion(workspace.name.clone());
                self.report(place.clone(), &kind);
            }
        }
    }

    fn services(&mut self) {
        let shares = self.table.routes.iter().flat_map(|route| &route.split);
        let named: HashSet<&str> = shares.map(|share| share.service.as_str()).collect();
        let mut listed = HashSet::new();
        for (index, service) in self.table.services.iter().enumerate() {
            let name = service.name.as_str();
            let place = Place::root().element("services", index, name);
            if !listed.insert(name) {
                self.report(place.field("name"), &FindingKind::RepeatedService(name.to_owned()));
            } else if !named.contains(name) {
                self.report(place.field("name"), &FindingKind::UnusedService(name.to_owned()));
            }
            self.service_limits(&place, service);
        }
    }

    fn service_limits(&mut self, place: &Place, service: &RawService) {
        let cold_per_s = service.cold_per_s;
        let warm_per_s = service.engine_profile.as_ref().and_then(max_begun_per_s);
        if let Some(warm_per_s) = warm_per_s.filter(|warm_per_s| cold_per_s > *warm_per_s) {
            let kind = FindingKind::ColdAboveWarm { cold_per_s, warm_per_s };
            self.report(place.field("cold_per_s"), &kind);
        }
        if let Some(shape) = service.experts.filter(|shape| shape.max_new_experts > shape.slots) {
            let kind = FindingKind::NewExpertsAboveSlots {
                new: shape.max_new_experts,
                slots: shape.slots,
            };
            self.report(place.field("experts").field("max_new_experts"), &kind);
        }
    }

    fn workspaces(&mut self) {
        let mut owners: HashMap<&str, usize> = HashMap::new();
        for (index, workspace) in self.table.workspaces.iter().enumerate() {
            let place = Place::root().element("workspaces", index, &workspace.name);
            if workspace.keys.is_empty() {
                let kind = FindingKind::WorkspaceWithoutKeys(workspace.name.clone());
                self.report(place.field("keys"), &kind);
            }
            self.keys(&place, index, workspace, &mut owners);
            if let Some(priority) = workspace.priority.filter(|priority| *priority > MAX_PRIORITY) {
                let kind = FindingKind::PriorityOutOfRange(priority);
                self.report(place.field("priority"), &kind);
            }
            if workspace.allowed_regions.as_ref().is_some_and(Vec::is_empty) {
                self.report(place.field("allowed_regions"), &FindingKind::NoRegion);
            }
        }
    }

    /// Keys are secret, so findings name them by their index only.
    fn keys<'k>(
        &mut self,
        workspace_place: &Place,
        workspace_index: usize,
        workspace: &'k RawRouteWorkspace,
        owners: &mut HashMap<&'k str, usize>,
    ) {
        for (index, key) in workspace.keys.iter().enumerate() {
            let owner = *owners.entry(key).or_insert(workspace_index);
            let is_repeated = workspace.keys[..index].contains(key);
            let kind = if owner != workspace_index {
                FindingKind::Routes(RouteTableError::SharedKey {
                    first: self.table.workspaces[owner].name.clone(),
                    second: workspace.name.clone(),
                })
            } else if is_repeated {
                FindingKind::RepeatedKey
            } else {
                continue;
            };
            let place = workspace_place.element("keys", index, &index.to_string());
            self.report(place, &kind);
        }
    }

    fn caller_limits(&mut self) {
        let limits = &self.table.caller_limits;
        if limits.max_header_bytes > limits.max_body_bytes {
            let kind = FindingKind::HeaderAboveBody {
                header_bytes: limits.max_header_bytes,
                body_bytes: limits.max_body_bytes,
            };
            let place = Place::root().field("caller_limits").field("max_header_bytes");
            self.report(place, &kind);
        }
    }
}

fn route_name(route: &RawRoute, index: usize) -> String {
    if route.name.is_empty() { index.to_string() } else { route.name.clone() }
}

/// The most requests that an idle engine begins within one second by its profile: those that fill its slots, and one
/// for each that ends when all slots are used, where the rate is highest. `None` if the profile does not tell the
/// length of an answer. Prefill is left out, since cached prompts take none.
fn max_begun_per_s(engine: &EngineProfile) -> Option<f64> {
    let slots = f64::from(engine.slots);
    let answer_tokens = engine.cost?.typical_answer_tokens;
    let step_ms = engine.per_request_ms.mul_add(slots, engine.step_ms);
    let ended_per_s = slots * float_ms(1_000) / (answer_tokens * step_ms);
    let is_usable = answer_tokens >= 1.0 && step_ms > 0.0 && engine.slots > 0;
    (is_usable && ended_per_s.is_finite()).then_some(slots + ended_per_s)
}
