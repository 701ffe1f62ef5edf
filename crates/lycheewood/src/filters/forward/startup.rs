//! Lets requests wait at an instance that has just started.
//!
//! After a loss of power all instances start at once, while the platform may still be away. Callers come back once or
//! twice only, so those that were refused meanwhile would not be served at all.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::decisions::queue::startup_wait_ms;
use crate::filters::forward::exchange::RequestHead;
use crate::gateway::GatewayState;
use crate::lifecycle::shutdown::Phase;

/// Waits until this instance knows routes and endpoints, for the first time since its start.
pub(crate) async fn apply(state: &Arc<GatewayState>, head: &RequestHead) {
    let until = head.received.plus_ms(startup_wait_ms(head.deadline_ms));
    loop {
        // Registered before the check, so that no change in between is missed.
        let changed = state.state_received.notified();
        let remaining_ms = until.ms_since(state.clock.now());
        if state.is_started() || state.phase() != Phase::Serving || remaining_ms == 0 {
            return;
        }
        // The loop checks the time again after a timeout.
        let _ = timeout(Duration::from_millis(remaining_ms), changed).await;
    }
}
