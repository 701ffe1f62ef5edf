//! Compares admission policies under overload.

fn main() {}
