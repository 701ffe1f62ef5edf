//! Exit codes, the same for every subcommand.

/// The work is done; a publication is accepted.
pub(crate) const DONE: u8 = 0;
/// The work failed.
pub(crate) const FAILED: u8 = 1;
/// Refused: the document or request is invalid, or another publication won the race. The code 2 is
/// clap's, for a wrong command line.
pub(crate) const REFUSED: u8 = 3;
/// The outcome is unknown; ask by the id or key.
pub(crate) const UNKNOWN: u8 = 4;
/// Nothing ran or was sent; it is safe to repeat.
pub(crate) const NOT_RUN: u8 = 5;
/// The deadline passed before the awaited state was reached.
pub(crate) const TIMED_OUT: u8 = 6;

/// Help on the exit codes.
pub(crate) const HELP: &str = "\
Exit codes:
  0  done, or accepted
  1  failed
  2  wrong command line
  3  refused: invalid, or another publication won the race
  4  outcome unknown; ask by the id or key
  5  not run or not sent; safe to repeat
  6  timed out while waiting";
