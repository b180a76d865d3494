//! The server for callers, and the one that tells whether the node is ready.

use crate::{
    door::{TargetDoor, headers::end_to_end},
    forward::{ForwardJob, ForwardOutcome, RequestForwarder},
    messages::{DispatchHead, ResponseHead},
    outcomes::{RequestEnd, RequestRecorder},
    ports::WireDialect,
    settings::SidecarSettings,
    view::FleetView,
};
use bytes::{Bytes, BytesMut};
use compio::time::timeout;
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use wagtail_core::{
    ports::{BodyStream, LocalFuture},
    routing::CallerLimits,
    units::LocalMoment,
};
use wagtail_gate::waits::CallerWaits;
use wagtail_net::{
    clock,
    server::{ConnectionLimits, HttpHandler, LimitSource, ServerBody, streamed_body, whole_body},
};
use wagtail_route::hosts::{HostTable, choose_service};

/// The time that a caller waits when it does not say.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// The longest time for which a connection of a caller stays open without a request. Connections
/// that a crest left behind cost memory and descriptors; callers are told the time.
const MAX_IDLE: Duration = Duration::from_secs(6);

/// The pause that is asked for while no configuration is known.
const NO_CONFIG_PAUSE: Duration = Duration::from_millis(300);

/// `FrontState` is what the servers for callers share.
#[derive(Debug, Clone, Default)]
pub struct FrontState {
    in_flight: Rc<Cell<usize>>,
    leaving: Rc<Cell<bool>>,
}

impl FrontState {
    /// Returns the requests that are being answered.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Asks callers to go elsewhere: the node is not ready any more, and answers close their
    /// connections.
    pub fn leave(&self) {
        self.leaving.set(true);
    }
}

/// `FlightGuard` counts a request for as long as it is held.
#[derive(Debug)]
struct FlightGuard(Rc<Cell<usize>>);

impl FlightGuard {
    /// Counts a request in.
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);

        Self(Rc::clone(count))
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// `FrontHandler` answers callers.
#[derive(Debug)]
pub struct FrontHandler {
    settings: Rc<SidecarSettings>,
    dialect: Rc<dyn WireDialect>,
    view: FleetView,
    forwarder: Rc<RequestForwarder>,
    door: TargetDoor,
    recorder: Rc<RequestRecorder>,
    state: FrontState,
    waits: RefCell<CallerWaits>,
}

/// `EarlyAnswer` is an answer that needs no target.
#[derive(Debug)]
struct EarlyAnswer {
    status: StatusCode,
    reason: &'static str,
    pause: Option<Duration>,
}

impl EarlyAnswer {
    /// Makes an answer that tells no time to come back.
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            pause: None,
        }
    }
}

impl FrontHandler {
    /// Makes the handler.
    pub fn new(
        settings: Rc<SidecarSettings>,
        dialect: Rc<dyn WireDialect>,
        view: FleetView,
        forwarder: Rc<RequestForwarder>,
        door: TargetDoor,
        recorder: Rc<RequestRecorder>,
        state: FrontState,
    ) -> Self {
        Self {
            settings,
            dialect,
            view,
            forwarder,
            door,
            recorder,
            state,
            waits: RefCell::default(),
        }
    }

    /// Answers one request.
    async fn answer(&self, request: Request<Incoming>) -> Response<ServerBody> {
        let _guard = FlightGuard::new(&self.state.in_flight);
        let began = clock::now();
        let (parts, body) = request.into_parts();

        let mut response = match self.prepare(&parts, body, began).await {
            Ok(job) => self.run(job).await,
            Err(early) => {
                let caller = self.dialect.read_caller(&parts.headers);
                self.recorder.request_rejected(
                    caller.id.as_deref().unwrap_or_default(),
                    parts.uri.path(),
                    early.status.as_u16(),
                    early.reason,
                );
                plain(early.status, early.reason, early.pause)
            }
        };

        if self.state.leaving.get() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Finds the destination of a request and reads its body.
    async fn prepare(
        &self,
        parts: &Parts,
        body: Incoming,
        began: LocalMoment,
    ) -> Result<ForwardJob, EarlyAnswer> {
        let Some(hosts) = self.view.hosts() else {
            return Err(EarlyAnswer {
                pause: Some(NO_CONFIG_PAUSE),
                ..EarlyAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "no-config")
            });
        };
        let mut job = self.address(parts, &hosts, began)?;
        job.body = read_body(body, hosts.limits(), began).await?;

        Ok(job)
    }

    /// Finds the route and the service of a request.
    fn address(
        &self,
        parts: &Parts,
        hosts: &HostTable,
        began: LocalMoment,
    ) -> Result<ForwardJob, EarlyAnswer> {
        let bad = |reason| EarlyAnswer::new(StatusCode::BAD_REQUEST, reason);
        let caller = self.dialect.read_caller(&parts.headers);
        let id = caller.id.ok_or_else(|| bad("id-missing"))?;
        let host = host_of(parts).ok_or_else(|| bad("host-missing"))?;
        let path = parts
            .uri
            .path_and_query()
            .map_or("/", hyper::http::uri::PathAndQuery::as_str);

        let route = hosts
            .find(host, parts.uri.path())
            .ok_or(EarlyAnswer::new(StatusCode::NOT_FOUND, "no-route"))?;
        let service = choose_service(route, &id)
            .ok_or(EarlyAnswer::new(StatusCode::NOT_FOUND, "no-destination"))?;
        let keyed = hosts.service(service).is_some_and(|entry| entry.keyed);
        if keyed && caller.key.is_none() {
            return Err(bad("key-missing"));
        }

        let waited = caller.wait.map_or(Duration::ZERO, |wait| {
            self.waits.borrow_mut().observe(&route.name, wait, began)
        });
        let wait = caller.wait.unwrap_or(DEFAULT_WAIT).min(route.timeout);
        let dispatch_head = DispatchHead {
            id,
            service: Arc::clone(service),
            key: caller.key.filter(|_| keyed),
            route: Arc::clone(&route.name),
            kind: route.kind,
            priority: route.priority,
            caller_priority: self.door.work_priority(),
            objective_ms: u32::try_from(route.objective.as_millis()).unwrap_or(u32::MAX),
            elapsed_ms: 0,
            time_left_ms: 0,
            caller_service: Arc::clone(&self.settings.service),
            method: Arc::from(parts.method.as_str()),
            path: Arc::from(path),
            headers: end_to_end(&parts.headers),
        };

        Ok(ForwardJob {
            dispatch_head,
            route: Arc::clone(route),
            keyed,
            body: Bytes::new(),
            began,
            deadline: began + wait,
            asked: RefCell::default(),
            waited,
        })
    }

    /// Forwards a request within its time.
    async fn run(&self, job: ForwardJob) -> Response<ServerBody> {
        let left = job.deadline.since(clock::now());
        let outcome = timeout(left, self.forwarder.forward(&job)).await;

        let (response, reason): (_, Option<Arc<str>>) = match outcome {
            Ok(ForwardOutcome::Completed { fields, body }) => passed_on(&fields, body),
            Ok(ForwardOutcome::NotRun { reason, pause }) => (
                plain(StatusCode::SERVICE_UNAVAILABLE, &reason, Some(pause)),
                Some(reason),
            ),
            Ok(ForwardOutcome::Failed { reason }) => {
                (plain(StatusCode::BAD_GATEWAY, &reason, None), Some(reason))
            }
            Err(_elapsed) => (
                plain(StatusCode::GATEWAY_TIMEOUT, "timeout", None),
                Some(Arc::from("timeout")),
            ),
        };

        if response.status().is_server_error() {
            let mut waits = self.waits.borrow_mut();
            waits.refused(&job.route.name, clock::now());
        }
        let versions = self.view.versions();
        self.recorder.request_ended(&RequestEnd {
            dispatch_head: &job.dispatch_head,
            began: job.began,
            status: response.status().as_u16(),
            reason: reason.as_deref(),
            asked: &job.asked.borrow().join(","),
            config: versions.config,
            fleet: versions.fleet,
        });
        response
    }
}

impl HttpHandler for FrontHandler {
    fn handle(&self, request: Request<Incoming>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(self.answer(request))
    }
}

/// `CallerConnections` tells the limits of the connections of callers.
#[derive(Debug)]
pub struct CallerConnections {
    view: FleetView,
}

impl CallerConnections {
    /// Makes the limits of the configuration that a view shows.
    pub fn new(view: FleetView) -> Self {
        Self { view }
    }
}

impl LimitSource for CallerConnections {
    fn limits(&self) -> ConnectionLimits {
        let limits = self
            .view
            .hosts()
            .map_or_else(CallerLimits::default, |hosts| *hosts.limits());

        ConnectionLimits {
            head_bytes: limits.head_bytes,
            idle_timeout: limits.idle_timeout.min(MAX_IDLE),
        }
    }
}

/// `ReadinessHandler` tells whether the node is ready for callers.
#[derive(Debug)]
pub struct ReadinessHandler {
    view: FleetView,
    state: FrontState,
}

impl ReadinessHandler {
    /// Makes the handler.
    pub fn new(view: FleetView, state: FrontState) -> Self {
        Self { view, state }
    }
}

impl HttpHandler for ReadinessHandler {
    fn handle(&self, _request: Request<Incoming>) -> LocalFuture<'_, Response<ServerBody>> {
        let ready = self.view.hosts().is_some() && !self.state.leaving.get();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };

        Box::pin(std::future::ready(plain(status, "", None)))
    }
}

/// Reads the whole body of a request.
async fn read_body(
    mut body: Incoming,
    limits: &CallerLimits,
    began: LocalMoment,
) -> Result<Bytes, EarlyAnswer> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }

    let reading = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame
                .map_err(|_broken| EarlyAnswer::new(StatusCode::BAD_REQUEST, "body-cut-short"))?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            if whole.len() + part.len() > limits.body_bytes {
                return Err(EarlyAnswer::new(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body-too-large",
                ));
            }
            whole.extend_from_slice(&part);
        }
        Ok(whole.freeze())
    };

    let left = (began + limits.idle_timeout).since(clock::now());
    timeout(left, reading).await.unwrap_or(Err(EarlyAnswer::new(
        StatusCode::REQUEST_TIMEOUT,
        "body-too-slow",
    )))
}

/// Returns the host that a request addresses.
fn host_of(parts: &Parts) -> Option<&str> {
    parts
        .uri
        .host()
        .or_else(|| parts.headers.get(hyper::header::HOST)?.to_str().ok())
}

/// Makes the answer that passes a target's on, and the reason when it cannot be passed on.
fn passed_on(
    fields: &ResponseHead,
    body: Box<dyn BodyStream>,
) -> (Response<ServerBody>, Option<Arc<str>>) {
    let mut builder = Response::builder().status(fields.status);
    for field in &fields.headers {
        builder = builder.header(&*field.name, field.value.as_ref());
    }

    match builder.body(streamed_body(body)) {
        Ok(response) => (response, None),
        Err(_malformed) => (
            plain(StatusCode::BAD_GATEWAY, "malformed-answer", None),
            Some(Arc::from("malformed-answer")),
        ),
    }
}

/// Makes an answer of this node.
fn plain(status: StatusCode, reason: &str, pause: Option<Duration>) -> Response<ServerBody> {
    let mut response = Response::new(whole_body(reason.to_owned()));
    *response.status_mut() = status;

    if let Some(pause) = pause
        && let Ok(value) = HeaderValue::try_from(format!("{:.3}", pause.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, value);
    }

    response
}
