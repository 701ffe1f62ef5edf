//! Headers that concern one connection only.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that are never passed on. The length is set anew for the body that is passed on.
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

/// A copy without the headers that concern one connection only.
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
