//! Slots and places in the queue that return when they are dropped.

use super::TargetProxy;
use bytes::Bytes;
use std::{cell::Cell, time::Duration};
use wagtail_core::{
    Result,
    ports::{BodyStream, LocalFuture},
};
use wagtail_gate::{GateAction, GateRefusal};
use wagtail_net::{client::PooledResponse, clock};

/// `Admission` is what becomes of a request at the gate.
#[derive(Debug)]
pub(super) enum Admission {
    Started,
    Refused {
        refusal: GateRefusal,
        retry_after: Duration,
    },
}

/// `SlotGuard` returns a slot, or a place in the queue, when it is dropped.
#[derive(Debug)]
pub(super) struct SlotGuard {
    pub(super) proxy: TargetProxy,
    pub(super) ticket: u64,
    pub(super) started: Cell<bool>,
    pub(super) worked: Cell<bool>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.proxy
            .give_back(self.ticket, self.started.get(), self.worked.get());
    }
}

/// `SlotBody` is the body of an answer that holds its slot until it is read whole.
#[derive(Debug)]
pub(super) struct SlotBody {
    pub(super) answer: PooledResponse,
    pub(super) guard: Option<SlotGuard>,
}

impl BodyStream for SlotBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(async move {
            let part = self.answer.next().await;
            match &part {
                Ok(None) => {
                    self.guard.take();
                }
                Err(_) => {
                    if let Some(guard) = self.guard.take() {
                        guard.proxy.note_result(true);
                    }
                }
                Ok(Some(_)) => {}
            }

            part
        })
    }
}

impl TargetProxy {
    /// Returns a slot or a place in the queue.
    pub(super) fn give_back(&self, ticket: u64, started: bool, worked: bool) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let unanswered = state.waiters.remove(&ticket).is_some();
            if unanswered && !started {
                state.gate.cancel(ticket);
            }
            state.gate.finished(ticket, worked, clock::now())
        };
        self.carry_out(actions);
    }

    /// Tells waiting requests what the gate decided.
    pub(super) fn carry_out(&self, actions: Vec<GateAction>) {
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

            // A request whose caller just left gives its slot back by its guard.
            if let Some(waiter) = waiter {
                drop(waiter.send(admission));
            }
        }
    }
}
