//! Which requests get a line in the logs.

use std::time::Duration;
use wagtail_core::{slice::KeyHash, units::LocalMoment};

/// `SamplingOptions` bound the lines of one process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SamplingOptions {
    /// One in so many requests that end well has its lines, on every node.
    pub success_one_in: u64,
    /// The lines of failures a second.
    pub failures_per_second: f32,
    /// The lines of failures that may come at once.
    pub failure_burst: f32,
}

impl Default for SamplingOptions {
    fn default() -> Self {
        Self {
            success_one_in: 64,
            failures_per_second: 50.0,
            failure_burst: 200.0,
        }
    }
}

/// `LineSampler` chooses the requests that get a line.
#[derive(Debug)]
pub struct LineSampler {
    options: SamplingOptions,
    /// The lines of failures that may be written now.
    allowance: f32,
    refilled: LocalMoment,
    skipped: u64,
    skipped_total: u64,
}

impl LineSampler {
    /// Makes a sampler with its whole burst.
    pub fn new(options: SamplingOptions, now: LocalMoment) -> Self {
        Self {
            options,
            allowance: options.failure_burst,
            refilled: now,
            skipped: 0,
            skipped_total: 0,
        }
    }

    /// Returns whether a request that ended well gets its lines: by a hash of its identifier, so
    /// that every node chooses the same requests.
    pub fn keeps_success(&self, request_id: &str) -> bool {
        KeyHash::new(request_id.as_bytes())
            .0
            .is_multiple_of(self.options.success_one_in)
    }

    /// Takes the line of a failure. Returns how many were skipped since the last one that was
    /// kept, or nothing when this one is to be skipped too.
    pub fn take_failure(&mut self, now: LocalMoment) -> Option<u64> {
        self.refill(now.since(self.refilled));
        self.refilled = now;

        if self.allowance < 1.0 {
            self.skipped += 1;
            self.skipped_total += 1;
            return None;
        }
        self.allowance -= 1.0;

        Some(std::mem::take(&mut self.skipped))
    }

    /// Returns how many lines of failures were skipped since the start.
    pub fn skipped_total(&self) -> u64 {
        self.skipped_total
    }

    /// Allows the lines of the time that has gone by.
    fn refill(&mut self, time: Duration) {
        let more = time.as_secs_f32() * self.options.failures_per_second;

        self.allowance = (self.allowance + more).min(self.options.failure_burst);
    }
}
