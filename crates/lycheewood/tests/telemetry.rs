//! Spans of one request over all hops, and a collector that is down.

#[path = "support/deployment.rs"]
mod deployment;

use deployment::{DOCUMENT, Deployment, completion, request, send};
use hyper::header::HeaderValue;
use stand_ins::collector::{CollectedSpan, Collector};
use stand_ins::engine::EngineFaults;
use stand_ins::faults::Outage;

const TIMING: &str = "timing: {entries_valid_ms: 10, entry_linger_ms: 20, entry_refuse_ms: 10, drain_notice_ms: 10}\n";
const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLER_SPAN: &str = "00f067aa0ba902b7";

fn traced_request(outage: Outage) -> (u16, Vec<CollectedSpan>) {
    let mut deployment = Deployment::platform("");
    let collector = {
        let _runtime = deployment.runtime.enter();
        Collector::start().expect("start the collector")
    };
    collector.set_faults(move |faults| faults.common.outage = outage);
    deployment.extra = format!("{TIMING}collector_address: {}\n", collector.address());
    deployment.publish(DOCUMENT, None);
    deployment.add_engine(EngineFaults::default());
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    let entry = deployment.entries[0].caller_address();
    let mut ask = request(entry, "/v1/completions", None, &completion("traced", 2));
    let context = format!("00-{TRACE}-{CALLER_SPAN}-01");
    let context = HeaderValue::from_str(&context).expect("a valid header");
    ask.headers_mut().insert("traceparent", context);
    let (status, _) = deployment.runtime.block_on(send(ask));
    deployment.shutdown();
    (status, collector.spans())
}

/// Guards against a hop that drops the caller's trace or starts one of its own.
#[test]
fn each_hop_has_a_span_below_the_one_before() {
    let (status, spans) = traced_request(Outage::None);
    assert_eq!(status, 200);
    let mut parent = CALLER_SPAN.to_owned();
    for (name, instance) in
        [("request", "entry-0"), ("attempt", "entry-0"), ("execute", "engines-0")]
    {
        let span = spans.iter().find(|span| span.name == name).expect(name);
        assert_eq!((span.trace_id.as_str(), span.instance.as_str()), (TRACE, instance));
        assert_eq!(span.parent_span_id, parent, "parent of {name}");
        parent.clone_from(&span.span_id);
    }
}

/// Guards against requests or planned stops that depend on the collector.
#[test]
fn a_collector_that_is_down_holds_nothing_up() {
    let (status, spans) = traced_request(Outage::Dropped);
    assert_eq!((status, spans), (200, Vec::new()));
}
