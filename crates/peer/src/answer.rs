//! A response between two daemons whose body is still streaming.

use std::fmt::Debug;
use wagtail_core::ports::{BodyStream, TargetResponse};
use wagtail_core::request::ResponseHead;

/// `PeerResponse` is a decoded response head together with the body, which is still streaming.
#[derive(Debug)]
pub struct PeerResponse<A> {
    /// The message that precedes the body.
    pub head: A,
    /// The bytes that follow the head; empty for responses without a body.
    pub body: Box<dyn BodyStream>,
}

impl<A> PeerResponse<A> {
    /// Creates a response from a head and a body.
    pub fn new(head: A, body: Box<dyn BodyStream>) -> Self {
        Self { head, body }
    }
}

impl From<TargetResponse> for PeerResponse<ResponseHead> {
    fn from(answer: TargetResponse) -> Self {
        Self::new(answer.head, answer.body)
    }
}
