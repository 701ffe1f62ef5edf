//! Orders to load another version or to change role.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use super::fence::{Fence, Refusal};
use super::{EngineFake, EngineState};
use crate::http::{self, Call, Reply};

/// The body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Authorises the order; 0 if absent.
    #[serde(default)]
    pub fencing_number: u64,
    /// The version to load, if any. Running requests keep the version that they started with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Whatever else the order says; it is recorded and has no effect.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

#[derive(Default)]
pub(super) struct Orders {
    pub(super) fence: Fence,
    pub(super) taken: Vec<Order>,
}

/// Handles `POST /orders`.
pub(super) async fn take(fake: &EngineFake, call: &Call) -> Reply {
    let order: Order = match call.json() {
        Ok(order) => order,
        Err(message) => return http::bad_request(&message),
    };
    match fake.control.change(move |state| obey(state, order)).await {
        Ok(version) => http::ok(&json!({ "version": version })),
        Err(refusal) => refusal.reply(),
    }
}

/// Handles `GET /orders`: the orders taken, in order.
pub(super) async fn list(fake: &EngineFake) -> Reply {
    http::ok(&json!({ "orders": fake.control.read(|state| state.orders.taken.clone()).await }))
}

fn obey(state: &mut EngineState, order: Order) -> Result<String, Refusal> {
    state.orders.fence.pass(order.fencing_number, state.checks_fencing_numbers)?;
    if let Some(version) = &order.version {
        state.version.clone_from(version);
    }
    state.orders.taken.push(order);
    state.admit();
    Ok(state.version.clone())
}
