//! Checks a request against the document: target, priority, deadline and idempotency.

use std::sync::Arc;

use crate::document::checked::{Document, EndpointRole, Workspace};
use crate::filters::exchange::{Authenticated, Classified, Exchange, RequestSpec};
use crate::filters::request::{Call, Request};
use crate::ids::{EndpointKindName, TargetName};
use crate::outcome::{InvalidRequest, RequestError};

/// Properties of a request's target in the document.
struct Target {
    kinds: Vec<EndpointKindName>,
    priority: u8,
    non_idempotent: bool,
}

pub(crate) fn apply<'r>(
    exchange: Exchange<'r, Authenticated<'r>>,
) -> Result<Exchange<'r, Classified>, RequestError> {
    let request = exchange.request;
    let document = &exchange.document.document;
    let workspace = exchange.stage.workspace;
    let target = target(document, &request.call)?;
    if target.non_idempotent && request.key.is_none() {
        return Err(RequestError::field(
            "idempotency-key",
            "this call may not repeat; send a UUID version 7 and the same one when sending again",
        ));
    }
    let priority = priority(request, workspace, &target)?;
    let deadline_ms = deadline_ms(request, document)?;
    let spec = RequestSpec {
        workspace: workspace.name.clone(),
        target: TargetName::new(request.call.target()),
        kinds: target.kinds,
        non_idempotent: target.non_idempotent,
        priority,
        deadline: exchange.now.plus_ms(deadline_ms),
        fingerprint: request.call.fingerprint(workspace.name.as_str()),
        span: Arc::clone(&exchange.stage.span),
    };
    Ok(exchange.advance(|_| Classified { spec }))
}

fn target(document: &Document, call: &Call) -> Result<Target, RequestError> {
    let unknown = |field, name: &str| {
        RequestError::Invalid(InvalidRequest::UnknownTarget { field, name: name.to_owned() })
    };
    match call {
        Call::Completion { model, .. } => {
            let definition = document.model(model).ok_or_else(|| unknown("model", model))?;
            let kinds = document
                .endpoints
                .iter()
                .filter(|kind| match &kind.role {
                    EndpointRole::Model { models } => models.contains(&definition.name),
                    EndpointRole::Service { .. } => false,
                })
                .map(|kind| kind.name.clone())
                .collect();
            Ok(Target { kinds, priority: definition.priority, non_idempotent: false })
        }
        Call::Lookup => {
            Err(RequestError::field("path", "send a completion or a call to a service"))
        }
        Call::Service { service, method, path, .. } => {
            let kind = document.service(service).ok_or_else(|| unknown("service", service))?;
            let priority = match &kind.role {
                EndpointRole::Service { priority, .. } => *priority,
                EndpointRole::Model { .. } => 0,
            };
            check_path(path)?;
            let non_idempotent = kind.is_non_idempotent(method, path);
            Ok(Target { kinds: vec![kind.name.clone()], priority, non_idempotent })
        }
    }
}

/// Refuses paths that a service may normalize to another path. Otherwise a non-idempotent call could be
/// written so that no pattern of the document matches it.
fn check_path(path: &str) -> Result<(), RequestError> {
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    let invalid_path = |remedy: &str| Err(RequestError::field("path", remedy));
    if path.contains("//") || path.contains('\\') {
        return invalid_path("send one slash between the segments and no backslash");
    }
    if path.split('/').any(|segment| segment == "." || segment == "..") {
        return invalid_path("send the path without the segments `.` and `..`");
    }
    let mut encoded = path.split('%').skip(1);
    if encoded.any(|rest| is_disallowed_escape(rest.get(..2).unwrap_or_default())) {
        return invalid_path("percent-encode only bytes that a path cannot hold");
    }
    Ok(())
}

/// Whether a percent escape is malformed, unnecessary, or encodes a slash, backslash or percent sign.
fn is_disallowed_escape(hex: &str) -> bool {
    match u8::from_str_radix(hex, 16) {
        Ok(byte) => byte.is_ascii_alphanumeric() || b"-._~/\\%".contains(&byte),
        Err(_) => true,
    }
}

fn priority(request: &Request, workspace: &Workspace, target: &Target) -> Result<u8, RequestError> {
    match request.priority {
        None => Ok(target.priority.min(workspace.max_priority)),
        Some(requested) if requested <= workspace.max_priority => Ok(requested),
        Some(_) => Err(RequestError::field(
            "x-priority",
            format!("this workspace may ask for at most {}", workspace.max_priority),
        )),
    }
}

fn deadline_ms(request: &Request, document: &Document) -> Result<u64, RequestError> {
    match request.deadline_ms {
        None => Ok(document.deadlines.default_ms),
        Some(0) => Err(RequestError::field("x-deadline-ms", "send at least 1")),
        Some(requested) if requested <= document.deadlines.max_ms => Ok(requested),
        Some(_) => Err(RequestError::field(
            "x-deadline-ms",
            format!("send at most {}", document.deadlines.max_ms),
        )),
    }
}
