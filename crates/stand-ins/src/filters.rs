//! The filters that each request passes before and after a fake handles it.

use std::future::Future;
use std::time::Duration;

use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::control::Controller;
use crate::faults::{CommonFaults, Outage};
use crate::http::{self, Call, Reply};

/// The state of a fake, owned by its control thread.
pub(crate) trait State: Send + 'static {
    type Faults: Clone + Serialize + DeserializeOwned + Send + 'static;

    fn faults(&self) -> &Self::Faults;
    fn faults_mut(&mut self) -> &mut Self::Faults;
    /// Reacts to new faults.
    fn faults_changed(&mut self) {}

    fn common(&self) -> &CommonFaults;
    fn common_mut(&mut self) -> &mut CommonFaults;
}

/// What a server serves.
pub(crate) trait Fake: Send + Sync + 'static {
    type State: State;

    fn control(&self) -> &Controller<Self::State>;

    /// Handles a request that no fault stopped.
    fn handle(&self, call: &Call) -> impl Future<Output = Reply> + Send;

    /// Whether the request changes something, so that its reply can be lost.
    fn has_effect(&self, call: &Call) -> bool;

    /// Forgets what a crashed process forgets.
    fn crashed(&self) -> impl Future<Output = ()> + Send {
        std::future::ready(())
    }
}

/// Runs a request through every filter, in this order.
pub(crate) async fn chain<F: Fake>(fake: &F, call: &Call) -> Reply {
    if call.path() == "/faults" {
        return fault_resource(fake.control(), call).await;
    }
    let faults = fake.control().read(|state| state.common().clone()).await;
    if let Some(reply) = outage(&faults) {
        return reply;
    }
    delay(&faults).await;
    stall(&faults).await;
    if let Some(reply) = error_status(&faults) {
        return reply;
    }
    let reply = fake.handle(call).await;
    if fake.has_effect(call) && lose_reply(fake.control()).await {
        return http::close();
    }
    reply
}

fn outage(faults: &CommonFaults) -> Option<Reply> {
    match faults.outage {
        Outage::None => None,
        Outage::Unavailable => Some(http::fault(StatusCode::SERVICE_UNAVAILABLE, "outage")),
        Outage::Dropped => Some(http::close()),
    }
}

async fn delay(faults: &CommonFaults) {
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
}

async fn stall(faults: &CommonFaults) {
    if faults.stall {
        std::future::pending::<()>().await;
    }
}

fn error_status(faults: &CommonFaults) -> Option<Reply> {
    let status = StatusCode::from_u16(faults.error_status).ok()?;
    Some(http::fault(status, "set by a fault"))
}

async fn lose_reply<S: State>(control: &Controller<S>) -> bool {
    let take = |state: &mut S| {
        let left = &mut state.common_mut().lose_next_replies;
        let lose = *left > 0;
        *left = left.saturating_sub(1);
        lose
    };
    control.change(take).await
}

/// `GET /faults` shows the faults; `POST /faults` sets the fields that its body names.
async fn fault_resource<S: State>(control: &Controller<S>, call: &Call) -> Reply {
    if call.method == "GET" {
        return http::ok(&control.read(|state| state.faults().clone()).await);
    }
    let patch = match call.json::<Value>() {
        Ok(patch) => patch,
        Err(message) => return http::bad_request(&message),
    };
    match control.change(move |state| patch_faults(state, &patch)).await {
        Ok(faults) => http::ok(&faults),
        Err(message) => http::bad_request(&message),
    }
}

fn patch_faults<S: State>(state: &mut S, patch: &Value) -> Result<S::Faults, String> {
    let faults = patched(state.faults(), patch)?;
    *state.faults_mut() = faults.clone();
    state.faults_changed();
    Ok(faults)
}

fn patched<T: Serialize + DeserializeOwned>(faults: &T, patch: &Value) -> Result<T, String> {
    let mut merged = serde_json::to_value(faults).map_err(|error| error.to_string())?;
    let fields = patch.as_object().ok_or("the body is not a JSON object")?;
    for (name, value) in fields {
        let field = merged.get_mut(name).ok_or_else(|| format!("no fault named {name}"))?;
        *field = value.clone();
    }
    serde_json::from_value(merged).map_err(|error| error.to_string())
}
