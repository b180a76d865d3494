//! Assignment of key ranges to targets: who holds a range, when it may move, and how load is
//! balanced.
//!
//! The platform's store keeps one table per keyed service, which is changed by conditional writes
//! only. A target gets grants only from its own node, and the node grants only ranges that a
//! recently read table assigns to the target. A row passes to another holder after the target has
//! released it, after the target's incarnation has ended, or after the last grant has lapsed that
//! any recent enough read of the old row allows.
//!
//! - [`sender`]: which heartbeats come from the target of a node.
//! - [`table`]: the assignment table and the operations that change it.
//! - [`departures`]: the targets that have announced their leave.
//! - [`facts`]: what the record of a node states for good.
//! - [`keeper`]: the node's grants to its target in reply to heartbeats.
//! - [`planner`]: plans which target holds which range.
//! - [`balance`]: selects the moves that balance the load.
//! - [`load`]: request rates by key.
//! - [`reads`]: reads of the table that the nodes of a zone share.

pub mod balance;
pub mod departures;
pub mod facts;
pub mod keeper;
pub mod load;
pub mod planner;
pub mod reads;
pub mod sender;
pub mod table;
