//! Client of one rank of a model engine.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::adapters::http::{HttpClient, HttpError};
use crate::clock::Timestamp;
use crate::decisions::map_change::{EngineOrder, EngineRankState, EngineStagedMap};
use crate::ids::FencingNumber;

#[derive(Deserialize)]
struct RanksBody {
    next_step: u64,
    ranks: Vec<RankBody>,
}

#[derive(Deserialize)]
struct RankBody {
    map_version: u64,
    granted_until: u64,
    staged: Option<StagedBody>,
}

#[derive(Deserialize)]
struct StagedBody {
    map_version: u64,
    step: u64,
    committed: bool,
}

/// What an engine measured of its group over one period.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct RanksLoad {
    /// Tokens by layer and expert.
    pub(crate) tokens: Vec<Vec<f64>>,
    /// Time of each rank in a step.
    pub(crate) step_ms: Vec<f64>,
    /// Speed of each rank; 1 is nominal.
    pub(crate) speeds: Vec<f64>,
    /// Experts that one rank holds in one layer.
    pub(crate) slots: usize,
    /// End of the period.
    #[serde(rename = "ended_unix_ms")]
    pub(crate) ended: Timestamp,
}

/// A client of one rank.
#[derive(Clone, Debug)]
pub(crate) struct RankClient {
    http: HttpClient,
    rank: usize,
    reply_ms: u64,
}

impl RankClient {
    pub(crate) fn new(address: SocketAddr, rank: usize, connect_ms: u64, reply_ms: u64) -> Self {
        Self { http: HttpClient::new(address, connect_ms), rank, reply_ms }
    }

    /// The rank, once the group's next step is at least `min_next_step` or `wait_ms` has passed.
    pub(crate) async fn read(
        &self,
        min_next_step: u64,
        wait_ms: u64,
    ) -> Result<EngineRankState, HttpError> {
        let path = format!("/ranks?min_next_step={min_next_step}&wait_ms={wait_ms}");
        let body: RanksBody = self.get(&path, wait_ms).await?;
        let next_step = body.next_step;
        let rank = body.ranks.get(self.rank).ok_or_else(|| HttpError::Protocol {
            address: self.http.address(),
            reason: format!("the engine has no rank {}; check `rank.index`", self.rank),
        })?;
        let staged_map = rank.staged.as_ref().map(|staged| EngineStagedMap {
            version: staged.map_version,
            step: staged.step,
            is_committed: staged.committed,
        });
        let (version, granted_until) = (rank.map_version, rank.granted_until);
        Ok(EngineRankState { next_step, version, granted_until, staged_map })
    }

    /// What the engine measured last.
    pub(crate) async fn load(&self) -> Result<RanksLoad, HttpError> {
        self.get("/ranks/load", 0).await
    }

    /// Gives an order. After an error it may have taken effect.
    pub(crate) async fn order(
        &self,
        order: EngineOrder,
        fencing: FencingNumber,
    ) -> Result<(), HttpError> {
        let (action, body): (_, Value) = match order {
            EngineOrder::Stage { version, step } => {
                ("stage", json!({"fencing_number": fencing, "map_version": version, "step": step}))
            }
            EngineOrder::Decide { version, commit } => (
                "decide",
                json!({"fencing_number": fencing, "map_version": version, "commit": commit}),
            ),
            EngineOrder::Grant { until_step } => ("grant", json!({"until_step": until_step})),
        };
        let path = format!("/ranks/{}/{action}", self.rank);
        let body = Bytes::from(body.to_string());
        self.http.call(Method::POST, &path, body, self.reply_ms).await.map(|_| ())
    }

    async fn get<T: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
        wait_ms: u64,
    ) -> Result<T, HttpError> {
        let timeout_ms = self.reply_ms.saturating_add(wait_ms);
        let reply = self.http.call(Method::GET, path, Bytes::new(), timeout_ms).await?;
        serde_json::from_slice(&reply).map_err(|e| HttpError::Protocol {
            address: self.http.address(),
            reason: e.to_string(),
        })
    }
}
