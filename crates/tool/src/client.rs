//! The client of a node's administration API.

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

/// The time to wait for a response, longer than the 10 seconds after which a node abandons a
/// call of its own.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// The time in milliseconds for which a node is asked to hold a watch open.
const WATCH_WAIT_MS: u64 = 10_000;
/// The header of every response of a callers port; an admin port never sends it.
const CALLERS_HEADER: &str = "wagtail-verdict";

/// `AdminClient` calls the administration API of one node.
#[derive(Debug)]
pub struct AdminClient {
    client: Client,
    node: SocketAddr,
    token: Option<String>,
}

impl AdminClient {
    /// Creates a client of the node with the given admin address, without a token.
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

    /// Sets the bearer token that is sent with each request, if there is one.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Asks the node to make a plan from an intent; nothing is in force before it is confirmed.
    ///
    /// # Errors
    ///
    /// Fails when the node is unreachable or refuses.
    pub async fn make_plan(&self, intent: &IntentDocument) -> Result<PlanDocument> {
        let request = self.request(Method::POST, "/v1/plans")?;

        self.call(self.with_body(request, intent)?).await
    }

    /// Returns the plan with the given identifier.
    ///
    /// # Errors
    ///
    /// Fails when the node is unreachable or does not know the plan.
    pub async fn read_plan(&self, plan: &str) -> Result<PlanDocument> {
        let path = format!("/v1/plans/{plan}");

        self.call(self.request(Method::GET, &path)?).await
    }

    /// Confirms a plan that was made for the given version of the configuration.
    ///
    /// # Errors
    ///
    /// Fails with [`ToolError::NoAnswer`] when the plan may be in force although no response
    /// arrived; the exit status of other errors tells whether it may be in force.
    pub async fn confirm(&self, plan: &str, base_version: u64) -> Result<ConfirmReport> {
        let path = format!("/v1/plans/{plan}/confirm");
        let request = self.request(Method::POST, &path)?;
        let request = self.with_body(request, &ConfirmRequest { base_version })?;

        // Once the request is sent, a lost response says nothing about whether it took effect.
        self.call(request).await.map_err(|error| match error {
            ToolError::Unreachable { node, reason } => ToolError::NoAnswer { node, reason },
            other => other,
        })
    }

    /// Returns the state of the node.
    ///
    /// # Errors
    ///
    /// Fails when the node is unreachable or refuses.
    pub async fn status(&self) -> Result<StatusReport> {
        self.call(self.request(Method::GET, "/v1/status")?).await
    }

    /// Returns the services in force at the node.
    ///
    /// # Errors
    ///
    /// Fails when the node is unreachable or refuses.
    pub async fn services(&self) -> Result<ServicesReport> {
        self.call(self.request(Method::GET, "/v1/services")?).await
    }

    /// Returns the owner of a key of a service.
    ///
    /// # Errors
    ///
    /// Fails when the node is unreachable or refuses.
    pub async fn owner(&self, service: &ServiceName, key: &str) -> Result<OwnerReport> {
        let path = format!("/v1/owner/{service}");
        let request = self.request(Method::GET, &path)?;
        let request = request.query(&[("key", key)]);

        self.call(request.map_err(|error| self.unreachable(&error))?)
            .await
    }

    /// Waits until a version after the given one is in force or the node ends the wait, and returns
    /// what is in force then.
    ///
    /// # Errors
    ///
    /// Fails when the node is unreachable or refuses.
    pub async fn watch(&self, after: u64) -> Result<WatchReport> {
        let path = format!("/v1/watch?after={after}&wait_ms={WATCH_WAIT_MS}");

        self.call(self.request(Method::GET, &path)?).await
    }

    /// Creates a request with the token.
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

    /// Adds a JSON body to a request.
    fn with_body(&self, request: RequestBuilder, body: &impl Serialize) -> Result<RequestBuilder> {
        let text = serde_json::to_string(body).map_err(|error| self.unreachable(&error))?;
        let request = request
            .header("content-type", "application/json")
            .map_err(|error| self.unreachable(&error))?;

        Ok(request.body(text))
    }

    /// Sends a request and decodes its complete response.
    async fn call<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let exchange = async {
            let response = request.send().await?;
            let status = response.status().as_u16();
            let for_callers = response.headers().contains_key(CALLERS_HEADER);

            Ok::<_, cyper::Error>((status, for_callers, response.bytes().await?))
        };

        let outcome = time::timeout(RESPONSE_TIMEOUT, exchange).await;
        let (status, for_callers, body) = outcome
            .map_err(|_elapsed| {
                let waited = RESPONSE_TIMEOUT.as_secs();

                self.unreachable(&format!("no answer within {waited} s"))
            })?
            .map_err(|error| self.unreachable(&error_chain(&error)))?;

        if for_callers {
            return Err(ToolError::Usage {
                argument: "--node",
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

    /// Returns the error for a call that got no usable response.
    fn unreachable(&self, reason: &impl ToString) -> ToolError {
        ToolError::Unreachable {
            node: self.node.to_string(),
            reason: reason.to_string(),
        }
    }
}

/// Decodes the body of an error response. If another program on the port wrote it, the report
/// holds just the status.
fn read_error(status: u16, body: &[u8]) -> ErrorReport {
    serde_json::from_slice(body)
        .unwrap_or_else(|_| ErrorReport::new("http-error", format!("HTTP status {status}")))
}

/// Returns an error and its sources on one line.
fn error_chain(error: &dyn std::error::Error) -> String {
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
