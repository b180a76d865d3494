//! Decentralized assignment of slices to targets, as state machines without I/O.
//!
//! Each node decides about the slices that it owns; there is no coordinator. A slice without a
//! record is claimed by the target that ranks first for it in rendezvous hashing. An owner hands
//! slices over only to a less loaded target that requested load, so that a joining target is
//! filled by one peer after the other and never by all at once.
//!
//! - [`placement`]: chooses the target for a slice that has no owner.
//! - [`spread`]: chooses the members of a lease and the deputies that take over.
//! - [`load`]: measures the load of the owned slices.
//! - [`sketch`]: finds the keys with the most requests, in bounded memory.
//! - [`peers`]: stores the reported loads of the other targets, in bounded memory.
//! - [`machine`]: the state machine that decides about the slices of one target.
//! - [`events`]: the inputs and outputs of the state machine.
//! - [`options`]: the limits, margins and intervals of the state machine.

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
