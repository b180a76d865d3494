//! What the agent task is told, and the handle that tells it.

use crate::agent::{answer::unavailable_answer, order::OrderEnd};
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

/// `TargetNotice` is what a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetNotice {
    /// The served service.
    pub service: ServiceName,
    /// The address of the target.
    pub address: SocketAddr,
    /// The requests that the target says it runs at a time.
    pub slots: u32,
    /// Whether the target refuses orders with an outdated fencing token.
    pub fenced: bool,
    /// Whether the target wants to leave.
    pub draining: bool,
    /// The start of the target in milliseconds of its own clock; another value is a restart.
    pub started_ms: u64,
}

/// `AgentCommand` is what the agent task is told.
#[derive(Debug)]
pub enum AgentCommand {
    /// A request arrived.
    Submit {
        /// The number of the arrival.
        ticket: u64,
        /// The request without its body.
        head: RequestHead,
        /// The whole body.
        body: Bytes,
        /// The moment after which nobody waits for the answer.
        deadline: LocalMoment,
        /// Where the answer goes.
        reply: Sender<TargetResponse>,
    },
    /// Nobody waits for the answer of an arrival any more.
    CallerGone {
        /// The number of the arrival.
        ticket: u64,
    },
    /// The head of a target's answer is here and its body follows.
    AnswerStarted {
        /// The number of the arrival.
        ticket: u64,
        /// The answer.
        answer: TargetResponse,
    },
    /// An order has ended.
    OrderEnded {
        /// The number of the arrival.
        ticket: u64,
        /// How it ended.
        end: OrderEnd,
        /// The time from the dispatch to the end.
        took: Duration,
    },
    /// The target announced itself, or changed what it says.
    Announced(TargetNotice),
    /// The target has not announced itself for a while.
    TargetSilent,
    /// The node serves a slice.
    SliceGained {
        /// The index of the slice.
        slice: u32,
        /// What is known of the requests before; nothing when this node served the slice before.
        memory: Option<MemoryTransfer>,
    },
    /// The slice is to move.
    SliceStopping {
        /// The index of the slice.
        slice: u32,
    },
    /// The lease of the slice has lapsed.
    SliceLost {
        /// The index of the slice.
        slice: u32,
    },
    /// The load of the slices is to be measured.
    MeasureLoad,
    /// Grants go to a target that checks fencing.
    Grant(Vec<TargetGrant>),
    /// The configuration changed.
    ConfigChanged,
    /// The daemon or its target leaves: nothing new is taken.
    Stop,
    /// Somebody asks what the target says of itself.
    Target(Sender<Option<TargetNotice>>),
    /// Somebody asks for the state.
    Summary(Sender<Option<AdmitSummary>>),
}

/// `AgentHandle` tells the agent task.
#[derive(Debug, Clone)]
pub struct AgentHandle {
    node: NodeName,
    commands: UnboundedSender<AgentCommand>,
    next_ticket: Rc<Cell<u64>>,
}

impl AgentHandle {
    /// Makes the handle of a task that reads from the other end of the channel.
    pub fn new(node: NodeName, commands: UnboundedSender<AgentCommand>) -> Self {
        Self {
            node,
            commands,
            next_ticket: Rc::default(),
        }
    }

    /// Tells the task something.
    pub fn tell(&self, command: AgentCommand) {
        // Only a daemon that ends has no agent task.
        drop(self.commands.unbounded_send(command));
    }

    /// Submits a request and waits for its final answer. Dropping the future tells the task that
    /// nobody waits any more.
    pub async fn submit(
        &self,
        head: RequestHead,
        body: Bytes,
        deadline: LocalMoment,
    ) -> TargetResponse {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);

        let (reply, answer) = oneshot::channel();
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
        let answer = answer.await;
        guard.answered = true;

        answer.unwrap_or_else(|_canceled| unavailable_answer(&id, &self.node))
    }

    /// Returns the state of the admission, or nothing when no target has announced itself.
    pub async fn summary(&self) -> Option<AdmitSummary> {
        let (reply, summary) = oneshot::channel();

        self.tell(AgentCommand::Summary(reply));

        summary.await.ok().flatten()
    }
}

impl AgentHandle {
    /// Returns what the target says of itself, or nothing when none has announced itself.
    pub async fn target(&self) -> Option<TargetNotice> {
        let (reply, notice) = oneshot::channel();

        self.tell(AgentCommand::Target(reply));

        notice.await.ok().flatten()
    }
}

/// `SubmitGuard` tells the task when the submitter goes away before the answer.
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
