//! Choice of the next hop, retries and their budgets, at the node that a caller reached.
//!
//! - [`choice`]: the choice of a target for services without keys.
//! - [`standing`]: what one ingress knows of one target.
//! - [`home`]: the one target that may run a non-idempotent request.
//! - [`retry`]: whether a failed attempt may be repeated.
//! - [`budget`]: the retries that a service and tenant may still cause.
//! - [`hosts`]: routes by host and path prefix.
//! - [`pick`]: the choice among targets by their expected wait.
//! - [`table`]: the owners of the slices of keyed services.
//! - [`watchers`]: the nodes that watch the store for others.

pub mod budget;
pub mod choice;
pub mod home;
pub mod hosts;
pub mod pick;
pub mod retry;
pub mod standing;
pub mod table;
pub mod watchers;

pub use budget::{BudgetOptions, RetryBudget};
pub use choice::{ChoiceAction, ChoiceEvent, ChoiceMachine, ChoiceOptions};
pub use home::{HomeChoice, HomeOptions, HomeTable, mint_identifier, named_home};
pub use retry::{RetryContext, RetryDecision, RetryPolicy, RetryRefusal, combined_verdict};
pub use standing::{AttemptResult, LoadHint};
pub use table::{RouteHint, RouteTable};
