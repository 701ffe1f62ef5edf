//! Identifiers and names. Each has its own type, so that the compiler rejects mix-ups.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Timestamp;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `name` without validating it.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

name_type!(
    /// Name of an instance, unique in the instance list.
    InstanceId
);
name_type!(
    /// Name of a failure domain.
    FailureDomain
);
name_type!(
    /// Name of a region, which has one or more failure domains.
    RegionName
);
name_type!(
    /// Name of a workspace of callers.
    WorkspaceName
);
name_type!(
    /// Name of a model or of a plain service, as callers address it.
    TargetName
);
name_type!(
    /// Name of a model version.
    VersionName
);
name_type!(
    /// Name of a group of endpoints of one kind, as the document lists them.
    EndpointKindName
);
name_type!(
    /// Identifies one publication of a document. It stays the same when the record is appended again.
    PublicationId
);
name_type!(
    /// Name of the resource that one lease covers, such as a group of ranks.
    ScopeName
);

number_type!(
    /// Position of a record in one log stream.
    Offset
);
number_type!(
    /// Fencing number of a lease: the log offset of its grant. Orders with a number below the highest seen
    /// are refused.
    FencingNumber
);
number_type!(
    /// Identifies one run of a process. It changes when the process restarts.
    Incarnation
);

/// Number of bits of an [`Offset`] that count the records of one era.
const INDEX_BITS: u32 = 40;

/// A log that comes back from an old copy gives some of its offsets out again, and begins a new era. The era stands in the
/// upper bits, so a record of a later era is always behind those of earlier ones.
impl Offset {
    /// The offset of the record that the log numbers `index` in an era. The first era is 0. Values that are too large count
    /// as the largest one, so that they are never behind smaller ones.
    #[must_use]
    pub const fn in_era(era: u64, index: u64) -> Self {
        let (max_era, max_index) = (u64::MAX >> INDEX_BITS, (1 << INDEX_BITS) - 1);
        let era = if era > max_era { max_era } else { era };
        let index = if index > max_index { max_index } else { index };
        Self((era << INDEX_BITS) | index)
    }

    /// The era of the log.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.0 >> INDEX_BITS
    }

    /// The offset as the log numbers it in its era.
    #[must_use]
    pub const fn index(self) -> u64 {
        self.0 & ((1 << INDEX_BITS) - 1)
    }

    /// The offset after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Incarnation {
    /// Generates a random incarnation, never 0.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::random::<u64>().max(1))
    }
}

/// Identifies one attempt to run a request. It is never reused, not even after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The entry process that makes the attempt.
    pub incarnation: Incarnation,
    /// Sequence number of the attempt within that process.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation.0, self.sequence)
    }
}

/// The caller's idempotency key: a UUID version 7, which contains the time of its creation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestKey {
    uuid: Uuid,
    created: Timestamp,
}

/// Why a text is not a valid [`RequestKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestKeyError {
    /// The text is not a UUID.
    #[error(
        "the key is not a UUID; send a UUID version 7 such as 01890a5d-ac96-774b-bcce-b302099a8057"
    )]
    NotUuid,
    /// The UUID has another version, which does not contain the creation time.
    #[error(
        "the key is a UUID of another version; send version 7, which carries its creation time"
    )]
    NotVersion7,
}

impl RequestKey {
    /// Generates a key with `now` as its creation time.
    #[must_use]
    pub fn generate(now: Timestamp) -> Self {
        let seconds = now.unix_ms() / 1000;
        let nanos = u32::try_from(now.unix_ms() % 1000).unwrap_or(0) * 1_000_000;
        let uuid = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, seconds, nanos));
        Self { uuid, created: now }
    }

    /// When the caller created the key.
    #[must_use]
    pub const fn created(&self) -> Timestamp {
        self.created
    }
}

impl TryFrom<&str> for RequestKey {
    type Error = RequestKeyError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let uuid = Uuid::parse_str(text).map_err(|_| RequestKeyError::NotUuid)?;
        if uuid.get_version_num() != 7 {
            return Err(RequestKeyError::NotVersion7);
        }
        let (seconds, nanos) = uuid.get_timestamp().ok_or(RequestKeyError::NotVersion7)?.to_unix();
        let created =
            Timestamp::from_unix_ms(seconds.saturating_mul(1000) + u64::from(nanos / 1_000_000));
        Ok(Self { uuid, created })
    }
}

impl TryFrom<String> for RequestKey {
    type Error = RequestKeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::try_from(text.as_str())
    }
}

impl From<RequestKey> for String {
    fn from(key: RequestKey) -> Self {
        key.to_string()
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.uuid, f)
    }
}
