//! Configuration changes: intents, plans and confirmations. This crate performs no I/O.
//!
//! An operator submits an [`IntentDocument`]. [`make_plan`] turns it into a [`PlanDocument`] that
//! lists every change. The plan takes effect only when it is confirmed against the configuration
//! version that it was made for. [`IntentMachine`] runs both operations against the platform, and
//! [`ConfigKeeper`] applies accepted configurations at a node in the order of their versions.
//!
//! - [`document`]: the intent that an operator submits.
//! - [`check`]: the validation of an intent, which reports each fault with its path.
//! - [`change`]: the kinds of changes that a plan lists.
//! - [`diff`]: the differences between two configurations.
//! - [`plan`]: the plan for an intent.
//! - [`promise`]: the refusal of changes that would break a guarantee of the system.
//! - [`view`]: the nodes and slice owners that a plan is based on.
//! - [`events`]: the events and actions of [`IntentMachine`].
//! - [`machine`]: the state machine of plans and confirmations.
//! - [`keeper`]: the configuration in force at a node.
//! - [`reports`]: the responses of the administration API.
//! - [`errors`]: the errors of intents and confirmations.

pub mod change;
pub mod check;
pub mod diff;
pub mod document;
pub mod errors;
pub mod events;
pub mod keeper;
pub mod machine;
pub mod plan;
pub mod promise;
pub mod reports;
pub mod view;

mod collector;
mod confirm;
mod forecast;
mod service_check;
mod steps;
mod warnings;

pub use change::{PlannedChange, RequestChange, RequestTraits};
pub use check::parse_intent;
pub use diff::{diff_documents, diff_requests};
pub use document::IntentDocument;
pub use errors::{ConfirmConflict, DocumentFault, IntentError, IntentRefusal, Result};
pub use events::{
    CallId, ConfigOutcome, IntentAction, IntentEvent, IntentReply, PlanOutcome, WriteOutcome,
};
pub use keeper::{ConfigKeeper, KeeperAction, KeeperEvent, KeeperState};
pub use machine::{IntentMachine, IntentOptions};
pub use plan::{PlanDocument, SliceMove, UnavailableEstimate, make_plan};
pub use promise::check_promises;
pub use view::{FleetView, NodeView, SliceView};
