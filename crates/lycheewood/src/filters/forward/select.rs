//! Chooses the server of the next attempt.

use std::sync::Arc;

use crate::decisions::balance::{ServerView, choose_server};
use crate::filters::forward::exchange::{Admitted, Exchange, Selected};
use crate::gateway::GatewayState;
use crate::lifecycle::attempt::Attempt;

/// The choice.
pub(crate) enum Selection<'r> {
    /// A server is chosen.
    Selected(Exchange<'r, Selected>),
    /// No server may get the request.
    None(Admitted),
}

/// Chooses among the servers of the request's service that have not failed it. The first attempt is
/// free; a later one takes from the retry budget.
pub(crate) fn apply<'r>(
    state: &Arc<GatewayState>,
    exchange: Exchange<'r, Admitted>,
) -> Selection<'r> {
    let Exchange { head, view, now, stage: admitted } = exchange;
    let is_over = admitted.attempts >= admitted.route.max_attempts || now >= admitted.deadline;
    let barred = admitted.may_have_run.is_some() && !admitted.may_run_again();
    if is_over || barred {
        return Selection::None(admitted);
    }
    let entries = view.servers.table.servers(&admitted.service);
    let views: Vec<_> = entries
        .iter()
        .map(|entry| {
            let (own, failures) = state.loads.load(&entry.id, now);
            let others = view.peers.in_flight.get(&entry.id).copied().unwrap_or(0);
            ServerView {
                id: &entry.id,
                failure_domain: &entry.failure_domain,
                slots: entry.slots,
                in_flight: own + others,
                failures,
            }
        })
        .collect();
    let own_domain = &state.settings.failure_domain;
    let Some(index) = choose_server(&views, own_domain, &admitted.avoid, rand::random()) else {
        return Selection::None(admitted);
    };
    if admitted.attempts > 0 && !state.take_retry(&admitted.service) {
        state.metrics.retries_denied.inc();
        return Selection::None(admitted);
    }
    if admitted.attempts > 0 {
        state.metrics.retries.inc();
    }
    let server = Arc::clone(&entries[index]);
    let in_flight = state.loads.start(&server.id);
    let attempt = Attempt::plan(state.next_attempt());
    let selected = Selected { admitted, server, attempt, in_flight };
    Selection::Selected(Exchange { head, view, now, stage: selected })
}
