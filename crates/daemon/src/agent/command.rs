//! The commands of the agent task and the handle that sends them.

use crate::agent::{answer::unavailable_response, order::DispatchEnd};
use bytes::Bytes;
use futures_channel::{
    mpsc::UnboundedSender,
    oneshot::{self, Sender},
};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use wagtail_admit::{AdmitSummary, MemoryTransfer};
use wagtail_core::{
    ids::{NodeName, ServiceName},
    ports::{TargetGrant, TargetResponse},
    request::RequestHead,
    units::LocalMoment,
};

/// `TargetNotice` is what a target announces about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetNotice {
    /// The service that the target serves.
    pub service: ServiceName,
    /// The address of the target.
    pub address: SocketAddr,
    /// The number of requests that the target runs at a time, as announced.
    pub slots: u32,
    /// Whether the target refuses requests with an outdated fencing token.
    pub fenced: bool,
    /// Whether the target wants to leave.
    pub draining: bool,
    /// The start time of the target in milliseconds of its own clock; a changed value means a
    /// restart.
    pub started_ms: u64,
}

/// `AgentCommand` is a command or a notification to the agent task.
#[derive(Debug)]
pub enum AgentCommand {
    /// A request arrived.
    Submit {
        /// The ticket, the number under which the request arrived.
        ticket: u64,
        /// The request without its body.
        head: RequestHead,
        /// The body of the request, received in full.
        body: Bytes,
        /// The deadline, after which nobody waits for the response.
        deadline: LocalMoment,
        /// The channel for the response.
        reply: Sender<TargetResponse>,
    },
    /// The caller no longer waits for the response to a request.
    CallerGone {
        /// The ticket, the number under which the request arrived.
        ticket: u64,
    },
    /// The head of a target's response has arrived; its body follows.
    HeadArrived {
        /// The ticket, the number under which the request arrived.
        ticket: u64,
        /// The response, with a body that is still being received.
        response: TargetResponse,
    },
    /// The [`DispatchJob`](crate::agent::order::DispatchJob) of a request has ended.
    JobEnded {
        /// The ticket, the number under which the request arrived.
        ticket: u64,
        /// Whether the request got a complete response, failed or was cancelled.
        end: DispatchEnd,
        /// The time from the dispatch to the end.
        took: Duration,
    },
    /// The target announced itself.
    Announced(TargetNotice),
    /// The target has not announced itself for a while.
    TargetSilent,
    /// The node serves a slice from now on.
    SliceGained {
        /// The index of the slice.
        slice: u32,
        /// The previous owner's memory of the slice's requests; `None` when this node served the
        /// slice before.
        memory: Option<MemoryTransfer>,
    },
    /// The slice is to be drained, as it moves to another node.
    SliceStopping {
        /// The index of the slice.
        slice: u32,
    },
    /// The lease of the slice has lapsed.
    SliceLost {
        /// The index of the slice.
        slice: u32,
    },
    /// Requests a sample of the load of the slices.
    MeasureLoad,
    /// Sends grants to a target that checks fencing tokens.
    Grant(Vec<TargetGrant>),
    /// The state of the fleet changed; the admission takes over the options of its service.
    ConfigChanged,
    /// The daemon shuts down and accepts no new requests.
    Stop,
    /// Requests the latest announcement of the target.
    Target(Sender<Option<TargetNotice>>),
    /// Requests the state of the admission.
    Summary(Sender<Option<AdmitSummary>>),
}

/// `AgentHandle` sends commands to the agent task.
#[derive(Debug, Clone)]
pub struct AgentHandle {
    node: NodeName,
    commands: UnboundedSender<AgentCommand>,
    next_ticket: Rc<Cell<u64>>,
}

impl AgentHandle {
    /// Creates the handle of the task that reads from the other end of the channel.
    pub fn new(node: NodeName, commands: UnboundedSender<AgentCommand>) -> Self {
        Self {
            node,
            commands,
            next_ticket: Rc::default(),
        }
    }

    /// Sends a command to the task, without waiting for it.
    pub fn tell(&self, command: AgentCommand) {
        // Sending only fails when the daemon is ending and the agent task is gone.
        drop(self.commands.unbounded_send(command));
    }

    /// Submits a request and waits for its final response. Dropping the future notifies the task
    /// that the caller is gone.
    pub async fn submit(
        &self,
        head: RequestHead,
        body: Bytes,
        deadline: LocalMoment,
    ) -> TargetResponse {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);

        let (reply, response) = oneshot::channel();
        let id = head.id.clone();
        let mut guard = SubmitGuard {
            ticket,
            handle: self,
            answered: false,
        };

        self.tell(AgentCommand::Submit {
            ticket,
            head,
            body,
            deadline,
            reply,
        });
        let response = response.await;
        guard.answered = true;

        response.unwrap_or_else(|_canceled| unavailable_response(&id, &self.node))
    }

    /// Returns the state of the admission, or `None` when no target has announced itself.
    pub async fn summary(&self) -> Option<AdmitSummary> {
        let (reply, summary) = oneshot::channel();

        self.tell(AgentCommand::Summary(reply));

        summary.await.ok().flatten()
    }
}

impl AgentHandle {
    /// Returns the latest announcement of the target, or `None` when there was none.
    pub async fn target(&self) -> Option<TargetNotice> {
        let (reply, notice) = oneshot::channel();

        self.tell(AgentCommand::Target(reply));

        notice.await.ok().flatten()
    }
}

/// `SubmitGuard` notifies the agent task when the caller goes away before the response.
#[derive(Debug)]
struct SubmitGuard<'a> {
    ticket: u64,
    handle: &'a AgentHandle,
    answered: bool,
}

impl Drop for SubmitGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.tell(AgentCommand::CallerGone {
                ticket: self.ticket,
            });
        }
    }
}
