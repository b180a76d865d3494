//! Detection of requests that are calls from running work.
//!
//! New work on a route originates at the nodes of targets of all services, while calls
//! originate only at those of the one service that makes them. A route is therefore classified as a
//! call route if nearly all of its requests originate at one service, while those of the other
//! routes do not.

use std::{collections::HashMap, sync::Arc};

/// The number of arrivals below which a route is not classified.
const MIN_ARRIVALS: u32 = 30;

/// The number of arrivals at which all counts are halved, so that old arrivals lose weight and the
/// classification follows changes.
const HALVING_THRESHOLD: u32 = 2_000;

/// The minimum share of a call route's arrivals that originate at one service, in percent.
const MIN_CALLER_PERCENT: u32 = 98;

/// The maximum share of the other routes' arrivals that originate at the same service, in percent.
const MAX_OTHER_PERCENT: u32 = 85;

/// The maximum number of tracked routes; requests of further routes count as new work.
const MAX_ROUTES: usize = 512;

/// `RouteOrigins` counts the requests of each route by the service at which they originate.
#[derive(Debug, Default)]
pub struct RouteOrigins {
    routes: HashMap<Arc<str>, OriginCounts>,
    all_routes: OriginCounts,
}

/// `OriginCounts` holds the number of arrivals by originating service.
#[derive(Debug, Default)]
struct OriginCounts {
    by_service: HashMap<Arc<str>, u32>,
    total: u32,
}

impl OriginCounts {
    /// Counts an arrival that originated at a service.
    fn count(&mut self, service: &Arc<str>) {
        *self.by_service.entry(Arc::clone(service)).or_default() += 1;
        self.total += 1;

        if self.total >= HALVING_THRESHOLD {
            self.by_service.values_mut().for_each(|count| *count /= 2);
            self.total = self.by_service.values().sum();
        }
    }

    /// Returns the number of arrivals that originated at a service.
    fn count_for(&self, service: &str) -> u32 {
        self.by_service.get(service).copied().unwrap_or(0)
    }
}

impl RouteOrigins {
    /// Counts an arrival and returns whether it is a call from running work.
    pub fn observe(&mut self, route: &Arc<str>, service: &Arc<str>) -> bool {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return false;
        }
        self.all_routes.count(service);
        let counts = self.routes.entry(Arc::clone(route)).or_default();
        counts.count(service);

        self.is_call(route, service)
    }

    /// Returns whether a request on a route that originates at a service is a call from running work, as
    /// far as the counted arrivals tell.
    pub fn is_call(&self, route: &str, service: &str) -> bool {
        let Some(counts) = self.routes.get(route) else {
            return false;
        };

        let from_service = counts.count_for(service);
        if counts.total < MIN_ARRIVALS || from_service * 100 < counts.total * MIN_CALLER_PERCENT {
            return false;
        }
        let other_total = self.all_routes.total.saturating_sub(counts.total);
        let other_from_service = self
            .all_routes
            .count_for(service)
            .saturating_sub(from_service);

        // Without other routes to compare with, a call cannot be distinguished from new work that
        // arrives through the nodes of the only service.
        other_total >= MIN_ARRIVALS && other_from_service * 100 <= other_total * MAX_OTHER_PERCENT
    }
}
