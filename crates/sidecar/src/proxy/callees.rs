//! The services that the target calls, and how much new work begins for them.

use super::{
    TargetProxy,
    replies::{elsewhere, millis_up},
};
use crate::messages::{DispatchHead, NotRunFields};
use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{GateOptions, GateRefusal};
use wagtail_net::clock;

/// The time for which a route counts as a call route after a reply stated so.
const CALL_ROUTE_TIME: Duration = Duration::from_secs(30);

/// The maximum number of call routes.
const MAX_CALL_ROUTES: usize = 64;

/// `CallRoutes` holds the routes of the calls that targets of this service make. The nodes of the
/// called targets find them out and state it in their replies.
#[derive(Debug, Default)]
pub(super) struct CallRoutes {
    stated_at: HashMap<Arc<str>, LocalMoment>,
}

impl CallRoutes {
    /// Records that the reply to a request stated that its route is a call route.
    fn state(&mut self, route: &Arc<str>, now: LocalMoment) {
        if let Some(stated_at) = self.stated_at.get_mut(route) {
            *stated_at = now;
            return;
        }
        if self.stated_at.len() >= MAX_CALL_ROUTES {
            self.stated_at
                .retain(|_, stated_at| now.since(*stated_at) <= CALL_ROUTE_TIME);
        }
        if self.stated_at.len() < MAX_CALL_ROUTES {
            self.stated_at.insert(Arc::clone(route), now);
        }
    }

    /// Returns whether a route is a call route.
    fn contains(&self, route: &str, now: LocalMoment) -> bool {
        self.stated_at
            .get(route)
            .is_some_and(|stated_at| now.since(*stated_at) <= CALL_ROUTE_TIME)
    }
}

impl TargetProxy {
    /// Records the share of new work that this target should begin, as requested in the reply to a call
    /// on `route` by a target of `service`.
    pub fn record_begin_share(&self, route: &Arc<str>, service: &Arc<str>, share: f32) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();

        state.call_routes.state(route, now);
        state.throttles.report(service, share, now);
    }

    /// Counts a request that arrived at the address for callers if it is a call of the target: its route
    /// is a call route, and the target runs requests. Returns the share of the work that makes such calls
    /// which begins, or `None` if it is not a call.
    pub fn count_call(&self, route: &str, service: &Arc<str>) -> Option<f32> {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();

        (state.call_routes.contains(route, now) && state.profiles.called(service, now))
            .then(|| state.throttles.share(service, now))
    }

    /// Records how long a call to a service took, relative to its objective. A call that was not served
    /// counts with at least its objective.
    pub fn record_call_time(&self, service: &str, took: f32, is_served: bool) {
        let took = if is_served { took } else { took.max(1.0) };

        self.state.borrow_mut().throttles.call_ended(service, took);
    }

    /// Returns the services that the target calls, with the share of the work that calls each which
    /// begins.
    pub fn begin_shares(&self) -> Vec<(Arc<str>, f32)> {
        let state = self.state.borrow();

        state
            .throttles
            .shares(clock::now())
            .map(|(service, share)| (Arc::clone(service), share))
            .collect()
    }

    /// Decides whether new work may begin, and records it if a service that it calls has no room.
    /// Returns the refusal in that case.
    pub(super) fn hold_back(
        &self,
        dispatch_head: &DispatchHead,
        now: LocalMoment,
    ) -> Option<NotRunFields> {
        let route = &dispatch_head.route;
        let state = &mut *self.state.borrow_mut();
        let calls = |service: &str| state.profiles.throttled_calls(route, service);
        let callee = state
            .throttles
            .admit(dispatch_head.priority, calls, now)
            .err()?;

        let share = state.throttles.share(&callee, now);
        let calls_per_run = state.profiles.calls_per_run(route, &callee);
        self.recorder
            .callee_busy(dispatch_head, &callee, share, calls_per_run);
        Some(NotRunFields {
            pause_ms: millis_up(GateOptions::default().min_retry_after),
            // The called service asks all nodes for the same share, so another node helps only if this
            // one does not know yet whether the route makes calls.
            elsewhere: calls_per_run.is_none() && dispatch_head.key.is_none(),
            ..elsewhere(GateRefusal::CalleeBusy.as_str())
        })
    }

    /// Records that a run of a route begins at the target.
    pub(super) fn run_began(&self, route: &Arc<str>) {
        let now = clock::now();
        self.state.borrow_mut().profiles.began(route, now);
    }

    /// Records that a run of a route has ended.
    pub(super) fn run_ended(&self, route: &str) {
        let now = clock::now();
        self.state.borrow_mut().profiles.ended(route, now);
    }
}
