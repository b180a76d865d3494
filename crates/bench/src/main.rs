//! Measurements of the decisions in virtual time and of the daemons over loopback.

/// Runs the program.
fn main() {}
