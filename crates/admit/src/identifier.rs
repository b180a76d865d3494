//! The time of issue that a request identifier may carry.

use wagtail_core::ids::RequestId;

/// Returns the time of issue of an identifier in milliseconds since the Unix epoch.
///
/// Only a version 7 UUID carries one: either the complete identifier, or the part after its last
/// `~`.
pub fn issued_unix_ms(id: &RequestId) -> Option<u64> {
    let text = id.as_str().rsplit('~').next()?;
    let hyphens = [8, 13, 18, 23];
    let shaped = text.len() == 36
        && text.bytes().enumerate().all(|(index, byte)| {
            if hyphens.contains(&index) {
                byte == b'-'
            } else {
                byte.is_ascii_hexdigit()
            }
        });

    if !shaped || text.as_bytes()[14] != b'7' {
        return None;
    }

    let high = u64::from_str_radix(&text[..8], 16).ok()?;
    let low = u64::from_str_radix(&text[9..13], 16).ok()?;

    Some((high << 16) | low)
}
