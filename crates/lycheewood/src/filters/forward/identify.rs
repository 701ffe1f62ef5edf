//! Finds the route of a request.

use crate::filters::forward::exchange::{Exchange, Identified, Received};
use crate::outcome::{InvalidRequest, Refusal};

/// # Errors
///
/// When no route of the host begins the path.
pub(crate) fn apply<'r>(
    exchange: Exchange<'r, Received<'r>>,
) -> Result<Exchange<'r, Identified<'r>>, Refusal> {
    let head = exchange.head;
    let routes = exchange.stage.routes;
    let route = routes
        .table
        .route(&head.host, head.target.path())
        .ok_or(Refusal::Invalid(InvalidRequest::NoRoute))?;
    Ok(exchange.advance(|_| Identified { routes, route }))
}
