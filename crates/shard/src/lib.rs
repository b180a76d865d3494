//! Ranges of keys: who holds them, when they may move, and how they are spread.
//!
//! The platform's store keeps one table a keyed service, changed by conditional writes only. The
//! node beside a target is the only one that grants keys to it, and grants only what a table that
//! it read a short while ago names, the proof. A row passes to another holder after the target
//! released it, after the target's life ended, or after the last hold that any proof of the old
//! row allows has lapsed.
//!
//! - [`table`]: the table and its changes.
//! - [`keeper`]: heartbeats and grants beside a target.
//! - [`planner`]: which target should hold which range.
//! - [`balance`]: moves that even out the load.
//! - [`load`]: arrivals counted by key.

pub mod balance;
pub mod keeper;
pub mod load;
pub mod planner;
pub mod table;
