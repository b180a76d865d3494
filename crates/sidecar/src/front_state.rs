//! Whether the node takes callers' requests: its shutdown, and how late it gets its turns on the processor.

use crate::view::FleetView;
use compio::time::sleep;
use hyper::{Request, Response, StatusCode};
use std::{
    cell::{Cell, Ref, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use wagtail_core::{ports::LocalFuture, units::LocalMoment};
use wagtail_gate::{
    lag::{LagGauge, LagOptions},
    shutdown::{ShutdownGate, ShutdownPlan},
};
use wagtail_net::{
    clock,
    request_body::RequestBody,
    server::{HttpHandler, ServerBody, plain_response},
    stop::StopSignal,
};

/// The time between two checks of how late the process is.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// `FrontState` is the state that the handlers for callers and for readiness checks share with the
/// shutdown.
#[derive(Debug, Clone)]
pub struct FrontState {
    shutdown: Rc<RefCell<ShutdownGate>>,
    next_ticket: Rc<Cell<u64>>,
    expired: StopSignal,
    lag: Rc<Cell<LagGauge>>,
}

impl Default for FrontState {
    fn default() -> Self {
        Self {
            shutdown: Rc::default(),
            next_ticket: Rc::default(),
            expired: StopSignal::new(),
            lag: Rc::new(Cell::new(LagGauge::new(LagOptions::default()))),
        }
    }
}

impl FrontState {
    /// Follows how late the timers of the process fire.
    pub async fn watch_lag(&self) {
        loop {
            let due = clock::now() + LAG_CHECK_INTERVAL;
            sleep(LAG_CHECK_INTERVAL).await;
            let mut gauge = self.lag.get();
            gauge.record(due, clock::now());
            self.lag.set(gauge);
        }
    }

    /// Returns the delay before a retry if a request that is read now, of a caller that waits for `caller_wait`, has
    /// probably waited too long, or `None` if it is served.
    pub(crate) fn refusal(&self, caller_wait: Duration, now: LocalMoment) -> Option<Duration> {
        self.lag.get().refusal(caller_wait, now)
    }

    /// Counts a request as in flight on a route until the guard is dropped.
    pub(crate) fn begin(&self, route: &Arc<str>) -> InFlightGuard {
        let ticket = self.next_ticket.replace(self.next_ticket.get() + 1);
        let mut shutdown = self.shutdown.borrow_mut();
        shutdown.durations().begin(ticket, route, clock::now());

        InFlightGuard(Rc::clone(&self.shutdown), ticket)
    }

    /// Returns what decides on requests during the shutdown.
    pub(crate) fn shutdown(&self) -> Ref<'_, ShutdownGate> {
        self.shutdown.borrow()
    }

    /// Returns whether callers are sent to other nodes.
    pub(crate) fn is_draining(&self) -> bool {
        self.shutdown().is_started()
    }

    /// Returns the signal that requests in flight are answered, as the process is about to end.
    pub(crate) fn expired(&self) -> &StopSignal {
        &self.expired
    }

    /// Returns the number of callers' requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shutdown().running()
    }

    /// Sends callers to other nodes: this node reports that it is not ready, and each response
    /// closes its connection.
    pub fn start_drain(&self, plan: ShutdownPlan) {
        self.shutdown.borrow_mut().start(plan);
    }

    /// Answers the requests that are still in flight, as the process is about to end. Their connections would
    /// close without an answer otherwise.
    pub fn expire(&self) {
        self.expired.trigger();
    }
}

/// `InFlightGuard` counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Rc<RefCell<ShutdownGate>>, u64);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = clock::now();
        self.0.borrow_mut().durations().end(self.1, now);
    }
}

/// `ReadinessHandler` responds 200 while the node is ready for callers, and 503 otherwise.
#[derive(Debug)]
pub struct ReadinessHandler {
    view: FleetView,
    state: FrontState,
}

impl ReadinessHandler {
    /// Creates the handler. The node is ready when it knows a configuration and is not shutting
    /// down.
    pub fn new(view: FleetView, state: FrontState) -> Self {
        Self { view, state }
    }
}

impl HttpHandler for ReadinessHandler {
    fn handle(&self, _request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        let ready = self.view.hosts().is_some() && !self.state.is_draining();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };

        Box::pin(std::future::ready(plain_response(status, "", None)))
    }
}
