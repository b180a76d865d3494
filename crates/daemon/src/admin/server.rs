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
use hyper::{Method, Request, Response, StatusCode, Uri, body::Incoming};
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
use wagtail_net::server::{HttpHandler, ServerBody, whole_body};

/// The largest body of a call in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The longest wait of a watch in milliseconds.
const MAX_WATCH_MS: u64 = 30_000;

/// The time between two looks at the version in force during a watch.
const WATCH_POLL: Duration = Duration::from_millis(20);

/// `AdminOptions` are the collaborators of the server.
#[derive(Debug)]
pub struct AdminOptions {
    /// The bearer token.
    pub token: Arc<str>,
    /// The platform.
    pub store: Rc<dyn PlatformStore>,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The leases.
    pub view: OwnershipView,
    /// What the status is read from.
    pub status: StatusSources,
    /// The seed of plan identifiers and pauses.
    pub seed: u64,
}

/// `AdminHandler` answers the operators.
#[derive(Debug)]
pub struct AdminHandler {
    options: AdminOptions,
    calls: Cell<u64>,
}

/// `Reply` is the answer to a call, or the error in its place.
type Reply = std::result::Result<Response<ServerBody>, Failure>;

/// `Failure` is the error of a call with its HTTP status.
#[derive(Debug)]
struct Failure {
    status: StatusCode,
    report: Box<ErrorReport>,
}

impl Failure {
    /// Makes a failure.
    fn new(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            report: Box::new(ErrorReport::new(code, message)),
        }
    }

    /// Makes the failure of a call that does not exist.
    fn not_found(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not-found", message)
    }

    /// Makes the failure of a malformed call.
    fn invalid(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "invalid-request", message)
    }
}

impl From<IntentError> for Failure {
    fn from(error: IntentError) -> Self {
        Self {
            status: intent_status(&error),
            report: Box::new(ErrorReport::from(&error)),
        }
    }
}

impl AdminHandler {
    /// Makes the handler.
    pub fn new(options: AdminOptions) -> Self {
        Self {
            options,
            calls: Cell::new(0),
        }
    }

    /// Answers one call.
    async fn answer(&self, request: Request<Incoming>) -> Response<ServerBody> {
        let reply = if self.is_allowed(&request) {
            self.route(request).await
        } else {
            Err(Failure::new(
                StatusCode::UNAUTHORIZED,
                "unauthorized",
                "the bearer token is missing or is not the one of the settings",
            ))
        };

        reply.unwrap_or_else(|failure| json(failure.status, &failure.report))
    }

    /// Returns whether a call carries the token.
    fn is_allowed(&self, request: &Request<Incoming>) -> bool {
        let expected = format!("Bearer {}", self.options.token);

        request
            .headers()
            .get("authorization")
            .is_some_and(|value| value.as_bytes() == expected.as_bytes())
    }

    /// Finds what a call asks for.
    async fn route(&self, request: Request<Incoming>) -> Reply {
        let uri = request.uri().clone();
        let path: Vec<&str> = uri.path().trim_matches('/').split('/').collect();

        match (request.method().clone(), path.as_slice()) {
            (Method::POST, ["v1", "plans"]) => self.plan(request).await,
            (Method::GET, ["v1", "plans", plan]) => self.show_plan(plan).await,
            (Method::POST, ["v1", "plans", plan, "confirm"]) => self.confirm(plan, request).await,
            (Method::GET, ["v1", "status"]) => {
                Ok(json(StatusCode::OK, &self.options.status.report().await))
            }
            (Method::GET, ["v1", "services"]) => Ok(self.services()),
            (Method::GET, ["v1", "owner", service]) => self.owner(service, &uri).await,
            (Method::GET, ["v1", "watch"]) => self.watch(&uri).await,
            (method, _) => Err(Failure::not_found(format!(
                "no call {method} {}",
                uri.path()
            ))),
        }
    }

    /// Makes a plan for an intent.
    async fn plan(&self, request: Request<Incoming>) -> Reply {
        let body = read_body(request).await?;
        let value = serde_json::from_slice(&body)
            .map_err(|error| Failure::invalid(format!("the intent is not valid JSON: {error}")))?;
        let intent = parse_intent(&value)?;

        let call = self.next_call();
        let event = IntentEvent::PlanRequested {
            call,
            intent,
            view: self.fleet_view().await,
            nonce: self.options.seed ^ (call.0 << 40),
        };

        match self.run(event).await? {
            IntentReply::Planned { plan } => Ok(json(StatusCode::OK, &plan)),
            reply => Err(unexpected(&reply)),
        }
    }

    /// Returns the fleet as plans see it.
    async fn fleet_view(&self) -> FleetView {
        fleet_view(
            &*self.options.store,
            &self.options.fleet.load(),
            &self.options.view,
        )
        .await
    }

    /// Shows a plan.
    async fn show_plan(&self, plan: &str) -> Reply {
        let read = read_plan(&*self.options.store, plan)
            .await
            .map_err(|error| {
                Failure::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    error.code(),
                    error.to_string(),
                )
            })?;

        read.map(|plan| json(StatusCode::OK, &plan)).ok_or_else(|| {
            Failure::from(IntentError::UnknownPlan {
                plan: plan.to_owned(),
            })
        })
    }

    /// Confirms a plan.
    async fn confirm(&self, plan: &str, request: Request<Incoming>) -> Reply {
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
                Ok(json(StatusCode::OK, &ConfirmReport { version }))
            }
            reply => Err(unexpected(&reply)),
        }
    }

    /// Lists the services in force.
    fn services(&self) -> Response<ServerBody> {
        let fleet = self.options.fleet.load();
        let report = ServicesReport {
            version: fleet.config.version,
            services: fleet.config.services.clone(),
            draining: fleet.config.draining.clone(),
        };

        json(StatusCode::OK, &report)
    }

    /// Tells who owns a key.
    async fn owner(&self, service: &str, uri: &Uri) -> Reply {
        let service =
            ServiceName::new(service).map_err(|error| Failure::invalid(error.to_string()))?;
        let key = query_value(uri, "key")
            .ok_or_else(|| Failure::invalid("the query parameter key is missing"))?;
        let fleet = self.options.fleet.load();
        let spec = fleet
            .config
            .service(&service)
            .ok_or_else(|| Failure::not_found(format!("the service {service} is not declared")))?;

        if !spec.keyed {
            return Err(Failure::invalid(format!(
                "the service {service} is not keyed"
            )));
        }

        let slice = SliceId::new(
            service,
            KeyHash::new(key.as_bytes()).slice_index(spec.slices),
        );

        Ok(json(StatusCode::OK, &self.owner_report(slice).await))
    }

    /// Describes the ownership of a slice.
    async fn owner_report(&self, slice: SliceId) -> OwnerReport {
        // The members matter to people only, so that no daemon keeps them all.
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

    /// Reads the members of a lease from the platform; none while it does not answer.
    async fn read_members(&self, slice: &SliceId) -> Vec<NodeName> {
        let stored = self.options.store.get(&record_key(slice)).await;

        stored
            .ok()
            .flatten()
            .and_then(|stored| serde_json::from_str::<LeaseRecord>(&stored.value).ok())
            .map(|record| record.members)
            .unwrap_or_default()
    }

    /// Waits for a version later than the given one.
    async fn watch(&self, uri: &Uri) -> Reply {
        let after: u64 = number(uri, "after", 0)?;
        let wait_ms = number(uri, "wait_ms", 0)?.min(MAX_WATCH_MS);
        let mut left = Duration::from_millis(wait_ms);

        while self.options.fleet.load().config.version <= after && !left.is_zero() {
            let pause = left.min(WATCH_POLL);
            sleep(pause).await;
            left -= pause;
        }

        let fleet = self.options.fleet.load();
        let report = WatchReport {
            version: fleet.config.version,
            plan: fleet.config.plan.clone(),
        };

        Ok(json(StatusCode::OK, &report))
    }

    /// Runs an operator's call against the platform.
    async fn run(&self, event: IntentEvent) -> std::result::Result<IntentReply, Failure> {
        let reply = run_call(&self.options.store, self.options.seed, event).await;

        match reply {
            Some(IntentReply::Failed { error }) => Err(error.into()),
            Some(reply) => Ok(reply),
            None => Err(Failure::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                "no-answer",
                "the call ended without an answer; repeat it",
            )),
        }
    }

    /// Returns a number for the next call.
    fn next_call(&self) -> CallId {
        let call = self.calls.get() + 1;
        self.calls.set(call);

        CallId(call)
    }
}

impl HttpHandler for AdminHandler {
    fn handle(&self, request: Request<Incoming>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(self.answer(request))
    }
}

/// Returns the HTTP status of a failed intent.
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

/// Makes the failure of a reply that does not fit its call.
fn unexpected(reply: &IntentReply) -> Failure {
    Failure::new(
        StatusCode::INTERNAL_SERVER_ERROR,
        "unexpected-reply",
        format!("the call ended with {reply:?}"),
    )
}

/// Reads the body of a call.
async fn read_body(request: Request<Incoming>) -> std::result::Result<Bytes, Failure> {
    Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| Failure::invalid(format!("the body cannot be read: {error}")))
}

/// Decodes the body of a call.
fn parse_body<T: DeserializeOwned>(body: &[u8]) -> std::result::Result<T, Failure> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::invalid(format!("the body is not valid: {error}")))
}

/// Returns the decoded value of a query parameter.
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

/// Returns a number among the query parameters.
fn number(uri: &Uri, name: &str, default: u64) -> std::result::Result<u64, Failure> {
    query_value(uri, name).map_or(Ok(default), |text| {
        text.parse().map_err(|_not_a_number| {
            Failure::invalid(format!("the query parameter {name} is not a number"))
        })
    })
}

/// Makes an answer in JSON.
fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<ServerBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(whole_body(body));

    *response.status_mut() = status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );

    response
}
