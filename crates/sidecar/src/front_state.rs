//! Whether the node takes callers' requests: its shutdown, and how late it gets its turns on the processor.

use crate::view::FleetView;
use compio::time::sleep;
use hyper::{Request, Response, StatusCode};
use std::{cell::Cell, rc::Rc, time::Duration};
use wagtail_core::{ports::LocalFuture, units::LocalMoment};
use wagtail_gate::lag::{LagGauge, LagOptions};
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
    in_flight: Rc<Cell<usize>>,
    draining: Rc<Cell<bool>>,
    expired: StopSignal,
    lag: Rc<Cell<LagGauge>>,
}

impl Default for FrontState {
    fn default() -> Self {
        Self {
            in_flight: Rc::default(),
            draining: Rc::default(),
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

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin(&self) -> InFlightGuard {
        InFlightGuard::new(&self.in_flight)
    }

    /// Returns whether callers are sent to other nodes.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns the signal that requests in flight are answered, as the process is about to end.
    pub(crate) fn expired(&self) -> &StopSignal {
        &self.expired
    }

    /// Returns the number of callers' requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Sends callers to other nodes: this node reports that it is not ready, and each response
    /// closes its connection.
    pub fn start_drain(&self) {
        self.draining.set(true);
    }

    /// Answers the requests that are still in flight, as the process is about to end. Their connections would
    /// close without an answer otherwise.
    pub fn expire(&self) {
        self.expired.trigger();
    }
}

/// `InFlightGuard` counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    /// Adds a request to the count.
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);

        Self(Rc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
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
