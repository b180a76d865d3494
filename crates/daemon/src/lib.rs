//! The daemon of wagtailpulley.
//!
//! The decisions are made by state machines without I/O in `wagtail-lease`, `wagtail-admit`,
//! `wagtail-route` and `wagtail-assign`. The tasks of this crate do the I/O, own the timers and
//! communicate by messages.
//!
//! - [`run`]: startup and shutdown.
//! - [`fleet`] and [`directory`]: the configuration and the nodes, kept in sync with the platform.
//! - [`ownership`]: the leases and the assignment of slices.
//! - [`agent`]: the queue and the dispatch to the daemon's target.
//! - [`ingress`], [`parse`] and [`forward`]: accepting, parsing and forwarding callers' requests.
//! - [`homes`] and [`identifier`]: where a non-idempotent request may run, and how old it is.
//! - [`inbound`] and [`control`]: the messages from and to the other daemons.
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
