//! Validation of documents: each error is reported with its path, its line and a remedy.

use lycheewood::{
    Document, EndpointRole, Objective, PatchError, RawDocument, apply_patch, difference,
    patch_between,
};
use serde_json::{Value, json};

const FULL: &str = include_str!("data/document.yaml");
const COST: &str = include_str!("data/cost.yaml");

fn parse(text: &str) -> (RawDocument, Document) {
    RawDocument::from_yaml(text).expect("the example is valid")
}

/// Guards against example documents that the daemon rejects.
#[test]
fn examples_are_valid() {
    let (_, full) = parse(FULL);
    assert_eq!(full.placement.objective, Objective::Skew);
    assert!(full.service("booking").unwrap().is_non_idempotent("POST", "/bookings/7"));
    assert_eq!(full.workspaces[0].token_digests.len(), 2);
    let (_, cost) = parse(COST);
    assert_eq!(cost.placement.objective, Objective::Cost);
    assert!(matches!(&cost.endpoints[1].role, EndpointRole::Service { priority: 5, .. }));
    assert_eq!((cost.deadlines.default_ms, cost.quarantine_ms), (30_000, 3_600_000));
}

/// Text to replace in the full example, its replacement, and how the message starts. `FIRST` stands for
/// the first token digest.
#[rustfmt::skip]
const INVALID_EDITS: &[(&str, &str, &str)] = &[
    ("schema: 1", "schema: 2", "schema (line 2): schema 2 is not known; write `schema: 1`"),
    ("service: co-op", "service: Co op", "service (line 3): `Co op` is not a name;"),
    ("service: co-op", "service: 7", "service (line 3): invalid type: integer `7`, expected a string; write a value of that type"),
    ("service: co-op\n", "", "document (line 2): the field `service` is missing; add it"),
    ("service: co-op", "service: *x", "document (line 3): the text is not valid YAML: alias references unknown anchor; correct it there"),
    ("burst: 80", "burst: 80\n    burst: 81", "document (line 31): the text is not valid YAML: duplicate mapping key: burst; correct it there"),
    ("burst: 80", "colour: 80", "workspaces[0].colour (line 30): unknown field `colour`; write one of name, token_sha256,"),
    ("burst: 80", "brust: 80", "workspaces[0].brust (line 30): unknown field `brust`; did you mean `burst`?"),
    ("burst: 80", "burst: 0", "workspaces[0].burst (line 30): 0 is out of range; write a number from 1 to 4294967295"),
    ("rate_per_s: 40", "rate_per_s: -1", "workspaces[0].rate_per_s (line 29): -1 is not a rate;"),
    ("weight: 4", "weight: 0", "workspaces[0].weight (line 31): 0 is out of range; write a number from 1"),
    ("max_priority: 9", "max_priority: 10", "workspaces[0].max_priority (line 32): 10 is out of range; write a number from 0 to 9"),
    ("name: reports", "name: front-desk", "workspaces[1].name (line 33): `front-desk` is already used at workspaces[0].name;"),
    ("FIRST", "bdc65b4b0c7a4e0e", "workspaces[0].token_sha256[0] (line 27): not a SHA-256 digest; write the digest of the token as 64 hexadecimal digits"),
    ("token_sha256: [", "token_sha256: [FIRST, ", "workspaces[1].token_sha256[0] (line 34): the token is already listed at workspaces[0].token_sha256[0];"),
    ("priority: 6", "priority: 11", "models[0].priority (line 6): 11 is out of range; write a number from 0 to 9"),
    ("name: v4", "name: v3", "models[0].versions[1].name (line 9): `v3` is already used at models[0].versions[0].name;"),
    ("{name: v3, weight: 9}\n      - {name: v4, weight: 1}", "{name: v3, weight: 0}", "models[0].versions (line 7): every weight is 0;"),
    ("versions:\n      - name: v1", "versions: []", "models[1].versions (line 11): the list is empty; write at least one version"),
    ("[chat, summary]", "[chat]", "models[1].name (line 10): no endpoint kind serves the model `summary`;"),
    ("[chat, summary]", "[chat, summary, chatt]", "endpoints[0].models[2] (line 15): the model `chatt` is not in `models`; did you mean `chat`?"),
    ("[chat, summary]", "[chat, summary, chat]", "endpoints[0].models[2] (line 15): `chat` is already used at endpoints[0].models[0];"),
    ("checks_fencing: true", "priority: 1", "endpoints[0].priority (line 16): `priority` applies to plain services only;"),
    ("checks_fencing: true", "service: other", "endpoints[0] (line 14): an endpoint kind has either `models` or `service`;"),
    ("service: booking", "service: chat", "endpoints[1].service (line 18): `chat` is already used at models[0].name;"),
    ("method: POST", "method: post", "endpoints[1].non_idempotent[0].method (line 21): `post` is not a method; write one of GET,"),
    ("POST, path_prefix: /bookings", "POST, path_prefix: bookings", "endpoints[1].non_idempotent[0].path_prefix (line 21): `bookings` is not a path prefix; write a path that starts with `/`"),
    ("method: DELETE", "method: POST", "endpoints[1].non_idempotent[1] (line 22): `POST /bookings` is already used at endpoints[1].non_idempotent[0];"),
    ("default_ms: 30000", "default_ms: 600001", "deadlines.default_ms (line 38): the default of 600001 ms is above max_ms; write at most 600000, or raise max_ms"),
    ("max_ms: 600000", "max_ms: 0", "deadlines.max_ms (line 39): 0 is out of range;"),
    ("objective: skew", "objective: speed", "placement.objective (line 41): `speed` is not an objective; write `skew` or `cost`"),
    ("quarantine_ms: 3600000", "quarantine_ms: 1 h", "quarantine_ms (line 44): invalid type: string \"1 h\", expected u64; write a value"),
];

/// Guards against invalid documents that are accepted, and against messages with a wrong place or
/// without a remedy.
#[test]
fn faults_are_named() {
    let first_token = FULL.lines().find(|line| line.starts_with("      - ") && line.len() == 72);
    let first_token = first_token.expect("a token on its own line").trim_start_matches([' ', '-']);
    let mut failures = Vec::new();
    for (from, to, expected) in INVALID_EDITS {
        let text = FULL.replacen(
            &from.replace("FIRST", first_token),
            &to.replace("FIRST", first_token),
            1,
        );
        assert_ne!(text, FULL, "`{from}` is in the example");
        match RawDocument::from_yaml(&text) {
            Ok(_) => failures.push(format!("accepted: {to}")),
            Err(error) if error.to_string().lines().any(|line| line.starts_with(expected)) => {}
            Err(error) => failures.push(format!("expected: {expected}\n   found: {error}")),
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against validation that stops at the first violated rule.
#[test]
fn all_faults_are_reported() {
    let text = FULL.replace("burst: 80", "burst: 0").replace("skew", "speed");
    assert_eq!(RawDocument::from_yaml(&text).unwrap_err().errors.len(), 2);
}

/// Guards against texts without fields that are parsed as a document.
#[test]
fn texts_without_fields_are_refused() {
    for text in ["", "[]", "schema"] {
        let error = RawDocument::from_yaml(text).unwrap_err().to_string();
        let expected =
            "document (line 1): the document has no fields; write fields such as `schema: 1`";
        assert_eq!(error, expected, "{text}");
    }
}

/// Guards against patches that lose a change or contain unchanged workspaces.
#[test]
fn patch_carries_only_the_change() {
    let old = parse(FULL).0.to_value();
    let new = FULL.replace("burst: 80", "burst: 90").replace("    priority: 6\n", "");
    let new = parse(&new).0.to_value();
    let patch = patch_between(&old, &new);
    let expected = json!({
        "models": {"chat": {"priority": null}},
        "workspaces": {"front-desk": {"burst": 90}},
    });
    assert_eq!(patch, expected);
    assert!(difference(&apply_patch(&old, &patch).unwrap(), &new).is_empty());
    let shown: Vec<String> = difference(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(shown, ["- models.chat.priority: 6", "~ workspaces.front-desk.burst: 80 -> 90"]);
    let removed = apply_patch(&old, &json!({"workspaces": {"reports": null}})).unwrap();
    assert_eq!(removed["workspaces"].as_array().map(Vec::len), Some(1));
}

/// Guards against patches that produce elements with no name or with two names.
#[test]
fn malformed_patches_are_refused() {
    let old = parse(FULL).0.to_value();
    let apply = |patch: Value| apply_patch(&old, &patch).unwrap_err();
    assert_eq!(apply(json!([])), PatchError::NotObject);
    let named = json!({"workspaces": {"reports": {"name": "other"}}});
    assert_eq!(apply(named), PatchError::NameInElement("workspaces.reports".to_owned()));
    let text = json!({"workspaces": {"reports": "none"}});
    assert_eq!(apply(text), PatchError::ElementNotObject("workspaces.reports".to_owned()));
}
