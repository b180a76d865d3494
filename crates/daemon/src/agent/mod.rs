//! The task beside the target, which alone queues and dispatches to it.
//!
//! - [`command`]: what the task is told, and the handle that tells it.
//! - [`work`]: one request from its arrival to its final answer.
//! - [`order`]: one order at the target.
//! - [`answer`]: the answers that the task gives itself.
//! - [`task`]: the task.
//! - `arrivals`, `orders`, `refusals`, `slices` and `target`: its parts by job.

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
