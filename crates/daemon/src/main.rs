//! The daemon of wagtailpulley.

/// Runs the program.
fn main() {}
