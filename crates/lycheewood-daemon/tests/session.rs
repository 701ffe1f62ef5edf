//! One session over separate processes, compared with a golden file.
//!
//! Guards against unnoticed changes of what callers see: status, content type and body of each reply.
//! `INSTA_UPDATE=always cargo test -p lycheewood-daemon --test session` writes the file anew.

#[path = "support/caller.rs"]
mod caller;
#[path = "support/processes.rs"]
mod processes;

use std::fmt::Write;

use caller::{Call, Reply, new_key};
use processes::Deployment;

/// Replaces what differs from run to run.
struct Filter(Vec<(String, &'static str)>);

impl Filter {
    fn apply(&self, text: &str) -> String {
        self.0.iter().fold(text.to_owned(), |text, (value, name)| text.replace(value, name))
    }
}

fn describe(title: &str, call: &Call, reply: &Reply) -> String {
    let mut text = format!("## {title}\n\n{} {}\n", call.method, call.path);
    for (name, value) in call.headers.iter().filter(|(name, _)| *name != "authorization") {
        let _ = writeln!(text, "{name}: {value}");
    }
    match call.body.len() {
        0 => {}
        1..=200 => writeln!(text, "{}", call.body).expect("a string takes all"),
        bytes => writeln!(text, "({bytes} bytes)").expect("a string takes all"),
    }
    let _ = writeln!(text, "\n{} {}", reply.status, reply.content_type);
    if !reply.retry_after.is_empty() {
        let _ = writeln!(text, "retry-after: {}", reply.retry_after);
    }
    let _ = writeln!(text, "{}\n", reply.body.trim_end());
    text
}

#[test]
fn a_session_reads_as_before() {
    let deployment = Deployment::start_without_document(1, 1, 1);
    let (key, unused) = (new_key(), new_key());
    let completion = |stream: bool| {
        let body = serde_json::json!({
            "model": "draft", "prompt": "morning note", "max_tokens": 3, "stream": stream,
        });
        Call::new("POST", "/v1/completions", &body.to_string())
    };
    let steps = [
        ("Streamed completion", completion(true)),
        ("Whole completion", completion(false)),
        ("Call to a service", Call::new("GET", "/v1/services/jobs/list?day=1", "")),
        ("Call that may not repeat", Call::job(key, r#"{"job": 17}"#)),
        ("The same key and body again", Call::job(key, r#"{"job": 17}"#)),
        ("Question by key", Call::question(key)),
        ("Question by a key that was never used", Call::question(unused)),
        ("The same key with another body", Call::job(key, r#"{"job": 18}"#)),
        ("Missing key", Call::new("POST", "/v1/services/jobs/jobs", r#"{"job": 19}"#)),
        ("Wrong token", completion(false).header("authorization", "Bearer other")),
        (
            "Unknown model",
            Call::new("POST", "/v1/completions", r#"{"model": "drafts", "prompt": "a"}"#),
        ),
        ("Unknown service", Call::new("GET", "/v1/services/job/list", "")),
        ("Oversized body", Call::job(unused, &"x".repeat(70_000))),
        ("Malformed JSON", Call::new("POST", "/v1/completions", r#"{"model": "draft""#)),
        ("Wrong method", Call::new("GET", "/v1/completions", "")),
        ("Unknown path", Call::new("GET", "/v2", "")),
        ("Entries", Call::new("GET", "/v1/entries", "")),
    ];
    let entry = deployment.entry(0);
    let filter = Filter(vec![
        (key.to_string(), "KEY-1"),
        (unused.to_string(), "KEY-2"),
        (entry.to_string(), "ENTRY-1"),
    ]);
    let step = |title, call: &Call| {
        let reply = deployment.runtime.block_on(call.send(entry));
        let reply = reply.unwrap_or_else(|error| panic!("{title}: {error}"));
        describe(title, call, &reply)
    };
    let mut session = step("Before a document is published", &completion(false));
    deployment.publish();
    deployment.wait_until_ready();
    for (title, call) in &steps {
        session.push_str(&step(title, call));
    }
    insta::assert_snapshot!("session", filter.apply(&session));
    let executed = [r#"{"job": 17}"#, r#"{"job": 18}"#, r#"{"job": 19}"#];
    let executions = executed.map(|body| deployment.executions_of(body));
    assert_eq!(executions, [1, 0, 0], "only the first job ran, and once");
}
