//! Reading a caller's HTTP request into a request of the system.

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

/// The header field of the time that the caller waits, in milliseconds.
const DEADLINE: &str = "wagtail-deadline-ms";

/// The tenant of a caller that names none.
const DEFAULT_TENANT: &str = "default";

/// The longest key in bytes.
const MAX_KEY_BYTES: usize = 1_024;

/// `ParsedRequest` is a request with the time that its caller waits.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request without its body.
    pub head: RequestHead,
    /// The time that the caller waits.
    pub wait: Duration,
}

/// `ParseFailure` is a request that cannot be read.
#[derive(Debug)]
pub struct ParseFailure {
    /// The identifier, the caller's where it is valid.
    pub id: RequestId,
    /// Whether the service or operation is not declared.
    pub not_found: bool,
    /// What is wrong.
    pub error: CoreError,
}

/// Reads a request.
///
/// # Errors
///
/// Returns the first fault, with the identifier that the answer carries.
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

/// Makes an identifier that carries its time of issue.
pub fn make_id() -> RequestId {
    RequestId::new(unique_text()).unwrap_or_else(|_| unreachable!("a UUID is printable ASCII"))
}

/// Returns the caller's identifier or a new one, and whether it is new.
fn request_id(headers: &HeaderMap) -> Result<(RequestId, bool)> {
    match text_field(headers, headers::REQUEST_ID)? {
        Some(text) => Ok((RequestId::new(text)?, false)),
        None => Ok((make_id(), true)),
    }
}

/// Splits a URI into the service and the path and query below it.
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

/// Returns the key of a request to a keyed service.
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

/// Returns the tenant of a request.
fn tenant(headers: &HeaderMap) -> Result<TenantName> {
    TenantName::new(text_field(headers, headers::TENANT)?.unwrap_or(DEFAULT_TENANT))
}

/// Returns the time that the caller waits.
fn wait(headers: &HeaderMap, spec: &ServiceSpec) -> Result<Duration> {
    let most = spec.max_deadline_ms;
    let Some(text) = text_field(headers, DEADLINE)? else {
        return Ok(Duration::from_millis(most));
    };

    text.parse()
        .ok()
        .filter(|wait| (1..=most).contains(wait))
        .map(Duration::from_millis)
        .ok_or_else(|| {
            CoreError::invalid_request(format!(
                "the header {DEADLINE} must hold 1 to {most} milliseconds"
            ))
        })
}

/// Returns the text of a header field that may stand once at most.
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

/// Returns the header fields that travel from end to end.
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
