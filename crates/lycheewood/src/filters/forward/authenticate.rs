//! Finds the workspace that holds the caller's key.

use crate::filters::forward::exchange::{Authenticated, Exchange, Identified};
use crate::outcome::{InvalidRequest, Refusal};

/// # Errors
///
/// When the route needs a key, and the caller sent none or one that nobody holds.
pub(crate) fn apply<'r>(
    exchange: Exchange<'r, Identified<'r>>,
) -> Result<Exchange<'r, Authenticated<'r>>, Refusal> {
    let Identified { routes, route } = exchange.stage;
    let workspace = exchange.head.key.as_deref().and_then(|key| routes.table.holder(key));
    if workspace.is_none() && routes.table.has_keys() && !route.is_open {
        return Err(Refusal::Invalid(InvalidRequest::Unauthorized));
    }
    Ok(exchange.advance(|_| Authenticated { routes, route, workspace }))
}
