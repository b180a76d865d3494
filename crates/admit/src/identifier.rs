//! What an identifier tells of its age.

use wagtail_core::ids::RequestId;

/// Returns the time of issue in milliseconds of the Unix epoch that an identifier carries: one
/// that is, or ends after a `~` with, a UUID of version 7.
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
