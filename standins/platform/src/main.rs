//! A stand-in for the object API of the platform, with faults on demand.

/// Runs the stand-in.
fn main() {}
