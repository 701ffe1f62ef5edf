//! Instance list: versions and long-poll.

use serde_json::json;
use stand_ins::instance_list::InstanceList;

use crate::client::call;

/// Guards against a long-poll that misses the change it waits for.
#[tokio::test]
async fn a_waiting_read_gets_the_next_version() {
    let list = InstanceList::start().unwrap();
    let instance = json!({
        "id": "e1", "role": "entry", "address": "127.0.0.1:1", "failure_domain": "a",
        "state": "leaving",
    });
    let body = json!({ "instances": [instance] }).to_string();
    let read = call(list.address(), "GET", "/instances?after=0&wait_ms=3600000", "");
    let (read, put) = tokio::join!(read, call(list.address(), "PUT", "/instances", &body));
    assert_eq!(put.unwrap().0, 200);
    assert_eq!(read.unwrap().1, json!({ "version": 1, "instances": [instance] }));
}
