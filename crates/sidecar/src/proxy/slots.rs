//! Guards that free a slot or a queue position when they are dropped.

use super::TargetProxy;
use bytes::Bytes;
use std::{cell::Cell, time::Duration};
use wagtail_core::{
    Result,
    ports::{BodyStream, LocalFuture},
};
use wagtail_gate::{GateAction, GateRefusal, runs::RunEnd};
use wagtail_net::{client::PooledResponse, clock};

/// `Admission` is the decision of the gate on a request.
#[derive(Debug)]
pub(super) enum Admission {
    Started,
    Refused {
        refusal: GateRefusal,
        retry_after: Duration,
    },
}

/// `SlotGuard` frees a slot, or a queue position, when it is dropped.
#[derive(Debug)]
pub(super) struct SlotGuard {
    pub(super) proxy: TargetProxy,
    pub(super) ticket: u64,
    pub(super) started: Cell<bool>,
    pub(super) executed: Cell<bool>,
    /// How the request ended, if it was sent to the target.
    pub(super) run_end: Cell<RunEnd>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.proxy.finish_run(self.ticket, self.run_end.get());
        self.proxy
            .release(self.ticket, self.started.get(), self.executed.get());
    }
}

/// `SlotBody` is a response body that keeps its slot until it has been read to the end, has failed
/// or is dropped.
#[derive(Debug)]
pub(super) struct SlotBody {
    /// The bytes that were read before the body is passed on.
    pub(super) buffered: Bytes,
    pub(super) response: PooledResponse,
    pub(super) guard: Option<SlotGuard>,
    /// How the request ends if the body is complete.
    pub(super) whole_end: RunEnd,
}

impl BodyStream for SlotBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(async move {
            if !self.buffered.is_empty() {
                return Ok(Some(std::mem::take(&mut self.buffered)));
            }

            let chunk = self.response.next().await;
            match &chunk {
                Ok(None) => {
                    if let Some(guard) = self.guard.take() {
                        guard.run_end.set(self.whole_end);
                    }
                }
                Err(_) => {
                    if let Some(guard) = self.guard.take() {
                        guard.proxy.record_result(true);
                        guard.proxy.check_process();
                    }
                }
                Ok(Some(_)) => {}
            }

            chunk
        })
    }
}

impl TargetProxy {
    /// Frees the slot or the queue position of a request and starts queued requests. `executed`
    /// says whether the target ran the request, so that its duration counts as a service time.
    pub(super) fn release(&self, ticket: u64, started: bool, executed: bool) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let was_waiting = state.waiters.remove(&ticket).is_some();
            if was_waiting && !started {
                state.gate.cancel(ticket);
            }
            state.gate.finished(ticket, executed, clock::now())
        };
        self.log_capacity();
        self.apply_actions(actions);
    }

    /// Passes the decisions of the gate on to the waiting requests.
    pub(super) fn apply_actions(&self, actions: Vec<GateAction>) {
        for action in actions {
            let (ticket, admission) = match action {
                GateAction::Start { ticket } => (ticket, Admission::Started),
                GateAction::Refuse {
                    ticket,
                    refusal,
                    retry_after,
                } => (
                    ticket,
                    Admission::Refused {
                        refusal,
                        retry_after,
                    },
                ),
            };
            let waiter = self.state.borrow_mut().waiters.remove(&ticket);

            // If the caller has just disconnected, the `SlotGuard` frees the slot.
            if let Some(waiter) = waiter {
                drop(waiter.send(admission));
            }
        }
    }
}
