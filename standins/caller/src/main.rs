//! A stand-in for the callers: sends requests and checks the answers.

/// Runs the program.
fn main() {}
