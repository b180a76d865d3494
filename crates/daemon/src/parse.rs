//! Parsing of callers' HTTP requests.

use crate::{fleet::FleetState, identifier::unique_text};
use bytes::Bytes;
use hyper::{HeaderMap, Uri, http::request::Parts};
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    CoreError, Result,
    ids::{RequestId, ServiceName, TenantName},
    request::{HeaderField, RequestHead},
    service::ServiceSpec,
};
use wagtail_target::headers;

/// The header field with the time in milliseconds that the caller waits for the response.
const DEADLINE_HEADER: &str = "wagtail-deadline-ms";

/// The tenant of requests without a tenant header.
const DEFAULT_TENANT: &str = "default";

/// The maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 1_024;

/// `ParsedRequest` is the head of a request and the time that its caller waits.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request without its body.
    pub head: RequestHead,
    /// The time that the caller waits for the response.
    pub wait: Duration,
}

/// `ParseFailure` describes a request that cannot be parsed.
#[derive(Debug)]
pub struct ParseFailure {
    /// The identifier for the response: the caller's if it is valid, otherwise a new one.
    pub id: RequestId,
    /// Whether the service or operation is not declared.
    pub not_found: bool,
    /// The first fault of the request.
    pub error: CoreError,
}

/// Parses the head of a caller's request against the configuration in force.
///
/// # Errors
///
/// Returns the first fault and the identifier for the response when a header field is invalid, or
/// when the service or the operation is not declared.
pub fn parse_request(
    parts: &Parts,
    fleet: &FleetState,
) -> std::result::Result<ParsedRequest, ParseFailure> {
    let (id, id_generated) = match request_id(&parts.headers) {
        Ok(id) => id,
        Err(error) => {
            return Err(ParseFailure {
                id: make_id(),
                not_found: false,
                error,
            });
        }
    };
    let fail = |error| ParseFailure {
        id: id.clone(),
        not_found: false,
        error,
    };
    let unknown = |error| ParseFailure {
        id: id.clone(),
        not_found: true,
        error,
    };

    let (service, path) = split_path(&parts.uri).map_err(unknown)?;
    let spec = fleet.config.service(&service).ok_or_else(|| {
        unknown(CoreError::invalid_request(format!(
            "the service {service} is not declared"
        )))
    })?;
    let operation = spec
        .operation(parts.method.as_str(), &path)
        .ok_or_else(|| {
            let method = &parts.method;
            unknown(CoreError::invalid_request(format!(
                "the service {service} declares no operation for {method} {path}"
            )))
        })?;

    let key = request_key(&parts.headers, spec).map_err(fail)?;
    let tenant = tenant(&parts.headers).map_err(fail)?;
    let wait = wait(&parts.headers, spec).map_err(fail)?;

    let head = RequestHead {
        id: id.clone(),
        id_generated,
        service,
        key,
        tenant,
        operation: operation.name.clone(),
        class: operation.class,
        idempotent: operation.idempotent,
        time_left_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        attempt: 1,
        method: Arc::from(parts.method.as_str()),
        path: Arc::from(path),
        headers: end_to_end_fields(&parts.headers),
    };

    Ok(ParsedRequest { head, wait })
}

/// Creates an identifier that carries its time of issue.
pub fn make_id() -> RequestId {
    RequestId::new(unique_text()).unwrap_or_else(|_| unreachable!("a UUID is printable ASCII"))
}

/// Returns the caller's identifier, or a new one if there is none, and whether it is new.
fn request_id(headers: &HeaderMap) -> Result<(RequestId, bool)> {
    match text_field(headers, headers::REQUEST_ID)? {
        Some(text) => Ok((RequestId::new(text)?, false)),
        None => Ok((make_id(), true)),
    }
}

/// Splits a URI into the service, which is the first segment of the path, and the rest of the path
/// with the query.
fn split_path(uri: &Uri) -> Result<(ServiceName, String)> {
    let path = uri.path().strip_prefix('/').unwrap_or_default();
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let service = ServiceName::new(service)?;

    let below = match uri.query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };

    Ok((service, below))
}

/// Returns the key of a request, which a keyed service requires and any other forbids.
fn request_key(headers: &HeaderMap, spec: &ServiceSpec) -> Result<Option<Arc<str>>> {
    let key = text_field(headers, headers::KEY)?;

    match (spec.keyed, key) {
        (true, Some(key)) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            Err(CoreError::invalid_request(format!(
                "the header {} must hold 1 to {MAX_KEY_BYTES} bytes",
                headers::KEY
            )))
        }
        (true, Some(key)) => Ok(Some(Arc::from(key))),
        (true, None) => Err(CoreError::invalid_request(format!(
            "the service {} is keyed: the header {} is missing",
            spec.name,
            headers::KEY
        ))),
        (false, Some(_)) => Err(CoreError::invalid_request(format!(
            "the service {} is not keyed: the header {} is not allowed",
            spec.name,
            headers::KEY
        ))),
        (false, None) => Ok(None),
    }
}

/// Returns the tenant of a request, or the default tenant if the request names none.
fn tenant(headers: &HeaderMap) -> Result<TenantName> {
    TenantName::new(text_field(headers, headers::TENANT)?.unwrap_or(DEFAULT_TENANT))
}

/// Returns the time that the caller waits, or the maximum of the service if there is no header.
fn wait(headers: &HeaderMap, spec: &ServiceSpec) -> Result<Duration> {
    let max_ms = spec.max_deadline_ms;
    let Some(text) = text_field(headers, DEADLINE_HEADER)? else {
        return Ok(Duration::from_millis(max_ms));
    };

    text.parse()
        .ok()
        .filter(|wait| (1..=max_ms).contains(wait))
        .map(Duration::from_millis)
        .ok_or_else(|| {
            CoreError::invalid_request(format!(
                "the header {DEADLINE_HEADER} must hold 1 to {max_ms} milliseconds"
            ))
        })
}

/// Returns the text of a header field that may occur at most once.
fn text_field<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };

    if values.next().is_some() {
        return Err(CoreError::invalid_request(format!(
            "the header {name} stands twice"
        )));
    }

    value.to_str().map(Some).map_err(|_opaque| {
        CoreError::invalid_request(format!("the header {name} must be printable ASCII"))
    })
}

/// Returns the end-to-end header fields, which are forwarded to the target.
fn end_to_end_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| headers::is_end_to_end(name.as_str()))
        .map(|(name, value)| HeaderField {
            name: Arc::from(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
