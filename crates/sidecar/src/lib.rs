//! The node: a sidecar that runs on the VM of each target.
//!
//! A node accepts the requests of the callers on its VM, forwards each to the node of a target that
//! may run it, and is the only one that sends requests to the target on its own VM. It grants that
//! target its keys in the replies to its heartbeats. Persistent data is kept in the platform's
//! store.
//!
//! - [`ports`]: the traits that the platform's adapter implements.
//! - [`settings`]: the settings that a node gets at its start.
//! - [`messages`]: the messages between nodes.
//! - [`node_record`]: what each node publishes of itself.
//! - `fleet_entry`: reads the stored objects of the fleet.
//! - [`view`]: the configuration, the nodes and the key tables that this node knows.
//! - [`directory`]: the task that follows changes in the store.
//! - [`watching`]: relays changes in the store to other nodes.
//! - [`relay`]: makes store calls, through a peer when the store refuses this node.
//! - [`memory`]: reserves the memory for bodies before they are read.
//! - `bodies`: reads the bodies of callers' requests.
//! - [`pacing`]: sends large responses at the rate of this VM's link.
//! - [`links`]: the connections to the other nodes.
//! - [`proxy`]: admits requests and dispatches them to the target on this VM.
//! - [`forward`]: forwards a caller's request to a target, with retries.
//! - [`front`]: the handlers for callers and for readiness checks.
//! - [`heartbeats`]: the handler of the target's heartbeats.
//! - `grant_log`: logs what the replies begin and cease to grant.
//! - [`quarantine`]: the requests that crash their targets, which this node refuses.
//! - [`record`]: publishes the record of this node.
//! - [`outcomes`]: log lines and metrics of how requests ended.
//! - [`metrics`]: the handler that serves metrics to collectors.
//! - [`inbound`]: the handler of requests from the other nodes.
//! - [`tables`]: reads the key tables, through the reader of the zone.
//! - [`planning`]: the task that distributes the keys of a service over its targets.
//! - [`run`]: starts a node, runs it and shuts it down.

mod bodies;
pub mod directory;
pub mod evacuations;
mod fleet_entry;
pub mod forward;
pub mod front;
pub mod front_state;
mod grant_log;
pub mod heartbeats;
pub mod inbound;
pub mod links;
pub mod memory;
pub mod messages;
pub mod metrics;
mod node_index;
pub mod node_record;
pub mod outcomes;
pub mod pacing;
pub mod planning;
pub mod ports;
pub mod proxy;
pub mod quarantine;
pub mod record;
mod record_restore;
pub mod relay;
pub mod run;
pub mod settings;
pub mod tables;
pub mod versioned_table;
pub mod view;
pub mod watching;
