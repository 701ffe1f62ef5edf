//! Conversions between integer milliseconds, random 64-bit words and floating point, without lossy casts.

use std::time::Duration;

/// `ms` as a floating-point number of milliseconds.
pub(crate) fn float_ms(ms: u64) -> f64 {
    Duration::from_millis(ms).as_secs_f64() * 1000.0
}

/// `ms` rounded up to integer milliseconds; 0 if negative or not a number.
pub(crate) fn ceil_ms(ms: f64) -> u64 {
    Duration::try_from_secs_f64(ms.ceil().max(0.0) / 1000.0)
        .map_or(u64::MAX, |d| u64::try_from(d.as_micros().div_ceil(1000)).unwrap_or(u64::MAX))
}

/// Maps a random word to the interval [0, 1).
pub(crate) fn unit_interval(random: u64) -> f64 {
    f64::from(u32::try_from(random >> 32).unwrap_or(u32::MAX)) / 4_294_967_296.0
}

/// Maps a random word to an index below `len`, which must not be zero.
pub(crate) fn index_below(random: u64, len: usize) -> usize {
    let len = u64::try_from(len).unwrap_or(u64::MAX);
    usize::try_from(random % len).unwrap_or(0)
}

/// Hashes a word with the finalizer of `SplitMix64`.
pub(crate) const fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// The fraction that remains after `age_ms` of exponential decay with time constant `constant_ms`.
pub(crate) fn decay(age_ms: u64, constant_ms: u64) -> f64 {
    (-float_ms(age_ms) / float_ms(constant_ms.max(1))).exp()
}
