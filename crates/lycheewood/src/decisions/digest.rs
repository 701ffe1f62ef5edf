//! Digests of requests and keys: the first 16 bytes of SHA-256.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{RequestKey, WorkspaceName};

/// Error for text that is not a digest in the form of log records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid digest; write 32 hexadecimal digits")]
pub struct DigestError;

macro_rules! digest_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; 16]);

        impl $name {
            /// Returns the bytes of the digest, the form used in messages.
            #[must_use]
            pub const fn bytes(self) -> [u8; 16] {
                self.0
            }
        }

        impl From<[u8; 16]> for $name {
            fn from(bytes: [u8; 16]) -> Self {
                Self(bytes)
            }
        }

        impl TryFrom<String> for $name {
            type Error = DigestError;

            fn try_from(text: String) -> Result<Self, DigestError> {
                if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(DigestError);
                }
                let value = u128::from_str_radix(&text, 16).map_err(|_| DigestError)?;
                Ok(Self(value.to_be_bytes()))
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> Self {
                digest.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", u128::from_be_bytes(self.0))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
    };
}

digest_type!(
    /// Digest of a workspace and an idempotency key of its callers.
    KeyDigest
);
digest_type!(
    /// Digest of the content of a request (workspace, target, call and body), or of a part of its prompt. It does
    /// not depend on the key or the entry.
    Fingerprint
);

impl KeyDigest {
    /// Digests `key` as sent by `workspace`.
    #[must_use]
    pub fn of(workspace: &WorkspaceName, key: &RequestKey) -> Self {
        Self(digest(&[b"key", workspace.as_str().as_bytes(), key.to_string().as_bytes()]))
    }
}

impl Fingerprint {
    /// Digests a request. `call` is the method and path of a call to a plain service, and empty for a
    /// model.
    #[must_use]
    pub fn of(workspace: &WorkspaceName, target: &str, call: &str, body: &[u8]) -> Self {
        let workspace = workspace.as_str().as_bytes();
        Self(digest(&[b"request", workspace, target.as_bytes(), call.as_bytes(), body]))
    }

    /// Digests a part of a prompt, which requests of different workspaces may share.
    #[must_use]
    pub fn of_prompt_part(target: &str, part: &str) -> Self {
        Self(digest(&[b"prompt part", target.as_bytes(), part.as_bytes()]))
    }
}

/// Digests `parts`, each preceded by its length, so that moving a byte from one part to the next changes
/// the digest.
pub(crate) fn digest(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let full: [u8; 32] = hasher.finalize().into();
    let mut short = [0; 16];
    short.copy_from_slice(&full[..16]);
    short
}
