//! Processes that the machine does not run for a while.

#[path = "support/caller.rs"]
mod caller;
#[path = "support/processes.rs"]
mod processes;

use std::thread;
use std::time::Duration;

use caller::{Call, new_key};
use processes::{Deployment, settings};

/// Time without a frame after which the entry closes a connection, in milliseconds.
const SILENCE_MS: u64 = 1_000;
const ENDPOINTS: usize = 6;

/// Guards against an entry that takes its own pause for the silence of its endpoints: it closed connections on which
/// frames had arrived, and refused calls with `no_endpoint` until new ones were open.
#[test]
fn an_entry_that_was_paused_keeps_the_connections_to_its_endpoints() {
    let mut deployment = Deployment::platform();
    // The endpoints do not take the pause for silence.
    deployment.settings = settings(60_000);
    for _ in 0..ENDPOINTS {
        deployment.add_service();
    }
    deployment.settings = settings(SILENCE_MS);
    deployment.add_entry();
    deployment.announce();
    deployment.publish();
    deployment.wait_until_ready();
    for round in 0..2 {
        deployment.entries[0].freeze();
        // Endpoints send a heartbeat every 100 ms meanwhile.
        thread::park_timeout(Duration::from_millis(2 * SILENCE_MS));
        deployment.entries[0].resume();
        let call = Call::job(new_key(), &format!("job {round}"));
        let reply = deployment.runtime.block_on(call.send(deployment.entry(0)));
        let reply = reply.expect("the entry replies");
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let call = Call::new("GET", "/metrics", "");
    let metrics = deployment.runtime.block_on(call.send(deployment.entries[0].admin_address));
    let metrics = metrics.expect("the admin interface replies").body;
    assert!(metrics.contains("lycheewood_connections_silent_total 0\n"), "{metrics}");
}
