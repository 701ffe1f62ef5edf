//! Client of the platform's instance list.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::adapters::http::{HttpClient, HttpError};
use crate::ids::{FailureDomain, InstanceId};
use crate::wire::message::Role;

/// State of an instance in the platform's list, which lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Runs.
    Live,
    /// Is being taken away.
    Leaving,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub id: InstanceId,
    /// Role of its process.
    pub role: Role,
    /// For entries where callers connect, for endpoints where entries connect.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its state.
    pub state: ListedState,
}

/// One reading of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPage {
    /// Grows with each change.
    pub version: u64,
    /// All instances.
    pub instances: Vec<ListedInstance>,
}

/// A client of the instance list.
#[derive(Clone, Debug)]
pub struct ListClient {
    http: HttpClient,
    reply_ms: u64,
}

impl ListClient {
    /// A client of the list at `address`; replies are awaited for `reply_ms`.
    #[must_use]
    pub fn new(address: SocketAddr, connect_ms: u64, reply_ms: u64) -> Self {
        Self { http: HttpClient::new(address, connect_ms), reply_ms }
    }

    /// Reads the list; waits up to `wait_ms` for a version above `after`.
    ///
    /// # Errors
    ///
    /// When the list does not answer in time or not by its protocol.
    pub async fn read(&self, after: u64, wait_ms: u64) -> Result<ListPage, HttpError> {
        let path = format!("/instances?after={after}&wait_ms={wait_ms}");
        let timeout_ms = self.reply_ms.saturating_add(wait_ms);
        let reply = self.http.call(Method::GET, &path, Bytes::new(), timeout_ms).await?;
        serde_json::from_slice(&reply).map_err(|e| HttpError::Protocol {
            address: self.http.address(),
            reason: e.to_string(),
        })
    }
}
