//! Which requests still end before a process that is shutting down.
//!
//! Pattern: a process that is told to stop while its callers go on for some seconds. Most requests that come then end
//! long before the process, whatever their deadlines are; the others would be cut off while their targets work.

use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The maximum number of routes whose durations are known. Requests of further ones count by their deadlines.
const MAX_ROUTES: usize = 256;

/// `ShutdownOptions` are the times of a [`ShutdownPlan`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShutdownOptions {
    /// The time for which new requests are taken, until callers use other nodes. It is at most half of the shutdown.
    pub intake_time: Duration,
    /// The time that the shutdown leaves unused before the forced end.
    pub exit_margin: Duration,
    /// How long before the end requests that are still in flight are answered. With more, a target that is about to
    /// respond is cut off on a busy VM.
    pub answer_time: Duration,
    /// How many times as long as the longest recent one a request may take.
    pub headroom: f32,
}

impl Default for ShutdownOptions {
    fn default() -> Self {
        Self {
            intake_time: Duration::from_millis(2_400),
            exit_margin: Duration::from_millis(500),
            answer_time: Duration::from_millis(150),
            headroom: 1.1,
        }
    }
}

/// `ShutdownPlan` holds the moments of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShutdownPlan {
    options: ShutdownOptions,
    started_at: LocalMoment,
    /// The time from the start to the end.
    length: Duration,
}

impl ShutdownPlan {
    /// Creates the plan of a shutdown whose process is ended by force after `grace`.
    pub fn new(options: ShutdownOptions, started_at: LocalMoment, grace: Duration) -> Self {
        Self {
            options,
            started_at,
            length: grace.saturating_sub(options.exit_margin),
        }
    }

    /// Returns the time from the start for which new requests are taken.
    pub fn intake_time(&self) -> Duration {
        self.options.intake_time.min(self.length / 2)
    }

    /// Returns the time from the start after which requests that are still in flight are answered.
    pub fn expiry_time(&self) -> Duration {
        self.length.saturating_sub(self.options.answer_time)
    }

    /// Returns the time for which the process goes on after that, so that the answers leave it.
    pub fn answer_time(&self) -> Duration {
        self.options.answer_time
    }

    /// Returns the moment at which requests that are still in flight are answered.
    pub fn expires_at(&self) -> LocalMoment {
        self.started_at + self.expiry_time()
    }

    /// Returns whether a request that begins now ends in time. It does if its deadline passes before the expiry, or
    /// if it takes no longer than `longest`, the longest recent request of its route.
    pub fn admits(
        &self,
        deadline: LocalMoment,
        longest: Option<Duration>,
        now: LocalMoment,
    ) -> bool {
        let expiry = self.expires_at();
        let ends_at = longest.map_or(deadline, |longest| {
            deadline.min(now + longest.mul_f32(self.options.headroom))
        });

        now < expiry && ends_at <= expiry
    }
}

/// `DurationOptions` are the settings of [`RouteDurations`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DurationOptions {
    /// The time for which a duration counts as recent, at least; at most, it is twice as long.
    pub recent: Duration,
}

impl Default for DurationOptions {
    fn default() -> Self {
        Self {
            recent: Duration::from_secs(15),
        }
    }
}

/// `LongestDuration` is the longest duration in the present period and in the one before.
#[derive(Debug, Clone, Copy)]
struct LongestDuration {
    began_at: LocalMoment,
    present: Duration,
    previous: Duration,
}

impl LongestDuration {
    /// Returns what counts at `now`.
    fn at(self, now: LocalMoment, period: Duration) -> Self {
        let age = now.since(self.began_at);
        if age < period {
            return self;
        }

        Self {
            began_at: now,
            present: Duration::ZERO,
            previous: if age < period * 2 {
                self.present
            } else {
                Duration::ZERO
            },
        }
    }
}

/// `RouteDurations` keeps how long the requests of each route take at the longest.
#[derive(Debug, Default)]
pub struct RouteDurations {
    options: DurationOptions,
    longest: HashMap<Arc<str>, LongestDuration>,
    /// The requests in flight with the moments at which they began.
    running: HashMap<u64, (Arc<str>, LocalMoment)>,
}

impl RouteDurations {
    /// Creates durations without any requests.
    pub fn new(options: DurationOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records the start of a request, which `ticket` identifies.
    pub fn begin(&mut self, ticket: u64, route: &Arc<str>, now: LocalMoment) {
        self.running.insert(ticket, (Arc::clone(route), now));
    }

    /// Records the end of a request, if it had begun.
    pub fn end(&mut self, ticket: u64, now: LocalMoment) {
        let Some((route, began_at)) = self.running.remove(&ticket) else {
            return;
        };
        if !self.longest.contains_key(&route) && self.longest.len() >= MAX_ROUTES {
            return;
        }

        let longest = self.longest.entry(route).or_insert(LongestDuration {
            began_at: now,
            present: Duration::ZERO,
            previous: Duration::ZERO,
        });
        *longest = longest.at(now, self.options.recent);
        longest.present = longest.present.max(now.since(began_at));
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the longest recent duration of a route's requests, with those in flight, or `None` if no request has
    /// ended of late.
    pub fn longest(&self, route: &str, now: LocalMoment) -> Option<Duration> {
        let recent = self.longest.get(route)?.at(now, self.options.recent);
        let ended = recent.present.max(recent.previous);
        let running = self
            .running
            .values()
            .filter(|(other, _)| **other == *route)
            .map(|(_, began_at)| now.since(*began_at));

        (!ended.is_zero()).then(|| running.fold(ended, Duration::max))
    }
}

/// `ShutdownGate` decides which requests begin while a process may be shutting down.
#[derive(Debug, Default)]
pub struct ShutdownGate {
    plan: Option<ShutdownPlan>,
    durations: RouteDurations,
}

impl ShutdownGate {
    /// Records that the process is shutting down.
    pub fn start(&mut self, plan: ShutdownPlan) {
        self.plan = Some(plan);
    }

    /// Returns whether the process is shutting down.
    pub fn is_started(&self) -> bool {
        self.plan.is_some()
    }

    /// Returns the durations of requests, on which the decisions rest.
    pub fn durations(&mut self) -> &mut RouteDurations {
        &mut self.durations
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.durations.running()
    }

    /// Returns whether a request on a route that begins now ends before the process does.
    pub fn admits(&self, route: &str, deadline: LocalMoment, now: LocalMoment) -> bool {
        self.plan
            .is_none_or(|plan| plan.admits(deadline, self.durations.longest(route, now), now))
    }

    /// Returns the moment until which work on a request is of use: its deadline, or the expiry.
    pub fn useful_until(&self, deadline: LocalMoment) -> LocalMoment {
        self.plan
            .map_or(deadline, |plan| deadline.min(plan.expires_at()))
    }
}
