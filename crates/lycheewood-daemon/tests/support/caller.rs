//! A caller of entries: whole replies and streams, read event by event.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lycheewood::{Clock, RequestKey};
use serde_json::Value;
use tokio::time::timeout;

/// The longest wait for any event. Only a failed test waits this long.
pub(crate) const DEADLINE: Duration = Duration::from_secs(30);
/// Requests sent again before a caller gives up.
const MAX_SENDS: usize = 40;

/// Token of the workspace `north`.
pub(crate) const TOKEN: &str = "north-token";

/// One HTTP request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
    /// The address that it comes from, if not any.
    pub(crate) source: Option<IpAddr>,
}

impl Call {
    pub(crate) fn new(method: &'static str, path: &str, body: &str) -> Self {
        let authorization = ("authorization", format!("Bearer {TOKEN}"));
        let (path, body) = (path.to_owned(), body.to_owned());
        Self { method, path, headers: vec![authorization], body, source: None }
    }

    /// A call that may not repeat.
    pub(crate) fn job(key: RequestKey, body: &str) -> Self {
        Self::new("POST", "/v1/services/jobs/jobs", body).key(key)
    }

    /// A completion as a stream.
    pub(crate) fn stream(prompt: &str, tokens: u64) -> Self {
        let body = serde_json::json!({
            "model": "draft", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        Self::new("POST", "/v1/completions", &body.to_string())
    }

    /// A completion as one reply.
    pub(crate) fn whole(prompt: &str, tokens: u64) -> Self {
        let body = serde_json::json!({"model": "draft", "prompt": prompt, "max_tokens": tokens});
        Self::new("POST", "/v1/completions", &body.to_string())
    }

    /// The question what became of a key.
    pub(crate) fn question(key: RequestKey) -> Self {
        Self::new("GET", &format!("/v1/requests/{key}"), "")
    }

    pub(crate) fn key(self, key: RequestKey) -> Self {
        self.header("idempotency-key", key.to_string())
    }

    pub(crate) fn source(self, source: IpAddr) -> Self {
        Self { source: Some(source), ..self }
    }

    pub(crate) fn deadline_ms(self, deadline_ms: u64) -> Self {
        self.header("x-deadline-ms", deadline_ms.to_string())
    }

    pub(crate) fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.retain(|(former, _)| *former != name);
        self.headers.push((name, value.into()));
        self
    }

    async fn open(&self, address: SocketAddr) -> Result<Response<Incoming>, String> {
        let uri = format!("http://{address}{}", self.path);
        let mut request = Request::builder().method(self.method).uri(uri);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let body = Full::new(Bytes::from(self.body.clone()));
        let request = request.body(body).map_err(|e| e.to_string())?;
        // A client each, so that no request shares a connection with another one.
        let mut connector = HttpConnector::new();
        connector.set_local_address(self.source);
        let client = Client::builder(TokioExecutor::new()).build::<_, Full<Bytes>>(connector);
        match timeout(DEADLINE, client.request(request)).await {
            Ok(result) => result.map_err(|e| format!("{e:?}")),
            Err(_) => Err("no reply within the deadline of the test".to_owned()),
        }
    }

    /// Sends the request and reads the whole reply. The error says how the connection broke.
    pub(crate) async fn send(&self, address: SocketAddr) -> Result<Reply, String> {
        Reply::read(self.open(address).await?).await
    }

    /// Sends the request and sends it again after each refusal as not run, when the refusal says.
    pub(crate) async fn send_until_run(&self, address: SocketAddr) -> Result<Reply, String> {
        for _ in 0..MAX_SENDS {
            let reply = self.send(address).await?;
            if !reply.is_not_run() {
                return Ok(reply);
            }
            let retry_after_ms = reply.json()["error"]["retry_after_ms"].as_u64();
            tokio::time::sleep(Duration::from_millis(retry_after_ms.unwrap_or(0))).await;
        }
        Err("refused as not run each time".to_owned())
    }

    /// Opens a stream of events.
    pub(crate) async fn events(&self, address: SocketAddr) -> Result<Events, String> {
        let opened = self.events_or_reply(address).await?;
        opened.map_err(|reply| format!("status {}", reply.status))
    }

    /// Opens a stream of events, or gives the reply of an entry that opens none.
    pub(crate) async fn events_or_reply(
        &self,
        address: SocketAddr,
    ) -> Result<Result<Events, Reply>, String> {
        let response = self.open(address).await?;
        if !response.status().is_success() {
            return Reply::read(response).await.map(Err);
        }
        Ok(Ok(Events { body: response.into_body(), received: String::new() }))
    }
}

/// A whole reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) retry_after: String,
    pub(crate) body: String,
}

impl Reply {
    async fn read(response: Response<Incoming>) -> Result<Self, String> {
        let (head, body) = response.into_parts();
        let body = timeout(DEADLINE, body.collect()).await.map_err(|_| "the body stalls")?;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        let header = |name| {
            let value = head.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        Ok(Self {
            status: head.status.as_u16(),
            content_type: header(header::CONTENT_TYPE),
            retry_after: header(header::RETRY_AFTER),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    pub(crate) fn error_type(&self) -> String {
        self.json()["error"]["type"].as_str().unwrap_or_default().to_owned()
    }

    pub(crate) fn is_not_run(&self) -> bool {
        (self.status == 503 || self.status == 429) && self.error_type() == "not_run"
    }

    pub(crate) fn is_unknown(&self) -> bool {
        self.status == 504 && self.error_type() == "outcome_unknown"
    }
}

/// A stream of server-sent events.
pub(crate) struct Events {
    body: Incoming,
    received: String,
}

/// How a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// With `[DONE]`.
    Done,
    /// With `event: error`.
    Error,
    /// Without either.
    Broken(String),
}

impl Events {
    /// The next event, or `None` at the end of the body.
    pub(crate) async fn next(&mut self) -> Result<Option<String>, String> {
        loop {
            if let Some(end) = self.received.find("\n\n") {
                let event = self.received[..end].to_owned();
                self.received.drain(..end + 2);
                return Ok(Some(event));
            }
            let frame = timeout(DEADLINE, self.body.frame()).await;
            match frame.map_err(|_| "the stream stalls".to_owned())? {
                None => return Ok(None),
                Some(Err(error)) => return Err(error.to_string()),
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.received.push_str(&String::from_utf8_lossy(&data));
                }
            }
        }
    }

    /// Reads this many tokens.
    pub(crate) async fn tokens(&mut self, count: usize) -> Vec<String> {
        let mut tokens = Vec::new();
        while tokens.len() < count {
            let event = self.next().await.expect("the stream goes on");
            tokens.extend(token_of(&event.expect("the stream has more tokens")));
        }
        tokens
    }

    /// Reads the rest.
    pub(crate) async fn rest(&mut self) -> (Vec<String>, StreamEnd) {
        let (mut tokens, mut end) = (Vec::new(), StreamEnd::Broken("no last event".to_owned()));
        loop {
            match self.next().await {
                Ok(None) => return (tokens, end),
                Err(error) => return (tokens, StreamEnd::Broken(error)),
                Ok(Some(event)) if event == "data: [DONE]" => end = StreamEnd::Done,
                Ok(Some(event)) if event.starts_with("event: error") => end = StreamEnd::Error,
                Ok(Some(event)) => tokens.extend(token_of(&event)),
            }
        }
    }
}

/// The token in an event; the event before the end has an empty one and is left out.
fn token_of(event: &str) -> Option<String> {
    let data: Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
    let text = data["choices"][0]["text"].as_str()?;
    (!text.is_empty()).then(|| text.to_owned())
}

/// The tokens of an answer that nothing interrupted.
pub(crate) fn whole_answer(prompt: &str, tokens: u64) -> Vec<String> {
    (0..tokens).map(|index| stand_ins::engine::token("v1", prompt, index)).collect()
}

/// A key that no other request has.
pub(crate) fn new_key() -> RequestKey {
    RequestKey::generate(Clock::system().now())
}
