//! An operator's cases around documents, against a log of our own with faults.

#[path = "support/tool.rs"]
mod tool;

use std::net::SocketAddr;

use lycheewood::publication::{PublicationState, Record, RecordView, encode_record};
use lycheewood::{Offset, Timestamp};
use serde_json::Value;
use stand_ins::faults::Outage;
use stand_ins::log::{Log, LogFaults};
use tokio::runtime::Runtime;

use tool::{Run, file, run};

const FULL: &str = include_str!("../../lycheewood/tests/data/document.yaml");

/// A log with the example as version 0.
struct Platform {
    runtime: Runtime,
    log: Log,
    address: SocketAddr,
}

impl Platform {
    fn empty() -> Self {
        let runtime = Runtime::new().expect("start the runtime of the log");
        let log = runtime.block_on(async { Log::start() }).expect("start the log");
        let address = log.address();
        Self { runtime, log, address }
    }

    fn with_document(test: &str) -> Self {
        let platform = Self::empty();
        let first = platform.publish(&file(&format!("{test}-0.yaml"), FULL), "none", "");
        assert_eq!(first.code, Some(0), "{first:?}");
        platform
    }

    fn publish(&self, path: &str, base: &str, more: &str) -> Run {
        run(&format!("publish {path} --log {} --base {base} {more}", self.address))
    }

    fn ask(&self, id: &str) -> Run {
        run(&format!("ask {id} --log {} --output json", self.address))
    }

    /// Ids of the publications in the log, in its order.
    fn ids(&self) -> Vec<String> {
        let id = |payload: &str| {
            let record: Value = serde_json::from_str(payload).expect("the payload is JSON");
            record["publication"]["id"].as_str().expect("a publication").to_owned()
        };
        self.log.records("documents").iter().map(|record| id(&record.payload)).collect()
    }
}

/// The example with another burst of the workspace `front-desk`.
fn edit(test: &str, burst: u32) -> String {
    let edited = FULL.replace("burst: 80", &format!("burst: {burst}"));
    file(&format!("{test}-{burst}.yaml"), &edited)
}

/// How an operator's publication of an edit of version 0 ends.
struct Case {
    name: &'static str,
    faults: fn(&mut LogFaults),
    arguments: &'static str,
    code: i32,
    /// Standard output, with `ID` for the publication's id.
    stdout: &'static str,
    /// Records that the publication may have left in the log.
    records: std::ops::RangeInclusive<usize>,
    /// What `ask` tells once the log works again.
    asked: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "the log works",
        faults: |_| {},
        arguments: "--base 0",
        code: 0,
        stdout: "accepted as version 1\n",
        records: 1..=1,
        asked: "accepted",
    },
    Case {
        name: "the base is no version",
        faults: |_| {},
        arguments: "--base 7",
        code: 3,
        stdout: "refused: the base is not the version in force; edit the document in force\n\
                 from version 0, in force, to the refused document:\n\
                 ~ workspaces.front-desk.burst: 80 -> 90\n",
        records: 0..=0,
        asked: "not_found",
    },
    Case {
        name: "the reply to the append is lost",
        faults: |faults| faults.common.lose_next_replies = 1,
        arguments: "--base 0",
        code: 0,
        stdout: "accepted as version 1\n",
        records: 1..=1,
        asked: "accepted",
    },
    Case {
        name: "the log drops connections",
        faults: |faults| faults.common.outage = Outage::Dropped,
        arguments: "--base 0 --timeout-ms 300",
        code: 5,
        stdout: "not accepted: nothing was sent; publish again when the log responds\n",
        records: 0..=0,
        asked: "not_found",
    },
    Case {
        name: "the log never replies",
        faults: |faults| faults.common.stall = true,
        arguments: "--base 0 --timeout-ms 300",
        code: 5,
        stdout: "not accepted: nothing was sent; publish again when the log responds\n",
        records: 0..=0,
        asked: "not_found",
    },
    Case {
        name: "every reply to an append is lost and readers do not see the records",
        faults: |faults| {
            faults.common.lose_next_replies = 100;
            faults.report_end = Some(1);
        },
        arguments: "--base 0 --timeout-ms 5000",
        code: 4,
        stdout: "unknown: the log gave no verdict; ask with `lycheewood ask ID --log ADDR`\n",
        records: 1..=5,
        asked: "accepted",
    },
];

/// Guards against publications that take effect twice or are reported otherwise than the log decided.
#[test]
fn publications_end_as_the_log_decides() {
    for (number, case) in CASES.iter().enumerate() {
        let test = format!("case-{number}");
        let platform = Platform::with_document(&test);
        platform.log.set_faults(case.faults);
        let path = edit(&test, 90);
        let log = platform.address;
        let published = run(&format!("publish {path} --log {log} {}", case.arguments));
        platform.log.set_faults(|faults| *faults = LogFaults::default());
        let name = case.name;
        assert_eq!(published.code, Some(case.code), "{name}: {published:?}");
        let ids = platform.ids();
        let own = ids[1..].first().cloned().unwrap_or_else(|| "no-such-id".to_owned());
        assert_eq!(published.stdout.replace(&own, "ID"), case.stdout, "{name}");
        assert!(case.records.contains(&(ids.len() - 1)), "{name}: {ids:?}");
        assert!(ids[1..].iter().all(|id| *id == own), "{name}: several ids {ids:?}");
        assert!(ids.len() == 1 || published.noted("publication id") == own, "{name}");
        assert_eq!(platform.ask(&own).json()["result"], case.asked, "{name}");
        // However often the record was appended, the document changed at most once.
        let shown = run(&format!("show --log {log} --output json")).json();
        assert_eq!(shown["version"], u64::from(case.asked == "accepted"), "{name}");
    }
}

/// Guards against an edit that overwrites another one, and a refusal that does not say which one won.
#[test]
fn a_race_on_one_base_is_refused_with_the_winner() {
    let platform = Platform::with_document("race");
    let won = platform.publish(&edit("race", 90), "0", "");
    assert_eq!(won.code, Some(0), "{won:?}");
    let winner = won.noted("publication id");
    let lost = platform.publish(&edit("race", 100), "0", "");
    assert_eq!(lost.code, Some(3));
    assert_eq!(
        lost.stdout.replace(winner, "WINNER"),
        "refused: version 1 won the race; edit that version and publish under a new id\n\
         winner: version 1, publication WINNER\n\
         from version 1, in force, to the refused document:\n\
         ~ workspaces.front-desk.burst: 90 -> 100\n"
    );
    let json = platform.publish(&edit("race", 100), "0", "--output json").json();
    assert_eq!(json["result"], "refused");
    assert_eq!(json["conflict"]["winner"], serde_json::json!({"version": 1, "id": winner}));
    assert_eq!(platform.ids().len(), 2, "a lost edit was appended");
    let late =
        r#"{"schema": 1, "publication": {"id": "late", "base": 0, "change": {"patch": {}}}}"#;
    platform.runtime.block_on(platform.log.append("documents", late));
    let asked = platform.ask("late");
    assert_eq!((asked.code, &asked.json()["winner"]["id"]), (Some(3), &winner.into()));
}

/// Guards against two winners of one base when operators append at the same moment.
#[test]
fn one_of_several_operators_wins() {
    let platform = Platform::with_document("operators");
    let paths: Vec<String> = (100..104).map(|burst| edit("operators", burst)).collect();
    let runs: Vec<Run> = std::thread::scope(|scope| {
        let started: Vec<_> =
            paths.iter().map(|path| scope.spawn(|| platform.publish(path, "0", ""))).collect();
        started.into_iter().map(|run| run.join().expect("the operator ends")).collect()
    });
    let ended = |code| runs.iter().filter(|run| run.code == Some(code)).count();
    assert_eq!((ended(0), ended(3)), (1, 3), "{runs:?}");
}

/// Guards against faults that are reported without their place, and a faulty file that is sent.
#[test]
fn invalid_files_list_every_fault_with_path_and_line() {
    let faulty = FULL.replace("burst: 80", "burst: 0").replace("method: POST", "method: post");
    let path = file("faulty.yaml", &faulty);
    let text = "endpoints[1].non_idempotent[0].method (line 21): `post` is not a method; write one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS\n\
                workspaces[0].burst (line 30): 0 is out of range; write a number from 1 to 4294967295\n";
    let validated = run(&format!("validate {path}"));
    assert_eq!((validated.code, validated.stdout.as_str()), (Some(3), text));
    let json = run(&format!("validate {path} --output json")).json();
    assert_eq!(json["faults"][1]["path"], "workspaces[0].burst");
    assert_eq!(json["faults"][1]["line"], 30);
    let platform = Platform::empty();
    let published = platform.publish(&path, "none", "");
    assert_eq!(published.code, Some(3));
    for line in text.lines() {
        assert!(published.stderr.contains(line), "{published:?}");
    }
    assert_eq!(platform.ids().len(), 0);
    let valid = run(&format!("validate {}", file("valid.yaml", FULL)));
    assert_eq!(valid.code, Some(0), "{valid:?}");
}

/// Guards against a shown document that differs from the one in force or cannot be published again.
#[test]
fn a_shown_document_can_be_edited_and_published() {
    let platform = Platform::with_document("shown");
    let log = platform.address;
    let shown = run(&format!("show --log {log}"));
    assert!(
        shown.stdout.starts_with("# version: 0\n# to publish an edit: --base 0\n"),
        "{shown:?}"
    );
    let path = file("shown.yaml", &shown.stdout);
    let same = run(&format!("diff {path} --log {log}"));
    assert_eq!((same.code, same.stdout.as_str()), (Some(0), "no difference\n"));
    let edited = file("shown-edited.yaml", &shown.stdout.replace("burst: 80", "burst: 81"));
    let change = "~ workspaces.front-desk.burst: 80 -> 81\n";
    assert_eq!(run(&format!("diff {edited} --log {log}")).stdout, change);
    assert_eq!(run(&format!("diff {path} {edited}")).stdout, change);
    let json = run(&format!("diff {path} {edited} --output json")).json();
    assert_eq!(json["difference"][0]["new"], 81);
    assert_eq!(platform.publish(&edited, "0", "").code, Some(0));
    let record: Value =
        serde_json::from_str(&platform.log.records("documents")[1].payload).expect("JSON");
    let expected = serde_json::json!({"workspaces": {"front-desk": {"burst": 81}}});
    assert_eq!(
        record["publication"]["change"]["patch"], expected,
        "a small edit is sent as a patch"
    );
}

/// Guards against another document in force than the daemons have once the first records expired.
#[test]
fn a_log_whose_first_records_expired_needs_a_snapshot() {
    let platform = Platform::with_document("expired");
    let first = platform.ids().remove(0);
    let mut state = PublicationState::default();
    for record in platform.log.records("documents") {
        let appended = Timestamp::from_unix_ms(record.appended_unix_ms);
        let (offset, payload) = (Offset(record.offset), record.payload.as_str());
        state.apply(&RecordView { offset, appended, payload }).expect("the first record");
    }
    let snapshot = state.to_snapshot().expect("a record was applied");
    platform.log.expire_before(1);
    let shown = run(&format!("show --log {}", platform.address));
    assert_eq!(shown.code, Some(1));
    assert!(shown.stderr.contains("wait until an entry writes a snapshot"), "{shown:?}");
    let path = edit("expired", 90);
    assert_eq!(platform.publish(&path, "0", "").code, Some(5), "nothing is sent without a state");
    let payload = encode_record(&Record::Snapshot(snapshot));
    platform.runtime.block_on(platform.log.append("documents", &payload));
    assert_eq!(platform.ask(&first).json()["version"], 0);
    let published = platform.publish(&path, "0", "");
    assert_eq!(published.stdout, "accepted as version 2\n", "{published:?}");
}

/// Guards against scripts that take a wrong command line for a result.
#[test]
fn wrong_command_lines_are_refused() {
    for line in [
        "",
        "publish a.yaml --log 127.0.0.1:1",
        "publish a.yaml --log 127.0.0.1:1 --base last",
        "publish a.yaml --log 127.0.0.1:1 --base 1 --follow",
        "diff a.yaml",
        "diff a.yaml b.yaml --log 127.0.0.1:1",
        "show --log nowhere",
        "send --entry 127.0.0.1:1 --token-file t --model m --prompt p --service s --path /p",
    ] {
        assert_eq!(run(line).code, Some(2), "{line}");
    }
    let help = run("--help");
    assert!(help.stdout.contains("4  outcome unknown; ask by the id or key"), "{help:?}");
    assert!(run("completions bash").stdout.contains("publish"));
}
