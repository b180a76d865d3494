//! The daemon of wagtailpulley.
//!
//! The decisions are made by the state machines of `wagtail-lease`, `wagtail-admit`,
//! `wagtail-route` and `wagtail-assign`. The tasks here own the sockets and timers round them and
//! talk by messages.
//!
//! - [`run`]: starting, stopping and the order of both.
//! - [`fleet`] and [`directory`]: the configuration and the nodes, followed in the platform.
//! - [`ownership`]: the leases and the assignment of slices.
//! - [`agent`]: the queue and the dispatch to the target beside the daemon.
//! - [`ingress`], [`parse`] and [`forward`]: the way of a caller's request.
//! - [`homes`] and [`identifier`]: where a non-idempotent request may run, and its age.
//! - [`inbound`] and [`control`]: what the other daemons send, and what is sent to them.
//! - [`admin`]: the administration API.
//! - [`local`]: the announcements of the target.
//! - [`latency`]: the latencies for each tenant and class.
//! - [`timer`]: waiting for a message or a due time.

pub mod admin;
pub mod agent;
pub mod control;
pub mod directory;
pub mod fleet;
pub mod forward;
pub mod homes;
pub mod identifier;
pub mod inbound;
pub mod ingress;
pub mod latency;
pub mod local;
pub mod ownership;
pub mod parse;
pub mod run;
pub mod timer;
