//! The time that a request identifier carries.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use uuid::Uuid;
use wagtail_admit::memory::issued_unix_ms;
use wagtail_core::{ids::RequestId, units::LocalMoment};

/// The character between a node's name and the rest of an identifier made at an ingress.
const NODE_SEPARATOR: char = '~';

/// Returns a new text for an identifier, which carries its time of issue.
pub fn unique_text() -> String {
    Uuid::now_v7().to_string()
}

/// Returns the moment at which an identifier was issued, on this node's clock, or nothing when
/// the identifier tells no time.
pub fn issued_moment(now: LocalMoment, id: &RequestId) -> Option<LocalMoment> {
    let text = id.as_str();
    let unique = text
        .rsplit_once(NODE_SEPARATOR)
        .map_or(text, |(_, unique)| unique);
    let issued = issued_unix_ms(&RequestId::new(unique).ok()?)?;

    let unix_now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();

    Some(now - unix_now.saturating_sub(Duration::from_millis(issued)))
}
