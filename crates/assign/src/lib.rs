//! Decisions on which target owns which slice, without input or output.
//!
//! Each node decides about the slices that it owns; there is no coordinator. A slice without a
//! record is claimed by the target that wins its rendezvous. An owner hands slices over to a less
//! loaded target that asked for load, so that a target that joins is filled by one peer after the
//! other and never by all at once.
//!
//! - [`placement`]: the target for a slice that has no owner.
//! - [`spread`]: the members of a lease and the deputies that take over.
//! - [`load`]: the measured load of the owned slices.
//! - [`sketch`]: the keys with the most requests, in bounded memory.
//! - [`peers`]: the reported loads of the other targets, in bounded memory.
//! - [`machine`]: the state machine of one target's slices.
//! - [`events`]: what reaches the machine and what it asks for.
//! - [`options`]: the bounds of the machine.

pub mod events;
pub mod load;
pub mod machine;
pub mod options;
pub mod peers;
pub mod placement;
pub mod sketch;
pub mod spread;

mod balance;
mod budget;
mod claims;
mod exchange;
mod handover;

pub use events::{AssignAction, AssignEvent, MoveReason, TargetMember};
pub use load::{HotKey, LoadMeter, LoadSample, SliceLoad};
pub use machine::AssignMachine;
pub use options::AssignOptions;
pub use peers::{LoadMessage, LoadReport};
pub use placement::{PlacementTarget, place_slice, rank_targets, ranks_within};
pub use spread::{MemberCandidate, MemberChoice, choose_deputies, choose_members};
