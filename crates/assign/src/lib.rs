//! Decisions on which target owns which slice, without input or output.
//!
//! Each node decides about the slices that it owns; there is no coordinator.
//!
//! - [`placement`]: the target for a slice that has no owner.
//! - [`spread`]: the members of a lease and the deputies that take over.

pub mod placement;
pub mod spread;

pub use placement::{PlacementTarget, place_slice, rank_targets};
pub use spread::{MemberChoice, SpreadMember, choose_deputies, choose_members};
