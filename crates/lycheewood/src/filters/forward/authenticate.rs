//! Identifies the workspace of a caller by its API key.

use crate::filters::forward::exchange::{Authenticated, Exchange, Routed};
use crate::outcome::{InvalidRequest, RequestError};

/// # Errors
///
/// Returns `Unauthorized` if the route requires a key and the caller has sent none or an unknown one.
pub(crate) fn apply<'r>(
    exchange: Exchange<'r, Routed<'r>>,
) -> Result<Exchange<'r, Authenticated<'r>>, RequestError> {
    let Routed { routes, route } = exchange.stage;
    let workspace = exchange.head.key.as_deref().and_then(|key| routes.table.workspace_of_key(key));
    if workspace.is_none() && routes.table.requires_keys() && !route.allows_anonymous {
        return Err(RequestError::Invalid(InvalidRequest::Unauthorized));
    }
    Ok(exchange.advance(|_| Authenticated { routes, route, workspace }))
}
