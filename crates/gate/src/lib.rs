//! Admission to the slots of one target: who runs, who waits, who is refused.
//!
//! The node beside a target is its only caller, so that it counts the slots exactly. A request
//! that cannot be answered in time is refused when it arrives.
//!
//! - [`machine`]: the queue and the slots.
//! - [`estimate`]: the time that requests hold a slot.

pub mod estimate;
pub mod machine;

pub use machine::{AdmissionGate, GateAction, GateArrival, GateOptions, GateRefusal};
