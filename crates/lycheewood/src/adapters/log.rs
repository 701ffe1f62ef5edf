//! Client of the platform's append-only log.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;

use crate::adapters::http::{HttpClient, HttpError};
use crate::clock::Timestamp;
use crate::ids::Offset;

/// The most records asked for in one read.
const MAX_RECORDS: usize = 1_000;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LogRecord {
    /// Its position.
    pub offset: Offset,
    /// When the log appended it, by the log's own clock.
    #[serde(rename = "appended_unix_ms")]
    pub appended: Timestamp,
    /// What was appended.
    pub payload: String,
}

/// Records of a stream, with the bounds of what the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LogPage {
    /// The oldest offset still readable.
    pub first_offset: Offset,
    /// The next offset to be assigned.
    pub end_offset: Offset,
    /// Records in order.
    pub records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

/// A client of the log.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: HttpClient,
    reply_ms: u64,
}

impl LogClient {
    /// A client of the log at `address`; replies are awaited for `reply_ms`.
    #[must_use]
    pub fn new(address: SocketAddr, connect_ms: u64, reply_ms: u64) -> Self {
        Self { http: HttpClient::new(address, connect_ms), reply_ms }
    }

    /// Appends one record and gives its offset.
    ///
    /// # Errors
    ///
    /// When the log gives no offset. Unless [`HttpError::is_not_sent`], the record may stand in the
    /// log all the same.
    pub async fn append(&self, stream: &str, payload: String) -> Result<Offset, HttpError> {
        let path = format!("/streams/{stream}/records");
        let reply =
            self.http.call(Method::POST, &path, Bytes::from(payload), self.reply_ms).await?;
        let appended: Appended = self.parse(&reply)?;
        Ok(appended.offset)
    }

    /// Reads records from `from` on; waits up to `wait_ms` for the first one.
    ///
    /// # Errors
    ///
    /// When the log does not answer in time or not by its protocol.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        wait_ms: u64,
    ) -> Result<LogPage, HttpError> {
        let path =
            format!("/streams/{stream}/records?from={from}&max={MAX_RECORDS}&wait_ms={wait_ms}");
        let timeout_ms = self.reply_ms.saturating_add(wait_ms);
        let reply = self.http.call(Method::GET, &path, Bytes::new(), timeout_ms).await?;
        self.parse(&reply)
    }

    fn parse<'a, T: Deserialize<'a>>(&self, reply: &'a Bytes) -> Result<T, HttpError> {
        serde_json::from_slice(reply).map_err(|e| HttpError::Protocol {
            address: self.http.address(),
            reason: e.to_string(),
        })
    }
}
