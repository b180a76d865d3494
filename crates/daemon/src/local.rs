//! The HTTP server for the announcements of the daemon's target.

use crate::{
    agent::{AgentCommand, AgentHandle, command::TargetNotice},
    directory::DirectoryHandle,
    fleet::NodeEntry,
};
use bytes::Bytes;
use compio::time::sleep;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};
use wagtail_core::{ids::ServiceName, ports::LocalFuture, units::LocalMoment};
use wagtail_net::{
    clock,
    request_body::RequestBody,
    server::{HttpHandler, ServerBody, whole_body},
};

/// The maximum size of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 << 10;

/// The time without an announcement after which a target counts as silent. A target announces
/// itself every second.
const MAX_SILENCE: Duration = Duration::from_millis(2_200);

/// The interval between two checks for a silent target.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// `AnnounceBody` is the JSON body of an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
struct AnnounceBody {
    /// The service that the target serves.
    service: ServiceName,
    /// The address of the target.
    address: SocketAddr,
    /// The number of requests that the target runs at a time.
    slots: u32,
    /// Whether the target refuses requests with an outdated fencing token.
    #[serde(default)]
    fenced: bool,
    /// Whether the target wants to leave.
    #[serde(default)]
    draining: bool,
    /// The start time of the target in milliseconds of its own clock.
    #[serde(default)]
    started_ms: u64,
}

/// `LocalHandler` handles the announcements of the target and publishes the entry of the node.
#[derive(Debug)]
pub struct LocalHandler {
    agent: AgentHandle,
    directory: DirectoryHandle,
    entry: RefCell<NodeEntry>,
    leaving: Cell<bool>,
    announced: Cell<LocalMoment>,
}

impl LocalHandler {
    /// Creates the handler of a node whose entry has no target yet.
    pub fn new(agent: AgentHandle, directory: DirectoryHandle, entry: NodeEntry) -> Self {
        Self {
            agent,
            directory,
            entry: RefCell::new(entry),
            leaving: Cell::new(false),
            announced: Cell::new(clock::now()),
        }
    }

    /// Publishes that the node itself is leaving.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.entry.borrow_mut().leaving = true;
        self.directory.publish(self.entry.borrow().clone());
    }

    /// Notifies the agent task when the target stops announcing itself. Runs for as long as the
    /// daemon does.
    pub async fn watch(&self) {
        let mut silent = false;

        loop {
            sleep(SILENCE_CHECK_INTERVAL).await;

            let was_silent = silent;
            silent = clock::now().since(self.announced.get()) > MAX_SILENCE;
            if silent && !was_silent {
                self.agent.tell(AgentCommand::TargetSilent);
            }
        }
    }

    /// Handles one HTTP request, which must be an announcement.
    async fn answer(&self, request: Request<RequestBody>) -> Response<ServerBody> {
        if request.method() != Method::POST || request.uri().path() != "/v1/announce" {
            return respond(StatusCode::NOT_FOUND, "the call is POST /v1/announce");
        }

        let body = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES)
            .collect()
            .await;
        let body = match body {
            Ok(body) => body.to_bytes(),
            Err(error) => return respond(StatusCode::BAD_REQUEST, error.to_string()),
        };

        match serde_json::from_slice::<AnnounceBody>(&body) {
            Ok(announcement) => {
                self.take(announcement);
                respond(StatusCode::OK, "accepted")
            }
            Err(error) => respond(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    /// Passes an announcement to the agent task, and publishes the entry of the node if it changed.
    fn take(&self, announcement: AnnounceBody) {
        self.announced.set(clock::now());

        let mut entry = self.entry.borrow().clone();
        entry.service = Some(announcement.service.clone());
        entry.fenced = announcement.fenced;
        entry.leaving = announcement.draining || self.leaving.get();

        if entry != *self.entry.borrow() {
            *self.entry.borrow_mut() = entry.clone();
            self.directory.publish(entry);
        }

        self.agent.tell(AgentCommand::Announced(TargetNotice {
            service: announcement.service,
            address: announcement.address,
            slots: announcement.slots,
            fenced: announcement.fenced,
            draining: announcement.draining,
            started_ms: announcement.started_ms,
        }));
    }
}

impl HttpHandler for LocalHandler {
    fn handle(&self, request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(self.answer(request))
    }
}

/// Creates a response with a text body.
fn respond(status: StatusCode, text: impl Into<Bytes>) -> Response<ServerBody> {
    let mut response = Response::new(whole_body(text));
    *response.status_mut() = status;

    response
}
