//! The responses that the daemon creates itself, without the target.

use bytes::Bytes;
use std::{sync::Arc, time::Duration};
use wagtail_admit::AdmitRefusal;
use wagtail_core::{
    CoreError,
    ids::{NodeName, RequestId},
    ports::TargetResponse,
    request::{HeaderField, ResponseHead},
    verdict::RunVerdict,
};
use wagtail_peer::stream::WholeBody;

/// The HTTP status of a refused request that certainly did not run.
const STATUS_NOT_RUN: u16 = 503;

/// The HTTP status of a request that is refused because its tenant uses more than its share.
const STATUS_TENANT: u16 = 429;

/// The HTTP status of a request that may have run and has no response.
const STATUS_UNKNOWN: u16 = 504;

/// The HTTP status of a request whose identifier was used before.
const STATUS_DUPLICATE: u16 = 409;

/// The HTTP status of a malformed request.
const STATUS_INVALID: u16 = 400;

/// The delay after which a caller is asked to retry a refused request, when the error does not
/// specify one.
const DEFAULT_RETRY: Duration = Duration::from_millis(500);

/// `RefusalResponse` holds the contents of a response to a refused or failed request.
#[derive(Debug, Clone)]
pub struct RefusalResponse {
    /// The HTTP status.
    pub status: u16,
    /// The stable code of the reason.
    pub code: Arc<str>,
    /// The reason, as a text for the caller.
    pub message: Arc<str>,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// The owner of the slice, as far as the refusing node knows it.
    pub owner: Option<NodeName>,
    /// The delay after which a retry is expected to succeed.
    pub retry_after: Option<Duration>,
}

impl RefusalResponse {
    /// Replaces the HTTP status.
    #[must_use]
    pub fn with_status(self, status: u16) -> Self {
        Self { status, ..self }
    }

    /// Creates the refusal of a request that may have run and got no response.
    pub fn unknown(code: Arc<str>) -> Self {
        Self {
            status: STATUS_UNKNOWN,
            code,
            message: Arc::from("an attempt may have run and gave no whole answer"),
            verdict: RunVerdict::Unknown,
            owner: None,
            retry_after: None,
        }
    }

    /// Converts the refusal into a response with a JSON body.
    pub fn into_response(self, id: &RequestId, node: &NodeName) -> TargetResponse {
        let body = serde_json::json!({
            "code": self.code,
            "message": self.message,
            "verdict": self.verdict,
            "request_id": id.as_str(),
        });
        let content_type = HeaderField {
            name: Arc::from("content-type"),
            value: Bytes::from_static(b"application/json"),
        };
        let retry_after = self
            .retry_after
            .map(|span| u64::try_from(span.as_millis()).unwrap_or(0));

        let head = ResponseHead {
            id: id.clone(),
            status: self.status,
            verdict: self.verdict,
            node: node.clone(),
            refusal: Some(self.code),
            owner: self.owner,
            epoch: None,
            retry_after_ms: retry_after,
            load: None,
            headers: vec![content_type],
        };

        TargetResponse {
            head,
            body: Box::new(WholeBody::new(Bytes::from(body.to_string()))),
        }
    }
}

/// Creates the response to a request that the admission refuses.
pub fn refusal_response(
    refusal: AdmitRefusal,
    verdict: RunVerdict,
    retry_after: Duration,
    owner: Option<NodeName>,
) -> RefusalResponse {
    let status = match (refusal, verdict) {
        (_, RunVerdict::Unknown) => STATUS_UNKNOWN,
        (AdmitRefusal::TenantOverShare, _) => STATUS_TENANT,
        (AdmitRefusal::Duplicate | AdmitRefusal::IdentifierReused, _) => STATUS_DUPLICATE,
        _ => STATUS_NOT_RUN,
    };
    let retryable = status != STATUS_DUPLICATE;

    RefusalResponse {
        status,
        code: Arc::from(refusal.as_str()),
        message: Arc::from(refusal_message(refusal)),
        verdict,
        owner,
        retry_after: retryable.then_some(retry_after),
    }
}

/// Creates the response of a daemon whose agent task has ended.
pub fn unavailable_response(id: &RequestId, node: &NodeName) -> TargetResponse {
    let refusal = RefusalResponse {
        status: STATUS_UNKNOWN,
        code: Arc::from("unavailable"),
        message: Arc::from("the daemon ended before the request was answered"),
        verdict: RunVerdict::Unknown,
        owner: None,
        retry_after: None,
    };

    refusal.into_response(id, node)
}

/// Returns the text of a refusal for the caller.
fn refusal_message(refusal: AdmitRefusal) -> &'static str {
    match refusal {
        AdmitRefusal::QueueFull => "the queue of the target is full",
        AdmitRefusal::TenantOverShare => "the tenant uses more than its share",
        AdmitRefusal::DeadlinePassed => "the deadline cannot be met",
        AdmitRefusal::Duplicate => "the identifier was used before and its answer is not at hand",
        AdmitRefusal::IdentifierReused => "the identifier was used before for another request",
        AdmitRefusal::IdentifierTooOld => "the identifier is older than what is remembered",
        AdmitRefusal::MemoryFull => "no further non-idempotent request can be remembered now",
        AdmitRefusal::Stopping => "the server is leaving",
        AdmitRefusal::NotOwner => "this node does not own the key",
        AdmitRefusal::TargetStalled => "the target does not answer",
        AdmitRefusal::TargetShed => "the target sheds load",
        AdmitRefusal::TargetDraining => "the target is leaving",
        AdmitRefusal::TargetFailed => "the target gave no whole answer",
        AdmitRefusal::QueueCut => "the queue was cut, as an overload lasts",
    }
}

impl From<&CoreError> for RefusalResponse {
    fn from(error: &CoreError) -> Self {
        let verdict = error.verdict();
        let status = match (error, verdict) {
            (_, RunVerdict::Unknown) => STATUS_UNKNOWN,
            (CoreError::InvalidRequest { .. } | CoreError::InvalidName { .. }, _) => STATUS_INVALID,
            _ => STATUS_NOT_RUN,
        };
        let retry_after = match error {
            CoreError::Overloaded { retry_after_ms, .. } => {
                Some(Duration::from_millis(*retry_after_ms))
            }
            _ => (status == STATUS_NOT_RUN).then_some(DEFAULT_RETRY),
        };
        let owner = match error {
            CoreError::NotOwner { owner, .. } => owner.clone(),
            _ => None,
        };

        Self {
            status,
            code: Arc::from(error.code()),
            message: Arc::from(error.to_string()),
            verdict,
            owner,
            retry_after,
        }
    }
}
