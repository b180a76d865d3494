//! The pace of the calls of the platform.

use crate::options::LeaseOptions;
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{lease::LeaseRecord, slice::SliceId, units::LocalMoment};

/// The first time between two attempts at a failing platform.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// The most doublings of the time between two attempts.
const BACKOFF_DOUBLINGS: u32 = 6;

/// The failed calls after which the operator is told.
pub(crate) const REPORTED_FAILURES: u32 = 5;

/// The reads that cost the platform as much as one write.
const READS_PER_WRITE: u32 = 4;

/// `RecordCall` is a call of the platform in flight.
#[derive(Debug, Clone)]
pub(crate) struct RecordCall {
    /// The slice.
    pub(crate) slice: SliceId,
    /// When it started.
    pub(crate) started: LocalMoment,
    /// The record that it writes; absent for a read.
    pub(crate) record: Option<LeaseRecord>,
}

/// `PlatformThrottle` bounds the calls of one node to the platform.
#[derive(Debug, Default)]
pub(crate) struct PlatformThrottle {
    /// The calls in flight, by identifier.
    pub(crate) calls: BTreeMap<u64, RecordCall>,
    /// When the next call may start.
    pub(crate) next_at: LocalMoment,
    /// The failed calls since the last success.
    pub(crate) failures: u32,
}

impl PlatformThrottle {
    /// Returns whether a call may start now.
    pub(crate) fn is_open(&self, now: LocalMoment, options: &LeaseOptions) -> bool {
        self.has_capacity(options) && self.next_at <= now
    }

    /// Returns whether fewer calls than allowed are in flight.
    pub(crate) fn has_capacity(&self, options: &LeaseOptions) -> bool {
        // A failing platform is tried with one call at a time.
        let limit = if self.failures > 0 {
            1
        } else {
            options.platform_in_flight
        };

        self.calls.len() < limit
    }

    /// Takes note of a call that starts.
    pub(crate) fn start(&mut self, id: u64, call: RecordCall, spacing: Duration) {
        let weight = if call.record.is_some() {
            1
        } else {
            READS_PER_WRITE
        };

        self.next_at = self.next_at.max(call.started + spacing / weight);
        self.calls.insert(id, call);
    }

    /// Takes note of an answered call.
    pub(crate) fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Takes note of a failed call, after which the next waits longer.
    pub(crate) fn fail(&mut self, now: LocalMoment, jitter: f64, options: &LeaseOptions) {
        let doublings = self.failures.min(BACKOFF_DOUBLINGS);
        let backoff = (FIRST_BACKOFF * (1 << doublings)).min(options.longest_backoff);

        self.failures = self.failures.saturating_add(1);
        self.next_at = self.next_at.max(now + backoff.mul_f64(jitter));
    }

    /// Removes and returns the calls without an answer.
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

/// Returns the mean time between two writes of one node, when `nodes` share the platform.
pub(crate) fn write_spacing(nodes: usize, options: &LeaseOptions) -> Duration {
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);

    Duration::from_secs(1) * nodes / options.platform_calls_per_second.max(1)
}
