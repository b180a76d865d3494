//! The log of what a target is granted.

use tracing::info;
use wagtail_core::{
    heartbeat::{GrantedRange, TargetIncarnation},
    units::LocalMoment,
};
use wagtail_shard::keeper::GrantKeeper;

/// The number of ranges that one line lists for each direction; further ones are only counted.
const MAX_LISTED_RANGES: usize = 12;

/// Logs which ranges the last reply began to grant to a target and which it left out, with the table
/// that it followed. Renewals are not logged.
pub fn log_grant_changes(
    life: &TargetIncarnation,
    before: &[GrantedRange],
    keeper: &GrantKeeper,
    now: LocalMoment,
) {
    let begun = missing_from(keeper.granted(), before);
    let ended = missing_from(before, keeper.granted());
    if begun.is_empty() && ended.is_empty() {
        return;
    }
    let Some((revision, read_sent_at)) = keeper.confirmed_read() else {
        return;
    };

    info!(
        event = "grants-changed",
        life = %life,
        %revision,
        table_age_ms = now.since(read_sent_at).as_millis(),
        begun = %describe(&begun),
        ended = %describe(&ended)
    );
}

/// Returns the ranges that no range of `others` equals in keys and token.
fn missing_from<'a>(ranges: &'a [GrantedRange], others: &[GrantedRange]) -> Vec<&'a GrantedRange> {
    let is_same =
        |a: &GrantedRange, b: &GrantedRange| (a.from, a.to, a.token) == (b.from, b.to, b.token);

    ranges
        .iter()
        .filter(|range| !others.iter().any(|other| is_same(range, other)))
        .collect()
}

/// Returns ranges as `FROM-TO@TOKEN`, separated by commas.
fn describe(ranges: &[&GrantedRange]) -> String {
    let mut parts: Vec<String> = ranges
        .iter()
        .take(MAX_LISTED_RANGES)
        .map(|range| format!("{}-{}@{}", range.from, range.to, range.token))
        .collect();
    if ranges.len() > MAX_LISTED_RANGES {
        parts.push(format!("+{}", ranges.len() - MAX_LISTED_RANGES));
    }

    parts.join(",")
}
