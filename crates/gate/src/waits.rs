//! Estimates of how long callers have waited on earlier, refused attempts.
//!
//! Each request states how much longer its caller will wait. A caller that retries after a refusal
//! states less than one on its first attempt, so a short remaining wait indicates a retry. The
//! number of requests counted as retries never exceeds the number of refusals.

use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The spread of the waits that callers state on their first attempt: the longest wait divided by
/// this number. Requests within it of the longest wait count as first attempts.
const FIRST_WAIT_SPREAD_DIVISOR: u32 = 6;

/// How long after the latest refusal on a route its refused callers are expected to retry.
const RETRY_WINDOW: Duration = Duration::from_secs(2);

/// The length of a window in which the longest wait of a route is measured.
const MEASURING_WINDOW: Duration = Duration::from_secs(30);

/// The maximum number of tracked routes; requests of further routes count as first attempts.
const MAX_ROUTES: usize = 512;

/// `CallerWaits` estimates, for each route, how long callers have waited on earlier attempts.
#[derive(Debug, Default)]
pub struct CallerWaits {
    routes: HashMap<Arc<str>, RouteWaits>,
}

/// `RouteWaits` holds the stated waits and the outstanding retries of one route.
#[derive(Debug, Default)]
struct RouteWaits {
    /// The longest wait in the current window of [`MEASURING_WINDOW`] and in the previous one.
    longest: [Duration; 2],
    window_start: LocalMoment,
    /// The number of refused callers that have not retried yet.
    pending_retries: u32,
    refused_at: LocalMoment,
}

impl CallerWaits {
    /// Records that a caller got no response from a target and may retry.
    pub fn refused(&mut self, route: &Arc<str>, now: LocalMoment) {
        if let Some(waits) = self.routes.get_mut(route) {
            waits.expire_retries(now);
            waits.pending_retries += 1;
            waits.refused_at = now;
        }
    }

    /// Records how much longer a caller will wait. Returns the estimated time that it has waited on
    /// earlier attempts, or zero if this counts as its first attempt.
    pub fn observe(&mut self, route: &Arc<str>, wait: Duration, now: LocalMoment) -> Duration {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return Duration::ZERO;
        }

        let waits = self.routes.entry(Arc::clone(route)).or_default();
        let longest = waits.record_wait(wait, now);
        waits.expire_retries(now);
        if waits.pending_retries == 0
            || wait >= longest.saturating_sub(longest / FIRST_WAIT_SPREAD_DIVISOR)
        {
            return Duration::ZERO;
        }
        waits.pending_retries -= 1;

        longest
            .saturating_sub(longest / (FIRST_WAIT_SPREAD_DIVISOR * 2))
            .saturating_sub(wait)
    }
}

impl RouteWaits {
    /// Records a stated wait and returns the longest one of the current and the previous window.
    fn record_wait(&mut self, wait: Duration, now: LocalMoment) -> Duration {
        if now.since(self.window_start) > MEASURING_WINDOW {
            self.longest = [Duration::ZERO, self.longest[0]];
            self.window_start = now;
        }
        self.longest[0] = self.longest[0].max(wait);

        self.longest[0].max(self.longest[1])
    }

    /// Drops the outstanding retries if the latest refusal is older than [`RETRY_WINDOW`].
    fn expire_retries(&mut self, now: LocalMoment) {
        if now.since(self.refused_at) > RETRY_WINDOW {
            self.pending_retries = 0;
        }
    }
}
