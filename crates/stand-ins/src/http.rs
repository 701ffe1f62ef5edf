//! Requests, replies and JSON, shared by all fakes.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::mpsc;

/// A reply's body.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A reply, or the connection closed without one.
pub(crate) type Reply = Result<Response<Body>, io::Error>;

/// A request whose body has been read.
pub(crate) struct Call {
    pub(crate) method: Method,
    path: String,
    query: String,
    pub(crate) body: Bytes,
}

impl Call {
    /// Reads the whole request.
    pub(crate) async fn read(request: Request<Incoming>) -> io::Result<Self> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let query = head.uri.query().unwrap_or_default().to_owned();
        Ok(Self { method: head.method, path: head.uri.path().to_owned(), query, body })
    }

    /// The path.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// The method and the path's segments, for a match.
    pub(crate) fn route(&self) -> (&str, Vec<&str>) {
        (self.method.as_str(), self.path.trim_matches('/').split('/').collect())
    }

    /// A number from the query, or the default if it is absent or not a number.
    pub(crate) fn number(&self, name: &str, default: u64) -> u64 {
        self.optional_number(name).unwrap_or(default)
    }

    /// A number from the query.
    pub(crate) fn optional_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next().and_then(|(_, value)| value.parse().ok())
    }

    /// The body as JSON; the error says what is wrong with it.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| error.to_string())
    }
}

/// A reply with a JSON body.
pub(crate) fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).map_err(io::Error::other)?;
    let builder = Response::builder().status(status).header("content-type", "application/json");
    builder.body(whole(body)).map_err(io::Error::other)
}

/// A 200 reply with a JSON body.
pub(crate) fn ok<T: Serialize + ?Sized>(value: &T) -> Reply {
    json(StatusCode::OK, value)
}

/// An error reply.
pub(crate) fn fault(status: StatusCode, message: &str) -> Reply {
    json(status, &json!({ "error": message }))
}

/// The reply to a request that cannot be understood.
pub(crate) fn bad_request(message: &str) -> Reply {
    fault(StatusCode::BAD_REQUEST, message)
}

/// The reply to a path that the fake does not have.
pub(crate) fn not_found() -> Reply {
    fault(StatusCode::NOT_FOUND, "no such resource")
}

/// Closes the connection without a reply.
pub(crate) fn close() -> Reply {
    Err(io::Error::new(io::ErrorKind::ConnectionAborted, "closed by a fault"))
}

/// A body that is known in full.
pub(crate) fn whole(body: impl Into<Bytes>) -> Body {
    Full::new(body.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that arrives in parts; an `Err` closes the connection without the end of the body.
pub(crate) fn streamed(parts: mpsc::Receiver<io::Result<Bytes>>) -> Body {
    let frames = stream::unfold(parts, |mut parts| async {
        let part = parts.recv().await?;
        Some((part.map(Frame::data), parts))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Whether `body` holds the text `marker`; an empty marker is in no body.
pub(crate) fn holds(body: &[u8], marker: &str) -> bool {
    !marker.is_empty() && body.windows(marker.len()).any(|window| window == marker.as_bytes())
}
