//! Decisions on intents, plans and confirmations, without input or output.
//!
//! An operator states an [`IntentDocument`]. [`make_plan`] turns it into a [`PlanDocument`] that
//! lists every change, and nothing is in force until the plan is confirmed against the version
//! that it was made for. [`IntentMachine`] drives both against the platform, [`ConfigKeeper`]
//! takes accepted configurations up in the order of their versions.
//!
//! - [`document`]: what an operator writes.
//! - [`check`]: the whole check of an intent, with a path for each fault.
//! - [`change`]: the kinds of changes that a plan lists.
//! - [`diff`]: the differences between two configurations.
//! - [`plan`]: the plan for an intent.
//! - [`promise`]: the refusal of changes that would break a promise.
//! - [`view`]: the nodes and slice owners that a plan is made for.
//! - [`events`]: what reaches that machine and what it asks for.
//! - [`machine`]: the state machine of plans and confirmations.
//! - [`keeper`]: the configuration that a node has in force.
//! - [`reports`]: the answers of the administration API.
//! - [`errors`]: why an intent or a confirmation fails.

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
