//! The administration API.

use crate::errors::{Result, ToolError};
use compio::time;
use cyper::{Client, RequestBuilder};
use http::Method;
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};
use wagtail_core::ids::ServiceName;
use wagtail_intent::{
    IntentDocument, PlanDocument,
    reports::{
        ConfirmReport, ConfirmRequest, ErrorReport, OwnerReport, ServicesReport, StatusReport,
        WatchReport,
    },
};

/// The time to wait for an answer; a node gives up a call of its own after 10 seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// The time in milliseconds that a node is asked to hold a watch.
const WATCH_WAIT_MS: u64 = 10_000;
/// The header of every answer of a callers port, which an admin port never sends.
const CALLERS_HEADER: &str = "wagtail-verdict";

/// `AdminClient` calls the administration API of one node.
#[derive(Debug)]
pub struct AdminClient {
    client: Client,
    node: SocketAddr,
    token: Option<String>,
}

impl AdminClient {
    /// Makes the client of a node.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP library cannot be set up.
    pub fn new(node: SocketAddr) -> Result<Self> {
        let client = Client::builder().no_proxy().build();

        Ok(Self {
            client: client.map_err(|error| ToolError::Unreachable {
                node: node.to_string(),
                reason: error.to_string(),
            })?,
            node,
            token: None,
        })
    }

    /// Sets the token.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Makes a plan.
    ///
    /// # Errors
    ///
    /// Fails when the node is out of reach or refuses.
    pub async fn make_plan(&self, intent: &IntentDocument) -> Result<PlanDocument> {
        let request = self.request(Method::POST, "/v1/plans")?;

        self.call(self.with_body(request, intent)?).await
    }

    /// Reads a plan.
    ///
    /// # Errors
    ///
    /// Fails when the node is out of reach or knows no such plan.
    pub async fn read_plan(&self, plan: &str) -> Result<PlanDocument> {
        let path = format!("/v1/plans/{plan}");

        self.call(self.request(Method::GET, &path)?).await
    }

    /// Confirms a plan.
    ///
    /// # Errors
    ///
    /// Fails with [`ToolError::NoAnswer`] when the plan may be in force, and otherwise when it is
    /// not.
    pub async fn confirm(&self, plan: &str, base_version: u64) -> Result<ConfirmReport> {
        let path = format!("/v1/plans/{plan}/confirm");
        let request = self.request(Method::POST, &path)?;
        let request = self.with_body(request, &ConfirmRequest { base_version })?;

        // Once the request is on its way, a lost answer says nothing about its effect.
        self.call(request).await.map_err(|error| match error {
            ToolError::Unreachable { node, reason } => ToolError::NoAnswer { node, reason },
            other => other,
        })
    }

    /// Reads the state of the node.
    ///
    /// # Errors
    ///
    /// Fails when the node is out of reach or refuses.
    pub async fn status(&self) -> Result<StatusReport> {
        self.call(self.request(Method::GET, "/v1/status")?).await
    }

    /// Reads the services in force.
    ///
    /// # Errors
    ///
    /// Fails when the node is out of reach or refuses.
    pub async fn services(&self) -> Result<ServicesReport> {
        self.call(self.request(Method::GET, "/v1/services")?).await
    }

    /// Reads who owns a key.
    ///
    /// # Errors
    ///
    /// Fails when the node is out of reach or refuses.
    pub async fn owner(&self, service: &ServiceName, key: &str) -> Result<OwnerReport> {
        let path = format!("/v1/owner/{service}");
        let request = self.request(Method::GET, &path)?;
        let request = request.query(&[("key", key)]);

        self.call(request.map_err(|error| self.unreachable(&error))?)
            .await
    }

    /// Waits for a version after another one, and returns what is in force then.
    ///
    /// # Errors
    ///
    /// Fails when the node is out of reach or refuses.
    pub async fn watch(&self, after: u64) -> Result<WatchReport> {
        let path = format!("/v1/watch?after={after}&wait_ms={WATCH_WAIT_MS}");

        self.call(self.request(Method::GET, &path)?).await
    }

    /// Starts a request with the token.
    fn request(&self, method: Method, path: &str) -> Result<RequestBuilder> {
        let url = format!("http://{}{path}", self.node);
        let request = self
            .client
            .request(method, url)
            .map_err(|error| self.unreachable(&error))?;

        match &self.token {
            Some(token) => request
                .bearer_auth(token)
                .map_err(|error| self.unreachable(&error)),
            None => Ok(request),
        }
    }

    /// Adds a JSON body.
    fn with_body(&self, request: RequestBuilder, body: &impl Serialize) -> Result<RequestBuilder> {
        let text = serde_json::to_string(body).map_err(|error| self.unreachable(&error))?;
        let request = request
            .header("content-type", "application/json")
            .map_err(|error| self.unreachable(&error))?;

        Ok(request.body(text))
    }

    /// Sends a request and reads the whole answer.
    async fn call<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let exchange = async {
            let response = request.send().await?;
            let status = response.status().as_u16();
            let for_callers = response.headers().contains_key(CALLERS_HEADER);

            Ok::<_, cyper::Error>((status, for_callers, response.bytes().await?))
        };

        let answer = time::timeout(ANSWER_TIMEOUT, exchange).await;
        let (status, for_callers, body) = answer
            .map_err(|_elapsed| {
                let waited = ANSWER_TIMEOUT.as_secs();

                self.unreachable(&format!("no answer within {waited} s"))
            })?
            .map_err(|error| self.unreachable(&chain(&error)))?;

        if for_callers {
            return Err(ToolError::Usage {
                what: "--node",
                reason: format!(
                    "{} is a callers port; give the admin port, `listen.admin` of the settings",
                    self.node
                ),
            });
        }
        if (200..300).contains(&status) {
            return serde_json::from_slice(&body)
                .map_err(|error| self.unreachable(&format!("unexpected answer: {error}")));
        }

        Err(ToolError::Answered {
            status,
            report: Box::new(read_error(status, &body)),
        })
    }

    /// Makes the error for a call that got no usable answer.
    fn unreachable(&self, reason: &impl ToString) -> ToolError {
        ToolError::Unreachable {
            node: self.node.to_string(),
            reason: reason.to_string(),
        }
    }
}

/// Reads the body of a failed call, which another program on the port may have written.
fn read_error(status: u16, body: &[u8]) -> ErrorReport {
    serde_json::from_slice(body)
        .unwrap_or_else(|_| ErrorReport::new("http-error", format!("HTTP status {status}")))
}

/// Returns an error with its causes in one line.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();

    while let Some(error) = cause {
        let next = error.to_string();
        if !text.contains(&next) {
            text = format!("{text}: {next}");
        }
        cause = error.source();
    }

    text
}
