//! The protocol between the daemons: HTTP/2 streams with bincode messages.
//!
//! Each request uses one stream. The client sends a framed
//! [`RequestHead`](wagtail_core::request::RequestHead) and the body; the server replies with a
//! framed [`ResponseHead`](wagtail_core::request::ResponseHead) and streams the body. Control
//! messages are frames on one long-lived stream of a separate connection, so that responses do not
//! delay them.
//!
//! - [`answer`]: a response whose body is still streaming.
//! - [`body`]: the bodies of requests, as they are sent and collected.
//! - [`frame`]: encoding and decoding of length-prefixed bincode frames.
//! - [`packed`]: values that are sent compressed.
//! - [`stream`]: reading frames and bodies from an HTTP/2 stream.
//! - `collect`: collecting the bodies of requests.
//! - [`turns`]: turns in which the bodies of requests are received.
//! - [`link`]: the client side: requests to one peer.
//! - [`control`]: the task that sends control messages to one peer.
//! - [`silence`]: detection of connections that stopped responding.
//! - `sending`: sends bodies as the flow control of HTTP/2 allows.
//! - [`server`]: the server side: accepts peers and dispatches their streams.

pub mod answer;
pub mod body;
mod collect;
pub mod control;
pub mod frame;
pub mod link;
pub mod packed;
mod sending;
pub mod server;
pub mod silence;
pub mod stream;
pub mod turns;

/// The protocol version; streams of any other version are refused.
pub const PROTOCOL_VERSION: &str = "5";

/// The header field that carries [`PROTOCOL_VERSION`].
pub const VERSION_HEADER: &str = "wagtail-protocol";

/// The header field that states the length of a request's body in bytes, so that the peer knows it before it
/// reads the body.
pub const BODY_LENGTH_HEADER: &str = "wagtail-body-length";

/// The path that opens a request stream.
pub const REQUEST_PATH: &str = "/v1/request";

/// The path that opens a control stream.
pub const CONTROL_PATH: &str = "/v1/control";
