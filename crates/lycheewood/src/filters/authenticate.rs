//! Authenticates the caller by its bearer token, which belongs to a workspace.

use crate::filters::exchange::{Authenticated, Exchange, Traced};
use crate::outcome::{InvalidRequest, RequestError};

pub(crate) fn apply(
    exchange: Exchange<'_, Traced>,
) -> Result<Exchange<'_, Authenticated<'_>>, RequestError> {
    let digest = exchange.request.token_digest.as_ref();
    let workspace = digest
        .and_then(|digest| exchange.document.document.workspace_of_token(digest))
        .ok_or(RequestError::Invalid(InvalidRequest::Unauthorized))?;
    Ok(exchange.advance(|Traced { span }| Authenticated { span, workspace }))
}
