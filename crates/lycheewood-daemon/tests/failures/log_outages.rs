//! Faults of the platform's log.

use stand_ins::faults::Outage;
use stand_ins::log::LogFaults;

use crate::JOB;
use crate::caller::{Call, StreamEnd, new_key, whole_answer};
use crate::processes::Deployment;

/// Invariants 3 and 4. While the log is down, in each way, a call that may not repeat is refused as not
/// run, and completions go on.
#[test]
fn without_the_log_only_calls_that_may_not_repeat_are_refused() {
    type Fault = fn(&mut LogFaults);
    let table: [(&str, Fault); 3] = [
        ("unavailable", |faults| faults.common.outage = Outage::Unavailable),
        ("dropped", |faults| faults.common.outage = Outage::Dropped),
        ("stalled", |faults| faults.common.stall = true),
    ];
    for (name, fault) in table {
        let deployment = Deployment::start(1, 1, 1);
        deployment.log.set_faults(fault);
        let call = Call::job(new_key(), JOB);
        let refused = deployment.reply(&call, 0);
        assert!(refused.is_not_run(), "{name}: {refused:?}");
        assert_eq!(deployment.executions_of(JOB), 0, "{name}");
        let (tokens, end) = deployment.runtime.block_on(async {
            let stream = Call::stream("the log is down", 5).events(deployment.entry(0)).await;
            stream.expect("the stream opens").rest().await
        });
        assert_eq!((tokens, end), (whole_answer("the log is down", 5), StreamEnd::Done), "{name}");
        deployment.log.set_faults(|faults| {
            faults.common.outage = Outage::None;
            faults.common.stall = false;
        });
        let reply = deployment.reply_once_run(&call, 0);
        assert_eq!(reply.status, 200, "{name}: {reply:?}");
        assert_eq!(deployment.executions_of(JOB), 1, "{name}");
    }
}

/// Invariant 4. The reply to the append of a claim is lost after it took effect.
#[test]
fn a_lost_reply_of_the_log_costs_no_second_run() {
    let deployment = Deployment::start(2, 0, 1);
    deployment.log.set_faults(|faults| faults.common.lose_next_replies = 1);
    let call = Call::job(new_key(), JOB);
    for entry in [0, 1] {
        let reply = deployment.reply_once_run(&call, entry);
        assert_eq!((reply.status, &reply.json()["executions"]), (200, &1.into()), "{reply:?}");
    }
    assert_eq!(deployment.executions_of(JOB), 1);
}

/// Invariant 7. An entry that starts while the log is down gets the document from the other processes
/// and serves.
#[test]
fn a_new_entry_serves_without_the_log() {
    let mut deployment = Deployment::start(1, 1, 0);
    deployment.log.set_faults(|faults| faults.common.outage = Outage::Dropped);
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    let (tokens, end) = deployment.runtime.block_on(async {
        let stream = Call::stream("new entry", 5).events(deployment.entry(1)).await;
        stream.expect("the stream opens").rest().await
    });
    assert_eq!((tokens, end), (whole_answer("new entry", 5), StreamEnd::Done));
}
