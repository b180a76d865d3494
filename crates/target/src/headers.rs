//! The header fields between the daemon and the target.

/// The identifier of the request.
pub const REQUEST_ID: &str = "wagtail-request-id";

/// The tenant of the caller.
pub const TENANT: &str = "wagtail-tenant";

/// The declared operation.
pub const OPERATION: &str = "wagtail-operation";

/// The key.
pub const KEY: &str = "wagtail-key";

/// The index of the key's slice.
pub const SLICE: &str = "wagtail-slice";

/// The fencing token.
pub const EPOCH: &str = "wagtail-epoch";

/// The time in milliseconds until the deadline or the end of the lease.
pub const TIME_LEFT: &str = "wagtail-time-left-ms";

/// The moment of sending on the clock that the daemon and the target share, in microseconds.
pub const SENT: &str = "wagtail-sent-us";

/// The reason of a refusal before the start of an order.
pub const REFUSED: &str = "wagtail-refused";

/// Whether the request may have run, in an answer to a caller.
pub const VERDICT: &str = "wagtail-verdict";

/// The daemon that gave an answer to a caller.
pub const NODE: &str = "wagtail-node";

/// The stable code of a refusal, in an answer to a caller.
pub const REFUSAL: &str = "wagtail-refusal";

/// The time in milliseconds after which a repeat is expected to succeed.
pub const RETRY_AFTER_MS: &str = "wagtail-retry-after-ms";

/// The header fields that concern one connection only, or that the system sets itself.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header field travels from end to end.
///
/// Fields that start with `wagtail-` belong to the system, so neither callers nor targets can
/// forge them.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name) && !name.starts_with("wagtail-")
}
