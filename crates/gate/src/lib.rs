//! Admission to the slots of one target: who runs, who waits, who is refused.
//!
//! The node beside a target is its only caller, so that it counts the slots exactly. A request
//! that cannot be answered in time is refused when it arrives.
//!
//! - [`machine`]: the queue and the slots.
//! - [`estimate`]: the time that requests hold a slot.
//! - [`origins`]: which requests are calls of work that already runs.
//! - [`pressure`]: how much new work the callers of a busy service should begin.
//! - [`waits`]: how long callers have waited before they came back.

pub mod estimate;
pub mod machine;
pub mod origins;
pub mod pressure;
pub mod waits;

pub use machine::{AdmissionGate, GateAction, GateArrival, GateOptions, GateRefusal};
