//! `check` as scripts and operators use it. `tests/golden` holds the expected output.

#[path = "support/tool.rs"]
mod tool;

use lycheewood::MAX_CONFIGURATION_BYTES;
use serde_json::Value;
use stand_ins::faults::Outage;
use stand_ins::log::Log;
use tokio::runtime::Runtime;

use tool::{Run, file, run};

const FULL: &str = include_str!("../../lycheewood/tests/data/document.yaml");
const COST: &str = include_str!("../../lycheewood/tests/data/cost.yaml");

/// The example with a version that receives no requests.
fn with_warning() -> String {
    FULL.replace("weight: 1}", "weight: 0}")
}

/// [`with_warning`] with another burst and one more warning.
fn with_new_warning() -> String {
    with_warning().replace("burst: 80", "burst: 90").replace(
        "      - {method: DELETE, path_prefix: /bookings}",
        "      - {method: DELETE, path_prefix: /bookings}\n      - {method: POST, path_prefix: /bookings/new}",
    )
}

fn assert_run(run: &Run, code: i32, stdout: &str) {
    assert_eq!((run.code, run.stdout.as_str()), (Some(code), stdout), "{}", run.stderr);
}

/// Compares values, since the order of fields depends on a feature of `serde_json`.
fn assert_json(run: &Run, code: i32, golden: &str) {
    let golden: Value = serde_json::from_str(golden).expect("the golden file is JSON");
    assert_eq!((run.code, run.json()), (Some(code), golden), "{}", run.stderr);
}

/// Guards against findings in the example documents.
#[test]
fn the_examples_have_no_finding() {
    for (name, text) in [("full", FULL), ("cost", COST)] {
        let path = file(&format!("check-{name}.yaml"), text);
        assert_run(&run(&format!("check {path} --deny-warnings")), 0, "errors: 0, warnings: 0\n");
    }
}

/// Guards against output that people or scripts cannot rely on, and against an exit code that publishes a refused
/// document.
#[test]
fn findings_are_printed_as_text_and_json() {
    let old = file("check-old.yaml", &with_warning());
    let new = file("check-new.yaml", &with_new_warning());
    let faulty =
        FULL.replace("burst: 80", "burst: 0").replace("objective: skew", "objective: speed");
    let faulty = file("check-faulty.yaml", &faulty);
    let text = include_str!("golden/check-warnings.txt");
    let json = include_str!("golden/check-warnings.json");
    assert_run(&run(&format!("check {new}")), 0, text);
    assert_run(&run(&format!("check {new} --deny-warnings")), 3, text);
    assert_json(&run(&format!("check {new} --format json")), 0, json);
    assert_json(&run(&format!("check {new} --output json --deny-warnings")), 3, json);
    let compared = format!("check {new} --against {old}");
    assert_run(&run(&compared), 0, include_str!("golden/check-against.txt"));
    assert_json(
        &run(&format!("{compared} --format json")),
        0,
        include_str!("golden/check-against.json"),
    );
    assert_run(&run(&format!("check {faulty}")), 3, include_str!("golden/check-errors.txt"));
    // There is nothing to compare while the document is invalid.
    assert_run(
        &run(&format!("check {faulty} --against {old}")),
        3,
        include_str!("golden/check-errors.txt"),
    );
    assert_json(
        &run(&format!("check {faulty} --format json")),
        3,
        include_str!("golden/check-errors.json"),
    );
}

/// Guards against findings that are lost because the log cannot be read, and against an exit code of 0 then.
#[test]
fn the_log_is_compared_with_and_its_loss_is_reported_last() {
    let runtime = Runtime::new().expect("start the runtime of the log");
    let log = runtime.block_on(async { Log::start() }).expect("start the log");
    let (new, address) = (file("check-log-new.yaml", &with_new_warning()), log.address());
    let compared = format!("check {new} --log {address}");
    let offline = include_str!("golden/check-warnings.txt");
    let empty = run(&compared);
    assert_run(&empty, 1, offline);
    assert!(empty.stderr.contains("no document is in force"), "{empty:?}");
    let first = file("check-log-old.yaml", &with_warning());
    assert_eq!(run(&format!("publish {first} --log {address} --base none")).code, Some(0));
    assert_run(&run(&compared), 0, include_str!("golden/check-against.txt"));
    assert_run(
        &run(&format!("{compared} --deny-warnings")),
        3,
        include_str!("golden/check-against.txt"),
    );
    log.set_faults(|faults| faults.common.outage = Outage::Unavailable);
    let diff = format!("diff {new} --log {address}");
    for arguments in [&compared, &format!("{compared} --deny-warnings")] {
        let away = run(arguments);
        assert_run(&away, run(&diff).code.expect("a code"), offline);
        assert!(away.code != Some(0) && away.stderr.contains("the log gave no state"), "{away:?}");
    }
    log.set_faults(|faults| {
        faults.common.outage = Outage::None;
        faults.common.stall = true;
    });
    let stalled = run(&format!("{compared} --timeout-ms 300 --format json"));
    assert_json(&stalled, 6, include_str!("golden/check-warnings.json"));
    assert_eq!(run(&format!("{diff} --timeout-ms 300")).code, Some(6));
    // The text alone decides about a document that is refused, so the log is not asked.
    let faulty = file("check-log-faulty.yaml", &FULL.replace("burst: 80", "burst: 0"));
    let refused = run(&format!("check {faulty} --log {address}"));
    assert_eq!(refused.code, Some(3), "{refused:?}");
}

/// Guards against a panic, or an exit code of another meaning, for files that cannot be read as documents.
#[test]
fn unreadable_files_are_reported() {
    let path = file("check-bytes.yaml", "");
    std::fs::write(&path, b"schema: 1\nservice: \xff\n").expect("the file is written");
    let not_utf8 = "error: document (line 2): the text is not valid UTF-8 in this line; save the file as UTF-8\n\
        errors: 1, warnings: 0\n";
    assert_run(&run(&format!("check {path}")), 3, not_utf8);
    std::fs::write(&path, vec![b'#'; MAX_CONFIGURATION_BYTES + 1]).expect("the file is written");
    let json = run(&format!("check {path} --format json"));
    let message = "the text has more than 16777216 bytes";
    assert_eq!(
        (json.code, &json.json()["findings"][0]["message"]),
        (Some(3), &Value::from(message))
    );
    std::fs::remove_file(&path).expect("the file is removed");
    let missing = run(&format!("check {path}"));
    assert_run(&missing, 1, "");
    assert!(missing.stderr.contains("name a readable file"), "{missing:?}");
    let new = file("check-alone.yaml", &with_new_warning());
    let against_missing = run(&format!("check {new} --against {path}"));
    assert_run(&against_missing, 1, include_str!("golden/check-warnings.txt"));
    let faulty = file("check-against-faulty.yaml", "schema: 1\n");
    let against_faulty = run(&format!("check {new} --against {faulty}"));
    assert_run(&against_faulty, 3, include_str!("golden/check-warnings.txt"));
    assert!(against_faulty.stderr.contains("is not a valid document"), "{against_faulty:?}");
    assert_eq!(run(&format!("check {new} --against {new} --log 127.0.0.1:9")).code, Some(2));
}
