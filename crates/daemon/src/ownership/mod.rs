//! The task that drives the lease machine and the assignment of this node's slices.
//!
//! - [`command`]: the commands of the task and the handle that sends them.
//! - [`view`]: read access to the leases for the other tasks.
//! - [`task`]: the task's loop, its timers and the actions of the lease machine.
//! - [`calls`]: the reads and writes of lease records.
//! - [`fleet`]: changes of the configuration and the nodes.
//! - [`slices`]: serving, draining and moving slices.
//! - [`placing`]: the state machine that assigns slices to targets.
//! - [`memories`]: the request memory that an owner of a slice hands to the next one.
//! - [`names`]: sharing of the node names in lease records.

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
