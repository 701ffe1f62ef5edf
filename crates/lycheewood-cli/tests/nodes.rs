//! An operator's cases around running nodes.

#[path = "../../lycheewood/tests/support/deployment.rs"]
mod deployment;
#[path = "support/tool.rs"]
mod tool;

use deployment::{DOCUMENT, Deployment, TOKEN};
use lycheewood::{Incarnation, LeaseRecord, MapRecord, encode_record, group_scope};
use stand_ins::engine::EngineFaults;
use stand_ins::instance_list::{Instance, InstanceState, Role};
use tool::{file, run, run_each};

/// Questions after which a node should have read two records.
const MAX_QUESTIONS: usize = 200;

/// Guards against nodes that are missed, whichever node is asked first, and versions reported early.
#[test]
fn follow_finds_every_node_from_any_node() {
    let mut deployment = Deployment::start(DOCUMENT, 2, 2);
    let first = deployment.entries[0].admin_address();
    let endpoint = deployment.slots[1].daemon.admin_address();
    let edited = file("follow.yaml", &DOCUMENT.replace("burst: 1000000", "burst: 5"));
    let log = deployment.log.address();
    let line = format!("publish {edited} --log {log} --base 0 --follow --node {first}");
    let published = run(&format!("{line} --output json"));
    assert_eq!(published.code, Some(0), "{published:?}");
    let json = published.json();
    assert_eq!((&json["result"], &json["version"]), (&"accepted".into(), &1.into()));
    assert_eq!((&json["nodes"]["reached"], &json["nodes"]["known"]), (&5.into(), &5.into()));
    for node in [first, endpoint] {
        let list = deployment.list.address();
        let followed = run(&format!("follow 1 --node {node} --list {list}"));
        assert_eq!(followed.stdout, "version 1 is in force on 5 of 5 nodes\n", "{followed:?}");
        assert_eq!(followed.code, Some(0));
    }
    let early = run(&format!("follow 2 --node {first} --timeout-ms 2000 --output json"));
    assert_eq!(early.code, Some(6), "{early:?}");
    assert_eq!(early.json()["missing"].as_array().map(Vec::len), Some(5));
    deployment.slots.remove(0).daemon.shutdown();
    let left = run(&format!("follow 1 --node {first}"));
    assert_eq!(left.stdout, "version 1 is in force on 4 of 4 nodes\n", "{left:?}");
    let absent = Instance {
        id: "entry-9".to_owned(),
        role: Role::Entry,
        address: "127.0.0.1:9".to_owned(),
        failure_domain: "fd-1".to_owned(),
        state: InstanceState::Live,
    };
    deployment.runtime.block_on(deployment.list.set(vec![absent]));
    let list = deployment.list.address();
    let unlisted = run(&format!("follow 1 --node {first} --list {list} --timeout-ms 5000"));
    assert_eq!(unlisted.code, Some(6), "{unlisted:?}");
    assert!(unlisted.stdout.contains("not reached: entry-9 at 127.0.0.1:9\n"), "{unlisted:?}");
}

/// Guards against tables without some nodes or endpoints, and metrics that scripts cannot read.
#[test]
fn nodes_endpoints_and_metrics_are_listed() {
    let deployment = Deployment::start(DOCUMENT, 1, 1);
    let entry = deployment.entries[0].admin_address();
    let endpoint = deployment.slots[0].daemon.admin_address();
    let listed = run(&format!("nodes --node {endpoint}"));
    let mut lines: Vec<Vec<&str>> =
        listed.stdout.lines().map(|line| line.split_whitespace().take(5).collect()).collect();
    lines[1..].sort_unstable();
    let expected = [
        vec!["INSTANCE", "ROLE", "FAILURE", "DOMAIN", "VERSION"],
        vec!["engines-0", "endpoint", "fd-1", "0", "ready"],
        vec!["entry-0", "entry", "fd-1", "0", "ready"],
        vec!["jobs-1", "endpoint", "fd-1", "0", "ready"],
    ];
    assert_eq!(lines, expected, "{listed:?}");
    for node in [entry, endpoint] {
        let json = run(&format!("endpoints --node {node} --output json")).json();
        assert_eq!(json["endpoints"].as_array().map(Vec::len), Some(2), "{json}");
    }
    let metrics = run(&format!("metrics --node {entry} --filter document_version"));
    assert!(metrics.stdout.trim_end().ends_with("document_version 0"), "{metrics:?}");
    let json = run(&format!("metrics --node {entry} --output json")).json();
    assert!(json.as_array().is_some_and(|samples| samples.len() > 5), "{json}");
}

/// Guards against a tool that cannot read what nodes say of groups, leases and maps.
#[test]
fn groups_are_listed_with_their_leases() {
    let deployment = Deployment::start(DOCUMENT, 1, 1);
    let scope = || group_scope("g", 2);
    let grant = LeaseRecord::Grant {
        scope: scope(),
        holder: Incarnation(1),
        request: 1,
        supersedes: None,
        duration_ms: 600_000,
    };
    let join =
        MapRecord::Join { scope: scope(), rank: 0, incarnation: Incarnation(2), replaces: None };
    let records = [encode_record(&grant), encode_record(&join)];
    for record in records.map(|record| String::from_utf8(record.expect("encode")).expect("text")) {
        deployment.runtime.block_on(deployment.log.append("leases", &record));
    }
    let node = deployment.entries[0].admin_address();
    // A node answers with what it has read so far, so the question is asked until both records are in.
    let listed = (0..MAX_QUESTIONS)
        .map(|_| run(&format!("groups --node {node} --output json")).json())
        .find(|json| json["groups"][0]["lease"]["fencing"] == 0);
    let listed = listed.expect("the lease is listed");
    assert_eq!(listed["groups"][0]["scope"], "g/2", "{listed}");
    let text = run(&format!("groups --node {node}")).stdout;
    assert!(text.lines().any(|line| line.starts_with("g/2")), "{text}");
}

/// Guards against outcomes that scripts cannot tell apart, and a job that runs twice under one key.
#[test]
fn test_requests_report_their_outcome() {
    let deployment = Deployment::start(DOCUMENT, 1, 1);
    let address = deployment.entries[0].caller_address().to_string();
    let token = file("send.token", &format!("{TOKEN}\n"));
    let wrong = file("wrong.token", "nobody");
    let request = |token: &str, more: &[&str]| {
        let line = ["send", "--entry", &address, "--token-file", token, "--output", "json"];
        run_each(&[&line[..], more].concat())
    };
    let job = ["--service", "jobs", "--path", "/jobs", "--body", "{\"job\": 17}"];
    let first = request(&token, &job);
    assert_eq!(first.code, Some(0), "{first:?}");
    let key = first.json()["key"].as_str().expect("a key").to_owned();
    let again = request(&token, &[&job[..], &["--key", &key]].concat());
    assert_eq!(again.json()["answer"], first.json()["answer"], "{again:?}");
    let deployment::Backend::Service(service) = &deployment.slots[1].backend else {
        panic!("the last slot is the service")
    };
    assert_eq!(service.executions_of(b"{\"job\": 17}"), 1);
    let other = ["--service", "jobs", "--path", "/jobs", "--body", "{}", "--key", &key];
    let prompt = ["--model", "draft", "--prompt", "note", "--max-tokens", "4"];
    let stream = ["--model", "draft", "--prompt", "note", "--max-tokens", "4", "--stream"];
    let unknown = ["--model", "none", "--prompt", "note"];
    let cases = [
        (&token, &prompt[..], 0, "done"),
        (&token, &stream[..], 0, "done"),
        (&token, &unknown[..], 3, "invalid_request"),
        (&token, &other[..], 3, "invalid_request"),
        (&wrong, &prompt[..], 3, "invalid_request"),
    ];
    for (token, more, code, outcome) in cases {
        let sent = request(token, more);
        assert_eq!(sent.code, Some(code), "{more:?}: {sent:?}");
        assert_eq!(sent.json()["outcome"], outcome, "{more:?}");
        assert_eq!(sent.json()["trace_id"].as_str().map(str::len), Some(32));
    }
    let down = Deployment::platform("").log.address().to_string();
    let line = ["send", "--entry", &down, "--token-file", &token, "--output", "json"];
    let refused = run_each(&[&line[..], &prompt[..]].concat());
    assert_eq!((refused.code, &refused.json()["outcome"]), (Some(5), &"not_run".into()));
}

/// Guards against cut answers that are reported as whole.
#[test]
fn a_cut_stream_is_not_done() {
    let mut deployment = Deployment::platform("");
    deployment.publish(DOCUMENT, None);
    deployment.add_engine(EngineFaults { cut_after_tokens: Some(2), ..EngineFaults::default() });
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    let address = deployment.entries[0].caller_address();
    let token = file("cut.token", TOKEN);
    let line = format!("send --entry {address} --token-file {token} --model draft --prompt note");
    let cut = run(&format!("{line} --max-tokens 8 --stream --deadline-ms 1500 --output json"));
    assert_ne!(cut.json()["outcome"], "done", "{cut:?}");
    assert!(matches!(cut.code, Some(4 | 5)), "{cut:?}");
}
