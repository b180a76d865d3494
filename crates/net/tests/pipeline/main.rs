//! Tests of the pipelined server on the wire, over loopback.

mod bodies;
mod compare;
mod ends;
mod harness;
mod order;
