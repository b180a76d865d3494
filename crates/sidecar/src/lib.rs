//! The node beside a target.
//!
//! A node takes the requests of the callers on its VM, sends each to the node beside a target
//! that may run it, and is the only way to the target on its own VM. It grants that target its
//! keys in the answers to its heartbeats. What must last lies in the platform's store.
//!
//! - [`ports`]: the traits that the platform's adapter implements.
//! - [`settings`]: what a node is told at its start.
//! - [`messages`]: what nodes say to each other.
//! - [`view`]: the configuration, the nodes and the tables of keys as this node knows them.
//! - [`directory`]: the task that follows the store.
//! - [`watching`]: what this node passes on to the nodes that follow it.
//! - [`relay`]: store calls, through a peer when the store refuses this node.
//! - [`links`]: the connections to the other nodes.
//! - [`door`]: the way to the target on this VM.
//! - [`forward`]: the way of a caller's request.
//! - [`front`]: the server for callers.
//! - [`beats`]: the server for the target's heartbeats.
//! - [`record`]: the record that a node publishes of itself.
//! - [`outcomes`]: lines and counters of how requests ended.
//! - [`metrics`]: the server for collectors of metrics.
//! - [`inbound`]: the server for the other nodes.
//! - [`planning`]: the task that spreads the keys of a service.
//! - [`run`]: starting and stopping.

pub mod beats;
pub mod directory;
pub mod door;
pub mod forward;
pub mod front;
pub mod inbound;
pub mod links;
pub mod messages;
pub mod metrics;
pub mod outcomes;
pub mod planning;
pub mod ports;
pub mod record;
pub mod relay;
pub mod run;
pub mod settings;
pub mod view;
pub mod watching;
