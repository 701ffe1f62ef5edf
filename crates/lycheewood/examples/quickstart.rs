//! Starts a small deployment in this process, sends requests and prints their whole answers.

#[path = "../tests/support/deployment.rs"]
mod deployment;

use std::net::SocketAddr;

use bytes::Bytes;
use deployment::{DOCUMENT, Deployment, TOKEN};
use http_body_util::{BodyExt, Full};
use hyper::{Request, header};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use lycheewood::{Clock, RequestKey};

type Error = Box<dyn std::error::Error>;

async fn post(
    address: SocketAddr,
    path: &str,
    key: Option<RequestKey>,
    body: &'static str,
) -> Result<(), Error> {
    let mut request = Request::post(format!("http://{address}{path}"))
        .header(header::AUTHORIZATION, format!("Bearer {TOKEN}"));
    if let Some(key) = key {
        request = request.header("idempotency-key", key.to_string());
    }
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request.body(Full::new(Bytes::from(body)))?).await?;
    println!("POST {path}: {}", response.status());
    let answer = response.into_body().collect().await?.to_bytes();
    println!("{}\n", String::from_utf8_lossy(&answer));
    Ok(())
}

fn main() -> Result<(), Error> {
    let deployment = Deployment::start(DOCUMENT, 2, 1);
    let address = deployment.entries[0].caller_address();
    deployment.runtime.block_on(async {
        let draft =
            r#"{"model": "draft", "prompt": "morning note", "max_tokens": 8, "stream": true}"#;
        post(address, "/v1/completions", None, draft).await?;
        let key = RequestKey::generate(Clock::system().now());
        let job = r#"{"job": 17}"#;
        post(address, "/v1/services/jobs/jobs", Some(key), job).await?;
        // The same request again gives the answer of the first one.
        post(address, "/v1/services/jobs/jobs", Some(key), job).await
    })
}
