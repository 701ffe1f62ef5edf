//! Frames to bytes and back.

use bytes::Bytes;

use crate::wire::message::Frame;

/// A frame that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error(
    "a peer sent a frame that is not valid CBOR of this protocol: {reason}; check that both sides run supported versions"
)]
pub struct DecodeError {
    reason: String,
}

/// Encodes one frame as CBOR.
#[must_use]
pub fn encode(frame: &Frame) -> Bytes {
    let mut bytes = Vec::with_capacity(64);
    // Writing to a vector fails only when a type's `Serialize` does, and none of these can.
    ciborium::into_writer(frame, &mut bytes).unwrap_or_default();
    Bytes::from(bytes)
}

/// Decodes one frame.
///
/// # Errors
///
/// When the bytes are not one frame of this protocol.
pub fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
    ciborium::from_reader(bytes).map_err(|e| DecodeError { reason: e.to_string() })
}
