//! Plain service: what ran, and what the caller learned of it.

use serde_json::json;
use stand_ins::service::{Service, ServiceFaults};

use crate::client::call;

/// Guards against a service that hides a doubled execution or forgets one whose reply was lost.
#[tokio::test]
async fn executions_are_counted_whatever_the_caller_learns() {
    type Fault = fn(&mut ServiceFaults);
    let table: [(Fault, Option<u16>, u64); 4] = [
        (|_| {}, Some(200), 1),
        (|faults| faults.common.error_status = 503, Some(503), 0),
        (|faults| faults.common.lose_next_replies = 1, None, 1),
        (|faults| "book".clone_into(&mut faults.crash_on), None, 1),
    ];
    for (row, (fault, status, executions)) in table.into_iter().enumerate() {
        let service = Service::start().unwrap();
        service.set_faults(fault);
        let reply = call(service.address(), "POST", "/seats", "book 7").await;
        assert_eq!(reply.map(|(status, _)| status), status, "row {row}");
        assert_eq!(service.executions_of(b"book 7"), executions, "row {row}");
    }
}

/// Guards against executions that a crash erases from the record.
#[tokio::test]
async fn a_restarted_service_counts_on() {
    let service = Service::start().unwrap();
    call(service.address(), "POST", "/seats", "a").await.unwrap();
    service.crash().await;
    assert_eq!(call(service.address(), "POST", "/seats", "a").await, None);
    service.restart().await;
    let (_, receipt) = call(service.address(), "POST", "/seats", "a").await.unwrap();
    assert_eq!(receipt, json!({ "serial": 2, "executions": 2 }));
}

/// Guards against a held reply whose request has not taken effect, or that never comes.
#[tokio::test]
async fn a_held_reply_follows_its_execution() {
    let service = Service::start().unwrap();
    service.set_faults(|faults| faults.hold_replies = true);
    let release = async {
        service.wait_for_executions_of(b"a", 1).await;
        service.set_faults(|faults| faults.hold_replies = false);
    };
    let (reply, ()) = tokio::join!(call(service.address(), "POST", "/seats", "a"), release);
    assert_eq!(reply, Some((200, json!({ "serial": 1, "executions": 1 }))));
}
