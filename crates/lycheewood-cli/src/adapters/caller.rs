//! The callers' resources of an entry.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lycheewood::HttpError;
use serde_json::Value;
use tokio::time::timeout;

use crate::adapters::http::HttpClient;
use crate::decisions::answer::ReplyEnd;
use crate::traffic::Deadline;

/// A part of a reply.
pub(crate) enum ReplyPart {
    /// A part of the answer, or an error object.
    Text(String),
    /// How the reply ended; nothing follows.
    Last(LastPart),
}

/// How a reply ended.
pub(crate) struct LastPart {
    pub(crate) end: ReplyEnd,
    pub(crate) status: Option<u16>,
    /// What went wrong, unless the text says it.
    pub(crate) detail: Option<String>,
}

/// Sends a request and passes its reply on, part by part. `streams` tells that the request asks for
/// server-sent events.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    streams: bool,
    deadline: Deadline,
    parts: mpsc::Sender<ReplyPart>,
) {
    let exchange = Exchange { address, deadline, parts: &parts };
    let last = exchange.run(request, streams).await.unwrap_or_else(|error| {
        let end = if error.is_not_sent() { ReplyEnd::NotSent } else { ReplyEnd::Lost };
        LastPart { end, status: None, detail: Some(error.to_string()) }
    });
    // Nobody receives when the operator's output is gone.
    let _ = parts.send(ReplyPart::Last(last));
}

struct Exchange<'a> {
    address: SocketAddr,
    deadline: Deadline,
    parts: &'a mpsc::Sender<ReplyPart>,
}

impl Exchange<'_> {
    async fn run(
        &self,
        request: Request<Full<Bytes>>,
        streams: bool,
    ) -> Result<LastPart, HttpError> {
        let timeout_ms = self.deadline.remaining_ms();
        let response = HttpClient::new().open(self.address, request, timeout_ms).await?;
        let (head, body) = response.into_parts();
        let (end, detail) = if streams && head.status == StatusCode::OK {
            self.events(body).await?
        } else {
            (self.whole(head.status, body).await?, None)
        };
        Ok(LastPart { end, status: Some(head.status.as_u16()), detail })
    }

    async fn whole(&self, status: StatusCode, body: Incoming) -> Result<ReplyEnd, HttpError> {
        let (mut body, mut bytes) = (body, Vec::new());
        while let Some(part) = self.part(&mut body).await? {
            bytes.extend_from_slice(&part);
        }
        self.pass_on(String::from_utf8_lossy(&bytes).into_owned());
        let error = || ReplyEnd::Error { kind: error_kind(&bytes), cut: false };
        Ok(if status.is_success() { ReplyEnd::Whole } else { error() })
    }

    async fn events(&self, mut body: Incoming) -> Result<(ReplyEnd, Option<String>), HttpError> {
        let mut events = Events::default();
        while let Some(part) = self.part(&mut body).await? {
            for event in events.take(&part) {
                match event {
                    Event::Text(text) => self.pass_on(text),
                    Event::Done => return Ok((ReplyEnd::Whole, None)),
                    Event::Error(data) => {
                        let kind = error_kind(data.as_bytes());
                        return Ok((ReplyEnd::Error { kind, cut: true }, Some(data)));
                    }
                }
            }
        }
        Err(HttpError::Cut { address: self.address })
    }

    fn pass_on(&self, text: String) {
        // Nobody receives when the operator's output is gone.
        let _ = self.parts.send(ReplyPart::Text(text));
    }

    /// The next part of a body, or `None` at its end.
    async fn part(&self, body: &mut Incoming) -> Result<Option<Bytes>, HttpError> {
        let (address, timeout_ms) = (self.address, self.deadline.remaining_ms());
        match timeout(Duration::from_millis(timeout_ms), body.frame()).await {
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
            Ok(Some(Err(_))) => Err(HttpError::Cut { address }),
            Ok(None) => Ok(None),
            Err(_) => Err(HttpError::Timeout { address, timeout_ms }),
        }
    }
}

/// The type in an error object of ours.
fn error_kind(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value["error"]["type"].as_str().map(str::to_owned)
}

/// What one event of a stream brings.
enum Event {
    Text(String),
    Done,
    Error(String),
}

/// Reads server-sent events, however their bytes are divided.
#[derive(Default)]
struct Events {
    pending: Vec<u8>,
}

impl Events {
    /// Takes bytes and gives the events that they complete.
    fn take(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.pending.drain(..end + 2).collect();
            events.extend(event(&String::from_utf8_lossy(&block)));
        }
        events
    }
}

fn event(block: &str) -> Option<Event> {
    let is_error = block.lines().any(|line| line == "event: error");
    let data = block.lines().find_map(|line| line.strip_prefix("data: "))?;
    if is_error {
        return Some(Event::Error(data.to_owned()));
    }
    if data == "[DONE]" {
        return Some(Event::Done);
    }
    let value: Value = serde_json::from_str(data).ok()?;
    value["choices"][0]["text"].as_str().map(|text| Event::Text(text.to_owned()))
}
