//! Log: offsets, long-poll and faults.

use serde_json::json;
use stand_ins::faults::Outage;
use stand_ins::log::{Log, LogFaults};

use crate::client::call;

const RECORDS: &str = "/streams/s/records";

/// Guards against a long-poll that misses the append it waits for. The wait is far longer than any
/// test run, so only the append can end it.
#[tokio::test]
async fn a_waiting_read_gets_the_next_append() {
    let log = Log::start().unwrap();
    let path = format!("{RECORDS}?from=0&max=10&wait_ms=3600000");
    let read = call(log.address(), "GET", &path, "");
    let append = call(log.address(), "POST", RECORDS, "{\"schema\":1}");
    let (read, append) = tokio::join!(read, append);
    assert_eq!(append.unwrap(), (200, json!({ "offset": 0 })));
    let (_, page) = read.unwrap();
    assert_eq!(page["end_offset"], 1);
    assert_eq!(page["records"][0]["payload"], "{\"schema\":1}");
}

/// Guards against faults that take effect when they must not, or fail to when they must.
#[tokio::test]
async fn a_fault_decides_whether_an_append_takes_effect() {
    type Fault = fn(&mut LogFaults);
    let table: [(Fault, Option<u16>, usize); 5] = [
        (|_| {}, Some(200), 1),
        (|faults| faults.common.outage = Outage::Unavailable, Some(503), 0),
        (|faults| faults.common.outage = Outage::Dropped, None, 0),
        (|faults| faults.common.error_status = 500, Some(500), 0),
        (|faults| faults.common.lose_next_replies = 1, None, 1),
    ];
    for (row, (fault, status, records)) in table.into_iter().enumerate() {
        let log = Log::start().unwrap();
        log.set_faults(fault);
        let reply = call(log.address(), "POST", RECORDS, "{}").await;
        assert_eq!(reply.map(|(status, _)| status), status, "row {row}");
        assert_eq!(log.records("s").len(), records, "row {row}");
    }
}

/// Guards against reads that show more or fewer records than the fault allows.
#[tokio::test]
async fn a_fault_bounds_the_readable_records() {
    type Fault = fn(&mut LogFaults);
    let table: [(Fault, u64, u64, usize); 4] = [
        (|_| {}, 0, 5, 5),
        (|faults| faults.report_end = Some(2), 0, 2, 2),
        (|faults| faults.expire_before = 3, 3, 5, 2),
        (|faults| faults.retention_records = 1, 4, 5, 1),
    ];
    for (row, (fault, first, end, count)) in table.into_iter().enumerate() {
        let log = Log::start().unwrap();
        for _ in 0..5 {
            log.append("s", "{}").await;
        }
        log.set_faults(fault);
        let (_, page) = call(log.address(), "GET", RECORDS, "").await.unwrap();
        assert_eq!(page["first_offset"], first, "row {row}");
        assert_eq!(page["end_offset"], end, "row {row}");
        assert_eq!(page["records"].as_array().unwrap().len(), count, "row {row}");
    }
}

/// Guards against a control resource that drops a fault, resets others or accepts a misspelling.
#[tokio::test]
async fn faults_are_set_over_http_even_during_an_outage() {
    let log = Log::start().unwrap();
    log.set_faults(|faults| faults.retention_records = 7);
    for outage in ["unavailable", "none"] {
        let body = json!({ "outage": outage }).to_string();
        let (status, faults) = call(log.address(), "POST", "/faults", &body).await.unwrap();
        assert_eq!((status, &faults["outage"]), (200, &json!(outage)));
        assert_eq!(faults["retention_records"], 7);
    }
    let (status, _) = call(log.address(), "POST", "/faults", "{\"outgae\":1}").await.unwrap();
    assert_eq!(status, 400);
}

/// Guards against tests that cannot see a record which the log hides from its readers.
#[tokio::test]
async fn a_hidden_record_counts_for_those_who_wait_past_the_faults() {
    let log = Log::start().unwrap();
    log.set_faults(|faults| faults.report_end = Some(0));
    let append = call(log.address(), "POST", RECORDS, "{}");
    let (append, ()) = tokio::join!(append, log.wait_for_records("s", 1));
    assert_eq!(append.unwrap(), (200, json!({ "offset": 0 })));
    let (_, page) = call(log.address(), "GET", RECORDS, "").await.unwrap();
    assert_eq!(page["end_offset"], 0);
}
