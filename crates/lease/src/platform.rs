//! Rate limit, concurrency limit and back-off of the calls to the platform.

use crate::options::LeaseOptions;
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{lease::LeaseRecord, slice::SliceId, units::LocalMoment};

/// The time before the second attempt at a failing platform.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// The largest number of doublings of the time between two attempts.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The number of failed calls in a row after which the failure is reported to the operator.
pub(crate) const REPORTED_FAILURES: u32 = 5;

/// The number of reads that load the platform as much as one write.
const READS_PER_WRITE: u32 = 4;

/// `RecordCall` is a call to the platform that is in flight.
#[derive(Debug, Clone)]
pub(crate) struct RecordCall {
    /// The slice whose record is read or written.
    pub(crate) slice: SliceId,
    /// When the call started.
    pub(crate) started: LocalMoment,
    /// The record to write; absent for a read.
    pub(crate) record: Option<LeaseRecord>,
}

/// `PlatformThrottle` limits the calls of one node to the platform.
#[derive(Debug, Default)]
pub(crate) struct PlatformThrottle {
    /// The calls in flight, by call identifier.
    pub(crate) calls: BTreeMap<u64, RecordCall>,
    /// When the next call may start.
    pub(crate) next_at: LocalMoment,
    /// The number of failed calls since the last success.
    pub(crate) failures: u32,
}

impl PlatformThrottle {
    /// Returns whether a call may start now.
    pub(crate) fn is_open(&self, now: LocalMoment, options: &LeaseOptions) -> bool {
        self.has_capacity(options) && self.next_at <= now
    }

    /// Returns whether fewer calls are in flight than the limit allows.
    pub(crate) fn has_capacity(&self, options: &LeaseOptions) -> bool {
        // While the platform fails, it is probed with one call at a time.
        let limit = if self.failures > 0 {
            1
        } else {
            options.platform_in_flight
        };

        self.calls.len() < limit
    }

    /// Records the start of a call. `spacing` is the mean time between two writes.
    pub(crate) fn start(&mut self, id: u64, call: RecordCall, spacing: Duration) {
        let weight = if call.record.is_some() {
            1
        } else {
            READS_PER_WRITE
        };

        self.next_at = self.next_at.max(call.started + spacing / weight);
        self.calls.insert(id, call);
    }

    /// Records a successful call, which resets the back-off.
    pub(crate) fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call, after which the next one waits for the back-off times `jitter`.
    pub(crate) fn fail(&mut self, now: LocalMoment, jitter: f64, options: &LeaseOptions) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF * (1 << doublings)).min(options.longest_backoff);

        self.failures = self.failures.saturating_add(1);
        self.next_at = self.next_at.max(now + backoff.mul_f64(jitter));
    }

    /// Removes and returns the calls that have had no response within the platform timeout.
    pub(crate) fn take_expired(
        &mut self,
        now: LocalMoment,
        options: &LeaseOptions,
    ) -> Vec<RecordCall> {
        let timeout = options.platform_timeout;
        let expired: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| now.since(call.started) >= timeout)
            .map(|(id, _)| *id)
            .collect();

        expired
            .into_iter()
            .filter_map(|id| self.calls.remove(&id))
            .collect()
    }
}

/// Returns the mean time between two writes of one node, when `nodes` nodes share the platform's
/// rate.
pub(crate) fn write_spacing(nodes: usize, options: &LeaseOptions) -> Duration {
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);

    Duration::from_secs(1) * nodes / options.platform_calls_per_second.max(1)
}
