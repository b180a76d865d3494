//! The run of one order.

use crate::{
    answer::{OrderRefusal, format_content, name_request, refusal_reply},
    guard::{ExecutionGuard, InFlightGuard},
    order::OrderFields,
    slots::{SlotClaim, SlotGuard, SlotPool},
    state::TargetState,
};
use http::Response;
use standin_net::{
    NetError, Result,
    body::AnswerBody,
    clock::{boottime_us, monotonic_us},
    repeat::RepeatAnswer,
    reply::AnswerResponse,
};
use std::{cell::RefCell, future::poll_fn, rc::Rc, sync::Arc, task::Poll, time::Duration};

/// The longest wait for a slot in microseconds when the order has no deadline.
const MAX_WAIT_US: u64 = 60_000_000;

/// `OrderRunner` runs orders under the slots, grants and faults of the target.
#[derive(Debug, Clone)]
pub struct OrderRunner {
    /// The state of the target.
    state: Rc<RefCell<TargetState>>,
    /// The slots.
    pool: Rc<SlotPool>,
    /// Whether a keyed order needs a grant.
    fenced: bool,
}

impl OrderRunner {
    /// Makes a runner.
    pub fn new(state: Rc<RefCell<TargetState>>, pool: Rc<SlotPool>, fenced: bool) -> Self {
        Self {
            state,
            pool,
            fenced,
        }
    }

    /// Runs an order and returns its answer. Dropping the future cancels the order.
    ///
    /// # Errors
    ///
    /// Fails when the connection is to close without an answer: the deadline passed during the
    /// work.
    pub async fn run(&self, order: &OrderFields) -> Result<AnswerResponse> {
        let _accepted = InFlightGuard::new(&self.state);

        let slot = match self.enter(order).await {
            Ok(slot) => slot,
            Err(refusal) => return Ok(refusal_reply(order, refusal)),
        };

        let run = self.work(order).await?;
        drop(slot);

        self.answer(order, run).await
    }

    /// Waits for a slot and checks that the order may start.
    async fn enter(&self, order: &OrderFields) -> Result<SlotGuard, OrderRefusal> {
        self.check(order)?;
        // A closed connection shows at the next turn of its task.
        yield_turn().await;

        let shed = self.state.borrow().faults.shed;
        if self.state.borrow_mut().strikes(shed) {
            return Err(OrderRefusal::Shed);
        }

        let slot = self.claim_slot(order).await?;
        self.check(order)?;

        Ok(slot)
    }

    /// Waits for a slot, at most until the deadline.
    async fn claim_slot(&self, order: &OrderFields) -> Result<SlotGuard, OrderRefusal> {
        match self.pool.claim() {
            SlotClaim::Taken(slot) => Ok(slot),
            SlotClaim::Full => Err(OrderRefusal::Shed),
            SlotClaim::Queued(turn) => {
                let left = Duration::from_micros(order.left_us(boottime_us(), MAX_WAIT_US));
                let turn = compio::time::timeout(left, turn).await;
                turn.ok()
                    .and_then(std::result::Result::ok)
                    .ok_or(OrderRefusal::Deadline)
            }
        }
    }

    /// Checks that the order may start now.
    fn check(&self, order: &OrderFields) -> Result<(), OrderRefusal> {
        let now_us = boottime_us();
        let state = self.state.borrow();

        if state.refusing {
            return Err(OrderRefusal::Draining);
        }
        if order.left_us(now_us, MAX_WAIT_US) == 0 {
            return Err(OrderRefusal::Deadline);
        }
        if let (true, Some(slice), Some(epoch)) = (self.fenced, order.slice, order.epoch)
            && !state.grants.allows(slice, epoch, now_us)
        {
            return Err(OrderRefusal::Fenced);
        }

        Ok(())
    }

    /// Does the work and returns the ordinal of the execution.
    async fn work(&self, order: &OrderFields) -> Result<usize> {
        let mut execution = ExecutionGuard::start(&self.state, order, self.fenced);
        let now_us = boottime_us();
        let factor = self.state.borrow().work_factor(now_us);

        let work = Duration::from_millis(order.work_ms).mul_f64(factor);
        let left = Duration::from_micros(order.left_us(now_us, u64::MAX));
        if !work.is_zero() {
            compio::time::sleep(work.min(left)).await;
        }

        // A process that was frozen finds its deadline or its grant passed, and commits nothing.
        let overdue_us = execution.overdue_us();
        if overdue_us > 0 {
            execution.end(monotonic_us().saturating_sub(overdue_us), true);
            return Err(NetError::Injected { fault: "deadline" });
        }

        execution.end(monotonic_us(), false);

        Ok(execution.run)
    }

    /// Makes the answer, with the faults that strike it.
    async fn answer(&self, order: &OrderFields, run: usize) -> Result<AnswerResponse> {
        let late_ms = self.state.borrow().faults.late_ms;
        if late_ms > 0 {
            compio::time::sleep(Duration::from_millis(late_ms)).await;
        }

        let name = Arc::clone(&self.state.borrow().name);
        let content = format_content(order, &name, run);
        let kept = content.len() / 2;
        let mut body = AnswerBody::new(content);

        let (truncate, duplicate) = {
            let faults = &self.state.borrow().faults;
            (faults.truncate, faults.duplicate)
        };
        if self.state.borrow_mut().strikes(truncate) {
            body = body.with_cut(kept);
        }

        let mut response = Response::new(body);
        if self.state.borrow_mut().strikes(duplicate) {
            response.extensions_mut().insert(RepeatAnswer);
        }
        name_request(&mut response, order)?;

        Ok(response)
    }
}

/// Lets the other tasks run once.
async fn yield_turn() {
    let mut yielded = false;

    poll_fn(|cx| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        cx.waker().wake_by_ref();

        Poll::Pending
    })
    .await;
}
