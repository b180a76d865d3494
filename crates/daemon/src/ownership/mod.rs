//! The task that drives the lease machine and the assignment of this node's slices.
//!
//! - [`command`]: what the task is told, and the handle that tells it.
//! - [`view`]: what the other tasks may know of the leases.
//! - [`task`]: the task.
//! - [`calls`]: its calls of the platform.
//! - [`fleet`]: how it follows the configuration and the nodes.
//! - [`slices`]: serving, draining and moving slices.
//! - [`placing`]: the assignment machine.
//! - [`memories`]: what the owners of a slice hand on.
//! - [`names`]: one copy of each name that many records hold.

pub mod calls;
pub mod command;
mod fleet;
pub mod memories;
pub mod names;
mod placing;
mod slices;
pub mod task;
pub mod view;

pub use command::{MemoryNotice, OwnershipCommand, OwnershipHandle, channel};
pub use fleet::claim_targets;
pub use task::{OwnershipOptions, spawn};
pub use view::{OwnershipView, SliceLeases};
