//! The lease protocol: a state machine that decides which node owns each slice.
//!
//! Each slice has an owner, a set of member nodes that witness its lease, and deputies that take
//! over from a lost owner. The lease record names them and is stored in the platform. Ownership
//! changes only by a conditional update of that record, or by a takeover whose record is written
//! later. Leases are renewed between peers: an owner serves only while a majority of its set has
//! granted the slice within the term. A witness never has grants to two holders outstanding at
//! once, so that two nodes can't hold majorities at the same instant.
//!
//! # Fault tolerance
//!
//! Sets of five survive the loss of the owner and any one other member, or of one entire zone when
//! the set is spread over three, whether the platform is up or down. Sets of three (fleets of
//! three or four nodes) survive the loss of the owner alone. When more is lost, the slice stays
//! unserved until members return or the operator confirms which are gone for good. Members that
//! lost their state in a restart grant again after one term, once a majority of the others has sent
//! them its own promises; when too few remember, the platform must be up.
//!
//! # Requirements on the daemon
//!
//! - The node's incarnation number grows with each start.
//! - The clock counts the time for which the VM was suspended.
//! - [`LeaseMachine::may_serve`] is called before each dispatch.
//! - No deadline of dispatched work lies past [`ServeGrant::until`].
//!
//! The crate neither reads a clock nor performs I/O: [`LeaseMachine::handle`] takes the time and an
//! event and returns the actions for the daemon to carry out.
//!
//! # Modules
//!
//! - [`options`]: the times and limits, with a check that refuses unsafe combinations.
//! - [`event`]: the inputs of the machine.
//! - [`action`]: the outputs of the machine.
//! - [`message`]: the messages between the machines of two nodes.
//! - [`serve`]: the results of the daemon's queries before it dispatches, routes or reports.
//! - [`machine`]: the state machine of one node.

pub mod action;
pub mod event;
mod holder;
pub mod machine;
mod members;
pub mod message;
pub mod options;
mod pairs;
mod planning;
mod platform;
mod quorum;
mod recording;
mod renewing;
pub mod serve;
mod serving;
mod takeover;
mod witness;
mod witnesses;

pub use action::{LeaseAction, LeaseProblem};
pub use event::{LeaseEvent, MemberInfo, VersionedRecord, WriteOutcome};
pub use machine::LeaseMachine;
pub use message::LeaseMessage;
pub use options::{LeaseOptions, OptionsError};
pub use serve::{LeaseSummary, OwnerHint, ServeGrant};
