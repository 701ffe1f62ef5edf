//! Reads a configuration file for a check.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use crate::decisions::check::MAX_CONFIGURATION_BYTES;

/// Reads a configuration file, at most one byte beyond the largest size, which the check then reports.
///
/// # Errors
///
/// When the file cannot be read.
pub fn read_configuration(path: &Path) -> io::Result<Vec<u8>> {
    let limit = u64::try_from(MAX_CONFIGURATION_BYTES).unwrap_or(u64::MAX).saturating_add(1);
    let mut bytes = Vec::new();
    File::open(path)?.take(limit).read_to_end(&mut bytes)?;
    Ok(bytes)
}
