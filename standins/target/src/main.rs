//! A stand-in for a target, with faults on demand.

/// Runs the program.
fn main() {}
