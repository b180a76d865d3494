//! The longest time that a slice was not served.

use crate::record::{AttemptOutcome, RequestRecord};
use std::collections::BTreeMap;
use wagtail_core::slice::SliceId;

/// `UnservedSpan` is a period in which a slice got requests and was not served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnservedSpan {
    /// The slice to which the failed attempt was sent.
    pub slice: SliceId,
    /// The send time of the first failed attempt in microseconds of `CLOCK_MONOTONIC`.
    pub from_us: u64,
    /// The time of the next complete response, or of the end of the run, in microseconds.
    pub until_us: u64,
}

impl UnservedSpan {
    /// Returns the length of the period in microseconds.
    pub const fn length_us(&self) -> u64 {
        self.until_us.saturating_sub(self.from_us)
    }
}

/// `SliceTimes` holds the times of the attempts on one slice.
#[derive(Debug, Default)]
struct SliceTimes {
    /// The send times of failed attempts in microseconds.
    failed_us: Vec<u64>,
    /// The arrival times of complete responses in microseconds.
    served_us: Vec<u64>,
}

/// Returns the longest period from the sending of a failed attempt on a slice to the next complete
/// response on the same slice, or `None` when no attempt failed.
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

/// Returns the longest unserved period of one slice.
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
