//! The choice of the requests that are logged.

use std::time::Duration;
use wagtail_core::{slice::KeyHash, units::LocalMoment};

/// `SamplingOptions` limits the request lines in the log of one process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SamplingOptions {
    /// One in this many successful requests is logged, and the same ones on every node.
    pub success_one_in: u64,
    /// The sustained rate of failure lines, in lines per second.
    pub failures_per_second: f32,
    /// The number of failure lines that may be written in one burst.
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

/// `LineSampler` chooses the requests that are logged: successes by a hash of the request
/// identifier, failures by a token bucket.
#[derive(Debug)]
pub struct LineSampler {
    options: SamplingOptions,
    /// The tokens left in the bucket; each failure line takes one.
    tokens: f32,
    /// The moment of the last refill.
    refilled_at: LocalMoment,
    /// The failure lines skipped since the last one that was written.
    skipped: u64,
    /// The failure lines skipped since the sampler was created.
    skipped_total: u64,
}

impl LineSampler {
    /// Creates a sampler with a full token bucket.
    pub fn new(options: SamplingOptions, now: LocalMoment) -> Self {
        Self {
            options,
            tokens: options.failure_burst,
            refilled_at: now,
            skipped: 0,
            skipped_total: 0,
        }
    }

    /// Returns whether a successful request is logged. The choice depends only on a hash of its
    /// identifier, so that every node chooses the same requests.
    pub fn keeps_success(&self, request_id: &str) -> bool {
        KeyHash::new(request_id.as_bytes())
            .0
            .is_multiple_of(self.options.success_one_in)
    }

    /// Takes a token for the line of a failed request. Returns the number of failure lines skipped
    /// since the last one written, or `None` if this line must be skipped as well.
    pub fn take_failure(&mut self, now: LocalMoment) -> Option<u64> {
        self.refill(now.since(self.refilled_at));
        self.refilled_at = now;

        if self.tokens < 1.0 {
            self.skipped += 1;
            self.skipped_total += 1;
            return None;
        }
        self.tokens -= 1.0;

        Some(std::mem::take(&mut self.skipped))
    }

    /// Returns the number of failure lines skipped since the sampler was created.
    pub fn skipped_total(&self) -> u64 {
        self.skipped_total
    }

    /// Adds the tokens for the elapsed time, up to the burst size.
    fn refill(&mut self, elapsed: Duration) {
        let earned = elapsed.as_secs_f32() * self.options.failures_per_second;

        self.tokens = (self.tokens + earned).min(self.options.failure_burst);
    }
}
