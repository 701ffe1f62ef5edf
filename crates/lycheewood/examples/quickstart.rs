//! Starts two small deployments in this process, each with its own document, sends requests to them
//! and prints the whole answers and the spans of one request.

#[path = "../tests/support/deployment.rs"]
mod deployment;

use std::net::SocketAddr;

use deployment::{Deployment, completion, request, send};
use lycheewood::{Clock, RequestKey};
use stand_ins::collector::{CollectedSpan, Collector};

/// Short timings, so that the planned stop at the end takes a moment only.
const TIMING: &str = "timing: {entries_valid_ms: 50, entry_linger_ms: 100, entry_refuse_ms: 50, drain_notice_ms: 50}\n";

/// A deployment's document, and the call that it marks as not to be repeated.
struct Sample {
    name: &'static str,
    document: &'static str,
    call: &'static str,
    body: &'static str,
}

const SAMPLES: [Sample; 2] = [
    Sample {
        name: "jobs: step-time skew weighs more",
        document: deployment::DOCUMENT,
        call: "/v1/services/jobs/jobs",
        body: r#"{"job": 17}"#,
    },
    Sample {
        name: "serials: the cost of rebalancing weighs more",
        document: deployment::COST_DOCUMENT,
        call: "/v1/services/jobs/blocks",
        body: r#"{"block": 42}"#,
    },
];

fn main() {
    for sample in &SAMPLES {
        run(sample);
    }
}

fn run(sample: &Sample) {
    println!("== {} ==\n", sample.name);
    let mut deployment = Deployment::platform(TIMING);
    let collector = {
        let _runtime = deployment.runtime.enter();
        Collector::start().expect("start the collector")
    };
    deployment.extra = format!("{TIMING}collector_address: {}\n", collector.address());
    deployment.publish(sample.document, None);
    deployment.add_engine(stand_ins::engine::EngineFaults::default());
    deployment.add_engine(stand_ins::engine::EngineFaults::default());
    deployment.add_service();
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();

    let entry = deployment.entries[0].caller_address();
    let streamed = completion("morning note", 4).replace('}', r#", "stream": true}"#);
    post(&deployment, entry, "/v1/completions", None, &streamed);
    let key = RequestKey::generate(Clock::system().now());
    post(&deployment, entry, sample.call, Some(key), sample.body);
    println!("The same call again, with the same key, gives the first answer:");
    post(&deployment, entry, sample.call, Some(key), sample.body);

    // Daemons export what is left of their spans when they stop.
    deployment.shutdown();
    println!("Spans of the streamed request:");
    print_first_trace(&collector.spans());
}

fn post(
    deployment: &Deployment,
    entry: SocketAddr,
    path: &str,
    key: Option<RequestKey>,
    body: &str,
) {
    let (status, answer) = deployment.runtime.block_on(send(request(entry, path, key, body)));
    println!("POST {path} -> {status}\n{answer}\n");
    assert_eq!(status, 200, "the request is done");
}

/// Prints the trace of the first request as a tree.
fn print_first_trace(spans: &[CollectedSpan]) {
    let top = spans.iter().find(|span| span.parent_span_id.is_empty());
    let top = top.expect("a span without a parent");
    print_below(spans, top, 1);
    println!();
}

fn print_below(spans: &[CollectedSpan], span: &CollectedSpan, depth: usize) {
    println!("{:indent$}{} ({})", "", span.name, span.instance, indent = 2 * depth);
    let below = |other: &&CollectedSpan| {
        other.trace_id == span.trace_id && other.parent_span_id == span.span_id
    };
    for child in spans.iter().filter(below) {
        print_below(spans, child, depth + 1);
    }
}
