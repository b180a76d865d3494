//! The network layer that the daemons share: an HTTP/1.1 client pool, an HTTP/1.1 server loop, the
//! lease clock and the stop signal.
//!
//! - [`clock`]: a monotonic clock that also runs while the machine is suspended.
//! - [`client`]: an HTTP/1.1 client with a connection pool.
//! - [`deadline`]: breaks off bodies that have not ended in time.
//! - [`guarded`]: a body that keeps something alive while it is read.
//! - [`headers`]: selects the header fields that are passed on.
//! - [`pipeline`]: an HTTP/1.1 server that reads further requests before it responds.
//! - [`request_body`]: the body of a request that a handler reads.
//! - [`server`]: the accept loop of an HTTP/1.1 server.
//! - [`stall`]: closes the connections of clients that do not read their responses.
//! - [`stop`]: the one-shot signal that tells tasks to shut down.
//! - [`stop_request`]: the signal that asks the process to shut down.
//! - [`traffic`]: counts the bytes that are sent.

pub mod client;
pub mod clock;
pub mod deadline;
mod ending;
pub mod guarded;
mod head_lines;
pub mod headers;
pub mod pipeline;
pub mod request_body;
mod reset;
mod response_head;
pub mod server;
pub mod signals;
pub mod stall;
pub mod stop;
pub mod stop_request;
pub mod traffic;
mod write_progress;
