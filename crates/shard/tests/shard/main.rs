//! Tests of the ranges of keys.

mod decisions;
mod storms;
mod support;
mod world;
