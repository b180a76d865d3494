//! The longest time that a slice was not served.

use crate::record::{AttemptOutcome, RequestRecord};
use std::collections::BTreeMap;
use wagtail_core::slice::SliceId;

/// `UnservedSpan` is a time in which a slice that was asked for was not served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnservedSpan {
    /// The slice.
    pub slice: SliceId,
    /// The sending of the first attempt that failed, in microseconds of `CLOCK_MONOTONIC`.
    pub from_us: u64,
    /// The next whole answer, or the end of the run.
    pub until_us: u64,
}

impl UnservedSpan {
    /// Returns the length in microseconds.
    pub const fn length_us(&self) -> u64 {
        self.until_us.saturating_sub(self.from_us)
    }
}

/// `SliceTimes` is the attempts on one slice.
#[derive(Debug, Default)]
struct SliceTimes {
    /// The moments at which attempts that failed were sent.
    failed_us: Vec<u64>,
    /// The moments at which whole answers arrived.
    served_us: Vec<u64>,
}

/// Returns the longest time from the sending of a failed attempt on a slice to the next whole
/// answer on the same slice, or nothing when no attempt failed.
pub fn longest_unserved<'a>(
    records: impl IntoIterator<Item = &'a RequestRecord>,
) -> Option<UnservedSpan> {
    let mut by_slice: BTreeMap<SliceId, SliceTimes> = BTreeMap::new();
    let mut end_us = 0;

    for record in records {
        let Some(slice) = record.slice() else {
            continue;
        };
        let times = by_slice.entry(slice).or_default();
        for attempt in &record.attempts {
            end_us = end_us.max(attempt.ended_us);
            match attempt.outcome {
                AttemptOutcome::Answered { .. } => times.served_us.push(attempt.ended_us),
                AttemptOutcome::NotRun { .. }
                | AttemptOutcome::Unknown
                | AttemptOutcome::Wrong { .. } => times.failed_us.push(attempt.sent_us),
            }
        }
    }

    by_slice
        .into_iter()
        .filter_map(|(slice, times)| longest_of_slice(&slice, times, end_us))
        .max_by_key(UnservedSpan::length_us)
}

/// Returns the longest span of one slice.
fn longest_of_slice(slice: &SliceId, mut times: SliceTimes, end_us: u64) -> Option<UnservedSpan> {
    times.served_us.sort_unstable();

    times
        .failed_us
        .iter()
        .map(|&from_us| {
            let next = times.served_us.partition_point(|&served| served < from_us);
            let until_us = times.served_us.get(next).copied().unwrap_or(end_us);
            UnservedSpan {
                slice: slice.clone(),
                from_us,
                until_us,
            }
        })
        .max_by_key(UnservedSpan::length_us)
}
