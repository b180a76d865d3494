//! Which calls the work on each route makes, learned from what runs when a call is sent.
//!
//! A call does not name the run that makes it. The time and the calls are therefore counted by the
//! mix of routes that run, and the rate of calls of each route is the most likely one for these
//! counts (expectation maximization for a sum of Poisson processes). Routes that always overlap are
//! told apart by the times at which one of them runs without the other; a route that never does
//! shares the calls with the others, and so counts as one that makes them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The maximum number of tracked routes; others count as routes that make calls.
const MAX_ROUTES: usize = 16;

/// The maximum number of tracked services that are called.
const MAX_SERVICES: usize = 8;

/// The maximum number of mixes of running routes for each service. The one with the least time is
/// dropped for a new one.
const MAX_MIXES: usize = 128;

/// The time constant in seconds with which counts decay.
const DECAY_SECONDS: f32 = 20.0;

/// The time between two estimates.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(250);

/// The iterations of an estimate, which starts from the previous one.
const ESTIMATE_ROUNDS: usize = 30;

/// The number of runs until which a route counts as one that makes calls.
const MIN_RUNS: u32 = 20;

/// The calls per run from which a route counts as one that makes calls.
const MIN_CALLS_PER_RUN: f32 = 0.05;

/// The calls that an estimate takes off each route. Without it, calls that coincide with runs of a
/// route that makes none hold it back for seconds: 2,427 instead of 11 refused entries in the model in
/// `tests/gate/call_tree.rs` (seed 2, reports 2 s old).
const DOUBTED_CALLS: f32 = 1.0;

/// The decayed number of runs below which the last estimate of a route is kept.
const MIN_RECENT_RUNS: f32 = 3.0;

/// The lowest rate from which an estimate starts, relative to the mean rate. An estimate of zero
/// would never grow again.
const MIN_START_RATE: f32 = 0.02;

/// The time in seconds below which a mix is dropped.
const MIN_MIX_SECONDS: f32 = 1e-4;

/// The number of running requests by route.
type RunningMix = [u8; MAX_ROUTES];

/// `MixCounts` holds what was seen while one mix of routes ran.
#[derive(Debug, Default, Clone, Copy)]
struct MixCounts {
    seconds: f32,
    calls: f32,
}

/// `RouteRuns` identifies a tracked route.
#[derive(Debug)]
struct RouteRuns {
    name: Arc<str>,
    last_run: LocalMoment,
}

/// `ServiceCalls` holds the calls to one service since the first one.
#[derive(Debug)]
struct ServiceCalls {
    service: Arc<str>,
    mixes: BTreeMap<RunningMix, MixCounts>,
    /// The decayed number of runs by route.
    recent_runs: [f32; MAX_ROUTES],
    /// The number of runs by route, up to [`MIN_RUNS`].
    runs: [u32; MAX_ROUTES],
    /// The calls of a run per second, by route.
    rates: [f32; MAX_ROUTES],
    per_run: [f32; MAX_ROUTES],
}

/// `CallProfiles` learns the mean number of calls that a run of each route makes to each service.
#[derive(Debug, Default)]
pub struct CallProfiles {
    routes: Vec<RouteRuns>,
    running: RunningMix,
    services: Vec<ServiceCalls>,
    counted_to: LocalMoment,
    estimated_at: LocalMoment,
}

impl CallProfiles {
    /// Records that a run of a route begins.
    pub fn began(&mut self, route: &Arc<str>, now: LocalMoment) {
        self.count_to(now);

        if let Some(index) = self.index_or_insert(route) {
            self.routes[index].last_run = now;
            self.running[index] = self.running[index].saturating_add(1);
        }
    }

    /// Records that a run of a route has ended.
    pub fn ended(&mut self, route: &str, now: LocalMoment) {
        self.count_to(now);
        let Some(index) = self.index_of(route) else {
            return;
        };

        self.running[index] = self.running[index].saturating_sub(1);
        self.routes[index].last_run = now;
        for calls in &mut self.services {
            calls.recent_runs[index] += 1.0;
            calls.runs[index] = (calls.runs[index] + 1).min(MIN_RUNS);
        }
    }

    /// Records a call of a running request to a service. Calls without a running request are
    /// ignored. Returns whether any request runs.
    pub fn called(&mut self, service: &Arc<str>, now: LocalMoment) -> bool {
        self.count_to(now);
        if self.running == RunningMix::default() {
            return false;
        }

        let known = self
            .services
            .iter()
            .position(|calls| calls.service == *service);
        let index = match known {
            Some(index) => index,
            None if self.services.len() < MAX_SERVICES => {
                self.services.push(ServiceCalls::new(Arc::clone(service)));
                self.services.len() - 1
            }
            None => return true,
        };
        self.services[index].counts(self.running).calls += 1.0;
        true
    }

    /// Returns the mean number of calls that a run of a route makes to a service, or `None` if too
    /// few runs have been seen since the first call to that service.
    pub fn calls_per_run(&self, route: &str, service: &str) -> Option<f32> {
        let index = self.index_of(route)?;
        let calls = self
            .services
            .iter()
            .find(|calls| &*calls.service == service)?;

        (calls.runs[index] >= MIN_RUNS).then(|| calls.per_run[index])
    }

    /// Returns whether runs of a route count as calling a service.
    pub fn makes_calls(&self, route: &str, service: &str) -> bool {
        self.calls_per_run(route, service)
            .is_none_or(|calls| calls >= MIN_CALLS_PER_RUN)
    }

    /// Returns the calls that a run of a route counts with at the throttle of a service: zero if it
    /// makes none or no run has called the service yet, and one until enough runs have been seen.
    pub fn throttled_calls(&self, route: &str, service: &str) -> f32 {
        if !self.services.iter().any(|calls| &*calls.service == service) {
            return 0.0;
        }

        match self.calls_per_run(route, service) {
            None => 1.0,
            Some(calls) if calls >= MIN_CALLS_PER_RUN => calls,
            Some(_) => 0.0,
        }
    }

    /// Returns whether runs of a route may make calls: to a known service, or to any while none is
    /// known.
    pub fn may_make_calls(&self, route: &str) -> bool {
        self.services.is_empty()
            || self
                .services
                .iter()
                .any(|calls| self.makes_calls(route, &calls.service))
    }

    /// Counts the time since the last event for the mix that ran, and updates the estimates if they
    /// are due.
    fn count_to(&mut self, now: LocalMoment) {
        let seconds = now.since(self.counted_to).as_secs_f32();
        self.counted_to = now;
        if self.running != RunningMix::default() {
            for calls in &mut self.services {
                calls.counts(self.running).seconds += seconds;
            }
        }

        let since_estimate = now.since(self.estimated_at);
        if since_estimate >= ESTIMATE_INTERVAL {
            self.estimated_at = now;
            for calls in &mut self.services {
                calls.estimate(self.routes.len());
                calls.decay(since_estimate);
            }
        }
    }

    /// Returns the index of a tracked route.
    fn index_of(&self, route: &str) -> Option<usize> {
        self.routes.iter().position(|runs| &*runs.name == route)
    }

    /// Returns the index of a route. A new one may replace the route that has not run for the
    /// longest time; `None` if all tracked routes run.
    fn index_or_insert(&mut self, route: &Arc<str>) -> Option<usize> {
        if let Some(index) = self.index_of(route) {
            return Some(index);
        }
        let runs = RouteRuns {
            name: Arc::clone(route),
            last_run: LocalMoment::ZERO,
        };
        if self.routes.len() < MAX_ROUTES {
            self.routes.push(runs);
            return Some(self.routes.len() - 1);
        }

        let index = (0..MAX_ROUTES)
            .filter(|index| self.running[*index] == 0)
            .min_by_key(|index| self.routes[*index].last_run)?;
        self.routes[index] = runs;
        for calls in &mut self.services {
            calls.forget(index);
        }
        Some(index)
    }
}

impl ServiceCalls {
    /// Creates the counts of a service that has not been called yet.
    fn new(service: Arc<str>) -> Self {
        Self {
            service,
            mixes: BTreeMap::new(),
            recent_runs: [0.0; MAX_ROUTES],
            runs: [0; MAX_ROUTES],
            rates: [0.0; MAX_ROUTES],
            per_run: [0.0; MAX_ROUTES],
        }
    }

    /// Returns the counts of a mix.
    fn counts(&mut self, mix: RunningMix) -> &mut MixCounts {
        if self.mixes.len() >= MAX_MIXES && !self.mixes.contains_key(&mix) {
            let least = self
                .mixes
                .iter()
                .min_by(|left, right| left.1.seconds.total_cmp(&right.1.seconds))
                .map(|(other, _)| *other);
            if let Some(least) = least {
                self.mixes.remove(&least);
            }
        }

        self.mixes.entry(mix).or_default()
    }

    /// Drops what is known of a route.
    fn forget(&mut self, index: usize) {
        self.mixes.retain(|mix, _| mix[index] == 0);
        self.recent_runs[index] = 0.0;
        self.runs[index] = 0;
        self.rates[index] = 0.0;
        self.per_run[index] = 0.0;
    }

    /// Reduces all counts after a time.
    fn decay(&mut self, time: Duration) {
        let factor = (-time.as_secs_f32() / DECAY_SECONDS).exp();
        self.mixes.retain(|_, counts| {
            counts.seconds *= factor;
            counts.calls *= factor;
            counts.seconds >= MIN_MIX_SECONDS
        });
        self.recent_runs.iter_mut().for_each(|runs| *runs *= factor);
    }

    /// Estimates the calls of the routes before index `routes`, from the previous estimate.
    fn estimate(&mut self, routes: usize) {
        let mut exposure = [0.0; MAX_ROUTES];
        for (mix, counts) in &self.mixes {
            for (seconds, running) in exposure.iter_mut().zip(mix) {
                *seconds += counts.seconds * f32::from(*running);
            }
        }
        let calls: f32 = self.mixes.values().map(|counts| counts.calls).sum();
        let start_rate = calls / exposure.iter().sum::<f32>().max(f32::MIN_POSITIVE);
        let is_recent =
            |index: usize| self.recent_runs[index] >= MIN_RECENT_RUNS && exposure[index] > 0.0;
        for index in (0..routes).filter(|index| is_recent(*index)) {
            self.rates[index] = self.rates[index].max(start_rate * MIN_START_RATE);
        }

        for _ in 0..ESTIMATE_ROUNDS {
            let mut explained = [0.0; MAX_ROUTES];
            for (mix, counts) in &self.mixes {
                let rate: f32 = (0..routes)
                    .map(|index| f32::from(mix[index]) * self.rates[index])
                    .sum();
                if counts.calls == 0.0 || rate <= 0.0 {
                    continue;
                }
                for index in 0..routes {
                    explained[index] +=
                        counts.calls * f32::from(mix[index]) * self.rates[index] / rate;
                }
            }
            for index in (0..routes).filter(|index| is_recent(*index)) {
                self.rates[index] = (explained[index] - DOUBTED_CALLS).max(0.0) / exposure[index];
            }
        }

        for index in (0..routes).filter(|index| is_recent(*index)) {
            self.per_run[index] = self.rates[index] * exposure[index] / self.recent_runs[index];
        }
    }
}
