//! One request from its arrival to its final response.

use bytes::Bytes;
use compio::runtime::JoinHandle;
use futures_channel::oneshot::Sender;
use wagtail_core::{ports::TargetResponse, request::RequestHead, units::LocalMoment};

/// `AgentWork` is a request that the agent task holds.
#[derive(Debug)]
pub struct AgentWork {
    /// The request without its body.
    pub head: RequestHead,
    /// The body of the request, received in full.
    pub body: Bytes,
    /// The index of the slice of the request's key, for a keyed service.
    pub slice: Option<u32>,
    /// The deadline, after which nobody waits for the response.
    pub deadline: LocalMoment,
    /// The channel for the final response; `None` once it was sent or the caller has gone.
    pub reply: Option<Sender<TargetResponse>>,
    /// The task of the request at the target, while there is one. Dropping it cancels the request.
    pub dispatched: Option<JoinHandle<()>>,
}

impl AgentWork {
    /// Sends the final response, unless one was sent before.
    pub fn answer(&mut self, answer: TargetResponse) {
        if let Some(reply) = self.reply.take() {
            // Sending only fails when the caller has gone.
            drop(reply.send(answer));
        }
    }

    /// Returns whether no response is due and nothing runs at the target.
    pub fn is_over(&self) -> bool {
        self.reply.is_none() && self.dispatched.is_none()
    }
}
