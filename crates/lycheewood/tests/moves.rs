//! Instances whose address changes.

#[path = "support/deployment.rs"]
mod deployment;

use deployment::{Backend, DOCUMENT, Deployment, completion, expected_text, request, send};
use stand_ins::engine::EngineFaults;

const TIMING: &str = "timing: {load_report_ms: 50, drain_notice_ms: 10}\n";
const TOKENS: u32 = 40;

/// Guards against the end of the link to an instance's old address: it must not remove the instance, which is
/// connected at a new address, from routing.
#[test]
fn the_end_of_an_old_link_leaves_the_new_one_in_use() {
    let mut deployment = Deployment::platform(TIMING);
    deployment.publish(DOCUMENT, None);
    deployment.add_engine(EngineFaults { token_interval_ms: 20, ..EngineFaults::default() });
    deployment.add_entry();
    // Two forwarders to one daemon simulate an instance whose address changes.
    let daemon = deployment.slots[0].daemon.peer_address();
    let old = deployment.forwarder(daemon);
    let new = deployment.forwarder(daemon);
    deployment.announce_at(|_, _| old.address());
    deployment.wait_until_ready();
    let entry = deployment.entries[0].caller_address();
    let completion_request =
        |prompt| request(entry, "/v1/completions", None, &completion(prompt, TOKENS));
    let Backend::Engine(engine) = &deployment.slots[0].backend else { unreachable!() };
    let long_request = deployment.runtime.spawn(send(completion_request("on the old link")));
    deployment.runtime.block_on(engine.wait_for_load(|load| load.running == 1));
    deployment.announce_at(|_, _| new.address());
    deployment.runtime.block_on(new.wait_for_opened_above(0));
    let (status, body) = deployment.runtime.block_on(long_request).expect("the caller");
    assert_eq!(status, 200, "{body}");
    assert!(body.contains(&expected_text("on the old link", u64::from(TOKENS))));
    // The old link is idle and closes. Some of these requests are sent while it does.
    for number in 0..5 {
        let (status, body) =
            deployment.runtime.block_on(send(completion_request("on the new link")));
        assert_eq!(status, 200, "request {number}: {body}");
    }
}
