//! An answer on its way between two daemons.

use std::fmt::Debug;
use wagtail_core::ports::{BodyStream, TargetResponse};
use wagtail_core::request::ResponseHead;

/// `PeerAnswer` is the head of an answer with its body still streaming.
#[derive(Debug)]
pub struct PeerAnswer<A> {
    /// The head.
    pub head: A,
    /// The body.
    pub body: Box<dyn BodyStream>,
}

impl<A> PeerAnswer<A> {
    /// Joins a head and a body.
    pub fn new(head: A, body: Box<dyn BodyStream>) -> Self {
        Self { head, body }
    }
}

impl From<TargetResponse> for PeerAnswer<ResponseHead> {
    fn from(answer: TargetResponse) -> Self {
        Self::new(answer.head, answer.body)
    }
}
