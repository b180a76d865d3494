//! Request identifiers and the time of issue that they carry.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use uuid::Uuid;
use wagtail_admit::memory::issued_unix_ms;
use wagtail_core::{ids::RequestId, units::LocalMoment};

/// Returns a new text for an identifier: a UUID version 7, which carries its time of issue.
pub fn unique_text() -> String {
    Uuid::now_v7().to_string()
}

/// Returns the moment at which an identifier was issued, on this node's clock, or `None` when the
/// identifier carries no time.
pub fn issued_moment(now: LocalMoment, id: &RequestId) -> Option<LocalMoment> {
    let issued = issued_unix_ms(id)?;

    let unix_now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();

    Some(now - unix_now.saturating_sub(Duration::from_millis(issued)))
}
