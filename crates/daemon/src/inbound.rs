//! Handling of requests and control messages from other daemons.

use crate::{
    agent::AgentHandle,
    control::{ControlBody, ControlMessage},
    ownership::{OwnershipCommand, OwnershipHandle},
};
use bytes::Bytes;
use std::time::Duration;
use tracing::debug;
use wagtail_core::{
    ports::LocalFuture,
    request::{RequestHead, ResponseHead},
};
use wagtail_net::clock;
use wagtail_peer::{answer::PeerResponse, server::PeerHandler};

/// `InboundHandler` passes requests of peers to the agent task and control messages to the
/// ownership task.
#[derive(Debug)]
pub struct InboundHandler {
    agent: AgentHandle,
    ownership: OwnershipHandle,
    max_body_bytes: usize,
}

impl InboundHandler {
    /// Creates the handler, which accepts request bodies of at most `max_body_bytes`.
    pub fn new(agent: AgentHandle, ownership: OwnershipHandle, max_body_bytes: usize) -> Self {
        Self {
            agent,
            ownership,
            max_body_bytes,
        }
    }
}

impl PeerHandler for InboundHandler {
    type Message = ControlMessage;
    type Request = RequestHead;
    type Answer = ResponseHead;

    fn request(
        &self,
        head: RequestHead,
        body: Bytes,
    ) -> LocalFuture<'_, PeerResponse<ResponseHead>> {
        debug!(
            event = "request-received", request_id = %head.id, service = %head.service,
            attempt = head.attempt
        );
        let deadline = clock::now() + Duration::from_millis(head.time_left_ms);

        Box::pin(async move { self.agent.submit(head, body, deadline).await.into() })
    }

    fn control(&self, message: ControlMessage) {
        match message.body {
            ControlBody::Lease(body) => {
                self.ownership.tell(OwnershipCommand::Received {
                    from: message.from,
                    message: body,
                });
            }
            ControlBody::Load { service, message } => {
                self.ownership
                    .tell(OwnershipCommand::LoadReceived { service, message });
            }
            ControlBody::Memory(notice) => self.ownership.tell(OwnershipCommand::Memory(notice)),
        }
    }

    fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }
}
