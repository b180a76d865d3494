//! The execution of one request.

use crate::{
    fields::RequestFields,
    guard::{ExecutionGuard, InFlightGuard},
    respond::{RequestRefusal, format_content, name_request, refusal_reply},
    slots::{SlotClaim, SlotGuard, SlotPool},
    state::TargetState,
};
use http::Response;
use standin_net::{
    NetError, Result,
    body::ResponseBody,
    clock::{boottime_us, monotonic_us},
    repeat::RepeatResponse,
    reply::StandinResponse,
};
use std::{cell::RefCell, future::poll_fn, rc::Rc, sync::Arc, task::Poll, time::Duration};

/// The longest wait for a slot in microseconds, also without a deadline.
const MAX_WAIT_US: u64 = 60_000_000;

/// `RequestRunner` runs requests subject to the slots, grants and faults of the target.
#[derive(Debug, Clone)]
pub struct RequestRunner {
    /// The state of the target.
    state: Rc<RefCell<TargetState>>,
    /// The slots that requests hold while they run.
    pool: Rc<SlotPool>,
    /// Whether a request with a key needs a grant.
    fenced: bool,
}

impl RequestRunner {
    /// Creates a runner of requests.
    pub fn new(state: Rc<RefCell<TargetState>>, pool: Rc<SlotPool>, fenced: bool) -> Self {
        Self {
            state,
            pool,
            fenced,
        }
    }

    /// Runs a request and returns its response. Dropping the future cancels the request.
    ///
    /// # Errors
    ///
    /// Returns an error, which closes the connection without a response, when the deadline or the
    /// grant ended during the work.
    pub async fn run(&self, fields: &RequestFields) -> Result<StandinResponse> {
        let _accepted = InFlightGuard::new(&self.state);

        let slot = match self.admit(fields).await {
            Ok(slot) => slot,
            Err(refusal) => return Ok(refusal_reply(fields, refusal)),
        };

        let run = self.work(fields).await?;
        drop(slot);

        self.respond(fields, run).await
    }

    /// Waits for a slot and checks that the request may start.
    async fn admit(&self, fields: &RequestFields) -> Result<SlotGuard, RequestRefusal> {
        self.check(fields)?;
        // Yields once, so that the task of the connection can detect that it was closed.
        yield_once().await;

        let shed = self.state.borrow().faults.shed;
        if self.state.borrow_mut().draw_fault(shed) {
            return Err(RequestRefusal::Shed);
        }

        let slot = self.claim_slot(fields).await?;
        self.check(fields)?;

        Ok(slot)
    }

    /// Waits for a slot, at most until the deadline.
    async fn claim_slot(&self, fields: &RequestFields) -> Result<SlotGuard, RequestRefusal> {
        match self.pool.claim() {
            SlotClaim::Taken(slot) => Ok(slot),
            SlotClaim::Full => Err(RequestRefusal::Shed),
            SlotClaim::Queued(turn) => {
                let left = Duration::from_micros(fields.left_us(boottime_us(), MAX_WAIT_US));
                let turn = compio::time::timeout(left, turn).await;
                turn.ok()
                    .and_then(std::result::Result::ok)
                    .ok_or(RequestRefusal::Deadline)
            }
        }
    }

    /// Checks that the request may start now.
    fn check(&self, fields: &RequestFields) -> Result<(), RequestRefusal> {
        let now_us = boottime_us();
        let state = self.state.borrow();

        if state.refusing {
            return Err(RequestRefusal::Draining);
        }
        if fields.left_us(now_us, MAX_WAIT_US) == 0 {
            return Err(RequestRefusal::Deadline);
        }
        if let (true, Some(slice), Some(epoch)) = (self.fenced, fields.slice, fields.epoch)
            && !state.grants.allows(slice, epoch, now_us)
        {
            return Err(RequestRefusal::Fenced);
        }

        Ok(())
    }

    /// Executes the request and returns the index of the execution.
    async fn work(&self, fields: &RequestFields) -> Result<usize> {
        let mut execution = ExecutionGuard::start(&self.state, fields, self.fenced);
        let now_us = boottime_us();
        let factor = self.state.borrow().work_factor(now_us);

        let work = Duration::from_millis(fields.work_ms).mul_f64(factor);
        let left = Duration::from_micros(fields.left_us(now_us, u64::MAX));
        if !work.is_zero() {
            compio::time::sleep(work.min(left)).await;
        }

        // After a freeze of the process, the deadline or grant may have ended; the work then takes
        // no effect.
        let overdue_us = execution.overdue_us();
        if overdue_us > 0 {
            execution.end(monotonic_us().saturating_sub(overdue_us), true);
            return Err(NetError::Injected { fault: "deadline" });
        }

        execution.end(monotonic_us(), false);

        Ok(execution.run)
    }

    /// Creates the response and applies the faults that take effect on it.
    async fn respond(&self, fields: &RequestFields, run: usize) -> Result<StandinResponse> {
        let late_ms = self.state.borrow().faults.late_ms;
        if late_ms > 0 {
            compio::time::sleep(Duration::from_millis(late_ms)).await;
        }

        let name = Arc::clone(&self.state.borrow().name);
        let content = format_content(fields, &name, run);
        let kept = content.len() / 2;
        let mut body = ResponseBody::new(content);

        let (truncate, duplicate) = {
            let faults = &self.state.borrow().faults;
            (faults.truncate, faults.duplicate)
        };
        if self.state.borrow_mut().draw_fault(truncate) {
            body = body.with_truncation(kept);
        }

        let mut response = Response::new(body);
        if self.state.borrow_mut().draw_fault(duplicate) {
            response.extensions_mut().insert(RepeatResponse);
        }
        name_request(&mut response, fields)?;

        Ok(response)
    }
}

/// Yields to the other tasks of the runtime once.
async fn yield_once() {
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
