//! How long targets take, by the route of a request.
//!
//! Pattern: calls of 40 ms and reservations of 190 ms share the targets of a service. The mean time of all requests
//! at a target tells which of them it got rather than how fast it is: one that got calls seems fast and gets more
//! of both, until its link is full of requests that it declines.

use std::{collections::HashMap, sync::Arc};

/// The weight of the latest time in the mean of a route.
const ROUTE_AVERAGE_WEIGHT: f32 = 0.05;

/// The weight of the latest time in the pace of a target.
const PACE_AVERAGE_WEIGHT: f32 = 0.25;

/// The most routes that are tracked, for a target and in all. Requests of further ones tell nothing.
const MAX_ROUTES: usize = 64;

/// `TargetPace` is how long one target takes.
#[derive(Debug, Clone, Default)]
pub struct TargetPace {
    /// The time for which a request occupies a slot by its route, in milliseconds.
    times: HashMap<Arc<str>, f32>,
    /// The mean of these times, each relative to that of all targets; `None` before the first one.
    relative: Option<f32>,
}

/// `RouteTimes` holds the mean time for which a request of each route occupies a slot, over all targets.
#[derive(Debug, Default)]
pub struct RouteTimes {
    means: HashMap<Arc<str>, f32>,
}

impl RouteTimes {
    /// Records the time that a target reports for a route, in milliseconds; zero if it has none.
    pub fn record(&mut self, route: &Arc<str>, time: f32, pace: &mut TargetPace) {
        if time <= 0.0 {
            return;
        }
        remember(&mut pace.times, route, time, 1.0);

        if let Some(mean) = remember(&mut self.means, route, time, ROUTE_AVERAGE_WEIGHT) {
            let latest = time / mean;
            let relative = pace.relative.get_or_insert(latest);
            *relative += (latest - *relative) * PACE_AVERAGE_WEIGHT;
        }
    }

    /// Returns the time that a target is expected to take for a request on a route, in milliseconds: what it
    /// reported for the route, or the mean of all targets at its pace on other routes. `None` before any target
    /// has reported a time for the route.
    pub fn expected(&self, route: &str, pace: Option<&TargetPace>) -> Option<f32> {
        if let Some(time) = pace.and_then(|pace| pace.times.get(route)) {
            return Some(*time);
        }
        let relative = pace.and_then(|pace| pace.relative).unwrap_or(1.0);

        self.means.get(route).map(|mean| mean * relative)
    }
}

/// Moves the mean of a route towards its latest time and returns it, or `None` if too many routes are tracked.
fn remember(
    times: &mut HashMap<Arc<str>, f32>,
    route: &Arc<str>,
    time: f32,
    weight: f32,
) -> Option<f32> {
    if !times.contains_key(route) && times.len() >= MAX_ROUTES {
        return None;
    }
    let mean = times.entry(Arc::clone(route)).or_insert(time);
    *mean += (time - *mean) * weight;

    Some(*mean)
}
