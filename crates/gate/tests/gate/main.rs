//! Tests of admission control and of backpressure between services.

mod call_profiles;
mod call_tree;
mod call_tree_model;
mod call_tree_rules;
mod calls;
mod cold;
mod limits;
mod link;
mod memory;
mod quarantine;
mod quarantine_storm;
mod returns;
mod runs;
mod slots;
