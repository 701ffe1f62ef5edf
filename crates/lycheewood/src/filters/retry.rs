//! Checks the retry budget and waits before the next attempt.

use std::time::Duration;

use tokio::time::sleep;

use crate::controllers::admission::AcquireRetry;
use crate::entry_state::EntryState;
use crate::filters::exchange::{Admitted, Exchange};
use crate::filters::route::NO_ENDPOINT_RETRY_MS;
use crate::outcome::{NotRunCode, RequestError};

/// Returns the exchange after the retry delay if the budget allows another attempt.
pub(crate) async fn apply<'r>(
    state: &EntryState,
    mut exchange: Exchange<'r, Admitted>,
) -> Result<Exchange<'r, Admitted>, RequestError> {
    exchange.stage.attempts += 1;
    let spec = &exchange.stage.spec;
    let retry = AcquireRetry {
        target: spec.target.clone(),
        attempts: exchange.stage.attempts,
        left_ms: spec.deadline.ms_since(state.clock.now()),
    };
    match state.admission.ask(retry).await {
        Ok(Some(wait_ms)) => {
            sleep(Duration::from_millis(wait_ms)).await;
            exchange.now = state.clock.now();
            Ok(exchange)
        }
        _ => Err(exchange.refuse(NotRunCode::NoEndpoint, NO_ENDPOINT_RETRY_MS)),
    }
}
