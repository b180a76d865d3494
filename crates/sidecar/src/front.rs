//! The HTTP handler for callers.

use crate::{
    bodies::{BodyFault, read_whole},
    forward::{ForwardJob, ForwardOutcome, RequestForwarder},
    front_state::{FrontState, InFlightGuard},
    memory::{MEMORY_FULL, NodeMemory},
    messages::{CompletedFields, DispatchHead},
    outcomes::{RequestEnd, RequestRecorder},
    ports::WireDialect,
    proxy::{NODE_STOPPING, TargetProxy},
    quarantine::QUARANTINED,
    settings::SidecarSettings,
    view::FleetView,
};
use bytes::Bytes;
use compio::time::timeout;
use futures_util::future::{Either, select};
use hyper::{Request, Response, StatusCode, body::Body, http::request::Parts};
use std::{cell::RefCell, pin::pin, rc::Rc, sync::Arc, time::Duration};
use wagtail_core::{
    digest::RequestDigest,
    ports::{BodyStream, LocalFuture},
    routing::CallerLimits,
    units::LocalMoment,
};
use wagtail_gate::{quarantine::RequestStanding, waits::CallerWaits};
use wagtail_net::{
    clock,
    deadline::DeadlineBody,
    guarded::GuardedBody,
    headers::{end_to_end, host_of},
    request_body::RequestBody,
    server::{
        ConnectionLimits, HttpHandler, LimitSource, ServerBody, close_after, plain_response,
        streamed_body,
    },
};
use wagtail_route::hosts::{HostTable, choose_service};

/// The reason code of a request that has probably waited too long before this node read it.
const NODE_LATE: &str = "node-late";

/// The time that a caller is assumed to wait when it states none.
const DEFAULT_CALLER_WAIT: Duration = Duration::from_secs(10);

/// The maximum time for which an idle connection of a caller stays open. Connections left over from
/// a load peak cost memory and file descriptors; responses state the timeout to callers.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// The time for which a caller may read nothing of a response before its connection is closed.
const MAX_READ_PAUSE: Duration = Duration::from_secs(5);

/// The delay that a refused caller is asked for while this node knows no configuration, or is stopping.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `FrontHandler` forwards the requests of callers and returns the responses to them.
#[derive(Debug)]
pub struct FrontHandler {
    settings: Rc<SidecarSettings>,
    dialect: Rc<dyn WireDialect>,
    view: FleetView,
    forwarder: Rc<RequestForwarder>,
    proxy: TargetProxy,
    recorder: Rc<RequestRecorder>,
    state: FrontState,
    waits: RefCell<CallerWaits>,
}

/// `EarlyResponse` refuses a request before it is sent to any target.
#[derive(Debug)]
struct EarlyResponse {
    status: StatusCode,
    reason: &'static str,
    pause: Option<Duration>,
    /// The content of the request, if it is the reason.
    digest: Option<RequestDigest>,
    /// Whether the response closes the connection, as the body is not read to its end.
    closes: bool,
}

impl EarlyResponse {
    /// Creates a response that asks for no delay before a retry.
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            pause: None,
            digest: None,
            closes: false,
        }
    }
}

impl FrontHandler {
    /// Creates the handler. `state` is shared with the [`ReadinessHandler`](crate::front_state::ReadinessHandler).
    pub fn new(
        settings: Rc<SidecarSettings>,
        dialect: Rc<dyn WireDialect>,
        view: FleetView,
        forwarder: Rc<RequestForwarder>,
        proxy: TargetProxy,
        recorder: Rc<RequestRecorder>,
        state: FrontState,
    ) -> Self {
        Self {
            settings,
            dialect,
            view,
            forwarder,
            proxy,
            recorder,
            state,
            waits: RefCell::default(),
        }
    }

    /// Processes one request, from its head to the response.
    async fn respond(&self, request: Request<RequestBody>) -> Response<ServerBody> {
        let started_at = clock::now();
        let (parts, body) = request.into_parts();

        let mut response = match self.prepare(&parts, body, started_at).await {
            Ok((job, guard)) => self.run(job, guard).await,
            Err(early) => {
                let caller = self.dialect.read_caller(&parts.headers);
                self.recorder.request_rejected(
                    caller.id.as_deref().unwrap_or_default(),
                    parts.uri.path(),
                    early.status.as_u16(),
                    early.reason,
                    early.digest,
                );
                let mut response = plain_response(early.status, early.reason, early.pause);
                if early.closes {
                    close_after(&mut response);
                }
                response
            }
        };

        if self.state.is_draining() {
            close_after(&mut response);
        }
        response
    }

    /// Finds the destination of a request and reads its complete body.
    async fn prepare(
        &self,
        parts: &Parts,
        body: RequestBody,
        started_at: LocalMoment,
    ) -> Result<(ForwardJob, InFlightGuard), EarlyResponse> {
        let Some(hosts) = self.view.hosts() else {
            return Err(not_ready("no-config"));
        };
        let mut job = self.resolve(parts, &hosts, started_at)?;
        let caller_wait = job.caller_deadline.since(started_at);
        if let Some(pause) = self.state.refusal(caller_wait, started_at) {
            return Err(EarlyResponse {
                pause: Some(pause),
                ..EarlyResponse::new(StatusCode::SERVICE_UNAVAILABLE, NODE_LATE)
            });
        }
        let body = read_body(body, hosts.limits(), started_at, self.proxy.memory());
        job.body = match select(pin!(body), pin!(self.state.expired().wait())).await {
            Either::Left((body, _)) => body?,
            Either::Right(_) => return Err(not_ready(NODE_STOPPING)),
        };
        let route = &job.route.name;
        if !(self.state.shutdown()).admits(route, job.deadline, clock::now()) {
            return Err(not_ready(NODE_STOPPING));
        }
        let content = job.dispatch_head.content(job.body.clone());
        if self.view.quarantine().standing(&content) == RequestStanding::Refused {
            return Err(EarlyResponse {
                digest: Some(content.digest()),
                ..EarlyResponse::new(StatusCode::SERVICE_UNAVAILABLE, QUARANTINED)
            });
        }

        let guard = self.state.begin(route);
        Ok((job, guard))
    }

    /// Finds the route and the service of a request from its head.
    fn resolve(
        &self,
        parts: &Parts,
        hosts: &HostTable,
        started_at: LocalMoment,
    ) -> Result<ForwardJob, EarlyResponse> {
        let bad_request = |reason| EarlyResponse::new(StatusCode::BAD_REQUEST, reason);
        let caller = self.dialect.read_caller(&parts.headers);
        let id = caller.id.ok_or_else(|| bad_request("id-missing"))?;
        let host = host_of(parts).ok_or_else(|| bad_request("host-missing"))?;
        let path = parts
            .uri
            .path_and_query()
            .map_or("/", hyper::http::uri::PathAndQuery::as_str);

        let route = hosts
            .find(host, parts.uri.path())
            .ok_or(EarlyResponse::new(StatusCode::NOT_FOUND, "no-route"))?;
        let service = choose_service(route, &id)
            .ok_or(EarlyResponse::new(StatusCode::NOT_FOUND, "no-destination"))?;
        let keyed = hosts.service(service).is_some_and(|entry| entry.keyed);
        if keyed && caller.key.is_none() {
            return Err(bad_request("key-missing"));
        }

        let waited = caller.wait.map_or(Duration::ZERO, |wait| {
            self.waits
                .borrow_mut()
                .observe(&route.name, wait, started_at)
        });
        let caller_wait = caller.wait.unwrap_or(DEFAULT_CALLER_WAIT);
        let wait = caller_wait.min(route.timeout);
        let dispatch_head = DispatchHead {
            id,
            service: Arc::clone(service),
            key: caller.key.filter(|_| keyed),
            route: Arc::clone(&route.name),
            kind: route.kind,
            priority: route.priority,
            objective_ms: u32::try_from(route.objective.as_millis()).unwrap_or(u32::MAX),
            elapsed_ms: 0,
            time_left_ms: 0,
            caller_service: Arc::clone(&self.settings.service),
            method: Arc::from(parts.method.as_str()),
            path: Arc::from(path),
            headers: end_to_end(&parts.headers),
            notice: None,
            accepted_wait_ms: None,
            is_repeat: false,
        };

        Ok(ForwardJob {
            dispatch_head,
            route: Arc::clone(route),
            keyed,
            body: Bytes::new(),
            started_at,
            deadline: started_at + wait,
            caller_deadline: started_at + caller_wait,
            asked: RefCell::default(),
            waited,
        })
    }

    /// Forwards a request until its deadline and records how it ended.
    async fn run(&self, job: ForwardJob, guard: InFlightGuard) -> Response<ServerBody> {
        let time_left = job.deadline.since(clock::now());
        let outcome = {
            let forwarded = pin!(timeout(time_left, self.forwarder.forward(&job)));
            match select(forwarded, pin!(self.state.expired().wait())).await {
                Either::Left((outcome, _)) => outcome,
                Either::Right(_) => Ok(ForwardOutcome::Failed {
                    reason: Arc::from(NODE_STOPPING),
                }),
            }
        };

        let (response, reason): (_, Option<Arc<str>>) = match outcome {
            Ok(ForwardOutcome::Completed { fields, body }) => {
                let id = Arc::clone(&job.dispatch_head.id);
                let body = self.proxy.link().paced(body, fields.body_bytes);
                let body = DeadlineBody::new(id, body, job.deadline);
                let body = GuardedBody::new(Box::new(body), guard);
                forwarded_response(&fields, Box::new(body))
            }
            Ok(ForwardOutcome::NotRun { reason, pause }) => (
                plain_response(StatusCode::SERVICE_UNAVAILABLE, &reason, Some(pause)),
                Some(reason),
            ),
            Ok(ForwardOutcome::Failed { reason }) => (
                plain_response(StatusCode::BAD_GATEWAY, &reason, None),
                Some(reason),
            ),
            Err(_elapsed) => (
                plain_response(StatusCode::GATEWAY_TIMEOUT, "timeout", None),
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
            started_at: job.started_at,
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
    fn handle(&self, request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(self.respond(request))
    }
}

/// `CallerLimitSource` takes the limits of callers' connections from the configuration in force.
#[derive(Debug)]
pub struct CallerLimitSource {
    view: FleetView,
    write_stall: Option<Duration>,
}

impl CallerLimitSource {
    /// Creates a source that reads the configuration from a view. Callers that read slowly are limited where
    /// the settings state a limit of the memory.
    pub fn new(view: FleetView, settings: &SidecarSettings) -> Self {
        Self {
            view,
            write_stall: settings.memory.map(|_| MAX_READ_PAUSE),
        }
    }
}

impl LimitSource for CallerLimitSource {
    fn limits(&self) -> ConnectionLimits {
        let limits = self
            .view
            .hosts()
            .map_or_else(CallerLimits::default, |hosts| *hosts.limits());

        ConnectionLimits {
            head_bytes: limits.head_bytes,
            idle_timeout: limits.idle_timeout.min(MAX_IDLE_TIMEOUT),
        }
    }

    fn write_stall(&self) -> Option<Duration> {
        self.write_stall
    }
}

/// Reads the complete body of a request, within the size and time limits of callers and the memory for bodies.
async fn read_body<B: Body<Data = Bytes> + Unpin + 'static>(
    body: B,
    limits: &CallerLimits,
    started_at: LocalMoment,
    memory: &NodeMemory,
) -> Result<Bytes, EarlyResponse> {
    let time_left = (started_at + limits.idle_timeout).since(clock::now());
    let refused = match read_whole(body, limits.body_bytes, time_left, memory).await {
        Ok(bytes) => return Ok(bytes),
        Err(refused) => refused,
    };

    let (status, reason, pause) = match refused.fault {
        BodyFault::CutShort => (StatusCode::BAD_REQUEST, "body-cut-short", None),
        BodyFault::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", None),
        BodyFault::TooSlow => (StatusCode::REQUEST_TIMEOUT, "body-too-slow", None),
        BodyFault::MemoryFull(pause) => (StatusCode::SERVICE_UNAVAILABLE, MEMORY_FULL, Some(pause)),
    };
    Err(EarlyResponse {
        pause,
        closes: refused.discard(),
        ..EarlyResponse::new(status, reason)
    })
}

/// Returns the refusal of a request by a node that takes none now.
fn not_ready(reason: &'static str) -> EarlyResponse {
    EarlyResponse {
        pause: Some(NOT_READY_RETRY_AFTER),
        ..EarlyResponse::new(StatusCode::SERVICE_UNAVAILABLE, reason)
    }
}

/// Returns the response that forwards a target's, and the reason if that one is malformed.
fn forwarded_response(
    fields: &CompletedFields,
    body: Box<dyn BodyStream>,
) -> (Response<ServerBody>, Option<Arc<str>>) {
    let mut builder = Response::builder().status(fields.status);
    for field in &fields.headers {
        builder = builder.header(&*field.name, field.value.as_ref());
    }

    match builder.body(streamed_body(body)) {
        Ok(response) => (response, None),
        Err(_malformed) => (
            plain_response(StatusCode::BAD_GATEWAY, "malformed-answer", None),
            Some(Arc::from("malformed-answer")),
        ),
    }
}
