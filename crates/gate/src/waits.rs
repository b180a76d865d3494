//! How long callers have waited before they came back.
//!
//! A caller tells how much longer it will wait. One that comes back after a refusal tells less than
//! one that comes for the first time. Only as many callers can have come back as were refused.

use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The part of the longest wait by which the patience of callers that come for the first time
/// differs, as a divisor.
const PATIENCE_SPREAD: u32 = 6;

/// The time after which a refused caller is not expected to come back any more.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// The time after which the longest wait of a route is learned anew.
const LEARN_TIME: Duration = Duration::from_secs(30);

/// The routes that are told apart.
const MAX_ROUTES: usize = 512;

/// `CallerWaits` tells how long callers have waited on earlier attempts.
#[derive(Debug, Default)]
pub struct CallerWaits {
    routes: HashMap<Arc<str>, RouteWaits>,
}

/// `RouteWaits` is what is known of the callers of one route.
#[derive(Debug, Default)]
struct RouteWaits {
    /// The longest wait in the present span of [`LEARN_TIME`], and in the one before.
    longest: [Duration; 2],
    span_began: LocalMoment,
    /// The refused callers that have not come back.
    away: u32,
    refused_at: LocalMoment,
}

impl CallerWaits {
    /// Takes note of a caller that got no answer of a target and may come back.
    pub fn refused(&mut self, route: &Arc<str>, now: LocalMoment) {
        if let Some(waits) = self.routes.get_mut(route) {
            waits.forget_gone(now);
            waits.away += 1;
            waits.refused_at = now;
        }
    }

    /// Takes note of the time that a caller is still going to wait. Returns the time that it has
    /// waited on earlier attempts, or zero when it comes for the first time.
    pub fn observe(&mut self, route: &Arc<str>, wait: Duration, now: LocalMoment) -> Duration {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return Duration::ZERO;
        }

        let waits = self.routes.entry(Arc::clone(route)).or_default();
        let longest = waits.learn(wait, now);
        waits.forget_gone(now);
        if waits.away == 0 || wait >= longest.saturating_sub(longest / PATIENCE_SPREAD) {
            return Duration::ZERO;
        }
        waits.away -= 1;

        longest
            .saturating_sub(longest / (PATIENCE_SPREAD * 2))
            .saturating_sub(wait)
    }
}

impl RouteWaits {
    /// Takes a wait into account and returns the longest one known.
    fn learn(&mut self, wait: Duration, now: LocalMoment) -> Duration {
        if now.since(self.span_began) > LEARN_TIME {
            self.longest = [Duration::ZERO, self.longest[0]];
            self.span_began = now;
        }
        self.longest[0] = self.longest[0].max(wait);

        self.longest[0].max(self.longest[1])
    }

    /// Forgets refused callers that did not come back in time.
    fn forget_gone(&mut self, now: LocalMoment) {
        if now.since(self.refused_at) > RETURN_TIME {
            self.away = 0;
        }
    }
}
