//! Hop-by-hop headers, which a proxy does not forward.

use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that are never forwarded. `Content-Length` is set again for the forwarded body.
const HOP_BY_HOP: [HeaderName; 11] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
    CONTENT_LENGTH,
];

/// Length of the shortest header field, `a:` with its line break, in bytes.
const MIN_FIELD_BYTES: usize = 4;
/// The most header fields of a request, whatever its size. [`HeaderMap`] panics above 24,576 fields.
const MAX_FIELDS: usize = 16 * 1024;

/// The most header fields of a request whose head has at most `max_header_bytes`. The number of fields is thus limited
/// by their size only, while the HTTP library has a limit of 100.
pub(crate) fn max_header_fields(max_header_bytes: usize) -> usize {
    (max_header_bytes / MIN_FIELD_BYTES).clamp(1, MAX_FIELDS)
}

/// Copies `headers` without hop-by-hop headers and those that `Connection` names.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let passed = headers.iter();
    let passed = passed.filter(|(name, _)| !HOP_BY_HOP.contains(name) && !named.contains(name));
    passed.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Copies the values out of the buffer that they were read into. Each value keeps the whole buffer of the HTTP library, 8
/// KiB, for as long as the head is kept, which is the duration of a stream.
pub(crate) fn detach_from_buffer(headers: &mut HeaderMap) {
    let mut copies = BytesMut::with_capacity(headers.values().map(HeaderValue::len).sum());
    for value in headers.values_mut() {
        copies.extend_from_slice(value.as_bytes());
        // The bytes of a value are valid in a value.
        if let Ok(copy) = HeaderValue::from_maybe_shared(copies.split().freeze()) {
            *value = copy;
        }
    }
}
