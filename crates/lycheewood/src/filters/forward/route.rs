//! Finds the route of a request.

use crate::filters::forward::exchange::{Exchange, Received, Routed};
use crate::outcome::{InvalidRequest, RequestError};

/// # Errors
///
/// Returns `NoRoute` if no path prefix of the host's routes matches.
pub(crate) fn apply<'r>(
    exchange: Exchange<'r, Received<'r>>,
) -> Result<Exchange<'r, Routed<'r>>, RequestError> {
    let head = exchange.head;
    let routes = exchange.stage.routes;
    let route = routes
        .table
        .route(&head.host, head.target.path())
        .ok_or(RequestError::Invalid(InvalidRequest::NoRoute))?;
    Ok(exchange.advance(|_| Routed { routes, route }))
}
