//! Tests of the assignment of key ranges.

mod decisions;
mod departures;
mod evacuations;
mod facts;
mod fleet_reads;
mod incarnations;
mod node_calls;
mod random_faults;
mod recovery;
mod senders;
mod simulation;
mod store_returns;
mod storm;
mod support;
