//! Tokens that follow from version, prompt and index alone, so that responses can be compared.

/// FNV-1a with 64 bits: stable over builds, which the standard hasher does not promise.
pub(crate) fn digest(parts: &[&[u8]]) -> u64 {
    let bytes = parts.iter().flat_map(|part| part.iter().chain(&[0]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The token at one index of the response to a prompt.
#[must_use]
pub fn token(version: &str, prompt: &str, index: u64) -> String {
    let hash = digest(&[version.as_bytes(), prompt.as_bytes(), &index.to_le_bytes()]);
    format!("{:08x}", hash >> 32)
}
