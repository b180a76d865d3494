//! The names of the header fields that the daemon exchanges with targets and callers.

/// The identifier of the request, the same in the request and its response.
pub const REQUEST_ID: &str = "wagtail-request-id";

/// The tenant that the request belongs to.
pub const TENANT: &str = "wagtail-tenant";

/// The declared operation that the request matched.
pub const OPERATION: &str = "wagtail-operation";

/// The key of a request for a keyed service.
pub const KEY: &str = "wagtail-key";

/// The index of the slice that the key belongs to.
pub const SLICE: &str = "wagtail-slice";

/// The fencing token: the epoch of the lease under which the request is dispatched.
pub const EPOCH: &str = "wagtail-epoch";

/// The time in milliseconds until the deadline or the end of the lease.
pub const TIME_LEFT: &str = "wagtail-time-left-ms";

/// The time of sending in microseconds, on the clock that the daemon and the target share.
pub const SENT: &str = "wagtail-sent-us";

/// The reason for which a target refused a request before it started.
pub const REFUSED: &str = "wagtail-refused";

/// Whether the request may have run, in a response to a caller.
pub const VERDICT: &str = "wagtail-verdict";

/// The node of the daemon that a response to a caller comes from.
pub const NODE: &str = "wagtail-node";

/// The stable code of a refusal, in a response to a caller.
pub const REFUSAL: &str = "wagtail-refusal";

/// The time in milliseconds after which a retry is expected to succeed, in a response to a caller.
pub const RETRY_AFTER_MS: &str = "wagtail-retry-after-ms";

/// The header fields that apply to a single connection, or that the system sets itself.
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

/// Returns whether a header field is forwarded end to end, given its name in lower case.
///
/// Fields that start with `wagtail-` belong to the system and are never forwarded, so neither
/// callers nor targets can forge them.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name) && !name.starts_with("wagtail-")
}
