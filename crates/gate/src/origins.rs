//! Which requests are calls of work that already runs.
//!
//! Callers of every service send the requests of a route, but only one service's targets call
//! it. A route whose requests begin beside targets of one service alone, while the other routes'
//! do not, is therefore a route of calls.

use std::{collections::HashMap, sync::Arc};

/// The arrivals after which a route can be told.
const MIN_ARRIVALS: u32 = 30;

/// The arrivals after which the counts are halved, so that they follow changes.
const HALVE_AT: u32 = 2_000;

/// The share of a route's arrivals, in percent, that one service sends when it is a route of
/// calls.
const CALL_PERCENT: u32 = 98;

/// The share of the other routes' arrivals, in percent, that this service may send at most.
const OTHER_PERCENT: u32 = 85;

/// The most routes that are told apart.
const MAX_ROUTES: usize = 512;

/// `RouteOrigins` counts where the requests of each route begin.
#[derive(Debug, Default)]
pub struct RouteOrigins {
    routes: HashMap<Arc<str>, OriginCounts>,
    all: OriginCounts,
}

/// `OriginCounts` are the arrivals by the service beside which they began.
#[derive(Debug, Default)]
struct OriginCounts {
    by_service: HashMap<Arc<str>, u32>,
    total: u32,
}

impl OriginCounts {
    /// Counts an arrival.
    fn count(&mut self, service: &Arc<str>) {
        *self.by_service.entry(Arc::clone(service)).or_default() += 1;
        self.total += 1;

        if self.total >= HALVE_AT {
            self.by_service.values_mut().for_each(|count| *count /= 2);
            self.total = self.by_service.values().sum();
        }
    }

    /// Returns the arrivals of a service.
    fn of(&self, service: &str) -> u32 {
        self.by_service.get(service).copied().unwrap_or(0)
    }
}

impl RouteOrigins {
    /// Counts an arrival and returns whether it is a call.
    pub fn observe(&mut self, route: &Arc<str>, service: &Arc<str>) -> bool {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return false;
        }
        self.all.count(service);
        let counts = self.routes.entry(Arc::clone(route)).or_default();
        counts.count(service);

        let own = counts.of(service);
        if counts.total < MIN_ARRIVALS || own * 100 < counts.total * CALL_PERCENT {
            return false;
        }
        let others = self.all.total.saturating_sub(counts.total);
        let others_own = self.all.of(service).saturating_sub(own);

        // Without other routes nothing tells a call from a request of a lone service's callers.
        others >= MIN_ARRIVALS && others_own * 100 <= others * OTHER_PERCENT
    }
}
