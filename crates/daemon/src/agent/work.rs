//! One request from its arrival to its final answer.

use bytes::Bytes;
use compio::runtime::JoinHandle;
use futures_channel::oneshot::Sender;
use wagtail_core::{ports::TargetResponse, request::RequestHead, units::LocalMoment};

/// `AgentWork` is a request that the agent task holds.
#[derive(Debug)]
pub struct AgentWork {
    /// The request without its body.
    pub head: RequestHead,
    /// The whole body.
    pub body: Bytes,
    /// The index of the key's slice, for a keyed service.
    pub slice: Option<u32>,
    /// The moment after which nobody waits for the answer.
    pub deadline: LocalMoment,
    /// Where the final answer goes; nothing once it was given.
    pub reply: Option<Sender<TargetResponse>>,
    /// The order at the target. Dropping it cancels the order.
    pub order: Option<JoinHandle<()>>,
}

impl AgentWork {
    /// Gives the final answer, unless one was given.
    pub fn answer(&mut self, answer: TargetResponse) {
        if let Some(reply) = self.reply.take() {
            // A caller that has gone needs no answer.
            drop(reply.send(answer));
        }
    }

    /// Returns whether neither an answer nor an order is outstanding.
    pub fn is_over(&self) -> bool {
        self.reply.is_none() && self.order.is_none()
    }
}
