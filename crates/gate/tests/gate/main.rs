//! Tests of the admission to a target's slots.

mod calls;
mod slots;
