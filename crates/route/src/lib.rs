//! Request routing at the node that a caller reached: the choice of the next hop, retries and
//! their budgets.
//!
//! - [`announce`]: the nodes that are told of a start.
//! - [`attempts`]: what the attempts of a request have come to.
//! - [`choice`]: load balancing for services without keys, by costs that one ingress observes.
//! - [`state`]: the load, latency and ejection state of one target, as one ingress knows it.
//! - [`home`]: the only target that may run a given non-idempotent request.
//! - [`retry`]: the decision whether a failed attempt is retried.
//! - [`budget`]: the token bucket that limits retries.
//! - [`evacuation`]: the availability zones that get no requests.
//! - [`hosts`]: route lookup by host and path prefix.
//! - [`outage`]: whether a node makes a call to the store for another one.
//! - [`paces`]: how fast targets are, compared by requests of the same route.
//! - [`pick`]: load balancing for services without keys, by the load that targets report.
//! - [`returns`]: when a refused caller should return.
//! - [`room`]: whether a request that found no room at a target asks another one.
//! - [`table`]: the owners of the slices of keyed services.
//! - [`watchers`]: the nodes that watch the store for the others of their zone.

pub mod announce;
pub mod attempts;
pub mod budget;
pub mod choice;
pub mod evacuation;
pub mod home;
pub mod hosts;
pub mod outage;
pub mod paces;
pub mod pick;
pub mod retry;
pub mod returns;
pub mod room;
pub mod state;
pub mod table;
pub mod watchers;

pub use budget::{BudgetOptions, RetryBudget};
pub use choice::{ChoiceAction, ChoiceEvent, ChoiceMachine, ChoiceOptions};
pub use home::{HomeChoice, HomeOptions, HomeTable, mint_identifier, named_home};
pub use retry::{RetryContext, RetryDecision, RetryPolicy, RetryRefusal, combined_verdict};
pub use state::{AttemptResult, LoadHint};
pub use table::{RouteHint, RouteTable};
