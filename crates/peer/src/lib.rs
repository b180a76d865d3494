//! The protocol between the daemons: h2 streams with bincode.
//!
//! A request is one stream: a framed [`RequestHead`](wagtail_core::request::RequestHead), the
//! body, and back a framed [`ResponseHead`](wagtail_core::request::ResponseHead) and the streamed
//! body. Control messages travel as frames on one long-lived stream of their own connection, so
//! that no answer delays them.
//!
//! - [`answer`]: an answer on its way.
//! - [`frame`]: the length-prefixed bincode frames.
//! - [`stream`]: reading frames and bodies from an h2 stream.
//! - [`link`]: the client side of one peer.
//! - [`control`]: the task that sends control messages to one peer.
//! - [`silence`]: finding connections that have gone silent.
//! - [`server`]: the server side.

pub mod answer;
pub mod control;
pub mod frame;
pub mod link;
pub mod server;
pub mod silence;
pub mod stream;

/// The version of the protocol; a peer of another version is refused.
pub const PROTOCOL_VERSION: &str = "1";

/// The header field that carries the version of the protocol.
pub const VERSION_HEADER: &str = "wagtail-protocol";

/// The path of a request stream.
pub const REQUEST_PATH: &str = "/v1/request";

/// The path of a control stream.
pub const CONTROL_PATH: &str = "/v1/control";
