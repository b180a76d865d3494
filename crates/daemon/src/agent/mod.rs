//! The agent task, which alone queues requests for the daemon's target and dispatches them to it.
//!
//! - [`command`]: the commands of the task and the handle that sends them.
//! - [`work`]: one request from its arrival to its final response.
//! - [`order`]: one request dispatched to the target.
//! - [`answer`]: the responses that the daemon creates itself, without the target.
//! - [`task`]: the task and its event loop.
//! - `arrivals`, `orders`, `refusals`, `slices` and `target`: the command handlers of the task, by
//!   subject.

pub mod answer;
mod arrivals;
pub mod command;
pub mod order;
mod orders;
mod refusals;
mod slices;
mod target;
pub mod task;
pub mod work;

pub use command::{AgentCommand, AgentHandle};
pub use task::{AgentOptions, spawn};
