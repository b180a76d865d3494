//! Dispatches requests and grants to the target over HTTP/1.1.

use crate::headers;
use bytes::Bytes;
use compio::time::timeout;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, http::request::Builder, http::response::Parts};
use serde::Serialize;
use std::{net::SocketAddr, sync::Arc};
use wagtail_core::{
    CoreError, Result,
    ids::{NodeName, ServiceName},
    ports::{LocalFuture, TargetGrant, TargetPort, TargetRequest, TargetResponse},
    request::{HeaderField, ResponseHead},
    verdict::RunVerdict,
};
use wagtail_net::{
    client::{HttpPool, PooledResponse},
    clock,
};

/// The size limit in bytes of the response to a renewal of grants.
const MAX_GRANT_RESPONSE_BYTES: usize = 64 << 10;

/// The time in milliseconds after which a target that sheds load is expected to accept requests
/// again.
const SHED_RETRY_MS: u64 = 100;

/// `GrantBody` is the JSON body of a request that renews and revokes grants.
#[derive(Debug)]
#[derive(Serialize)]
struct GrantBody {
    /// The renewed and revoked grants.
    grants: Vec<TargetGrant>,
    /// The time of sending in microseconds, on the clock that the daemon and the target share.
    sent_us: u64,
}

/// `HttpTarget` is the target of the daemon, reached through a pool of HTTP connections.
#[derive(Debug)]
pub struct HttpTarget {
    node: NodeName,
    service: ServiceName,
    pool: HttpPool,
    host: Arc<str>,
}

impl HttpTarget {
    /// Creates the client of a target that announced itself at the given address.
    pub fn new(node: NodeName, service: ServiceName, address: SocketAddr) -> Self {
        let host = Arc::from(address.to_string());

        Self {
            node,
            service,
            pool: HttpPool::new(address),
            host,
        }
    }

    /// Returns the address that the target announced.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Builds the HTTP request for a dispatched request.
    fn request(&self, target_request: &TargetRequest) -> Result<Request<Full<Bytes>>> {
        let head = &target_request.head;
        let mut builder = Request::builder()
            .method(&*head.method)
            .uri(&*head.path)
            .header("host", &*self.host)
            .header(headers::REQUEST_ID, head.id.as_str())
            .header(headers::TENANT, head.tenant.as_str())
            .header(headers::OPERATION, head.operation.as_str())
            .header(headers::SENT, clock::now().as_micros())
            .header(
                headers::TIME_LEFT,
                u64::try_from(target_request.time_left.as_millis()).unwrap_or(0),
            );

        if let (Some(key), Some(epoch)) = (&head.key, target_request.epoch) {
            builder = builder
                .header(headers::KEY, &**key)
                .header(headers::EPOCH, epoch.0);
        }
        if let Some(slice) = target_request.slice {
            builder = builder.header(headers::SLICE, slice);
        }

        with_fields(builder, &head.headers)
            .body(Full::new(target_request.body.clone()))
            .map_err(|error| CoreError::invalid_request(error.to_string()))
    }

    /// Converts an HTTP response of the target into a [`TargetResponse`].
    ///
    /// # Errors
    ///
    /// Fails when the response refuses the request before its start. Fails with the verdict `Unknown` when it
    /// does not name exactly this request: a target may write an earlier response once more on a kept
    /// connection.
    fn response(
        &self,
        target_request: &TargetRequest,
        response: PooledResponse,
    ) -> Result<TargetResponse> {
        let parts = response.parts();

        if !names_only(parts, target_request.head.id.as_str()) {
            return Err(CoreError::unavailable(
                format!("{}: the response does not name its request", self.host),
                RunVerdict::Unknown,
            ));
        }
        if let Some(reason) = parts.headers.get(headers::REFUSED) {
            return Err(refusal(reason.to_str().unwrap_or("")));
        }

        let head = ResponseHead {
            id: target_request.head.id.clone(),
            status: parts.status.as_u16(),
            verdict: RunVerdict::Done,
            node: self.node.clone(),
            refusal: None,
            owner: None,
            epoch: target_request.epoch,
            retry_after_ms: None,
            load: None,
            headers: end_to_end_fields(parts),
        };

        Ok(TargetResponse {
            head,
            body: Box::new(response),
        })
    }
}

impl TargetPort for HttpTarget {
    fn dispatch(&self, target_request: TargetRequest) -> LocalFuture<'_, Result<TargetResponse>> {
        Box::pin(async move {
            let request = self.request(&target_request)?;

            // Dropping the future at the timeout closes the connection, which cancels the request.
            let response = timeout(target_request.time_left, self.pool.send(request))
                .await
                .unwrap_or(Err(CoreError::DeadlineExceeded {
                    verdict: RunVerdict::Unknown,
                }))?;

            self.response(&target_request, response)
        })
    }

    fn grant(&self, grants: Vec<TargetGrant>) -> LocalFuture<'_, Result<()>> {
        Box::pin(async move {
            let body = serde_json::to_vec(&GrantBody {
                grants,
                sent_us: clock::now().as_micros(),
            })
            .map_err(|error| CoreError::malformed(error.to_string()))?;
            let request = Request::builder()
                .method(Method::POST)
                .uri("/wagtail/grants")
                .header("host", &*self.host)
                .body(Full::new(Bytes::from(body)))
                .map_err(|error| CoreError::invalid_request(error.to_string()))?;

            let mut response = self.pool.send(request).await?;
            let status = response.parts().status;
            response.read_body(MAX_GRANT_RESPONSE_BYTES).await?;

            if status == StatusCode::OK {
                Ok(())
            } else {
                Err(CoreError::unavailable(
                    format!("the target answered a grant with status {status}"),
                    RunVerdict::NotRun,
                ))
            }
        })
    }

    fn service(&self) -> &ServiceName {
        &self.service
    }
}

/// Returns whether a response names the given request and no other one.
fn names_only(parts: &Parts, request_id: &str) -> bool {
    let mut names = parts.headers.get_all(headers::REQUEST_ID).iter();

    names.next().is_some_and(|name| name == request_id) && names.next().is_none()
}

/// Returns the error for a refusal of the target before the start of a request.
fn refusal(reason: &str) -> CoreError {
    match reason {
        "shed" => CoreError::overloaded("the target sheds load", SHED_RETRY_MS),
        "deadline" => CoreError::DeadlineExceeded {
            verdict: RunVerdict::NotRun,
        },
        other => CoreError::Refused {
            reason: Arc::from(other),
        },
    }
}

/// Adds header fields to a request.
fn with_fields(builder: Builder, fields: &[HeaderField]) -> Builder {
    fields.iter().fold(builder, |builder, field| {
        builder.header(&*field.name, field.value.as_ref())
    })
}

/// Returns the header fields of a response that are forwarded end to end.
fn end_to_end_fields(parts: &Parts) -> Vec<HeaderField> {
    parts
        .headers
        .iter()
        .filter(|(name, _)| headers::is_end_to_end(name.as_str()))
        .map(|(name, value)| HeaderField {
            name: Arc::from(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
