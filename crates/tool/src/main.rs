//! The command-line tool of wagtailpulley.

/// Runs the program.
fn main() {}
