//! An operator's way from the id of a failed request to its cause.

#[path = "support/tool.rs"]
mod tool;

use tool::{file, run};

const LOG: &str = r#"
36.0941 front-1 2026-02-24T06:12:13.1Z [INFO] endpoint changed server=i-6b offset=30 state=Ready
36.3380 front-1 2026-02-24T06:12:13.3Z [INFO] attempt failed id=ab12 attempt=77-3 server=i-6b waited_ms=6 reason="the connection failed: reset"
36.3390 front-1 2026-02-24T06:12:13.3Z [INFO] request ended id=ab12 host=h path=/a/ outcome=endpoint_lost status=502 server=- events=0 elapsed_ms=6 route_version=38
36.4000 front-1 2026-02-24T06:12:13.4Z [INFO] request ended id=ab123 host=h path=/a/ outcome=answered status=200 server=i-6b events=3 elapsed_ms=90 route_version=38
38.9000 front-1 2026-02-24T06:12:15.9Z [INFO] no endpoint id=cd34 service=x reason=overloaded listed=12 avoided=0 bound=Some(8) waited_ms=1974
38.9010 front-1 2026-02-24T06:12:15.9Z [INFO] request ended id=cd34 host=h path=/a/ outcome=overloaded status=503 server=- events=0 elapsed_ms=1974 route_version=38
39.2000 front-1 2026-02-24T06:12:16.2Z [WARN] response rejected id=ef56 server=i-6b status=200 reason="the successful response lacks the endpoint's signature"
39.2010 front-1 2026-02-24T06:12:16.2Z [INFO] request ended id=ef56 host=h path=/a/ outcome=endpoint_lost status=502 server=- events=0 elapsed_ms=7 route_version=38
"#;

/// Guards against lines of other requests, and against a cause that the lines do not show.
#[test]
fn a_request_is_followed_from_its_id_to_its_cause() {
    let log = file("gateway.log", LOG);
    let failed = run(&format!("log ab12 {log} --output json"));
    assert_eq!(failed.code, Some(0), "{failed:?}");
    let json = failed.json();
    assert_eq!(json["lines"].as_array().map(Vec::len), Some(2));
    assert_eq!(json["lines"][0]["fields"]["reason"], "the connection failed: reset");
    let cause = json["cause"].as_str().expect("a text");
    assert!(cause.starts_with("endpoint_lost with status 502 after 6 ms; 1 attempts"), "{cause}");
    let refused = run(&format!("log cd34 {log}"));
    let last = refused.stdout.lines().last().expect("a cause");
    assert!(last.contains("overloaded with status 503") && last.contains("no endpoint"), "{last}");
    assert!(!refused.stdout.contains("ab12"));
    let rejected = run(&format!("log ef56 {log}"));
    let last = rejected.stdout.lines().last().expect("a cause");
    assert!(last.contains("response rejected, endpoint i-6b"), "{last}");
}

/// Guards against an unknown id that looks like a request without lines.
#[test]
fn an_unknown_request_is_an_error() {
    let log = file("gateway-unknown.log", LOG);
    assert_eq!(run(&format!("log nobody {log}")).code, Some(1));
    assert_eq!(run("log nobody missing.log").code, Some(1));
}
