//! Calls that may not repeat, while processes end or are frozen.

use crate::JOB;
use crate::caller::{Call, new_key};
use crate::processes::Deployment;

/// Invariants 2 and 4. The entry is killed after the service has run the call and before the caller has
/// the answer; the caller sends it again elsewhere, before or after the service has replied.
#[test]
fn a_retry_after_the_entry_died_gets_the_first_answer() {
    for replied_before_retry in [true, false] {
        let mut deployment = Deployment::start(2, 0, 1);
        let call = Call::job(new_key(), JOB);
        let first = deployment.spawn_held(&call, 0);
        deployment.entries[0].kill();
        assert!(deployment.finish(first).is_err(), "the first entry is gone");
        if replied_before_retry {
            deployment.release_replies();
        }
        let retry = deployment.spawn(&call, 1);
        deployment.release_replies();
        let reply = deployment.finish(retry).expect("the second entry replies");
        assert_eq!((reply.status, &reply.json()["executions"]), (200, &1.into()), "{reply:?}");
        assert_eq!(deployment.executions_of(JOB), 1);
    }
}

/// Invariant 4. The endpoint daemon is killed while a call that may not repeat runs, and is or is not
/// replaced: nobody can tell the outcome any more, and nobody runs the call again.
#[test]
fn a_call_whose_daemon_died_stays_unknown() {
    for replaced in [false, true] {
        let mut deployment = Deployment::start(2, 0, 2);
        deployment.services[1].backend.set_faults(|faults| faults.hold_replies = true);
        let call = Call::job(new_key(), JOB).deadline_ms(4_000);
        deployment.services[0].backend.set_faults(|faults| faults.hold_replies = true);
        let first = deployment.spawn(&call, 0);
        let [one, other] = [0, 1].map(|i| &deployment.services[i].backend);
        let ran = deployment.wait(async {
            tokio::select! {
                () = one.wait_for_executions_of(JOB.as_bytes(), 1) => 0,
                () = other.wait_for_executions_of(JOB.as_bytes(), 1) => 1,
            }
        });
        deployment.services[ran].daemon.kill();
        if replaced {
            let instance = deployment.services[ran].daemon.instance.clone();
            let backend = deployment.services[ran].backend.address();
            let daemon = deployment.start_service_daemon(&instance, backend);
            deployment.services[ran].daemon = daemon;
            deployment.announce();
        }
        for slot in &deployment.services {
            slot.backend.set_faults(|faults| faults.hold_replies = false);
        }
        let first = deployment.finish(first).expect("the entry replies");
        assert!(first.is_unknown(), "{first:?}");
        for entry in [0, 1] {
            let retry = deployment.reply(&call, entry);
            assert!(retry.is_unknown(), "{retry:?}");
        }
        assert_eq!(deployment.executions_of(JOB), 1);
    }
}

/// Invariants 3 and 4. The endpoint daemon is frozen before the call is sent to it and wakes up after
/// the deadline, with its connection closed as silent or still open: it does not run the old order.
#[test]
fn a_daemon_that_wakes_up_after_the_deadline_runs_no_old_order() {
    for silence_ms in [1_000, 20_000] {
        wake_up_after_the_deadline(&Deployment::start_with_silence(silence_ms));
    }
}

fn wake_up_after_the_deadline(deployment: &Deployment) {
    // Longer than the first estimate of a call, so that the entry does not refuse it early.
    let call = Call::job(new_key(), JOB).deadline_ms(4_000);
    deployment.services[0].daemon.freeze();
    let first = deployment.spawn(&call, 0);
    // Without its claim the order would never have been sent, and the test would show nothing.
    deployment.wait(deployment.log.wait_for_records("claims", 1));
    let first = deployment.finish(first).expect("the entry replies");
    assert!(first.is_unknown() || first.is_not_run(), "{first:?}");
    deployment.services[0].daemon.resume();
    deployment.wait_until_ready();
    let key = call.headers.iter().find(|(name, _)| *name == "idempotency-key").expect("has a key");
    let question = Call::new("GET", &format!("/v1/requests/{}", key.1), "");
    let answer = deployment.reply(&question, 1);
    // The endpoint has replied or promised by now, so a late run would show as a second one below.
    let executions = deployment.executions_of(JOB);
    assert_eq!(executions, 0, "the old order ran; {first:?} and then {answer:?}");
    assert!(answer.is_unknown() || answer.is_not_run() || answer.status == 404, "{answer:?}");
    if answer.is_unknown() {
        return;
    }
    let retry = deployment.reply_once_run(&call.deadline_ms(10_000), 1);
    assert_eq!(retry.status, 200, "{retry:?}");
    assert_eq!(deployment.executions_of(JOB), 1);
}

/// Invariant 4. An entry is frozen between its claim and its order, another entry gets the same key, and
/// the first one wakes up and goes on.
#[test]
fn an_entry_frozen_after_its_claim_runs_nothing_twice() {
    let deployment = Deployment::start(2, 0, 1);
    let documents = deployment.log.records("documents").len();
    for job in 0..documents {
        let warm_up = deployment.reply(&Call::job(new_key(), &format!("warm up {job}")), 0);
        assert_eq!(warm_up.status, 200, "{warm_up:?}");
    }
    let hidden = u64::try_from(documents).expect("a small number");
    assert_eq!(deployment.log.records("claims").len(), documents, "one record for each call");
    // Appends succeed, but no reader sees the next claim: the entry cannot go on.
    deployment.log.set_faults(move |faults| faults.report_end = Some(hidden));
    let call = Call::job(new_key(), JOB);
    let first = deployment.spawn(&call, 0);
    deployment.wait(deployment.log.wait_for_records("claims", hidden + 1));
    deployment.entries[0].freeze();
    deployment.log.set_faults(|faults| faults.report_end = None);
    let second = deployment.reply_once_run(&call, 1);
    assert_eq!(second.status, 200, "{second:?}");
    deployment.entries[0].resume();
    let first = deployment.finish(first).expect("the first entry wakes up");
    let same = first.status == 200 && first.body == second.body;
    assert!(same || first.is_not_run() || first.is_unknown(), "{first:?}");
    let third = deployment.reply_once_run(&call, 0);
    assert_eq!((third.status, &third.body), (200, &second.body));
    assert_eq!(deployment.executions_of(JOB), 1);
}
