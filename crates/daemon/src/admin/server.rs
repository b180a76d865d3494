//! The HTTP server of the administration API.

use crate::{
    admin::{
        operator::{read_plan, run_call},
        status::StatusSources,
        view::{fleet_view, owner_identity},
    },
    fleet::FleetCell,
    ownership::{OwnershipView, calls::record_key},
};
use bytes::Bytes;
use compio::time::sleep;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode, Uri};
use percent_encoding::percent_decode_str;
use serde::{Serialize, de::DeserializeOwned};
use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};
use wagtail_core::{
    ids::{NodeName, ServiceName},
    lease::LeaseRecord,
    ports::{LocalFuture, PlatformStore},
    slice::{KeyHash, SliceId},
};
use wagtail_intent::{
    CallId, FleetView, IntentError, IntentEvent, IntentReply, parse_intent,
    reports::{
        ConfirmReport, ConfirmRequest, ErrorReport, OwnerReport, ServicesReport, WatchReport,
    },
};
use wagtail_net::{
    request_body::RequestBody,
    server::{HttpHandler, ServerBody, whole_body},
};

/// The largest request body in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The longest time that a watch request waits, in milliseconds.
const MAX_WATCH_MS: u64 = 30_000;

/// The time between two checks of the version in force during a watch request.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `AdminOptions` holds what the administration API works with.
#[derive(Debug)]
pub struct AdminOptions {
    /// The bearer token that every request must carry.
    pub token: Arc<str>,
    /// The platform, which stores plans, the configuration and lease records.
    pub store: Rc<dyn PlatformStore>,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The known routes and the state of the leases.
    pub view: OwnershipView,
    /// The sources of the status report.
    pub status: StatusSources,
    /// The seed of plan identifiers and of the pauses between attempts.
    pub seed: u64,
}

/// `AdminHandler` handles the HTTP requests of operators.
#[derive(Debug)]
pub struct AdminHandler {
    options: AdminOptions,
    calls: Cell<u64>,
}

/// `CallReply` is the response to a call, or its failure.
type CallReply = std::result::Result<Response<ServerBody>, CallFailure>;

/// `CallFailure` is the error report of a call with its HTTP status.
#[derive(Debug)]
struct CallFailure {
    status: StatusCode,
    report: Box<ErrorReport>,
}

impl CallFailure {
    /// Creates a failure with a status, an error code and a message.
    fn new(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            report: Box::new(ErrorReport::new(code, message)),
        }
    }

    /// Creates the failure (404) of a call to something that does not exist.
    fn not_found(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not-found", message)
    }

    /// Creates the failure (400) of a malformed call.
    fn invalid(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "invalid-request", message)
    }
}

impl From<IntentError> for CallFailure {
    fn from(error: IntentError) -> Self {
        Self {
            status: intent_status(&error),
            report: Box::new(ErrorReport::from(&error)),
        }
    }
}

impl AdminHandler {
    /// Creates the handler.
    pub fn new(options: AdminOptions) -> Self {
        Self {
            options,
            calls: Cell::new(0),
        }
    }

    /// Checks the token of a request and returns the response.
    async fn respond(&self, request: Request<RequestBody>) -> Response<ServerBody> {
        let reply = if self.is_allowed(&request) {
            self.route(request).await
        } else {
            Err(CallFailure::new(
                StatusCode::UNAUTHORIZED,
                "unauthorized",
                "the bearer token is missing or is not the one of the settings",
            ))
        };

        reply.unwrap_or_else(|failure| json_response(failure.status, &failure.report))
    }

    /// Returns whether a request carries the bearer token of the settings.
    fn is_allowed(&self, request: &Request<RequestBody>) -> bool {
        let expected = format!("Bearer {}", self.options.token);

        request
            .headers()
            .get("authorization")
            .is_some_and(|value| value.as_bytes() == expected.as_bytes())
    }

    /// Runs the call that the method and the path of a request name.
    async fn route(&self, request: Request<RequestBody>) -> CallReply {
        let uri = request.uri().clone();
        let path: Vec<&str> = uri.path().trim_matches('/').split('/').collect();

        match (request.method().clone(), path.as_slice()) {
            (Method::POST, ["v1", "plans"]) => self.plan(request).await,
            (Method::GET, ["v1", "plans", plan]) => self.show_plan(plan).await,
            (Method::POST, ["v1", "plans", plan, "confirm"]) => self.confirm(plan, request).await,
            (Method::GET, ["v1", "status"]) => Ok(json_response(
                StatusCode::OK,
                &self.options.status.report().await,
            )),
            (Method::GET, ["v1", "services"]) => Ok(self.services()),
            (Method::GET, ["v1", "owner", service]) => self.owner(service, &uri).await,
            (Method::GET, ["v1", "watch"]) => self.watch(&uri).await,
            (method, _) => Err(CallFailure::not_found(format!(
                "no call {method} {}",
                uri.path()
            ))),
        }
    }

    /// Plans the changes for an intent and stores the plan.
    async fn plan(&self, request: Request<RequestBody>) -> CallReply {
        let body = read_body(request).await?;
        let value = serde_json::from_slice(&body).map_err(|error| {
            CallFailure::invalid(format!("the intent is not valid JSON: {error}"))
        })?;
        let intent = parse_intent(&value)?;

        let call = self.next_call();
        let event = IntentEvent::PlanRequested {
            call,
            intent,
            view: self.fleet_view().await,
            nonce: self.options.seed ^ (call.0 << 40),
        };

        match self.run(event).await? {
            IntentReply::Planned { plan } => Ok(json_response(StatusCode::OK, &plan)),
            reply => Err(unexpected_reply(&reply)),
        }
    }

    /// Returns a current snapshot of the fleet for a plan.
    async fn fleet_view(&self) -> FleetView {
        fleet_view(
            &*self.options.store,
            &self.options.fleet.load(),
            &self.options.view,
        )
        .await
    }

    /// Returns a stored plan.
    async fn show_plan(&self, plan: &str) -> CallReply {
        let read = read_plan(&*self.options.store, plan)
            .await
            .map_err(|error| {
                CallFailure::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    error.code(),
                    error.to_string(),
                )
            })?;

        read.map(|plan| json_response(StatusCode::OK, &plan))
            .ok_or_else(|| {
                CallFailure::from(IntentError::UnknownPlan {
                    plan: plan.to_owned(),
                })
            })
    }

    /// Confirms a plan and writes its configuration to the platform.
    async fn confirm(&self, plan: &str, request: Request<RequestBody>) -> CallReply {
        let confirm: ConfirmRequest = parse_body(&read_body(request).await?)?;
        let fleet = self.options.fleet.load();

        let event = IntentEvent::ConfirmRequested {
            call: self.next_call(),
            plan: plan.to_owned(),
            base_version: confirm.base_version,
            view: self.fleet_view().await,
            held: fleet.config.version,
        };

        match self.run(event).await? {
            IntentReply::Confirmed { version } => {
                Ok(json_response(StatusCode::OK, &ConfirmReport { version }))
            }
            reply => Err(unexpected_reply(&reply)),
        }
    }

    /// Returns the services of the configuration in force.
    fn services(&self) -> Response<ServerBody> {
        let fleet = self.options.fleet.load();
        let report = ServicesReport {
            version: fleet.config.version,
            services: fleet.config.services.clone(),
            draining: fleet.config.draining.clone(),
        };

        json_response(StatusCode::OK, &report)
    }

    /// Returns who owns a key of a keyed service.
    async fn owner(&self, service: &str, uri: &Uri) -> CallReply {
        let service =
            ServiceName::new(service).map_err(|error| CallFailure::invalid(error.to_string()))?;
        let key = query_value(uri, "key")
            .ok_or_else(|| CallFailure::invalid("the query parameter key is missing"))?;
        let fleet = self.options.fleet.load();
        let spec = fleet.config.service(&service).ok_or_else(|| {
            CallFailure::not_found(format!("the service {service} is not declared"))
        })?;

        if !spec.keyed {
            return Err(CallFailure::invalid(format!(
                "the service {service} is not keyed"
            )));
        }

        let slice = SliceId::new(
            service,
            KeyHash::new(key.as_bytes()).slice_index(spec.slices),
        );

        Ok(json_response(
            StatusCode::OK,
            &self.owner_report(slice).await,
        ))
    }

    /// Returns the ownership of a slice: the owner and deputies from the routes, the members from
    /// the platform.
    async fn owner_report(&self, slice: SliceId) -> OwnerReport {
        // Only operators read the members, so the daemons don't keep those of every slice.
        let members = self.read_members(&slice).await;
        let fleet = self.options.fleet.load();
        let routes = self.options.view.routes().borrow();
        let hint = routes.hint(&slice);
        let owner = hint.map(|hint| owner_identity(&fleet, &hint.owner));

        OwnerReport {
            owner,
            epoch: hint.map(|hint| hint.epoch).unwrap_or_default(),
            members,
            deputies: hint.map(|hint| hint.deputies.clone()).unwrap_or_default(),
            slice,
        }
    }

    /// Reads the members of a slice's lease from the platform; empty while it does not respond.
    async fn read_members(&self, slice: &SliceId) -> Vec<NodeName> {
        let stored = self.options.store.get(&record_key(slice)).await;

        stored
            .ok()
            .flatten()
            .and_then(|stored| serde_json::from_str::<LeaseRecord>(&stored.value).ok())
            .map(|record| record.members)
            .unwrap_or_default()
    }

    /// Waits for a configuration version later than the query parameter `after`, for `wait_ms` at
    /// most, and returns the version in force.
    async fn watch(&self, uri: &Uri) -> CallReply {
        let after: u64 = query_number(uri, "after", 0)?;
        let wait_ms = query_number(uri, "wait_ms", 0)?.min(MAX_WATCH_MS);
        let mut remaining = Duration::from_millis(wait_ms);

        while self.options.fleet.load().config.version <= after && !remaining.is_zero() {
            let pause = remaining.min(WATCH_POLL_INTERVAL);
            sleep(pause).await;
            remaining -= pause;
        }

        let fleet = self.options.fleet.load();
        let report = WatchReport {
            version: fleet.config.version,
            plan: fleet.config.plan.clone(),
        };

        Ok(json_response(StatusCode::OK, &report))
    }

    /// Runs an intent event against the platform and returns the reply of the intent machine.
    async fn run(&self, event: IntentEvent) -> std::result::Result<IntentReply, CallFailure> {
        let reply = run_call(&self.options.store, self.options.seed, event).await;

        match reply {
            Some(IntentReply::Failed { error }) => Err(error.into()),
            Some(reply) => Ok(reply),
            None => Err(CallFailure::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                "no-answer",
                "the call ended without an answer; repeat it",
            )),
        }
    }

    /// Returns the identifier of the next call.
    fn next_call(&self) -> CallId {
        let call = self.calls.get() + 1;
        self.calls.set(call);

        CallId(call)
    }
}

impl HttpHandler for AdminHandler {
    fn handle(&self, request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(self.respond(request))
    }
}

/// Returns the HTTP status of an intent error.
fn intent_status(error: &IntentError) -> StatusCode {
    match error {
        IntentError::Faults { .. } | IntentError::WrongVersion { .. } => StatusCode::BAD_REQUEST,
        IntentError::UnknownPlan { .. } => StatusCode::NOT_FOUND,
        IntentError::Refused { .. }
        | IntentError::NoChange { .. }
        | IntentError::Conflict { .. }
        | IntentError::ExpiredPlan { .. } => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Creates the failure for a reply of another kind than the call expects.
fn unexpected_reply(reply: &IntentReply) -> CallFailure {
    CallFailure::new(
        StatusCode::INTERNAL_SERVER_ERROR,
        "unexpected-reply",
        format!("the call ended with {reply:?}"),
    )
}

/// Reads the body of a request, up to [`MAX_BODY_BYTES`].
async fn read_body(request: Request<RequestBody>) -> std::result::Result<Bytes, CallFailure> {
    Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| CallFailure::invalid(format!("the body cannot be read: {error}")))
}

/// Parses the body of a request as JSON.
fn parse_body<T: DeserializeOwned>(body: &[u8]) -> std::result::Result<T, CallFailure> {
    serde_json::from_slice(body)
        .map_err(|error| CallFailure::invalid(format!("the body is not valid: {error}")))
}

/// Returns the percent-decoded value of a query parameter.
fn query_value(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;

    percent_decode_str(value)
        .decode_utf8()
        .ok()
        .map(String::from)
}

/// Returns a numeric query parameter, or the default if it is absent.
fn query_number(uri: &Uri, name: &str, default: u64) -> std::result::Result<u64, CallFailure> {
    query_value(uri, name).map_or(Ok(default), |text| {
        text.parse().map_err(|_not_a_number| {
            CallFailure::invalid(format!("the query parameter {name} is not a number"))
        })
    })
}

/// Creates a response with a JSON body.
fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<ServerBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(whole_body(body));

    *response.status_mut() = status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );

    response
}
