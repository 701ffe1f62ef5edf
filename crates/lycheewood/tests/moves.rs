//! Instances that come back under another address.

#[path = "support/deployment.rs"]
mod deployment;

use deployment::{Backend, DOCUMENT, Deployment, completion, expected_text, request, send};
use stand_ins::engine::EngineFaults;

const TIMING: &str = "timing: {load_report_ms: 50, drain_notice_ms: 10}\n";
const TOKENS: u32 = 40;

/// Guards against the link to an instance's former address taking the instance out of routing when it
/// ends, after the instance has come back under a new address.
#[test]
fn the_end_of_an_old_link_leaves_the_new_one_in_use() {
    let mut deployment = Deployment::platform(TIMING);
    deployment.publish(DOCUMENT, None);
    deployment.add_engine(EngineFaults { token_interval_ms: 20, ..EngineFaults::default() });
    deployment.add_entry();
    // Two addresses of one daemon stand for an instance that has moved.
    let daemon = deployment.slots[0].daemon.peer_address();
    let former = deployment.forwarder(daemon);
    let present = deployment.forwarder(daemon);
    deployment.announce_at(|_, _| former.address());
    deployment.wait_until_ready();
    let entry = deployment.entries[0].caller_address();
    let ask = |prompt| request(entry, "/v1/completions", None, &completion(prompt, TOKENS));
    let Backend::Engine(engine) = &deployment.slots[0].backend else { unreachable!() };
    let long = deployment.runtime.spawn(send(ask("on the old link")));
    deployment.runtime.block_on(engine.wait_for_load(|load| load.running == 1));
    deployment.announce_at(|_, _| present.address());
    deployment.runtime.block_on(present.wait_for_opened_above(0));
    let (status, body) = deployment.runtime.block_on(long).expect("the caller");
    assert_eq!(status, 200, "{body}");
    assert!(body.contains(&expected_text("on the old link", u64::from(TOKENS))));
    // The old link is idle now and ends; several requests go through its end.
    for number in 0..5 {
        let (status, body) = deployment.runtime.block_on(send(ask("on the new link")));
        assert_eq!(status, 200, "request {number}: {body}");
    }
}
