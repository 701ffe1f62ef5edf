//! Measures the time from the acceptance of a publication to its force on every node.
//!
//! A sample starts before the append is sent, so it contains the append, and ends when the last node shows
//! the version in force. All daemons run in this process on loopback with default settings.
//!
//! Prints one CSV table: a row for each number of daemons, times in milliseconds.

#[path = "../../tests/support/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::time::Instant;

use deployment::{DOCUMENT, Deployment, client};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use lycheewood::{Entry, Offset};
use stand_ins::engine::EngineFaults;

const DAEMONS: [usize; 3] = [4, 8, 16];
const PUBLICATIONS: usize = 20;
const WAIT_MS: u64 = 20_000;

fn main() {
    println!("daemons,publications,p50_ms,max_ms");
    for daemons in DAEMONS {
        let mut samples = run(daemons);
        samples.sort_by(f64::total_cmp);
        let (p50, max) = (samples[samples.len() / 2], samples[samples.len() - 1]);
        println!("{daemons},{PUBLICATIONS},{p50:.2},{max:.2}");
    }
}

/// Starts `daemons` daemons, half of them entries, and measures each publication up to the last node.
fn run(daemons: usize) -> Vec<f64> {
    let mut deployment = Deployment::platform("");
    let mut version = deployment.publish(DOCUMENT, None);
    deployment.add_engines(daemons / 2, &EngineFaults::default());
    deployment.serve_with(daemons - daemons / 2);
    let entries = deployment.entries.iter().map(Entry::admin_address);
    let endpoints = deployment.slots.iter().map(|slot| slot.daemon.admin_address());
    let nodes: Vec<SocketAddr> = entries.chain(endpoints).collect();
    let publish = |_| {
        let next = version.next();
        let waits: Vec<_> =
            nodes.iter().map(|node| deployment.runtime.spawn(in_force(*node, next))).collect();
        let started = Instant::now();
        version = deployment.publish(DOCUMENT, Some(version));
        assert_eq!(version, next, "nobody else publishes");
        let last = deployment.runtime.block_on(async {
            let mut last = started;
            for wait in waits {
                last = last.max(wait.await.expect("a node answers"));
            }
            last
        });
        last.duration_since(started).as_secs_f64() * 1000.0
    };
    (0..PUBLICATIONS).map(publish).collect()
}

/// When the node shows `version` as in force.
async fn in_force(node: SocketAddr, version: Offset) -> Instant {
    let path = format!("/state?min_version={version}&wait_ms={WAIT_MS}");
    let request = Request::get(format!("http://{node}{path}")).body(Full::default());
    let reply = client().request(request.expect("a valid request")).await.expect("a reply");
    let body = reply.into_body().collect().await.expect("a whole body").to_bytes();
    let at = Instant::now();
    let state: serde_json::Value = serde_json::from_slice(&body).expect("a JSON state");
    assert_eq!(state["document"]["version"], version.0, "the document is not in force");
    at
}
