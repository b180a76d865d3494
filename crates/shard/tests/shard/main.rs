//! Tests of the assignment of key ranges.

mod decisions;
mod random_faults;
mod simulation;
mod support;
