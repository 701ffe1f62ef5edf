//! A request in the form that the filter chain uses, independent of the front end.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::ids::RequestKey;
use crate::memory_budget::Reservation;

/// The operation that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    /// A completion by a model.
    Completion { model: String, prompt: String, max_tokens: u32 },
    /// A lookup of the outcome of an earlier request; runs nothing.
    Lookup,
    /// A call to a service.
    Service { service: String, method: String, path: String, content_type: String, body: Vec<u8> },
}

/// A well-formed request. The filter chain decides whether it is allowed.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// SHA-256 of the bearer token.
    pub(crate) token_digest: Option<[u8; 32]>,
    pub(crate) key: Option<RequestKey>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) priority: Option<u8>,
    pub(crate) traceparent: Option<String>,
    /// Whether the caller marked the request as a retry of one that it sent before.
    pub(crate) is_caller_retry: bool,
    pub(crate) call: Call,
    /// Memory reserved for the body, returned when the request ends.
    pub(crate) _memory: Option<Arc<Reservation>>,
}

impl Request {
    /// Keeps the memory of the body until the request ends.
    pub(crate) fn with_memory(self, memory: Reservation) -> Self {
        Self { _memory: Some(Arc::new(memory)), ..self }
    }
}

impl Call {
    /// Name of the model or service; empty for a lookup.
    pub(crate) fn target(&self) -> &str {
        match self {
            Self::Completion { model, .. } => model,
            Self::Service { service, .. } => service,
            Self::Lookup => "",
        }
    }

    /// Returns a digest of the operation and its workspace, equal for each time the request is sent.
    pub(crate) fn fingerprint(&self, workspace: &str) -> [u8; 16] {
        let mut digest = Sha256::new();
        let mut part = |bytes: &[u8]| {
            digest.update((bytes.len() as u64).to_le_bytes());
            digest.update(bytes);
        };
        part(workspace.as_bytes());
        part(self.target().as_bytes());
        match self {
            Self::Completion { prompt, max_tokens, .. } => {
                part(prompt.as_bytes());
                part(&max_tokens.to_le_bytes());
            }
            Self::Lookup => {}
            Self::Service { method, path, body, .. } => {
                part(method.as_bytes());
                part(path.as_bytes());
                part(body);
            }
        }
        let full: [u8; 32] = digest.finalize().into();
        let mut fingerprint = [0; 16];
        fingerprint.copy_from_slice(&full[..16]);
        fingerprint
    }
}
