//! Findings of a check: each rule, none that is wrong, and agreement with what the library accepts.

#[path = "gateway/tables.rs"]
mod tables;

#[path = "support/engine_profile.rs"]
mod engine_profile;

use engine_profile::ENGINE;
use lycheewood::{
    AllowedRegions, CheckReport, CostProfile, EngineProfile, ExpertShape, Finding,
    MAX_CONFIGURATION_BYTES, RawRoute, RawRouteTable, RawRouteWorkspace, RawService,
    RawTrafficShare, RegionName, RequestKind, RouteTable, Severity, check_document, check_routes,
    check_yaml, decode_text, difference, difference_of, key_label,
};
use proptest::prelude::*;
use serde_json::{Value, json};

const FULL: &str = include_str!("data/document.yaml");
const COST: &str = include_str!("data/cost.yaml");
/// Sources with documents as text.
const SOURCES: [&str; 3] = [
    include_str!("support/deployment.rs"),
    include_str!("../../lycheewood-daemon/tests/support/processes.rs"),
    include_str!("../../lycheewood-daemon/benches/soak/faults.rs"),
];

/// The documents in a source text, each of which ends with its string literal.
fn documents_in(source: &'static str) -> impl Iterator<Item = &'static str> {
    let starts = source.match_indices("\nschema: 1\n").map(|(start, _)| &source[start..]);
    starts.map(|text| &text[..text.find("\";").expect("the literal ends")])
}

/// `severity path: message`, without the line.
fn short(finding: &Finding) -> String {
    format!("{} {}: {}", finding.severity, finding.path, finding.message)
}

fn shorts(findings: &[Finding]) -> Vec<String> {
    findings.iter().map(short).collect()
}

/// Guards against findings in documents that the examples and tests of the repository use without fault.
#[test]
fn documents_of_the_repository_have_no_finding() {
    let from_sources: Vec<&str> = SOURCES.into_iter().flat_map(documents_in).collect();
    assert_eq!(from_sources.len(), 4, "a document moved to another source");
    for text in from_sources.into_iter().chain([FULL, COST]) {
        let (report, document) = check_yaml(text.as_bytes());
        assert_eq!(report.findings, [], "{text}");
        assert!(document.is_some());
    }
}

/// Text to replace in the full example, its replacement, and the only finding.
#[rustfmt::skip]
const DOCUMENT_EDITS: &[(&str, &str, &str)] = &[
    ("weight: 1}", "weight: 0}", "warning models[0].versions[1].weight: the version `v4` has weight 0 and receives no requests"),
    ("DELETE, path_prefix: /bookings", "POST, path_prefix: /bookings/new", "warning endpoints[1].non_idempotent[1]: `POST /bookings/new` matches only calls that `POST /bookings` matches too"),
    ("POST, path_prefix: /bookings", "DELETE, path_prefix: /", "warning endpoints[1].non_idempotent[1]: `DELETE /bookings` matches only calls that `DELETE /` matches too"),
    ("burst: 80", "burst: 0", "error workspaces[0].burst: 0 is out of range"),
    ("default_ms: 30000", "default_ms: 600001", "error deadlines.default_ms: the default of 600001 ms is above max_ms"),
    ("burst: 80", "brust: 80", "error workspaces[0].brust: unknown field `brust`"),
    ("service: co-op", "service: *x", "error : the text is not valid YAML: alias references unknown anchor"),
];

/// Guards against a rule for documents that finds nothing, or finds it at another place.
#[test]
fn each_rule_for_documents_names_its_field() {
    for (from, to, expected) in DOCUMENT_EDITS {
        let text = FULL.replacen(from, to, 1);
        assert_ne!(text, FULL, "`{from}` is in the example");
        let (report, document) = check_yaml(text.as_bytes());
        assert_eq!(shorts(&report.findings), [*expected]);
        assert!(report.findings[0].line.is_some() && !report.findings[0].remedy.is_empty());
        assert_eq!(document.is_some(), expected.starts_with("warning"));
    }
}

fn regions(names: &[&str]) -> Vec<RegionName> {
    names.iter().map(|name| RegionName::new(name)).collect()
}

fn service(name: &str) -> RawService {
    RawService {
        name: name.to_owned(),
        max_connections: 10,
        experts: None,
        engine_profile: None,
        cold_per_s: 0.0,
    }
}

/// 10 slots, steps of 10 ms with all of them, answers of 100 tokens: 10 answers a second.
fn engine() -> EngineProfile {
    let cost = CostProfile {
        context_ms_per_k: 0.0,
        pairs_ms_per_m: 0.0,
        chunk_tokens: None,
        typical_answer_tokens: 100.0,
    };
    EngineProfile { slots: 10, step_ms: 5.0, per_request_ms: 0.5, cost: Some(cost), ..ENGINE }
}

/// A change of a table without findings, and the findings that it brings.
type TableEdit = (fn(&mut RawRouteTable), &'static [&'static str]);

#[rustfmt::skip]
const TABLE_EDITS: &[TableEdit] = &[
    (|table| table.routes[1].path_prefix = "/once".into(), &["error routes[1].path_prefix: route `once`: the path prefix `/once` does not begin and end with `/`"]),
    (|table| table.routes[1].split[0].weight = 0, &["error routes[1].split: route `once`: no service has a weight"]),
    (|table| table.workspaces[1].keys.push("key-1".into()), &["error workspaces[1].keys[1]: workspaces `team` and `second` have a key in common"]),
    (|table| { table.routes[1].path_prefix = "/read/".into(); table.routes[1].host = "ONE.example.:80".into(); }, &["warning routes[1].path_prefix: the route `once` never matches: `read` stands before it with the same host and prefix"]),
    (|table| table.routes[1].path_prefix = "/read/more/".into(), &[]),
    (|table| { table.routes[1].path_prefix = "/read/".into(); table.routes[1].host = "two.example".into(); }, &[]),
    (|table| table.routes[1].path_prefix = "/once?a=1/".into(), &["warning routes[1].path_prefix: the prefix `/once?a=1/` never matches: paths are compared without query and fragment and have no spaces"]),
    (|table| table.routes[1].split.push(RawTrafficShare { service: "new".into(), weight: 0 }), &["warning routes[1].split[1].weight: the service `new` has weight 0 and receives no requests"]),
    (|table| table.services.push(service("old")), &["warning services[1].name: no route names the service `old`"]),
    (|table| table.services.push(service("work")), &["warning services[1].name: the service `work` is listed before"]),
    (|table| table.services.clear(), &[]),
    (|table| table.workspaces[1].keys.clear(), &["warning workspaces[1].keys: the workspace `second` has no key, so no request belongs to it"]),
    (|table| table.workspaces[1].keys.push("key-2".into()), &["warning workspaces[1].keys[1]: the key is listed before in the same workspace"]),
    (|table| table.routes[1].allowed_regions = Some(regions(&[])), &["warning routes[1].allowed_regions: no region is allowed"]),
    (|table| table.workspaces[1].allowed_regions = Some(regions(&[])), &["warning workspaces[1].allowed_regions: no region is allowed"]),
    (|table| { table.routes[1].allowed_regions = Some(regions(&["a", "b"])); table.workspaces[1].allowed_regions = Some(regions(&["c"])); }, &["warning routes[1].allowed_regions: no region is allowed by both the route and the workspace `second`, so its requests get 503 here"]),
    (|table| { table.routes[1].allowed_regions = Some(regions(&["a", "b"])); table.workspaces[1].allowed_regions = Some(regions(&["b"])); }, &[]),
    (|table| table.routes[1].allowed_regions = Some(regions(&["a"])), &[]),
    (|table| table.routes[1].target_ms = 2_001, &["warning routes[1].target_ms: the target of 2001 ms is above the timeout of 2000 ms"]),
    (|table| table.routes[1].target_ms = 2_000, &[]),
    (|table| table.routes[1].timeout_ms = 0, &["warning routes[1].timeout_ms: a timeout of 0 ms refuses every request"]),
    (|table| table.routes[2].target_gap_ms = Some(2_001), &["warning routes[2].target_gap_ms: the interval of 2001 ms between events is above the timeout of 2000 ms"]),
    (|table| table.routes[2].target_gap_ms = Some(120), &[]),
    (|table| table.routes[1].priority = 10, &["warning routes[1].priority: priority 10 counts as 9, the least urgent one"]),
    (|table| table.workspaces[0].priority = Some(200), &["warning workspaces[0].priority: priority 200 counts as 9, the least urgent one"]),
    (|table| table.routes[1].max_attempts = 0, &["warning routes[1].max_attempts: 0 attempts count as 1"]),
    (|table| table.routes[1].is_resumable = true, &["warning routes[1].is_resumable: only streams are resumed, and the route has another kind"]),
    (|table| { table.services[0].engine_profile = Some(engine()); table.services[0].cold_per_s = 21.0; }, &["warning services[0].cold_per_s: 21 requests/s to a cold endpoint are more than the 20.0 that a warm one begins in any second by its profile"]),
    (|table| { table.services[0].engine_profile = Some(engine()); table.services[0].cold_per_s = 19.0; }, &[]),
    (|table| { table.services[0].engine_profile = Some(EngineProfile { cost: None, ..engine() }); table.services[0].cold_per_s = 900.0; }, &[]),
    (|table| table.services[0].experts = Some(shape(3)), &[]),
    (|table| table.services[0].experts = Some(shape(4)), &["warning services[0].experts.max_new_experts: 4 new experts per change are more than the 3 that a rank holds"]),
    (|table| table.caller_limits.max_body_bytes = 1_024, &["warning caller_limits.max_header_bytes: a head may have 16384 bytes and a body only 1024"]),
];

fn shape(max_new_experts: usize) -> ExpertShape {
    let (expert_mb, link_mbps) = (1.0, 1.0);
    ExpertShape { sets: 1, experts: 4, slots: 3, max_new_experts, expert_mb, link_mbps }
}

/// The table of the gateway's tests with its service and a second workspace.
fn table() -> RawRouteTable {
    let mut table = tables::routes(1);
    // The edits are just above this timeout.
    table.routes.iter_mut().for_each(|route| route.timeout_ms = 2_000);
    table.services.push(service("work"));
    table.workspaces.push(RawRouteWorkspace {
        name: "second".to_owned(),
        keys: vec!["key-2".to_owned()],
        priority: Some(3),
        allowed_regions: None,
    });
    table
}

/// Guards against a rule for route tables that finds nothing, finds it elsewhere, or finds what is sound.
#[test]
fn each_rule_for_route_tables_names_its_field() {
    assert_eq!(check_routes(&tables::routes(1)), []);
    assert_eq!(check_routes(&table()), []);
    for (edit, expected) in TABLE_EDITS {
        let mut table = table();
        edit(&mut table);
        let findings = check_routes(&table);
        assert_eq!(shorts(&findings), *expected);
        assert!(findings.iter().all(|finding| !finding.remedy.is_empty()), "{findings:?}");
    }
}

/// Guards against a panic or acceptance of a text that cannot be read as a configuration.
#[test]
fn unreadable_texts_are_errors() {
    let too_large = vec![b'a'; MAX_CONFIGURATION_BYTES + 1];
    let finding = decode_text(&too_large).expect_err("too large");
    assert_eq!(short(&finding), "error : the text has more than 16777216 bytes");
    let finding = decode_text(b"schema: 1\nservice: \xff\n").expect_err("not UTF-8");
    assert_eq!(short(&finding), "error : the text is not valid UTF-8 in this line");
    assert_eq!(finding.line, Some(2));
    for bytes in
        [&too_large[..], b"\xff", b"", b"\0", &b"[".repeat(100_000), &b"{a: ".repeat(9_000)]
    {
        let (report, document) = check_yaml(bytes);
        assert!(report.count(Severity::Error) > 0 && document.is_none());
    }
}

/// Guards against findings that count as new because an element stands elsewhere, and against new ones that do not.
#[test]
fn only_findings_that_the_former_version_lacks_are_new() {
    let former = FULL.replace("weight: 1}", "weight: 0}");
    let (former, _) = check_yaml(former.as_bytes());
    // The summary model now stands first, and its version has a new companion without weight.
    let summary = "  - name: summary\n    versions:\n      - name: v1\n";
    let text = FULL.replace(summary, "").replace("weight: 1}", "weight: 0}").replace(
        "models:\n  - name: chat",
        &format!("models:\n{summary}      - {{name: v0, weight: 0}}\n  - name: chat"),
    );
    let (report, _) = check_yaml(text.as_bytes());
    let report = report.compared(&former.findings, Vec::new());
    let new: Vec<_> =
        report.findings.iter().map(|finding| (finding.path.as_str(), finding.is_new)).collect();
    let expected = [
        ("models[0].versions[1].weight", Some(true)),
        ("models[1].versions[1].weight", Some(false)),
    ];
    assert_eq!(new, expected);
}

/// Guards against a difference that leaves out an element because another one has its name.
#[test]
fn elements_with_one_name_are_not_merged() {
    let lists = [("routes", None)];
    let old = json!({"routes": [{"name": "a", "x": 1}, {"name": "b", "x": 2}]});
    let swapped = json!({"routes": [{"name": "b", "x": 2}, {"name": "a", "x": 1}]});
    assert_eq!(difference_of(&old, &swapped, &lists), []);
    let changed = json!({"routes": [{"name": "a", "x": 1}, {"name": "b", "x": 3}]});
    assert_eq!(difference_of(&old, &changed, &lists)[0].to_string(), "~ routes.b.x: 2 -> 3");
    let repeated = |x: u32| json!({"routes": [{"name": "a", "x": x}, {"name": "a", "x": 2}]});
    assert_eq!(difference_of(&repeated(1), &repeated(3), &lists).len(), 1);
    let unnamed = |x: u32| json!({"routes": [{"x": x}]});
    assert_eq!(difference_of(&unnamed(1), &unnamed(2), &lists).len(), 1);
}

/// Guards against labels that show a part of a key, and against equal labels of different keys.
#[test]
fn labels_of_keys_hide_them() {
    assert_eq!(key_label("secret-1"), key_label("secret-1"));
    assert_ne!(key_label("secret-1"), key_label("secret-2"));
    assert!(!key_label("secret-1").contains("secret"));
}

fn any_name() -> impl Strategy<Value = String> {
    prop_oneof![9 => "[a-c]", 1 => "[A;` ]{0,2}"]
}

prop_compose! {
    fn any_route()(
        name in any_name(),
        host in prop_oneof![Just("h"), Just("H."), Just("h:80"), Just("g")],
        path_prefix in prop_oneof![
            Just("/"), Just("/a/"), Just("/a/b/"), Just("/b/"), Just("/a?/"), Just("a/")
        ],
        (kind, priority, max_attempts) in (
            prop_oneof![
                Just(RequestKind::Idempotent),
                Just(RequestKind::NonIdempotent),
                Just(RequestKind::Streaming),
            ],
            0..12_u8,
            0..3_u32,
        ),
        (timeout_ms, target_ms, target_gap_ms) in
            (0..4_u64, 0..4_u64, proptest::option::of(0..4_u64)),
        split in proptest::collection::vec((any_name(), 0..3_u64), 0..3),
        is_resumable: bool,
        allows_anonymous: bool,
        allowed_regions in any_regions(),
    ) -> RawRoute {
        let share = |(service, weight)| RawTrafficShare { service, weight };
        RawRoute {
            name, host: host.to_owned(), path_prefix: path_prefix.to_owned(), kind, timeout_ms, target_ms, priority,
            split: split.into_iter().map(share).collect(),
            max_attempts, allows_anonymous, is_resumable, target_gap_ms, allowed_regions,
        }
    }
}

fn any_regions() -> impl Strategy<Value = Option<Vec<RegionName>>> {
    let region = prop_oneof![Just("r"), Just("s"), Just("t")].prop_map(RegionName::new);
    proptest::option::of(proptest::collection::vec(region, 0..3))
}

prop_compose! {
    fn any_workspace()(
        name in any_name(),
        keys in proptest::collection::vec("[a-e]", 0..3),
        priority in proptest::option::of(0..12_u8),
        allowed_regions in any_regions(),
    ) -> RawRouteWorkspace {
        RawRouteWorkspace { name, keys, priority, allowed_regions }
    }
}

prop_compose! {
    fn any_table()(
        routes in proptest::collection::vec(any_route(), 0..5),
        services in proptest::collection::vec(any_name(), 0..3),
        workspaces in proptest::collection::vec(any_workspace(), 0..3),
    ) -> RawRouteTable {
        let services = services.iter().map(|name| service(name)).collect();
        RawRouteTable { version: 1, routes, services, workspaces, ..RawRouteTable::default() }
    }
}

/// Edits of the full example, some of which the library refuses.
const EDITS: [(&str, &str); 14] = [
    ("schema: 1", "schema: 2"),
    ("service: co-op", "service: Co; op"),
    ("weight: 9}", "weight: 0}"),
    ("weight: 1}", "weight: 0}"),
    ("[chat, summary]", "[chat]"),
    ("checks_fencing: true", "priority: 1"),
    ("POST, path_prefix: /bookings", "DELETE, path_prefix: /book"),
    ("DELETE, path_prefix: /bookings", "POST, path_prefix: /bookings/x"),
    ("DELETE, path_prefix: /bookings", "POST, path_prefix: book"),
    ("burst: 80", "burst: 0"),
    ("rate_per_s: 2.5", "rate_per_s: -1"),
    ("max_ms: 600000", "max_ms: 1"),
    ("objective: skew", "objective: speed; now"),
    ("quarantine_ms: 3600000", "quarantine: 1"),
];

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against errors in documents that the library accepts, against refused ones without an error, and against
    /// findings without a place or a remedy.
    #[test]
    fn documents_have_errors_if_and_only_if_they_are_refused(
        chosen in proptest::collection::vec(0..EDITS.len(), 0..4)
    ) {
        let text = chosen.iter().fold(FULL.to_owned(), |text, index| {
            text.replacen(EDITS[*index].0, EDITS[*index].1, 1)
        });
        let accepted = lycheewood::RawDocument::from_yaml(&text);
        let (report, document) = check_yaml(text.as_bytes());
        prop_assert_eq!(report.count(Severity::Error) == 0, accepted.is_ok());
        prop_assert_eq!(document.is_some(), accepted.is_ok());
        for finding in &report.findings {
            prop_assert!(!finding.message.is_empty() && !finding.remedy.is_empty(), "{}", finding);
            prop_assert!(finding.line.is_some(), "{}", finding);
        }
        if let Ok((raw, document)) = accepted {
            prop_assert_eq!(check_document(&document).len(), report.findings.len());
            prop_assert!(difference(&raw.to_value(), &raw.to_value()).is_empty());
        }
    }

    /// Guards against a warning of a covered pattern that does change which calls may repeat.
    #[test]
    fn covered_patterns_change_nothing(
        patterns in proptest::collection::hash_set(("(GET|PUT)", "/[ab]{0,3}"), 1..5),
        calls in proptest::collection::vec(("(GET|PUT)", "/[ab]{0,4}"), 1..20),
    ) {
        let document = |skip: &[usize]| {
            let kept = patterns.iter().enumerate().filter(|(index, _)| !skip.contains(index));
            let list: Vec<Value> = kept
                .map(|(_, (method, prefix))| json!({"method": method, "path_prefix": prefix}))
                .collect();
            let text = FULL.replace(
                "      - {method: POST, path_prefix: /bookings}\n      - {method: DELETE, path_prefix: /bookings}",
                &format!("      {}", json!(list)),
            );
            lycheewood::RawDocument::from_yaml(&text).expect("a valid document").1
        };
        let whole = document(&[]);
        let index_of = |finding: &Finding| {
            let index = finding.path.strip_prefix("endpoints[1].non_idempotent[")?;
            index.trim_end_matches(']').parse::<usize>().ok()
        };
        let covered: Option<Vec<usize>> = check_document(&whole).iter().map(index_of).collect();
        let reduced = document(&covered.expect("only patterns are reported"));
        let is_once = |document: &lycheewood::Document, method: &str, path: &str| {
            document.service("booking").expect("the service").is_non_idempotent(method, path)
        };
        for (method, path) in &calls {
            prop_assert_eq!(is_once(&whole, method, path), is_once(&reduced, method, path));
        }
    }

    /// Guards against errors in route tables that gateways accept, against refused ones without an error, and against
    /// warnings that are not true of the accepted table.
    #[test]
    fn findings_of_route_tables_agree_with_gateways(table in any_table()) {
        let findings = check_routes(&table);
        let accepted = RouteTable::try_from(table.clone());
        let report = CheckReport::new(findings.clone());
        prop_assert_eq!(report.count(Severity::Error) == 0, accepted.is_ok(), "{}", report);
        for finding in &findings {
            prop_assert!(!finding.path.is_empty() && !finding.remedy.is_empty(), "{}", finding);
        }
        // Each route gets its own name, by which the accepted table tells which one matches.
        let mut numbered = table.clone();
        for (index, route) in numbered.routes.iter_mut().enumerate() {
            route.name = index.to_string();
        }
        let Ok(accepted) = RouteTable::try_from(numbered) else { return Ok(()) };
        for (index, route) in table.routes.iter().enumerate() {
            let own = findings.iter().filter(|finding| finding.path.starts_with(&format!("routes[{index}].")));
            let own: Vec<String> = own.map(short).collect();
            let matched = accepted.route(&route.host, &route.path_prefix).map(|route| &route.name);
            let is_matched = matched == Some(&index.to_string());
            prop_assert_eq!(!is_matched, own.iter().any(|text| text.contains("` stands before it")));
            for workspace in table.workspaces.iter().filter(|workspace| !workspace.keys.is_empty()) {
                let allowed = AllowedRegions {
                    route: route.allowed_regions.as_deref(),
                    workspace: workspace.allowed_regions.as_deref(),
                };
                let named = format!("the workspace `{}`, so its requests get 503", workspace.name);
                let permits = ["r", "s", "t", "u"].map(RegionName::new).iter().any(|region| allowed.permits(Some(region)));
                let is_listed = [&route.allowed_regions, &workspace.allowed_regions]
                    .into_iter().all(|list| list.as_ref().is_some_and(|list| !list.is_empty()));
                if is_listed && !permits {
                    prop_assert!(own.iter().any(|text| text.contains(&named)), "{:?}", own);
                }
                let is_only = table.workspaces.iter().filter(|other| other.name == workspace.name).count() == 1;
                if permits && is_only {
                    prop_assert!(!own.iter().any(|text| text.contains(&named)), "{:?}", own);
                }
            }
        }
    }

    /// Guards against a panic on any text.
    #[test]
    fn any_bytes_are_accepted_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let (report, document) = check_yaml(&bytes);
        prop_assert_eq!(document.is_some(), report.count(Severity::Error) == 0);
    }
}
