//! What a response of the target says about the request for which it arrived.
//!
//! A faulty target may write an earlier response once more, where the response to the next request of the
//! connection is due. Only the identifier in a response tells which request it belongs to, so that one without
//! it states nothing about any request.

/// `ResponseClaim` holds what a response states about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResponseClaim<'a> {
    /// The identifier of the request that the response belongs to, if it names exactly one.
    pub request_id: Option<&'a str>,
    /// Whether it states that the request did not run.
    pub is_refusal: bool,
    /// Whether its status is a success.
    pub is_success: bool,
    /// Whether it carries the mark of the target that produced it.
    pub is_genuine: bool,
}

/// `ResponseKind` classifies a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// It answers the request, which the target has run.
    Answer,
    /// The target did not run the request and will not run it.
    Refusal,
    /// It belongs to another request or names none, so it does not tell whether this one has run.
    Foreign,
    /// It is a success that the target did not produce. The request may have run.
    NotGenuine,
}

impl ResponseClaim<'_> {
    /// Classifies a response that arrived for the request with the given identifier.
    pub fn classify(&self, request_id: &str) -> ResponseKind {
        if self.request_id != Some(request_id) {
            ResponseKind::Foreign
        } else if self.is_refusal {
            ResponseKind::Refusal
        } else if self.is_success && !self.is_genuine {
            ResponseKind::NotGenuine
        } else {
            ResponseKind::Answer
        }
    }
}
